package callerhttp

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

type connectionKey struct{}

// watchedListener reports the answers that net/http gives by itself, before a request reaches the handler: it does so for
// bytes that are no HTTP, lengths in doubt, unknown encodings and headers that are too long. It counts the connections
// with a request that is expected, being read or in progress.
type watchedListener struct {
	net.Listener
	onRefused    func(remote net.Addr, status int)
	pendingCount *atomic.Int64
	close        func() error // may be called again
}

// Close stops to accept connections; those accepted stay.
func (l watchedListener) Close() error { return l.close() }

func (l watchedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	watched := &watchedConnection{
		Conn:         connection,
		onRefused:    l.onRefused,
		pendingCount: l.pendingCount,
	}
	watched.markPending()
	return watched, nil
}

// watchedConnection knows whether a request of it has reached the handler and has not ended yet, and whether one is pending:
// a new connection is going to bring one.
type watchedConnection struct {
	net.Conn
	onRefused    func(remote net.Addr, status int)
	pendingCount *atomic.Int64
	handled      atomic.Bool
	pending      atomic.Bool
}

func (c *watchedConnection) markPending() {
	if c.pending.CompareAndSwap(false, true) {
		c.pendingCount.Add(1)
	}
}

func (c *watchedConnection) clearPending() {
	if c.pending.CompareAndSwap(true, false) {
		c.pendingCount.Add(-1)
	}
}

// Read notes that a request has begun.
func (c *watchedConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.markPending()
	}
	return n, err
}

// Close ends whatever was pending.
func (c *watchedConnection) Close() error {
	defer c.clearPending()
	return c.Conn.Close()
}

// Write passes on what net/http sends.
func (c *watchedConnection) Write(data []byte) (int, error) {
	if !c.handled.Load() {
		if status := parseStatus(data); status >= http.StatusBadRequest {
			c.onRefused(c.RemoteAddr(), status)
		}
	}
	return c.Conn.Write(data)
}

// parseStatus returns the status of an answer that begins here, zero if none does.
func parseStatus(data []byte) int {
	rest, found := bytes.CutPrefix(data, []byte("HTTP/1.1 "))
	if !found || len(rest) < len("400") {
		return 0
	}
	status, err := strconv.Atoi(string(rest[:len("400")]))
	if err != nil {
		return 0 // a body that looks like the beginning of an answer
	}
	return status
}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// markHandled notes that a request has reached the handler; the answer that follows is the handler's.
func markHandled(ctx context.Context) {
	if connection, ok := ctx.Value(connectionKey{}).(*watchedConnection); ok {
		connection.handled.Store(true)
	}
}

// callerDisconnected reports whether the caller has closed its connection. net/http notices that on a goroutine of its own, which may come
// too late for a process that stood still and has just read the request and the end of its connection.
func callerDisconnected(ctx context.Context) bool {
	watched, ok := ctx.Value(connectionKey{}).(*watchedConnection)
	if !ok {
		return false
	}
	socket, ok := watched.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // closed at this end
	}
	left := false
	err = raw.Control(func(descriptor uintptr) {
		next := make([]byte, 1)
		n, _, err := syscall.Recvfrom(int(descriptor), next, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return left || err != nil
}

// markAnswered notes that the handler's answer has been sent.
func markAnswered(connection net.Conn) {
	if watched, ok := connection.(*watchedConnection); ok {
		watched.handled.Store(false)
		watched.clearPending()
	}
}
