package retry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/retry"
)

// Guards against a second run of a call that is not idempotent.
func TestOnlyNotRunIsRetriedUnlessRepeatable(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		outcome    core.Outcome
		cause      core.RefusalCause
		repeatable bool
		want       retry.Class
	}{
		{outcome: core.OutcomeAnswered, repeatable: true, want: retry.Final},
		{outcome: core.OutcomeUnknown, want: retry.Final},
		{outcome: core.OutcomeUnknown, repeatable: true, want: retry.RetryBudgeted},
		{outcome: core.OutcomeNotRun, cause: core.CauseQueueFull, want: retry.RetryBudgeted},
		{outcome: core.OutcomeNotRun, cause: core.CauseConnectFailed, want: retry.RetryFree},
		{outcome: core.OutcomeNotRun, cause: core.CauseLeaving, want: retry.RetryFree},
		{outcome: core.OutcomeNotRun, cause: core.CauseCrashSuspect, repeatable: true, want: retry.Final},
		{outcome: core.Outcome("odd"), want: retry.Final},
	} {
		c.Assert(retry.Classify(test.outcome, test.cause, test.repeatable), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against a retry storm: retries stay below a tenth of the calls, or 3 a second, whatever fails.
func TestBudgetLimitsRetries(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ callsPerSecond, maxRetries int }{
		{callsPerSecond: 5, maxRetries: 3},
		{callsPerSecond: 2000, maxRetries: 200},
	} {
		budget := retry.NewBudget(retry.BudgetOptions{})
		now := time.Unix(1_000_000, 0)
		retries := 0
		const seconds = 20
		for range seconds * test.callsPerSecond {
			now = now.Add(time.Second / time.Duration(test.callsPerSecond))
			budget.RecordCall(now)
			for range 2 { // each attempt fails
				if budget.Take(now) {
					retries++
				}
			}
		}
		c.Assert(retries <= (seconds+1)*test.maxRetries, qt.IsTrue, qt.Commentf("%d retries", retries))
		c.Assert(retries >= (seconds-2)*test.maxRetries*9/10, qt.IsTrue, qt.Commentf("%d retries", retries))
	}
}

// Guards against attempts that multiply with each level of nested calls.
func TestAttemptsDoNotMultiplyWithDepth(t *testing.T) {
	c := qt.New(t)
	always := func() bool { return true }
	var runs func(policy, inherited, depth int) int
	runs = func(policy, inherited, depth int) int {
		if depth == core.MaxDepth {
			return 1
		}
		total := 0
		for attempts := retry.NewAttempts(policy, inherited); ; {
			total += runs(policy, attempts.Start(), depth+1)
			if !attempts.AllowRetry(retry.RetryBudgeted, always) {
				return total
			}
		}
	}
	c.Assert(runs(1, 0, 0), qt.Equals, 1)
	c.Assert(runs(3, 0, 0) <= 4, qt.IsTrue, qt.Commentf("%d runs", runs(3, 0, 0)))
	c.Assert(runs(5, 0, 0) <= 16, qt.IsTrue, qt.Commentf("%d runs", runs(5, 0, 0)))
}

// Guards against a call that is retried without end while every node is leaving, and against leaving nodes that use up attempts
// or budget.
func TestRetriesAtLeavingNodesAreFree(t *testing.T) {
	c := qt.New(t)
	attempts := retry.NewAttempts(1, 0)
	never := func() bool { t.Error("the budget was asked"); return false }
	tries := 1
	for attempts.Start(); attempts.AllowRetry(retry.RetryFree, never); attempts.Start() {
		tries++
	}
	c.Assert(tries, qt.Equals, 1+retry.MaxFreeRetries)
}

// Guards against hedges before the latency is known, against a delay that is not the 95th percentile, against old latencies,
// and against hedges right after the service has shed calls.
func TestHedgeDelayFollowsTheLatency(t *testing.T) {
	c := qt.New(t)
	var h retry.Hedging
	now := time.Unix(1_000_000, 0)
	for n := range 1000 {
		_, known := h.Delay(now)
		c.Assert(known, qt.Equals, n >= 100)
		took := 10 * time.Millisecond
		if n%25 == 0 { // 4%
			took = time.Second
		}
		h.RecordLatency(now, took)
	}
	delay, _ := h.Delay(now)
	c.Assert(delay >= 10*time.Millisecond && delay <= 12500*time.Microsecond, qt.IsTrue, qt.Commentf("%v", delay))
	for range 20 { // together 6%
		h.RecordLatency(now, time.Second)
	}
	delay, _ = h.Delay(now)
	c.Assert(delay >= time.Second && delay <= 1250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", delay))
	_, known := h.Delay(now.Add(10 * time.Second))
	c.Assert(known, qt.IsFalse)

	c.Assert(h.Allowed(now), qt.IsTrue)
	h.RecordOverload(now)
	c.Assert(h.Allowed(now.Add(999*time.Millisecond)), qt.IsFalse)
	c.Assert(h.Allowed(now.Add(time.Second)), qt.IsTrue)
}

// Guards against hedges that leave no budget for retries after a failure.
func TestHedgesLeaveHalfOfTheBudget(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(retry.BudgetOptions{})
	now := time.Unix(1_000_000, 0)
	for range 1000 {
		budget.RecordCall(now)
	}
	count := func(take func(time.Time) bool) (n int) {
		for take(now) {
			n++
		}
		return n
	}
	c.Assert(count(budget.TakeHedge), qt.Equals, 50)
	c.Assert(count(budget.Take), qt.Equals, 50)
}

// Guards against retries of server errors: a backend server answers 500 when one of its own calls has failed, so that each level of
// nested calls would multiply the retries of the levels below it.
func TestServerErrorsAreFinal(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		status              int
		relayed, repeatable bool
		want                retry.Class
	}{
		{status: http.StatusInternalServerError, repeatable: true, want: retry.Final},
		{status: http.StatusInternalServerError, want: retry.Final},
		{status: http.StatusInternalServerError, relayed: true, repeatable: true, want: retry.Final},
		{status: http.StatusGatewayTimeout, repeatable: true, want: retry.Final},
		{status: http.StatusServiceUnavailable, repeatable: true, want: retry.RetryBudgeted},
		{status: http.StatusServiceUnavailable, relayed: true, repeatable: true, want: retry.Final},
		{status: http.StatusServiceUnavailable, want: retry.Final},
	} {
		c.Assert(retry.ClassifyAnswer(test.status, test.relayed, test.repeatable), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
