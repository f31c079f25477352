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

// hedgedDepth is the only level of nested calls that hedges. If every level added 5% of its calls, 12 levels would add up to
// 80% at the lowest one; a hedge of the first level covers all levels below it.
const hedgedDepth = 1

// hedge is a second attempt that may begin beside a first one. Its result goes to ended unless the call is over by then.
type hedge struct {
	server      *Server
	q           *request
	history     attemptHistory // with the first attempt
	ctx         context.Context
	cancelFirst context.CancelFunc
	results     chan attemptResult

	mu        sync.Mutex
	started   bool
	won       bool // it was answered before the first attempt
	discarded bool // its result is of no use any more
	cancel    context.CancelFunc
	endpoint  core.Endpoint
}

// attemptHedged makes an attempt, and another one beside it if the first is not answered within the delay.
func (s *Server) attemptHedged(ctx context.Context, q *request, history attemptHistory, endpoint core.Endpoint, delay time.Duration) attemptResult {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	h := &hedge{
		server:      s,
		q:           q,
		ctx:         ctx,
		cancelFirst: cancelFirst,
		results:     make(chan attemptResult, 1),
		history: attemptHistory{
			tried:    append(slices.Clone(history.tried), endpoint),
			unusable: append(slices.Clone(history.unusable), endpoint),
		},
	}
	call := startAttempt(q, endpoint)
	timer := time.AfterFunc(delay, h.start)
	first := s.forward(firstCtx, q, call, endpoint)
	timer.Stop()
	last := h.resolve(first)
	if last.outcome != core.OutcomeAnswered {
		cancelFirst() // otherwise the end of the request does
	}
	return last
}

// begin runs on the timer's goroutine.
func (h *hedge) start() {
	s, q := h.server, h.q
	if !s.startTask() {
		return
	}
	defer s.tasks.Done()
	h.mu.Lock()
	endpoint, allowed := h.chooseEndpoint()
	if !allowed {
		h.mu.Unlock()
		return
	}
	call := startAttempt(q, endpoint)
	call.Hedge = true
	ctx, cancel := context.WithCancel(h.ctx)
	h.started, h.cancel, h.endpoint = true, cancel, endpoint
	h.mu.Unlock()
	s.hedges.Inc()
	h.finish(s.forward(ctx, q, call, endpoint))
}

// place needs the lock; it is false if there is no need for the hedge, no room for it or no other endpoint.
func (h *hedge) chooseEndpoint() (core.Endpoint, bool) {
	s, q, now := h.server, h.q, time.Now()
	if h.discarded || s.options.CrashSuspected(idempotency.FingerprintOf(q.call)) {
		return core.Endpoint{}, false
	}
	endpoint, found := s.chooseEndpoint(q, h.history, now)
	if !found {
		return core.Endpoint{}, false
	}
	if !q.attempts.AllowRetry(retry.RetryBudgeted, func() bool { return s.takeHedge(q.route.Service, now) }) {
		s.reportDiscarded(attemptResult{
			endpoint: endpoint,
		})
		return core.Endpoint{}, false
	}
	return endpoint, true
}

func (h *hedge) finish(second attemptResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.discarded {
		h.discard(second)
		return
	}
	h.won = succeeded(second)
	h.results <- second
	if h.won {
		h.cancelFirst()
	}
}

// drop needs the lock.
func (h *hedge) discard(second attemptResult) {
	if second.answer != nil {
		_ = second.answer.Body.Close()
	}
	h.cancel()
	h.server.reportDiscarded(second)
}

// settle returns the result of both attempts. A result that is not returned is made known to picker and evidence here.
func (h *hedge) resolve(first attemptResult) attemptResult {
	s := h.server
	h.mu.Lock()
	begun, won := h.started, h.won
	h.discarded = !begun || !won && succeeded(first)
	if begun && h.discarded {
		h.cancel()
		select {
		case second := <-h.results:
			h.discard(second)
		default: // finish drops it
		}
	}
	h.mu.Unlock()
	if h.discarded {
		return first
	}
	second := <-h.results
	switch {
	case won:
		s.hedgesWon.Inc()
		s.reportDiscarded(first)
		s.reportOvertaken(h.q, first)
	case succeeded(second) || first.outcome == core.OutcomeNotRun && second.outcome != core.OutcomeNotRun:
		s.reportFailure(h.ctx, h.q, first)
	default:
		if second.outcome == core.OutcomeNotRun {
			s.reportDiscarded(second)
		} else {
			s.reportFailure(h.ctx, h.q, second)
		}
		first.concurrent = &h.endpoint
		return first
	}
	if first.answer != nil {
		_ = first.answer.Body.Close()
	}
	second.concurrent = &first.endpoint
	return second
}

// served reports whether an attempt's answer is worth more than that of another attempt.
func succeeded(r attemptResult) bool {
	return r.outcome == core.OutcomeAnswered && r.answer.Status < http.StatusInternalServerError
}

// unneeded tells the picker of an attempt that was cancelled or could not start.
func (s *Server) reportDiscarded(r attemptResult) {
	s.options.Picker.Done(time.Now(), core.PickResult{
		Endpoint:  r.endpoint,
		Outcome:   r.outcome,
		Discarded: true,
		Latency:   r.latency,
		Load:      r.load,
	})
}

// slow counts an attempt that its hedge overtook: it would have been slower still, which is evidence about its release.
func (s *Server) reportOvertaken(q *request, r attemptResult) {
	if r.outcome != core.OutcomeNotRun {
		s.options.Evidence.Record(q.route.Service, q.route.Name, r.release, false, false, r.latency)
	}
}

// hedgeDelay returns when a hedge of the request may begin; it is false if it must have none.
func (s *Server) hedgeDelay(q *request, now time.Time) (time.Duration, bool) {
	if s.options.DisableHedging || !q.call.Idempotent || q.call.Depth != hedgedDepth {
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
func (s *Server) recordAttempt(service core.ServiceName, r attemptResult) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	hedging := s.hedging[service]
	if hedging == nil {
		if len(s.hedging) >= maxTrackedServices {
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
