package pipelinehttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

const (
	shutdownPollInterval = 10 * time.Millisecond
	// Waits after failed accepts. The usual cause is a lack of descriptors, which ends when a connection does.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// ConcurrencyDecider is implemented by handlers that allow requests to run beside others of the same connection. It is asked about
// GET, HEAD and OPTIONS requests without a body; all others run alone.
type ConcurrencyDecider interface {
	Concurrent(r *http.Request) bool
}

// Options configures a Server. Only Handler is required.
type Options struct {
	Handler http.Handler
	// Limits bounds what callers can make the server do.
	Limits Limits
	// Declared returns the limits that the configuration in force states. It may be nil.
	Declared func() Declared
	// OnRefused is called for each request that the server answers itself because it could not be read. It may be nil.
	OnRefused func(remote net.Addr, status int, cause string)
	// OnLimit is called for each connection that ends without an answer because of a limit, and for each body that is over one. It
	// may be nil.
	OnLimit func(cause string)
	// Logger gets a line for a handler that panics.
	Logger zerolog.Logger
}

// Server serves HTTP/1.1 connections.
type Server struct {
	options   Options
	limits    Limits // with defaults
	account   *account
	decider   ConcurrencyDecider // nil if no requests run concurrently
	pipelined atomic.Bool        // a caller has pipelined
	draining  atomic.Bool
	heldBytes atomic.Int64 // of answers that wait for an earlier one
	date      atomic.Pointer[dateLine]

	mu          sync.Mutex // guards the fields below
	listener    net.Listener
	connections map[*connection]struct{}
	byAddress   map[netip.Addr]int // number of connections
	idleWorkers []chan *response
	evictedAt   time.Time
	closed      bool

	// Owned by Serve.
	idleCandidates []*connection // that are closed for new ones
	searchedAt     time.Time
}

// New returns a server.
func New(options Options) *Server {
	if options.OnRefused == nil {
		options.OnRefused = ignoreRefusal
	}
	if options.OnLimit == nil {
		options.OnLimit = ignoreLimit
	}
	if options.Declared == nil {
		options.Declared = declareNothing
	}
	limits := options.Limits
	limits.setDefaults()
	s := &Server{
		options:     options,
		limits:      limits,
		account:     newAccount(limits.AccountBytes),
		connections: make(map[*connection]struct{}),
		byAddress:   make(map[netip.Addr]int),
	}
	s.decider, _ = options.Handler.(ConcurrencyDecider)
	return s
}

// Serve accepts connections until the listener is closed, and returns the error of the last accept.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	delay := minAcceptDelay
	for {
		rwc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.options.Logger.Warn().Err(err).Msg("failed to accept a connection")
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = minAcceptDelay
		if !s.admit(rwc.RemoteAddr()) {
			s.options.OnLimit(CauseConnections)
			_ = rwc.Close()
			continue
		}
		if c := newConnection(s, rwc); s.add(c) {
			go c.serve()
		}
	}
}

func (s *Server) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.rwc.Close()
		return false
	}
	s.connections[c] = struct{}{}
	s.byAddress[c.address]++
	return true
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	if s.byAddress[c.address]--; s.byAddress[c.address] == 0 {
		delete(s.byAddress, c.address)
	}
}

// Drain makes each connection end after the answers to the requests that were read from it, one at least.
func (s *Server) Drain() { s.draining.Store(true) }

// OpenConnections returns the number of connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// PendingConnections returns the number of connections whose request is expected, being read or in progress. A new connection is
// pending, since its first request is expected.
func (s *Server) PendingConnections() int {
	return s.count(func(c *connection) bool { return !c.answered || !c.idle() })
}

// count returns the number of connections for which a condition holds; it is called with the connection's lock held.
func (s *Server) count(condition func(*connection) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.connections {
		c.mu.Lock()
		if condition(c) {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// Shutdown closes connections without a request, and returns when all connections have ended, or the context's error. The listener
// must be closed.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		s.count((*connection).endIfIdle)
		if s.OpenConnections() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the listener and all connections. It does not wait for handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.connections {
		c.cancel()
		_ = c.rwc.Close()
	}
	for _, worker := range s.idleWorkers {
		close(worker)
	}
	s.idleWorkers = nil
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}

// maxIdleWorkers bounds the goroutines that wait for a request. A new goroutine starts with a small stack, which the handler would
// have to grow for each request.
const maxIdleWorkers = 64

// run runs a request on a worker's goroutine.
func (s *Server) run(r *response) {
	s.mu.Lock()
	last := len(s.idleWorkers) - 1
	if last < 0 {
		s.mu.Unlock()
		go s.work(r)
		return
	}
	worker := s.idleWorkers[last]
	s.idleWorkers = s.idleWorkers[:last]
	s.mu.Unlock()
	worker <- r
}

func (s *Server) work(r *response) {
	requests := make(chan *response, 1)
	for r != nil {
		r.serve()
		s.mu.Lock()
		if s.closed || len(s.idleWorkers) >= maxIdleWorkers {
			s.mu.Unlock()
			return
		}
		s.idleWorkers = append(s.idleWorkers, requests)
		s.mu.Unlock()
		r = <-requests // nil when the server is closed
	}
}

// dateLine is the Date header of one second.
type dateLine struct {
	second int64
	text   string
}

func (s *Server) dateNow() string {
	now := time.Now()
	line := s.date.Load()
	if line == nil || line.second != now.Unix() {
		line = &dateLine{
			second: now.Unix(),
			text:   "Date: " + now.UTC().Format(http.TimeFormat) + "\r\n",
		}
		s.date.Store(line)
	}
	return line.text
}
