package callerhttp

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/memory"
	"parsleyport/core/record"
	"parsleyport/core/retry"
	"parsleyport/io/pipelinehttp"
)

const (
	// freeAnswerHeadBytes is the memory of a head of an answer up to which none is reserved, so that usual answers are passed on while
	// others have used up the account.
	freeAnswerHeadBytes = 32 << 10
	errAnswerHeadsFull  = errors.ConstError("no memory for the head of the answer")
)

// attemptResult is the result of one attempt, or of an attempt and its hedge.
type attemptResult struct {
	answer     *core.Answer
	endpoint   core.Endpoint
	release    core.Release
	outcome    core.Outcome
	err        error
	latency    time.Duration // until the head of the answer
	load       core.Load
	reported   bool           // to the picker and the evidence
	concurrent *core.Endpoint // endpoint of an attempt that was made beside this one
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A chunked request may also have had a Content-Length, which net/http drops. A proxy in front that goes by the length would take
	// the bytes that follow for a part of the body, so they must not be read as a request (request smuggling).
	if s.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if s.refusing.Load() {
		s.refuseEarly(w, r, newRefusal(core.CauseLeaving, "node stops"))
		return
	}
	defer s.activeRequests.Add(-1)
	if s.activeRequests.Add(1) > maxActiveRequests {
		s.refuseEarly(w, r, newRefusal(core.CauseQueueFull, ""))
		return
	}
	now := readTime(r.Context())
	configuration := s.options.Source.Current()
	setHeader(w.Header(), s.options.Headers.Revision, strconv.FormatUint(uint64(configuration.Revision()), 10))
	if !s.options.ConfigurationConfirmed() {
		s.refuseEarly(w, r, newRefusal(core.CauseNotConfirmed, ""))
		return
	}
	req, refused := s.parseRequest(r, configuration, now)
	if refused != nil {
		s.refuseEarly(w, r, refused)
		return
	}
	buffered := int64(0)
	defer func() { s.bufferedBodyBytes.Add(-buffered) }()
	reserve := func(bytes int64) bool {
		buffered += bytes
		return s.bufferedBodyBytes.Add(bytes) <= maxBufferedBodyBytes && pipelinehttp.Reserve(w, bytes)
	}
	body := bodyReader{
		request:      r,
		controller:   http.NewResponseController(w),
		limit:        s.maxBodyBytes(configuration),
		stallTimeout: cmp.Or(s.declared().IdleTimeout, defaultStallTimeout),
		reserve:      reserve,
	}
	if refused := body.readInto(req.call); refused != nil {
		s.refuseEarly(w, r, refused)
		return
	}
	req.setFingerprints(s.options.Headers.CallerService)
	if !s.admitSuspect(req) {
		s.refuseEarly(w, r, newRefusal(core.CauseCrashSuspect, ""))
		return
	}
	defer s.endTrial(req)
	setHeader(w.Header(), s.options.Headers.CallID, string(req.call.ID))
	s.serve(w, r, req)
}

// setHeader sets a header unless its name is empty, which means that it is not in use.
func setHeader(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}

// maxBodyBytes returns the limit of a body that the configuration declares, or the default.
func (s *Server) maxBodyBytes(configuration *record.Configuration) int64 {
	return cmp.Or(configuration.Declaration().MaxBodyBytes, s.options.MaxBodyBytes)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.call.Deadline)
	defer cancel()
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(req.call.Deadline.Add(writeGracePeriod)) // fails only on a closed connection
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	s.mu.Lock()
	s.budgetOf(req.route.Service).RecordCall(req.arrivedAt)
	s.mu.Unlock()
	defer s.latency.UpdateDuration(req.arrivedAt)
	defer s.endWait(req)
	if req.call.Source != nil {
		go cancelWhenCallerLeaves(ctx, cancel) // ends with ctx
	}
	s.options.SubscribeEndpoints(req.route.Service)
	if s.options.Keys != nil && req.call.IdempotencyKey != "" && !req.call.Idempotent {
		s.serveKeyed(ctx, w, req)
		return
	}
	s.deliver(ctx, w, req, s.attemptWithinQuota(ctx, req), nil)
}

// deliver answers the caller with the result of its call. The recorder, if it is not nil, gets a copy of the body.
func (s *Server) deliver(ctx context.Context, w http.ResponseWriter, req *request, last attemptResult, recorder *recorder) {
	if last.outcome == core.OutcomeAnswered && !reserveAnswerHead(w, last.answer.Header) {
		s.dropAnswer(ctx, req, &last)
	}
	switch last.outcome {
	case core.OutcomeAnswered:
		s.callLog.write(req, last, last.answer.Status)
		s.stream(ctx, w, req, last, recorder)
	case core.OutcomeNotRun:
		s.callLog.write(req, last, s.refuse(w, req.callerDeadline, refusalOf(last.err)))
	default:
		s.callLog.write(req, last, s.answerUnknown(w, req, last.release, last.err))
	}
}

// reserveAnswerHead takes the memory for a long head of an answer until it has been written. It returns false if there is none.
func reserveAnswerHead(w http.ResponseWriter, header http.Header) bool {
	bytes := memory.HeaderBytes(header)
	return bytes <= freeAnswerHeadBytes || pipelinehttp.Reserve(w, bytes)
}

// dropAnswer ends a call whose answer cannot be passed on.
func (s *Server) dropAnswer(ctx context.Context, req *request, last *attemptResult) {
	_ = last.answer.Body.Close()
	if !last.reported {
		s.reportAttempt(ctx, req, *last, last.answer.Status >= http.StatusInternalServerError)
	}
	last.outcome, last.answer, last.err = core.OutcomeUnknown, nil, errAnswerHeadsFull
}

func refusalOf(err error) *core.Refusal {
	var refused *core.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return newRefusal(core.CauseNoEndpoint, "")
}

// attemptCall makes attempts until one is answered or no retry is allowed. If one attempt may have run, the outcome is never
// not-run. If one was answered with a failure and later ones were not answered, it returns that answer.
func (s *Server) attemptCall(ctx context.Context, req *request) attemptResult {
	var history attemptHistory
	unknownErr := error(nil)
	var last, answered attemptResult
	for {
		if callerDisconnected(ctx) {
			if last.outcome == "" {
				last.outcome, last.err = core.OutcomeNotRun, newRefusal(core.CauseRevoked, "caller has left")
			}
			break
		}
		next, attempted := s.attemptOnce(ctx, req, history)
		if !attempted && mayWait(last) && s.awaitEndpoint(ctx, req, &history) {
			continue
		}
		if !attempted && last.outcome != "" {
			break // the cause of the earlier attempt is more specific than the lack of an endpoint
		}
		last = next
		class := s.classify(ctx, req, &last)
		switch last.outcome {
		case core.OutcomeUnknown:
			unknownErr = last.err
		case core.OutcomeAnswered:
			answered = last
		}
		if !attempted || ctx.Err() != nil || req.call.Trial != 0 || req.call.Source.Taken() || !s.allowRetry(ctx, req, class) {
			break
		}
		if s.isCrashSuspect(req) {
			last.outcome, last.err = core.OutcomeNotRun, newRefusal(core.CauseCrashSuspect, "")
			break // the earlier attempts of this call may have made it a suspect
		}
		history.tried = append(history.tried, last.endpoint)
		if last.concurrent != nil {
			history.tried = append(history.tried, *last.concurrent)
		}
		if last.outcome == core.OutcomeAnswered || retry.NodeUnavailable(causeOf(last.err)) {
			history.unusable = append(history.unusable, last.endpoint)
		}
		s.retries.Inc()
	}
	if last.outcome != core.OutcomeAnswered && answered.answer != nil {
		return answered
	}
	if last.outcome == core.OutcomeNotRun && unknownErr != nil {
		last.outcome, last.err = core.OutcomeUnknown, unknownErr
	}
	return last
}

// classify returns the retry class of an attempt. It reads a retryable answer to its end, so that the answer holds no slot
// during the next attempt; one that is longer than a chunk is final.
func (s *Server) classify(ctx context.Context, req *request, last *attemptResult) retry.Class {
	if last.outcome != core.OutcomeAnswered {
		class := retry.Classify(last.outcome, causeOf(last.err), req.call.Idempotent)
		if class == retry.RetryBudgeted && last.outcome == core.OutcomeNotRun && req.capacityRefusals < s.options.FreeCapacityRetries && retry.RefusedForCapacity(causeOf(last.err)) {
			req.capacityRefusals++
			return retry.RetryFree
		}
		return class
	}
	class := retry.ClassifyAnswer(last.answer.Status, headerValue(last.answer.Header, s.options.Headers.Outcome) != "", req.call.Idempotent)
	if class == retry.Final {
		return class
	}
	body := last.answer.Body
	prefix, err := io.ReadAll(io.LimitReader(body, core.MaxChunkBytes+1))
	if err == nil && len(prefix) > core.MaxChunkBytes {
		last.answer.Body = &prefixedBody{
			Reader: io.MultiReader(bytes.NewReader(prefix), body),
			Closer: body,
		}
		return retry.Final
	}
	_ = body.Close()
	if !last.reported {
		s.reportAttempt(ctx, req, *last, true)
		last.reported = true
	}
	last.answer.Body = io.NopCloser(bytes.NewReader(prefix))
	if err != nil {
		last.outcome, last.answer, last.err = core.OutcomeUnknown, nil, err
	}
	return class
}

// prefixedBody is a body whose beginning has been read already.
type prefixedBody struct {
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

func (s *Server) takeRetryBudget(service core.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budgetOf(service)
	budget.SetNodes(s.options.FleetNodes())
	return budget.Take(time.Now())
}

// budgetOf returns the retry budget of a service. When there are too many, it drops those of services that no longer exist, and one
// of the others if there are none. s.mu must be held.
func (s *Server) budgetOf(service core.ServiceName) *retry.Budget {
	budget := s.retryBudgets[service]
	if budget == nil {
		if len(s.retryBudgets) >= maxTrackedServices {
			s.dropRetryBudgets()
		}
		budget = retry.NewBudget(s.options.RetryBudget)
		s.retryBudgets[service] = budget
	}
	return budget
}

func (s *Server) dropRetryBudgets() {
	configuration := s.options.Source.Current()
	maps.DeleteFunc(s.retryBudgets, func(service core.ServiceName, _ *retry.Budget) bool {
		_, exists := configuration.Service(service)
		return !exists
	})
	for service := range s.retryBudgets {
		if len(s.retryBudgets) < maxTrackedServices {
			return
		}
		delete(s.retryBudgets, service)
	}
}

// attemptOnce makes one attempt, with a second one beside it if that is allowed and needed. It returns false if no endpoint is available.
func (s *Server) attemptOnce(ctx context.Context, req *request, history attemptHistory) (attemptResult, bool) {
	startedAt := time.Now()
	req.attemptCount++
	endpoint, found := s.chooseEndpoint(req, history, startedAt)
	if !found {
		return attemptResult{
			outcome: core.OutcomeNotRun,
			err:     newRefusal(core.CauseNoEndpoint, ""),
		}, false
	}
	var last attemptResult
	if req.mayRunBeside() {
		last = s.attemptWithSecond(ctx, req, history, endpoint)
	} else {
		last = s.forward(ctx, req, startAttempt(req, endpoint), endpoint)
	}
	if last.outcome != core.OutcomeAnswered {
		s.reportFailure(ctx, req, last)
	}
	return last, true
}

// startAttempt returns the call as it is sent to an endpoint, and counts the attempt.
func startAttempt(req *request, endpoint core.Endpoint) *core.Call {
	call := *req.call
	call.Release = endpoint.Release
	call.AttemptsLeft = req.attempts.Start()
	return &call
}

func (s *Server) forward(ctx context.Context, req *request, call *core.Call, endpoint core.Endpoint) attemptResult {
	startedAt := time.Now()
	answer, outcome, err := s.options.Forwarder.Forward(ctx, endpoint, call)
	last := attemptResult{
		answer:   answer,
		endpoint: endpoint,
		release:  endpoint.Release,
		outcome:  outcome,
		err:      err,
		latency:  time.Since(startedAt),
		load:     reportedLoad(answer, err),
	}
	if outcome == core.OutcomeNotRun && refusedByBackend(causeOf(err)) {
		req.reachedBackend.Store(true)
	}
	if outcome != core.OutcomeNotRun && req.call.Trial != 0 {
		req.trialRan = true // tests are not hedged, so that nothing else changes it at the same time
	}
	s.recordAttempt(req.route.Service, last)
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

// reportFailure reports an attempt without an answer to the picker and the evidence.
func (s *Server) reportFailure(ctx context.Context, req *request, last attemptResult) {
	s.reportAttempt(ctx, req, last, endpointFailed(last))
}

// endpointFailed reports whether the endpoint of an attempt without an answer has failed, and not only refused.
func endpointFailed(last attemptResult) bool {
	cause := causeOf(last.err)
	return last.outcome != core.OutcomeNotRun || cause == core.CauseConnectFailed || cause == core.CauseBackendRefused
}

// reportAttempt reports an attempt to the picker and, if the backend server may have run it, to the evidence. An attempt that the
// caller cancelled, or whose body it did not send, does not count as a failure of the release.
func (s *Server) reportAttempt(ctx context.Context, req *request, last attemptResult, failed bool) {
	callerGone := errors.Is(ctx.Err(), context.Canceled) || req.call.Source.Failed()
	failed = failed && !callerGone
	s.reportToPicker(req, last, failed)
	if callerGone {
		return
	}
	if last.outcome != core.OutcomeNotRun {
		s.options.Evidence.Record(req.route.Service, req.route.Name, last.release, failed, false, last.latency)
		return
	}
	// Only the first attempt counts: a call that is retried at many overloaded endpoints must count no more than with few endpoints.
	if cause := causeOf(last.err); req.attemptCount == 1 && (retry.RefusedForCapacity(cause) || cause == core.CauseOverloaded) {
		s.options.Evidence.RecordRejected(req.route.Service, req.route.Name, last.release)
	}
}

// reportToPicker ends an attempt for the picker, without evidence about the release.
func (s *Server) reportToPicker(req *request, last attemptResult, failed bool) {
	s.options.Picker.Done(time.Now(), core.PickResult{
		Endpoint: last.endpoint,
		Route:    req.route.Name,
		Outcome:  last.outcome,
		Failed:   failed,
		Latency:  last.latency,
		Load:     last.load,
	})
}

// stream sends an answer to the caller. If the body fails midway, it aborts the connection, so that the caller can't mistake a
// part of the answer for the whole.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, req *request, last attemptResult, recorder *recorder) {
	defer last.answer.Body.Close()
	header := w.Header()
	for name, values := range last.answer.Header {
		header[name] = values
	}
	setHeader(header, s.options.Headers.Outcome, string(core.OutcomeAnswered))
	setHeader(header, s.options.Headers.Release, string(last.release))
	w.WriteHeader(last.answer.Status)
	backendFailed, err := copyBody(w, last.answer.Body, recorder)
	if !last.reported {
		s.reportAttempt(ctx, req, last, last.answer.Status >= 500 || backendFailed)
	}
	if err != nil {
		s.abortedAnswers.Inc()
		s.outcomes[core.OutcomeUnknown].Inc()
		panic(http.ErrAbortHandler)
	}
	s.outcomes[core.OutcomeAnswered].Inc()
	for _, fingerprint := range req.fingerprints {
		s.options.CallCompleted(fingerprint)
	}
}

// admitSuspect reports whether the request may run, if only as a test of the suspicion that it crashes backend servers.
func (s *Server) admitSuspect(req *request) bool {
	at := slices.IndexFunc(req.fingerprints, s.options.CrashSuspected)
	if at < 0 {
		return true
	}
	suspected := req.fingerprints[at] // the more general one, if there are two
	if s.options.CrashTrials == nil || !s.options.CrashTrials.Begin(suspected) {
		return false
	}
	req.call.Trial = suspected
	s.crashTrials.Inc()
	return true
}

// endTrial lets another request be the test if this one was and has not run.
func (s *Server) endTrial(req *request) {
	if req.call.Trial != 0 && !req.trialRan {
		s.options.CrashTrials.Cancel(req.call.Trial)
	}
}

// isCrashSuspect reports whether the request is suspected of crashing backend servers.
func (s *Server) isCrashSuspect(req *request) bool {
	return slices.ContainsFunc(req.fingerprints, s.options.CrashSuspected)
}

var chunkPool = sync.Pool{
	New: func() any {
		chunk := make([]byte, core.MaxChunkBytes)
		return &chunk
	},
}

// copyBody copies a body. It flushes after each full chunk, and after each read if the answer has no Content-Length, since a
// streaming answer may pause. The result sourceFailed tells a read error from a write error. With a recorder it reads the body to its
// end even if the caller has disconnected.
func copyBody(w http.ResponseWriter, body io.Reader, recorder *recorder) (sourceFailed bool, err error) {
	flusher, _ := w.(http.Flusher)
	buffer := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(buffer)
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

// refuseEarly refuses a request before it becomes a call.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, refused *core.Refusal) {
	s.callLog.writeRefused(r, s.options.Headers.CallID, refused, s.refuse(w, time.Time{}, refused))
}

// refuseUnreadable counts and logs a request that the connection loop could not read and has answered itself.
func (s *Server) refuseUnreadable(remote net.Addr, status int, cause string) {
	s.outcomes[core.OutcomeNotRun].Inc()
	s.refusalCounter(cause).Inc()
	s.callLog.writeUnreadable(remote, status, cause)
}

func (s *Server) refusalCounter(cause string) *metrics.Counter {
	return s.options.Metrics.GetOrCreateCounter(`parsleyport_caller_refusals_total{cause="` + cause + `"}`)
}

// refuse answers a call that was not run and will not be run, and returns the HTTP status. The caller's deadline is zero if unknown.
func (s *Server) refuse(w http.ResponseWriter, callerDeadline time.Time, refused *core.Refusal) int {
	s.outcomes[core.OutcomeNotRun].Inc()
	s.refusalCounter(string(causeLabel(refused.Cause))).Inc()
	setHeader(w.Header(), s.options.Headers.Outcome, string(core.OutcomeNotRun))
	setHeader(w.Header(), s.options.Headers.Cause, string(refused.Cause))
	status := statusOf(refused.Cause)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", s.options.KeyScheme)
	}
	switch {
	case !refused.RetryAfter.IsZero():
		w.Header().Set("Retry-After", s.formatRetryAfter(time.Until(refused.RetryAfter)))
	case status == http.StatusServiceUnavailable && s.options.RetryAfter != nil:
		wait := s.options.RetryAfter(retry.RefusedCall{
			Now:            time.Now(),
			CallerDeadline: callerDeadline,
			Cause:          refused.Cause,
			FreeIn:         refused.Load.FreeIn,
		})
		w.Header().Set("Retry-After", s.formatRetryAfter(wait))
	}
	http.Error(w, refused.Error(), status)
	return status
}

// statusOf returns 503 or 429 for refusals after which the call may be sent again, and another 4xx status for invalid calls.
func statusOf(cause core.RefusalCause) int {
	switch cause {
	case core.CauseNoRoute:
		return http.StatusNotFound
	case core.CauseMalformedCall:
		return http.StatusBadRequest
	case core.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.CauseUnknownKey:
		return http.StatusUnauthorized
	case core.CauseQuotaUsed:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// causeLabel maps unknown causes, which may come from other nodes, to one label, so that the number of metrics is bounded.
func causeLabel(cause core.RefusalCause) core.RefusalCause {
	switch cause {
	case core.CauseNoRoute, core.CauseNoEndpoint, core.CauseNotConfirmed, core.CauseLeaving, core.CauseNoBackend,
		core.CauseDeadline, core.CauseQueueFull, core.CauseTenantShare, core.CauseRevoked, core.CauseCrashSuspect,
		core.CauseTooDeep, core.CauseConnectFailed, core.CauseMalformedCall,
		core.CauseDuplicateCall, core.CauseBackendRefused, core.CauseOverloaded, core.CauseMisdirected, core.CauseTooLarge,
		core.CauseUnknownKey, core.CauseQuotaUsed, core.CauseQuotaUnavailable:
		return cause
	}
	return "other"
}

func (s *Server) answerUnknown(w http.ResponseWriter, req *request, release core.Release, err error) int {
	s.outcomes[core.OutcomeUnknown].Inc()
	status := http.StatusBadGateway
	switch {
	case errors.Is(err, errBodyTooLong):
		status = http.StatusRequestEntityTooLarge
	case !time.Now().Before(req.call.Deadline):
		status = http.StatusGatewayTimeout
	}
	setHeader(w.Header(), s.options.Headers.Outcome, string(core.OutcomeUnknown))
	if release != "" {
		setHeader(w.Header(), s.options.Headers.Release, string(release))
	}
	http.Error(w, "outcome unknown: "+err.Error(), status)
	return status
}
