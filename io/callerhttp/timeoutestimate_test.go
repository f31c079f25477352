package callerhttp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against retrying callers that are taken for new ones, and against new callers with a slightly shorter timeout that are
// taken for retrying ones.
func TestTimeoutEstimateDetectsRetries(t *testing.T) {
	c := qt.New(t)
	var estimate timeoutEstimate
	now := time.Unix(1_000_000, 0)
	for _, step := range []struct {
		after, remaining, elapsed time.Duration
	}{
		{remaining: 4 * time.Second},
		{remaining: 3400 * time.Millisecond}, // a new caller with a shorter timeout
		{remaining: 2500 * time.Millisecond, elapsed: 700 * time.Millisecond},
		{after: 40 * time.Second, remaining: 2500 * time.Millisecond, elapsed: 700 * time.Millisecond},
		{after: 40 * time.Second, remaining: 2500 * time.Millisecond}, // the longest time is forgotten by now
		{remaining: time.Second, elapsed: time.Second},
	} {
		now = now.Add(step.after)
		c.Assert(estimate.elapsed(now, step.remaining), qt.Equals, step.elapsed, qt.Commentf("%+v", step))
	}
}
