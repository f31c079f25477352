package rollout_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

var start = time.Unix(1_800_000_000, 0)

// load describes the calls of one route in each second.
type load struct {
	calls            float64
	oldFail, newFail float64 // parts of the calls
	oldSlow, newSlow float64
	oldCrash         float64
	newCrash         float64
}

// simulation drives a decider second by second. Its rates are exact, not random.
type simulation struct {
	*qt.C
	decider    *rollout.SequentialDecider
	move       core.Move
	second     int
	loads      func(second int) map[core.RouteName]load
	endpoints  func(second int) []core.Endpoint
	deliver    func(evidence []core.EvidenceCount) []core.EvidenceCount
	cumulative map[string]float64 // counts by route, release and measure
	steps      []core.MoveStep
	decisions  int     // per second, 1 if zero
	faultFrom  int     // second of the first faulty call
	calls      float64 // since the move was accepted
	badCalls   float64 // of the new release since faultFrom
}

func newSimulation(c *qt.C, deadline time.Duration, loads func(second int) map[core.RouteName]load) *simulation {
	s := &simulation{
		C:          c,
		loads:      loads,
		cumulative: make(map[string]float64),
		move: core.Move{
			MoveID:    "m",
			State:     rollout.InitialState(),
			StartedAt: start,
			SteppedAt: start,
			Request:   core.MoveRequest{Service: "s", Deadline: start.Add(deadline)},
		},
	}
	s.decider = rollout.NewSequentialDecider(s.move, "v1", "v2")
	return s
}

func constantLoads(l load) func(int) map[core.RouteName]load {
	return func(int) map[core.RouteName]load { return map[core.RouteName]load{"read": l} }
}

// evidence adds one second of calls to the cumulative counts of node n1.
func (s *simulation) evidence() []core.EvidenceCount {
	var counts []core.EvidenceCount
	share := float64(s.move.Share) / 1000
	loads := s.loads(s.second)
	for _, route := range slices.Sorted(maps.Keys(loads)) {
		l := loads[route]
		for _, side := range []struct {
			release           core.Release
			calls             float64
			fail, slow, crash float64
		}{
			{"v1", l.calls * (1 - share), l.oldFail, l.oldSlow, l.oldCrash},
			{"v2", l.calls * share, l.newFail, l.newSlow, l.newCrash},
		} {
			s.calls += side.calls
			if side.release == "v2" && s.second >= s.faultFrom {
				s.badCalls += side.calls
			}
			sum := func(measure string, n float64) uint64 {
				key := fmt.Sprint(route, side.release, measure)
				if _, known := s.cumulative[key]; !known {
					// Multiples of the golden ratio, so that the routes do not fail in the same second.
					s.cumulative[key] = math.Mod(0.618*float64(len(s.cumulative)), 1)
				}
				s.cumulative[key] += n
				return uint64(s.cumulative[key])
			}
			count := core.EvidenceCount{
				Node:        "n1",
				Incarnation: 1,
				Service:     "s",
				Route:       route,
				Release:     side.release,
				Calls:       sum("calls", side.calls),
				Failures:    sum("failures", side.calls*side.fail),
				Crashes:     sum("crashes", side.calls*side.crash),
			}
			count.Latency[9] = min(count.Calls, sum("slow", side.calls*side.slow))
			count.Latency[5] = count.Calls - count.Latency[9]
			counts = append(counts, count)
		}
	}
	return counts
}

// run continues until the move has ended or the condition holds, and checks the number and the transition of each step.
func (s *simulation) run(until func() bool) *simulation {
	for !rollout.IsFinal(s.move.State) && (until == nil || !until()) {
		s.second++
		now := start.Add(time.Duration(s.second) * time.Second)
		s.Assert(now.After(s.move.Request.Deadline.Add(time.Second)), qt.IsFalse, qt.Commentf("still open after the deadline"))
		if s.endpoints != nil {
			s.decider.ObserveEndpoints(now, s.endpoints(s.second))
		}
		evidence := s.evidence()
		if s.deliver != nil {
			evidence = s.deliver(evidence)
		}
		for i := range max(1, s.decisions) {
			s.decide(now.Add(time.Duration(i)*time.Second/time.Duration(max(1, s.decisions))), evidence)
		}
	}
	return s
}

func (s *simulation) decide(now time.Time, evidence []core.EvidenceCount) {
	step, due := s.decider.Decide(now, s.move, evidence)
	if !due {
		return
	}
	s.Assert(step.Step, qt.Equals, s.move.Step+1)
	s.Assert(rollout.IsTransition(s.move.State, step.State), qt.IsTrue)
	s.steps = append(s.steps, step)
	s.move.Step, s.move.State, s.move.Share, s.move.SteppedAt = step.Step, step.State, step.Share, step.At
	s.move.Cause, s.move.Evidence = step.Cause, step.Evidence
}

func (s *simulation) share() core.PerMille { return s.move.Share }

// Guards against a fault that is missed or found late. Each kind of fault is tested alone, from the beginning and after a long time
// without faults, which must not outweigh it.
func TestSequentialDeciderTakesBackBadReleases(t *testing.T) {
	good := load{calls: 200, oldFail: 0.001, newFail: 0.001, oldSlow: 0.02, newSlow: 0.02}
	with := func(change func(*load)) load {
		bad := good
		change(&bad)
		return bad
	}
	failing := with(func(l *load) { l.newFail = 0.2 })
	flaky := with(func(l *load) { l.newFail = 0.02 })
	for name, test := range map[string]struct {
		loads     func(second int) map[core.RouteName]load
		faultFrom int
		minutes   time.Duration // until the deadline, 10 at least
		cause     string
	}{
		"at once":  {loads: constantLoads(failing), cause: `.*"read": calls failed`},
		"flaky":    {loads: constantLoads(flaky), cause: `.*: calls failed`},
		"slow":     {loads: constantLoads(with(func(l *load) { l.newSlow = 0.5 })), cause: `.*: calls slow`},
		"crashing": {loads: constantLoads(with(func(l *load) { l.newCrash = 0.01 })), cause: `.*: calls crashed`},
		"late": {faultFrom: 300, cause: `.*: calls failed`, loads: func(second int) map[core.RouteName]load {
			return map[core.RouteName]load{"read": []load{good, flaky}[min(1, second/300)]}
		}},
		"after a long time without faults": {faultFrom: 960, minutes: 30, cause: `.*: calls failed`, loads: func(second int) map[core.RouteName]load {
			return map[core.RouteName]load{"read": []load{good, with(func(l *load) { l.newFail = 0.012 })}[min(1, second/960)]}
		}},
		"one route": {cause: `.*route "write": calls failed`, loads: func(int) map[core.RouteName]load {
			return map[core.RouteName]load{"read": good, "write": {calls: 10, newFail: 0.5}}
		}},
		"many routes with little traffic": {cause: `.*routes with little traffic: calls failed`, loads: func(int) map[core.RouteName]load {
			loads := map[core.RouteName]load{"read": good}
			for i := range 20 {
				loads[core.RouteName(fmt.Sprint("r", i))] = load{calls: 0.5, newFail: 0.2, oldFail: 0.001}
			}
			return loads
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newSimulation(c, max(test.minutes, 10)*time.Minute, test.loads)
			r.faultFrom = test.faultFrom
			r.run(nil)
			c.Assert(r.move.State, qt.Equals, core.MoveTakenBack, qt.Commentf("%+v", r.move))
			c.Assert(r.move.Cause, qt.Matches, test.cause)
			c.Assert(r.move.Share, qt.Equals, core.PerMille(0))
			c.Assert(r.move.Evidence, qt.Matches, `\d+ per mille for .*new release \d+ of \d+ calls.*old release.*`)
			c.Assert(r.badCalls < 0.02*r.calls, qt.IsTrue, qt.Commentf("%.0f of %.0f calls after %d s", r.badCalls, r.calls, r.second))
		})
	}
}

// Guards against a good release that is taken back for what both releases show, for counts from before the move, for single calls or for a
// standstill of 0.4 s.
func TestSequentialDeciderFinishesGoodReleasesInTime(t *testing.T) {
	good := load{calls: 200, oldFail: 0.001, newFail: 0.001, oldSlow: 0.02, newSlow: 0.02}
	burst := func(l load) func(int) map[core.RouteName]load {
		return func(second int) map[core.RouteName]load {
			if second%100 >= 60 {
				return map[core.RouteName]load{"read": l}
			}
			return map[core.RouteName]load{"read": good}
		}
	}
	standstill := func(at int) func(int) map[core.RouteName]load {
		return func(second int) map[core.RouteName]load {
			l := good
			if second == at {
				l.newSlow = 0.4
			}
			return map[core.RouteName]load{"read": l}
		}
	}
	for name, loads := range map[string]func(int) map[core.RouteName]load{
		"calm":              constantLoads(good),
		"shared slowness":   burst(load{calls: 200, oldSlow: 0.8, newSlow: 0.8}),
		"shared failures":   burst(load{calls: 200, oldFail: 0.3, newFail: 0.3}),
		"shared crashes":    constantLoads(load{calls: 200, oldCrash: 0.001, newCrash: 0.001}),
		"failing as before": constantLoads(load{calls: 200, oldFail: 0.03, newFail: 0.03}),
		"old release worse": constantLoads(load{calls: 200, oldFail: 0.05}),
		"early standstill":  standstill(20),
		"late standstill":   standstill(300),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newSimulation(c, 10*time.Minute, loads).run(nil)
			c.Assert(r.move.State, qt.Equals, core.MoveDone, qt.Commentf("%+v", r.move))
			c.Assert(r.move.Cause, qt.Equals, "judged on all routes")
			c.Assert(r.move.Share, qt.Equals, core.FullShare)
		})
	}
}

// Guards against counts that are added twice or lost: repeated and older reports change nothing, and a restarted node starts its
// counts from zero.
func TestRepeatedOlderAndRestartedCounts(t *testing.T) {
	c := qt.New(t)
	loads := constantLoads(load{calls: 200, oldFail: 0.001, newFail: 0.004, oldSlow: 0.02, newSlow: 0.02})
	plain := newSimulation(c, 10*time.Minute, loads).run(nil)

	repeated := newSimulation(c, 10*time.Minute, loads)
	var earlier []core.EvidenceCount
	repeated.deliver = func(evidence []core.EvidenceCount) []core.EvidenceCount {
		all := slices.Concat(earlier, evidence, evidence, earlier)
		if repeated.second%7 == 0 {
			earlier = evidence
		}
		return all
	}
	c.Assert(repeated.run(nil).steps, qt.DeepEquals, plain.steps)

	loads = constantLoads(load{calls: 200, oldFail: 0.001, newFail: 0.001, oldSlow: 0.02, newSlow: 0.02})
	plain = newSimulation(c, 10*time.Minute, loads).run(nil)
	restarted := newSimulation(c, 10*time.Minute, loads)
	incarnation, before := core.Incarnation(1), []core.EvidenceCount(nil)
	restarted.deliver = func(evidence []core.EvidenceCount) []core.EvidenceCount {
		for i := range evidence {
			evidence[i].Incarnation = incarnation
		}
		if restarted.second%50 == 0 {
			incarnation, before = core.Incarnation(start.Add(time.Duration(restarted.second)*time.Second).UnixNano()), evidence
			restarted.cumulative = make(map[string]float64)
		}
		return slices.Concat(evidence, before)
	}
	restarted.run(nil)
	c.Assert(restarted.move.State, qt.Equals, core.MoveDone)
	c.Assert(len(restarted.steps), qt.Equals, len(plain.steps))

	failing := newSimulation(c, 10*time.Minute, func(second int) map[core.RouteName]load {
		return map[core.RouteName]load{"read": {calls: 200, newFail: []float64{0, 0.2}[min(1, second/301)]}}
	})
	failing.faultFrom = 301
	failing.deliver = func(evidence []core.EvidenceCount) []core.EvidenceCount {
		if failing.second == 300 {
			failing.cumulative = make(map[string]float64)
		}
		for i := range evidence {
			evidence[i].Incarnation = core.Incarnation(1 + failing.second/301)
		}
		return evidence
	}
	failing.run(nil)
	c.Assert(failing.move.State, qt.Equals, core.MoveTakenBack, qt.Commentf("the second run of the node was not counted"))
	c.Assert(failing.badCalls < 0.02*failing.calls, qt.IsTrue)
}

// Guards against a release that is taken back for its failures in an earlier move.
func TestCountsFromBeforeTheMoveAreABaseline(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c, 10*time.Minute, constantLoads(load{calls: 200, oldFail: 0.001, newFail: 0.001}))
	for _, key := range []string{"calls", "failures", "slow"} {
		r.cumulative["readv2"+key] = 5000
	}
	r.run(func() bool { return r.second == 120 })
	r.decider = rollout.NewSequentialDecider(r.move, "v1", "v2")
	c.Assert(r.run(nil).move.State, qt.Equals, core.MoveDone, qt.Commentf("%+v", r.move))

	// After a leader change, the first report of a node run that began within the move is counted in full.
	move := core.Move{State: core.MoveProbing, StartedAt: start, SteppedAt: start, Request: core.MoveRequest{Service: "s", Deadline: start.Add(time.Hour)}}
	count := core.EvidenceCount{Node: "n2", Incarnation: core.Incarnation(start.UnixNano() + 1), Service: "s", Route: "read", Release: "v1", Calls: 500}
	failing := count
	failing.Release, failing.Calls, failing.Failures = "v2", 50, 50
	step, due := rollout.NewSequentialDecider(move, "v1", "v2").Decide(start.Add(time.Minute), move, []core.EvidenceCount{count, failing})
	c.Assert(due && step.State == core.MoveTakenBack, qt.IsTrue, qt.Commentf("%+v", step))
}

// Guards against a release that is taken back for calls from before the move. Nodes report a service every second only while its
// move has a share, so the first reports after the first step include older calls.
func TestLateReportsFromBeforeTheMove(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c, 10*time.Minute, constantLoads(load{calls: 200, oldFail: 0.001, newFail: 0.001}))
	r.cumulative["readv2calls"] = 1000
	var before []core.EvidenceCount
	r.deliver = func(evidence []core.EvidenceCount) []core.EvidenceCount {
		if before == nil {
			before = slices.Clone(evidence)
			r.cumulative["readv2calls"] += 20
			r.cumulative["readv2failures"] += 20
		}
		if r.second <= 5 {
			return before
		}
		return evidence
	}
	c.Assert(r.run(nil).move.State, qt.Equals, core.MoveDone, qt.Commentf("%+v", r.move))
}

// Guards against a new leader that starts the move again, that loses the verdict implied by the share, or that misses a fault.
func TestLeaderChangeDuringMove(t *testing.T) {
	c := qt.New(t)
	for _, fault := range []float64{0.001, 0.3} {
		changed := false
		r := newSimulation(c, 10*time.Minute, func(int) map[core.RouteName]load {
			l := load{calls: 200, oldFail: 0.001, newFail: 0.001, oldSlow: 0.02, newSlow: 0.02}
			if changed {
				l.newFail = fault
			}
			return map[core.RouteName]load{"read": l}
		})
		r.run(func() bool { return r.share() >= 60 })
		changed, share := true, r.share()
		r.decider = rollout.NewSequentialDecider(r.move, "v1", "v2")
		began := r.second
		r.run(func() bool { return r.share() != share })
		if fault > 0.1 {
			c.Assert(r.move.State, qt.Equals, core.MoveTakenBack)
			c.Assert(r.second-began <= 10, qt.IsTrue)
			continue
		}
		c.Assert(r.share(), qt.Equals, 2*share)
		c.Assert(r.run(nil).move.State, qt.Equals, core.MoveDone)
	}
}

func backends(release core.Release, dataCentre core.DataCentre, first, n int, state core.EndpointState) []core.Endpoint {
	var endpoints []core.Endpoint
	for i := range n {
		endpoints = append(endpoints, core.Endpoint{
			Node:       core.NodeID(fmt.Sprint("n", first+i)),
			DataCentre: dataCentre,
			Service:    "s",
			Release:    release,
			Slots:      9,
			State:      state,
		})
	}
	return endpoints
}

// Guards against a release that is taken back for the slow answers of a cold backend server that has left before they are reported.
func TestColdBackendServerThatHasLeft(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c, 10*time.Minute, func(second int) map[core.RouteName]load {
		l := load{calls: 200, oldSlow: 0.02, newSlow: 0.02}
		if second > 200 && second <= 206 {
			l.newSlow = 1
		}
		return map[core.RouteName]load{"read": l}
	})
	r.endpoints = func(second int) []core.Endpoint {
		all := append(backends("v1", "a", 1, 4, core.EndpointReady), backends("v2", "a", 5, 4, core.EndpointReady)...)
		if second >= 200 && second < 204 {
			all = append(all, backends("v2", "a", 9, 1, core.EndpointReady)...)
		}
		return all
	}
	c.Assert(r.run(nil).move.State, qt.Equals, core.MoveDone, qt.Commentf("%+v", r.move))
}

// Guards against a release that is taken back for an overloaded data centre in which only the new release runs.
func TestDataCentreWithOneReleaseIsNotCompared(t *testing.T) {
	c := qt.New(t)
	run := func(known bool) core.MoveState {
		r := newSimulation(c, 10*time.Minute, func(int) map[core.RouteName]load {
			return map[core.RouteName]load{"read": {calls: 200, newFail: 0.2}}
		})
		r.endpoints = func(int) []core.Endpoint {
			here := core.DataCentre("a")
			if known {
				here = "overloaded"
			}
			return slices.Concat(backends("v1", "a", 10, 4, core.EndpointReady), backends("v2", "a", 20, 2, core.EndpointReady),
				backends("v2", here, 1, 2, core.EndpointReady))
		}
		return r.run(func() bool { return r.second == 60 }).move.State
	}
	c.Assert(run(true), qt.Equals, core.MoveProbing)
	c.Assert(run(false), qt.Equals, core.MoveTakenBack)
}

// Guards against a step that the chart does not have, and against the abort of a move that has ended.
func TestChartAndAbort(t *testing.T) {
	c := qt.New(t)
	c.Assert(rollout.IsTransition(core.MoveProposed, core.MoveDone), qt.IsFalse)
	c.Assert(rollout.IsTransition(core.MoveGrowing, core.MoveProbing), qt.IsFalse)
	move := core.Move{State: core.MoveGrowing, Step: 4, Share: 80}
	step, ok := rollout.Abort(start, move, "amina")
	c.Assert(ok && step.State == core.MoveTakenBack && step.Step == 5 && step.Share == 0 && step.Cause == "operator", qt.IsTrue)
	c.Assert(step.Evidence, qt.Equals, "aborted by amina at 80 per mille")
	for _, ended := range []core.MoveState{core.MoveDone, core.MoveTakenBack, core.MoveExpired} {
		move.State = ended
		_, ok = rollout.Abort(start, move, "amina")
		c.Assert(ok, qt.IsFalse)
		_, due := rollout.NewSequentialDecider(move, "v1", "v2").Decide(start, move, nil)
		c.Assert(due, qt.IsFalse)
	}
}
