package retry

import (
	"net/http"

	"parsleyport/core"
)

// MaxFreeRetries bounds the attempts of one call that cost nothing, so that a fleet in which every node is leaving
// cannot keep a call going round.
const MaxFreeRetries = 8

// Class says what may follow an attempt.
type Class int

// The classes of an attempt's result.
const (
	// Final means that the result goes to the caller.
	Final Class = iota
	// Repeat means that another attempt is allowed at the cost of one attempt and of the budget.
	RetryBudgeted
	// RetryFree means that another attempt costs nothing: the call met no overload and no backend server had any load of
	// it. If such attempts counted, the death of one node in three would use up the budget and refuse calls that the
	// other two can serve.
	RetryFree
)

// Classify returns what may follow an attempt; repeatable says that a second run does no harm.
func Classify(outcome core.Outcome, cause core.RefusalCause, repeatable bool) Class {
	switch outcome {
	case core.OutcomeNotRun:
		return classifyRefusal(cause)
	case core.OutcomeUnknown:
		if repeatable {
			return RetryBudgeted
		}
	}
	return Final
}

// ClassifyAnswer returns what may follow an answer with a status; relayed says that a node further down refused and that
// the backend server passed this on. A 503 or 502 of the backend server's own may be better elsewhere. A 504 has used up
// time that a further attempt would use up again, and any other 5xx is as likely to be caused by the call itself. A
// relayed answer is final, because the node further down has made the attempts that were left.
func ClassifyAnswer(status int, relayed, repeatable bool) Class {
	if repeatable && !relayed && (status == http.StatusServiceUnavailable || status == http.StatusBadGateway) {
		return RetryBudgeted
	}
	return Final
}

// Overloaded reports whether a status of a backend server's own says that it has too much to do.
func Overloaded(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func classifyRefusal(cause core.RefusalCause) Class {
	switch cause {
	case core.CauseLeaving, core.CauseNoBackend, core.CauseConnectFailed, core.CauseBackendRefused, core.CauseMisdirected, core.CauseRevoked:
		return RetryFree
	case core.CauseCrashSuspect, core.CauseTooDeep, core.CauseMalformedCall, core.CauseDuplicateCall, core.CauseNoRoute, core.CauseNotConfirmed, core.CauseTenantShare, core.CauseTooLarge:
		return Final
	}
	return RetryBudgeted
}

// RefusedForCapacity reports whether the node beside a backend server refused a call that it would have had to keep waiting.
func RefusedForCapacity(cause core.RefusalCause) bool {
	return cause == core.CauseDeadline || cause == core.CauseQueueFull
}

// Gone reports whether a refusal means that its node is of no use to the call. After a revocation it still is: the call
// had lost its connection, and a new one may work.
func NodeUnavailable(cause core.RefusalCause) bool {
	return classifyRefusal(cause) == RetryFree && cause != core.CauseRevoked
}

// Attempts counts the attempts of one call.
type Attempts struct {
	left        int
	freeRetries int
}

// NewAttempts returns the attempts of a call: the policy's number, or what the calling level has left if that is lower.
func NewAttempts(policy, inherited int) Attempts {
	left := policy
	if inherited > 0 {
		left = min(left, inherited)
	}
	return Attempts{
		left:        max(left, 1),
		freeRetries: MaxFreeRetries,
	}
}

// Waited gives one free try back to a call that has waited, since the wait bounds the rate of its tries.
func (a *Attempts) RestoreFreeRetry() {
	a.freeRetries = min(a.freeRetries+1, MaxFreeRetries)
}

// Start takes one attempt and returns how many attempts the calls below this one may make. The number falls with each
// level, so that n attempts at the top become at most 2^(n-1) at any depth instead of n to the power of the depth.
func (a *Attempts) Start() int {
	a.left--
	return max(a.left, 1)
}

// Another reports whether the class allows one more attempt; it asks the budget only for attempts that cost something.
func (a *Attempts) AllowRetry(class Class, budget func() bool) bool {
	switch class {
	case RetryFree:
		if a.freeRetries == 0 {
			return false
		}
		a.freeRetries--
		a.left++
		return true
	case RetryBudgeted:
		return a.left > 0 && budget()
	}
	return false
}
