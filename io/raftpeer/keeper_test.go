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
	keptVoters = 5
	// keptLag is how far behind a learner may be that counts as caught up.
	keptLag = 10
	// keptLead is how long an instance leads before it judges silence.
	keptLead = 1500 * time.Millisecond
)

// keeper decides membership changes at the leader as io/control does, by what has arrived there.
type keeper struct {
	world    *world
	heardAt  map[[2]core.ControlID]time.Time // from, to
	leads    core.ControlID
	ledSince time.Time
	changing bool
	until    time.Time // of a change without an answer
	named    int       // instances that came later
}

func newKeeper(w *world) *keeper {
	k := &keeper{
		world:   w,
		heardAt: make(map[[2]core.ControlID]time.Time),
		named:   len(w.ids),
	}
	w.heard = func(from, to core.ControlID) { k.heardAt[[2]core.ControlID{from, to}] = w.now }
	return k
}

func (k *keeper) run() {
	w := k.world
	leader := w.leader()
	if leader == nil || w.now.Before(leader.frozen) {
		k.leads = ""
		return
	}
	if k.leads != leader.options.Self {
		k.leads, k.ledSince = leader.options.Self, w.now
	}
	if w.now.Sub(k.ledSince) < keptLead || k.changing && w.now.Before(k.until) {
		return
	}
	change, due := membership.NextChange(w.now, keptVoters, k.views(leader), k.newcomers(leader))
	if !due {
		return
	}
	k.changing, k.until = true, w.now.Add(time.Second)
	leader.request(func(request raft.RequestID) raft.Event {
		return raft.Proposed{
			Request: request,
			Change:  &change,
		}
	}, func(string) { k.changing = false })
}

func (k *keeper) views(leader *instance) []membership.MemberStatus {
	return lo.Map(leader.engine.node.Members(), func(m raft.Member, _ int) membership.MemberStatus {
		view := membership.MemberStatus{
			Member:    m,
			LastHeard: k.heardAt[[2]core.ControlID{m.Peer.ID, leader.options.Self}],
		}
		if view.LastHeard.Before(k.ledSince) {
			view.LastHeard = k.ledSince
		}
		if m.Peer == leader.engine.identity.Self {
			view.LastHeard = k.world.now
		}
		if i := k.world.instances[m.Peer.ID]; i.up && i.engine.identity.Self == m.Peer {
			view.CaughtUp = i.applier.applied+keptLag >= leader.applier.applied
		}
		return view
	})
}

// newcomers are the live instances, not cut off from the leader, that are no members.
func (k *keeper) newcomers(leader *instance) []membership.Newcomer {
	members := leader.engine.node.Members()
	return lo.FilterMap(k.world.ids, func(id core.ControlID, _ int) (membership.Newcomer, bool) {
		i := k.world.instances[id]
		if !i.up || k.world.cut[[2]core.ControlID{id, leader.options.Self}] {
			return membership.Newcomer{}, false
		}
		self := i.engine.identity.Self
		return membership.Newcomer{
			Peer:    self,
			Address: string(id),
		}, !lo.ContainsBy(members, func(m raft.Member) bool { return m.Peer == self })
	})
}

// whole reports whether the wanted number of live instances vote and hold what the leader holds, and no other is a member.
func (k *keeper) whole() bool {
	leader := k.world.leader()
	if leader == nil {
		return false
	}
	members := leader.engine.node.Members()
	return len(members) == len(k.world.ids) && lo.EveryBy(members, func(m raft.Member) bool {
		i := k.world.instances[m.Peer.ID]
		return m.Voter && slices.Contains(k.world.ids, m.Peer.ID) && i.up && i.engine.identity.Self == m.Peer &&
			i.applier.applied+keptLag >= leader.applier.applied
	})
}

// inject loses disks only while all others hold everything: two at once, with or without their instances.
func (k *keeper) inject() string {
	w := k.world
	if w.random.IntN(4) > 0 || !k.whole() {
		return injectFault(w, &operator{world: w, repairs: "none"})
	}
	var lost []core.ControlID
	for _, at := range w.random.Perm(len(w.ids))[:1+w.random.IntN(2)] {
		lost = append(lost, w.ids[at])
	}
	for _, id := range lost {
		w.instances[id].wipe()
		if w.random.IntN(2) == 0 {
			continue // comes back under its name, with another identity
		}
		k.named++
		w.ids = lo.Without(w.ids, id)
		replacement := core.ControlID(fmt.Sprintf("c%d", k.named))
		w.ids = append(w.ids, replacement)
		w.add(replacement, false)
	}
	return fmt.Sprintf("lost disks of %v", lost)
}

// Guards against a membership that is repaired into one which loses what was acknowledged: disks that are lost two at a time,
// with instances that come back empty or under other names, while instances crash, freeze and are cut off in any direction.
func TestKeptMembershipSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, keptVoters)
			k := newKeeper(w)
			runSchedule(t, w, schedule{
				inject:   k.inject,
				repair:   k.run,
				repaired: k.whole,
			})
		})
	}
}
