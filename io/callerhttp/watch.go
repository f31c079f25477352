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

// watchedListener reports the answers that net/http gives itself before a request reaches the handler: to bytes that are not HTTP,
// ambiguous lengths, unknown encodings and oversized headers. It also counts the connections whose request is expected, being read
// or in progress.
type watchedListener struct {
	net.Listener
	onRefused    func(remote net.Addr, status int)
	pendingCount *atomic.Int64
}

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

// watchedConnection tracks whether a request has reached the handler and whether one is pending. A new connection is pending from
// the start, since its first request is expected.
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

// Read marks the connection as pending when bytes of a request arrive.
func (c *watchedConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.markPending()
	}
	return n, err
}

// Close also ends the pending state.
func (c *watchedConnection) Close() error {
	defer c.clearPending()
	return c.Conn.Close()
}

// Write reports an error status that is written while no request is with the handler, so that it comes from net/http.
func (c *watchedConnection) Write(data []byte) (int, error) {
	if !c.handled.Load() {
		if status := parseStatus(data); status >= http.StatusBadRequest {
			c.onRefused(c.RemoteAddr(), status)
		}
	}
	return c.Conn.Write(data)
}

// parseStatus returns the status of an answer that begins with the data, or zero if the data is no status line.
func parseStatus(data []byte) int {
	rest, found := bytes.CutPrefix(data, []byte("HTTP/1.1 "))
	if !found || len(rest) < len("400") {
		return 0
	}
	status, err := strconv.Atoi(string(rest[:len("400")]))
	if err != nil {
		return 0 // a body that looks like a status line
	}
	return status
}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// markHandled notes that a request has reached the handler, so that the next answer is the handler's.
func markHandled(ctx context.Context) {
	if connection, ok := ctx.Value(connectionKey{}).(*watchedConnection); ok {
		connection.handled.Store(true)
	}
}

// callerDisconnected reports whether the caller has closed its connection. net/http finds this out on another goroutine, which may
// be too late if the process was suspended and has just read the request together with the end of its connection.
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
		return true // closed by this process
	}
	disconnected := false
	err = raw.Control(func(descriptor uintptr) {
		next := make([]byte, 1)
		n, _, err := syscall.Recvfrom(int(descriptor), next, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return disconnected || err != nil
}

// markAnswered notes that the handler's answer has been sent.
func markAnswered(connection net.Conn) {
	if watched, ok := connection.(*watchedConnection); ok {
		watched.handled.Store(false)
		watched.clearPending()
	}
}
