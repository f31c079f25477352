package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/retry"
)

// Guards against callers who return while there is certainly no room, who all return at once, or later than without a forecast.
func TestForecastShortensTheWait(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	after := func(left, freeIn time.Duration) time.Duration {
		return retry.After(retry.RefusedCall{Now: now, CallerDeadline: now.Add(left), Cause: core.CauseDeadline, FreeIn: freeIn})
	}
	c.Assert(after(2400*time.Millisecond, 0), qt.Equals, 800*time.Millisecond)
	c.Assert(after(2400*time.Millisecond, 100*time.Millisecond), qt.Equals, 700*time.Millisecond)
	c.Assert(after(1200*time.Millisecond, 100*time.Millisecond), qt.Equals, 400*time.Millisecond)
	c.Assert(after(2400*time.Millisecond, time.Second), qt.Equals, 800*time.Millisecond)
	c.Assert(after(100*time.Millisecond, time.Microsecond), qt.Equals, 50*time.Millisecond)
}
