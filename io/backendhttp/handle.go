package backendhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/retry"
	"parsleyport/core/stuck"
)

// Errors of Handle, and of reading the body of an answer.
const (
	// ErrNoLength means that the answer's body is delimited by the end of the connection, so that a crash could not be told from
	// the end of the answer.
	ErrNoLength = errors.ConstError("backend server's answer states no length")
	// ErrBroken means that the connection broke before the answer was complete.
	ErrBroken = errors.ConstError("connection to the backend server broke")
	// ErrInvalidAnswer means that the bytes on the connection are no answer in HTTP/1, or one with a status outside 200 to 599.
	ErrInvalidAnswer = errors.ConstError("backend server's answer is invalid")
)

// errResetInBody means that the connection was reset, so that it is not known whether a body that ends with it is complete.
const errResetInBody = errors.ConstError("connection was reset before the end of a body without a length")

const maxStatus = 599 // of an answer; see RFC 9110, section 15

// Handle implements core.Backend. The context must not end before the answer's body is closed.
func (s *Server) Handle(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
	answer, outcome, err := s.handle(ctx, call)
	load := s.admission.Load(call.Route)
	var refusal *core.Refusal
	switch {
	case answer != nil:
		answer.Load = load
		return answer, outcome, err
	case errors.As(err, &refusal):
		refusal.Load = load
	}
	s.logFailure(call, load, outcome, err)
	return answer, outcome, err
}

// logFailure logs a call that was not answered, with the state and the load of the backend server.
func (s *Server) logFailure(call *core.Call, load core.Load, outcome core.Outcome, cause error) {
	event := s.failureLog.Info()
	if event == nil {
		return
	}
	s.mu.Lock()
	latest, leaseEnd := s.latest, s.leaseEnd
	s.mu.Unlock()
	event.Str("event", "call-not-answered").Str("call", string(call.ID)).Str("route", string(call.Route)).Str("outcome", string(outcome)).
		Err(cause).Int64("left-ms", time.Until(call.Deadline).Milliseconds()).Str("run", latest.Run).Str("state", string(latest.State)).
		Int64("lease-left-ms", time.Until(leaseEnd).Milliseconds()).Int("running", load.Running).Int("waiting", load.Waiting).
		Int("slots", load.Limit).Int64("service-ms", load.ServiceTime.Milliseconds()).Msg("call not answered by the local backend server")
}

func (s *Server) handle(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
	if refusal := s.beginCall(call); refusal != nil {
		return nil, core.OutcomeNotRun, refusal
	}
	if call.Trial != 0 && s.options.CrashTrials != nil {
		return s.runTrial(ctx, call)
	}
	return s.runCall(ctx, call)
}

// runTrial runs a call that tests a suspicion, unless the same suspicion is being tested by another call.
func (s *Server) runTrial(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
	if !s.options.CrashTrials.Begin(call.Trial) {
		s.endCall()
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause: core.CauseCrashSuspect,
		}
	}
	answer, outcome, err := s.runCall(ctx, call)
	if outcome == core.OutcomeNotRun {
		s.options.CrashTrials.Cancel(call.Trial)
	}
	return answer, outcome, err
}

// runCall waits for a slot and runs a call that beginCall has accepted.
func (s *Server) runCall(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
	release, refusal := s.acquire(ctx, call)
	if refusal != nil {
		s.endCall()
		return nil, core.OutcomeNotRun, refusal
	}
	x := &exchange{
		server:  s,
		ctx:     ctx,
		call:    call,
		release: release,
		head: answerHead{
			budget: s.heads,
		},
	}
	answered := false
	defer func() { // also if run panics
		switch {
		case answered:
		case x.ctx.Err() != nil && s.stuckCalls.isReported(x):
			x.endAfterWork()
		default:
			x.end(ResultFailed)
		}
	}()
	answer, outcome, err := x.run()
	answered = outcome == core.OutcomeAnswered
	return answer, outcome, err
}

// acquire waits for a slot. The returned function releases it.
func (s *Server) acquire(ctx context.Context, call *core.Call) (func(CallResult), *core.Refusal) {
	if call.Source == nil {
		return s.admission.Acquire(ctx, call)
	}
	if refusal := s.acquireStream(ctx, call); refusal != nil {
		return nil, refusal
	}
	release, refusal := s.admission.Acquire(ctx, call)
	if refusal != nil {
		s.streams.release()
		return nil, refusal
	}
	return func(result CallResult) {
		release(result)
		s.streams.release()
	}, nil
}

// exchange is a call that runs at the backend server. It holds its slot until the end of the answer's body.
type exchange struct {
	server         *Server
	ctx            context.Context
	call           *core.Call
	release        func(CallResult)
	ended          sync.Once
	conn           *backendConn
	processRun     string
	startedAt      time.Time   // when it was sent
	stopCancelling func() bool // unregisters the close on cancellation; false if that has begun
	written        bool        // at least one byte of the call may have been written
	writeFailed    bool        // the connection takes no more bytes
	strayReceived  bool        // answers to other calls were received on the connection
	reusable       bool
	head           answerHead
	stuckID        stuck.ID // zero if stuck calls are not detected, or before it was sent
	stuckReported  bool     // guarded by stuckCalls.mu
}

func (x *exchange) end(result CallResult) {
	x.ended.Do(func() {
		if !x.startedAt.IsZero() {
			x.server.exchanges.Add(-1)
		}
		x.server.stuckCalls.end(time.Now(), x, result)
		x.head.release()
		x.release(result)
		x.server.endCall()
	})
}

func (x *exchange) run() (*core.Answer, core.Outcome, error) {
	s := x.server
	s.mu.Lock()
	target, refusal := s.targetOf(x.call)
	s.mu.Unlock()
	if refusal == nil && x.ctx.Err() != nil {
		refusal = refusalOf(x.ctx)
	}
	if refusal != nil {
		return nil, core.OutcomeNotRun, refusal
	}
	request, err := newRequest(&s.options.Headers, x.call, target.Instance, time.Now())
	if err != nil {
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause:  core.CauseMalformedCall,
			Detail: err.Error(),
		}
	}
	x.processRun = target.Run
	if x.conn, err = s.pool.get(x.ctx, target.Address); err != nil {
		s.recordDialError(time.Now(), target.Run, err)
		return nil, core.OutcomeNotRun, x.connectRefusal(err)
	}
	x.startedAt = time.Now()
	s.exchanges.Add(1)
	s.stuckCalls.begin(x)
	return x.roundTrip(request)
}

func (x *exchange) connectRefusal(err error) *core.Refusal {
	if x.ctx.Err() != nil {
		return refusalOf(x.ctx)
	}
	return &core.Refusal{
		Cause:  core.CauseBackendRefused,
		Detail: err.Error(),
	}
}

// Write implements io.Writer. It notes that the backend server may have received a part of the call, and whether it receives no more.
func (x *exchange) Write(bytes []byte) (int, error) {
	x.written = true
	n, err := x.conn.Write(bytes)
	x.writeFailed = x.writeFailed || err != nil
	return n, err
}

func (x *exchange) roundTrip(request *http.Request) (*core.Answer, core.Outcome, error) {
	x.stopCancelling = context.AfterFunc(x.ctx, func() { _ = x.conn.Close() })
	if x.ctx.Err() != nil {
		_ = x.conn.Close()
		return nil, core.OutcomeNotRun, refusalOf(x.ctx)
	}
	x.server.sentCalls.Inc()
	writer := x.conn.writer
	writer.Reset(x)
	defer writer.Reset(nil) // so that an idle connection does not keep the call in memory
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil && !x.written {
		x.abort()
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause:  core.CauseMalformedCall,
			Detail: err.Error(),
		}
	}
	if err != nil && !x.writeFailed { // the backend server waits for the rest of a body that does not come
		x.abort()
		return nil, core.OutcomeUnknown, errors.Annotate(err, "body of the call")
	}
	// The answer is read even after a failed write, since a backend server may answer before it has read the whole request.
	response, readErr := x.readResponse(request)
	if readErr != nil {
		return nil, core.OutcomeUnknown, x.fail(readErr)
	}
	x.server.stuckCalls.answered(x)
	x.server.pool.markAnswered(x.conn)
	x.server.answeredAt.Store(time.Now().UnixNano())
	x.reusable = err == nil && !response.Close && !x.strayReceived
	answer := x.newAnswer(response)
	if refusal := x.notRunRefusal(response); refusal != nil {
		x.reusable = x.reusable && x.conn.statesIDs // a refusal without an ID could not be told from its repetition
		x.discard(answer)
		return nil, core.OutcomeNotRun, refusal
	}
	return answer, core.OutcomeAnswered, nil
}

// notRunRefusal returns a refusal if the answer states that the backend server has not run the call.
func (x *exchange) notRunRefusal(response *http.Response) *core.Refusal {
	if headerValue(response.Header, x.server.options.Headers.NotRun) == "" {
		return nil
	}
	refusal := &core.Refusal{
		Cause:  core.CauseMalformedCall,
		Detail: response.Status,
	}
	switch {
	case retry.Overloaded(response.StatusCode):
		refusal.Cause = core.CauseOverloaded
	case response.StatusCode == http.StatusMisdirectedRequest:
		refusal.Cause = core.CauseMisdirected
	}
	return refusal
}

// discard reads a short body to its end, so that the connection can be reused, and releases the slot. The refusal does not wait for
// a body that does not come.
func (x *exchange) discard(answer *core.Answer) {
	_ = x.conn.SetReadDeadline(time.Now().Add(maxDiscardTime)) // fails only on a closed connection
	defer func() { _ = x.conn.SetReadDeadline(time.Time{}) }()
	_, _ = io.CopyN(io.Discard, answer.Body, maxDiscardedBytes+1)
	_ = answer.Body.Close()
}

func (x *exchange) readResponse(request *http.Request) (*http.Response, error) {
	x.head.bytesLeft = maxHeadBytes
	for {
		x.conn.source.head = &x.head
		response, err := http.ReadResponse(x.conn.reader, request)
		x.conn.source.head = nil
		if err != nil && !isConnectionError(err) {
			return nil, errors.WithType(err, ErrInvalidAnswer)
		}
		if err != nil {
			return nil, err
		}
		if isInterim(response) {
			continue
		}
		if response.ProtoMajor != 1 || response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
			return nil, errors.Annotatef(ErrInvalidAnswer, "%s with status %d", response.Proto, response.StatusCode)
		}
		if !x.isStray(response) {
			return response, nil
		}
		// This is a late or duplicate answer to an earlier call. The answer to this call may follow.
		x.strayReceived = true
		x.server.strayAnswers.Inc()
		x.server.logStray(x, response)
		if n, err := io.CopyN(io.Discard, response.Body, maxStrayBytes); n == maxStrayBytes || err != io.EOF {
			return nil, errors.Annotatef(ErrBroken, "answer to another call")
		}
		x.head.bytesLeft -= readAheadBytes // the reader may hold further heads, which are not counted
	}
}

// isInterim reports whether another answer to the same call follows. A backend server that states a body or the end of the connection
// has sent its final answer, with an invalid status.
func isInterim(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK &&
		response.StatusCode != http.StatusSwitchingProtocols && !response.Close &&
		len(response.TransferEncoding) == 0 && response.Header.Get("Content-Length") == ""
}

// isConnectionError reports whether reading an answer failed because the connection ended, and not because of what was received.
func isConnectionError(err error) bool {
	var networkError net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, errHeadTooLong) || errors.As(err, &networkError)
}

// isStray reports whether an answer has the ID of another call, or none on a connection whose earlier answers have stated theirs.
// Otherwise an earlier refusal that is written again would count as a statement that this call has not run.
func (x *exchange) isStray(response *http.Response) bool {
	switch id := headerValue(response.Header, x.server.options.Headers.CallID); id {
	case string(x.call.ID):
		x.conn.statesIDs = true
		return false
	case "":
		return x.conn.statesIDs
	}
	return true
}

// logStray logs an answer that belongs to no call. A backend server that states no ID in an answer of its own shows here too.
func (s *Server) logStray(x *exchange, response *http.Response) {
	s.failureLog.Warn().Str("event", "stray-answer").Str("call", string(x.call.ID)).Str("run", x.processRun).Int("status", response.StatusCode).
		Str("id", headerValue(response.Header, s.options.Headers.CallID)).Msg("answer of the backend server belongs to no call")
}

func headerValue(header http.Header, name string) string {
	if name == "" {
		return ""
	}
	return header.Get(name)
}

const (
	// maxDiscardedBytes bounds what is read of a refusal's body to keep the connection. Reading more would cost more than a new
	// connection.
	maxDiscardedBytes = 16 << 10
	// maxDiscardTime is longer than a short body takes that was sent together with its head.
	maxDiscardTime = 100 * time.Millisecond
	// maxStrayBytes bounds what is read of the body of an answer to another call.
	maxStrayBytes = 1 << 20
)

// abort closes the connection. It returns false if a cancellation has closed it already.
func (x *exchange) abort() bool {
	notCancelled := x.stopCancelling()
	_ = x.conn.Close()
	return notCancelled
}

// fail closes the connection and returns the error of the call. Unless the call was cancelled, it is recorded as broken; an invalid
// answer does not tell of a crash.
func (x *exchange) fail(err error) error {
	if !x.abort() {
		return errors.Annotate(context.Cause(x.ctx), "call at the backend server")
	}
	if errors.Is(err, ErrInvalidAnswer) {
		x.server.invalidAnswers.Inc()
		return err
	}
	x.server.recordBrokenCall(time.Now(), x)
	return errors.Annotate(ErrBroken, err.Error())
}

func (x *exchange) newAnswer(response *http.Response) *core.Answer {
	removeHopByHopHeaders(response.Header)
	body := &answerBody{
		exchange:       x,
		reader:         response.Body,
		result:         x.resultOf(response),
		closeDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody,
	}
	return &core.Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
	}
}

// resultOf returns the result of a call for the admission. An overload answer with an outcome header comes from a node that the
// backend server called and is passed on; it says nothing about the load of this backend server.
func (x *exchange) resultOf(response *http.Response) CallResult {
	switch {
	case retry.Overloaded(response.StatusCode) && headerValue(response.Header, x.server.options.Headers.Outcome) == "":
		return ResultOverloaded
	case response.StatusCode >= 500:
		return ResultFailed
	}
	return ResultServed
}

// answerBody releases the slot at the end of the body, and returns the connection to the pool if it can be reused.
type answerBody struct {
	exchange       *exchange
	reader         io.ReadCloser
	result         CallResult
	closeDelimited bool // the body has no length and ends with the connection
	err            error
}

// Read implements io.Reader.
func (b *answerBody) Read(target []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.Read(target)
	if err != nil {
		b.err = b.finish(err)
	}
	return n, b.err
}

func (b *answerBody) finish(err error) error {
	x := b.exchange
	switch {
	case err != io.EOF:
		err = x.fail(err)
	case b.closeDelimited && !x.server.options.AllowCloseDelimited:
		_ = x.abort()
		err = ErrNoLength
	case b.closeDelimited && x.writeFailed:
		// The kernel reports a reset only once. As the write has got it, the read sees an orderly end after a part of the body.
		err = x.fail(errResetInBody)
	case x.stopCancelling() && x.reusable && !b.closeDelimited:
		x.server.pool.put(x.conn)
	default:
		_ = x.conn.Close()
	}
	if err != io.EOF && b.result == ResultServed {
		b.result = ResultFailed
	}
	x.end(b.result)
	return err
}

// Close implements io.Closer. Closing the body before its end cancels the call.
func (b *answerBody) Close() error {
	if b.err == nil {
		b.err = errors.New("body is closed")
		_ = b.exchange.abort()
		b.exchange.end(b.result)
	}
	return nil
}

func newRequest(names *core.HeaderNames, call *core.Call, instance string, now time.Time) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil || !strings.HasPrefix(call.Target, "/") {
		return nil, errors.Errorf("target is %q, expected a path", call.Target)
	}
	if !strings.HasPrefix(call.Target, "//") {
		target = &url.URL{
			Opaque: call.Target, // keeps the caller's escaping
		}
	}
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	removeHopByHopHeaders(header)
	if _, exists := header["User-Agent"]; !exists {
		header.Set("User-Agent", "") // otherwise net/http adds its own
	}
	for name, value := range map[string]string{
		names.CallID:           string(call.ID),
		names.Deadline:         strconv.FormatInt(max(call.Deadline.Sub(now).Milliseconds(), 1), 10),
		names.Attempts:         strconv.Itoa(call.AttemptsLeft),
		names.Depth:            strconv.Itoa(call.Depth),
		names.IdempotencyKey:   string(call.IdempotencyKey),
		names.ExpectedInstance: instance,
	} {
		switch {
		case name == "":
		case value == "":
			header.Del(name)
		default:
			header.Set(name, value)
		}
	}
	request := &http.Request{
		Method:        call.Method,
		URL:           target,
		Host:          call.Host,
		Header:        header,
		ContentLength: call.BodyBytes(), // net/http sends a body of unknown length in chunks
	}
	switch {
	case call.Source != nil:
		request.Body = io.NopCloser(call.Source)
	case len(call.Body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return request, nil
}

func removeHopByHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"} {
		header.Del(name)
	}
}
