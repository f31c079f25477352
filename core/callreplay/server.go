package callreplay

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"parsleyport/core"
	"parsleyport/core/limiter"
	"parsleyport/core/retry"
)

// coldLatencyFactor is the factor by which the runs of a cold backend server take longer.
const coldLatencyFactor = 4

// server is a backend server with the limiter of its node.
type server struct {
	spec    EndpointSpec
	queue   *eventQueue
	random  *rand.Rand
	limiter *limiter.Limiter
	pending map[limiter.Ticket]*attempt

	up            bool
	processNumber int // incremented when a process ends, so that its runs do not finish
	leaving       bool
	slowPerMille  int64
	failPerMille  int64
	failStatus    int
	slots         int
	shedStatus    int // status of the answer to a call beyond the slots, or 0 if its connection is refused
	coldUntil     time.Time
	incarnation   core.Incarnation
}

func newServer(spec EndpointSpec, queue *eventQueue, random *rand.Rand) *server {
	return &server{
		spec:         spec,
		queue:        queue,
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
		s.failPerMille, s.failStatus = event.Value, cmp.Or(event.Status, http.StatusInternalServerError)
	case EventShrink:
		s.slots, s.shedStatus = int(event.Value), event.Status
	case EventLeaving:
		s.leaving = true
	case EventCrash:
		s.crash()
	case EventStart:
		s.up, s.leaving = true, false
		s.incarnation++
		s.coldUntil = s.queue.now.Add(time.Duration(event.Value) * time.Millisecond)
	}
}

// crash ends the process: running calls have an unknown outcome. The node is still alive and refuses the waiting ones as not run.
func (s *server) crash() {
	s.up = false
	s.processNumber++
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
	ticket, change := s.limiter.Arrive(s.queue.now, limiter.Request{
		Tenant:   a.call.Tenant,
		Deadline: a.deadline,
		NoWait:   a.hedge,
	})
	a.server, a.ticket = s, ticket
	s.pending[ticket] = a
	s.applyChange(change)
}

func (s *server) applyChange(change limiter.Change) {
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
		s.queue.after(0, func() { s.finish(s.processNumber, ticket, 0, s.overloadReply()) })
		return
	}
	a.progress.runs++
	a.measures.Runs++
	a.startedAt = s.queue.now
	took := time.Duration(s.spec.WorkUS*s.slowPerMille/1000) * time.Microsecond
	took = time.Duration(float64(took) * (0.5 + s.random.ExpFloat64()/2))
	if s.queue.now.Before(s.coldUntil) {
		took *= coldLatencyFactor
	}
	failed := s.random.Int64N(1000) < s.failPerMille
	end := reply{outcome: core.OutcomeAnswered, failed: failed}
	if failed {
		took /= 10 // a faulty backend server often fails fast
		end.status = s.failStatus
	}
	processNumber := s.processNumber
	s.queue.after(took, func() { s.finish(processNumber, ticket, took, end) })
}

// overloadReply returns the reply to a call beyond the slots of a backend server that has fewer than it announces.
func (s *server) overloadReply() reply {
	if s.shedStatus == 0 {
		return reply{outcome: core.OutcomeNotRun, cause: core.CauseBackendRefused}
	}
	return reply{outcome: core.OutcomeAnswered, failed: true, status: s.shedStatus}
}

// cancel ends an attempt whose answer is no longer needed; the backend server stops its run.
func (s *server) cancel(a *attempt) {
	if s.pending[a.ticket] != a {
		return
	}
	if s.limiter.Cancel(a.ticket) {
		delete(s.pending, a.ticket)
		return
	}
	s.finish(s.processNumber, a.ticket, 0, reply{outcome: core.OutcomeUnknown, failed: true})
}

func (s *server) finish(processNumber int, ticket limiter.Ticket, took time.Duration, r reply) {
	if processNumber != s.processNumber {
		return
	}
	a := s.pending[ticket]
	if a == nil {
		return // cancelled
	}
	delete(s.pending, ticket)
	if !a.startedAt.IsZero() {
		a.measures.BusyMS += float64(s.queue.now.Sub(a.startedAt)) / float64(time.Millisecond)
	}
	a.reply(r)
	s.applyChange(s.limiter.Finish(s.queue.now, ticket, limiter.Result{
		Latency:    took,
		Overloaded: r.cause == core.CauseBackendRefused || retry.Overloaded(r.status),
		Failed:     r.failed,
	}))
}
