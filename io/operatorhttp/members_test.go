package operatorhttp_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
	"parsleyport/io/operatorhttp"
)

// fakeMembership returns the next one of its errors for each change.
type fakeMembership struct {
	members []raft.Member
	errors  []error
	changes []raft.Change
	catchUp []operatorhttp.CatchUp
}

func (f *fakeMembership) Members() []raft.Member { return f.members }

func (f *fakeMembership) CatchUp() []operatorhttp.CatchUp { return f.catchUp }

func (f *fakeMembership) NonMembers() []raft.Peer { return []raft.Peer{{ID: "c4", Identity: "d"}} }

func (f *fakeMembership) Change(_ context.Context, change raft.Change) error {
	f.changes = append(f.changes, change)
	err := f.errors[0]
	f.errors = f.errors[1:]
	return err
}

func voter(id core.ControlID) raft.Member {
	return raft.Member{
		Peer: raft.Peer{
			ID:       id,
			Identity: raft.Identity(id),
		},
		Voter: true,
	}
}

func change(kind raft.ChangeKind, peer raft.Peer) operatorhttp.MemberChange {
	return operatorhttp.MemberChange{ID: core.SubmissionID(kind) + core.SubmissionID(peer.Identity), Operator: "amina", Kind: kind, Peer: peer}
}

// Guards against a follower that makes a change, and against a client that gives up when a follower rejects one.
func TestMembershipChangesGoToTheLeader(t *testing.T) {
	c := qt.New(t)
	follower := &fakeReplicator{leader: "c2"}
	followerMembership := &fakeMembership{members: []raft.Member{voter("c1")}}
	follower.membership = followerMembership
	first := start(c, "", follower)
	_, err := first.client.ChangeMembers(withTimeout(c, 300*time.Millisecond), change(raft.ChangePromote, raft.Peer{ID: "c2", Identity: "b"}))
	c.Assert(errors.Is(err, operatorhttp.ErrUnreachable), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*c1 is not the leader; the leader is c2")

	leaderMembership := &fakeMembership{members: []raft.Member{voter("c1")}, errors: []error{nil}}
	second := start(c, "", &fakeReplicator{leader: "c1", membership: leaderMembership}, first.address)
	members, err := second.client.ChangeMembers(withTimeout(c, 5*time.Second), change(raft.ChangeAdd, raft.Peer{ID: "c4", Identity: "d"}))
	c.Assert(err, qt.IsNil)
	c.Assert(members.Missing, qt.HasLen, 1)
	c.Assert(followerMembership.changes, qt.HasLen, 0)
	c.Assert(leaderMembership.changes, qt.HasLen, 1)
}

// Guards against a resend that reports a refusal of a change that was made, and against a refusal that is taken for the resend of a
// change in force.
func TestMembershipChangeIsResent(t *testing.T) {
	c := qt.New(t)
	membership := &fakeMembership{
		members: []raft.Member{voter("c1"), voter("c2")},
		errors: []error{
			raft.RefusalError("another membership change is under way"), // resent, not a verdict
			core.ErrOutcomeUnknown,
			errors.NotValidf("promotion"),
			errors.NotValidf("promotion"),
		},
	}
	f := start(c, "", &fakeReplicator{leader: "c1", membership: membership})
	_, err := f.client.ChangeMembers(withTimeout(c, 5*time.Second), change(raft.ChangePromote, voter("c2").Peer))
	c.Assert(err, qt.IsNil)
	c.Assert(membership.changes, qt.HasLen, 3)
	_, err = f.client.ChangeMembers(withTimeout(c, 5*time.Second), change(raft.ChangePromote, raft.Peer{ID: "c2", Identity: "other"}))
	c.Assert(errors.Is(err, operatorhttp.ErrRejected), qt.IsTrue)
}

// Guards against a list from an instance that lost its disk and knows no members, and against a list that hides a missing leader.
func TestOnlyMembersListTheMembership(t *testing.T) {
	c := qt.New(t)
	nonMember := start(c, "", &fakeReplicator{membership: &fakeMembership{}})
	_, err := nonMember.client.Members(withTimeout(c, 300*time.Millisecond))
	c.Assert(err, qt.ErrorMatches, ".*c1 is not a member")
	member := start(c, "", &fakeReplicator{
		readError:  core.ErrNoLeader,
		membership: &fakeMembership{members: []raft.Member{voter("c1"), voter("c2"), voter("c3")}},
	}, nonMember.address)
	members, err := member.client.Members(withTimeout(c, 5*time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(members.Current, qt.IsFalse)
	c.Assert(members.ToleratedFailures, qt.Equals, 1)
}

// Guards against a membership change without an entry in the audit trail, or with several entries for one request.
func TestMembershipChangesAreInTheAuditTrail(t *testing.T) {
	c := qt.New(t)
	membership := &fakeMembership{
		members: []raft.Member{voter("c1"), voter("c2")},
		errors: []error{
			raft.RefusalError("another membership change is under way"), // resent, not a result
			nil,
			errors.NotValidf("promotion"), // the resend, since the result is not recorded; it is in force
			errors.NotValidf("removal"),
		},
	}
	replicator := &fakeReplicator{leader: "c1", membership: membership}
	replicator.fail = func(proposal int, _ func()) error {
		if proposal == 3 { // the result of the first change, after the request and its resend
			return core.ErrNoLeader
		}
		return nil
	}
	f := start(c, "", replicator)
	ctx := withTimeout(c, 10*time.Second)
	_, err := f.client.ChangeMembers(ctx, change(raft.ChangePromote, voter("c2").Peer))
	c.Assert(err, qt.IsNil)
	refused := change(raft.ChangeRemove, voter("c1").Peer)
	for range 2 {
		_, err = f.client.ChangeMembers(ctx, refused)
		c.Assert(err, qt.ErrorMatches, ".*removal not valid")
	}
	c.Assert(membership.errors, qt.HasLen, 0, qt.Commentf("the change was not tried, or a refused one was tried again"))
	entries, err := f.client.Audit(ctx, catalog.AuditFilter{Operator: "amina"})
	c.Assert(err, qt.IsNil)
	results := make([]catalog.Result, 0, len(entries))
	for _, entry := range entries {
		c.Assert(entry.Action, qt.Equals, catalog.ActionMembers)
		results = append(results, entry.Result)
	}
	c.Assert(results, qt.DeepEquals, []catalog.Result{catalog.Requested, catalog.Accepted, catalog.Requested, catalog.Refused})
	c.Assert(entries[1].Changes, qt.DeepEquals, []string{"promote member c2 identity c2"})
	entries, err = f.client.Audit(ctx, catalog.AuditFilter{Submission: refused.ID})
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 2)
	c.Assert(entries[1].Detail, qt.Equals, "removal not valid")
}

// Guards against an operator who cannot see why a learner is not promoted.
func TestMembersShowTheCatchUpOfALearner(t *testing.T) {
	c := qt.New(t)
	learner := raft.Member{Peer: raft.Peer{ID: "c2", Identity: "b"}}
	f := start(c, "", &fakeReplicator{leader: "c1", membership: &fakeMembership{
		members: []raft.Member{voter("c1"), learner},
		catchUp: []operatorhttp.CatchUp{{ID: "c2", Known: true, Applied: 812, Committed: 4031, MissingAudit: 1200}},
	}})
	members, err := f.client.Members(withTimeout(c, 5*time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(members.CatchUp[0].Applied, qt.Equals, core.LogIndex(812))
	c.Assert(members.Missing[1].Reason, qt.Equals, "is a learner and has no vote; it holds entry 812 of 4031 and lacks 1200 entries of the audit trail")
}
