package retry

import (
	"time"

	"parsleyport/core"
)

const (
	// capacityWaitDivisor is the divisor of a caller's remaining time after which it should return if there was no slot for its call.
	// In an overload of seconds, a caller that returns soon meets the same queue, competes with new callers for the slots that serve
	// in time, and has used one of its few retries (testdata/persistent-overload.pattern of core/callreplay). Three waits fit in the
	// time of a caller.
	capacityWaitDivisor = 3
	// forecastWaitDivisor is the divisor of the part of a caller's remaining time that is added to the expected time until there is
	// room. It spreads the callers, and those that have waited longest return first (testdata/persistent-overload.pattern).
	forecastWaitDivisor = 4
	// rejectionWait is the wait after a backend server has rejected a call although it had a free slot: another one probably serves the
	// call, and in time if the caller returns soon (testdata/rejecting-backend-servers.pattern).
	rejectionWait = 50 * time.Millisecond
	// defaultWait covers the time in which a node learns of the endpoints that replace those which have left.
	defaultWait = 250 * time.Millisecond
)

// RefusedCall describes a call that is refused as not run.
type RefusedCall struct {
	Now            time.Time
	CallerDeadline time.Time // time until which the caller waits, all of its attempts together; zero if unknown
	Cause          core.RefusalCause
	FreeIn         time.Duration // expected time until a slot is free where it was refused, zero if unknown
}

// After returns how long the caller of a refused call should wait before it returns.
func After(refused RefusedCall) time.Duration {
	switch {
	case refused.Cause == core.CauseOverloaded:
		return rejectionWait
	case RefusedForCapacity(refused.Cause) && !refused.CallerDeadline.IsZero():
		left := refused.CallerDeadline.Sub(refused.Now)
		wait := left / capacityWaitDivisor
		if refused.FreeIn > 0 {
			wait = min(wait, refused.FreeIn+left/forecastWaitDivisor)
		}
		return max(rejectionWait, wait)
	}
	return defaultWait
}
