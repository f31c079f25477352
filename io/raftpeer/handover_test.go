package raftpeer

import (
	"testing"
	"time"

	"parsleyport/core/raft"
)

func (i *instance) handOver() {
	i.localEvents = append(i.localEvents, raft.HandOverRequested{})
}

// Guards against operators who wait for an election timeout when a leader is stopped deliberately, and against submissions
// that are lost during a leadership transfer.
func TestHandoverNeedsNoElectionTimeout(t *testing.T) {
	sim, leader := startedSimulation(t, 5)
	sim.write("x=1")
	term := leader.engine.node.Status().Term
	committed := 0
	for range 20 {
		leader.propose("x=2", func(refused string) {
			if refused == "" {
				committed++
			}
		})
	}
	leader.handOver()
	sim.advanceUntil(100*time.Millisecond, "another instance leads", func() bool {
		next := sim.leader()
		return next != nil && next != leader && !leader.isLeader() && next.engine.node.Status().Term == term+1
	})
	sim.advanceUntil(100*time.Millisecond, "the proposals are answered", func() bool { return committed == 20 })
	sim.converge()
}

// Guards against a leader that refuses proposals forever when its successor cannot be elected.
func TestFailedHandoverTimesOut(t *testing.T) {
	sim, leader := startedSimulation(t, 3)
	sim.write("x=1")
	sim.loseMessage = func(m raft.Message) bool { return m.Kind == raft.KindTimeoutNow }
	leader.handOver()
	refusal := ""
	sim.advance(2 * tick)
	leader.propose("x=2", func(refused string) { refusal = refused })
	sim.advance(2 * tick)
	if refusal != "the leader hands over" {
		t.Fatalf("a proposal during the handover was not refused: %q", refusal)
	}
	sim.advance(raft.HandoverTimeout + raft.HeartbeatInterval)
	if !leader.isLeader() {
		t.Fatalf("the leader has stepped down: %s", sim.describe())
	}
	sim.write("x=3")
}
