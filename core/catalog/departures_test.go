package catalog_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

func (r *replica) depart(c *qt.C, node core.NodeID, runs ...core.RunID) catalog.Verdict {
	c.Helper()
	command, err := catalog.EncodeDepartures(start, node, runs)
	return r.apply(c, command, err)
}

func (r *replica) raiseRules(c *qt.C, rules core.RulesVersion) {
	c.Helper()
	command, err := catalog.EncodeRules(start, rules)
	c.Assert(r.apply(c, command, err).Result, qt.Equals, catalog.Accepted)
}

// Guards against departures that are lost with a snapshot, decided differently by an older program, or pushed out by the reports of
// another node.
func TestDepartures(t *testing.T) {
	c := qt.New(t)
	r := &replica{Catalog: catalog.New()}
	r.raiseRules(c, catalog.DepartureRules-1)
	verdict := r.depart(c, "n1", "a/1")
	c.Assert(verdict.Cause, qt.Equals, catalog.CauseRules)
	c.Assert(r.Departures("n1"), qt.HasLen, 0)
	r.raiseRules(c, catalog.DepartureRules)

	c.Assert(r.depart(c, "n1", "a/1", "a/2").Result, qt.Equals, catalog.Accepted)
	c.Assert(r.depart(c, "n1", "a/2").Result, qt.Equals, catalog.Accepted) // a resend
	for i := range 100 {
		c.Assert(r.depart(c, "n2", core.RunID(fmt.Sprintf("b/%d", i))).Result, qt.Equals, catalog.Accepted)
	}
	check := func(c *qt.C, held *catalog.Catalog) {
		c.Helper()
		c.Assert(held.Departures("n1"), qt.DeepEquals, []core.RunID{"a/1", "a/2"})
		c.Assert(held.Departures("n2"), qt.HasLen, 16)
		c.Assert(held.Departures("n2")[15], qt.Equals, core.RunID("b/99"))
		c.Assert(held.Departures("n3"), qt.HasLen, 0)
	}
	check(c, r.Catalog)
	snapshot, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := catalog.New()
	c.Assert(restored.Restore(snapshot), qt.IsNil)
	check(c, restored)
	again, err := restored.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(string(again), qt.Equals, string(snapshot))
}

// Guards against a state that grows with the number of nodes that have ever existed.
func TestDeparturesAreLimited(t *testing.T) {
	c := qt.New(t)
	r := &replica{Catalog: catalog.New()}
	r.raiseRules(c, catalog.DepartureRules)
	for i := range 4096 + 10 {
		r.depart(c, core.NodeID(fmt.Sprintf("n%d", i)), "a/1")
	}
	c.Assert(r.Departures("n9"), qt.HasLen, 0)
	c.Assert(r.Departures("n10"), qt.HasLen, 1)
	c.Assert(r.Departures("n4105"), qt.HasLen, 1)
}

// Guards against reports that cannot be stored but are proposed.
func TestMalformedDepartures(t *testing.T) {
	c := qt.New(t)
	long := string(make([]byte, 200))
	for _, report := range []struct {
		node core.NodeID
		runs []core.RunID
	}{
		{runs: []core.RunID{"a"}},
		{node: core.NodeID(long), runs: []core.RunID{"a"}},
		{node: "n1"},
		{node: "n1", runs: []core.RunID{""}},
		{node: "n1", runs: []core.RunID{core.RunID(long)}},
		{node: "n1", runs: make([]core.RunID, 17)},
	} {
		_, err := catalog.EncodeDepartures(start, report.node, report.runs)
		c.Assert(err, qt.ErrorIs, catalog.ErrMalformed)
	}
}
