package httpserver

import (
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

// NewLimitedListener wraps a listener; port names it in metrics. The server's ConnState must call Track.
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

// limitedConnection counts the heads of requests. The server reads and changes head on one goroutine at a time.
type limitedConnection struct {
	net.Conn
	listener *LimitedListener
	number   uint64
	inHead   bool // a head is expected or being read
	head     headCounter
	// readAhead means that the server may hold a part of the next head already. Only the server's own limit of bytes applies to it.
	readAhead bool
	reserved  int64 // of LimitedListener.heads; guarded by LimitedListener.mu
	busy      bool  // a request is in progress; guarded by LimitedListener.mu
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
		Conn:     accepted,
		listener: l,
		number:   l.accepted,
		inHead:   true,
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

// Track must be called by the server's ConnState.
func (l *LimitedListener) Track(connection net.Conn, state http.ConnState) {
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
		limited.busy, limited.inHead, limited.head = false, !limited.readAhead, headCounter{}
		limited.readAhead = false
		l.release(limited)
	case http.StateClosed, http.StateHijacked:
		delete(l.connections, limited)
		l.release(limited)
	}
}

// reserve takes the memory for the head that is being read.
func (l *LimitedListener) reserve(c *limitedConnection) error {
	l.mu.Lock()
	defer l.mu.Unlock()
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
	n, err := c.Conn.Read(data)
	if !c.inHead {
		c.readAhead = c.readAhead || n > 0
		return n, err
	}
	counted, limitErr := c.head.count(data[:n])
	if limitErr == nil && c.head.lines > freeLines {
		limitErr = c.listener.reserve(c)
	}
	if limitErr != nil {
		c.refuse(limitErr)
		return 0, io.EOF
	}
	c.readAhead = counted < n
	return n, err
}

func (c *limitedConnection) refuse(cause error) {
	status, label := http.StatusRequestHeaderFieldsTooLarge, "head"
	switch {
	case errors.Is(cause, errTooManyEmpties):
		status, label = http.StatusBadRequest, "empty-lines"
	case errors.Is(cause, errHeadsFull):
		status, label = http.StatusServiceUnavailable, "heads"
	}
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
