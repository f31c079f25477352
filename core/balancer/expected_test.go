package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/balancer"
)

// newExpectedBalancer returns a balancer with two local and two remote endpoints after it has received the given load reports.
func newExpectedBalancer(loads map[core.NodeID]core.Load) (*balancer.Balancer, []core.Endpoint) {
	b := balancer.New(balancer.Options{DataCentre: "home", Policy: balancer.PolicyExpected, Seed: 1})
	all := append(endpoints(2, "home"), endpoints(2, "away")...)
	for i := range all {
		all[i].Slots = 10
	}
	for _, endpoint := range all {
		load, known := loads[endpoint.Node]
		if !known {
			continue
		}
		others := otherNodes(all, endpoint.Node)
		if _, picked := b.Pick(start, core.PickRequest{Service: "transcripts", Route: "r", Tried: others}, all); picked {
			b.Done(start, core.PickResult{Endpoint: endpoint, Route: "r", Outcome: core.OutcomeAnswered, Latency: load.ServiceTime, Load: load})
		}
	}
	return b, all
}

func otherNodes(all []core.Endpoint, node core.NodeID) []core.NodeID {
	var others []core.NodeID
	for _, e := range all {
		if e.Node != node {
			others = append(others, e.Node)
		}
	}
	return others
}

// pickShares picks 1,000 times, discarding each attempt, and returns the share of each node.
func pickShares(b *balancer.Balancer, all []core.Endpoint, request core.PickRequest) map[core.NodeID]float64 {
	got := make(map[core.NodeID]float64)
	for range 1000 {
		endpoint, picked := b.Pick(start, request, all)
		if picked {
			got[endpoint.Node] += 0.001
			b.Done(start, core.PickResult{Endpoint: endpoint, Discarded: true})
		}
	}
	return got
}

func load(running, waiting int, service time.Duration) core.Load {
	return core.Load{Running: running, Waiting: waiting, Limit: 10, ServiceTime: service, RouteServiceTime: service}
}

// Guards against calls that leave a data centre that can serve them on time, that stay in a full one while there is spare capacity
// elsewhere, and that go to another full one during an overload, where they would displace its own calls.
func TestCallsLeaveTheirDataCentreForSpareCapacityOnly(t *testing.T) {
	c := qt.New(t)
	idle, full := load(1, 0, 100*time.Millisecond), load(10, 30, 100*time.Millisecond)
	request := core.PickRequest{Service: "transcripts", Route: "r", SoftDeadline: start.Add(300 * time.Millisecond), Deadline: start.Add(2 * time.Second)}
	for _, test := range []struct {
		name       string
		home, away core.Load
		leaves     bool
	}{
		{name: "all idle", home: idle, away: idle},
		{name: "home slower, on time", home: load(1, 0, 200*time.Millisecond), away: load(1, 0, 10*time.Millisecond)},
		{name: "home full", home: full, away: idle, leaves: true},
		{name: "overload", home: full, away: full},
		{name: "no spare capacity elsewhere", home: full, away: load(8, 0, 100*time.Millisecond)},
	} {
		b, all := newExpectedBalancer(map[core.NodeID]core.Load{"home-0": test.home, "home-1": test.home, "away-0": test.away, "away-1": test.away})
		got := pickShares(b, all, request)
		away := got["away-0"] + got["away-1"]
		c.Assert(away > 0.99, qt.Equals, test.leaves, qt.Commentf("%s: %v", test.name, got))
		c.Assert(away < 0.01, qt.Equals, !test.leaves, qt.Commentf("%s: %v", test.name, got))
	}
}

// Guards against a slightly slower endpoint that gets no calls while the others are idle, so that its load is never learned.
func TestSlowerEndpointsGetSomeCalls(t *testing.T) {
	c := qt.New(t)
	b, all := newExpectedBalancer(map[core.NodeID]core.Load{"home-0": load(1, 0, 100*time.Millisecond), "home-1": load(1, 0, 200*time.Millisecond)})
	got := pickShares(b, all, core.PickRequest{Service: "transcripts", Route: "r", Deadline: start.Add(2 * time.Second)})
	c.Assert(got["home-1"] > 0.05 && got["home-1"] < 0.3, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against a call that is offered to one full endpoint after another during an overload.
func TestRefusedCallsGoToSpareCapacityOnly(t *testing.T) {
	c := qt.New(t)
	full := load(10, 30, 100*time.Millisecond)
	b, all := newExpectedBalancer(map[core.NodeID]core.Load{"home-0": full, "home-1": full, "away-0": full, "away-1": full})
	got := pickShares(b, all, core.PickRequest{
		Service: "transcripts", Route: "r", Deadline: start.Add(2 * time.Second), CapacityRefused: true, Tried: []core.NodeID{"home-0", "home-1"},
	})
	c.Assert(got, qt.HasLen, 0)
}
