package raftpeer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk"
)

// startedSimulation returns a simulation with one committed write, and its leader.
func startedSimulation(t *testing.T, size int) (*simulation, *instance) {
	w := newSimulation(t, 7, size)
	w.write("first=1")
	w.advance(time.Second)
	return w, w.leader()
}

// Guards against an instance that votes with a new disk although it may have voted with the old one.
func TestWipedDiskDoesNotVote(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	rest := w.others(leader.options.Self)
	lagging, wiped := w.instances[rest[0]], w.instances[rest[1]]

	// The leader and the instance that loses its disk store the entry; the third instance lacks it.
	w.isolate(rest[0], true, true)
	w.write("kept=1")
	leader.crash()
	wiped.wipe()
	wiped.start()
	w.isolate(rest[0], false, false)
	w.loseMessage = func(m raft.Message) bool {
		if m.From.ID == rest[1] && (m.Kind == raft.KindVoteAnswer || m.Kind == raft.KindPreVoteAnswer) && !m.Reject {
			t.Fatalf("the wiped instance granted %+v", m)
		}
		return false
	}
	w.advance(10 * time.Second)
	c.Assert(lagging.isLeader(), qt.IsFalse)

	// After the old leader's restart the entry still exists, and the wiped instance knows that it is not a member.
	leader.start()
	w.advanceUntil(5*time.Second, "leader after restart", leader.isLeader)
	w.advanceUntil(5*time.Second, "entry is kept", func() bool { return lagging.machine["kept"] == "1" })
	c.Assert(wiped.engine.bootstrap.Foreign(), qt.IsTrue)
	w.change(raft.ChangeReplace, rest[1])
	w.change(raft.ChangePromote, rest[1])
	w.converge()
	c.Assert(wiped.machine["kept"], qt.Equals, "1")
}

// Guards against data loss when another disk is lost right after the first one was replaced, whichever disk it is.
func TestSecondDiskLostAfterRepair(t *testing.T) {
	for order := range 2 {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			w, leader := startedSimulation(t, 3)
			rest := w.others(leader.options.Self)
			first := rest[0]
			second := []core.ControlID{leader.options.Self, rest[1]}[order]

			w.instances[first].wipe()
			w.write("during=1")
			w.instances[first].start()
			w.change(raft.ChangeReplace, first)
			w.change(raft.ChangePromote, first)
			w.instances[second].wipe()
			w.write("after=1")
			w.instances[second].start()
			w.advance(3 * time.Second) // the instance tries to bootstrap, which must not succeed
			w.change(raft.ChangeReplace, second)
			w.change(raft.ChangePromote, second)
			third := w.others(first, second)[0]
			w.instances[third].wipe()
			w.instances[third].start() // now no instance has the disk with which it took part in the bootstrap
			w.change(raft.ChangeReplace, third)
			w.change(raft.ChangePromote, third)
			w.converge()
			qt.Assert(t, fmt.Sprint(w.instances[first].machine), qt.Equals, "map[after:1 during:1 first:1 last:1]")
		})
	}
}

// Guards against a promotion that counts a learner towards the majority before it stores all committed entries.
func TestPromotionWaitsForTheLearner(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	rest := w.others(leader.options.Self)
	w.instances[rest[0]].wipe()
	w.instances[rest[0]].start()
	w.change(raft.ChangeReplace, rest[0])
	w.isolate(rest[0], false, true)
	w.write("missing=1")

	promoted := false
	w.changeOnce(leader, raft.ChangePromote, rest[0], func(string) { promoted = true })
	w.advance(5 * time.Second)
	c.Assert(promoted, qt.IsFalse)
	c.Assert(leader.engine.node.Status().Learners, qt.DeepEquals, []core.ControlID{rest[0]})
	w.write("possible=1") // the two voters are still a majority
	w.heal()
	w.advanceUntil(5*time.Second, "promotion", func() bool { return promoted })
	c.Assert(leader.engine.node.Status().Voters, qt.HasLen, 3)
}

// Guards against an added voter that is not counted, and a removed member that still leads or disturbs the others.
func TestMembershipGrowsAndShrinks(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	for _, id := range []core.ControlID{"c4", "c5"} {
		w.ids = append(w.ids, id)
		w.add(id, false)
		w.change(raft.ChangeAdd, id)
		w.change(raft.ChangePromote, id)
	}
	old := w.others(leader.options.Self, "c4", "c5")
	w.instances[old[0]].crash()
	w.instances[old[1]].crash()
	w.write("majority=with the added ones")
	w.heal()
	w.converge()

	w.change(raft.ChangeRemove, leader.options.Self)
	w.advanceUntil(5*time.Second, "new leader", func() bool { return w.leader() != nil && w.leader() != leader })
	w.write("after=1")
	next := w.leader()
	w.advance(10 * time.Second)
	c.Assert(w.leader(), qt.Equals, next)
	c.Assert(next.engine.node.Status().Voters, qt.DeepEquals, w.others(leader.options.Self))
	c.Assert(leader.machine["after"], qt.Equals, "")
}

// Guards against a second membership change before the first is committed: their majorities need not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 5)
	rest := w.others(leader.options.Self)
	for _, id := range rest {
		w.isolate(id, true, false)
	}
	var refusals []string
	for _, id := range rest[:2] {
		w.changeOnce(leader, raft.ChangeRemove, id, func(refused string) { refusals = append(refusals, refused) })
	}
	w.advance(100 * time.Millisecond)
	c.Assert(refusals, qt.DeepEquals, []string{"another membership change is under way"})
}

// Guards against a leader that stays leader, or confirms stale reads, while it is partitioned in any direction.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	for _, cut := range []struct {
		name               string
		outgoing, incoming bool
	}{
		{"outgoing", true, false},
		{"incoming", false, true},
		{"both", true, true},
	} {
		t.Run(cut.name, func(t *testing.T) {
			c := qt.New(t)
			w, leader := startedSimulation(t, 3)
			w.isolate(leader.options.Self, cut.outgoing, cut.incoming)
			begun := w.now
			w.advanceUntil(raft.ElectionTimeout+tick, "step-down", func() bool {
				leader.read(func(refused string) {
					if refused == "" && w.now.After(begun.Add(3*tick)) { // earlier answers were sent before the partition
						t.Errorf("read confirmed %v after the cut", w.now.Sub(begun))
					}
				})
				return !leader.isLeader()
			})
			w.advanceUntil(5*time.Second, "new leader", func() bool { return w.leader() != nil && w.leader() != leader })
			w.write("newer=1")
			stale := false
			leader.read(func(refused string) { stale = refused == "" && leader.machine["newer"] != "1" })
			w.advance(3 * time.Second)
			c.Assert(stale, qt.IsFalse)
		})
	}
}

// Guards against a process that is suspended and, when it resumes, acts as a leader that it no longer is.
func TestFrozenLeaderServesNoStaleRead(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	leader.propose("sent=1", func(string) {})
	w.advance(tick)
	leader.frozenUntil = w.now.Add(4 * time.Second)
	w.advanceUntil(4*time.Second, "new leader", func() bool {
		return w.instances[w.others(leader.options.Self)[0]].isLeader() || w.instances[w.others(leader.options.Self)[1]].isLeader()
	})
	w.checkLeaders()
	for _, id := range w.others(leader.options.Self) {
		if w.instances[id].isLeader() {
			w.instances[id].propose("newer=1", func(string) {})
		}
	}
	w.advance(time.Second)
	leader.frozenUntil = time.Time{}
	answered := ""
	leader.read(func(refused string) { answered = refused + leader.machine["newer"] })
	// It receives only answers that were queued before it froze, none of which tells it of the new leader.
	leader.inbox = lo.Filter(leader.inbox, func(p packet, _ int) bool {
		return p.message.Kind == raft.KindAppendAnswer && p.message.Term == leader.engine.node.Status().Term
	})
	c.Assert(len(leader.inbox) >= 2, qt.IsTrue)
	leader.run()
	c.Assert(leader.isLeader(), qt.IsFalse)
	w.advance(time.Second)
	c.Assert(answered, qt.Not(qt.Equals), "")
}

// Guards against a new leader that answers reads before it knows which entries are committed.
func TestNewLeaderReadsAfterItsNoOp(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	rest := w.others(leader.options.Self)
	// The followers store the entry but do not learn that it is committed.
	leader.propose("late=1", func(string) {})
	w.advance(2 * tick)
	w.loseMessage = func(m raft.Message) bool { return m.Kind == raft.KindAppend }
	w.advance(2 * tick)
	leader.crash()
	c.Assert(w.instances[rest[0]].machine["late"], qt.Equals, "")

	// The new leader's no-op entry is lost, while its heartbeats are answered.
	w.loseMessage = func(m raft.Message) bool { return len(m.Entries) > 0 }
	w.advanceUntil(5*time.Second, "new leader", func() bool { return w.leader() != nil })
	next, answered := w.leader(), false
	next.read(func(refused string) {
		answered = true
		c.Check(next.machine["late"], qt.Equals, "1", qt.Commentf("refused: %q", refused))
	})
	w.advance(700 * time.Millisecond)
	w.loseMessage = nil
	w.advanceUntil(time.Second, "read", func() bool { return answered })
}

// Guards against an instance that raises the term when a partition heals, which would depose a working leader.
func TestReturningInstanceDoesNotDisturb(t *testing.T) {
	for _, incoming := range []bool{true, false} {
		t.Run(fmt.Sprint(incoming), func(t *testing.T) {
			c := qt.New(t)
			w, leader := startedSimulation(t, 3)
			partitioned := w.others(leader.options.Self)[0]
			term := leader.engine.node.Status().Term
			w.isolate(partitioned, incoming, true)
			w.advance(30 * time.Second)
			w.write("away=1")
			w.heal()
			w.advance(5 * time.Second)
			c.Assert(leader.isLeader(), qt.IsTrue)
			c.Assert(leader.engine.node.Status().Term, qt.Equals, term)
			c.Assert(w.instances[partitioned].machine["away"], qt.Equals, "1")
		})
	}
}

// Guards against an instance that reaches the other followers but not the leader, and makes them leave that leader.
func TestInstancePartitionedFromLeaderDoesNotDisturb(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	partitioned := w.others(leader.options.Self)[0]
	term := leader.engine.node.Status().Term
	w.blocked[[2]core.ControlID{leader.options.Self, partitioned}] = true
	w.blocked[[2]core.ControlID{partitioned, leader.options.Self}] = true
	w.advance(10 * time.Second)
	c.Assert(leader.isLeader(), qt.IsTrue)
	c.Assert(leader.engine.node.Status().Term, qt.Equals, term)
}

// Guards against acknowledging an entry whose sync has failed, and against retrying that sync.
func TestFailedSyncAcknowledgesNothing(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	rest := w.others(leader.options.Self)
	for _, id := range rest {
		w.instances[id].folder.FailSyncs(true)
	}
	committed := false
	leader.propose("lost=1", func(refused string) { committed = refused == "" })
	w.advance(3 * time.Second)
	c.Assert(committed, qt.IsFalse)
	for _, id := range rest {
		i := w.instances[id]
		c.Assert(errors.Is(i.fault, disk.ErrFailed), qt.IsTrue)
		c.Assert(i.up, qt.IsFalse)
		c.Assert(errors.Is(i.engine.store.Write(nil, nil, nil), disk.ErrFailed), qt.IsTrue)
	}
}

// Guards against a restart that replays the whole log, or that restores less than was committed.
func TestRestartUsesTheSnapshot(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(t, 3, 1)
	only := w.instances["c1"]
	only.snapshotInterval = raft.SnapshotIntervalEntries
	only.crash()
	only.start()
	w.write("first=1")
	for n := range 2000 {
		only.propose(fmt.Sprintf("n=%d", n), func(string) {})
		if n%50 == 0 {
			w.advance(tick)
		}
	}
	w.advance(time.Second)
	only.crash()
	only.start()
	c.Assert(only.engine.restored.Snapshot.Index >= 1000, qt.IsTrue)
	c.Assert(len(only.engine.restored.Entries) < 1100, qt.IsTrue)
	w.write("last=1")
	c.Assert(only.machine["n"], qt.Equals, "1999")
}

// Guards against a member that cannot catch up once the entries it lacks have been compacted into the snapshot.
func TestSnapshotReachesLaggingInstance(t *testing.T) {
	c := qt.New(t)
	w, leader := startedSimulation(t, 3)
	lagging := w.others(leader.options.Self)[0]
	w.instances[lagging].crash()
	for n := range 60 {
		w.write(fmt.Sprintf("n%d=%010000d", n, n)) // the snapshot needs more than one chunk
	}
	restored := w.instances[lagging].machine
	w.heal()
	w.converge()
	c.Assert(len(restored), qt.Equals, 1)
	c.Assert(len(w.instances[lagging].machine), qt.Equals, 62)
	c.Assert(w.instances[lagging].applier.snapshotIndex > 0, qt.IsTrue)
}
