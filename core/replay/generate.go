package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"parsleyport/core"
)

// Deployment names one of the deployments whose sizes are known (design 1.2), so that traces can be generated for them.
type Deployment string

// The deployments with a known size.
const (
	DeploymentPamoja        Deployment = "pamoja"
	DeploymentVavlaget      Deployment = "vavlaget"
	arrivalsIntervalSeconds            = 20
)

// Deployments lists all deployments.
var Deployments = []Deployment{DeploymentPamoja, DeploymentVavlaget}

// Scenario names the situation that a generated trace is about.
type Scenario string

// Scenarios lists all scenarios. New ones are added at the end, since the stored traces alternate between the deployments.
var Scenarios = []Scenario{
	"good-calm", "good-churn", "good-low-traffic", "good-tight", "good-cold-start", "good-shared-slow", "good-shared-failures",
	"good-leader-loss", "good-centre-overloaded", "good-crash-both", "good-failing-as-before", "good-restarts", "good-risk-limit",
	"bad-at-once", "bad-late", "bad-load-only", "bad-one-route", "bad-slow", "bad-flaky", "bad-crash",
	"bad-late-flaky", "bad-late-slow", "bad-leader-loss", "bad-low-traffic", "bad-shared-slow",
	"good-rushed", "bad-rushed",
}

type deploymentSize struct {
	dataCentres, slots int
	services           []serviceSize
}

type serviceSize struct {
	name           core.ServiceName
	instances      int
	callsPerSecond float64
	latencyMS      float64
	routes         []core.RouteName
}

// deploymentSizes lists data centres, backend servers and slots of the deployments (design 1.2). The rates and latencies keep up to
// half of the slots in use.
var deploymentSizes = map[Deployment]deploymentSize{
	DeploymentPamoja: {
		dataCentres: 4, slots: 9,
		services: []serviceSize{
			{name: "transcripts", instances: 7, callsPerSecond: 220, latencyMS: 110, routes: []core.RouteName{"read", "certify", "search"}},
			{name: "sittings", instances: 4, callsPerSecond: 180, latencyMS: 70, routes: []core.RouteName{"calendar", "hansard"}},
		},
	},
	DeploymentVavlaget: {
		dataCentres: 3, slots: 14,
		services: []serviceSize{
			{name: "orders", instances: 6, callsPerSecond: 330, latencyMS: 80, routes: []core.RouteName{"status", "lodge", "price"}},
			{name: "looms", instances: 5, callsPerSecond: 400, latencyMS: 40, routes: []core.RouteName{"status", "pattern"}},
		},
	},
}

type generator struct {
	*rand.Rand
	trace          *Trace
	callsPerSecond float64
	routeRatios    []float64 // part of callsPerSecond for each route
}

// Generate returns the trace for a seed, a deployment and a scenario. An unknown scenario gives a trace without disturbances.
func Generate(seed uint64, deployment Deployment, scenario Scenario) *Trace {
	random := rand.New(rand.NewPCG(seed, uint64(len(scenario))<<8|uint64(len(deployment))))
	size := deploymentSizes[deployment]
	service := size.services[random.IntN(len(size.services))]
	g := &generator{
		Rand: random,
		trace: &Trace{Header: Header{
			Format:           1,
			Name:             fmt.Sprintf("%s-%s-%d", scenario, deployment, seed),
			Seed:             seed,
			Service:          service.name,
			From:             "v1",
			To:               "v2",
			DataCentres:      size.dataCentres,
			Instances:        service.instances,
			Slots:            size.slots,
			WarmSeconds:      30,
			DeadlineSeconds:  300 + 60*random.IntN(6),
			EvidenceDelayMS:  500 + 250*random.IntN(5),
			RepeatedPerMille: 50,
			Outcome:          Outcome{State: core.MoveDone},
		}},
		callsPerSecond: service.callsPerSecond * uniformBetween(random, 0.5, 1.2),
	}
	g.routes(service)
	g.scenario(scenario)
	g.arrivals()
	slices.SortStableFunc(g.trace.Events, func(a, b Event) int {
		return cmp.Compare(a.At, b.At)
	})
	return g.trace
}

func uniformBetween(random *rand.Rand, low, high float64) float64 {
	return low + (high-low)*random.Float64()
}

func (g *generator) between(low, high float64) float64 {
	return uniformBetween(g.Rand, low, high)
}

func (g *generator) routes(service serviceSize) {
	rest := 1.0
	for i, name := range service.routes {
		part := rest
		if i < len(service.routes)-1 {
			part = rest * g.between(0.55, 0.85)
		}
		rest -= part
		g.routeRatios = append(g.routeRatios, part)
		g.trace.Routes = append(g.trace.Routes, RouteLoad{
			Name:             name,
			LatencyMS:        math.Round(service.latencyMS * g.between(0.7, 1.3)),
			FailuresPerMille: math.Round(10*g.between(0, 3)) / 10,
		})
	}
}

func (g *generator) event(at float64, kind string, args ...any) {
	e := Event{
		At:   math.Round(at),
		Kind: kind,
	}
	for _, a := range args {
		text := fmt.Sprint(a)
		if f, isFloat := a.(float64); isFloat {
			text = strconv.FormatFloat(math.Round(f*1e4)/1e4, 'f', -1, 64)
		}
		e.Args = append(e.Args, text)
	}
	g.trace.Events = append(g.trace.Events, e)
}

// arrivals adds the rates of calls, which drift slowly around their mean.
func (g *generator) arrivals() {
	drift := 1.0
	for at := -g.trace.WarmSeconds; at < g.trace.DeadlineSeconds; at += arrivalsIntervalSeconds {
		drift = min(1.3, max(0.7, drift*g.between(0.93, 1.08)))
		var rates []any
		for _, part := range g.routeRatios {
			rates = append(rates, math.Round(100*g.callsPerSecond*part*drift)/100)
		}
		g.event(float64(at), "arrivals", rates...)
	}
}

// timeBetween returns a random time in seconds; low and high are parts of the time until the deadline.
func (g *generator) timeBetween(low, high float64) float64 {
	return g.between(low, high) * float64(g.trace.DeadlineSeconds)
}

func (g *generator) fault(at float64, route any, load, fail, slow, crash float64) {
	g.trace.Outcome = Outcome{
		State: core.MoveTakenBack,
		Bad:   true,
	}
	g.event(at, "fault", route, load, fail, slow, crash)
}

func (g *generator) scenario(scenario Scenario) {
	switch scenario {
	case "good-churn":
		g.churn()
	case "good-low-traffic":
		g.callsPerSecond = g.between(0.3, 4)
		g.trace.Outcome.Cause = "evidence thin"
	case "good-tight":
		g.trace.DeadlineSeconds = 150 + g.IntN(60)
	case "good-cold-start":
		for i := range g.trace.Instances {
			g.event(-5, "leaving", "new", i)
			g.event(g.between(0, 40), "ready", "new", i)
		}
	case "good-shared-slow":
		g.sharedSlow()
	case "good-shared-failures":
		for range 2 {
			start := g.timeBetween(0.05, 0.8)
			g.event(start, "shared", g.between(0.05, 0.4), 1.5, 0)
			g.event(start+g.between(5, 30), "shared", 0, 1, 0)
		}
	case "good-leader-loss":
		for range 2 {
			g.event(g.timeBetween(0.05, 0.8), "leader-loss", 2+g.IntN(6))
		}
	case "good-centre-overloaded":
		centre, start := g.IntN(g.trace.DataCentres), g.timeBetween(0.05, 0.6)
		g.event(start, "centre", centre, g.between(0.05, 0.3), g.between(2, 5))
		g.event(start+g.between(30, 90), "centre", centre, 0, 1)
	case "good-crash-both":
		g.event(-20, "shared", 0, 1, g.between(0.0005, 0.002))
	case "good-failing-as-before":
		for i := range g.trace.Routes {
			g.trace.Routes[i].FailuresPerMille = math.Round(g.between(10, 40))
		}
	case "good-restarts":
		for range 8 {
			g.event(g.timeBetween(0, 0.9), "restart", g.IntN(2*g.trace.Instances))
		}
	case "good-risk-limit":
		g.trace.MaxRiskPerMille = core.PerMille(30 + 10*g.IntN(5))
	case "good-rushed":
		g.rushed()
	default:
		g.badScenario(scenario)
	}
}

func (g *generator) badScenario(scenario Scenario) {
	switch scenario {
	case "bad-at-once":
		g.fault(-30, "*", 0, g.between(0.2, 1), 1, 0)
	case "bad-late":
		g.fault(g.timeBetween(0.15, 0.75), "*", 0, g.between(0.1, 0.6), 1, 0)
	case "bad-load-only":
		g.fault(-30, "*", g.callsPerSecond*g.between(0.1, 0.4), g.between(0.1, 0.4), g.between(1, 3), 0)
	case "bad-one-route":
		i := g.IntN(len(g.trace.Routes))
		g.fault(-30, g.trace.Routes[i].Name, 0, g.between(0.1, 0.6), 1, 0)
	case "bad-slow":
		g.fault(-30, "*", 0, 0, g.between(2, 5), 0)
	case "bad-flaky":
		g.fault(-30, "*", 0, g.between(0.01, 0.05), 1, 0)
	case "bad-crash":
		g.fault(-30, "*", 0, 0, 1, g.between(0.003, 0.02))
	case "bad-late-flaky":
		g.fault(g.timeBetween(0.15, 0.75), "*", 0, g.between(0.02, 0.05), 1, 0)
	case "bad-late-slow":
		g.fault(g.timeBetween(0.15, 0.75), "*", 0, 0, g.between(2, 5), 0)
	case "bad-leader-loss":
		at := g.timeBetween(0.15, 0.7)
		g.fault(at, "*", 0, g.between(0.1, 0.5), 1, 0)
		g.event(at-2, "leader-loss", 2+g.IntN(4))
	case "bad-low-traffic":
		g.callsPerSecond = g.between(2, 8)
		g.fault(-30, "*", 0, g.between(0.5, 1), 1, 0)
	case "bad-shared-slow":
		g.sharedSlow()
		g.fault(-30, "*", 0, g.between(0.05, 0.2), 1, 0)
	case "bad-rushed":
		g.rushed()
		g.fault(-30, "*", 0, g.between(0.2, 0.6), 1, 0)
	}
}

// rushed gives the move too little time for all steps but much traffic, and starts the new release's backend servers just before it.
func (g *generator) rushed() {
	g.callsPerSecond = g.between(300, 800)
	g.trace.DeadlineSeconds = 12 + g.IntN(20)
	for i := range g.trace.Instances {
		g.event(-3, "leaving", "new", i)
		g.event(-2, "ready", "new", i)
	}
}

func (g *generator) sharedSlow() {
	for range 2 {
		start := g.timeBetween(0, 0.8)
		g.event(start, "shared", 0, g.between(2, 6), 0)
		g.event(start+g.between(10, 60), "shared", 0, 1, 0)
	}
}

func (g *generator) churn() {
	for range 2 * g.trace.Instances {
		release, i, start := [2]string{"old", "new"}[g.IntN(2)], g.IntN(g.trace.Instances), g.timeBetween(0, 0.8)
		g.event(start, "leaving", release, i)
		g.event(start+g.between(5, 20), "ready", release, i)
	}
}
