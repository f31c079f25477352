package callerhttp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers that come back and are taken for new ones, and against new callers with a little less time than others
// that are taken for late ones.
func TestTimeoutEstimateDetectsRetries(t *testing.T) {
	c := qt.New(t)
	var p timeoutEstimate
	now := time.Unix(1_000_000, 0)
	for _, step := range []struct {
		after, remaining, used time.Duration
	}{
		{remaining: 4 * time.Second},
		{remaining: 3400 * time.Millisecond}, // another caller
		{remaining: 2500 * time.Millisecond, used: 700 * time.Millisecond},
		{after: 40 * time.Second, remaining: 2500 * time.Millisecond, used: 700 * time.Millisecond},
		{after: 40 * time.Second, remaining: 2500 * time.Millisecond}, // the route's callers have less time by now
		{remaining: time.Second, used: time.Second},
	} {
		now = now.Add(step.after)
		c.Assert(p.elapsed(now, step.remaining), qt.Equals, step.used, qt.Commentf("%+v", step))
	}
}
