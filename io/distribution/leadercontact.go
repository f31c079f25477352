package distribution

import "time"

// leaderContactTimeout is how old the newest sign of a leader may be. With the time after which a control instance reports that it knows
// none, it stays near the 2 s after which an accepted configuration must be in use.
const leaderContactTimeout = 2 * pingInterval

// LeaderHeard reports whether the node is attached to a control instance that has heard from a leader recently, so that a configuration
// that was accepted seconds ago has arrived. It is false until the parent has answered a ping on the present link: by then, the parent
// has sent the configuration that it had when the link began.
func (s *Subscriber) LeaderHeard() bool {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return s.hub.leaderHeard(time.Now())
}

// leaderHeard is called with mu held.
func (h *hub) leaderHeard(now time.Time) bool {
	return h.attached && !h.stale && !h.parentUnheard && !h.heardAt.IsZero() && now.Sub(h.heardAt) <= leaderContactTimeout
}

// relaysUnheard reports whether the children of this relay must be told that it hears from no leader. Only configurations with tenants
// depend on it, so that other deployments exchange no messages for it. mu is held.
func (h *hub) relaysUnheard(now time.Time) bool {
	return h.relayID != "" && h.current.HasTenants() && !h.leaderHeard(now)
}

// announceLeaderContact tells the children about a change of relaysUnheard; mu is held.
func (h *hub) announceLeaderContact(now time.Time) {
	if unheard := h.relaysUnheard(now); unheard != h.unheardSent {
		h.unheardSent = unheard
		h.pathVersion++
		h.publishAndWake()
	}
}
