package pipelinehttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// lingerTime is how long a connection stays open for reading after its last answer if there are unread bytes. Closing it at once
	// would send a reset, which can make the caller lose the answer.
	lingerTime = 500 * time.Millisecond
)

var errAborted = errors.ConstError("an earlier answer of the connection was aborted")

type connectionKey struct{}

// connectionContext is the root of the contexts of a connection's requests.
type connectionContext struct {
	context.Context
	c *connection
}

func (c connectionContext) Value(key any) any {
	if key == (connectionKey{}) {
		return c.c
	}
	return c.Context.Value(key)
}

// connection is one connection of a caller. One goroutine reads requests; the requests run on the server's workers.
type connection struct {
	server *Server
	rwc    net.Conn
	// address is the IP address of the caller, zero if the connection is no socket.
	address netip.Addr
	socket  syscall.RawConn // nil if the connection is no socket
	ctx     context.Context
	cancel  context.CancelFunc

	remoteOnce sync.Once
	remoteText string

	// Owned by the reader, or by the request whose body is being read.
	store        []byte // read buffer
	begin, end   int    // of the unread bytes in store
	readDeadline time.Time
	bodyDone     chan struct{}
	unread       bool // the caller may have sent bytes that were not read

	mu            sync.Mutex // guards the fields below
	changed       *sync.Cond
	order         order
	reading       bool // bytes of the next request have arrived
	answered      bool // a request was answered
	watching      bool // the reader must be woken when at most wakeAt requests are left
	wakeAt        int
	writing       bool // a goroutine writes to the connection
	writeDeadline time.Time
	idleSince     time.Time
	ended         bool // all answers have been written and the reader must close the connection
	broken        bool // nothing can be written any more
	resets        bool // closing the connection resets it
	lingers       bool // the caller may send further requests before it reads that the connection closes
	heldBytes     int64
	growth        holding   // of the read buffer
	headSince     time.Time // when the head that is being read has begun
	evicted       bool      // closed because there is no memory for its head
}

func newConnection(s *Server, rwc net.Conn) *connection {
	c := &connection{
		server:    s,
		rwc:       rwc,
		address:   addressOf(rwc.RemoteAddr()),
		idleSince: time.Now(),
		bodyDone:  make(chan struct{}, 1),
		growth: holding{
			account: s.account,
		},
		order: order{
			limit: s.limits.ConcurrentRequests,
		},
	}
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(connectionContext{
		Context: context.Background(),
		c:       c,
	})
	if socket, isSocket := rwc.(syscall.Conn); isSocket {
		c.socket, _ = socket.SyscallConn() // fails only on a closed connection
	}
	return c
}

// serve reads requests until the connection ends.
func (c *connection) serve() {
	c.store = make([]byte, readBufferBytes)
	for c.serveNext() {
	}
	c.mu.Lock()
	c.ended = true // it is not a candidate for closing any more
	c.dropWaiting()
	for len(c.order.entries) > 0 {
		c.changed.Wait()
	}
	c.growth.release()
	lingers := !c.broken && (c.lingers || c.unread || c.begin < c.end)
	c.mu.Unlock()
	c.cancel()
	if lingers {
		c.linger()
	}
	_ = c.rwc.Close()
	c.server.remove(c)
}

// serveNext reads and starts one request. It returns false if no more requests can be read.
func (c *connection) serveNext() bool {
	if c.begin == c.end && !c.awaitBytes() {
		return false
	}
	if !c.watch(c.server.limits.ConcurrentRequests-1, c.mayGoOn) {
		return false
	}
	c.mu.Lock()
	closed := c.order.closed
	c.mu.Unlock()
	if closed {
		return c.finish()
	}
	startedAt := time.Now()
	limits, timeout := c.server.headLimits()
	head := headCounter{
		limits: limits,
	}
	status, ok := c.readHead(&head, startedAt.Add(timeout))
	if !ok {
		return false
	}
	if status != 0 {
		return c.refuse(status, &head)
	}
	memory := holding{
		account: c.server.account,
	}
	alone, waitedSince, ok := c.reserveRequest(&memory, &head)
	if !ok {
		return c.refuse(http.StatusServiceUnavailable, &head)
	}
	parsed, status := parseHead(c.store[c.begin:c.end], &head)
	if status != 0 {
		memory.release()
		return c.refuse(status, &head)
	}
	c.begin += head.endAt
	r := newResponse(c, parsed, memory, startedAt.Add(c.server.limits.RequestTimeout))
	r.alone = alone
	if !waitedSince.IsZero() {
		r.ctx = context.WithValue(r.ctx, readTimeKey{}, waitedSince)
	}
	return c.start(r)
}

// mayGoOn reports whether the next request may be read, or none will be. c.mu must be held.
func (c *connection) mayGoOn() bool { return c.order.mayRead() || c.order.closed }

// start adds a request to the order and runs it when that is allowed.
func (c *connection) start(r *response) bool {
	s := c.server
	r.concurrent = s.decider != nil && isSafe(r.req) && s.decider.Concurrent(r.req)
	r.closes = r.req.Close || len(r.req.TransferEncoding) > 0 || s.draining.Load()
	c.mu.Lock()
	if !c.order.mayRead() { // an answer has closed the connection
		r.memory.release()
		c.mu.Unlock()
		return c.finish()
	}
	if len(c.order.entries) > 0 && !s.pipelined.Load() {
		s.pipelined.Store(true)
	}
	c.order.add(&r.entry)
	c.reading = c.begin < c.end
	started := c.order.start(&r.entry)
	c.mu.Unlock()
	if !started {
		r.ctx = context.WithValue(r.ctx, readTimeKey{}, time.Now())
		if !c.watch(1, func() bool { return c.order.start(&r.entry) }) {
			return false
		}
	}
	s.run(r)
	if r.body != nil && !c.awaitBody(r.body) {
		return false
	}
	if r.closes {
		return c.finish()
	}
	return true
}

// awaitBody waits until the handler has read the body or has returned, and reads the rest of the body.
func (c *connection) awaitBody(b *body) bool {
	<-c.bodyDone
	if b.failed {
		c.unread = true
		if !errors.Is(b.err, os.ErrDeadlineExceeded) && !errors.Is(b.err, errChunkExtra) {
			c.disconnect()
			return false
		}
		return c.finish()
	}
	if b.chunked != nil || b.remaining == 0 {
		c.unread = b.err != io.EOF && b.chunked != nil
		return true
	}
	c.mu.Lock()
	closed := c.order.closed
	c.mu.Unlock()
	if closed {
		c.unread = true
		return c.finish()
	}
	rest := make([]byte, readBufferBytes)
	for b.remaining > 0 {
		n, err := c.readBody(rest[:min(b.remaining, readBufferBytes)], b.deadline)
		if b.remaining -= int64(n); err != nil {
			c.disconnect()
			return false
		}
	}
	return true
}

// refuse answers a request that cannot be read, after the requests before it.
func (c *connection) refuse(status int, head *headCounter) bool {
	r := &response{
		c: c,
	}
	r.owner, r.cancel = r, func() {}
	r.closes, r.started = true, true
	r.out = appendRefusal(nil, status)
	c.mu.Lock()
	if !c.order.mayRead() { // the request is treated as unread
		c.mu.Unlock()
		return c.finish()
	}
	c.order.add(&r.entry)
	c.mu.Unlock()
	c.unread = true
	c.server.options.OnRefused(c.rwc.RemoteAddr(), status, refusalCause(status, head))
	c.mu.Lock()
	r.done = true
	c.advance()
	c.mu.Unlock()
	return c.finish()
}

// finish waits until the requests that were read have been answered. It returns false.
func (c *connection) finish() bool {
	c.watch(0, c.order.ended)
	return false
}

// awaitBytes waits for the first bytes of the next request. It returns false if the connection has ended or was idle for too long.
func (c *connection) awaitBytes() bool {
	for {
		idleTimeout := c.server.idleTimeout()
		now := time.Now()
		c.mu.Lock()
		c.reading = false
		expiresAt := c.idleSince.Add(idleTimeout)
		switch {
		case !c.answered && len(c.order.entries) == 0:
			// The declared limit is only for heads: callers open connections in advance.
			expiresAt = c.idleSince.Add(c.server.limits.HeadTimeout)
		case len(c.order.entries) > 0:
			expiresAt = now.Add(idleTimeout)
		}
		if c.ended || !expiresAt.After(now) {
			c.order.closed, c.ended = true, true
			c.mu.Unlock()
			return false
		}
		// A deadline that is too early does no harm, and is cheaper than a new one for each request.
		if c.readDeadline.After(expiresAt) || !c.readDeadline.After(now) {
			c.setReadDeadline(expiresAt)
		}
		c.mu.Unlock()
		err := c.fill()
		if c.begin < c.end {
			c.mu.Lock()
			c.reading = true
			c.mu.Unlock()
			return true
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.disconnect()
			return false
		}
		c.readDeadline = time.Time{} // has passed, or was set to the past by wake
	}
}

// watch waits until a condition holds that depends on the requests in progress, and notices meanwhile when the caller disconnects.
// The condition must be checked again when at most wakeAt requests are left; it is called with c.mu held. It returns false if the
// caller has disconnected.
func (c *connection) watch(wakeAt int, condition func() bool) bool {
	for {
		c.mu.Lock()
		if condition() {
			c.watching = false
			c.mu.Unlock()
			return true
		}
		c.watching, c.wakeAt = true, wakeAt
		c.setReadDeadline(time.Time{})
		c.mu.Unlock()
		var err error
		if c.end-c.begin < len(c.store) {
			err = c.fill()
		} else {
			err = c.awaitHangup()
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.disconnect()
			return false
		}
	}
}

// awaitHangup waits until the caller has disconnected or the read deadline passes. The read buffer is full.
func (c *connection) awaitHangup() error {
	if c.socket == nil {
		c.mu.Lock()
		for c.watching {
			c.changed.Wait()
		}
		c.mu.Unlock()
		return nil
	}
	err := c.socket.Read(hungUp) // calls hungUp whenever the state of the socket has changed
	if err == nil {
		return io.EOF
	}
	return err
}

// hungUp reports whether the caller has closed its connection or its sending side, also if there are unread bytes before the end.
func hungUp(descriptor uintptr) bool {
	poll := []unix.PollFd{{
		Fd:     int32(descriptor),
		Events: unix.POLLRDHUP,
	}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Disconnected reports whether the caller of a request has closed its connection. The connection's reader finds this out on another
// goroutine, which may be too late if the process was suspended and has just read the request together with the end.
func Disconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || c.socket == nil {
		return false
	}
	disconnected := false
	err := c.socket.Control(func(descriptor uintptr) { disconnected = hungUp(descriptor) })
	return disconnected || err != nil // the connection was closed by this process
}

// Pipelined reports whether a caller of the request's server has sent a request on its connection before an earlier one was answered.
// It concerns all callers, since one that is about to pipeline has not done so on a new connection.
func Pipelined(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.server.pipelined.Load()
}

type readTimeKey struct{}

// ReadTime returns the time when a request was read, if it had to wait for others of its connection. The zero time stands for now.
func ReadTime(ctx context.Context) time.Time {
	at, _ := ctx.Value(readTimeKey{}).(time.Time)
	return at
}

// disconnect cancels all requests, because the caller has left. Their handlers may still write answers, as with net/http, since the
// caller may have closed only its sending side.
func (c *connection) disconnect() {
	c.mu.Lock()
	c.dropWaiting()
	c.mu.Unlock()
	c.cancel()
}

// readHead reads until a head is complete. It returns the status of a refusal, or false if the connection has ended.
func (c *connection) readHead(head *headCounter, deadline time.Time) (int, bool) {
	for first := true; ; first = false {
		complete, status := head.scan(c.store[c.begin:c.end])
		if complete || status != 0 {
			return status, true
		}
		c.mu.Lock()
		if first {
			c.setReadDeadline(deadline)
			c.headSince = time.Now()
		}
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return 0, false
		}
		if !c.makeRoom(head.limits.bytes) {
			return http.StatusServiceUnavailable, true
		}
		if err := c.fill(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.mu.Lock()
				if !c.ended {
					c.server.options.OnLimit(CauseHeadTimeout)
				}
				c.order.closed = true
				c.mu.Unlock()
				return 0, c.finish()
			}
			c.disconnect()
			return 0, false
		}
	}
}

// makeRoom grows a full read buffer, which holds at most limit bytes. It returns false if there is no memory.
func (c *connection) makeRoom(limit int) bool {
	if c.end-c.begin < len(c.store) {
		return true
	}
	size := min(2*len(c.store), max(limit+readBufferBytes, 2*readBufferBytes))
	if !c.reserveBuffer(size - len(c.store)) {
		return false
	}
	larger := make([]byte, size)
	c.end = copy(larger, c.store[c.begin:c.end])
	c.begin, c.store = 0, larger
	return true
}

// fill reads once. The read buffer must not be full.
func (c *connection) fill() error {
	if c.begin == c.end {
		c.begin, c.end = 0, 0
		if len(c.store) > readBufferBytes {
			c.store = make([]byte, readBufferBytes) // an idle connection holds no larger buffer
			c.mu.Lock()
			c.growth.release()
			c.mu.Unlock()
		}
	}
	if c.end == len(c.store) {
		c.end = copy(c.store, c.store[c.begin:c.end])
		c.begin = 0
	}
	n, err := c.rwc.Read(c.store[c.end:])
	c.end += n
	if n > 0 {
		return nil // an error occurs again at the next read
	}
	return err
}

// readBody reads bytes of a body.
func (c *connection) readBody(p []byte, deadline time.Time) (int, error) {
	if c.begin < c.end {
		n := copy(p, c.store[c.begin:c.end])
		c.begin += n
		return n, nil
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !c.readDeadline.Equal(deadline) {
		c.setReadDeadline(deadline)
	}
	return c.rwc.Read(p)
}

func (c *connection) setReadDeadline(deadline time.Time) {
	c.readDeadline = deadline
	_ = c.rwc.SetReadDeadline(deadline) // fails only on a closed connection
}

// linger closes the sending side and reads a part of what the caller still sends. It then waits for the caller to close: closing the
// connection with unread bytes would reset it, and a caller that still writes would lose the answer.
func (c *connection) linger() {
	half, canHalfClose := c.rwc.(interface{ CloseWrite() error })
	if !canHalfClose || half.CloseWrite() != nil {
		return
	}
	_ = c.rwc.SetReadDeadline(time.Now().Add(lingerTime))
	rest := c.store[:cap(c.store)]
	for left := maxDiscardedBytes; left > 0; {
		n, err := c.rwc.Read(rest)
		if left -= n; err != nil {
			return
		}
	}
	_ = c.awaitHangup()
}

// remote returns the address of the caller.
func (c *connection) remote() string {
	c.remoteOnce.Do(func() { c.remoteText = c.rwc.RemoteAddr().String() })
	return c.remoteText
}

// idle reports whether the connection has no request and no bytes of one. c.mu must be held.
func (c *connection) idle() bool { return len(c.order.entries) == 0 && !c.reading }

// endIfIdle ends an idle connection. c.mu must be held.
func (c *connection) endIfIdle() bool {
	if !c.idle() {
		return false
	}
	c.order.closed = true
	c.endReading()
	return true
}

// endReading makes the reader close the connection. c.mu must be held.
func (c *connection) endReading() {
	if !c.ended {
		c.ended = true
		c.wake()
	}
}

// wake interrupts the reader. c.mu must be held.
func (c *connection) wake() {
	c.watching = false
	_ = c.rwc.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.changed.Broadcast()
}

// advance writes the answers whose turn it is. c.mu must be held; it is released during writes.
func (c *connection) advance() {
	for !c.writing && len(c.order.entries) > 0 {
		r := c.order.entries[0].owner
		if c.broken {
			r.dropOutput()
		}
		switch {
		case r.aborted && !c.broken:
			c.fail()
		case len(r.out) > 0 && (r.done || r.flushed):
			c.writeOut(r, nil)
		case r.done && r.truncated && !c.broken:
			c.fail()
		case r.done:
			if r.endsWithClose && !c.broken {
				c.setReset(false)
			}
			c.popFront()
		default:
			return
		}
	}
}

// writeOut writes the output of the first request, and more after it. c.mu must be held; it is released during the write.
func (c *connection) writeOut(r *response, more []byte) error {
	out := r.out
	r.out, r.flushed = nil, false
	r.release()
	if r.endsWithClose {
		c.setReset(true)
	}
	c.writing = true
	now := time.Now()
	deadline := r.writeDeadline
	if deadline.IsZero() {
		deadline = now.Add(c.server.limits.WriteTimeout)
		// The previous deadline is kept while it leaves enough time, since setting one costs more than a look at the clock.
		if left := c.writeDeadline.Sub(now); left >= c.server.limits.WriteTimeout/2 && left <= c.server.limits.WriteTimeout {
			deadline = c.writeDeadline
		}
	}
	if !deadline.Equal(c.writeDeadline) {
		c.writeDeadline = deadline
		_ = c.rwc.SetWriteDeadline(deadline)
	}
	c.mu.Unlock()
	var err error
	switch {
	case len(more) == 0:
		_, err = c.rwc.Write(out)
	case len(out) == 0:
		_, err = c.rwc.Write(more)
	default:
		buffers := net.Buffers{out, more}
		_, err = buffers.WriteTo(c.rwc)
	}
	putBuffer(out)
	c.mu.Lock()
	c.writing = false
	c.idleSince = now
	if err != nil {
		c.fail()
	}
	c.changed.Broadcast()
	return err
}

// setReset decides how the connection ends from now on, also if the process is killed: with a reset while a part of a body has been written
// that ends with the connection, so that it cannot pass for the whole, and else in order. c.mu must be held.
func (c *connection) setReset(reset bool) {
	if c.resets == reset {
		return
	}
	c.resets = reset
	socket, isTCP := c.rwc.(interface{ SetLinger(seconds int) error })
	if !isTCP {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = socket.SetLinger(seconds) // fails only on a closed connection
}

// dropWaiting removes a request that has not started. c.mu must be held.
func (c *connection) dropWaiting() {
	if dropped := c.order.dropWaiting(); dropped != nil {
		dropped.owner.memory.release()
	}
}

// popFront removes the first request, which was answered. c.mu must be held.
func (c *connection) popFront() {
	r := c.order.entries[0].owner
	r.memory.release()
	if r.answerTimer != nil {
		r.answerTimer.Stop()
	}
	c.order.pop()
	c.answered = true
	switch {
	case c.order.ended():
		c.endReading()
	case c.watching && len(c.order.entries) <= c.wakeAt:
		c.wake()
	}
	c.changed.Broadcast()
}

// fail closes a connection to which no more can be written, and cancels its requests. c.mu must be held.
func (c *connection) fail() {
	if c.broken {
		return
	}
	c.broken, c.watching = true, false
	c.dropWaiting()
	c.cancel()
	_ = c.rwc.Close()
	c.changed.Broadcast()
}

// appendRefusal appends an answer of the server itself.
func appendRefusal(out []byte, status int) []byte {
	text := http.StatusText(status)
	out = appendStatusLine(out, 1, status)
	out = append(out, "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	out = appendInt(out, int64(len(text)+len("400 ")))
	out = append(out, "\r\n\r\n"...)
	out = appendInt(out, int64(status))
	out = append(out, ' ')
	return append(out, text...)
}
