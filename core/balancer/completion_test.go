package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/balancer"
)

// newCompletionBalancer returns a balancer that has received a load report from each of the endpoints.
func newCompletionBalancer(all []core.Endpoint, loads map[core.NodeID]core.Load) *balancer.Balancer {
	b := balancer.New(balancer.Options{DataCentre: "home", Policy: balancer.PolicyLeastCompletion, Seed: 1})
	for range 20 {
		for _, endpoint := range all {
			b.Pick(start, core.PickRequest{Route: "r", Tried: otherNodes(all, endpoint.Node)}, all)
			b.Done(start, core.PickResult{Endpoint: endpoint, Route: "r", Outcome: core.OutcomeAnswered, Load: loads[endpoint.Node]})
		}
	}
	return b
}

// shares picks 1,000 times and returns the share of each node.
func shares(b *balancer.Balancer, now time.Time, all []core.Endpoint, bodyBytes int) map[core.NodeID]float64 {
	got := make(map[core.NodeID]float64)
	for range 1000 {
		endpoint, _ := b.Pick(now, core.PickRequest{Route: "r", SoftDeadline: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second), BodyBytes: bodyBytes}, all)
		got[endpoint.Node] += 0.001
		b.Done(now, core.PickResult{Endpoint: endpoint, Discarded: true})
	}
	return got
}

func reported(running int, service, freeIn time.Duration) core.Load {
	return core.Load{Running: running, Limit: 10, ServiceTime: service, RouteServiceTime: service, FreeIn: freeIn}
}

const ms = time.Millisecond

// Guards against calls that wait at a fast endpoint while a slower one has free slots, against a slow one that gets as many calls as
// a fast one, and against a report that counts for long after it has become old.
func TestLeastCompletionWeighsWaitAndSpeed(t *testing.T) {
	c := qt.New(t)
	all := endpoints(2, "home")
	b := newCompletionBalancer(all, map[core.NodeID]core.Load{"home-0": reported(1, 100*ms, 1), "home-1": reported(1, 200*ms, 1)})
	c.Assert(shares(b, start, all, 0)["home-0"] > 0.95, qt.IsTrue)
	b.Done(start, core.PickResult{Endpoint: all[0], Route: "r", Discarded: true, Load: reported(10, 100*ms, 300*ms)})
	c.Assert(shares(b, start, all, 0)["home-1"] > 0.95, qt.IsTrue)
	c.Assert(shares(b, start.Add(3*time.Second), all, 0)["home-0"] > 0.5, qt.IsTrue)
	got := shares(b, start.Add(10*time.Minute), all, 0)
	c.Assert(got["home-0"] < 0.6 && got["home-1"] < 0.6, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against calls to an endpoint that has stopped to answer, and against one that is avoided because of a single long call.
func TestStalledEndpointIsAvoided(t *testing.T) {
	c := qt.New(t)
	all := endpoints(2, "home")
	b := newCompletionBalancer(all, map[core.NodeID]core.Load{"home-0": reported(1, 100*ms, 1), "home-1": reported(1, 100*ms, 1)})
	b.Pick(start.Add(ms), core.PickRequest{Route: "r", Tried: []core.NodeID{"home-1"}}, all)
	now := start.Add(time.Second)
	c.Assert(shares(b, now, all, 0)["home-0"] < 0.01, qt.IsTrue)
	b.Pick(now, core.PickRequest{Route: "r", Tried: []core.NodeID{"home-1"}}, all)
	b.Done(now.Add(100*ms), core.PickResult{Endpoint: all[0], Route: "r", Outcome: core.OutcomeAnswered, Latency: 100 * ms, Load: reported(2, 100*ms, 1)})
	c.Assert(shares(b, now.Add(100*ms), all, 0)["home-0"] > 0.3, qt.IsTrue)
}

// Guards against large bodies that cross to another data centre for a gain that is smaller than what they take on the link.
func TestLargeBodiesCrossOnlyForMore(t *testing.T) {
	c := qt.New(t)
	all := append(endpoints(1, "home"), endpoints(1, "away")...)
	away := func(freeIn time.Duration, bodyBytes int) float64 {
		b := newCompletionBalancer(all, map[core.NodeID]core.Load{"home-0": reported(10, 100*ms, freeIn), "away-0": reported(1, 100*ms, 1)})
		return shares(b, start, all, bodyBytes)["away-0"]
	}
	c.Assert(away(20*ms, 0) < 0.01, qt.IsTrue, qt.Commentf("on time at home"))
	c.Assert(away(80*ms, 0) > 0.99, qt.IsTrue)
	c.Assert(away(80*ms, 60<<10) > 0.99, qt.IsTrue)
	c.Assert(away(80*ms, 1<<20) < 0.01, qt.IsTrue)
}

// Guards against an explanation that differs from what Pick does, and against one that changes what later calls get.
func TestExplanationMatchesThePickAndChangesNothing(t *testing.T) {
	c := qt.New(t)
	all := append(endpoints(2, "home"), endpoints(2, "away")...)
	full, idle := reported(10, 100*ms, 700*ms), reported(1, 100*ms, 1)
	loads := map[core.NodeID]core.Load{"home-0": full, "home-1": full, "away-0": idle, "away-1": full}
	explained, plain := newCompletionBalancer(all, loads), newCompletionBalancer(all, loads)
	request := core.PickRequest{Route: "r", SoftDeadline: start.Add(500 * ms), Deadline: start.Add(2 * time.Second)}
	for range 50 {
		e := explained.Explain(start, request, append(all, endpoints(1, "new")...))
		c.Assert(e.Likely, qt.Equals, core.NodeID("away-0"))
		c.Assert(e.Why, qt.Equals, "late here, on time in another data centre")
		c.Assert(e.Endpoints, qt.HasLen, 5)
		got, _ := explained.Pick(start, request, all)
		want, _ := plain.Pick(start, request, all)
		c.Assert(got, qt.Equals, want)
		explained.Done(start, core.PickResult{Endpoint: got, Discarded: true})
		plain.Done(start, core.PickResult{Endpoint: want, Discarded: true})
	}
	c.Assert(explained.Status(start), qt.HasLen, 4)
	large := request
	large.BodyBytes = 8 << 20
	b := newCompletionBalancer(all, loads)
	c.Assert(b.Explain(start, large, all).Why, qt.Contains, "the body takes longer")
	leaving := all[:1:1]
	leaving[0].State = core.EndpointLeaving
	e := b.Explain(start, request, leaving)
	c.Assert(e.Likely, qt.Equals, core.NodeID(""))
	c.Assert(e.Endpoints[0].Excluded, qt.Equals, "state leaving")
}
