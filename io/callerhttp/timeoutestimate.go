package callerhttp

import (
	"time"

	"parsleyport/core"
)

const (
	// timeoutWindow is the length of a window; the maximum of two windows is used.
	timeoutWindow = 30 * time.Second
	// timeoutSpreadRatio is the relative difference between the timeouts of callers of one route that is ignored.
	timeoutSpreadRatio  = 0.2
	maxTimeoutEstimates = 4096
)

// timeoutEstimate estimates the timeout with which the callers of a route start, as the longest remaining time of the last two
// windows. A caller that was refused and retries states a shorter remaining time. The difference is the time since its first attempt,
// which is not known otherwise, since each attempt is a call of its own.
type timeoutEstimate struct {
	longest   [2]time.Duration // longest remaining time of the current and of the previous window
	windowEnd time.Time        // of the current window
}

// elapsed returns a lower bound of the time since the caller's first attempt.
func (e *timeoutEstimate) elapsed(now time.Time, remaining time.Duration) time.Duration {
	if now.After(e.windowEnd) {
		e.longest[1] = e.longest[0]
		if now.After(e.windowEnd.Add(timeoutWindow)) {
			e.longest[1] = 0
		}
		e.longest[0], e.windowEnd = 0, now.Add(timeoutWindow)
	}
	e.longest[0] = max(e.longest[0], remaining)
	usualTimeout := (1 - timeoutSpreadRatio) * float64(max(e.longest[0], e.longest[1]))
	return max(0, time.Duration(usualTimeout)-remaining)
}

// elapsedSinceFirstAttempt returns a lower bound of the time since the first attempt of a caller of the route with this remaining time.
func (s *Server) elapsedSinceFirstAttempt(route core.RouteName, now time.Time, remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := s.timeouts[route]
	if estimate == nil {
		if len(s.timeouts) >= maxTimeoutEstimates {
			clear(s.timeouts)
		}
		estimate = &timeoutEstimate{}
		s.timeouts[route] = estimate
	}
	return estimate.elapsed(now, remaining)
}
