package nodepeer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"parsleyport/core"
)

// Errors of reading an answer's body. None of them is io.EOF, so that a partial body cannot pass for a complete one.
const (
	// ErrTruncated means that the body ended before its end message, or that the server could not read or send all of it.
	ErrTruncated = errors.ConstError("answer body was cut off")
	// ErrCorrupted means that the length or checksum of the body differs from that in its end message.
	ErrCorrupted = errors.ConstError("answer body is corrupted")
)

// stream is one attempt at the dialer. The connection's reader adds messages to it, and one goroutine of the caller consumes
// them.
type stream struct {
	conn     *clientConn
	sequence uint64
	cancel   context.CancelFunc
	changed  chan struct{} // has one element after a message was added

	mu          sync.Mutex
	head        *headMessage
	refused     *refusedMessage
	chunks      [][]byte
	unreadBytes int // bytes in chunks
	end         *answerEndMessage
	closed      bool
	bodyCredit  int    // bytes of the call's body that may be sent
	onStuck     func() // nil once it was called
}

func newStream(c *clientConn, sequence uint64, cancel context.CancelFunc) *stream {
	return &stream{
		conn:     c,
		sequence: sequence,
		cancel:   cancel,
		changed:  make(chan struct{}, 1),
	}
}

func (s *stream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *stream) setHead(message headMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head != nil || message.Status < http.StatusOK || message.Status > maxStatus {
		return errors.Annotatef(errProtocol, "repeated or invalid head of sequence %d", s.sequence)
	}
	s.head = &message
	if message.Whole {
		s.chunks = append(s.chunks, message.Body)
		s.end = &answerEndMessage{
			Length:   message.Length,
			Checksum: message.Checksum,
		}
		s.conn.remove(s.sequence)
	}
	s.signal()
	return nil
}

func (s *stream) addChunk(bytes []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadBytes += len(bytes)
	if s.head == nil || s.unreadBytes > answerWindowBytes {
		return errors.Annotatef(errProtocol, "answer body before the head or beyond the window of sequence %d", s.sequence)
	}
	s.chunks = append(s.chunks, bytes)
	s.signal()
	return nil
}

func (s *stream) setEnd(message answerEndMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head == nil {
		return errors.Annotatef(errProtocol, "answer end before the head of sequence %d", s.sequence)
	}
	s.end = &message
	s.conn.remove(s.sequence)
	s.signal()
	return nil
}

func (s *stream) setRefused(message refusedMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head != nil {
		return errors.Annotatef(errProtocol, "refusal of sequence %d after its head", s.sequence)
	}
	s.refused = &message
	s.conn.remove(s.sequence)
	s.signal()
	return nil
}

// notifyStuck sets what is called, once, when the peer reports that the attempt looks stuck.
func (s *stream) notifyStuck(notify func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onStuck = notify
}

// setStuck passes on the first notice that the attempt looks stuck, unless its result has arrived.
func (s *stream) setStuck() error {
	s.mu.Lock()
	notify := s.onStuck
	s.onStuck = nil
	ended := s.head != nil || s.refused != nil
	s.mu.Unlock()
	if notify != nil && !ended {
		notify()
	}
	return nil
}

// await waits for the head or the refusal. Its error is errPeerLost or the context's error.
func (s *stream) await(ctx context.Context, idempotent bool) (*core.Answer, *refusedMessage, error) {
	for {
		s.mu.Lock()
		head, refused := s.head, s.refused
		s.mu.Unlock()
		if refused != nil {
			return nil, refused, nil
		}
		if head != nil {
			return s.answer(ctx, head), nil, nil
		}
		select {
		case <-s.changed:
		case <-s.conn.done:
			if s.hasResult() {
				continue
			}
			return nil, nil, errPeerLost
		case <-ctx.Done():
			return s.abandon(ctx, idempotent)
		}
	}
}

func (s *stream) addBodyCredit(bytes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes <= 0 || s.bodyCredit+bytes > maxBodyBytes {
		return errors.Annotatef(errProtocol, "body credit of %d bytes for sequence %d", bytes, s.sequence)
	}
	s.bodyCredit += bytes
	s.signal()
	return nil
}

// returnBodyCredit returns credit that was taken and not used.
func (s *stream) returnBodyCredit(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodyCredit += bytes
}

// takeBodyCredit waits until bytes of the body may be sent and returns their number, at most the given one. It returns zero if the
// attempt has a result already, or the connection or the context has ended.
func (s *stream) takeBodyCredit(ctx context.Context, most int) int {
	for {
		s.mu.Lock()
		taken := min(s.bodyCredit, most)
		s.bodyCredit -= taken
		ended := s.head != nil || s.refused != nil
		s.mu.Unlock()
		switch {
		case ended:
			s.signal() // await reads the result
			return 0
		case taken > 0:
			return taken
		}
		select {
		case <-s.changed:
		case <-s.conn.done:
			return 0
		case <-ctx.Done():
			return 0
		}
	}
}

func (s *stream) hasResult() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head != nil || s.refused != nil
}

// abandon cancels the attempt and waits up to cancelReplyTimeout for the peer's reply that it has not run. An answer that arrives
// meanwhile and is complete is returned; its call has run, so that waiting any longer would only delay its caller. For a call that may
// be repeated, the reply matters less than an answer in time, so that the wait is shorter.
func (s *stream) abandon(ctx context.Context, idempotent bool) (*core.Answer, *refusedMessage, error) {
	defer s.conn.remove(s.sequence)
	s.conn.send(typeCancel, sequenceMessage{
		Sequence: s.sequence,
	})
	timeout := cancelReplyTimeout
	if idempotent {
		timeout = idempotentCancelReplyTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		head, refused, complete := s.head, s.refused, s.end != nil
		s.mu.Unlock()
		switch {
		case refused != nil:
			return nil, refused, nil
		case head != nil && complete:
			return s.answer(ctx, head), nil, nil
		case head != nil:
			return nil, nil, ctx.Err()
		}
		select {
		case <-s.changed:
		case <-s.conn.done:
			return nil, nil, ctx.Err()
		case <-timer.C:
			return nil, nil, ctx.Err()
		}
	}
}

func (s *stream) answer(ctx context.Context, head *headMessage) *core.Answer {
	return &core.Answer{
		Status: head.Status,
		Header: http.Header(head.Header),
		Load:   head.Load.decode(head.FreeInUS),
		Body: &answerBody{
			stream: s,
			ctx:    ctx,
			digest: xxhash.New(),
		},
	}
}

// answerBody reads the body of an answer and verifies its length and checksum before it returns io.EOF.
type answerBody struct {
	stream          *stream
	ctx             context.Context
	digest          *xxhash.Digest
	length          int64
	chunk           []byte
	uncreditedBytes int // bytes read since the latest credit message
	err             error
}

// Read implements io.Reader.
func (b *answerBody) Read(target []byte) (int, error) {
	for len(b.chunk) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.chunk, b.err = b.stream.next(b.ctx, b)
	}
	n := copy(target, b.chunk)
	b.chunk = b.chunk[n:]
	_, _ = b.digest.Write(target[:n]) // Digest.Write never returns an error
	b.length += int64(n)
	b.returnCredit(n)
	return n, nil
}

func (b *answerBody) returnCredit(n int) {
	b.uncreditedBytes += n
	if b.uncreditedBytes < answerWindowBytes/2 {
		return
	}
	b.stream.mu.Lock()
	ended := b.stream.end != nil
	b.stream.unreadBytes -= b.uncreditedBytes
	b.stream.mu.Unlock()
	if !ended {
		b.stream.conn.send(typeCredit, creditMessage{
			Sequence: b.stream.sequence,
			Bytes:    b.uncreditedBytes,
		})
	}
	b.uncreditedBytes = 0
}

func (b *answerBody) verify(end *answerEndMessage) error {
	switch {
	case end.Fault != "":
		return errors.Annotate(ErrTruncated, end.Fault)
	case end.Length != b.length || end.Checksum != b.digest.Sum64():
		return errors.Annotatef(ErrCorrupted, "%d bytes, expected %d", b.length, end.Length)
	}
	return io.EOF
}

func (s *stream) next(ctx context.Context, b *answerBody) ([]byte, error) {
	for {
		s.mu.Lock()
		if len(s.chunks) > 0 {
			chunk := s.chunks[0]
			s.chunks = s.chunks[1:]
			s.mu.Unlock()
			return chunk, nil
		}
		end := s.end
		s.mu.Unlock()
		if end != nil {
			return nil, b.verify(end)
		}
		select {
		case <-s.changed:
			continue
		default:
		}
		select {
		case <-s.changed:
		case <-s.conn.done:
			if s.hasBodyEvent() {
				continue
			}
			return nil, errors.Annotate(ErrTruncated, errPeerLost.Error())
		case <-ctx.Done():
			return nil, errors.Annotate(ErrTruncated, ctx.Err().Error())
		}
	}
}

func (s *stream) hasBodyEvent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.chunks) > 0 || s.end != nil
}

// Close implements io.Closer. It cancels the attempt if its answer has not ended.
func (b *answerBody) Close() error {
	s := b.stream
	s.mu.Lock()
	unfinished := s.end == nil && !s.closed
	s.closed = true
	s.chunks = nil
	s.mu.Unlock()
	if unfinished {
		s.conn.remove(s.sequence)
		s.conn.send(typeCancel, sequenceMessage{
			Sequence: s.sequence,
		})
	}
	s.cancel()
	return nil
}
