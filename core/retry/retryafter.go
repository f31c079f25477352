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
}

// After returns how long the caller of a refused call should wait before it returns.
func After(refused RefusedCall) time.Duration {
	switch {
	case refused.Cause == core.CauseOverloaded:
		return rejectionWait
	case RefusedForCapacity(refused.Cause) && !refused.CallerDeadline.IsZero():
		return max(rejectionWait, refused.CallerDeadline.Sub(refused.Now)/capacityWaitDivisor)
	}
	return defaultWait
}
