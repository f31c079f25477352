package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/membership"
	"parsleyport/core/raft"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func voter(id core.ControlID, silent time.Duration) membership.MemberStatus {
	return membership.MemberStatus{
		Member: raft.Member{
			Peer:    raft.Peer{ID: id, Identity: raft.Identity(id) + "-1"},
			Address: string(id) + ":1",
			Voter:   true,
		},
		LastHeard: now.Add(-silent),
	}
}

func learner(id core.ControlID, silent time.Duration, caughtUp bool) membership.MemberStatus {
	status := voter(id, silent)
	status.Voter, status.CaughtUp = false, caughtUp
	return status
}

func newcomer(id core.ControlID, identity raft.Identity) membership.Newcomer {
	return membership.Newcomer{
		Peer:    raft.Peer{ID: id, Identity: identity},
		Address: string(id) + ":1",
	}
}

// Guards against a lost disk that is never replaced, against an instance that votes before it has the log, against removing a voter
// that no learner can replace, and against more voters than wanted.
func TestNextChange(t *testing.T) {
	c := qt.New(t)
	silent := membership.MemberTimeout + time.Millisecond
	for _, test := range []struct {
		name      string
		members   []membership.MemberStatus
		newcomers []membership.Newcomer
		want      raft.ChangeKind
		peer      core.ControlID
	}{
		{name: "complete", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", 0)}},
		{name: "silent voter without a learner", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", silent)}},
		{
			name: "instance that lost its disk", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", 0)},
			newcomers: []membership.Newcomer{newcomer("c", "c-2")}, want: raft.ChangeReplace, peer: "c",
		},
		{
			name: "known newcomer", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), learner("c", 0, false)},
			newcomers: []membership.Newcomer{newcomer("c", "c-1")},
		},
		{
			name: "new instance for a silent voter", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", silent)},
			newcomers: []membership.Newcomer{newcomer("d", "d-1")}, want: raft.ChangeAdd, peer: "d",
		},
		{name: "not caught up", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", silent), learner("d", 0, false)}},
		{
			name: "silent voter with a learner", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", silent), learner("d", 0, true)},
			want: raft.ChangeRemove, peer: "c",
		},
		{
			name: "learner for a missing voter", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), learner("d", 0, true)},
			want: raft.ChangePromote, peer: "d",
		},
		{name: "silent learner", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), learner("d", silent, true)}},
		{name: "waits", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", 0), learner("d", 0, true)}},
		{
			name: "learner silent for too long", members: []membership.MemberStatus{voter("a", 0), voter("b", 0), voter("c", 0), learner("d", time.Minute, true)},
			want: raft.ChangeRemove, peer: "d",
		},
	} {
		change, due := membership.NextChange(now, 3, test.members, test.newcomers)
		c.Assert(due, qt.Equals, test.want != "", qt.Commentf(test.name))
		c.Assert(change.Kind, qt.Equals, test.want, qt.Commentf(test.name))
		c.Assert(change.Peer.ID, qt.Equals, test.peer, qt.Commentf(test.name))
	}
}

// Guards against voters that accumulate in one data centre although learners in others are available.
func TestLearnersFillEmptyDataCentresFirst(t *testing.T) {
	c := qt.New(t)
	in := func(v membership.MemberStatus, centre core.DataCentre) membership.MemberStatus {
		v.DataCentre = centre
		return v
	}
	change, due := membership.NextChange(now, 3, []membership.MemberStatus{
		in(voter("a", 0), "west"), in(voter("b", 0), "east"),
		in(learner("c", 0, true), "west"), in(learner("d", 0, true), "north"),
	}, nil)
	c.Assert(due, qt.IsTrue)
	c.Assert(change.Peer.ID, qt.Equals, core.ControlID("d"))
}
