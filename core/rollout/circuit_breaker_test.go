package rollout_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// Guards against a node that keeps sending calls to a release that fails all of them, and against a circuit breaker that trips for
// failures that both releases show.
func TestCircuitBreakerSetsOnlyTheNewReleaseToZero(t *testing.T) {
	c := qt.New(t)
	breaker := rollout.NewCircuitBreaker()
	breaker.Watch("s", "v1", "v2", 7)
	fail := func(times int, release string) (tripped bool) {
		for range times {
			tripped = tripped || breaker.Observe("s", "read", map[string]core.Release{"old": "v1", "new": "v2"}[release], true)
		}
		return tripped
	}
	fail(4, "new")
	breaker.Observe("s", "read", "v1", false)
	breaker.Observe("s", "read", "v2", false)
	c.Assert(fail(4, "new"), qt.IsFalse, qt.Commentf("a success must restart the streak"))
	c.Assert(fail(1, "old"), qt.IsFalse)
	c.Assert(fail(3, "new"), qt.IsFalse, qt.Commentf("both releases fail"))
	breaker.Observe("s", "write", "v1", false)
	c.Assert(breaker.Share("s", "v2", 40), qt.Equals, core.PerMille(40))
	c.Assert(breaker.Observe("s", "read", "v1", false), qt.IsTrue)

	c.Assert(breaker.Share("s", "v2", 40), qt.Equals, core.PerMille(0))
	c.Assert(breaker.Share("s", "v1", 960), qt.Equals, core.PerMille(960))
	route, revision, tripped := breaker.Tripped("s")
	c.Assert(tripped && route == "read" && revision == 7, qt.IsTrue)
	breaker.Watch("s", "v1", "v2", 7)
	c.Assert(breaker.Share("s", "v2", 40), qt.Equals, core.PerMille(0), qt.Commentf("the same revision must not raise the share"))
	breaker.Watch("s", "v1", "v2", 8)
	c.Assert(breaker.Share("s", "v2", 80), qt.Equals, core.PerMille(80))
	breaker.Forget("s")
	c.Assert(breaker.Observe("s", "read", "v2", true), qt.IsFalse)
}
