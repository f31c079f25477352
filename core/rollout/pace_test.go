package rollout_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// Guards against a share above the risk share before the evidence passes, and against a share that grows without evidence.
func TestRiskShareIsNotExceededBeforeEvidencePasses(t *testing.T) {
	c := qt.New(t)
	limited := func(calls, newCrash float64) *simulation {
		r := newSimulation(c, 5*time.Minute, constantLoads(load{calls: calls, oldFail: 0.001, newFail: 0.001, newCrash: newCrash}))
		r.move.Request.MaxRiskShare = 30
		return r
	}
	r := limited(200, 0).run(nil)
	c.Assert(r.move.State, qt.Equals, core.MoveDone)
	for _, step := range r.steps {
		if step.Share > 30 {
			c.Assert(step.Evidence, qt.Contains, `routes judged: "read"`)
		}
	}
	r = limited(2, 0.05).run(nil)
	c.Assert(r.cumulative["readv2crashes"] >= 1 && r.cumulative["readv2crashes"] < 2, qt.IsTrue, qt.Commentf("the simulation must have a single crash, which must not take the move back: %v", r.cumulative))
	c.Assert(r.move.State, qt.Equals, core.MoveExpired)
	c.Assert(r.move.Cause, qt.Contains, "largest share at risk is 30 per mille")
	for _, step := range r.steps {
		c.Assert(step.Share <= 30, qt.IsTrue)
	}
}

// Guards against a move with little traffic that never ends or does not say that it had little evidence, and against one that is
// done although a route with enough traffic has no verdict.
func TestLittleTrafficAndExpiry(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c, 5*time.Minute, constantLoads(load{calls: 0.5})).run(nil)
	c.Assert(r.move.State, qt.Equals, core.MoveDone)
	c.Assert(r.move.Cause, qt.Equals, "evidence thin")

	// A share that grows by time alone waits for late reports.
	r = newSimulation(c, 90*time.Second, constantLoads(load{calls: 0.5}))
	r.decider.ObserveLateness(10 * time.Second)
	r.run(nil)
	for i, step := range r.steps[1:] {
		c.Assert(!rollout.IsFinal(step.State) && step.At.Sub(r.steps[i].At) < 13*time.Second, qt.IsFalse, qt.Commentf("%v", r.steps))
	}

	r = newSimulation(c, 5*time.Minute, constantLoads(load{calls: 0.01, newFail: 1})).run(nil)
	c.Assert(r.move.State, qt.Equals, core.MoveDone, qt.Commentf("a single failed call must not take the move back: %+v", r.move))

	r = newSimulation(c, 5*time.Minute, nil)
	r.loads = func(second int) map[core.RouteName]load {
		l := load{calls: 20}
		if second == 100 {
			l.newCrash = 0.999 / (l.calls * float64(r.move.Share) / 1000)
		}
		return map[core.RouteName]load{"read": l}
	}
	r.run(nil)
	c.Assert(r.cumulative["readv2crashes"] >= 1 && r.cumulative["readv2crashes"] < 2, qt.IsTrue, qt.Commentf("%v", r.cumulative))
	c.Assert(r.move.State, qt.Equals, core.MoveDone, qt.Commentf("a single crash must not take the move back: %+v", r.move))

	r = newSimulation(c, 10*time.Minute, constantLoads(load{calls: 500, oldFail: 0.002, newFail: 0.002}))
	r.deliver = func(evidence []core.EvidenceCount) []core.EvidenceCount {
		return slices.DeleteFunc(evidence, func(count core.EvidenceCount) bool { return count.Release == "v2" })
	}
	r.run(nil)
	c.Assert(r.move.State, qt.Equals, core.MoveExpired)
	c.Assert(r.move.Cause, qt.Equals, `evidence missing: only 0 calls of the new release have been reported at 5 per mille`)

	// The same with too little traffic for a verdict, when the reports stop after 150 s.
	for _, lost := range []string{"v2", "all"} {
		r = newSimulation(c, 5*time.Minute, constantLoads(load{calls: 30}))
		r.deliver = func(evidence []core.EvidenceCount) []core.EvidenceCount {
			return slices.DeleteFunc(evidence, func(count core.EvidenceCount) bool {
				return r.second > 150 && (lost == "all" || count.Release == "v2")
			})
		}
		r.run(nil)
		c.Assert(r.move.State, qt.Equals, core.MoveExpired, qt.Commentf("%s: %+v", lost, r.move))
		c.Assert(r.move.Cause, qt.Contains, "evidence missing")
	}
}

// Guards against shares that follow each other faster than their evidence arrives. After slow start or a leader change had used up
// the time, the steps came every 0.2 s, and a release that failed 3 calls in 10 was done after 14 calls, 2 of them failed.
func TestMoveWithoutTimeForAllSteps(t *testing.T) {
	for name, test := range map[string]struct {
		newFail float64
		leader  int // second of a leader change
		delay   int // seconds until a report arrives
		calls   float64
		want    core.MoveState
	}{
		"good":                     {delay: 1, calls: 400, want: core.MoveDone},
		"good, with a new leader":  {delay: 1, calls: 400, leader: 4, want: core.MoveDone},
		"bad":                      {delay: 1, calls: 400, newFail: 0.3, want: core.MoveTakenBack},
		"bad, late reports":        {delay: 3, calls: 400, newFail: 0.3, want: core.MoveTakenBack},
		"bad, with a new leader":   {delay: 2, calls: 400, newFail: 0.3, leader: 10, want: core.MoveTakenBack},
		"bad, few calls":           {delay: 2, calls: 30, newFail: 0.2, want: core.MoveTakenBack},
		"bad, doubtful at the end": {delay: 3, calls: 100, newFail: 0.08, want: core.MoveTakenBack},
		"too few calls":            {delay: 2, calls: 5, want: core.MoveExpired},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newSimulation(c, 20*time.Second, constantLoads(load{calls: test.calls, newFail: test.newFail}))
			r.decisions = 5
			r.endpoints = func(int) []core.Endpoint {
				return append(backends("v1", "a", 1, 3, core.EndpointReady), backends("v2", "a", 4, 3, core.EndpointReady)...)
			}
			var late [][]core.EvidenceCount
			r.deliver = func(evidence []core.EvidenceCount) []core.EvidenceCount {
				if r.second == test.leader {
					r.decider = rollout.NewSequentialDecider(r.move, "v1", "v2")
				}
				late = append(late, evidence)
				return late[max(0, len(late)-1-test.delay)]
			}
			r.run(nil)
			c.Assert(r.move.State, qt.Equals, test.want, qt.Commentf("%+v", r.steps))
			for i := range r.steps[1:] {
				if r.steps[i+1].Share > 0 {
					c.Assert(r.steps[i+1].At.Sub(r.steps[i].At) >= 3*time.Second, qt.IsTrue, qt.Commentf("%+v", r.steps))
				}
			}
			if test.newFail > 0.2 {
				c.Assert(r.badCalls < 0.02*400*20, qt.IsTrue, qt.Commentf("%.0f calls met the bad release: %+v", r.badCalls, r.steps))
			}
		})
	}
}

// Guards against a share beyond the capacity of the ready backend servers, and against a release that is taken back for cold ones.
func TestSlowStartAndCapacity(t *testing.T) {
	c := qt.New(t)
	const readyAt = 85 // just before the first step is due
	r := newSimulation(c, 10*time.Minute, func(second int) map[core.RouteName]load {
		l := load{calls: 200, oldSlow: 0.02, newSlow: 0.02}
		if second >= readyAt && second < readyAt+10 {
			l.newSlow = 1
		}
		return map[core.RouteName]load{"read": l}
	})
	r.endpoints = func(second int) []core.Endpoint {
		all := backends("v1", "a", 1, 4, core.EndpointReady)
		if second < readyAt {
			return all
		}
		return append(all, backends("v2", "a", 5, 2, core.EndpointReady)...)
	}
	r.run(func() bool { return r.second == readyAt+9 })
	c.Assert(r.share(), qt.Equals, core.PerMille(5), qt.Commentf("probing goes on until the slow start has ended"))
	r.run(nil)
	c.Assert(r.move.State, qt.Equals, core.MoveExpired, qt.Commentf("%+v", r.move))
	c.Assert(r.move.Cause, qt.Contains, "backend servers for 500 per mille only")
	c.Assert(r.steps[len(r.steps)-2].Share <= 500, qt.IsTrue)
}
