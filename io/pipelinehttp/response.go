package pipelinehttp

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// outputBytes is the size of an output buffer. It holds the whole answer to a usual read, which is then sent with one write.
	outputBytes = 8 << 10
	// maxCountedBody is the most of a body of unknown length that is buffered so that its length can be stated; as in net/http.
	maxCountedBody = 2 << 10
	sniffedBytes   = 512
)

var bufferPool = sync.Pool{
	New: func() any { return new([outputBytes]byte) },
}

func getBuffer() []byte { return bufferPool.Get().(*[outputBytes]byte)[:0] }

// putBuffer returns a buffer to the pool, unless it has grown.
func putBuffer(buffer []byte) {
	if cap(buffer) == outputBytes {
		bufferPool.Put((*[outputBytes]byte)(buffer[:outputBytes]))
	}
}

// response is a request with its answer. It implements http.ResponseWriter, http.Flusher and the methods that
// http.ResponseController looks for.
type response struct {
	entry
	c      *connection
	req    *http.Request
	ctx    context.Context
	cancel context.CancelFunc
	body   *body   // nil if the request has none
	memory holding // until the answer has been written
	alone  bool    // no other request of the connection was in progress when this one was read

	// Owned by the handler.
	header        http.Header
	status        int   // zero until WriteHeader
	contentLength int64 // stated by the handler, or -1
	written       int64 // bytes of the body
	committed     bool  // the head of the answer is complete in out
	chunked       bool
	hasType       bool
	hasEncoding   bool
	hasDate       bool
	wantsClose    bool
	counted       []byte // beginning of a body of unknown length, until the head is committed

	// Guarded by c.mu.
	out           []byte // output that has not been written
	reserved      int64  // bytes of out that were reserved in addition to the first buffer
	held          int64  // bytes of out that are counted as waiting for an earlier answer
	flushed       bool   // out is to be written when it is this answer's turn
	aborted       bool   // the handler has panicked
	truncated     bool   // the body is shorter than the length stated
	endsWithClose bool   // the end of the connection is the end of the body
	writeDeadline time.Time
	answerTimer   *time.Timer // see SetAnswerBy; nil if it is not needed
}

func newResponse(c *connection, parsed parsedRequest, memory holding, bodyDeadline time.Time) *response {
	r := &response{
		c:             c,
		req:           parsed.Request,
		memory:        memory,
		header:        make(http.Header),
		contentLength: -1,
	}
	r.owner = r
	r.ctx, r.cancel = context.WithCancel(c.ctx)
	latest := time.Time{}
	if c.server.options.Limits.RequestTimeout > 0 {
		latest = bodyDeadline
	}
	if parsed.chunked != nil || parsed.ContentLength > 0 {
		r.body = &body{
			c:              c,
			r:              r,
			deadline:       bodyDeadline,
			latest:         latest,
			expectContinue: parsed.ProtoAtLeast(1, 1) && expectsContinue(parsed.Request),
			remaining:      max(parsed.ContentLength, 0),
		}
		if parsed.chunked != nil {
			r.body.chunked = parsed.Body
			parsed.chunked.body = &chunkedSource{
				b: r.body,
				counter: chunkCounter{
					limit: c.server.limits.ChunkExtraBytes,
				},
			}
		}
	}
	return r
}

// serve runs the handler. It is called by a worker.
func (r *response) serve() {
	defer r.cancel()
	req := r.req.WithContext(r.ctx)
	req.RemoteAddr = r.c.remote()
	req.Body = http.NoBody
	if r.body != nil {
		req.Body = r.body
	}
	if !r.runHandler(req) {
		r.abort()
		return
	}
	r.finish()
}

// runHandler returns false if the handler has panicked.
func (r *response) runHandler(req *http.Request) (returned bool) {
	defer func() {
		if returned {
			return
		}
		if err := recover(); err != http.ErrAbortHandler {
			r.c.server.options.Logger.Error().Str("event", "handler-panic").Interface("panic", err).Bytes("stack", debug.Stack()).Msg("handler panicked")
		}
	}()
	if req.RequestURI == "*" && req.Method == http.MethodOptions {
		r.header.Set("Content-Length", "0")
		return true
	}
	r.c.server.options.Handler.ServeHTTP(r, req)
	return true
}

// finish completes the answer after the handler has returned.
func (r *response) finish() {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if !r.committed {
		r.commit(true)
	}
	if r.body != nil {
		r.body.end()
	}
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.chunked {
		r.append("0\r\n\r\n")
	}
	if r.req.Method != http.MethodHead && r.bodyAllowed() && r.contentLength >= 0 && r.written != r.contentLength {
		r.truncated = true
		r.endOrder()
	}
	r.done = true
	r.hold()
	c.advance()
}

// abort ends the connection after the answers before this one.
func (r *response) abort() {
	if r.body != nil {
		r.body.end()
	}
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	r.done, r.aborted = true, true
	r.endOrder()
	c.advance()
}

// endOrder cancels the requests behind this one, because their answers cannot be delivered. c.mu must be held.
func (r *response) endOrder() {
	r.c.dropWaiting()
	for _, behind := range r.c.order.endAt(&r.entry) {
		behind.owner.cancel()
	}
	r.c.changed.Broadcast()
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic("invalid status " + strconv.Itoa(status))
	}
	if r.status != 0 {
		return
	}
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.out == nil {
		r.out = getBuffer()
	}
	r.out = appendStatusLine(r.out, r.req.ProtoMinor, status)
	if status < 200 && status != http.StatusSwitchingProtocols {
		r.appendHeader(nil)
		r.append("\r\n")
		r.flushed = true
		c.advance()
		return
	}
	r.status = status
	r.appendHeader(r.note)
}

// appendHeader appends the header lines that the handler has set. It skips those for which skip returns true.
func (r *response) appendHeader(skip func(name string, values []string) bool) {
	for name, values := range r.header {
		if !validName(name) || skip != nil && skip(name, values) {
			continue
		}
		for _, value := range values {
			r.out = append(r.out, name...)
			r.out = append(r.out, ": "...)
			r.out = appendValue(r.out, value)
			r.out = append(r.out, "\r\n"...)
		}
	}
}

// note takes over what a header line means for the framing, and returns true if commit writes the line.
func (r *response) note(name string, values []string) bool {
	switch name {
	case "Content-Length":
		length, err := strconv.ParseInt(strings.TrimSpace(strings.Join(values, ",")), 10, 64)
		if err == nil && length >= 0 && r.bodyAllowed() {
			r.contentLength = length
		}
		return true
	case "Transfer-Encoding":
		return true
	case "Connection":
		r.wantsClose = hasToken(values, "close")
		return r.wantsClose
	case "Content-Type":
		r.hasType = true
		return r.status == http.StatusNotModified // as net/http does
	case "Content-Encoding":
		r.hasEncoding = len(values) > 0 && values[0] != ""
	case "Date":
		r.hasDate = true
	}
	return false
}

func hasToken(values []string, token string) bool {
	for _, value := range values {
		for each := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(each), token) {
				return true
			}
		}
	}
	return false
}

// appendValue appends a header value. Line ends become spaces, so that a value cannot add lines to the answer.
func appendValue(out []byte, value string) []byte {
	begin := len(out)
	out = append(out, strings.Trim(value, " \t\r\n")...)
	for i, b := range out[begin:] {
		if b == '\r' || b == '\n' {
			out[begin+i] = ' '
		}
	}
	return out
}

func (r *response) bodyAllowed() bool {
	return r.status >= 200 && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// commit completes the head of the answer and adds the part of the body that was kept to count it. The body is complete if the handler
// has returned.
func (r *response) commit(returned bool) {
	r.committed = true
	c := r.c
	isHead := r.req.Method == http.MethodHead
	closes := r.wantsClose || r.req.Close || r.body != nil && !r.body.discardable()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.hasDate {
		r.append(c.server.dateNow())
	}
	if r.bodyAllowed() && !r.hasType && !r.hasEncoding && len(r.counted) > 0 {
		r.append("Content-Type: ")
		r.append(http.DetectContentType(r.counted[:min(len(r.counted), sniffedBytes)]))
		r.append("\r\n")
	}
	if returned && r.contentLength < 0 && r.bodyAllowed() && (!isHead || len(r.counted) > 0) {
		r.contentLength = int64(len(r.counted))
	}
	switch {
	case !r.bodyAllowed():
	case r.contentLength >= 0:
		r.append("Content-Length: ")
		r.out = appendInt(r.out, r.contentLength)
		r.append("\r\n")
	case isHead:
	case r.req.ProtoAtLeast(1, 1):
		r.chunked = true
		r.append("Transfer-Encoding: chunked\r\n")
	default:
		closes, r.endsWithClose = true, true
	}
	closes = c.order.closeWith(&r.entry, closes || c.server.draining.Load())
	switch {
	case closes && (r.wantsClose || r.req.ProtoAtLeast(1, 1)):
		c.lingers = !r.req.Close
		r.append("Connection: close\r\n")
	case !closes && !r.req.ProtoAtLeast(1, 1):
		r.append("Connection: keep-alive\r\n")
	}
	r.append("\r\n")
	if len(r.counted) > 0 && !isHead {
		r.appendBody(r.counted)
	}
	r.counted = nil
}

// Write implements io.Writer.
func (r *response) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !r.bodyAllowed() {
		return 0, http.ErrBodyNotAllowed
	}
	if r.written += int64(len(p)); r.contentLength >= 0 && r.written > r.contentLength {
		return 0, http.ErrContentLength
	}
	if !r.committed {
		if r.contentLength < 0 && len(r.counted)+len(p) <= maxCountedBody {
			r.counted = append(r.counted, p...)
			return len(p), nil
		}
		r.commitBefore(p)
	}
	if r.req.Method == http.MethodHead {
		return len(p), nil
	}
	return r.emit(p)
}

// commitBefore completes the head of the answer. The type of the body is detected from its beginning, which may be in p.
func (r *response) commitBefore(p []byte) {
	kept := len(r.counted)
	if !r.hasType && !r.hasEncoding && kept < sniffedBytes {
		kind := http.DetectContentType(append(r.counted[:kept:kept], p[:min(len(p), sniffedBytes)]...))
		r.hasType = true
		r.c.mu.Lock()
		r.append("Content-Type: " + kind + "\r\n")
		r.c.mu.Unlock()
	}
	r.commit(false)
}

// append appends to the output. c.mu must be held.
func (r *response) append(text string) {
	if r.out == nil {
		r.out = getBuffer()
	}
	r.out = append(r.out, text...)
}

// appendBody appends a part of the body. c.mu must be held.
func (r *response) appendBody(p []byte) {
	if r.out == nil {
		r.out = getBuffer()
	}
	if r.chunked {
		r.out = strconv.AppendInt(r.out, int64(len(p)), 16)
		r.out = append(r.out, "\r\n"...)
	}
	r.out = append(r.out, p...)
	if r.chunked {
		r.out = append(r.out, "\r\n"...)
	}
}

// emit adds a part of the body to the output, and writes the output if it is long and it is this answer's turn.
func (r *response) emit(p []byte) (int, error) {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := r.awaitRoom(len(p)); err != nil {
		return 0, err
	}
	if !c.order.isFront(&r.entry) || len(r.out)+len(p) <= outputBytes {
		r.appendBody(p)
		r.hold()
		return len(p), nil
	}
	for c.writing && !c.broken { // the output before this answer's turn
		c.changed.Wait()
	}
	if c.broken {
		return 0, errAborted
	}
	if r.chunked {
		if r.out == nil {
			r.out = getBuffer()
		}
		r.out = strconv.AppendInt(r.out, int64(len(p)), 16)
		r.out = append(r.out, "\r\n"...)
	}
	if err := c.writeOut(r, p); err != nil {
		return 0, err
	}
	if r.chunked {
		r.append("\r\n")
	}
	return len(p), nil
}

// awaitRoom waits until it is this answer's turn, or there is room for bytes that wait for it. c.mu must be held.
func (r *response) awaitRoom(bytes int) error {
	c := r.c
	var timer *time.Timer
	for {
		if c.broken || c.order.isBehindEnd(&r.entry) {
			return errAborted
		}
		if c.order.isFront(&r.entry) || r.mayWait(bytes) {
			return nil
		}
		if !r.writeDeadline.IsZero() {
			left := time.Until(r.writeDeadline)
			if left <= 0 {
				return os.ErrDeadlineExceeded
			}
			if timer == nil {
				timer = time.AfterFunc(left, c.changed.Broadcast)
				defer timer.Stop()
			}
		}
		c.changed.Wait()
	}
}

// mayWait reports whether there is room for bytes that wait for an earlier answer, and reserves them. c.mu must be held.
func (r *response) mayWait(bytes int) bool {
	c, limits, added := r.c, &r.c.server.limits, int64(bytes)
	if c.heldBytes+added > limits.ConnectionWaitingBytes || c.server.heldBytes.Load()+added > limits.WaitingBytes {
		return false
	}
	more := int64(len(r.out)) + added - outputBytes - r.reserved
	if more <= 0 {
		return true
	}
	if !r.memory.reserve(more, false) {
		return false
	}
	r.reserved += more
	return true
}

// hold counts output that waits for an earlier answer. c.mu must be held.
func (r *response) hold() {
	if r.c.order.isFront(&r.entry) {
		return
	}
	added := int64(len(r.out)) - r.held
	r.held += added
	r.c.heldBytes += added
	r.c.server.heldBytes.Add(added)
	r.flushed = r.flushed || len(r.out) > outputBytes
}

// release ends the count of hold. c.mu must be held.
func (r *response) release() {
	r.c.heldBytes -= r.held
	r.c.server.heldBytes.Add(-r.held)
	r.held = 0
}

// dropOutput discards output that cannot be written. c.mu must be held.
func (r *response) dropOutput() {
	r.release()
	r.out, r.flushed = nil, false
}

// Flush implements http.Flusher.
func (r *response) Flush() { _ = r.FlushError() }

// FlushError writes the output if it is this answer's turn. If it is not, the output is written when its turn comes.
func (r *response) FlushError() error {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if !r.committed {
		r.commit(false)
	}
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	r.flushed = true
	r.hold()
	c.advance()
	if c.broken {
		return errAborted
	}
	return nil
}

// writeContinue tells the caller to send the body.
func (r *response) writeContinue() error {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return errAborted
	}
	if r.status != 0 {
		return nil // the answer has begun
	}
	r.append("HTTP/1.1 100 Continue\r\n\r\n")
	return c.writeOut(r, nil)
}

// SetWriteDeadline sets the time until which the answer can be written. The zero time stands for Limits.WriteTimeout.
func (r *response) SetWriteDeadline(deadline time.Time) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.writeDeadline = deadline
	if r.c.broken {
		return errors.Trace(os.ErrClosed)
	}
	return nil
}

// SetReadDeadline sets the time until which the body must have arrived, in place of the default of Limits.RequestTimeout. A limit that was
// set applies if it is earlier.
func (r *response) SetReadDeadline(deadline time.Time) error {
	if r.body == nil {
		return nil
	}
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if latest := r.body.latest; !latest.IsZero() && latest.Before(deadline) {
		deadline = latest
	}
	r.body.deadline = deadline
	return nil
}

// appendStatusLine appends a status line. Statuses without a known text get the same text as in net/http.
func appendStatusLine(out []byte, protoMinor, status int) []byte {
	out = append(out, "HTTP/1."...)
	out = appendInt(out, int64(min(protoMinor, 1)))
	out = append(out, ' ')
	out = appendInt(out, int64(status))
	out = append(out, ' ')
	if text := http.StatusText(status); text != "" {
		out = append(out, text...)
	} else {
		out = append(out, "status code "...)
		out = appendInt(out, int64(status))
	}
	return append(out, "\r\n"...)
}

func appendInt(out []byte, number int64) []byte { return strconv.AppendInt(out, number, 10) }
