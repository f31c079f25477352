package raftpeer

import (
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
)

// introduce tells the others the identity: often while the initial membership is agreed on, and now and then while this
// instance is not a member.
func (r *Replica) introduce() {
	if !r.engine.bootstrap.Pending() && (r.isMember() || time.Since(r.introducedAt) < introduceInterval) {
		return
	}
	r.introducedAt = time.Now()
	for _, member := range r.options.Members {
		if member.ID != r.options.Self {
			r.sayHello(member.ID, false)
		}
	}
}

func (r *Replica) isMember() bool {
	self := r.engine.identity.Self
	return lo.ContainsBy(r.engine.node.Members(), func(m raft.Member) bool { return m.Peer == self })
}

func (r *Replica) sayHello(to core.ControlID, asAnswer bool) {
	r.post(to, outgoing{
		kind:    typeHello,
		message: r.engine.hello(asAnswer),
	})
}

// hear notes an identity and answers; the answer leaves after what it says is synced.
func (r *Replica) hear(hello *raft.Hello) error {
	if !r.isKnownName(hello.From.ID) {
		return nil // names come from the settings or the membership, so that the map stays small
	}
	r.mu.Lock()
	r.heard[hello.From.ID] = hello.From.Identity
	r.mu.Unlock()
	pending := r.engine.bootstrap.Pending()
	if err := r.engine.hear(time.Now(), hello, r.random); err != nil {
		return errors.Trace(err)
	}
	if pending && !r.engine.bootstrap.Pending() {
		r.options.Logger.Info().
			Bool("started", r.engine.bootstrap.Started()).
			Bool("foreign", r.engine.bootstrap.Foreign()).
			Msg("agreement on the initial membership ended")
	}
	if !hello.Answer {
		r.sayHello(hello.From.ID, true)
	}
	return nil
}

func (r *Replica) isKnownName(id core.ControlID) bool {
	return lo.ContainsBy(r.options.Members, func(m Member) bool { return m.ID == id }) ||
		lo.ContainsBy(r.engine.node.Members(), func(m raft.Member) bool { return m.Peer.ID == id })
}
