package callerhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
	"parsleyport/core/retry"
)

// result is what the last attempt of a request came to.
type result struct {
	answer   *core.Answer
	endpoint core.Endpoint
	release  core.Release
	outcome  core.Outcome
	err      error
	latency  time.Duration // to the head of the answer
	load     core.Load
	recorded bool           // the picker and the evidence know of it
	beside   *core.Endpoint // of another attempt that was made at the same time
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	markHandled(r.Context())
	// A chunked request may have stated a length too, which net/http drops. What follows it on the connection could be a part of
	// its body to another reader of it, and must not become a request.
	if s.leaving.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if s.refusing.Load() {
		s.refuseEarly(w, r, refusal(core.CauseLeaving, "node stops"))
		return
	}
	defer s.active.Add(-1)
	if s.active.Add(1) > maxRequests {
		s.refuseEarly(w, r, refusal(core.CauseQueueFull, ""))
		return
	}
	now := time.Now()
	configuration := s.options.Source.Current()
	set(w.Header(), s.options.Headers.Revision, strconv.FormatUint(uint64(configuration.Revision()), 10))
	if !s.options.Confirmed() {
		s.refuseEarly(w, r, refusal(core.CauseNotConfirmed, ""))
		return
	}
	q, refused := s.parse(r, configuration, now)
	if refused != nil {
		s.refuseEarly(w, r, refused)
		return
	}
	buffered := int64(0)
	defer func() { s.bodies.Add(-buffered) }()
	reserve := func(bytes int64) bool {
		buffered += bytes
		return s.bodies.Add(bytes) <= maxBufferedBodies
	}
	if q.call.Body, refused = readBody(r, s.bodyLimit(configuration), reserve); refused != nil {
		s.refuseEarly(w, r, refused)
		return
	}
	if s.options.Suspected(idempotency.FingerprintOf(q.call)) {
		s.refuseEarly(w, r, refusal(core.CauseCrashSuspect, ""))
		return
	}
	set(w.Header(), s.options.Headers.CallID, string(q.call.ID))
	s.serve(w, r, q)
}

// set leaves out a header that is not used.
func set(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}

// bodyLimit is the limit that the configuration declares, if it is below the node's own.
func (s *Server) bodyLimit(configuration *record.Configuration) int64 {
	if declared := configuration.Declaration().MaxBodyBytes; declared > 0 {
		return min(declared, s.options.MaxBodyBytes)
	}
	return s.options.MaxBodyBytes
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, q *request) {
	ctx, cancel := context.WithDeadline(r.Context(), q.call.Deadline)
	defer cancel()
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(q.call.Deadline.Add(writeGrace)) // fails only on a connection that is gone
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	s.mu.Lock()
	s.budgetOf(q.route.Service).RecordCall(q.began)
	s.mu.Unlock()
	defer s.latency.UpdateDuration(q.began)
	defer s.endWait(q)
	s.options.Use(q.route.Service)
	if s.options.Keys != nil && q.call.IdempotencyKey != "" && !q.call.Idempotent {
		s.serveKeyed(ctx, w, q)
		return
	}
	s.deliver(ctx, w, q, s.attempt(ctx, q), nil)
}

// deliver gives the caller what its call came to; an answer's body also goes to the recorder, if there is one.
func (s *Server) deliver(ctx context.Context, w http.ResponseWriter, q *request, last result, recorder *recorder) {
	switch last.outcome {
	case core.OutcomeAnswered:
		s.calls.write(q, last, last.answer.Status)
		s.stream(ctx, w, q, last, recorder)
	case core.OutcomeNotRun:
		s.calls.write(q, last, s.refuse(w, refusalOf(last.err)))
	default:
		s.calls.write(q, last, s.unknown(w, q, last.release, last.err))
	}
}

func refusalOf(err error) *core.Refusal {
	var refused *core.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return refusal(core.CauseNoEndpoint, "")
}

// attempt makes attempts until one is answered or no other is allowed. A call of which one attempt may have run never
// ends as not-run, and if an attempt was answered with a failure, the caller gets that answer rather than none.
func (s *Server) attempt(ctx context.Context, q *request) result {
	var earlier past
	mayHaveRun := error(nil)
	var last, answered result
	for {
		if callerLeft(ctx) {
			if last.outcome == "" {
				last.outcome, last.err = core.OutcomeNotRun, refusal(core.CauseRevoked, "caller has left")
			}
			break
		}
		next, placed := s.place(ctx, q, earlier)
		if !placed && mayWait(last) && s.awaitEndpoint(ctx, q, &earlier) {
			continue
		}
		if !placed && last.outcome != "" {
			break // the earlier attempt's cause says more than the lack of an endpoint
		}
		last = next
		class := s.classify(ctx, q, &last)
		switch last.outcome {
		case core.OutcomeUnknown:
			mayHaveRun = last.err
		case core.OutcomeAnswered:
			answered = last
		}
		if !placed || ctx.Err() != nil || !s.another(ctx, q, class) {
			break
		}
		if s.options.Suspected(idempotency.FingerprintOf(q.call)) {
			last.outcome, last.err = core.OutcomeNotRun, refusal(core.CauseCrashSuspect, "")
			break // it has become a suspect, perhaps by its own earlier attempts
		}
		earlier.tried = append(earlier.tried, last.endpoint)
		if last.beside != nil {
			earlier.tried = append(earlier.tried, *last.beside)
		}
		if last.outcome == core.OutcomeAnswered || retry.NodeUnavailable(causeOf(last.err)) {
			earlier.gone = append(earlier.gone, last.endpoint)
		}
		s.retries.Inc()
	}
	if last.outcome != core.OutcomeAnswered && answered.answer != nil {
		return answered
	}
	if last.outcome == core.OutcomeNotRun && mayHaveRun != nil {
		last.outcome, last.err = core.OutcomeUnknown, mayHaveRun
	}
	return last
}

// classify returns what may follow an attempt. An answer after which another attempt is allowed is read first, so that it
// holds no slot meanwhile; one that is too long for that is final.
func (s *Server) classify(ctx context.Context, q *request, last *result) retry.Class {
	if last.outcome != core.OutcomeAnswered {
		class := retry.Classify(last.outcome, causeOf(last.err), q.call.Idempotent)
		if class == retry.RetryBudgeted && last.outcome == core.OutcomeNotRun && q.refusals < s.options.RefusalTries && retry.RefusedForCapacity(causeOf(last.err)) {
			q.refusals++
			return retry.RetryFree
		}
		return class
	}
	class := retry.ClassifyAnswer(last.answer.Status, get(last.answer.Header, s.options.Headers.Outcome) != "", q.call.Idempotent)
	if class == retry.Final {
		return class
	}
	body := last.answer.Body
	prefix, err := io.ReadAll(io.LimitReader(body, core.MaxChunkBytes+1))
	if err == nil && len(prefix) > core.MaxChunkBytes {
		last.answer.Body = &prefixed{
			Reader: io.MultiReader(bytes.NewReader(prefix), body),
			Closer: body,
		}
		return retry.Final
	}
	_ = body.Close()
	s.done(ctx, q, *last, true)
	last.recorded = true
	last.answer.Body = io.NopCloser(bytes.NewReader(prefix))
	if err != nil {
		last.outcome, last.answer, last.err = core.OutcomeUnknown, nil, err
	}
	return class
}

// prefixed is a body of which a part has been read already.
type prefixed struct {
	io.Reader
	io.Closer
}

func causeOf(err error) core.RefusalCause {
	var refused *core.Refusal
	if errors.As(err, &refused) {
		return refused.Cause
	}
	return ""
}

func (s *Server) takeBudget(service core.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetOf(service).Take(time.Now())
}

// budgetOf needs the lock. The budgets of services that no longer exist are dropped when there are too many.
func (s *Server) budgetOf(service core.ServiceName) *retry.Budget {
	budget := s.budgets[service]
	if budget == nil {
		if len(s.budgets) >= maxHedging {
			clear(s.budgets)
		}
		budget = retry.NewBudget(s.options.Budget)
		s.budgets[service] = budget
	}
	return budget
}

// place makes one attempt; it returns false if no endpoint is left.
func (s *Server) place(ctx context.Context, q *request, earlier past) (result, bool) {
	began := time.Now()
	q.tries++
	endpoint, found := s.choose(q, earlier, began)
	if !found {
		return result{
			outcome: core.OutcomeNotRun,
			err:     refusal(core.CauseNoEndpoint, ""),
		}, false
	}
	var last result
	if delay, hedged := s.hedgeDelay(q, began); hedged {
		last = s.placeHedged(ctx, q, earlier, endpoint, delay)
	} else {
		last = s.forward(ctx, q, callTo(q, endpoint), endpoint)
	}
	if last.outcome != core.OutcomeAnswered {
		s.failed(ctx, q, last)
	}
	return last, true
}

// callTo starts an attempt of the request's call.
func callTo(q *request, endpoint core.Endpoint) *core.Call {
	call := *q.call
	call.Release = endpoint.Release
	call.AttemptsLeft = q.attempts.Start()
	return &call
}

func (s *Server) forward(ctx context.Context, q *request, call *core.Call, endpoint core.Endpoint) result {
	began := time.Now()
	answer, outcome, err := s.options.Forwarder.Forward(ctx, endpoint, call)
	last := result{
		answer:   answer,
		endpoint: endpoint,
		release:  endpoint.Release,
		outcome:  outcome,
		err:      err,
		latency:  time.Since(began),
		load:     reportedLoad(answer, err),
	}
	s.learn(q.route.Service, last)
	return last
}

func reportedLoad(answer *core.Answer, err error) core.Load {
	if answer != nil {
		return answer.Load
	}
	var refused *core.Refusal
	if errors.As(err, &refused) {
		return refused.Load
	}
	return core.Load{}
}

// failed tells picker and evidence of an attempt that brought the caller no answer.
func (s *Server) failed(ctx context.Context, q *request, last result) {
	cause := causeOf(last.err)
	s.done(ctx, q, last, last.outcome != core.OutcomeNotRun || cause == core.CauseConnectFailed || cause == core.CauseBackendRefused)
}

// done tells the picker and, unless the backend server has seen nothing of it, the evidence about one attempt. A caller
// that goes away is no failure of the release.
func (s *Server) done(ctx context.Context, q *request, last result, failed bool) {
	callerGone := errors.Is(ctx.Err(), context.Canceled)
	failed = failed && !callerGone
	s.options.Picker.Done(time.Now(), core.PickResult{
		Endpoint: last.endpoint,
		Route:    q.route.Name,
		Outcome:  last.outcome,
		Failed:   failed,
		Latency:  last.latency,
		Load:     last.load,
	})
	if callerGone {
		return
	}
	if last.outcome != core.OutcomeNotRun {
		s.options.Evidence.Record(q.route.Service, q.route.Name, last.release, failed, false, last.latency)
		return
	}
	// A call goes round the endpoints of a release that is short of room; it counts once, as it does at one with few endpoints.
	if cause := causeOf(last.err); q.tries == 1 && (retry.RefusedForCapacity(cause) || cause == core.CauseOverloaded) {
		s.options.Evidence.RecordRejected(q.route.Service, q.route.Name, last.release)
	}
}

// stream sends an answer. If its body fails midway, the connection is aborted, so that the caller never takes a part
// for the whole.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, q *request, last result, recorder *recorder) {
	defer last.answer.Body.Close()
	header := w.Header()
	for name, values := range last.answer.Header {
		header[name] = values
	}
	set(header, s.options.Headers.Outcome, string(core.OutcomeAnswered))
	set(header, s.options.Headers.Release, string(last.release))
	w.WriteHeader(last.answer.Status)
	fromBackend, err := copyBody(w, last.answer.Body, recorder)
	if !last.recorded {
		s.done(ctx, q, last, last.answer.Status >= 500 || fromBackend)
	}
	if err != nil {
		s.aborted.Inc()
		s.outcomes[core.OutcomeUnknown].Inc()
		panic(http.ErrAbortHandler)
	}
	s.outcomes[core.OutcomeAnswered].Inc()
}

var chunks = sync.Pool{
	New: func() any {
		chunk := make([]byte, core.MaxChunkBytes)
		return &chunk
	},
}

// copyBody flushes after each chunk, since a streaming answer may pause; it says whether an error is the source's.
func copyBody(w http.ResponseWriter, body io.Reader, recorder *recorder) (fromSource bool, err error) {
	flusher, _ := w.(http.Flusher)
	buffer := chunks.Get().(*[]byte)
	defer chunks.Put(buffer)
	chunk := *buffer
	for {
		n, readErr := body.Read(chunk)
		recorder.add(chunk[:n])
		if n > 0 && err == nil {
			_, err = w.Write(chunk[:n])
		}
		if errors.Is(readErr, io.EOF) {
			recorder.complete()
			return false, err
		}
		if err != nil && recorder == nil {
			return false, err
		}
		if readErr != nil {
			return true, readErr
		}
		if n == len(chunk) || w.Header().Get("Content-Length") == "" {
			flusher.Flush()
		}
	}
}

// refuseEarly answers a request that has not become a call.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, refused *core.Refusal) {
	s.calls.writeEarly(r, s.options.Headers.CallID, refused, s.refuse(w, refused))
}

// refusedUnread notes a request that net/http has answered, since it could not be read.
func (s *Server) refusedUnread(remote net.Addr, status int) {
	s.outcomes[core.OutcomeNotRun].Inc()
	s.refusals(causeUnreadable).Inc()
	s.calls.writeUnread(remote, status)
}

// causeUnreadable labels the counter of requests that net/http refuses; callers see only its status.
const causeUnreadable = "unreadable-request"

func (s *Server) refusals(cause string) *metrics.Counter {
	return s.options.Metrics.GetOrCreateCounter(`parsleyport_caller_refusals_total{cause="` + cause + `"}`)
}

// refuse answers a call that was not run and never will be, and returns the status.
func (s *Server) refuse(w http.ResponseWriter, refused *core.Refusal) int {
	s.outcomes[core.OutcomeNotRun].Inc()
	s.refusals(string(knownCause(refused.Cause))).Inc()
	set(w.Header(), s.options.Headers.Outcome, string(core.OutcomeNotRun))
	set(w.Header(), s.options.Headers.Cause, string(refused.Cause))
	status := statusOf(refused.Cause)
	if status == http.StatusServiceUnavailable && s.options.RetryAfter != nil {
		w.Header().Set("Retry-After", s.options.RetryAfter(refused))
	}
	http.Error(w, refused.Error(), status)
	return status
}

// statusOf tells a call that can succeed later, or elsewhere, from one that is wrong in itself.
func statusOf(cause core.RefusalCause) int {
	switch cause {
	case core.CauseNoRoute:
		return http.StatusNotFound
	case core.CauseMalformedCall:
		return http.StatusBadRequest
	case core.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// knownCause keeps the counters' labels bounded, since causes come from other nodes.
func knownCause(cause core.RefusalCause) core.RefusalCause {
	switch cause {
	case core.CauseNoRoute, core.CauseNoEndpoint, core.CauseNotConfirmed, core.CauseLeaving, core.CauseNoBackend,
		core.CauseDeadline, core.CauseQueueFull, core.CauseTenantShare, core.CauseRevoked, core.CauseCrashSuspect,
		core.CauseTooDeep, core.CauseConnectFailed, core.CauseMalformedCall,
		core.CauseDuplicateCall, core.CauseBackendRefused, core.CauseOverloaded, core.CauseMisdirected, core.CauseTooLarge:
		return cause
	}
	return "other"
}

func (s *Server) unknown(w http.ResponseWriter, q *request, release core.Release, err error) int {
	s.outcomes[core.OutcomeUnknown].Inc()
	status := http.StatusBadGateway
	if !time.Now().Before(q.call.Deadline) {
		status = http.StatusGatewayTimeout
	}
	set(w.Header(), s.options.Headers.Outcome, string(core.OutcomeUnknown))
	if release != "" {
		set(w.Header(), s.options.Headers.Release, string(release))
	}
	http.Error(w, "outcome unknown: "+err.Error(), status)
	return status
}
