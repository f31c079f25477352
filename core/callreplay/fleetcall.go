package callreplay

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/retry"
)

// fleetCall is a call at the node where it entered.
type fleetCall struct {
	route            *PatternRoute
	tenant           core.TenantID
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

// fleetCaller is a caller with all of its attempts.
type fleetCaller struct {
	fleet       *fleet
	route       *PatternRoute
	tenant      int // index
	entry       *fleetInstance
	began       time.Time
	deadline    time.Time
	retriesLeft int
	returned    bool
}

func (c *fleetCaller) try() {
	now := c.fleet.queue.now
	c.entry.enter(c.route, c.fleet.tenantID(c.tenant), c.deadline, now, func(result fleetResult) { c.receive(result) })
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
			if !c.fleet.tenantBursts[c.tenant] {
				m.OthersOnTime++
			}
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
				FreeIn:         result.load.FreeIn,
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

func (c *fleetCall) try() {
	f, now := c.entry.fleet, c.entry.fleet.queue.now
	chosen, found := c.entry.balancer.Pick(now, core.PickRequest{
		Service:         c.route.Service,
		Route:           c.route.Name,
		Tried:           c.tried,
		SoftDeadline:    c.softDeadline,
		Deadline:        c.deadline,
		BodyBytes:       int(c.route.BodyKB * 1024),
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
	} else {
		f.measures[c.route.Name].CrossedKB += c.route.BodyKB
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
	if result.outcome == core.OutcomeAnswered && from.DataCentre != c.entry.endpoint.DataCentre {
		c.entry.fleet.measures[c.route.Name].CrossedKB += c.route.AnswerKB
	}
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
