package callerhttp

import (
	"time"

	"parsleyport/core"
)

const (
	// patienceSpan is half the time for which the longest remaining time of a route's calls is remembered.
	patienceSpan = 30 * time.Second
	// patienceSpread is the part by which the callers of one route may differ in the time that they start with.
	patienceSpread = 0.2
	maxPatience    = 4096
)

// patience learns how much time the callers of a route start with. A caller that was refused and comes back states less, so that
// the time since its first attempt is known, although each attempt is a call of its own.
type patience struct {
	longest [2]time.Duration // of this span and the one before
	until   time.Time        // end of this span
}

// used returns how long before this attempt the caller has begun, at least.
func (p *patience) used(now time.Time, remaining time.Duration) time.Duration {
	if now.After(p.until) {
		p.longest[1] = p.longest[0]
		if now.After(p.until.Add(patienceSpan)) {
			p.longest[1] = 0
		}
		p.longest[0], p.until = 0, now.Add(patienceSpan)
	}
	p.longest[0] = max(p.longest[0], remaining)
	usual := (1 - patienceSpread) * float64(max(p.longest[0], p.longest[1]))
	return max(0, time.Duration(usual)-remaining)
}

// usedBefore returns how long before this attempt the caller of a route has begun.
func (s *Server) usedBefore(route core.RouteName, now time.Time, remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.patience[route]
	if known == nil {
		if len(s.patience) >= maxPatience {
			clear(s.patience)
		}
		known = &patience{}
		s.patience[route] = known
	}
	return known.used(now, remaining)
}
