package callreplay

import (
	"fmt"
	"math/rand/v2"
	"strconv"
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
	Policy              balancer.Policy // empty for balancer.PolicyExpected
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
	// OthersAsked and OthersOnTime leave out the tenants that have a burst at any time of the pattern.
	OthersAsked, OthersOnTime int
	// CrossedKB is what requests and answers took on the links between data centres.
	CrossedKB float64
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
	// tenantRates are the parts of the rate of all callers by tenant, above their usual parts during a burst of a tenant.
	tenantRates  []float64
	tenantBursts map[int]bool // by index
}

// RunPattern plays a pattern and returns the measures by route, in the order of the pattern. Equal patterns and options give equal
// measures.
func RunPattern(p Pattern, options FleetOptions) []RouteMeasures {
	if options.RetryAfter == nil {
		options.RetryAfter = retry.After
	}
	if options.Policy == "" {
		options.Policy = balancer.PolicyExpected
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

		tenantRates:  p.tenantShares(),
		tenantBursts: make(map[int]bool),
	}
	for _, event := range p.Events {
		if event.Kind == PatternTenantBurst {
			f.tenantBursts[event.Tenant-1] = true
		}
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
			Policy:     f.options.Policy,
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
	f.queue.after(time.Duration(f.random.ExpFloat64()/(route.PerSecond*f.burst*lo.Sum(f.tenantRates))*float64(time.Second)), func() {
		if f.queue.now.After(f.endsAt) {
			return
		}
		f.scheduleArrival(route)
		patience := milliseconds(route.CallerMS * (1 - patienceSpread*f.random.Float64()))
		caller := &fleetCaller{
			fleet:       f,
			route:       route,
			tenant:      f.drawTenant(),
			entry:       f.instances[f.random.IntN(len(f.instances))],
			began:       f.queue.now,
			deadline:    f.queue.now.Add(patience),
			retriesLeft: route.CallerRetries,
		}
		f.measures[route.Name].Asked++
		if !f.tenantBursts[caller.tenant] {
			f.measures[route.Name].OthersAsked++
		}
		caller.try()
	})
}

// tenantID returns the tenant with an index. Without tenants, all calls have the same one, those that runs make included.
func (f *fleet) tenantID(index int) core.TenantID {
	if f.pattern.Tenants == 0 {
		return ""
	}
	return core.TenantID(strconv.Itoa(index + 1))
}

// drawTenant returns the index of the tenant of a new caller.
func (f *fleet) drawTenant() int {
	if len(f.tenantRates) == 1 {
		return 0
	}
	point := f.random.Float64() * lo.Sum(f.tenantRates)
	for i, rate := range f.tenantRates {
		if point -= rate; point < 0 {
			return i
		}
	}
	return len(f.tenantRates) - 1
}

func (f *fleet) scheduleEvent(start time.Time, event PatternEvent) {
	if next := event; event.EveryMS > 0 && event.AtMS+event.EveryMS < float64(f.pattern.Seconds)*1000 {
		next.AtMS += event.EveryMS
		defer f.scheduleEvent(start, next)
	}
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
	case PatternTenantBurst:
		concerned = f.instances[:1]
		usual := f.tenantRates[event.Tenant-1]
		apply(func(_ *fleetInstance, active bool) {
			f.tenantRates[event.Tenant-1] = lo.Ternary(active, event.Value, 1) * usual
		})
	}
}
