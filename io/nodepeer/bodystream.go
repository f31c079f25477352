package nodepeer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"parsleyport/core"
)

const (
	// streamWindowBytes is the flow-control window of a streamed body: bytes in flight or unread.
	streamWindowBytes = 64 << 10

	errNoStreams       = errors.ConstError("the peer is of a release that does not receive streamed bodies")
	errBodyCorrupted   = errors.ConstError("length or checksum of the call's body differs from that at its end")
	errBeyondWindow    = errors.ConstError("streamed body is beyond its window")
	errSenderSilent    = errors.ConstError("nothing arrives from the sender of the body")
	errBodyAfterItsEnd = errors.ConstError("streamed body goes on after its end")
)

// bodyStream is the body of a call that arrives while the backend reads it. The connection's reader adds to it, and the backend reads it.
// The sender gets no credit before the first read, so that a call that is refused can be repeated elsewhere with its body.
type bodyStream struct {
	ctx     context.Context
	grant   func(bytes int)  // sends credit
	heardAt func() time.Time // when the sender's connection last carried anything
	changed chan struct{}    // has one element after something was added

	mu       sync.Mutex // guards the fields below
	chunks   [][]byte
	granted  int // bytes that may still arrive
	received int64
	digest   *xxhash.Digest
	end      *bodyEndMessage

	consumed int // bytes read since the latest grant; owned by the backend
	begun    bool
}

func newBodyStream(ctx context.Context, heardAt func() time.Time, grant func(bytes int)) *bodyStream {
	return &bodyStream{
		ctx:     ctx,
		grant:   grant,
		heardAt: heardAt,
		changed: make(chan struct{}, 1),
		digest:  xxhash.New(),
	}
}

func (b *bodyStream) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// add adds bytes that have arrived.
func (b *bodyStream) add(bytes []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return errBodyAfterItsEnd
	}
	if len(bytes) > b.granted {
		return errBeyondWindow
	}
	b.granted -= len(bytes)
	b.received += int64(len(bytes))
	_, _ = b.digest.Write(bytes) // Digest.Write never returns an error
	b.chunks = append(b.chunks, bytes)
	b.signal()
	return nil
}

func (b *bodyStream) finish(end bodyEndMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		b.end = &end
	}
	b.signal()
}

// Read implements io.Reader. It returns io.EOF only after the length and the checksum of the body have been verified. A sender that waits
// for its caller still sends pings; one that sends nothing at all for streamSilenceTimeout is taken for lost.
func (b *bodyStream) Read(target []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.allow(streamWindowBytes)
	}
	waitingSince := time.Now()
	for {
		n, err := b.take(target)
		if n > 0 {
			if b.consumed += n; b.consumed >= streamWindowBytes/2 {
				b.allow(b.consumed)
				b.consumed = 0
			}
		}
		if n > 0 || err != nil || len(target) == 0 {
			return n, err
		}
		silentAt := laterOf(b.heardAt(), waitingSince).Add(streamSilenceTimeout)
		switch now := time.Now(); {
		case now.After(silentAt.Add(checkInterval)):
			waitingSince = now // this process has paused, and what has arrived meanwhile is still unread
			continue
		case !now.Before(silentAt):
			return 0, errSenderSilent
		}
		timer := time.NewTimer(time.Until(silentAt))
		select {
		case <-b.changed:
		case <-timer.C:
		case <-b.ctx.Done():
			timer.Stop()
			return 0, context.Cause(b.ctx)
		}
		timer.Stop()
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// take returns bytes that have arrived, the end of the body, or nothing.
func (b *bodyStream) take(target []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.chunks) > 0 {
		n := copy(target, b.chunks[0])
		if b.chunks[0] = b.chunks[0][n:]; len(b.chunks[0]) == 0 {
			b.chunks = b.chunks[1:]
		}
		return n, nil
	}
	switch {
	case b.end == nil:
		return 0, nil
	case b.end.Length != b.received || b.end.Checksum != b.digest.Sum64():
		return 0, errBodyCorrupted
	}
	return 0, io.EOF
}

func (b *bodyStream) allow(bytes int) {
	b.mu.Lock()
	b.granted += bytes
	b.mu.Unlock()
	b.grant(bytes)
}

// startStream starts a call whose body arrives while the backend reads it, or returns the refusal of a call that the backend would refuse
// anyway or whose body cannot arrive in time. Streamed bodies are not paced: their windows bound what is in flight.
func (s *Server) startStream(call *serverCall) *core.Refusal {
	now, length := time.Now(), call.call.Source.Length()
	load, refusal := s.preview(call)
	if refusal != nil {
		return refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.calls[call.key] != call {
		return nil
	}
	if s.bodies != nil && length > 0 && !s.bodies.CanArrive(now, length, call.call.Deadline) {
		return tooLateBody(s.addWaitingBodies(load))
	}
	call.started = true
	s.tasks.Go(func() { s.run(call) })
	return nil
}

// sendStream sends an attempt with a streamed body. It returns the error of reading the body, in which case the attempt must be
// abandoned; sent is false if the connection was lost.
func (c *clientConn) sendStream(ctx context.Context, s *stream, open openMessage, body *core.BodySource) (sent bool, err error) {
	if !c.send(typeOpen, open) {
		return false, nil
	}
	credit := s.takeBodyCredit(ctx, core.MaxChunkBytes)
	if credit == 0 {
		return true, nil
	}
	buffer := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(buffer)
	digest, length := xxhash.New(), int64(0)
	for ; credit > 0; credit = s.takeBodyCredit(ctx, core.MaxChunkBytes) {
		n, err := body.Read((*buffer)[:credit])
		s.returnBodyCredit(credit - n)
		if n > 0 {
			_, _ = digest.Write((*buffer)[:n]) // Digest.Write never returns an error
			length += int64(n)
			if !c.send(typeBody, bodyMessage{Sequence: s.sequence, Bytes: (*buffer)[:n]}) {
				return false, nil
			}
		}
		if errors.Is(err, io.EOF) {
			return c.send(typeBodyEnd, bodyEndMessage{
				Sequence: s.sequence,
				Length:   length,
				Checksum: digest.Sum64(),
			}), nil
		}
		if err != nil {
			return true, err
		}
	}
	return true, nil
}

// awaitStreams waits until it is known whether the peer receives streamed bodies.
func (c *clientConn) awaitStreams(ctx context.Context) error {
	select {
	case <-c.welcomed:
	case <-c.done:
		return errUnsent
	case <-ctx.Done():
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.streamsBodies {
		return errNoStreams
	}
	return nil
}

// abandonBody cancels an attempt whose body could not be read to its end. The call has not run if the peer says so; an answer that came
// before is of no use to a caller that does not send its body.
func (s *stream) abandonBody(ctx context.Context, sourceErr error) (*core.Answer, core.Outcome, error) {
	answer, refusal, _ := s.abandon(ctx, true)
	if answer != nil {
		_ = answer.Body.Close()
	}
	if refusal != nil && refusal.Outcome == core.OutcomeNotRun {
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause:  core.CauseMalformedCall,
			Detail: sourceErr.Error(),
		}
	}
	return nil, core.OutcomeUnknown, sourceErr
}
