package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
)

// Guards against a list of nodes that lacks those deep in the tree or attached to another control instance, and against a list that
// shows a node which has stopped as if it were running, or removes it at once.
func TestNodesAreListed(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog, "c2")
		other := tc.source("c2", tc.catalog, "c1")
		nodes := tc.startNodes(40, func(i int, o *SubscriberOptions) {
			o.ControlAddresses = []string{[]string{"c1", "c2"}[i%2]}
			o.Schema = core.SchemaVersion(42 - i)
		})
		tc.eventually(convergenceTimeout, "first revision in force", allAtRevision(nodes, 1))
		tc.catalog.set(revision(2))
		listed := func(s *Source, count int, number core.Revision) func() bool {
			return func() bool {
				return lo.CountBy(s.Nodes(), func(r NodeReport) bool { return r.Revision == number }) == count
			}
		}
		for _, each := range []*Source{source, other} {
			tc.eventually(convergenceTimeout, "all nodes at revision 2", listed(each, 40, 2))
		}
		time.Sleep(2 * nodeReportInterval)
		list := source.Nodes()
		c.Assert(list[3].Node, qt.Equals, core.NodeID("n003"))
		c.Assert(list[3].Schema, qt.Equals, core.SchemaVersion(39))
		c.Assert(list[3].DataCentre, qt.Equals, core.DataCentre("dc-a"))
		oldest := lo.MaxBy(list, func(a, b NodeReport) bool { return a.AgeMS > b.AgeMS })
		c.Assert(oldest.AgeMS < (2*nodeReportInterval).Milliseconds(), qt.IsTrue, qt.Commentf("%+v", oldest))

		tc.stop("n003")
		time.Sleep(nodeReportRetention / 2)
		gone := source.Nodes()[3]
		c.Assert(gone.Node == "n003" && gone.AgeMS > (nodeReportRetention/2-nodeReportInterval).Milliseconds(), qt.IsTrue, qt.Commentf("%+v", gone))
		time.Sleep(nodeReportRetention / 2)
		c.Assert(source.Nodes(), qt.HasLen, 39)
	})
}
