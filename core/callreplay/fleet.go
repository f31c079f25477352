package callreplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/limiter"
	"parsleyport/core/retry"
)

const (
	queueCheckInterval = 10 * time.Millisecond
	// patienceSpread is the part by which callers wait shorter than CallerMS, at random.
	patienceSpread = 0.15
	// usualTimeoutRatio is the part of the longest remaining time that nodes take for the time of a first attempt.
	usualTimeoutRatio = 0.8
	// callerWaitDivisor is the divisor of the part of its remaining time for which a caller waits at most when it is asked to.
	callerWaitDivisor = 3
)

// FleetOptions are the rules of the nodes in a run of a pattern.
type FleetOptions struct {
	Seed                uint64
	Limiter             limiter.Options
	FreeCapacityRetries int
	Budget              retry.BudgetOptions
	// RetryAfter returns how long a refused caller is asked to wait. Nil means retry.After.
	RetryAfter func(retry.RefusedCall) time.Duration
}

// RouteMeasures says what the callers of one route got.
type RouteMeasures struct {
	Route   core.RouteName
	Asked   int
	OnTime  int
	Late    int
	Refused int // in their last attempt
	Failed  int
	// ReturnedInVain counts callers that came back after a refusal and were refused at the end.
	ReturnedInVain int
	// WastedRuns counts runs that failed because a call that they made failed.
	WastedRuns int
	Worth      float64 // of all answers; at most Asked
	// SlotSeconds is the time for which the calls held slots.
	SlotSeconds float64
}

// WorthPerMille returns the worth of the answers per 1,000 requests.
func (m RouteMeasures) WorthPerMille() int {
	if m.Asked == 0 {
		return 0
	}
	return int(m.Worth / float64(m.Asked) * 1000)
}

// fleet is one run of a pattern.
type fleet struct {
	pattern   Pattern
	endsAt    time.Time // no requests arrive after it
	options   FleetOptions
	queue     *eventQueue
	random    *rand.Rand
	instances []*fleetInstance
	byService map[core.ServiceName][]core.Endpoint
	byNode    map[core.NodeID]*fleetInstance
	routes    map[core.RouteName]*PatternRoute
	measures  map[core.RouteName]*RouteMeasures
	burst     float64
}

// RunPattern plays a pattern and returns the measures by route, in the order of the pattern. Equal patterns and options give equal
// measures.
func RunPattern(p Pattern, options FleetOptions) []RouteMeasures {
	if options.RetryAfter == nil {
		options.RetryAfter = retry.After
	}
	start := time.Unix(1_700_000_000, 0)
	f := &fleet{
		pattern: p,
		endsAt:  start.Add(time.Duration(p.Seconds) * time.Second),
		options: options,
		queue: &eventQueue{
			now: start,
		},
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed+1)),
		byService: make(map[core.ServiceName][]core.Endpoint),
		byNode:    make(map[core.NodeID]*fleetInstance),
		routes:    make(map[core.RouteName]*PatternRoute),
		measures:  make(map[core.RouteName]*RouteMeasures),
		burst:     1,
	}
	for _, service := range p.Services {
		for i := range service.Instances {
			f.addInstance(service, i)
		}
	}
	for i := range p.Routes {
		route := &p.Routes[i]
		f.routes[route.Name] = route
		f.measures[route.Name] = &RouteMeasures{
			Route: route.Name,
		}
		if route.PerSecond > 0 {
			f.scheduleArrival(route)
		}
	}
	for _, event := range p.Events {
		f.scheduleEvent(start, event)
	}
	f.queue.runAll()
	return lo.Map(p.Routes, func(route PatternRoute, _ int) RouteMeasures { return *f.measures[route.Name] })
}

func (f *fleet) addInstance(service PatternService, number int) {
	node := core.NodeID(fmt.Sprintf("%s-%d", service.Name, number))
	dataCentre := core.DataCentre(fmt.Sprintf("dc%d", number%f.pattern.DataCentres))
	speed := 1.0
	if len(service.Speeds) > 0 {
		speed = service.Speeds[number%len(service.Speeds)]
	}
	instance := &fleetInstance{
		fleet: f,
		endpoint: core.Endpoint{
			Node:        node,
			Incarnation: 1,
			DataCentre:  dataCentre,
			Service:     service.Name,
			Slots:       service.Slots,
			State:       core.EndpointReady,
		},
		speed:   speed,
		limiter: limiter.NewWithOptions(service.Slots, f.options.Limiter),
		waiting: make(map[limiter.Ticket]*fleetAttempt),
		running: make(map[limiter.Ticket]*fleetAttempt),
		balancer: balancer.New(balancer.Options{
			DataCentre: dataCentre,
			Policy:     balancer.PolicyExpected,
			Seed:       f.random.Uint64(),
		}),
		budgets: make(map[core.ServiceName]*retry.Budget),
		slow:    1,
	}
	f.instances = append(f.instances, instance)
	f.byService[service.Name] = append(f.byService[service.Name], instance.endpoint)
	f.byNode[node] = instance
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (f *fleet) scheduleArrival(route *PatternRoute) {
	f.queue.after(time.Duration(f.random.ExpFloat64()/(route.PerSecond*f.burst)*float64(time.Second)), func() {
		if f.queue.now.After(f.endsAt) {
			return
		}
		f.scheduleArrival(route)
		patience := milliseconds(route.CallerMS * (1 - patienceSpread*f.random.Float64()))
		caller := &fleetCaller{
			fleet:       f,
			route:       route,
			entry:       f.instances[f.random.IntN(len(f.instances))],
			began:       f.queue.now,
			deadline:    f.queue.now.Add(patience),
			retriesLeft: route.CallerRetries,
		}
		f.measures[route.Name].Asked++
		caller.try()
	})
}

func (f *fleet) scheduleEvent(start time.Time, event PatternEvent) {
	var concerned []*fleetInstance
	for _, instance := range f.instances {
		if (event.Service == "" || instance.endpoint.Service == event.Service) && f.random.Float64() < event.Share {
			concerned = append(concerned, instance)
		}
	}
	begin := start.Add(milliseconds(event.AtMS))
	apply := func(set func(*fleetInstance, bool)) {
		setAll := func(active bool) func() {
			return func() {
				for _, instance := range concerned {
					set(instance, active)
				}
			}
		}
		f.queue.at(begin, setAll(true))
		f.queue.at(begin.Add(milliseconds(event.ForMS)), setAll(false))
	}
	switch event.Kind {
	case PatternReject:
		apply(func(i *fleetInstance, active bool) { i.reject = lo.Ternary(active, event.Value, 0) })
	case PatternSlow:
		apply(func(i *fleetInstance, active bool) { i.slow = lo.Ternary(active, event.Value, 1) })
	case PatternDown:
		apply(func(i *fleetInstance, active bool) { i.setDown(active) })
	case PatternBurst:
		concerned = f.instances[:1]
		apply(func(_ *fleetInstance, active bool) { f.burst = lo.Ternary(active, event.Value, 1) })
	}
}
