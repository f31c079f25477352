package callreplay

import (
	"math/rand/v2"
	"time"

	"parsleyport/core"
	"parsleyport/core/limiter"
)

// coldFactor is how much longer the runs of a cold backend server take.
const coldFactor = 4

// server is a backend server with the limiter of its node.
type server struct {
	spec    EndpointSpec
	clock   *schedule
	random  *rand.Rand
	limiter *limiter.Limiter
	pending map[limiter.Ticket]*attempt

	up           bool
	run          int // grows with each start, so that runs of an earlier process do not finish
	leaving      bool
	slowPerMille int64
	failPerMille int64
	slots        int
	coldUntil    time.Time
	incarnation  core.Incarnation
}

func newServer(spec EndpointSpec, clock *schedule, random *rand.Rand) *server {
	return &server{
		spec:         spec,
		clock:        clock,
		random:       random,
		limiter:      limiter.New(spec.Slots),
		pending:      make(map[limiter.Ticket]*attempt),
		up:           true,
		slowPerMille: 1000,
		slots:        spec.Slots,
		incarnation:  1,
	}
}

func (s *server) endpoint() core.Endpoint {
	state := core.EndpointReady
	if s.leaving || !s.up {
		state = core.EndpointLeaving
	}
	return core.Endpoint{
		Node:        s.spec.Node,
		Incarnation: s.incarnation,
		DataCentre:  s.spec.DataCentre,
		Service:     "replayed",
		Release:     "replayed",
		Slots:       s.spec.Slots,
		State:       state,
	}
}

func (s *server) apply(event Event) {
	switch event.Kind {
	case EventSlow:
		s.slowPerMille = event.Value
	case EventFail:
		s.failPerMille = event.Value
	case EventShrink:
		s.slots = int(event.Value)
	case EventLeaving:
		s.leaving = true
	case EventCrash:
		s.crash()
	case EventStart:
		s.up, s.leaving = true, false
		s.incarnation++
		s.coldUntil = s.clock.now.Add(time.Duration(event.Value) * time.Millisecond)
	}
}

// crash loses the running calls; the node is alive and truthfully refuses the waiting ones.
func (s *server) crash() {
	s.up = false
	s.run++
	pending := s.pending
	s.pending = make(map[limiter.Ticket]*attempt)
	s.limiter = limiter.New(s.spec.Slots)
	for _, a := range sortedAttempts(pending) {
		if a.started {
			a.reply(reply{outcome: core.OutcomeUnknown, failed: true})
			continue
		}
		a.reply(reply{outcome: core.OutcomeNotRun, cause: core.CauseNoBackend, failed: true})
	}
}

func (s *server) arrive(a *attempt) {
	if !s.up {
		a.reply(reply{outcome: core.OutcomeNotRun, cause: core.CauseNoBackend, failed: true})
		return
	}
	if s.leaving {
		a.reply(reply{outcome: core.OutcomeNotRun, cause: core.CauseLeaving})
		return
	}
	ticket, change := s.limiter.Arrive(s.clock.now, limiter.Request{
		Tenant:   a.call.Tenant,
		Deadline: a.deadline,
	})
	s.pending[ticket] = a
	s.follow(change)
}

func (s *server) follow(change limiter.Change) {
	for _, shed := range change.Shed {
		if a, exists := s.pending[shed.Ticket]; exists {
			delete(s.pending, shed.Ticket)
			a.reply(reply{outcome: core.OutcomeNotRun, cause: shed.Cause})
		}
	}
	for _, ticket := range change.Start {
		s.start(ticket)
	}
}

func (s *server) start(ticket limiter.Ticket) {
	a := s.pending[ticket]
	a.started = true
	if s.limiter.Running() > s.slots {
		// The backend server sheds the call itself: its slots are fewer than announced.
		s.clock.after(0, func() {
			s.finish(s.run, ticket, 0, reply{outcome: core.OutcomeNotRun, cause: core.CauseBackendRefused})
		})
		return
	}
	a.result.runs++
	took := time.Duration(s.spec.WorkUS*s.slowPerMille/1000) * time.Microsecond
	took = time.Duration(float64(took) * (0.5 + s.random.ExpFloat64()/2))
	if s.clock.now.Before(s.coldUntil) {
		took *= coldFactor
	}
	failed := s.random.Int64N(1000) < s.failPerMille
	if failed {
		took /= 10 // a broken backend server often fails fast
	}
	run := s.run
	s.clock.after(took, func() { s.finish(run, ticket, took, reply{outcome: core.OutcomeAnswered, failed: failed}) })
}

func (s *server) finish(run int, ticket limiter.Ticket, took time.Duration, r reply) {
	if run != s.run {
		return
	}
	a := s.pending[ticket]
	delete(s.pending, ticket)
	a.reply(r)
	s.follow(s.limiter.Finish(s.clock.now, ticket, limiter.Result{
		Latency:    took,
		Overloaded: r.cause == core.CauseBackendRefused,
	}))
}
