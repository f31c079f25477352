package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/balancer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoints(n int, dataCentre core.DataCentre) []core.Endpoint {
	list := make([]core.Endpoint, 0, n)
	for i := range n {
		list = append(list, core.Endpoint{
			Node:        core.NodeID(fmt.Sprintf("%s-%d", dataCentre, i)),
			Incarnation: 1,
			DataCentre:  dataCentre,
			Service:     "transcripts",
			Release:     "v1",
			State:       core.EndpointReady,
		})
	}
	return list
}

// runCalls makes calls one after another and returns how many each node got.
func runCalls(b *balancer.Balancer, now *time.Time, calls int, candidates []core.Endpoint, answer func(core.Endpoint) (time.Duration, bool)) map[core.NodeID]int {
	picked := make(map[core.NodeID]int)
	for range calls {
		endpoint, ok := b.Pick(*now, core.PickRequest{Service: "transcripts", Release: "v1"}, candidates)
		if !ok {
			continue
		}
		picked[endpoint.Node]++
		latency, failed := answer(endpoint)
		*now = now.Add(10 * time.Millisecond)
		b.Done(*now, core.PickResult{
			Endpoint: endpoint,
			Outcome:  core.OutcomeAnswered,
			Failed:   failed,
			Latency:  latency,
		})
	}
	return picked
}

func healthy(core.Endpoint) (time.Duration, bool) {
	return time.Millisecond, false
}

// Guards against a broken backend server that attracts calls because it fails fast.
func TestFailingEndpointIsEjected(t *testing.T) {
	c := qt.New(t)
	now := start
	b := balancer.New(balancer.Options{DataCentre: "a"})
	picked := runCalls(b, &now, 400, endpoints(4, "a"), func(e core.Endpoint) (time.Duration, bool) {
		return time.Millisecond, e.Node == "a-0"
	})
	c.Assert(picked["a-0"] <= 10, qt.IsTrue, qt.Commentf("picked %v", picked))
}

// Guards against refusing all calls when most endpoints look bad, which more likely is a fault of the measurement.
func TestPanicThresholdKeepsServing(t *testing.T) {
	c := qt.New(t)
	now := start
	b := balancer.New(balancer.Options{DataCentre: "a"})
	picked := runCalls(b, &now, 400, endpoints(4, "a"), func(core.Endpoint) (time.Duration, bool) {
		return time.Millisecond, true
	})
	total := 0
	for _, n := range picked {
		total += n
	}
	c.Assert(total, qt.Equals, 400)
	c.Assert(picked, qt.HasLen, 4)
}

// Guards against calls that cross data centres without need, and against staying local when the local endpoints are much worse.
func TestLocalDataCentreIsPreferredUnlessMuchWorse(t *testing.T) {
	c := qt.New(t)
	now := start
	b := balancer.New(balancer.Options{DataCentre: "a"})
	both := append(endpoints(3, "a"), endpoints(3, "b")...)
	picked := runCalls(b, &now, 300, both, healthy)
	c.Assert(picked["a-0"]+picked["a-1"]+picked["a-2"], qt.Equals, 300)

	picked = runCalls(b, &now, 600, both, func(e core.Endpoint) (time.Duration, bool) {
		if e.DataCentre == "a" {
			return 100 * time.Millisecond, false
		}
		return 2 * time.Millisecond, false
	})
	c.Assert(picked["b-0"]+picked["b-1"]+picked["b-2"] > 300, qt.IsTrue, qt.Commentf("picked %v", picked))
}

// Guards against a newly started backend server that gets its full share of calls at once.
func TestSlowStartLimitsNewEndpoints(t *testing.T) {
	c := qt.New(t)
	now := start
	b := balancer.New(balancer.Options{DataCentre: "a"})
	list := endpoints(4, "a")
	runCalls(b, &now, 200, list[:3], healthy)
	now = now.Add(time.Minute)
	picked := runCalls(b, &now, 100, list, healthy) // 1 s, a tenth of the slow start
	c.Assert(picked["a-3"] < 10, qt.IsTrue, qt.Commentf("picked %v", picked))

	now = now.Add(time.Minute)
	picked = runCalls(b, &now, 400, list, healthy)
	c.Assert(picked["a-3"] > 50, qt.IsTrue, qt.Commentf("picked %v", picked))
}

// Guards against a second attempt at an endpoint that already failed the call, and against calls to a leaving endpoint.
func TestTriedAndLeavingEndpointsAreNotPicked(t *testing.T) {
	c := qt.New(t)
	b := balancer.New(balancer.Options{DataCentre: "a"})
	list := endpoints(2, "a")
	list[1].State = core.EndpointLeaving
	_, ok := b.Pick(start, core.PickRequest{Tried: []core.NodeID{"a-0"}}, list)
	c.Assert(ok, qt.IsFalse)
}

// Guards against another call to an endpoint right after it refused one, while other endpoints are available.
func TestRefusingEndpointIsAvoided(t *testing.T) {
	c := qt.New(t)
	b := balancer.New(balancer.Options{DataCentre: "a"})
	list := endpoints(2, "a")
	first, _ := b.Pick(start, core.PickRequest{}, list)
	b.Done(start, core.PickResult{
		Endpoint: first,
		Outcome:  core.OutcomeNotRun,
	})
	for range 20 {
		next, _ := b.Pick(start, core.PickRequest{}, list)
		c.Assert(next.Node, qt.Not(qt.Equals), first.Node)
	}
}

// Guards against sessions that leave a healthy endpoint, or that all end up at the same one.
func TestStickySessionsAreSpreadAndKept(t *testing.T) {
	c := qt.New(t)
	b := balancer.New(balancer.Options{
		DataCentre: "a",
		Policy:     balancer.PolicySticky,
	})
	list := endpoints(3, "a")
	pick := func(session int) core.NodeID {
		e, ok := b.Pick(start, core.PickRequest{Session: fmt.Sprint(session)}, list)
		c.Assert(ok, qt.IsTrue)
		return e.Node
	}
	counts := make(map[core.NodeID]int)
	for session := range 9 {
		node := pick(session)
		counts[node]++
		c.Assert(pick(session), qt.Equals, node)
	}
	c.Assert(counts, qt.DeepEquals, map[core.NodeID]int{"a-0": 3, "a-1": 3, "a-2": 3})
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range balancer.Policies() {
		b.Run(string(policy), func(b *testing.B) {
			picker := balancer.New(balancer.Options{DataCentre: "a", Policy: policy})
			list := endpoints(16, "a")
			for b.Loop() {
				e, _ := picker.Pick(start, core.PickRequest{}, list)
				picker.Done(start, core.PickResult{Endpoint: e, Outcome: core.OutcomeAnswered, Latency: time.Millisecond})
			}
		})
	}
}
