package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"parsleyport/core/memory"
)

const (
	// maxConnections bounds the connections of one port. Its clients are a backend server, a monitoring system or a few operators.
	maxConnections = 128
	// descriptorShare is the share of the process's file descriptors that one port may use, as a divisor.
	descriptorShare = 8
	// refusalWriteTimeout and refusalDrainTimeout bound an answer to a head that exceeds a limit, and the wait for its client to
	// read it: a connection that is closed with unread bytes is reset, which discards the answer.
	refusalWriteTimeout = time.Second
	refusalDrainTimeout = 250 * time.Millisecond
	maxDrainedBytes     = 256 << 10
	// maxReadAhead is the number of bytes that a server of net/http may hold unread: its buffer, and the byte by which it notices
	// during a request that the client has left.
	maxReadAhead = 4<<10 + 1
	// unknownLength is the length of a body that is framed in chunks, or of a request whose handler has not been called.
	unknownLength = -1
)

// refusals holds the counters of all servers of the process.
var refusals = metrics.NewSet()

// WriteMetrics writes the counters of refused requests and connections of all servers of the process.
func WriteMetrics(w io.Writer) {
	refusals.WritePrometheus(w)
}

func countRefusal(port, cause string) {
	refusals.GetOrCreateCounter(fmt.Sprintf("parsleyport_http_refusals_total{port=%q,cause=%q}", port, cause)).Inc()
}

// LimitedListener bounds the connections of a server of net/http, and the heads of the requests on them. At the limit, a new connection
// replaces the oldest one without a request in progress.
type LimitedListener struct {
	net.Listener
	port           string
	maxConnections int
	heads          *memory.Budget

	mu          sync.Mutex // guards the fields below
	connections map[*limitedConnection]struct{}
	accepted    uint64
}

// NewLimitedListener wraps a listener; port names it in metrics. The server has to be prepared by Limit.
func NewLimitedListener(listener net.Listener, port string) *LimitedListener {
	return &LimitedListener{
		Listener:       listener,
		port:           port,
		maxConnections: connectionLimit(),
		heads:          memory.NewBudget(headBudgetBytes),
		connections:    make(map[*limitedConnection]struct{}),
	}
}

func connectionLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > descriptorShare*maxConnections {
		return maxConnections
	}
	return max(1, int(limit.Cur/descriptorShare))
}

// limitedConnection counts the heads of requests. The server reads and changes the fields that no lock guards on one goroutine at a
// time.
type limitedConnection struct {
	net.Conn
	listener *LimitedListener
	number   uint64
	inHead   bool // a head is expected or being read
	head     headCounter

	// afterHead counts the bytes that were received after the head, and latest holds the last of them: the server may have read a
	// part of the next head ahead.
	afterHead  int64
	latest     []byte
	bodyLength int64 // in bytes, or unknownLength
	limitErr   error // of a head that was read ahead, or net.ErrClosed
	reserved   int64 // of LimitedListener.heads; guarded by LimitedListener.mu
	busy       bool  // a request is in progress; guarded by LimitedListener.mu
}

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if connection := l.add(accepted); connection != nil {
			return connection, nil
		}
	}
}

// add returns nil if there are too many connections with requests in progress.
func (l *LimitedListener) add(accepted net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.connections) >= l.maxConnections && !l.closeOldest() {
		countRefusal(l.port, "connections")
		_ = accepted.Close()
		return nil
	}
	l.accepted++
	connection := &limitedConnection{
		Conn:       accepted,
		listener:   l,
		number:     l.accepted,
		inHead:     true,
		bodyLength: unknownLength,
	}
	l.connections[connection] = struct{}{}
	return connection
}

// closeOldest closes the oldest connection without a request in progress, and returns false if there is none. l.mu must be held.
func (l *LimitedListener) closeOldest() bool {
	var oldest *limitedConnection
	for each := range l.connections {
		if !each.busy && (oldest == nil || each.number < oldest.number) {
			oldest = each
		}
	}
	if oldest == nil {
		return false
	}
	countRefusal(l.port, "idle-connections")
	delete(l.connections, oldest)
	_ = oldest.Conn.Close()
	return true
}

type connectionKey struct{}

// Limit sets the server's ConnState and ConnContext, and wraps its Handler.
func (l *LimitedListener) Limit(server *http.Server) {
	next := server.Handler
	if next == nil {
		next = http.DefaultServeMux
	}
	server.ConnState = l.track
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, ok := r.Context().Value(connectionKey{}).(*limitedConnection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if err := connection.limitErr; err != nil {
			status, label := refusal(err)
			countRefusal(l.port, label)
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), status)
			return
		}
		connection.bodyLength = r.ContentLength // unknownLength in chunks
		if r.ContentLength == unknownLength {
			// The next head could not be counted, since it is unknown where the body ends.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (l *LimitedListener) track(connection net.Conn, state http.ConnState) {
	limited, ok := connection.(*limitedConnection)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive: // the head has been read
		limited.busy, limited.inHead = true, false
	case http.StateIdle:
		l.release(limited)
		limited.busy = false
		limited.expectHead()
	case http.StateClosed, http.StateHijacked:
		delete(l.connections, limited)
		l.release(limited)
	}
}

// reserve takes the memory for the head that is being read. l.mu must be held.
func (l *LimitedListener) reserve(c *limitedConnection) error {
	more := c.head.reservation() - c.reserved
	if more > 0 && !l.heads.Reserve(more) {
		return errHeadsFull
	}
	c.reserved += max(0, more)
	return nil
}

// release returns the memory for the head of a connection. l.mu must be held.
func (l *LimitedListener) release(c *limitedConnection) {
	l.heads.Release(c.reserved)
	c.reserved = 0
}

// CloseWrite lets the server end its side before it closes the connection, so that the client can read the answer.
func (c *limitedConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read counts the head of a request. If it exceeds a limit, Read answers and returns io.EOF, upon which the server closes the
// connection without an answer of its own.
func (c *limitedConnection) Read(data []byte) (int, error) {
	if c.inHead && c.limitErr != nil {
		c.refuse(c.limitErr)
		return 0, io.EOF
	}
	n, err := c.Conn.Read(data)
	received := data[:n]
	if c.inHead {
		c.listener.mu.Lock()
		counted, limitErr := c.count(received)
		c.listener.mu.Unlock()
		if limitErr != nil {
			c.refuse(limitErr)
			return 0, io.EOF
		}
		received = received[counted:]
	}
	c.afterHead += int64(len(received))
	c.keepLatest(received)
	return n, err
}

// keepLatest keeps the last maxReadAhead bytes after the head.
func (c *limitedConnection) keepLatest(received []byte) {
	received = received[max(0, len(received)-maxReadAhead):]
	superseded := max(0, len(c.latest)+len(received)-maxReadAhead)
	c.latest = append(c.latest[:0], c.latest[superseded:]...)
	c.latest = append(c.latest, received...)
}

// count counts bytes of the head, reserves memory for its lines and returns how many of the bytes belong to it. LimitedListener.mu must
// be held.
func (c *limitedConnection) count(data []byte) (int, error) {
	counted, err := c.head.count(data)
	if err == nil && c.head.lines > freeLines {
		err = c.listener.reserve(c)
	}
	return counted, err
}

// expectHead begins the next head, after a request whose body has been read. LimitedListener.mu must be held.
func (c *limitedConnection) expectHead() {
	// A request without a handler is "OPTIONS *". Without bytes after its head, it has no body.
	readAhead := c.afterHead - max(0, c.bodyLength)
	if c.bodyLength == unknownLength && c.afterHead > 0 || readAhead < 0 || readAhead > int64(len(c.latest)) {
		_ = c.Conn.Close()
		c.limitErr = net.ErrClosed // a request that was read ahead must not run, since it would get no answer
		return
	}
	ahead := c.latest[int64(len(c.latest))-readAhead:]
	c.inHead, c.head, c.bodyLength = true, headCounter{}, unknownLength
	var counted int
	counted, c.limitErr = c.count(ahead)
	c.latest = append(c.latest[:0], ahead[counted:]...)
	c.afterHead = int64(len(c.latest))
}

func (c *limitedConnection) refuse(cause error) {
	status, label := refusal(cause)
	countRefusal(c.listener.port, label)
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails only on a closed connection
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), len(cause.Error())+1, cause)
	if err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(refusalDrainTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrainedBytes)
}

// refusal returns the status of an answer to a head beyond a limit, and the cause for the metric.
func refusal(cause error) (int, string) {
	switch {
	case errors.Is(cause, errTooManyEmpties):
		return http.StatusBadRequest, "empty-lines"
	case errors.Is(cause, errHeadsFull):
		return http.StatusServiceUnavailable, "heads"
	}
	return http.StatusRequestHeaderFieldsTooLarge, "head"
}
