package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"parsleyport/core"
)

// Policy names a load balancing policy.
type Policy string

// The policies.
const (
	PolicyPowerOfTwo  Policy = "power-of-two"
	PolicyRandom      Policy = "random"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicySticky reserves the endpoint with the fewest sessions for each session, after the change "feat(router): add sticky
	// least-loaded session routing". Calls without a session are placed by power of two choices.
	PolicySticky Policy = "sticky"
	// PolicyExpected places a call by the response time estimated from load reports, in the local data centre as long as the
	// answer is expected on time there.
	PolicyExpected Policy = "expected"
	// PolicyLeastCompletion places a call where its completion is expected first, among a few endpoints, by the reported time until
	// a slot is free and the learned speeds of the endpoints. It keeps to the local data centre as PolicyExpected does.
	PolicyLeastCompletion Policy = "least-completion"
)

// Policies returns all policies, the default one first.
func Policies() []Policy {
	return []Policy{PolicyPowerOfTwo, PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicySticky, PolicyExpected, PolicyLeastCompletion}
}

func (b *Balancer) choose(now time.Time, request core.PickRequest, usable []*member) *member {
	switch b.options.Policy {
	case PolicyRandom:
		return usable[b.random.IntN(len(usable))]
	case PolicyRoundRobin:
		b.roundRobinIndex++
		return usable[b.roundRobinIndex%len(usable)]
	case PolicyLeastLoaded:
		return lo.MinBy(usable, func(a, b *member) bool { return a.outstanding < b.outstanding })
	case PolicyExpected:
		return b.choosePreferringLocal(now, request, usable, b.sampleByResponseTime)
	case PolicyLeastCompletion:
		return b.choosePreferringLocal(now, request, usable, b.sampleByCompletion)
	case PolicySticky:
		if request.Session != "" {
			return b.sticky(now, request.Session, usable)
		}
	}
	return b.localPowerOfTwo(now, usable)
}

// localPowerOfTwo prefers the local data centre unless an endpoint elsewhere is much better.
func (b *Balancer) localPowerOfTwo(now time.Time, usable []*member) *member {
	local, remote := lo.FilterReject(usable, func(m *member, _ int) bool {
		return m.endpoint.DataCentre == b.options.DataCentre
	})
	if len(local) == 0 {
		return b.powerOfTwo(now, remote)
	}
	localChoice := b.powerOfTwo(now, local)
	if len(remote) == 0 {
		return localChoice
	}
	remoteChoice := b.powerOfTwo(now, remote)
	if remoteChoice.cost(now)*remoteCostRatio < localChoice.cost(now) {
		return remoteChoice
	}
	return localChoice
}

func (b *Balancer) powerOfTwo(now time.Time, members []*member) *member {
	if len(members) == 1 {
		return members[0]
	}
	first := b.random.IntN(len(members))
	second := b.random.IntN(len(members) - 1)
	if second >= first {
		second++
	}
	if members[second].cost(now) < members[first].cost(now) {
		return members[second]
	}
	return members[first]
}

func (b *Balancer) sticky(now time.Time, session string, usable []*member) *member {
	if node, exists := b.sessions.find(now, session); exists {
		for _, m := range usable {
			if m.endpoint.Node == node {
				return m
			}
		}
	}
	chosen := lo.MinBy(usable, func(a, b *member) bool { return lessForSession(session, a, b) })
	b.sessions.reserve(now, session, chosen, b.members)
	return chosen
}

// lessForSession orders by number of sessions. Rendezvous hashing breaks ties, so that nodes agree without communicating.
func lessForSession(session string, a, b *member) bool {
	if a.sessions != b.sessions {
		return a.sessions < b.sessions
	}
	return xxhash.Sum64String(session+string(a.endpoint.Node)) < xxhash.Sum64String(session+string(b.endpoint.Node))
}

type reservation struct {
	node      core.NodeID
	expiresAt time.Time
}

// sessionTable holds the reservations of sticky sessions.
type sessionTable struct {
	reservations map[string]*reservation
}

func newSessionTable() sessionTable {
	return sessionTable{
		reservations: make(map[string]*reservation),
	}
}

func (t *sessionTable) find(now time.Time, session string) (core.NodeID, bool) {
	r, exists := t.reservations[session]
	if !exists || now.After(r.expiresAt) {
		return "", false
	}
	r.expiresAt = now.Add(sessionIdleTimeout)
	return r.node, true
}

func (t *sessionTable) reserve(now time.Time, session string, m *member, members map[core.NodeID]*member) {
	if existing, exists := t.reservations[session]; exists {
		t.release(existing, members)
	} else if len(t.reservations) >= maxSessions {
		return
	}
	t.reservations[session] = &reservation{
		node:      m.endpoint.Node,
		expiresAt: now.Add(sessionIdleTimeout),
	}
	m.sessions++
}

func (t *sessionTable) release(r *reservation, members map[core.NodeID]*member) {
	if m, exists := members[r.node]; exists {
		m.sessions = max(0, m.sessions-1)
	}
}

func (t *sessionTable) expire(now time.Time, members map[core.NodeID]*member) {
	for session, r := range t.reservations {
		if now.After(r.expiresAt) {
			t.release(r, members)
			delete(t.reservations, session)
		}
	}
}
