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
	sim := newSimulation(t, 7, size)
	sim.write("first=1")
	sim.advance(time.Second)
	return sim, sim.leader()
}

// Guards against an instance that votes with a new disk although it may have voted with the old one.
func TestWipedDiskDoesNotVote(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	rest := sim.others(leader.options.Self)
	lagging, wiped := sim.instances[rest[0]], sim.instances[rest[1]]

	// The leader and the instance that loses its disk store the entry; the third instance lacks it.
	sim.isolate(rest[0], true, true)
	sim.write("kept=1")
	leader.crash()
	wiped.wipe()
	wiped.start()
	sim.isolate(rest[0], false, false)
	sim.loseMessage = func(m raft.Message) bool {
		if m.From.ID == rest[1] && (m.Kind == raft.KindVoteAnswer || m.Kind == raft.KindPreVoteAnswer) && !m.Reject {
			t.Fatalf("the wiped instance granted %+v", m)
		}
		return false
	}
	sim.advance(10 * time.Second)
	c.Assert(lagging.isLeader(), qt.IsFalse)

	// After the old leader's restart the entry still exists, and the wiped instance knows that it is not a member.
	leader.start()
	sim.advanceUntil(5*time.Second, "leader after restart", leader.isLeader)
	sim.advanceUntil(5*time.Second, "entry is kept", func() bool { return lagging.machine["kept"] == "1" })
	c.Assert(wiped.engine.bootstrap.Foreign(), qt.IsTrue)
	sim.change(raft.ChangeReplace, rest[1])
	sim.change(raft.ChangePromote, rest[1])
	sim.converge()
	c.Assert(wiped.machine["kept"], qt.Equals, "1")
}

// Guards against data loss when another disk is lost right after the first one was replaced, whichever disk it is.
func TestSecondDiskLostAfterRepair(t *testing.T) {
	for order := range 2 {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			sim, leader := startedSimulation(t, 3)
			rest := sim.others(leader.options.Self)
			first := rest[0]
			second := []core.ControlID{leader.options.Self, rest[1]}[order]

			sim.instances[first].wipe()
			sim.write("during=1")
			sim.instances[first].start()
			sim.change(raft.ChangeReplace, first)
			sim.change(raft.ChangePromote, first)
			sim.instances[second].wipe()
			sim.write("after=1")
			sim.instances[second].start()
			sim.advance(3 * time.Second) // the instance tries to bootstrap, which must not succeed
			sim.change(raft.ChangeReplace, second)
			sim.change(raft.ChangePromote, second)
			third := sim.others(first, second)[0]
			sim.instances[third].wipe()
			sim.instances[third].start() // now no instance has the disk with which it took part in the bootstrap
			sim.change(raft.ChangeReplace, third)
			sim.change(raft.ChangePromote, third)
			sim.converge()
			qt.Assert(t, fmt.Sprint(sim.instances[first].machine), qt.Equals, "map[after:1 during:1 first:1 last:1]")
		})
	}
}

// Guards against a promotion that counts a learner towards the majority before it stores all committed entries.
func TestPromotionWaitsForTheLearner(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	rest := sim.others(leader.options.Self)
	sim.instances[rest[0]].wipe()
	sim.instances[rest[0]].start()
	sim.change(raft.ChangeReplace, rest[0])
	sim.isolate(rest[0], false, true) // the learner receives nothing
	sim.write("missing=1")

	promoted := false
	sim.changeOnce(leader, raft.ChangePromote, rest[0], func(string) { promoted = true })
	sim.advance(5 * time.Second)
	c.Assert(promoted, qt.IsFalse)
	c.Assert(leader.engine.node.Status().Learners, qt.DeepEquals, []core.ControlID{rest[0]})
	sim.write("possible=1") // the two voters are still a majority
	sim.heal()
	sim.advanceUntil(5*time.Second, "promotion", func() bool { return promoted })
	c.Assert(leader.engine.node.Status().Voters, qt.HasLen, 3)
}

// Guards against an added voter that is not counted, and a removed member that still leads or disturbs the others.
func TestMembershipGrowsAndShrinks(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	for _, id := range []core.ControlID{"c4", "c5"} {
		sim.ids = append(sim.ids, id)
		sim.add(id, false)
		sim.change(raft.ChangeAdd, id)
		sim.change(raft.ChangePromote, id)
	}
	old := sim.others(leader.options.Self, "c4", "c5")
	sim.instances[old[0]].crash()
	sim.instances[old[1]].crash()
	sim.write("majority=with the added ones")
	sim.heal()
	sim.converge()

	sim.change(raft.ChangeRemove, leader.options.Self)
	sim.advanceUntil(5*time.Second, "new leader", func() bool { return sim.leader() != nil && sim.leader() != leader })
	sim.write("after=1")
	next := sim.leader()
	sim.advance(10 * time.Second)
	c.Assert(sim.leader(), qt.Equals, next)
	c.Assert(next.engine.node.Status().Voters, qt.DeepEquals, sim.others(leader.options.Self))
	c.Assert(leader.machine["after"], qt.Equals, "")
}

// Guards against a second membership change before the first is committed: their majorities need not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 5)
	rest := sim.others(leader.options.Self)
	for _, id := range rest {
		sim.isolate(id, true, false)
	}
	var refusals []string
	for _, id := range rest[:2] {
		sim.changeOnce(leader, raft.ChangeRemove, id, func(refused string) { refusals = append(refusals, refused) })
	}
	sim.advance(100 * time.Millisecond)
	c.Assert(refusals, qt.DeepEquals, []string{"another membership change is under way"})
}

// Guards against a leader that stays leader, or confirms stale reads, while it is partitioned in any direction.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	for _, partition := range []struct {
		name               string
		outgoing, incoming bool
	}{
		{"outgoing", true, false},
		{"incoming", false, true},
		{"both", true, true},
	} {
		t.Run(partition.name, func(t *testing.T) {
			c := qt.New(t)
			sim, leader := startedSimulation(t, 3)
			sim.isolate(leader.options.Self, partition.outgoing, partition.incoming)
			startedAt := sim.now
			sim.advanceUntil(raft.ElectionTimeout+tick, "step-down", func() bool {
				leader.read(func(refused string) {
					if refused == "" && sim.now.After(startedAt.Add(3*tick)) { // earlier answers were sent before the partition
						t.Errorf("read confirmed %v after the partition", sim.now.Sub(startedAt))
					}
				})
				return !leader.isLeader()
			})
			sim.advanceUntil(5*time.Second, "new leader", func() bool { return sim.leader() != nil && sim.leader() != leader })
			sim.write("newer=1")
			stale := false
			leader.read(func(refused string) { stale = refused == "" && leader.machine["newer"] != "1" })
			sim.advance(3 * time.Second)
			c.Assert(stale, qt.IsFalse)
		})
	}
}

// Guards against a process that is suspended and, when it resumes, acts as a leader that it no longer is.
func TestFrozenLeaderServesNoStaleRead(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	leader.propose("sent=1", func(string) {})
	sim.advance(tick)
	leader.frozenUntil = sim.now.Add(4 * time.Second)
	sim.advanceUntil(4*time.Second, "new leader", func() bool {
		return sim.instances[sim.others(leader.options.Self)[0]].isLeader() || sim.instances[sim.others(leader.options.Self)[1]].isLeader()
	})
	sim.checkLeaders()
	for _, id := range sim.others(leader.options.Self) {
		if sim.instances[id].isLeader() {
			sim.instances[id].propose("newer=1", func(string) {})
		}
	}
	sim.advance(time.Second)
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
	sim.advance(time.Second)
	c.Assert(answered, qt.Not(qt.Equals), "")
}

// Guards against a new leader that answers reads before it knows which entries are committed.
func TestNewLeaderReadsAfterItsNoOp(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	rest := sim.others(leader.options.Self)
	// The followers store the entry but do not learn that it is committed.
	leader.propose("late=1", func(string) {})
	sim.advance(2 * tick)
	sim.loseMessage = func(m raft.Message) bool { return m.Kind == raft.KindAppend }
	sim.advance(2 * tick)
	leader.crash()
	c.Assert(sim.instances[rest[0]].machine["late"], qt.Equals, "")

	// The new leader's no-op entry is lost, while its heartbeats are answered.
	sim.loseMessage = func(m raft.Message) bool { return len(m.Entries) > 0 }
	sim.advanceUntil(5*time.Second, "new leader", func() bool { return sim.leader() != nil })
	next, answered := sim.leader(), false
	next.read(func(refused string) {
		answered = true
		c.Check(next.machine["late"], qt.Equals, "1", qt.Commentf("refused: %q", refused))
	})
	sim.advance(700 * time.Millisecond)
	sim.loseMessage = nil
	sim.advanceUntil(time.Second, "read", func() bool { return answered })
}

// Guards against an instance that raises the term when a partition heals, which would depose a working leader.
func TestReturningInstanceDoesNotDisturb(t *testing.T) {
	for _, incoming := range []bool{true, false} {
		t.Run(fmt.Sprint(incoming), func(t *testing.T) {
			c := qt.New(t)
			sim, leader := startedSimulation(t, 3)
			partitioned := sim.others(leader.options.Self)[0]
			term := leader.engine.node.Status().Term
			sim.isolate(partitioned, incoming, true)
			sim.advance(30 * time.Second)
			sim.write("away=1")
			sim.heal()
			sim.advance(5 * time.Second)
			c.Assert(leader.isLeader(), qt.IsTrue)
			c.Assert(leader.engine.node.Status().Term, qt.Equals, term)
			c.Assert(sim.instances[partitioned].machine["away"], qt.Equals, "1")
		})
	}
}

// Guards against an instance that reaches the other followers but not the leader, and makes them leave that leader.
func TestInstancePartitionedFromLeaderDoesNotDisturb(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	partitioned := sim.others(leader.options.Self)[0]
	term := leader.engine.node.Status().Term
	sim.blocked[[2]core.ControlID{leader.options.Self, partitioned}] = true
	sim.blocked[[2]core.ControlID{partitioned, leader.options.Self}] = true
	sim.advance(10 * time.Second)
	c.Assert(leader.isLeader(), qt.IsTrue)
	c.Assert(leader.engine.node.Status().Term, qt.Equals, term)
}

// Guards against acknowledging an entry whose sync has failed, and against retrying that sync.
func TestFailedSyncAcknowledgesNothing(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	rest := sim.others(leader.options.Self)
	for _, id := range rest {
		sim.instances[id].folder.FailSyncs(true)
	}
	committed := false
	leader.propose("lost=1", func(refused string) { committed = refused == "" })
	sim.advance(3 * time.Second)
	c.Assert(committed, qt.IsFalse)
	for _, id := range rest {
		i := sim.instances[id]
		c.Assert(errors.Is(i.fault, disk.ErrFailed), qt.IsTrue)
		c.Assert(i.up, qt.IsFalse)
		c.Assert(errors.Is(i.engine.store.Write(nil, nil, nil), disk.ErrFailed), qt.IsTrue)
	}
}

// Guards against a restart that replays the whole log, or that restores less than was committed.
func TestRestartUsesTheSnapshot(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 3, 1)
	only := sim.instances["c1"]
	only.snapshotInterval = raft.SnapshotIntervalEntries
	only.crash()
	only.start()
	sim.write("first=1")
	for n := range 2000 {
		only.propose(fmt.Sprintf("n=%d", n), func(string) {})
		if n%50 == 0 {
			sim.advance(tick)
		}
	}
	sim.advance(time.Second)
	only.crash()
	only.start()
	c.Assert(only.engine.restored.Snapshot.Index >= 1000, qt.IsTrue)
	c.Assert(len(only.engine.restored.Entries) < 1100, qt.IsTrue)
	sim.write("last=1")
	c.Assert(only.machine["n"], qt.Equals, "1999")
}

// Guards against a member that cannot catch up once the entries it lacks have been compacted into the snapshot.
func TestSnapshotReachesLaggingInstance(t *testing.T) {
	c := qt.New(t)
	sim, leader := startedSimulation(t, 3)
	lagging := sim.others(leader.options.Self)[0]
	sim.instances[lagging].crash()
	for n := range 60 {
		sim.write(fmt.Sprintf("n%d=%010000d", n, n)) // the snapshot needs more than one chunk
	}
	restored := sim.instances[lagging].machine
	sim.heal()
	sim.converge()
	c.Assert(len(restored), qt.Equals, 1)
	c.Assert(len(sim.instances[lagging].machine), qt.Equals, 62)
	c.Assert(sim.instances[lagging].applier.snapshotIndex > 0, qt.IsTrue)
}
