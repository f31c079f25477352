package callerhttp

import (
	"time"

	"parsleyport/core"
)

const (
	// timeoutWindow is half the time for which the longest remaining time of a route's calls is remembered.
	timeoutWindow = 30 * time.Second
	// timeoutSpreadRatio is the part by which the callers of one route may differ in the time that they start with.
	timeoutSpreadRatio  = 0.2
	maxTimeoutEstimates = 4096
)

// patience learns how much time the callers of a route start with. A caller that was refused and comes back states less, so that
// the time since its first attempt is known, although each attempt is a call of its own.
type timeoutEstimate struct {
	longest   [2]time.Duration // of this span and the one before
	windowEnd time.Time        // end of this span
}

// used returns how long before this attempt the caller has begun, at least.
func (p *timeoutEstimate) elapsed(now time.Time, remaining time.Duration) time.Duration {
	if now.After(p.windowEnd) {
		p.longest[1] = p.longest[0]
		if now.After(p.windowEnd.Add(timeoutWindow)) {
			p.longest[1] = 0
		}
		p.longest[0], p.windowEnd = 0, now.Add(timeoutWindow)
	}
	p.longest[0] = max(p.longest[0], remaining)
	usual := (1 - timeoutSpreadRatio) * float64(max(p.longest[0], p.longest[1]))
	return max(0, time.Duration(usual)-remaining)
}

// elapsedBefore returns how long before this attempt the caller of a route has begun.
func (s *Server) elapsedBefore(route core.RouteName, now time.Time, remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.timeouts[route]
	if known == nil {
		if len(s.timeouts) >= maxTimeoutEstimates {
			clear(s.timeouts)
		}
		known = &timeoutEstimate{}
		s.timeouts[route] = known
	}
	return known.elapsed(now, remaining)
}
