package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/cost"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func learned(n int, class cost.Class, draw func(i int) time.Duration) *cost.Estimator {
	e := cost.NewEstimator()
	for i := range n {
		e.Observe(start, class, draw(i), 1)
	}
	return e
}

func within(c *qt.C, got, want time.Duration, part float64) {
	c.Helper()
	c.Assert(math.Abs(float64(got-want)) <= part*float64(want), qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

// Guards against one estimate for short and long calls, and against a narrow class that is trusted after a few samples.
func TestNarrowClassesCountOnceTheyHaveSamples(t *testing.T) {
	c := qt.New(t)
	long, short := cost.Class{Route: "r", Tenant: "a", Size: 3}, cost.Class{Route: "r", Tenant: "b"}
	e := learned(100, long, func(int) time.Duration { return 160 * ms })
	for range 5 {
		e.Observe(start, short, 30*ms, 1)
	}
	c.Assert(e.Work(start, short).Mean() > 140*ms, qt.IsTrue)
	for range 20 {
		e.Observe(start, short, 30*ms, 1)
	}
	within(c, e.Work(start, short).Mean(), 30*ms, 0.05)
	within(c, e.Work(start, long).Mean(), 160*ms, 0.05)
	c.Assert(cost.NewEstimator().Work(start, long).Known(), qt.IsFalse)
}

// Guards against a forecast that takes a call that has outrun its usual time for one that is nearly done: 3 in 100 take seven times
// the mean.
func TestMoreIsExpectedOfACallThatHasRunForLong(t *testing.T) {
	c := qt.New(t)
	e := learned(1000, cost.Class{}, func(i int) time.Duration {
		if i%100 < 3 {
			return 1750 * ms
		}
		return 250 * ms
	})
	w := e.Work(start, cost.Class{})
	within(c, w.Mean(), 295*ms, 0.05)
	within(c, w.Remaining(100*ms), 195*ms, 0.1)
	within(c, w.Remaining(500*ms), 1250*ms, 0.1)
	within(c, w.Remaining(5*time.Second), 5*time.Second, 0.1)
}

// Guards against an estimate that stays at what a backend server did long ago.
func TestOldSamplesDecay(t *testing.T) {
	c := qt.New(t)
	e := learned(1000, cost.Class{}, func(int) time.Duration { return 100 * ms })
	later := start.Add(10 * time.Minute)
	for range 30 {
		e.Observe(later, cost.Class{}, 400*ms, 1)
	}
	within(c, e.Work(later, cost.Class{}).Mean(), 400*ms, 0.05)
	muchLater := later.Add(10 * time.Hour)
	e.Observe(muchLater, cost.Class{}, 50*ms, 1)
	within(c, e.Work(muchLater, cost.Class{}).Mean(), 50*ms, 0.05)
}

// Guards against memory that grows with methods that callers invent, and against new classes that never find room.
func TestKeysAreBounded(t *testing.T) {
	c := qt.New(t)
	e := cost.NewEstimator()
	for i := range 5000 {
		e.Observe(start, cost.Class{Method: fmt.Sprint(i)}, time.Second, 1)
	}
	c.Assert(e.Keys() <= 1025, qt.IsTrue, qt.Commentf("%d keys", e.Keys()))
	now := start.Add(2 * time.Minute)
	class := cost.Class{Route: "new", Tenant: core.TenantID("t")}
	for range 40 {
		e.Observe(now, class, 10*ms, 1)
	}
	within(c, e.Work(now, class).Mean(), 10*ms, 0.05)
}

// Guards against a forecast that is far from what happens, with slots full of calls of 30 ms or of 160 ms, and with a queue.
func TestForecastMeetsWhatHappens(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	draw := func(mean time.Duration) time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
	for _, test := range []struct {
		mean  time.Duration
		ahead int
	}{{30 * ms, 0}, {160 * ms, 0}, {30 * ms, 12}, {160 * ms, 12}} {
		w := learned(5000, cost.Class{}, func(int) time.Duration { return draw(test.mean) }).Work(start, cost.Class{})
		running := make([]cost.Running, 6)
		for i := range running {
			running[i] = cost.Running{Work: w, Ran: time.Duration(i) * 10 * ms}
		}
		got := cost.NewForecast(running, 6).FreeIn(test.ahead, time.Duration(test.ahead)*w.Mean())
		want := test.mean * time.Duration(test.ahead+1) / 6 // exponential times have no memory
		within(c, got, want, 0.2)
	}
}

// Guards against a queue that is expected to be served by slots whose calls hang.
func TestHungSlotsServeNoQueue(t *testing.T) {
	c := qt.New(t)
	w := learned(1000, cost.Class{}, func(i int) time.Duration { return time.Duration(80+i%40) * ms }).Work(start, cost.Class{})
	running := []cost.Running{{Work: w, Ran: time.Minute}, {Work: w, Ran: time.Minute}, {Work: w, Ran: 50 * ms}}
	within(c, cost.NewForecast(running, 3).FreeIn(10, 10*w.Mean()), 1050*ms, 0.1)
	c.Assert(cost.NewForecast(running, 4).FreeIn(0, 0), qt.Equals, time.Duration(0))
}

func BenchmarkObserve(b *testing.B) {
	e := cost.NewEstimator()
	for b.Loop() {
		e.Observe(start, cost.Class{Route: "r", Method: "GET", Tenant: "t"}, 100*ms, 1)
	}
}

func BenchmarkFreeIn(b *testing.B) {
	e := learned(1000, cost.Class{Route: "r"}, func(i int) time.Duration { return time.Duration(i) * ms })
	running := make([]cost.Running, 6)
	for b.Loop() {
		for i := range running {
			running[i] = cost.Running{Work: e.Work(start, cost.Class{Route: "r"}), Ran: 50 * ms}
		}
		cost.NewForecast(running, 6).FreeIn(12, time.Second)
	}
}
