package raft_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
)

// Guards against followers that follow a leader for another election timeout after it has lost its majority: nodes connected
// to them would stay on the minority side of a partition for longer than necessary.
func TestLeaderWithoutMajorityAnnouncesStepDown(t *testing.T) {
	c := qt.New(t)
	leader, _ := elected(c)
	term := leader.Status().Term
	out := leader.Step(leader.NextDeadline().Add(2 * raft.ElectionTimeout))
	c.Assert(leader.Status().Role, qt.Not(qt.Equals), string(raft.Leader))
	stepDowns := lo.Filter(out.Messages, func(m raft.Message, _ int) bool { return m.Kind == raft.KindStepDown })
	c.Assert(stepDowns, qt.HasLen, 2)
	c.Assert(stepDowns[0].Term, qt.Equals, term)
}

// Guards against a step-down message of an earlier leader that makes followers leave the current one.
func TestStepDownOnlyFromCurrentLeader(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		from core.ControlID
		old  bool
		want string
	}{
		{from: "b", want: ""},
		{from: "c", want: "b"},
		{from: "b", old: true, want: "b"},
	} {
		node, _ := elected(c)
		term := node.Status().Term + 1
		now := node.NextDeadline()
		node.Step(now, raft.Received{Message: raft.Message{Kind: raft.KindAppend, From: peer("b"), To: peer("a"), Term: term}})
		c.Assert(string(node.Status().Leader), qt.Equals, "b")
		stated := term
		if test.old {
			stated--
		}
		node.Step(now, raft.Received{Message: raft.Message{Kind: raft.KindStepDown, From: peer(test.from), To: peer("a"), Term: stated}})
		c.Assert(string(node.Status().Leader), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
