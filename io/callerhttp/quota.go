package callerhttp

import (
	"context"
	"math"
	"strconv"
	"time"

	"parsleyport/core"
)

// attemptWithinQuota makes the attempts of a call if its tenant's quota allows. The unit of a call that has reached no backend server
// is given back.
func (s *Server) attemptWithinQuota(ctx context.Context, req *request) attemptResult {
	if !req.limited || s.options.Quota == nil {
		return s.attemptCall(ctx, req)
	}
	unit, refused := s.options.Quota.Take(ctx, req.call.Tenant)
	if refused != nil {
		return attemptResult{
			outcome: core.OutcomeNotRun,
			err:     refused,
		}
	}
	last := s.attemptCall(ctx, req)
	if last.outcome == core.OutcomeNotRun && !req.reachedBackend.Load() {
		s.options.Quota.GiveBack(unit)
		return last
	}
	s.options.Quota.Settle(unit)
	return last
}

// refusedByBackend reports whether a backend server itself has stated that it did not run the call. The call has reached it, so that
// it counts towards the quota.
func refusedByBackend(cause core.RefusalCause) bool {
	return cause == core.CauseOverloaded || cause == core.CauseMisdirected || cause == core.CauseMalformedCall
}

// formatRetryAfter returns whole seconds, rounded up, as RFC 9110 defines the header, or milliseconds where the callers of this
// server accept fractions.
func (s *Server) formatRetryAfter(wait time.Duration) string {
	wait = max(wait, 0)
	if s.options.RetryAfter != nil {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
