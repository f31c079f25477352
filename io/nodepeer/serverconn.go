package nodepeer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/bodycredit"
	"parsleyport/core/idempotency"
	"parsleyport/core/memory"
	"parsleyport/io/frame"
)

// serverConn is one connection from a dialer. Only serve reads from it.
type serverConn struct {
	server   *Server
	heard    *heardConn
	frames   *frame.Conn
	ctx      context.Context
	cancel   context.CancelCauseFunc
	id       uint64    // zero until hello
	notices  bool      // the dialer receives typeStuck
	lastPong time.Time // latest pong or welcome
}

// serverCall is one attempt. Server.mu guards the second group of fields; the connection's reader, which alone changes body and
// started, reads these two without it.
type serverCall struct {
	key          idempotency.AttemptKey
	conn         *serverConn
	call         *core.Call
	ctx          context.Context
	cancel       context.CancelCauseFunc
	credit       *credit
	stream       *bodyStream // nil unless the body is streamed
	bodyLength   int
	bodyChecksum uint64

	body               []byte
	reservedBytes      int
	reservedHead       int64             // of Server.heads
	bodyTicket         bodycredit.Ticket // zero unless the call waits for its body
	bodyGranted        chan struct{}     // has one element after grantedBytes has grown or the body has arrived
	grantedBytes       int               // credit that has not been sent
	bodyExpiry         *time.Timer       // runs expireBody; nil unless the call waits for its body
	started            bool              // run has been started, which calls Handle
	outcome            core.Outcome      // empty until Handle has returned
	pendingRevocations []pendingRevocation
}

// pendingRevocation is a revocation that waits for the outcome of an attempt.
type pendingRevocation struct {
	conn  *serverConn
	token uint64
}

func (c *serverConn) fail(cause error) {
	c.cancel(cause)
	_ = c.frames.Close()
}

// send writes a message, and closes the connection and returns false if that fails.
func (c *serverConn) send(kind frame.Type, message any) bool {
	if err := c.frames.Send(time.Now().Add(writeTimeout), kind, message); err != nil {
		c.fail(errConnectionLost)
		return false
	}
	return true
}

func (c *serverConn) serve() {
	defer c.server.removeConnection(c)
	defer c.server.unintroduced.Remove(c.frames)
	timeout := helloTimeout
	for {
		received, err := c.frames.Receive(time.Now().Add(timeout))
		if err != nil {
			c.fail(errConnectionLost)
			return
		}
		if err := c.dispatch(received); err != nil {
			c.fail(err)
			return
		}
		c.server.noteSender(c)
		timeout = serverIdleTimeout
		if time.Since(c.lastPong) >= pingInterval {
			c.pong()
		}
	}
}

func (c *serverConn) dispatch(received frame.Frame) error {
	if (c.id == 0) != (received.Type == typeHello) {
		return errors.Annotatef(errProtocol, "unexpected message type %d", received.Type)
	}
	switch received.Type {
	case typeHello:
		return decodeAndHandle(received, c.handleHello)
	case typeOpen:
		return decodeAndHandle(received, c.handleOpen)
	case typeBody:
		return decodeAndHandle(received, c.handleBody)
	case typeBodyEnd:
		return decodeAndHandle(received, c.handleBodyEnd)
	case typeCancel:
		return decodeAndHandle(received, c.handleCancel)
	case typeCredit:
		return decodeAndHandle(received, c.handleCredit)
	case typeRevoke:
		return decodeAndHandle(received, c.handleRevoke)
	case typeKey:
		return decodeAndHandle(received, c.handleKey)
	case typePing:
		c.pong()
		return nil
	}
	return errors.Annotatef(errProtocol, "unexpected message type %d", received.Type)
}

// pong tells the dialer that its messages are being read. It is sent after other messages too, since a ping may be queued
// behind bodies for longer than silenceTimeout on a slow connection.
func (c *serverConn) pong() {
	c.lastPong = time.Now()
	c.send(typePong, emptyMessage{})
}

func decodeAndHandle[T any](received frame.Frame, handle func(T) error) error {
	var message T
	if err := received.Decode(&message); err != nil {
		return err
	}
	return handle(message)
}

func (c *serverConn) handleHello(message helloMessage) error {
	s := c.server
	s.mu.Lock()
	connected := message.Connection != 0 && s.attempts.Connected(time.Now(), message.Connection)
	leaving := s.leaving
	s.mu.Unlock()
	if !connected {
		return errors.Annotate(errProtocol, "hello")
	}
	c.id, c.lastPong, c.notices = message.Connection, time.Now(), message.StuckNotices
	s.unintroduced.Remove(c.frames)
	c.frames.SetMaxReceived(core.MaxFrameBytes)
	compressorID := frame.CompressorID(0)
	if message.DataCentre != s.options.DataCentre && message.CompressorID == s.options.Compressor.ID() {
		compressorID = message.CompressorID
	}
	c.send(typeWelcome, welcomeMessage{
		RunningUS:    time.Since(s.started).Microseconds(),
		CompressorID: compressorID,
		BodyCredit:   s.bodies != nil,

		StreamsBodies: true,
	})
	c.frames.SetPeerCompressor(compressorID)
	if leaving {
		c.send(typeGoaway, emptyMessage{})
	}
	return nil
}

func (s *Server) removeConnection(c *serverConn) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.giveBodyCredit(now)
	delete(s.connections, c)
	if c.id == 0 {
		return
	}
	s.attempts.Disconnected(now, c.id)
	for key, call := range s.calls {
		if call.conn == c && !call.started {
			s.removeCall(call, false)
			delete(s.calls, key)
		}
	}
	s.signalDrained()
}

func (c *serverConn) attemptKey(sequence uint64) idempotency.AttemptKey {
	return idempotency.AttemptKey{
		Connection: c.id,
		Sequence:   sequence,
	}
}

func (c *serverConn) handleOpen(message openMessage) error {
	s, now := c.server, time.Now()
	key := c.attemptKey(message.Sequence)
	if message.Length < 0 || message.Length > maxBodyBytes || len(message.Body) > message.Length || message.Streamed && message.Length > 0 {
		return errors.Annotatef(errProtocol, "open with a body of %d bytes", message.Length)
	}
	headBytes := max(0, memory.HeaderBytes(message.Header)-freeHeadBytes)
	s.mu.Lock()
	cause, err := s.register(key, message, headBytes, now)
	if err != nil || cause != "" {
		s.mu.Unlock()
		if err == nil {
			s.refused.Inc()
			c.refuse(message.Sequence, core.OutcomeNotRun, &core.Refusal{
				Cause: cause,
			})
		}
		return err
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	call := &serverCall{
		key:           key,
		conn:          c,
		call:          newCall(message, now),
		ctx:           ctx,
		cancel:        cancel,
		credit:        newCredit(answerWindowBytes),
		bodyLength:    message.Length,
		bodyChecksum:  message.Checksum,
		body:          message.Body,
		reservedBytes: message.bodyMemory(),
		reservedHead:  headBytes,
	}
	if c.notices && message.Idempotent {
		call.call.OnStuck = func() { s.reportStuck(call) }
	}
	if message.Streamed {
		call.stream = newBodyStream(ctx, c.heard.lastHeard, func(bytes int) {
			c.send(typeBodyCredit, creditMessage{
				Sequence: message.Sequence,
				Bytes:    bytes,
			})
		})
		call.call.Source = core.NewBodySource(call.stream, message.StreamLength)
	}
	s.calls[key] = call
	s.bodyBytes += call.reservedBytes
	s.mu.Unlock()
	s.accepted.Inc()
	var refusal *core.Refusal
	switch {
	case call.stream != nil:
		refusal = s.startStream(call)
	case len(message.Body) == message.Length:
		return c.startCall(call)
	case s.bodies != nil:
		refusal = s.scheduleBody(call)
	}
	if refusal != nil {
		s.mu.Lock()
		s.removeCall(call, false)
		s.mu.Unlock()
		s.refused.Inc()
		c.refuse(message.Sequence, core.OutcomeNotRun, refusal)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.stream == nil && s.calls[key] == call {
		call.bodyExpiry = time.AfterFunc(time.Until(call.call.Deadline), func() { s.expireBody(call) })
	}
	s.giveBodyCredit(now)
	return nil
}

// bodyMemory returns the bytes that the server keeps of the body of a call.
func (m *openMessage) bodyMemory() int {
	if m.Streamed {
		return streamWindowBytes
	}
	return m.Length
}

// register records the attempt, and reserves the memory for its head. It returns a cause if the attempt must be refused, or an error if
// the connection must be closed. s.mu must be held.
func (s *Server) register(key idempotency.AttemptKey, message openMessage, headBytes int64, now time.Time) (core.RefusalCause, error) {
	switch s.attempts.Arrived(now, key) {
	case idempotency.ArrivalRepeated:
		return "", errors.Annotatef(errProtocol, "sequence %d arrived twice", key.Sequence)
	case idempotency.ArrivalRevoked:
		return core.CauseRevoked, nil
	}
	cause := core.RefusalCause("")
	switch {
	case s.leaving:
		cause = core.CauseLeaving
	case message.RemainingUS <= 0:
		cause = core.CauseDeadline
	case len(s.calls) >= s.options.MaxCalls, s.bodyBytes+message.bodyMemory() > maxBufferedBodyBytes, !s.heads.Reserve(headBytes):
		cause = core.CauseQueueFull
	}
	if cause != "" {
		s.attempts.Ended(key, false)
	}
	return cause, nil
}

func (c *serverConn) refuse(sequence uint64, outcome core.Outcome, refusal *core.Refusal) {
	c.send(typeRefused, refusedMessage{
		Sequence: sequence,
		Outcome:  outcome,
		Cause:    refusal.Cause,
		Detail:   refusal.Detail,
		Load:     newLoadMessage(refusal.Load),
		FreeInUS: refusal.Load.FreeIn.Microseconds(),
	})
}

func (c *serverConn) findCall(sequence uint64) *serverCall {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.calls[c.attemptKey(sequence)]
}

// handleBody collects the chunks of a long body. The attempt starts only when the body is complete and its checksum is right.
func (c *serverConn) handleBody(message bodyMessage) error {
	call := c.findCall(message.Sequence)
	if call != nil && call.stream != nil {
		return errors.Annotatef(call.stream.add(message.Bytes), "sequence %d", message.Sequence)
	}
	if call == nil || call.started {
		return nil // refused or cancelled while the body was in flight
	}
	if len(call.body)+len(message.Bytes) > call.bodyLength {
		return errors.Annotatef(errProtocol, "body of sequence %d is too long", message.Sequence)
	}
	call.body = append(call.body, message.Bytes...)
	if s := c.server; s.bodies != nil {
		s.mu.Lock()
		now := time.Now()
		s.bodies.Received(now, call.bodyTicket, len(message.Bytes))
		s.giveBodyCredit(now)
		s.mu.Unlock()
	}
	return nil
}

func (c *serverConn) handleBodyEnd(message bodyEndMessage) error {
	call := c.findCall(message.Sequence)
	if call != nil && call.stream != nil {
		call.stream.finish(message)
		return nil
	}
	if call == nil || call.started {
		return nil
	}
	return c.startCall(call)
}

func (c *serverConn) startCall(call *serverCall) error {
	s := c.server
	if len(call.body) != call.bodyLength || xxhash.Sum64(call.body) != call.bodyChecksum {
		return errors.Annotatef(errProtocol, "body of sequence %d is truncated or corrupted", call.key.Sequence)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.calls[call.key] != call {
		return nil
	}
	s.endBody(call)
	s.giveBodyCredit(time.Now())
	call.call.Body = call.body
	call.started = true
	s.tasks.Go(func() { s.run(call) })
	return nil
}

func (c *serverConn) handleCancel(message sequenceMessage) error {
	s := c.server
	s.mu.Lock()
	call := s.calls[c.attemptKey(message.Sequence)]
	waiting := call != nil && !call.started
	if waiting {
		s.removeCall(call, false)
		s.giveBodyCredit(time.Now())
	}
	s.mu.Unlock()
	if waiting {
		c.refuse(message.Sequence, core.OutcomeNotRun, &core.Refusal{
			Cause:  core.CauseRevoked,
			Detail: errCancelled.Error(),
		})
	} else if call != nil {
		call.cancel(errCancelled)
	}
	return nil
}

func (c *serverConn) handleCredit(message creditMessage) error {
	if call := c.findCall(message.Sequence); call != nil {
		call.credit.add(message.Bytes)
	}
	return nil
}

// handleRevoke replies at once unless the backend is handling the attempt; then the attempt is cancelled, and the reply follows
// when the outcome is known.
func (c *serverConn) handleRevoke(message revokeMessage) error {
	s := c.server
	key := idempotency.AttemptKey{
		Connection: message.Connection,
		Sequence:   message.Sequence,
	}
	s.mu.Lock()
	verdict := s.attempts.Revoke(time.Now(), key)
	call := s.calls[key]
	if verdict == idempotency.RevocationPending && call != nil {
		switch {
		case !call.started:
			s.removeCall(call, false)
			s.giveBodyCredit(time.Now())
			verdict = idempotency.RevocationDone
		case call.outcome == core.OutcomeNotRun:
			verdict = idempotency.RevocationDone
		case call.outcome != "":
			verdict = idempotency.RevocationTooLate
		default:
			call.pendingRevocations = append(call.pendingRevocations, pendingRevocation{
				conn:  c,
				token: message.Token,
			})
		}
	}
	s.mu.Unlock()
	if verdict == idempotency.RevocationPending {
		call.cancel(errRevoked)
		return nil
	}
	c.sendRevoked(message.Token, verdict == idempotency.RevocationDone)
	return nil
}

func (c *serverConn) sendRevoked(token uint64, revoked bool) {
	if revoked {
		c.server.revocationsDone.Inc()
	} else {
		c.server.revocationsTooLate.Inc()
	}
	c.send(typeRevoked, revokedMessage{
		Token:   token,
		Revoked: revoked,
	})
}

// removeCall forgets a call and wakes Drain if it was the last. s.mu must be held.
func (s *Server) removeCall(call *serverCall, ran bool) {
	if s.calls[call.key] != call {
		return
	}
	delete(s.calls, call.key)
	s.endBody(call)
	s.attempts.Ended(call.key, ran)
	s.bodyBytes -= call.reservedBytes
	s.heads.Release(call.reservedHead)
	call.cancel(nil)
	s.signalDrained()
}
