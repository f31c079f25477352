package catalog_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Guards against a move whose steps run twice or out of order after a change of leader (design 7.5).
func TestStepsApplyOnceAndInOrder(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	id := r.move(c, "move", "v1", "v2").Move
	c.Assert(r.Current().Revision(), qt.Equals, core.Revision(1))
	c.Assert(r.step(c, id, 1, core.MoveProbing, 5).Revision, qt.Equals, core.Revision(2))
	c.Assert(r.weights(), qt.Equals, "v1=995 v2=5")

	for _, each := range []*replica{r, r.restored(c)} {
		c.Assert(each.step(c, id, 1, core.MoveGrowing, 10).Cause, qt.Equals, catalog.CauseWrongStep)
		c.Assert(each.step(c, id, 3, core.MoveGrowing, 10).Cause, qt.Equals, catalog.CauseWrongStep)
		c.Assert(each.step(c, id, 2, "flying", 10).Cause, qt.Equals, catalog.CauseMalformed)
		c.Assert(each.step(c, id, 2, core.MoveGrowing, 1001).Cause, qt.Equals, catalog.CauseMalformed)
		c.Assert(each.step(c, id, 2, core.MoveProbing, 5).Revision, qt.Equals, core.Revision(2))
		c.Assert(each.step(c, id, 3, core.MoveGrowing, 10).Revision, qt.Equals, core.Revision(3))
		c.Assert(each.weights(), qt.Equals, "v1=990 v2=10")
		c.Assert(each.step(c, "m9", 1, core.MoveGrowing, 10).Cause, qt.Equals, catalog.CauseNotFound)
	}
}

// Guards against two moves, or a move and a policy change, that set the weights of one service at the same time (design 7.5).
func TestOpenMoveRefusesConflicts(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	id := r.move(c, "move", "v1", "v2").Move
	r = r.restored(c)
	second := r.move(c, "second", "v1", "v3")
	c.Assert(second.Cause, qt.Equals, catalog.CauseMoveOpen)
	c.Assert(second.Move, qt.Equals, id)
	for submissionID, changed := range map[core.SubmissionID]core.Record{
		"policy": policy(2, "v3"),
		"target": upstream(2, "v2", "r9"),
	} {
		verdict := r.submit(c, submission(submissionID, changed))
		c.Assert(verdict.Cause, qt.Equals, catalog.CauseMoveOpen)
		c.Assert(verdict.Move, qt.Equals, id)
	}
	c.Assert(r.submit(c, submission("same", policy(1, "v1"))).Unchanged, qt.IsTrue)
	c.Assert(r.submit(c, submission("other", upstream(2, "v3", "r9"))).Result, qt.Equals, catalog.Accepted)

	c.Assert(r.abort(c, "abort", id).Result, qt.Equals, catalog.Accepted)
	aborted, _ := r.Move(id)
	c.Assert(aborted.State, qt.Equals, core.MoveTakenBack)
	c.Assert(aborted.Cause, qt.Equals, "operator")
	c.Assert(r.move(c, "third", "v1", "v3").Result, qt.Equals, catalog.Accepted)
}

// Guards against calls that still go to a release after its move was taken back or has expired (design 7.4 and 7.6).
func TestTakenBackMoveRestoresWeights(t *testing.T) {
	for _, state := range []core.MoveState{core.MoveTakenBack, core.MoveExpired} {
		c := qt.New(t)
		r := newReplica(c)
		id := r.move(c, "first move", "v1", "v2").Move
		r.step(c, id, 1, core.MoveDone, 0)
		c.Assert(r.weights(), qt.Equals, "v1=0 v2=1000")

		id = r.move(c, "second move", "v2", "v3").Move
		r.step(c, id, 1, core.MoveGrowing, 400)
		c.Assert(r.weights(), qt.Equals, "v2=600 v3=400")
		for _, each := range []*replica{r, r.restored(c)} {
			c.Assert(each.step(c, id, 2, state, 400).Revision, qt.Equals, core.Revision(4))
			c.Assert(each.weights(), qt.Equals, "v1=0 v2=1000")
		}
	}
}

// Guards against weights that are lost when a move is done, or that stay in force after the operator's next policy.
func TestDoneMoveKeepsWeightsUntilNewerPolicy(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	id := r.move(c, "move", "v1", "v2").Move
	c.Assert(r.step(c, id, 1, core.MoveDone, 1000).Revision, qt.Equals, core.Revision(2))
	r = r.restored(c)
	c.Assert(r.submit(c, submission("unrelated", upstream(2, "v3", "r9"))).Revision, qt.Equals, core.Revision(3))
	c.Assert(r.submit(c, submission("same", policy(1, "v1"))).Unchanged, qt.IsTrue)
	c.Assert(r.weights(), qt.Equals, "v1=0 v2=1000")
	c.Assert(r.submit(c, submission("newer", policy(2, "v3"))).Revision, qt.Equals, core.Revision(4))
	c.Assert(r.weights(), qt.Equals, "v3=1000")
}

// Guards against a verdict on a move that changes after operators have read it.
func TestEndedMovesNeverChange(t *testing.T) {
	for _, state := range []core.MoveState{core.MoveDone, core.MoveTakenBack, core.MoveExpired} {
		c := qt.New(t)
		r := newReplica(c)
		id := r.move(c, "move", "v1", "v2").Move
		r.step(c, id, 1, state, 0)
		ended, _ := r.Move(id)
		for _, each := range []*replica{r, r.restored(c)} {
			c.Assert(each.step(c, id, 2, core.MoveGrowing, 10).Cause, qt.Equals, catalog.CauseMoveEnded)
			c.Assert(each.abort(c, "abort", id).Cause, qt.Equals, catalog.CauseMoveEnded)
			after, _ := each.Move(id)
			c.Assert(after, qt.DeepEquals, ended)
		}
	}
}

// Guards against a move whose release cannot be compared with another one, or that has no share or no time to move.
func TestMoveRequestIsChecked(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	c.Assert(r.submit(c, submission("twin", upstream(1, "twin", "r1"))).Result, qt.Equals, catalog.Accepted)
	good := core.MoveRequest{
		Operator: "amina",
		Service:  "orders",
		From:     "v1",
		To:       "v2",
		Deadline: start.Add(time.Hour),
	}
	for id, test := range map[core.SubmissionID]struct {
		change func(*core.MoveRequest)
		want   catalog.Cause
	}{
		"service":  {func(m *core.MoveRequest) { m.Service = "none" }, catalog.CauseDangling},
		"from":     {func(m *core.MoveRequest) { m.From = "none" }, catalog.CauseDangling},
		"to":       {func(m *core.MoveRequest) { m.To = "none" }, catalog.CauseDangling},
		"release":  {func(m *core.MoveRequest) { m.To = "twin" }, catalog.CauseMalformed},
		"no share": {func(m *core.MoveRequest) { m.From, m.To = "v2", "v1" }, catalog.CauseMalformed},
		"deadline": {func(m *core.MoveRequest) { m.Deadline = start }, catalog.CauseMalformed},
		"risk":     {func(m *core.MoveRequest) { m.MaxRiskShare = 1001 }, catalog.CauseMalformed},
	} {
		request := good
		request.ID = id
		test.change(&request)
		command, err := catalog.EncodeMove(start, request)
		c.Assert(r.apply(c, command, err).Cause, qt.Equals, test.want, qt.Commentf("%s", id))
	}
	c.Assert(r.Moves(), qt.HasLen, 0)
}

// Guards against ended moves that fill memory and snapshots, and against an open move that is evicted with them.
func TestLatestEndedMovesAreListed(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	for i := range 1001 {
		id := r.move(c, core.SubmissionID(fmt.Sprint("move", i)), "v1", "v2").Move
		r.abort(c, core.SubmissionID(fmt.Sprint("abort", i)), id)
	}
	open := r.move(c, "open", "v1", "v2").Move
	c.Assert(r.Moves(), qt.HasLen, 1001)
	c.Assert(r.Moves()[0].MoveID, qt.Equals, core.MoveID("m2"))
	c.Assert(r.Moves()[1000].MoveID, qt.Equals, open)
}
