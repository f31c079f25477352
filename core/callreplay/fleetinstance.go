package callreplay

import (
	"math"
	"time"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/cost"
	"parsleyport/core/limiter"
	"parsleyport/core/retry"
)

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

// softDeadline returns the soft deadline as a node works it out: it knows the caller's remaining time only.
func (i *fleetInstance) softDeadline(route *PatternRoute, callerDeadline, now time.Time) time.Time {
	elapsed := max(0, milliseconds(usualTimeoutRatio*route.CallerMS)-callerDeadline.Sub(now))
	return now.Add(milliseconds(route.SoftDeadlineMS) - elapsed)
}

// enter begins a call at this node.
func (i *fleetInstance) enter(route *PatternRoute, tenant core.TenantID, callerDeadline, now time.Time, done func(fleetResult)) {
	deadline := now.Add(milliseconds(route.TimeoutMS))
	if callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	call := &fleetCall{
		route:        route,
		tenant:       tenant,
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

func (i *fleetInstance) load(route core.RouteName) core.Load {
	return i.limiter.Load(i.fleet.queue.now, route)
}

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
		Tenant:       a.call.tenant,
		Priority:     a.call.route.Priority,
		SoftDeadline: a.call.softDeadline,
		Deadline:     a.call.deadline,
		Class:        a.call.route.Name,
		Cost: &cost.Class{
			Route:  a.call.route.Name,
			Tenant: a.call.tenant,
		},
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
	if route.TailShare > 0 && f.random.Float64() < route.TailShare {
		work = time.Duration(float64(work) * route.TailFactor)
	}
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
	i.enter(nested, "", callerDeadline, now, func(result fleetResult) {
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
