package callerhttp

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/core/retry"
)

// hedgedDepth is the only depth of nested calls that is hedged. If each of 12 levels added 5% of hedges, the load of the lowest one
// would grow by 80%; a hedge at the first level covers the levels below it.
const hedgedDepth = 1

// hedge is a second attempt of a call, made if the first one is slow. Its result is sent to results, or discarded if the call has
// ended by then.
type hedge struct {
	server      *Server
	request     *request
	history     attemptHistory // including the first attempt
	ctx         context.Context
	cancelFirst context.CancelFunc
	results     chan attemptResult

	mu        sync.Mutex
	started   bool
	won       bool // answered before the first attempt
	discarded bool // the result is no longer needed
	cancel    context.CancelFunc
	endpoint  core.Endpoint
}

// attemptHedged makes an attempt, and a second one at another endpoint if the first is not answered within the delay.
func (s *Server) attemptHedged(ctx context.Context, req *request, history attemptHistory, endpoint core.Endpoint, delay time.Duration) attemptResult {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	h := &hedge{
		server:      s,
		request:     req,
		ctx:         ctx,
		cancelFirst: cancelFirst,
		results:     make(chan attemptResult, 1),
		history: attemptHistory{
			tried:    append(slices.Clone(history.tried), endpoint),
			unusable: append(slices.Clone(history.unusable), endpoint),
		},
	}
	call := startAttempt(req, endpoint)
	timer := time.AfterFunc(delay, h.start)
	first := s.forward(firstCtx, req, call, endpoint)
	timer.Stop()
	last := h.resolve(first)
	if last.outcome != core.OutcomeAnswered {
		cancelFirst() // an answered attempt is cancelled when the request ends, after its body has been read
	}
	return last
}

// start makes the second attempt. It runs on the timer's goroutine.
func (h *hedge) start() {
	s, req := h.server, h.request
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
	call := startAttempt(req, endpoint)
	call.Hedge = true
	ctx, cancel := context.WithCancel(h.ctx)
	h.started, h.cancel, h.endpoint = true, cancel, endpoint
	h.mu.Unlock()
	s.hedges.Inc()
	h.finish(s.forward(ctx, req, call, endpoint))
}

// chooseEndpoint returns false if the hedge is no longer needed, the budgets do not allow it, or there is no other endpoint.
// h.mu must be held.
func (h *hedge) chooseEndpoint() (core.Endpoint, bool) {
	s, req, now := h.server, h.request, time.Now()
	if h.discarded || s.isCrashSuspect(req) {
		return core.Endpoint{}, false
	}
	endpoint, found := s.chooseEndpoint(req, h.history, now)
	if !found {
		return core.Endpoint{}, false
	}
	if !req.attempts.AllowRetry(retry.RetryBudgeted, func() bool { return s.takeHedge(req.route.Service, now) }) {
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

// discard ends the second attempt without using its result. h.mu must be held.
func (h *hedge) discard(second attemptResult) {
	if second.answer != nil {
		_ = second.answer.Body.Close()
	}
	h.cancel()
	h.server.reportDiscarded(second)
}

// resolve returns the better result of the two attempts, and reports the other one to the picker and the evidence.
func (h *hedge) resolve(first attemptResult) attemptResult {
	s := h.server
	h.mu.Lock()
	started, won := h.started, h.won
	h.discarded = !started || !won && succeeded(first)
	if started && h.discarded {
		h.cancel()
		select {
		case second := <-h.results:
			h.discard(second)
		default: // finish discards it
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
		s.reportOvertaken(h.request, first)
	case succeeded(second) || first.outcome == core.OutcomeNotRun && second.outcome != core.OutcomeNotRun:
		s.reportFailure(h.ctx, h.request, first)
	default:
		if second.outcome == core.OutcomeNotRun {
			s.reportDiscarded(second)
		} else {
			s.reportFailure(h.ctx, h.request, second)
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

// succeeded reports whether an attempt was answered without a server error.
func succeeded(r attemptResult) bool {
	return r.outcome == core.OutcomeAnswered && r.answer.Status < http.StatusInternalServerError
}

// reportDiscarded tells the picker about an attempt that was cancelled or not started.
func (s *Server) reportDiscarded(r attemptResult) {
	s.options.Picker.Done(time.Now(), core.PickResult{
		Endpoint:  r.endpoint,
		Outcome:   r.outcome,
		Discarded: true,
		Latency:   r.latency,
		Load:      r.load,
	})
}

// reportOvertaken records the latency of an attempt that was slower than its hedge. The latency is a lower bound, since the attempt
// was cancelled; without it, slow calls would be missing in the evidence about the release.
func (s *Server) reportOvertaken(req *request, r attemptResult) {
	if r.outcome != core.OutcomeNotRun {
		s.options.Evidence.Record(req.route.Service, req.route.Name, r.release, false, false, r.latency)
	}
}

// hedgeDelay returns how long after an attempt its hedge may start, or false if the request must not be hedged.
func (s *Server) hedgeDelay(req *request, now time.Time) (time.Duration, bool) {
	if s.options.DisableHedging || req.call.Trial != 0 || !req.call.Idempotent || req.call.Depth != hedgedDepth || req.call.Source != nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hedging := s.hedgingStates[req.route.Service]
	if hedging == nil {
		return 0, false
	}
	return hedging.Delay(now)
}

// takeHedge takes a hedge from the service's budget, if the state of the service allows one.
func (s *Server) takeHedge(service core.ServiceName, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedgingStates[service].Allowed(now) && s.budgetOf(service).TakeHedge(now)
}

// recordAttempt updates the statistics about latency and overload of a service, which decide on hedging.
func (s *Server) recordAttempt(service core.ServiceName, r attemptResult) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	hedging := s.hedgingStates[service]
	if hedging == nil {
		if len(s.hedgingStates) >= maxTrackedServices {
			clear(s.hedgingStates) // most entries then belong to services that no longer exist
		}
		hedging = &retry.Hedging{}
		s.hedgingStates[service] = hedging
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
