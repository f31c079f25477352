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

// secondCause says why a second attempt is made beside the first one.
type secondCause string

const (
	causeSlow  secondCause = "slow"  // the first attempt takes longer than most
	causeStuck secondCause = "stuck" // the backend server completes later calls and not the first attempt
)

// secondDecision says whether a second attempt was made, and if not, why.
type secondDecision string

const (
	secondBegun      secondDecision = "begun"
	secondNotNeeded  secondDecision = "not-needed" // the first attempt had ended, or the caller had left
	secondSuspect    secondDecision = "crash-suspect"
	secondNowhere    secondDecision = "no-endpoint"
	secondNotAllowed secondDecision = "no-attempt-or-budget-left"
)

// hedge is a second attempt of a call beside the first one, which goes on until another answer has arrived: neither a slow attempt nor
// one that looks stuck is known to fail. The result is sent to results, or discarded if the call has ended by then.
type hedge struct {
	server      *Server
	request     *request
	history     attemptHistory // including the first attempt
	ctx         context.Context
	cancelFirst context.CancelFunc
	results     chan attemptResult

	mu        sync.Mutex
	started   bool
	stuck     bool           // the first attempt looks stuck
	decision  secondDecision // the latest one
	won       bool           // answered before the first attempt
	discarded bool           // the result is no longer needed
	cancel    context.CancelFunc
	endpoint  core.Endpoint // of the latest second attempt
}

// attemptWithSecond makes an attempt, and a second one at another endpoint if the first is slow or looks stuck.
func (s *Server) attemptWithSecond(ctx context.Context, req *request, history attemptHistory, endpoint core.Endpoint) attemptResult {
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
		decision: secondNotNeeded,
	}
	call := startAttempt(req, endpoint)
	call.OnStuck = func() { go h.start(causeStuck) }
	if delay, hedged := s.hedgeDelay(req, time.Now()); hedged {
		timer := time.AfterFunc(delay, func() { h.start(causeSlow) })
		defer timer.Stop()
	}
	first := s.forward(firstCtx, req, call, endpoint)
	last := h.resolve(first)
	h.logStuck(first, last)
	if last.outcome != core.OutcomeAnswered {
		cancelFirst() // an answered attempt is cancelled when the request ends, after its body has been read
	}
	return last
}

// start makes the second attempt, unless one has been started.
func (h *hedge) start(cause secondCause) {
	if !h.server.startTask() {
		return
	}
	defer h.server.tasks.Done()
	for attempt := h.begin(cause); attempt != nil; {
		second := h.server.forward(attempt.ctx, h.request, attempt.call, attempt.endpoint)
		attempt = h.finish(second)
	}
}

// secondAttempt is an attempt of a hedge that is about to be sent.
type secondAttempt struct {
	ctx      context.Context
	call     *core.Call
	endpoint core.Endpoint
}

// begin returns the second attempt, or nil if there is none to make. If an earlier one has ended without success and the first attempt
// looks stuck by now, it returns a further one.
func (h *hedge) begin(cause secondCause) *secondAttempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stuck = h.stuck || cause == causeStuck
	if h.started {
		select {
		case second := <-h.results:
			return h.settle(second)
		default: // finish goes on
			return nil
		}
	}
	attempt, decision := h.choose(cause, retry.RetryBudgeted)
	h.decision = decision
	return attempt
}

// choose returns the next attempt, or nil and the reason if it is not needed or not allowed. h.mu must be held.
func (h *hedge) choose(cause secondCause, class retry.Class) (*secondAttempt, secondDecision) {
	s, req, now := h.server, h.request, time.Now()
	if h.discarded || h.ctx.Err() != nil || callerDisconnected(h.ctx) || !now.Before(req.call.Deadline) {
		return nil, secondNotNeeded
	}
	if s.isCrashSuspect(req) {
		return nil, secondSuspect
	}
	endpoint, found := s.chooseEndpoint(req, h.history, now)
	if !found {
		return nil, secondNowhere
	}
	if !req.attempts.AllowRetry(class, func() bool { return s.takeHedge(req.route.Service, cause, now) }) {
		s.reportDiscarded(attemptResult{
			endpoint: endpoint,
		})
		return nil, secondNotAllowed
	}
	if cause == causeSlow {
		s.hedges.Inc()
	} else {
		s.retries.Inc()
	}
	call := startAttempt(req, endpoint)
	call.Hedge = cause == causeSlow
	ctx, cancel := context.WithCancel(h.ctx)
	h.started, h.cancel, h.endpoint = true, cancel, endpoint
	return &secondAttempt{
		ctx:      ctx,
		call:     call,
		endpoint: endpoint,
	}, secondBegun
}

// finish takes the result of a second attempt and returns a further one if that is needed and allowed.
func (h *hedge) finish(second attemptResult) *secondAttempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.discarded {
		h.discard(second)
		return nil
	}
	return h.settle(second)
}

// settle returns a further attempt if a second one did not succeed and the first one looks stuck; if that is only slow, more attempts are
// not worth their load. Otherwise the result goes to results. h.mu must be held.
func (h *hedge) settle(second attemptResult) *secondAttempt {
	if h.stuck && !succeeded(second) {
		if next := h.chooseAfter(&second); next != nil {
			return next
		}
	}
	h.won = succeeded(second)
	h.results <- second
	if h.won {
		h.cancelFirst()
	}
	return nil
}

// chooseAfter returns an attempt that follows a second one without success, or nil if none is allowed. h.mu must be held.
func (h *hedge) chooseAfter(second *attemptResult) *secondAttempt {
	s, cancelSecond := h.server, h.cancel
	class := s.classify(h.ctx, h.request, second)
	h.history.tried = append(h.history.tried, second.endpoint)
	if second.outcome == core.OutcomeAnswered || retry.NodeUnavailable(causeOf(second.err)) {
		h.history.unusable = append(h.history.unusable, second.endpoint)
	}
	next, _ := h.choose(causeStuck, class)
	if next == nil {
		return nil
	}
	switch {
	case second.reported:
	case second.outcome == core.OutcomeNotRun:
		s.reportToPicker(h.request, *second, endpointFailed(*second))
	default:
		s.reportFailure(h.ctx, h.request, *second)
	}
	cancelSecond()
	return next
}

// discard ends the second attempt without using its result. h.mu must be held.
func (h *hedge) discard(second attemptResult) {
	if second.answer != nil {
		_ = second.answer.Body.Close()
	}
	h.cancel()
	h.server.reportDiscarded(second)
}

// resolve returns the better result of the two attempts, and reports the other one: reportToPicker and reportDiscarded tell the picker,
// reportOvertaken the evidence about the release, and reportFailure both.
func (h *hedge) resolve(first attemptResult) attemptResult {
	s := h.server
	h.mu.Lock()
	started, won, stuck := h.started, h.won, h.stuck
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
	case won && stuck:
		s.reportToPicker(h.request, first, first.answer == nil) // a hint for this node; it may have been at work
		s.reportOvertaken(h.request, first)
	case won:
		s.hedgesWon.Inc()
		s.reportDiscarded(first)
		s.reportOvertaken(h.request, first)
	case succeeded(second), first.answer == nil && second.answer != nil, first.outcome == core.OutcomeNotRun && second.outcome != core.OutcomeNotRun:
		s.reportFailure(h.ctx, h.request, first)
	default:
		switch {
		case second.reported:
		case second.outcome == core.OutcomeNotRun:
			s.reportDiscarded(second)
		default:
			s.reportFailure(h.ctx, h.request, second)
		}
		if second.answer != nil {
			_ = second.answer.Body.Close() // otherwise it holds its slot until the call ends
		}
		h.cancel()
		first.concurrent = &h.endpoint
		return first
	}
	if first.answer != nil {
		_ = first.answer.Body.Close()
	}
	second.concurrent = &first.endpoint
	return second
}

// logStuck logs the end of an attempt that looked stuck, with what was done about it. There is one line for each such attempt, without a
// limit.
func (h *hedge) logStuck(first, last attemptResult) {
	h.mu.Lock()
	stuck, decision, second := h.stuck, h.decision, h.endpoint.Node
	h.mu.Unlock()
	if !stuck {
		return
	}
	answeredBy := core.NodeID("")
	if last.outcome == core.OutcomeAnswered {
		answeredBy = last.endpoint.Node
	}
	call := h.request.call
	h.server.options.Logger.Info().Str("event", "stuck-call-ended").Str("call", string(call.ID)).Str("route", string(call.Route)).
		Str("endpoint", string(first.endpoint.Node)).Str("outcome", string(first.outcome)).Int64("ran-ms", first.latency.Milliseconds()).
		Str("second-attempt", string(decision)).Str("second-endpoint", string(second)).Str("answered-by", string(answeredBy)).
		Int64("left-ms", time.Until(call.Deadline).Milliseconds()).Msg("attempt that looked stuck ended")
}

// succeeded reports whether an attempt was answered without a server error, and not rejected for overload.
func succeeded(r attemptResult) bool {
	return r.outcome == core.OutcomeAnswered && r.answer.Status < http.StatusInternalServerError && !retry.Overloaded(r.answer.Status)
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

// mayRunBeside reports whether a second attempt of the request may run beside the first one. Calls of all depths may have one, as they may
// be retried: each takes an attempt, and nested calls get fewer.
func (r *request) mayRunBeside() bool {
	return r.call.Idempotent && r.call.Trial == 0 && r.call.Source == nil
}

// hedgeDelay returns how long after an attempt its hedge may start, or false if slow attempts of the request must not be hedged.
func (s *Server) hedgeDelay(req *request, now time.Time) (time.Duration, bool) {
	if s.options.DisableHedging || req.call.Depth != hedgedDepth {
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

// takeHedge takes a second attempt from the half of the service's budget that is not kept for retries, without which calls fail. For a
// first attempt that is only slow, the state of the service must allow it too.
func (s *Server) takeHedge(service core.ServiceName, cause secondCause, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause == causeSlow && !s.hedgingStates[service].Allowed(now) {
		return false
	}
	budget := s.budgetOf(service)
	budget.SetNodes(s.options.FleetNodes())
	return budget.TakeHedge(now)
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
