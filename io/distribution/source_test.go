package distribution

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a control instance that has restarted without nodes and still counts with the nodes and the revision that it reported
// before: no further configuration would be reported as in force on all nodes.
func TestRestartedControlInstanceReplacesItsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newCluster(t)
		defer tc.close()
		first := tc.source("c1", tc.catalog, "c2")
		tc.source("c2", tc.catalog, "c1")
		node := tc.subscriber("n1", "c2")
		tc.eventually(5*time.Second, "the node is attached", node.Confirmed)
		tc.eventually(5*time.Second, "the node is counted at c1", func() bool { return first.Fleet().Nodes == 1 })
		tc.stop("n1")
		tc.stop("c2")
		tc.source("c2", tc.catalog, "c1")
		tc.eventually(5*time.Second, "the node is no longer counted", func() bool { return first.Fleet().Nodes == 0 })
	})
}
