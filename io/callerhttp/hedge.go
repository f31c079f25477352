package callerhttp

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/retry"
)

// hedgeDepth is the only level of nested calls that hedges. If every level added 5% of its calls, 12 levels would add up to
// 80% at the lowest one; a hedge of the first level covers all levels below it.
const hedgeDepth = 1

// hedge is a second attempt that may begin beside a first one. Its result goes to ended unless the call is over by then.
type hedge struct {
	server      *Server
	q           *request
	earlier     past // with the first attempt
	ctx         context.Context
	cancelFirst context.CancelFunc
	ended       chan result

	mu     sync.Mutex
	begun  bool
	won    bool // it was answered before the first attempt
	over   bool // its result is of no use any more
	cancel context.CancelFunc
	to     core.Endpoint
}

// placeHedged makes an attempt, and another one beside it if the first is not answered within the delay.
func (s *Server) placeHedged(ctx context.Context, q *request, earlier past, endpoint core.Endpoint, delay time.Duration) result {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	h := &hedge{
		server:      s,
		q:           q,
		ctx:         ctx,
		cancelFirst: cancelFirst,
		ended:       make(chan result, 1),
		earlier: past{
			tried: append(slices.Clone(earlier.tried), endpoint),
			gone:  append(slices.Clone(earlier.gone), endpoint),
		},
	}
	call := callTo(q, endpoint)
	timer := time.AfterFunc(delay, h.begin)
	first := s.forward(firstCtx, q, call, endpoint)
	timer.Stop()
	last := h.settle(first)
	if last.outcome != core.OutcomeAnswered {
		cancelFirst() // otherwise the end of the request does
	}
	return last
}

// begin runs on the timer's goroutine.
func (h *hedge) begin() {
	s, q := h.server, h.q
	if !s.startTask() {
		return
	}
	defer s.tasks.Done()
	h.mu.Lock()
	endpoint, placed := h.place()
	if !placed {
		h.mu.Unlock()
		return
	}
	call := callTo(q, endpoint)
	call.Hedge = true
	ctx, cancel := context.WithCancel(h.ctx)
	h.begun, h.cancel, h.to = true, cancel, endpoint
	h.mu.Unlock()
	s.hedges.Inc()
	h.finish(s.forward(ctx, q, call, endpoint))
}

// place needs the lock; it is false if there is no need for the hedge, no room for it or no other endpoint.
func (h *hedge) place() (core.Endpoint, bool) {
	s, q, now := h.server, h.q, time.Now()
	if h.over || s.options.Suspected(idempotency.FingerprintOf(q.call)) {
		return core.Endpoint{}, false
	}
	endpoint, found := s.choose(q, h.earlier, now)
	if !found {
		return core.Endpoint{}, false
	}
	if !q.attempts.AllowRetry(retry.RetryBudgeted, func() bool { return s.takeHedge(q.route.Service, now) }) {
		s.unneeded(result{
			endpoint: endpoint,
		})
		return core.Endpoint{}, false
	}
	return endpoint, true
}

func (h *hedge) finish(second result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		h.drop(second)
		return
	}
	h.won = served(second)
	h.ended <- second
	if h.won {
		h.cancelFirst()
	}
}

// drop needs the lock.
func (h *hedge) drop(second result) {
	if second.answer != nil {
		_ = second.answer.Body.Close()
	}
	h.cancel()
	h.server.unneeded(second)
}

// settle returns the result of both attempts. A result that is not returned is made known to picker and evidence here.
func (h *hedge) settle(first result) result {
	s := h.server
	h.mu.Lock()
	begun, won := h.begun, h.won
	h.over = !begun || !won && served(first)
	if begun && h.over {
		h.cancel()
		select {
		case second := <-h.ended:
			h.drop(second)
		default: // finish drops it
		}
	}
	h.mu.Unlock()
	if h.over {
		return first
	}
	second := <-h.ended
	switch {
	case won:
		s.hedgesWon.Inc()
		s.unneeded(first)
		s.slow(h.q, first)
	case served(second) || first.outcome == core.OutcomeNotRun && second.outcome != core.OutcomeNotRun:
		s.failed(h.ctx, h.q, first)
	default:
		if second.outcome == core.OutcomeNotRun {
			s.unneeded(second)
		} else {
			s.failed(h.ctx, h.q, second)
		}
		first.beside = &h.to
		return first
	}
	if first.answer != nil {
		_ = first.answer.Body.Close()
	}
	second.beside = &first.endpoint
	return second
}

// served reports whether an attempt's answer is worth more than that of another attempt.
func served(r result) bool {
	return r.outcome == core.OutcomeAnswered && r.answer.Status < http.StatusInternalServerError
}

// unneeded tells the picker of an attempt that was cancelled or could not start.
func (s *Server) unneeded(r result) {
	s.options.Picker.Done(time.Now(), core.PickResult{
		Endpoint:  r.endpoint,
		Outcome:   r.outcome,
		Discarded: true,
		Latency:   r.latency,
		Load:      r.load,
	})
}

// slow counts an attempt that its hedge overtook: it would have been slower still, which is evidence about its release.
func (s *Server) slow(q *request, r result) {
	if r.outcome != core.OutcomeNotRun {
		s.options.Evidence.Record(q.route.Service, q.route.Name, r.release, false, false, r.latency)
	}
}

// hedgeDelay returns when a hedge of the request may begin; it is false if it must have none.
func (s *Server) hedgeDelay(q *request, now time.Time) (time.Duration, bool) {
	if s.options.NoHedges || !q.call.Idempotent || q.call.Depth != hedgeDepth {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hedging := s.hedging[q.route.Service]
	if hedging == nil {
		return 0, false
	}
	return hedging.Delay(now)
}

// takeHedge asks for a hedge in place of another attempt.
func (s *Server) takeHedge(service core.ServiceName, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedging[service].Allowed(now) && s.budgetOf(service).TakeHedge(now)
}

// learn keeps what an attempt showed about its service.
func (s *Server) learn(service core.ServiceName, r result) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	hedging := s.hedging[service]
	if hedging == nil {
		if len(s.hedging) >= maxHedging {
			clear(s.hedging) // most are of services that no longer exist
		}
		hedging = &retry.Hedging{}
		s.hedging[service] = hedging
	}
	switch {
	case r.outcome == core.OutcomeAnswered && retry.Overloaded(r.answer.Status):
		hedging.RecordOverload(now)
	case r.outcome == core.OutcomeAnswered:
		hedging.RecordLatency(now, r.latency)
	case r.outcome == core.OutcomeNotRun && causeOf(r.err) != core.CauseRevoked && !retry.NodeUnavailable(causeOf(r.err)):
		hedging.RecordOverload(now)
	}
}
