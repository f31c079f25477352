package retry

import (
	"net/http"

	"parsleyport/core"
)

// MaxFreeRetries limits the free retries of one call, so that a call does not circulate while every node is leaving.
const MaxFreeRetries = 8

// Class says whether an attempt may be retried.
type Class int

// The classes of an attempt's result.
const (
	// Final means that the result goes to the caller.
	Final Class = iota
	// RetryBudgeted means that a retry is allowed and counts as an attempt and against the budget.
	RetryBudgeted
	// RetryFree means that a retry is allowed and costs nothing: the call met no overload and put no load on a backend server. If
	// such retries counted, the failure of one node in three would use up the budget and refuse calls that the other two could
	// serve.
	RetryFree
)

// Classify classifies an attempt without an answer; repeatable says that running the call twice does no harm.
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

// ClassifyAnswer classifies an answer by its status; relayed says that the backend server passed on the refusal of a node behind
// it. A 503 or 502 of the backend server itself may succeed elsewhere. A 504 is final because a retry would use up the same time
// again, and any other 5xx because it is as likely to be caused by the call itself. A relayed answer is final because the node
// behind the backend server has already made the remaining attempts.
func ClassifyAnswer(status int, relayed, repeatable bool) Class {
	if repeatable && !relayed && (status == http.StatusServiceUnavailable || status == http.StatusBadGateway) {
		return RetryBudgeted
	}
	return Final
}

// Overloaded reports whether the status of a backend server's answer says that it is overloaded.
func Overloaded(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func classifyRefusal(cause core.RefusalCause) Class {
	switch cause {
	case core.CauseLeaving, core.CauseNoBackend, core.CauseConnectFailed, core.CauseBackendRefused, core.CauseMisdirected, core.CauseRevoked:
		return RetryFree
	case core.CauseCrashSuspect, core.CauseTooDeep, core.CauseMalformedCall, core.CauseDuplicateCall, core.CauseNoRoute, core.CauseNotConfirmed, core.CauseTenantShare, core.CauseTooLarge,
		core.CauseUnknownKey, core.CauseQuotaUsed, core.CauseQuotaUnavailable:
		return Final
	}
	return RetryBudgeted
}

// RefusedForCapacity reports whether a node refused a call because its backend server had no slot for it in time.
func RefusedForCapacity(cause core.RefusalCause) bool {
	return cause == core.CauseDeadline || cause == core.CauseQueueFull
}

// NodeUnavailable reports whether a refusal means that its node cannot serve the call. A revocation does not: the call lost its
// connection, and a new connection may work.
func NodeUnavailable(cause core.RefusalCause) bool {
	return classifyRefusal(cause) == RetryFree && cause != core.CauseRevoked
}

// Attempts counts the remaining attempts of one call.
type Attempts struct {
	left        int
	freeRetries int
}

// NewAttempts returns the attempts of a call: the number in the policy, or what the calling level has left if that is lower.
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

// RestoreFreeRetry gives one free retry back to a call that has waited, since the wait limits the rate of its retries.
func (a *Attempts) RestoreFreeRetry() {
	a.freeRetries = min(a.freeRetries+1, MaxFreeRetries)
}

// Start takes one attempt and returns how many attempts nested calls may make. The number decreases with each level, so that n
// attempts at the top become at most 2^(n-1) at any depth, instead of n to the power of the depth.
func (a *Attempts) Start() int {
	a.left--
	return max(a.left, 1)
}

// AllowRetry reports whether the class allows another attempt. It calls budget only for attempts that are not free.
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
