package callerhttp

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
)

const (
	// maxKeptBodyBytes is the length up to which a body is kept, so that the call can be retried. A longer one is passed on while it
	// arrives, and takes streamBytes.
	maxKeptBodyBytes = 1 << 20
	streamBytes      = 2 * core.MaxChunkBytes
	// defaultStallTimeout is how long a body that is passed on may pause if the configuration declares no idle timeout. The call holds
	// a slot of its backend server meanwhile.
	defaultStallTimeout = 10 * time.Second

	errBodyTooLong = errors.ConstError("body is over the limit")
)

// bodyReader reads the body of a request into a call.
type bodyReader struct {
	request      *http.Request
	controller   *http.ResponseController
	limit        int64
	stallTimeout time.Duration
	// reserve takes memory until the request ends, or returns false.
	reserve func(bytes int64) bool
}

// readInto keeps the body if it is short, and passes on the reader of a long one. It refuses a body that is incomplete or too long, or
// for which there is no memory.
func (b bodyReader) readInto(call *core.Call) *core.Refusal {
	length := b.request.ContentLength
	switch {
	case length == 0:
		return nil
	case length > b.limit:
		return b.tooLong()
	case length > maxKeptBodyBytes:
		return b.stream(call, b.request.Body)
	case length > 0 && !b.reserve(length):
		return bodiesFull()
	}
	_ = b.controller.SetReadDeadline(call.Deadline) // fails only on a closed connection
	var kept bytes.Buffer
	kept.Grow(int(max(length, 0)))
	for {
		if length < 0 && !b.reserve(core.MaxChunkBytes) {
			return bodiesFull()
		}
		_, err := io.CopyN(&kept, b.request.Body, core.MaxChunkBytes)
		switch {
		case int64(kept.Len()) > b.limit:
			return b.tooLong()
		case err == io.EOF:
			call.Body = kept.Bytes()
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return newRefusal(core.CauseDeadline, "the body did not arrive in time")
		case err != nil:
			return newRefusal(core.CauseMalformedCall, errors.Annotate(err, "read body").Error())
		case kept.Len() >= maxKeptBodyBytes && length < 0:
			return b.stream(call, &limitedReader{
				Reader: io.MultiReader(&kept, b.request.Body),
				left:   b.limit,
			})
		}
	}
}

func (b bodyReader) stream(call *core.Call, body io.Reader) *core.Refusal {
	if !b.reserve(streamBytes) {
		return bodiesFull()
	}
	call.Source = core.NewBodySource(&steadyReader{
		Reader:       body,
		controller:   b.controller,
		deadline:     call.Deadline,
		stallTimeout: b.stallTimeout,
	}, b.request.ContentLength)
	return nil
}

func (b bodyReader) tooLong() *core.Refusal {
	return newRefusal(core.CauseTooLarge, "body is over "+strconv.FormatInt(b.limit, 10)+" bytes")
}

func bodiesFull() *core.Refusal {
	return newRefusal(core.CauseQueueFull, "no memory for more request bodies")
}

// steadyReader fails if the caller sends nothing for stallTimeout, or at the deadline.
type steadyReader struct {
	io.Reader
	controller   *http.ResponseController
	deadline     time.Time
	stallTimeout time.Duration
}

// Read implements io.Reader.
func (s *steadyReader) Read(target []byte) (int, error) {
	_ = s.controller.SetReadDeadline(earliest(s.deadline, time.Now().Add(s.stallTimeout))) // fails only on a closed connection
	return s.Reader.Read(target)
}

// limitedReader returns errBodyTooLong after left bytes if more follow.
type limitedReader struct {
	io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(target []byte) (int, error) {
	n, err := l.Reader.Read(target)
	if l.left -= int64(n); l.left < 0 {
		return 0, errBodyTooLong
	}
	return n, err
}
