package pipelinehttp

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxDiscardedBytes is the most of an unread body that is read in order to keep the connection. Beyond that, a new connection
	// costs the caller less. net/http has the same limit.
	maxDiscardedBytes = 256 << 10
	// defaultMaxChunkExtra bounds the chunk extensions and trailers of a request, which nothing uses.
	defaultMaxChunkExtra = 8 << 10
)

const (
	errChunkExtra      = errors.ConstError("chunk extensions and trailers are too long")
	errBodyUnavailable = errors.ConstError("request body read after the answer")
)

// body is the body of a request. While it is read, the connection's reader waits.
type body struct {
	c              *connection
	r              *response
	deadline       time.Time
	latest         time.Time // that a handler can set as the deadline, zero if any
	expectContinue bool      // the caller waits for a status 100 before it sends the body

	mu        sync.Mutex // guards the fields below
	remaining int64      // bytes that have not been read, of a body with a known length
	chunked   io.Reader  // decodes a chunked body; nil for others
	released  bool       // the connection's reader goes on
	failed    bool
	closed    bool
	err       error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.expectContinue {
		b.expectContinue = false
		if err := b.r.writeContinue(); err != nil {
			return 0, err
		}
	}
	var n int
	var err error
	if b.chunked != nil {
		n, err = b.chunked.Read(p)
	} else {
		n, err = b.c.readBody(p[:min(int64(len(p)), b.remaining)], b.deadline)
		b.remaining -= int64(n)
		switch {
		case b.remaining == 0:
			err = io.EOF
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil {
		b.err, b.failed = err, err != io.EOF
		b.release()
	}
	return n, err
}

// Close implements io.Closer. The connection reads the rest of the body when the request has ended.
func (b *body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// release lets the connection's reader go on. b.mu must be held.
func (b *body) release() {
	if !b.released {
		b.released = true
		b.c.bodyDone <- struct{}{}
	}
}

// end makes further reads fail.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = errBodyUnavailable
	}
	b.release()
}

// discardable reports whether the connection can be kept although the rest of the body has not been read.
func (b *body) discardable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chunked == nil && !b.failed && b.remaining <= maxDiscardedBytes && (!b.expectContinue || b.remaining == 0)
}

// chunkedSource reads the bytes of a chunked body and bounds its extensions and trailers.
type chunkedSource struct {
	b       *body
	counter chunkCounter
}

func (s *chunkedSource) Read(p []byte) (int, error) {
	n, err := s.b.c.readBody(p, s.b.deadline)
	if !s.counter.scan(p[:n]) {
		s.b.c.server.options.OnLimit(CauseChunkExtra)
		return 0, errChunkExtra
	}
	return n, err
}

// Parts of a chunked body.
const (
	chunkSize = iota
	chunkExtension
	chunkData
	chunkEnd
	chunkTrailer
)

// maxSizeDigits is the most digits of a chunk size that are not counted as an extension.
const maxSizeDigits = 16

// chunkCounter counts the bytes of a chunked body that are neither data nor framing.
type chunkCounter struct {
	limit  int
	extra  int
	part   int
	digits int
	left   uint64 // size of the chunk, then its bytes that are to come
}

// scan goes on with the next bytes. It returns false if the limit is exceeded.
func (s *chunkCounter) scan(data []byte) bool {
	for i := 0; i < len(data); i++ {
		switch b := data[i]; s.part {
		case chunkData:
			n := min(s.left, uint64(len(data)-i))
			s.left -= n
			i += int(n) - 1
			if s.left == 0 {
				s.part = chunkEnd
			}
		case chunkSize:
			digit, isDigit := hexDigit(b)
			switch {
			case b == '\n' && s.left == 0:
				s.part = chunkTrailer
			case b == '\n':
				s.part, s.digits = chunkData, 0
			case isDigit && s.digits < maxSizeDigits:
				s.left = s.left<<4 | digit
				s.digits++
			case b != '\r':
				s.part = chunkExtension
				s.extra++
			}
		case chunkEnd:
			if b == '\n' {
				s.part = chunkSize
			} else if b != '\r' {
				s.extra++
			}
		case chunkExtension:
			switch {
			case b != '\n':
				s.extra++
			case s.left == 0:
				s.part = chunkTrailer
			default:
				s.part, s.digits = chunkData, 0
			}
		default:
			s.extra++
		}
	}
	return s.extra <= s.limit
}

func hexDigit(b byte) (uint64, bool) {
	switch letter := b | 0x20; {
	case b >= '0' && b <= '9':
		return uint64(b - '0'), true
	case letter >= 'a' && letter <= 'f':
		return uint64(letter-'a') + 10, true
	}
	return 0, false
}
