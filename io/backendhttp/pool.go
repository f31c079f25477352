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
	connectLimit = time.Second
	// idleLimit is below the usual keep-alive limit of backend servers (5 s and more), so that the pool closes first.
	idleLimit = 4 * time.Second
	maxIdle   = 256
	// silenceLimit is how long a call may wait on a reused connection before idle connections that have shown no sign of
	// life since then are given up. A new one costs about 1 ms, so a backend server that is only slow loses little by it.
	silenceLimit = time.Second
)

// backendConn is one HTTP/1.1 connection to the backend server.
type backendConn struct {
	net.Conn
	pool    *pool
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	idle    time.Time
}

// pool keeps idle connections; the most recently used one is taken first.
type pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex // guards the fields below
	idle    []*backendConn
	waiting map[*backendConn]time.Time // reused connections without an answer yet, by the time they were taken
}

func newPool(dial func(ctx context.Context, address string) (net.Conn, error)) *pool {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return &pool{
		dial:    dial,
		waiting: make(map[*backendConn]time.Time),
	}
}

// get returns a connection on which nothing has been written for this call.
func (p *pool) get(ctx context.Context, address string) (*backendConn, error) {
	for c := p.take(); c != nil; c = p.take() {
		if c.address == address && time.Since(c.idle) < idleLimit && c.alive() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &backendConn{
		Conn:    conn,
		pool:    p,
		address: address,
		reader:  bufio.NewReader(conn),
		writer:  bufio.NewWriter(nil),
	}, nil
}

func (p *pool) take() *backendConn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent(now)
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	p.waiting[c] = now
	return c
}

// dropSilent closes the idle connections that were last used before a call that has waited for too long: the backend
// server may have gone silent on all connections that were open then.
func (p *pool) dropSilent(now time.Time) {
	for _, taken := range p.waiting {
		if now.Sub(taken) >= silenceLimit {
			p.keepIdle(func(c *backendConn) bool { return c.idle.After(taken) })
		}
	}
}

// keepIdle closes the idle connections that are not to be kept.
func (p *pool) keepIdle(keep func(*backendConn) bool) {
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

// answered notes that a connection has shown a sign of life.
func (p *pool) answered(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, c)
}

// Close implements io.Closer.
func (c *backendConn) Close() error {
	c.pool.answered(c)
	return c.Conn.Close()
}

func (p *pool) put(c *backendConn) {
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = c.Conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// prune closes the connections that have been idle for too long.
func (p *pool) prune(limit time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepIdle(func(c *backendConn) bool { return now.Sub(c.idle) < limit })
}

// alive looks for an end of the connection, or for bytes that nobody asked for, without waiting. Without it, a call on
// a connection that the backend server has closed would end as unknown.
func (c *backendConn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && waiting
}
