package nodepeer

import (
	"context"
	"io"
	"runtime/debug"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"parsleyport/core"
)

// run passes a call to the backend and sends the answer or the refusal.
func (s *Server) run(call *serverCall) {
	ctx, cancel := context.WithDeadline(call.ctx, call.call.Deadline)
	defer cancel()
	answer, outcome, err := s.handle(ownedContext{
		Context: ctx,
		owner:   call.conn.ctx,
	}, call.call)
	if outcome != core.OutcomeAnswered && outcome != core.OutcomeNotRun {
		outcome = core.OutcomeUnknown
	}
	s.resolveRevocations(call, outcome)
	if outcome != core.OutcomeAnswered {
		s.refuse(call, outcome, err)
		s.finish(call, outcome != core.OutcomeNotRun)
		return
	}
	answer.Body = recoveredBody{
		ReadCloser: answer.Body,
		server:     s,
		call:       call.call,
	}
	call.sendAnswer(ctx, answer)
	_ = answer.Body.Close()
	s.finish(call, true)
}

// handle passes a call to the backend. A panic ends this call alone, with an unknown outcome.
func (s *Server) handle(ctx context.Context, call *core.Call) (answer *core.Answer, outcome core.Outcome, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			answer, outcome, err = nil, core.OutcomeUnknown, s.panicked(call, cause)
		}
	}()
	return s.options.Backend.Handle(ctx, call)
}

// reportStuck tells the dialer that an attempt looks stuck. It does not wait for the connection.
func (s *Server) reportStuck(call *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.calls[call.key] != call {
		return
	}
	s.tasks.Go(func() {
		call.conn.send(typeStuck, sequenceMessage{
			Sequence: call.key.Sequence,
		})
	})
}

// panicked counts and logs a panic that was recovered, and returns it as an error.
func (s *Server) panicked(call *core.Call, cause any) error {
	s.panics.Inc()
	s.options.Logger.Error().Str("event", "call-panicked").Str("call", string(call.ID)).Str("route", string(call.Route)).
		Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("handling a call panicked")
	return errors.Errorf("handling the call panicked: %v", cause)
}

// recoveredBody is the body of an answer of which a panic ends this call alone.
type recoveredBody struct {
	io.ReadCloser
	server *Server
	call   *core.Call
}

// Read implements io.Reader.
func (b recoveredBody) Read(target []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n, err = 0, b.server.panicked(b.call, cause)
		}
	}()
	return b.ReadCloser.Read(target)
}

func (s *Server) finish(call *serverCall, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeCall(call, ran)
}

// resolveRevocations records the outcome and replies to the revocations that arrived while the backend handled the call.
func (s *Server) resolveRevocations(call *serverCall, outcome core.Outcome) {
	s.mu.Lock()
	call.outcome = outcome
	revocations := call.pendingRevocations
	call.pendingRevocations = nil
	s.mu.Unlock()
	for _, each := range revocations {
		each.conn.sendRevoked(each.token, outcome == core.OutcomeNotRun)
	}
}

func (s *Server) refuse(call *serverCall, outcome core.Outcome, err error) {
	s.refused.Inc()
	detail := ""
	var refusal *core.Refusal
	if outcome == core.OutcomeNotRun {
		if !errors.As(err, &refusal) {
			refusal = &core.Refusal{}
		}
		refusal.Load = s.loadWithBodies(refusal.Load)
		call.conn.refuse(call.key.Sequence, outcome, refusal)
		return
	}
	if err != nil {
		detail = err.Error()
	}
	call.conn.refuse(call.key.Sequence, outcome, &core.Refusal{
		Detail: detail,
	})
}

// sendAnswer sends an answer. A body whose Content-Length fits in one chunk is sent together with the head, in one frame.
func (c *serverCall) sendAnswer(ctx context.Context, answer *core.Answer) {
	head := headMessage{
		Sequence: c.key.Sequence,
		Status:   answer.Status,
		Header:   answer.Header,
		Load:     newLoadMessage(c.conn.server.loadWithBodies(answer.Load)),
		FreeInUS: answer.Load.FreeIn.Microseconds(),
	}
	contentLength, err := strconv.Atoi(answer.Header.Get("Content-Length"))
	if err == nil && contentLength >= 0 && contentLength <= core.MaxChunkBytes && c.call.Method != "HEAD" {
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			c.conn.refuse(c.key.Sequence, core.OutcomeUnknown, &core.Refusal{
				Detail: err.Error(),
			})
			return
		}
		head.Whole = true
		head.Body = body
		head.Length = int64(len(body))
		head.Checksum = xxhash.Sum64(body)
		c.conn.send(typeHead, head)
		return
	}
	if !c.conn.send(typeHead, head) {
		return
	}
	c.sendBody(ctx, answer.Body)
}

var chunkPool = sync.Pool{
	New: func() any {
		chunk := make([]byte, core.MaxChunkBytes)
		return &chunk
	},
}

func (c *serverCall) sendBody(ctx context.Context, body io.Reader) {
	buffer := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(buffer)
	chunk := *buffer
	digest, length := xxhash.New(), int64(0)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			_, _ = digest.Write(chunk[:n]) // Digest.Write never returns an error
			length += int64(n)
			if !c.sendChunk(ctx, chunk[:n]) {
				return
			}
		}
		if err == nil {
			continue
		}
		end := answerEndMessage{
			Sequence: c.key.Sequence,
			Length:   length,
			Checksum: digest.Sum64(),
		}
		if !errors.Is(err, io.EOF) {
			end.Fault = err.Error()
		}
		c.conn.send(typeAnswerEnd, end)
		return
	}
}

func (c *serverCall) sendChunk(ctx context.Context, bytes []byte) bool {
	if err := c.credit.acquire(ctx, len(bytes)); err != nil {
		c.conn.send(typeAnswerEnd, answerEndMessage{
			Sequence: c.key.Sequence,
			Fault:    err.Error(),
		})
		return false
	}
	return c.conn.send(typeAnswerBody, bodyMessage{
		Sequence: c.key.Sequence,
		Bytes:    bytes,
	})
}
