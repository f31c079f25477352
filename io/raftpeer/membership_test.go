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

func newMembershipController(w *simulation) *membershipController {
	k := &membershipController{
		simulation:  w,
		heardAt:     make(map[[2]core.ControlID]time.Time),
		idsAssigned: len(w.ids),
	}
	w.onDelivery = func(from, to core.ControlID) { k.heardAt[[2]core.ControlID{from, to}] = w.now }
	return k
}

func (k *membershipController) run() {
	w := k.simulation
	leader := w.leader()
	if leader == nil || w.now.Before(leader.frozenUntil) {
		k.leader = ""
		return
	}
	if k.leader != leader.options.Self {
		k.leader, k.leaderSince = leader.options.Self, w.now
	}
	if w.now.Sub(k.leaderSince) < leaderSettleTime || k.changing && w.now.Before(k.changeDeadline) {
		return
	}
	change, due := membership.NextChange(w.now, wantedVoters, k.views(leader), k.nonMembers(leader))
	if !due {
		return
	}
	k.changing, k.changeDeadline = true, w.now.Add(time.Second)
	leader.request(func(request raft.RequestID) raft.Event {
		return raft.Proposed{
			Request: request,
			Change:  &change,
		}
	}, func(string) { k.changing = false })
}

func (k *membershipController) views(leader *instance) []membership.MemberStatus {
	return lo.Map(leader.engine.node.Members(), func(m raft.Member, _ int) membership.MemberStatus {
		view := membership.MemberStatus{
			Member:    m,
			LastHeard: k.heardAt[[2]core.ControlID{m.Peer.ID, leader.options.Self}],
		}
		if view.LastHeard.Before(k.leaderSince) {
			view.LastHeard = k.leaderSince
		}
		if m.Peer == leader.engine.identity.Self {
			view.LastHeard = k.simulation.now
		}
		if i := k.simulation.instances[m.Peer.ID]; i.up && i.engine.identity.Self == m.Peer {
			view.CaughtUp = i.applier.applied+maxCaughtUpLag >= leader.applier.applied
		}
		return view
	})
}

// nonMembers returns the running instances outside the membership whose messages reach the leader.
func (k *membershipController) nonMembers(leader *instance) []membership.Newcomer {
	members := leader.engine.node.Members()
	return lo.FilterMap(k.simulation.ids, func(id core.ControlID, _ int) (membership.Newcomer, bool) {
		i := k.simulation.instances[id]
		if !i.up || k.simulation.blocked[[2]core.ControlID{id, leader.options.Self}] {
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
func (k *membershipController) isComplete() bool {
	leader := k.simulation.leader()
	if leader == nil {
		return false
	}
	members := leader.engine.node.Members()
	return len(members) == len(k.simulation.ids) && lo.EveryBy(members, func(m raft.Member) bool {
		i := k.simulation.instances[m.Peer.ID]
		return m.Voter && slices.Contains(k.simulation.ids, m.Peer.ID) && i.up && i.engine.identity.Self == m.Peer &&
			i.applier.applied+maxCaughtUpLag >= leader.applier.applied
	})
}

// inject loses up to two disks at once, but only while the membership is complete. An instance may be lost with its disk.
func (k *membershipController) inject() string {
	w := k.simulation
	if w.random.IntN(4) > 0 || !k.isComplete() {
		return injectFault(w, &operator{simulation: w, repairing: "none"})
	}
	var lost []core.ControlID
	for _, at := range w.random.Perm(len(w.ids))[:1+w.random.IntN(2)] {
		lost = append(lost, w.ids[at])
	}
	for _, id := range lost {
		w.instances[id].wipe()
		if w.random.IntN(2) == 0 {
			continue // restarts under the same name with a new identity
		}
		k.idsAssigned++
		w.ids = lo.Without(w.ids, id)
		replacement := core.ControlID(fmt.Sprintf("c%d", k.idsAssigned))
		w.ids = append(w.ids, replacement)
		w.add(replacement, false)
	}
	return fmt.Sprintf("lost disks of %v", lost)
}

// Guards against losing acknowledged entries through automatic membership changes: up to two disks are lost at a time, with
// instances that return empty or under other names, while instances crash, freeze and are partitioned in any direction.
func TestAutomaticMembershipUnderFaults(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, wantedVoters)
			k := newMembershipController(w)
			runSchedule(t, w, schedule{
				inject:   k.inject,
				repair:   k.run,
				repaired: k.isComplete,
			})
		})
	}
}
