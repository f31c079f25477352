package catalog_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

func (r *replica) enableDeclarations(c *qt.C) {
	command, err := catalog.EncodeRules(time.Now(), catalog.DeclarationRules)
	r.apply(c, command, err)
}

func expecting(s core.Submission, version core.RecordVersion) core.Submission {
	s.Expect = []core.Expectation{{Kind: core.KindService, Name: "looms", SchemaVersion: 1, Version: version}}
	return s
}

// Guards against two changes of the same version that are both accepted, and against a refusal that is repeated after the reason
// for it has gone.
func TestExpectations(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	version1 := newRecord(core.KindService, "looms", 1, `{"tenant":"t"}`)
	version2 := newRecord(core.KindService, "looms", 2, `{"tenant":"t","priority":2}`)
	c.Assert(r.submit(c, expecting(submission("a", version1), 0)).Cause, qt.Equals, catalog.CauseRules)
	r.enableDeclarations(c)
	early := expecting(submission("b", version2), 1)
	c.Assert(r.submit(c, early).Cause, qt.Equals, catalog.CauseExpectation)
	c.Assert(r.submit(c, expecting(submission("a", version1), 0)).Result, qt.Equals, catalog.Accepted)
	r = r.restored(c)
	rival := expecting(submission("c", newRecord(core.KindService, "looms", 3, `{"tenant":"t","priority":3}`)), 1)
	c.Assert(r.submit(c, early).Result, qt.Equals, catalog.Accepted)
	refusal := r.submit(c, rival)
	c.Assert(refusal.Cause, qt.Equals, catalog.CauseExpectation)
	c.Assert(refusal.Winner.Submission, qt.Equals, core.SubmissionID("b"))
	c.Assert(r.submit(c, early).Result, qt.Equals, catalog.Accepted) // a resend is accepted although version 2 is now in force
	known, exists := r.Verdict("b")
	c.Assert(exists && known.Result == catalog.Accepted, qt.IsTrue)
	_, exists = r.Verdict("c")
	c.Assert(exists, qt.IsFalse)
}

// Guards against a new release that gets calls before its move gives it a share, or after the move was taken back, when its
// service takes any release.
func TestMovesOfServicesWithAnyRelease(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	r.enableDeclarations(c)
	c.Assert(r.submit(c, submission("a",
		newRecord(core.KindService, "looms", 1, `{"tenant":"t","any-release":true}`),
		newRecord(core.KindRoute, "read", 1, `{"path-prefix":"/looms/","service":"looms","timeout-ms":100}`),
	)).Result, qt.Equals, catalog.Accepted)
	weights := func() []core.Weight { return r.Current().Weights("looms") }
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 1000}})
	command, err := catalog.EncodeMove(time.Now(), core.MoveRequest{ID: "m", Operator: "o", Service: "looms", From: "*", To: "v2", Deadline: time.Now().Add(time.Minute)})
	id := r.apply(c, command, err).Move
	c.Assert(id, qt.Not(qt.Equals), core.MoveID(""))
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 1000}, {Upstream: "v2", PerMille: 0}})
	r.step(c, id, 1, core.MoveProbing, 60)
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 940}, {Upstream: "v2", PerMille: 60}})
	r.step(c, id, 2, core.MoveTakenBack, 0)
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 1000}, {Upstream: "v2", PerMille: 0}})
	command, err = catalog.EncodeMove(time.Now(), core.MoveRequest{ID: "m2", Operator: "o", Service: "looms", From: "*", To: "v2", Deadline: time.Now().Add(time.Minute)})
	id = r.apply(c, command, err).Move
	r.step(c, id, 1, core.MoveProbing, 60)
	r.step(c, id, 2, core.MoveDone, 1000)
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 0}, {Upstream: "v2", PerMille: 1000}})
}
