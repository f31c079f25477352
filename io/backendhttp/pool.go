package backendhttp

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	connectTimeout = time.Second
	// maxIdleTime is below the usual keep-alive timeout of backend servers (5 s or more), so that the pool closes a connection first.
	maxIdleTime        = 4 * time.Second
	maxIdleConnections = 256
	// silenceTimeout is how long a call may wait for an answer on a reused connection before the idle connections that were last used
	// earlier are closed. A new connection costs about 1 ms, so this costs little if the backend server is only slow.
	silenceTimeout = time.Second
)

// backendConn is an HTTP/1.1 connection to the backend server.
type backendConn struct {
	net.Conn
	pool      *pool
	address   string
	source    headSource
	reader    *bufio.Reader // of source
	writer    *bufio.Writer
	idleSince time.Time
	// statesIDs says that an earlier answer on the connection stated the ID of its call.
	statesIDs bool
}

// pool keeps idle connections and reuses the most recently used one first.
type pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu             sync.Mutex // guards the fields below
	idle           []*backendConn
	awaitingAnswer map[*backendConn]time.Time // when reused connections without an answer yet were taken
}

func newPool(dial func(ctx context.Context, address string) (net.Conn, error)) *pool {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return &pool{
		dial:           dial,
		awaitingAnswer: make(map[*backendConn]time.Time),
	}
}

// get returns an idle or a new connection. If it fails, no byte of the call has been written.
func (p *pool) get(ctx context.Context, address string) (*backendConn, error) {
	for c := p.take(); c != nil; c = p.take() {
		if c.address == address && time.Since(c.idleSince) < maxIdleTime && c.alive() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &backendConn{
		Conn:    conn,
		pool:    p,
		address: address,
		source: headSource{
			buffer: bufio.NewReader(conn),
		},
		writer: bufio.NewWriter(nil),
	}
	c.reader = bufio.NewReaderSize(&c.source, readAheadBytes)
	return c, nil
}

func (p *pool) take() *backendConn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeSilent(now)
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	p.awaitingAnswer[c] = now
	return c
}

// closeSilent closes the idle connections that were last used before a call that waits for longer than silenceTimeout. The backend
// server may have stopped answering on all connections that were open then. p.mu must be held.
func (p *pool) closeSilent(now time.Time) {
	for _, taken := range p.awaitingAnswer {
		if now.Sub(taken) >= silenceTimeout {
			p.filterIdle(func(c *backendConn) bool { return c.idleSince.After(taken) })
		}
	}
}

// filterIdle closes the idle connections for which keep returns false. p.mu must be held.
func (p *pool) filterIdle(keep func(*backendConn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if keep(c) {
			kept = append(kept, c)
		} else {
			_ = c.Conn.Close()
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// markAnswered notes that a connection has answered or was closed.
func (p *pool) markAnswered(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.awaitingAnswer, c)
}

// Close implements io.Closer.
func (c *backendConn) Close() error {
	c.pool.markAnswered(c)
	return c.Conn.Close()
}

func (p *pool) put(c *backendConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConnections {
		_ = c.Conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// prune closes the connections that have been idle for at least the limit.
func (p *pool) prune(limit time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.filterIdle(func(c *backendConn) bool { return now.Sub(c.idleSince) < limit })
}

// alive checks without blocking that the connection is open and has no unexpected data. Without this check, a call on a connection
// that the backend server has closed would end with the outcome unknown.
func (c *backendConn) alive() bool {
	if c.reader.Buffered() > 0 || c.source.buffer.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(descriptor uintptr) bool {
		var next [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
