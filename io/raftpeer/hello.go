package raftpeer

import (
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
)

// introduce sends hellos to the known instances: every bootstrapInterval during the bootstrap, and every introduceInterval
// while this instance is not a member or knows no leader, since it may have been removed while it was unreachable.
func (r *Replica) introduce() {
	joined := r.isMember() && r.engine.node.Status().Leader != ""
	if !r.engine.bootstrap.Pending() && (joined || time.Since(r.introducedAt) < introduceInterval) {
		return
	}
	r.introducedAt = time.Now()
	for id := range r.knownInstances() {
		r.sendHello(id, false)
	}
}

// knownInstances returns the instances named by the settings, by the membership or by the hellos of other instances.
func (r *Replica) knownInstances() map[core.ControlID]bool {
	known := make(map[core.ControlID]bool)
	for _, member := range r.options.Members {
		known[member.ID] = true
	}
	for _, member := range r.engine.node.Members() {
		known[member.Peer.ID] = true
	}
	for id := range r.learnedAddresses {
		known[id] = true
	}
	delete(known, r.options.Self)
	return known
}

func (r *Replica) isMember() bool {
	self := r.engine.identity.Self
	return lo.ContainsBy(r.engine.node.Members(), func(m raft.Member) bool { return m.Peer == self })
}

func (r *Replica) sendHello(to core.ControlID, asAnswer bool) {
	hello := r.engine.hello(asAnswer)
	if r.options.AcceptUnknown {
		self := r.options.selfMember()
		hello.Address, hello.DataCentre = self.Address, self.DataCentre
		if asAnswer {
			hello.Members = r.engine.node.Members()
		}
	}
	r.enqueue(to, outgoing{
		kind:    typeHello,
		message: hello,
	})
}

// receiveHello records the sender's identity and answers. The answer is sent after the state it reports is synced.
func (r *Replica) receiveHello(hello *raft.Hello) error {
	if !r.recordIntroduction(hello) {
		return nil // unknown senders are ignored, which bounds the size of the maps
	}
	pending := r.engine.bootstrap.Pending()
	if err := r.engine.receiveHello(time.Now(), hello, r.random); err != nil {
		return errors.Trace(err)
	}
	if pending && !r.engine.bootstrap.Pending() {
		r.options.Logger.Info().
			Bool("started", r.engine.bootstrap.Started()).
			Bool("foreign", r.engine.bootstrap.Foreign()).
			Msg("agreement on the initial membership ended")
	}
	if !hello.Answer {
		r.sendHello(hello.From.ID, true)
	}
	return nil
}

// recordIntroduction records a hello from a known name. With AcceptUnknown it also records a limited number of other names.
func (r *Replica) recordIntroduction(hello *raft.Hello) bool {
	known := r.isKnownName(hello.From.ID)
	if !known && (!r.options.AcceptUnknown || hello.Address == "") {
		return false
	}
	r.mu.Lock()
	_, introduced := r.introductions[hello.From.ID]
	if !known && !introduced && len(r.introductions) >= maxMembers {
		r.mu.Unlock()
		return false
	}
	r.introductions[hello.From.ID] = Introduction{
		Peer:       hello.From,
		Address:    hello.Address,
		DataCentre: hello.DataCentre,
		At:         time.Now(),
	}
	r.mu.Unlock()
	if r.options.AcceptUnknown {
		r.connect(hello.From.ID, hello.Address)
		r.learnMembers(hello.Members)
	}
	return true
}

// IntroduceTo introduces this instance, if it is not a member, to others that may be members.
func (r *Replica) IntroduceTo(members []Member) {
	_ = r.inputs.Push(r.context, input{ // fails only once the replica is stopped
		introduceTo: members,
	})
}

// learnMembers connects to the members that another instance names, so that this one introduces itself to them: the leader
// may be none of the instances in the settings.
func (r *Replica) learnMembers(members []raft.Member) {
	if len(members) == 0 || len(members) > maxMembers {
		return
	}
	clear(r.learnedAddresses)
	for _, member := range members {
		if member.Peer.ID == r.options.Self || member.Address == "" {
			continue
		}
		r.learnedAddresses[member.Peer.ID] = member.Address
		r.connect(member.Peer.ID, member.Address)
	}
}

func (r *Replica) isKnownName(id core.ControlID) bool {
	return lo.ContainsBy(r.options.Members, func(m Member) bool { return m.ID == id }) ||
		lo.ContainsBy(r.engine.node.Members(), func(m raft.Member) bool { return m.Peer.ID == id }) || r.learnedAddresses[id] != ""
}
