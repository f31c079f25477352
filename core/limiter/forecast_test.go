package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/cost"
)

// newLearned returns a limiter with six slots that knows calls of 30 ms and of 160 ms. The latest calls were all of one route, which
// is what the mean of all calls then states.
func newLearned(learn bool, latest core.RouteName) (*Limiter, func(core.RouteName, core.Priority, time.Duration) (Ticket, Change)) {
	l := NewWithOptions(6, Options{TrustSlots: true, SoftDeadlineFirst: true, LearnCosts: learn})
	now := began
	arrive := func(route core.RouteName, priority core.Priority, left time.Duration) (Ticket, Change) {
		return l.Arrive(now, Request{Class: route, Priority: priority, Cost: &cost.Class{Route: route}, SoftDeadline: now.Add(left), Deadline: now.Add(left)})
	}
	serve := func(route core.RouteName) {
		ticket, _ := arrive(route, 1, time.Minute)
		l.Finish(now, ticket, Result{Latency: map[core.RouteName]time.Duration{"short": 30, "long": 160}[route] * time.Millisecond})
	}
	for range 100 {
		serve("short")
		serve("long")
	}
	for range 50 {
		serve(latest)
	}
	return l, arrive
}

// Guards against a forecast from the mean of all calls: it refused short calls behind short ones, and admitted long calls behind long
// ones that were then refused when it was too late to go elsewhere.
func TestForecastTellsShortCallsFromLongOnes(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		route, latest core.RouteName
		left          time.Duration
		servable      bool
	}{
		{route: "short", latest: "long", left: 200 * time.Millisecond, servable: true},
		{route: "long", latest: "short", left: 250 * time.Millisecond, servable: false},
	} {
		for _, learn := range []bool{true, false} {
			l, arrive := newLearned(learn, test.latest)
			for range 18 {
				_, change := arrive(test.route, 2, time.Minute)
				c.Assert(change.Shed, qt.HasLen, 0)
			}
			_, change := arrive(test.route, 1, test.left)
			c.Assert(len(change.Shed) == 0, qt.Equals, test.servable == learn, qt.Commentf("%s, learnt: %v", test.route, learn))
			c.Assert(l.Load(began, test.route).FreeIn > 0, qt.Equals, learn)
		}
	}
}

// Guards against a report that makes entry nodes send long calls to a server that is only free for short ones, and the reverse.
func TestReportedTimeFollowsTheQueueAheadOfTheRoute(t *testing.T) {
	c := qt.New(t)
	l, arrive := newLearned(true, "short")
	l.options.ShortClassesFirst = true
	c.Assert(l.Load(began, "long").FreeIn, qt.Equals, time.Microsecond)
	for range 12 {
		arrive("long", 1, time.Minute)
	}
	short, long := l.Load(began, "short").FreeIn, l.Load(began, "long").FreeIn
	c.Assert(short > 100*time.Millisecond && short < 170*time.Millisecond, qt.IsTrue, qt.Commentf("%v", short))
	c.Assert(long > 280*time.Millisecond && long < 340*time.Millisecond, qt.IsTrue, qt.Commentf("%v", long))
}
