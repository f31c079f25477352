package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/record"
)

// Guards against counting calls from before a move, or from another move, as calls of this one.
func TestEvidenceStartsWithMove(t *testing.T) {
	c := qt.New(t)
	opened := func(moves ...core.MoveID) *record.Configuration {
		var overrides []core.Override
		for _, move := range moves {
			overrides = append(overrides, core.Override{Service: "s", Move: move, From: "s-v1", To: "s-v2", Open: true, Weights: []core.Weight{{Upstream: "s-v1", PerMille: 1000}}})
		}
		records := []core.Record{
			{Kind: core.KindService, Name: "s", SchemaVersion: 1, Version: 1, Body: []byte(`{"tenant":"platform","priority":5}`)},
			{Kind: core.KindUpstream, Name: "s-v1", SchemaVersion: 1, Version: 1, Body: []byte(`{"service":"s","release":"v1","slots":1}`)},
			{Kind: core.KindUpstream, Name: "s-v2", SchemaVersion: 1, Version: 1, Body: []byte(`{"service":"s","release":"v2","slots":1}`)},
			{Kind: core.KindPolicy, Name: "s", SchemaVersion: 1, Version: 1, Body: []byte(`{"service":"s","weights":[{"upstream":"s-v1","per-mille":1000}],"max-attempts":1}`)},
		}
		configuration, err := record.New(1, records, overrides)
		c.Assert(err, qt.IsNil)
		return configuration
	}
	evidence := &moveEvidence{}
	added := func(configuration *record.Configuration, calls uint64) (sum uint64, moves []core.MoveID) {
		moves, counts := evidence.since(configuration, []core.EvidenceCount{{Service: "s", Route: "r", Release: "v1", Calls: calls}})
		for _, count := range counts {
			c.Assert(count.Move, qt.Equals, moves[0])
			sum += count.Calls
		}
		return sum, moves
	}
	for _, step := range []struct {
		open  []core.MoveID
		calls uint64
		added uint64
	}{
		{calls: 100},
		{open: []core.MoveID{"m1"}, calls: 110}, // counted before the node knew of the move
		{open: []core.MoveID{"m1"}, calls: 113, added: 3},
		{open: []core.MoveID{"m1"}, calls: 113},
		{calls: 150},
		{open: []core.MoveID{"m2"}, calls: 160},
		{open: []core.MoveID{"m2"}, calls: 162, added: 2},
	} {
		sum, moves := added(opened(step.open...), step.calls)
		c.Assert(sum, qt.Equals, step.added)
		c.Assert(moves, qt.DeepEquals, step.open)
	}
}
