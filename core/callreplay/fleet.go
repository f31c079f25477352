package callreplay

import (
	"fmt"
	"math"
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

// fleetInstance is a backend server with the node beside it.
type fleetInstance struct {
	fleet    *fleet
	endpoint core.Endpoint
	speed    float64
	limiter  *limiter.Limiter
	waiting  map[limiter.Ticket]*fleetAttempt
	running  map[limiter.Ticket]*fleetAttempt
	checking bool // a check of the queue is scheduled
	balancer *balancer.Balancer
	budgets  map[core.ServiceName]*retry.Budget
	reject   float64
	slow     float64
	down     bool
	run      int // incremented when the backend server ends, so that its runs do not finish
}

// fleetCall is a call at the node where it entered.
type fleetCall struct {
	route            *PatternRoute
	entry            *fleetInstance
	arrivedAt        time.Time
	softDeadline     time.Time
	deadline         time.Time
	attempts         retry.Attempts
	tried            []core.NodeID
	capacityRefusals int
	last             fleetResult // of the latest attempt
	done             func(fleetResult)
}

type fleetResult struct {
	outcome core.Outcome
	cause   core.RefusalCause
	load    core.Load
	failed  bool
}

// fleetAttempt is an attempt at the node beside its backend server.
type fleetAttempt struct {
	call      *fleetCall
	startedAt time.Time
	reply     func(fleetResult)
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

// fleetCaller is a caller with all of its attempts.
type fleetCaller struct {
	fleet       *fleet
	route       *PatternRoute
	entry       *fleetInstance
	began       time.Time
	deadline    time.Time
	retriesLeft int
	returned    bool
}

func (c *fleetCaller) try() {
	now := c.fleet.queue.now
	c.entry.enter(c.route, c.deadline, now, func(result fleetResult) { c.receive(result) })
}

func (c *fleetCaller) receive(result fleetResult) {
	now, m := c.fleet.queue.now, c.fleet.measures[c.route.Name]
	switch {
	case now.After(c.deadline):
		m.Failed++
		return
	case result.outcome == core.OutcomeAnswered && !result.failed:
		if now.Sub(c.began) <= milliseconds(c.route.SoftDeadlineMS) {
			m.OnTime++
			m.Worth++
		} else {
			m.Late++
			m.Worth += c.route.LateWorth
		}
		return
	}
	refused := result.outcome == core.OutcomeNotRun
	if c.retriesLeft > 0 && (refused || c.route.Idempotent) {
		wait := time.Duration(0)
		if refused {
			wait = min(c.fleet.options.RetryAfter(retry.RefusedCall{
				Now:            now,
				CallerDeadline: c.deadline,
				Cause:          result.cause,
			}), c.deadline.Sub(now)/callerWaitDivisor)
		}
		if now.Add(wait).Before(c.deadline) {
			c.retriesLeft--
			c.returned = c.returned || refused
			c.fleet.queue.after(wait, c.try)
			return
		}
	}
	if refused {
		m.Refused++
		if c.returned {
			m.ReturnedInVain++
		}
		return
	}
	m.Failed++
}

// softDeadline returns the soft deadline as a node works it out: it knows the caller's remaining time only.
func (i *fleetInstance) softDeadline(route *PatternRoute, callerDeadline, now time.Time) time.Time {
	elapsed := max(0, milliseconds(usualTimeoutRatio*route.CallerMS)-callerDeadline.Sub(now))
	return now.Add(milliseconds(route.SoftDeadlineMS) - elapsed)
}

// enter begins a call at this node.
func (i *fleetInstance) enter(route *PatternRoute, callerDeadline, now time.Time, done func(fleetResult)) {
	deadline := now.Add(milliseconds(route.TimeoutMS))
	if callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	call := &fleetCall{
		route:        route,
		entry:        i,
		arrivedAt:    now,
		softDeadline: i.softDeadline(route, callerDeadline, now),
		deadline:     deadline,
		attempts:     retry.NewAttempts(max(route.Attempts, 1), 0),
		done:         done,
	}
	i.budget(route.Service).RecordCall(now)
	call.try()
}

func (i *fleetInstance) budget(service core.ServiceName) *retry.Budget {
	budget := i.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(i.fleet.options.Budget)
		budget.SetNodes(len(i.fleet.instances))
		i.budgets[service] = budget
	}
	return budget
}

func (c *fleetCall) try() {
	f, now := c.entry.fleet, c.entry.fleet.queue.now
	chosen, found := c.entry.balancer.Pick(now, core.PickRequest{
		Service:         c.route.Service,
		Route:           c.route.Name,
		Tried:           c.tried,
		SoftDeadline:    c.softDeadline,
		Deadline:        c.deadline,
		CapacityRefused: c.capacityRefusals > 0,
	}, f.byService[c.route.Service])
	if !found {
		if c.last.outcome == "" {
			c.last = fleetResult{
				outcome: core.OutcomeNotRun,
				cause:   core.CauseNoEndpoint,
			}
		}
		c.done(c.last)
		return
	}
	c.attempts.Start()
	c.tried = append(c.tried, chosen.Node)
	oneWay := time.Duration(f.pattern.OneWayUS) * time.Microsecond
	if chosen.DataCentre == c.entry.endpoint.DataCentre {
		oneWay = time.Duration(f.pattern.LocalUS) * time.Microsecond
	}
	began := now
	attempt := &fleetAttempt{
		call: c,
		reply: func(result fleetResult) {
			f.queue.after(oneWay, func() { c.receive(chosen, began, result) })
		},
	}
	f.queue.after(oneWay, func() { f.byNode[chosen.Node].arrive(attempt) })
}

func (c *fleetCall) receive(from core.Endpoint, began time.Time, result fleetResult) {
	now := c.entry.fleet.queue.now
	c.entry.balancer.Done(now, core.PickResult{
		Endpoint: from,
		Route:    c.route.Name,
		Outcome:  result.outcome,
		Failed:   result.failed,
		Latency:  now.Sub(began),
		Load:     result.load,
	})
	c.last = result
	class := retry.Final
	switch result.outcome {
	case core.OutcomeNotRun:
		class = retry.Classify(result.outcome, result.cause, c.route.Idempotent)
		if class == retry.RetryBudgeted && c.capacityRefusals < c.entry.fleet.options.FreeCapacityRetries && retry.RefusedForCapacity(result.cause) {
			c.capacityRefusals++
			class = retry.RetryFree
		}
	case core.OutcomeUnknown:
		class = retry.Classify(result.outcome, "", c.route.Idempotent)
	}
	if now.Before(c.deadline) && c.attempts.AllowRetry(class, func() bool { return c.entry.budget(c.route.Service).Take(now) }) {
		c.try()
		return
	}
	c.done(result)
}

func (i *fleetInstance) load(route core.RouteName) core.Load { return i.limiter.Load(route) }

func (i *fleetInstance) arrive(a *fleetAttempt) {
	if i.down {
		a.reply(fleetResult{
			outcome: core.OutcomeNotRun,
			cause:   core.CauseNoBackend,
			failed:  true,
		})
		return
	}
	ticket, change := i.limiter.Arrive(i.fleet.queue.now, limiter.Request{
		Priority:     a.call.route.Priority,
		SoftDeadline: a.call.softDeadline,
		Deadline:     a.call.deadline,
		Class:        a.call.route.Name,
	})
	i.waiting[ticket] = a
	i.apply(change)
	i.scheduleCheck()
}

func (i *fleetInstance) scheduleCheck() {
	if i.checking || i.limiter.Waiting() == 0 {
		return
	}
	i.checking = true
	i.fleet.queue.after(queueCheckInterval, func() {
		i.checking = false
		i.apply(i.limiter.Expire(i.fleet.queue.now))
		i.scheduleCheck()
	})
}

func (i *fleetInstance) apply(change limiter.Change) {
	for _, shed := range change.Shed {
		a := i.waiting[shed.Ticket]
		delete(i.waiting, shed.Ticket)
		a.reply(fleetResult{
			outcome: core.OutcomeNotRun,
			cause:   shed.Cause,
			load:    i.load(a.call.route.Name),
		})
	}
	for _, ticket := range change.Start {
		a := i.waiting[ticket]
		delete(i.waiting, ticket)
		i.start(ticket, a)
	}
}

// start runs an attempt at the backend server: its own work first, then the calls that it makes, one after another.
func (i *fleetInstance) start(ticket limiter.Ticket, a *fleetAttempt) {
	f, route, run := i.fleet, a.call.route, i.run
	a.startedAt = f.queue.now
	i.running[ticket] = a
	if i.reject > 0 && f.random.Float64() < i.reject {
		f.queue.after(0, func() {
			i.finish(run, ticket, a, limiter.Result{Overloaded: true}, fleetResult{
				outcome: core.OutcomeNotRun,
				cause:   core.CauseOverloaded,
			})
		})
		return
	}
	work := milliseconds(route.WorkMS * i.speed * i.slow * math.Exp(f.random.NormFloat64()*route.Spread-route.Spread*route.Spread/2))
	ends := f.queue.now.Add(work)
	if ends.After(a.call.deadline) {
		ends = a.call.deadline
	}
	f.queue.at(ends, func() { i.makeCalls(run, ticket, a, route.Calls) })
}

func (i *fleetInstance) makeCalls(run int, ticket limiter.Ticket, a *fleetAttempt, calls []PatternCall) {
	f, now := i.fleet, i.fleet.queue.now
	answer := fleetResult{
		outcome: core.OutcomeAnswered,
	}
	if !now.Before(a.call.deadline) {
		answer.failed = true // 504
		i.finish(run, ticket, a, limiter.Result{Failed: true}, answer)
		return
	}
	if len(calls) == 0 {
		i.finish(run, ticket, a, limiter.Result{Latency: now.Sub(a.startedAt)}, answer)
		return
	}
	if f.random.Float64() >= calls[0].Share {
		i.makeCalls(run, ticket, a, calls[1:])
		return
	}
	nested := f.routes[calls[0].Route]
	callerDeadline := now.Add(milliseconds(nested.CallerMS))
	if a.call.deadline.Before(callerDeadline) {
		callerDeadline = a.call.deadline
	}
	m := f.measures[nested.Name]
	m.Asked++
	i.enter(nested, callerDeadline, now, func(result fleetResult) {
		switch {
		case result.outcome == core.OutcomeAnswered && !result.failed:
			m.OnTime++
			m.Worth++
			i.makeCalls(run, ticket, a, calls[1:])
			return
		case result.outcome == core.OutcomeNotRun:
			m.Refused++
		default:
			m.Failed++
		}
		f.measures[a.call.route.Name].WastedRuns++
		answer.failed = true
		i.finish(run, ticket, a, limiter.Result{Failed: true}, answer)
	})
}

// finish ends a run, unless its backend server has ended meanwhile.
func (i *fleetInstance) finish(run int, ticket limiter.Ticket, a *fleetAttempt, result limiter.Result, answer fleetResult) {
	if run != i.run {
		return
	}
	delete(i.running, ticket)
	i.fleet.measures[a.call.route.Name].SlotSeconds += i.fleet.queue.now.Sub(a.startedAt).Seconds()
	i.apply(i.limiter.Finish(i.fleet.queue.now, ticket, result))
	answer.load = i.load(a.call.route.Name)
	a.reply(answer)
}

func (i *fleetInstance) setDown(down bool) {
	i.down = down
	if !down {
		return
	}
	i.run++
	waiting, running := i.waiting, i.running
	i.waiting, i.running = make(map[limiter.Ticket]*fleetAttempt), make(map[limiter.Ticket]*fleetAttempt)
	i.limiter = limiter.NewWithOptions(i.endpoint.Slots, i.fleet.options.Limiter)
	for _, ticket := range sortedTickets(waiting) {
		waiting[ticket].reply(fleetResult{
			outcome: core.OutcomeNotRun,
			cause:   core.CauseNoBackend,
			failed:  true,
		})
	}
	for _, ticket := range sortedTickets(running) {
		running[ticket].reply(fleetResult{
			outcome: core.OutcomeUnknown,
			failed:  true,
		})
	}
}
