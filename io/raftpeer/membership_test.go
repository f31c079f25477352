package raftpeer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/membership"
	"parsleyport/core/raft"
)

const (
	wantedVoters = 5
	// maxCaughtUpLag is the greatest number of entries by which a learner that counts as caught up may lag.
	maxCaughtUpLag = 10
	// leaderSettleTime is how long an instance must have led before it may treat a member as silent.
	leaderSettleTime = 1500 * time.Millisecond
)

// membershipController decides on membership changes at the leader, from the messages that have arrived there, like io/control.
type membershipController struct {
	simulation     *simulation
	heardAt        map[[2]core.ControlID]time.Time // from, to
	leader         core.ControlID
	leaderSince    time.Time
	changing       bool
	changeDeadline time.Time // after which a change without an answer is given up
	idsAssigned    int       // number of instance ids used so far
}

func newMembershipController(sim *simulation) *membershipController {
	mc := &membershipController{
		simulation:  sim,
		heardAt:     make(map[[2]core.ControlID]time.Time),
		idsAssigned: len(sim.ids),
	}
	sim.onDelivery = func(from, to core.ControlID) { mc.heardAt[[2]core.ControlID{from, to}] = sim.now }
	return mc
}

func (mc *membershipController) run() {
	sim := mc.simulation
	leader := sim.leader()
	if leader == nil || sim.now.Before(leader.frozenUntil) {
		mc.leader = ""
		return
	}
	if mc.leader != leader.options.Self {
		mc.leader, mc.leaderSince = leader.options.Self, sim.now
	}
	if sim.now.Sub(mc.leaderSince) < leaderSettleTime || mc.changing && sim.now.Before(mc.changeDeadline) {
		return
	}
	change, due := membership.NextChange(sim.now, wantedVoters, mc.views(leader), mc.nonMembers(leader))
	if !due {
		return
	}
	mc.changing, mc.changeDeadline = true, sim.now.Add(time.Second)
	leader.request(func(request raft.RequestID) raft.Event {
		return raft.Proposed{
			Request: request,
			Change:  &change,
		}
	}, func(string) { mc.changing = false })
}

func (mc *membershipController) views(leader *instance) []membership.MemberStatus {
	return lo.Map(leader.engine.node.Members(), func(m raft.Member, _ int) membership.MemberStatus {
		view := membership.MemberStatus{
			Member:    m,
			LastHeard: mc.heardAt[[2]core.ControlID{m.Peer.ID, leader.options.Self}],
		}
		if view.LastHeard.Before(mc.leaderSince) {
			view.LastHeard = mc.leaderSince
		}
		if m.Peer == leader.engine.identity.Self {
			view.LastHeard = mc.simulation.now
		}
		if i := mc.simulation.instances[m.Peer.ID]; i.up && i.engine.identity.Self == m.Peer {
			view.CaughtUp = i.applier.applied+maxCaughtUpLag >= leader.applier.applied
		}
		return view
	})
}

// nonMembers returns the running instances outside the membership whose messages reach the leader.
func (mc *membershipController) nonMembers(leader *instance) []membership.Newcomer {
	members := leader.engine.node.Members()
	return lo.FilterMap(mc.simulation.ids, func(id core.ControlID, _ int) (membership.Newcomer, bool) {
		i := mc.simulation.instances[id]
		if !i.up || mc.simulation.blocked[[2]core.ControlID{id, leader.options.Self}] {
			return membership.Newcomer{}, false
		}
		self := i.engine.identity.Self
		return membership.Newcomer{
			Peer:    self,
			Address: string(id),
		}, !lo.ContainsBy(members, func(m raft.Member) bool { return m.Peer == self })
	})
}

// isComplete reports whether the members are exactly the instances of the simulation, all running voters that have caught up.
func (mc *membershipController) isComplete() bool {
	leader := mc.simulation.leader()
	if leader == nil {
		return false
	}
	members := leader.engine.node.Members()
	return len(members) == len(mc.simulation.ids) && lo.EveryBy(members, func(m raft.Member) bool {
		i := mc.simulation.instances[m.Peer.ID]
		return m.Voter && slices.Contains(mc.simulation.ids, m.Peer.ID) && i.up && i.engine.identity.Self == m.Peer &&
			i.applier.applied+maxCaughtUpLag >= leader.applier.applied
	})
}

// inject loses up to two disks at once, but only while the membership is complete. An instance may be lost with its disk.
func (mc *membershipController) inject() string {
	sim := mc.simulation
	if sim.random.IntN(4) > 0 || !mc.isComplete() {
		return injectFault(sim, &operator{simulation: sim, repairing: "none"})
	}
	var lost []core.ControlID
	for _, at := range sim.random.Perm(len(sim.ids))[:1+sim.random.IntN(2)] {
		lost = append(lost, sim.ids[at])
	}
	for _, id := range lost {
		sim.instances[id].wipe()
		if sim.random.IntN(2) == 0 {
			continue // restarts under the same name with a new identity
		}
		mc.idsAssigned++
		sim.ids = lo.Without(sim.ids, id)
		replacement := core.ControlID(fmt.Sprintf("c%d", mc.idsAssigned))
		sim.ids = append(sim.ids, replacement)
		sim.add(replacement, false)
	}
	return fmt.Sprintf("lost disks of %v", lost)
}

// Guards against losing acknowledged entries through automatic membership changes: up to two disks are lost at a time, with
// instances that return empty or under other names, while instances crash, freeze and are partitioned in any direction.
func TestAutomaticMembershipUnderFaults(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, wantedVoters)
			mc := newMembershipController(sim)
			runSchedule(t, sim, schedule{
				inject:   mc.inject,
				repair:   mc.run,
				repaired: mc.isComplete,
			})
		})
	}
}
