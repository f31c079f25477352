package raft

import (
	"slices"

	"github.com/samber/lo"

	"parsleyport/core"
)

// Hello announces an instance's identity and the initial membership that its data folder has stored.
type Hello struct {
	From    Peer     `msgpack:"from"`
	Initial []Member `msgpack:"initial,omitempty"`
	Started bool     `msgpack:"started"` // the sender knows that the deployment has started
	Answer  bool     `msgpack:"answer"`

	Address    string          `msgpack:"address,omitempty"` // of the sender, for receivers whose settings do not list it
	DataCentre core.DataCentre `msgpack:"data-centre,omitempty"`
	Members    []Member        `msgpack:"members,omitempty"` // in answers: the members that the receiver should send its hello to
}

// Bootstrap agrees on the identities of the initial members. An instance starts only after every initial member has
// stored the same identities. A disk that is wiped at any later time is therefore recognised, even if the settings still
// ask for a bootstrap.
type Bootstrap struct {
	self        Peer
	configured  []Member // from the settings, without identities; empty if no bootstrap is requested
	initial     []Member
	started     bool
	foreign     bool // another instance has stored an initial membership that lacks this identity
	identities  map[core.ControlID]Identity
	dataCentres map[core.ControlID]core.DataCentre // as announced, for members whose data centre the settings do not give
	agreed      map[core.ControlID]bool
}

// NewBootstrap returns the state for a data folder that has stored the initial membership (empty if it has none) and that
// holds a log or snapshot if started is set.
func NewBootstrap(self Peer, configured, initial []Member, started bool) *Bootstrap {
	return &Bootstrap{
		self:        self,
		configured:  configured,
		initial:     initial,
		started:     started,
		identities:  map[core.ControlID]Identity{self.ID: self.Identity},
		dataCentres: make(map[core.ControlID]core.DataCentre),
		agreed:      map[core.ControlID]bool{self.ID: true},
	}
}

// Step handles a hello; nil only checks what is known already. It returns a membership that must be synced before the next
// hello is sent, and whether the instance may start with the initial membership.
func (b *Bootstrap) Step(hello *Hello) (store []Member, start bool) {
	if !b.Pending() {
		return nil, false
	}
	storedBefore := len(b.initial)
	if hello != nil {
		b.receive(*hello)
	}
	if len(b.initial) == 0 && !b.foreign {
		b.assembleInitial()
	}
	if storedBefore == 0 {
		return b.initial, b.updateStarted(hello)
	}
	return nil, b.updateStarted(hello)
}

func (b *Bootstrap) receive(hello Hello) {
	if hello.Started && len(hello.Initial) == 0 {
		b.foreign = true // the sender is a learner of a deployment that has already started
		return
	}
	if len(hello.Initial) == 0 {
		b.identities[hello.From.ID] = hello.From.Identity
		b.dataCentres[hello.From.ID] = hello.DataCentre
		return
	}
	if !lo.ContainsBy(hello.Initial, func(m Member) bool { return m.Peer == b.self }) {
		b.foreign = true
		return
	}
	if len(b.initial) == 0 && slices.Equal(sortedIDs(hello.Initial), sortedIDs(b.configured)) {
		b.initial = hello.Initial
	}
	if slices.Equal(peers(hello.Initial), peers(b.initial)) {
		b.agreed[hello.From.ID] = true
	}
}

func (b *Bootstrap) assembleInitial() {
	if !lo.EveryBy(b.configured, func(m Member) bool { return b.identities[m.Peer.ID] != "" }) {
		return
	}
	b.initial = sortMembers(lo.Map(b.configured, func(m Member, _ int) Member {
		m.Peer.Identity = b.identities[m.Peer.ID]
		m.Voter = true
		m.DataCentre = lo.CoalesceOrEmpty(m.DataCentre, b.dataCentres[m.Peer.ID])
		return m
	}))
}

func (b *Bootstrap) updateStarted(hello *Hello) bool {
	startSeen := hello != nil && hello.Started && b.agreed[hello.From.ID]
	allAgreed := lo.EveryBy(b.initial, func(m Member) bool { return b.agreed[m.Peer.ID] })
	b.started = len(b.initial) > 0 && (allAgreed || startSeen)
	return b.started
}

// Hello returns the announcement to send; joined means that the instance became a member after the bootstrap.
func (b *Bootstrap) Hello(answer, joined bool) Hello {
	return Hello{
		From:    b.self,
		Initial: b.initial,
		Started: b.started || b.foreign || joined,
		Answer:  answer,
	}
}

// Pending reports whether the agreement is in progress. Until it ends, the instance must neither vote nor store entries,
// since it will start with the initial state.
func (b *Bootstrap) Pending() bool {
	return !b.started && !b.foreign && (len(b.configured) > 0 || len(b.initial) > 0)
}

// Foreign reports whether the deployment has started without this identity, as after the loss of a disk.
func (b *Bootstrap) Foreign() bool {
	return b.foreign
}

// Started reports whether the instance has started with the initial membership.
func (b *Bootstrap) Started() bool {
	return b.started
}

// InitialState returns the state that an initial member's data folder starts with. The initial membership is the first log
// entry, so that learners receive it with the log.
func InitialState(initial []Member) (HardState, []Entry) {
	state := HardState{
		Term: 1,
	}
	first := Entry{
		Index:   1,
		Term:    1,
		Kind:    EntryMembers,
		Members: initial,
	}
	return state, []Entry{first}
}

func peers(members []Member) []Peer {
	return lo.Map(members, func(m Member, _ int) Peer { return m.Peer })
}

func sortedIDs(members []Member) []core.ControlID {
	ids := lo.Map(members, func(m Member, _ int) core.ControlID { return m.Peer.ID })
	slices.Sort(ids)
	return ids
}
