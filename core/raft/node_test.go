package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
)

var start = time.Unix(1_700_000_000, 0)

func peer(id core.ControlID) raft.Peer {
	return raft.Peer{
		ID:       id,
		Identity: "disk-of-" + raft.Identity(id),
	}
}

func threeMembers() []raft.Member {
	return lo.Map([]core.ControlID{"a", "b", "c"}, func(id core.ControlID, _ int) raft.Member {
		return raft.Member{
			Peer:  peer(id),
			Voter: true,
		}
	})
}

// elected returns the leader of three members, elected in the term after the last entry's, and the output of the step in
// which it was elected. None of what it has written since is reported as synced.
func elected(c *qt.C, entries ...raft.Entry) (*raft.Node, raft.Output) {
	hard, initial := raft.InitialState(threeMembers())
	entries = append(initial, entries...)
	hard.Term = entries[len(entries)-1].Term
	return electedFrom(c, raft.Restored{
		HardState: hard,
		Entries:   entries,
	})
}

func electedFrom(c *qt.C, restored raft.Restored) (*raft.Node, raft.Output) {
	hard := restored.HardState
	node := raft.NewNode(start, peer("a"), restored, raft.TrailingEntries, rand.New(rand.NewPCG(1, 1)))
	now := start.Add(raft.ElectionTimeout + raft.ElectionJitter)
	node.Step(now)
	out := node.Step(now, answer("b", raft.KindPreVoteAnswer, hard.Term+1, 0))
	c.Assert(out.HardState, qt.Not(qt.IsNil))
	out = node.Step(now, raft.Synced{Token: out.Token}, answer("b", raft.KindVoteAnswer, hard.Term+1, 0))
	c.Assert(node.Status().Role, qt.Equals, string(raft.Leader))
	return node, out
}

func answer(from core.ControlID, kind raft.MessageKind, term core.Term, index core.LogIndex) raft.Received {
	return raft.Received{
		Message: raft.Message{
			Kind:  kind,
			From:  peer(from),
			To:    peer("a"),
			Term:  term,
			Index: index,
		},
	}
}

// Guards against a leader that counts its own copy of an entry before the local disk has reported it as synced.
func TestOwnEntryCountsOnlyAfterSync(t *testing.T) {
	c := qt.New(t)
	node, out := elected(c)
	now := start.Add(2 * time.Second)
	c.Assert(out.Entries, qt.HasLen, 1)
	got := node.Step(now, answer("b", raft.KindAppendAnswer, 2, 2))
	c.Assert(got.Committed, qt.HasLen, 0)
	got = node.Step(now, raft.Synced{Token: out.Token})
	c.Assert(got.Committed, qt.HasLen, 2)
}

// Guards against an entry of an earlier term that is taken as committed and later overwritten: a majority that stores it
// does not prevent the election of a leader that lacks it (section 5.4.2 of the Raft paper).
func TestEarlierTermsCommitOnlyWithOwnTerm(t *testing.T) {
	c := qt.New(t)
	node, out := elected(c, raft.Entry{
		Index: 2,
		Term:  2,
		Kind:  raft.EntryCommand,
	})
	now := start.Add(2 * time.Second)
	got := node.Step(now, raft.Synced{Token: out.Token}, answer("b", raft.KindAppendAnswer, 3, 2))
	c.Assert(got.Committed, qt.HasLen, 0)
	got = node.Step(now, answer("b", raft.KindAppendAnswer, 3, 3))
	c.Assert(got.Committed, qt.HasLen, 3)
}

// Guards against counting answers of an instance that has a member's name but another data folder.
func TestAnswersOfAnotherIdentityDoNotCount(t *testing.T) {
	c := qt.New(t)
	node, out := elected(c)
	nonMember := answer("b", raft.KindAppendAnswer, 2, 2)
	nonMember.Message.From.Identity = "new-disk"
	got := node.Step(start.Add(2*time.Second), raft.Synced{Token: out.Token}, nonMember)
	c.Assert(got.Committed, qt.HasLen, 0)
}

// Guards against a proposal that is appended twice because it was forwarded to an instance that does not lead.
func TestFollowerRefusesForwardedProposal(t *testing.T) {
	c := qt.New(t)
	node := raft.NewNode(start, peer("a"), raft.Restored{}, raft.TrailingEntries, rand.New(rand.NewPCG(1, 1)))
	proposal := answer("b", raft.KindPropose, 0, 0)
	got := node.Step(start, proposal)
	c.Assert(got.Entries, qt.HasLen, 0)
	c.Assert(got.Messages, qt.HasLen, 1)
	c.Assert(got.Messages[0].Kind, qt.Equals, raft.KindRefused)
}

// Guards against a second vote in one term after a restart, and against a vote that is sent before it is synced.
func TestVoteIsSyncedAndRestored(t *testing.T) {
	c := qt.New(t)
	node := raft.NewNode(start, peer("a"), raft.Restored{}, raft.TrailingEntries, rand.New(rand.NewPCG(1, 1)))
	got := node.Step(start, answer("b", raft.KindVote, 5, 0))
	c.Assert(got.Messages, qt.HasLen, 0)
	c.Assert(got.AfterSync[0].Reject, qt.IsFalse)
	node = raft.NewNode(start, peer("a"), raft.Restored{
		HardState: *got.HardState,
	}, raft.TrailingEntries, rand.New(rand.NewPCG(1, 1)))
	got = node.Step(start, answer("c", raft.KindVote, 5, 0))
	c.Assert(got.AfterSync[0].Reject, qt.IsTrue)
}

// Guards against a membership change by a leader that has not committed an entry of its own term: a change of an earlier term
// that it lacks could form a majority that does not overlap.
func TestMembershipChangeWaitsForOwnTerm(t *testing.T) {
	c := qt.New(t)
	node, out := electedFrom(c, raft.Restored{
		HardState: raft.HardState{Term: 1},
		Snapshot:  raft.Snapshot{Index: 1, Term: 1, Members: threeMembers()},
	})
	now := start.Add(2 * time.Second)
	change := raft.Proposed{Change: &raft.Change{Kind: raft.ChangeRemove, Peer: peer("c")}}
	c.Assert(node.Step(now, change).Entries, qt.HasLen, 0)
	node.Step(now, raft.Synced{Token: out.Token}, answer("b", raft.KindAppendAnswer, 2, 2))
	c.Assert(node.Step(now, change).Entries, qt.HasLen, 1)
}
