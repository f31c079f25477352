package nodepeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/bodycredit"
	"parsleyport/core/idempotency"
	"parsleyport/core/memory"
	"parsleyport/io/frame"
)

// Causes of the cancellation of a call's context at the server.
const (
	errConnectionLost = errors.ConstError("connection to the calling node was lost")
	errCancelled      = errors.ConstError("cancelled by the calling node")
	errRevoked        = errors.ConstError("revoked by the calling node")
	errProtocol       = errors.ConstError("peer violated the protocol")
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Address is the TCP address to listen on.
	Address string
	// Listener replaces Address if it is set.
	Listener net.Listener
	// Backend handles the calls.
	Backend core.Backend
	// Logger gets a line with the cause for each call whose handling panicked.
	Logger zerolog.Logger
	// Metrics gets the server's metrics. If it is nil, a private set is used.
	Metrics *metrics.Set
	// MaxCalls is the maximum number of concurrent calls. Zero means 4096.
	MaxCalls int
	// LinkBytesPerSecond is the rate of this node's link, to which the long bodies of calls are paced. Zero means no pacing.
	LinkBytesPerSecond int64

	// DataCentre is the data centre of this node.
	DataCentre core.DataCentre
	// Compressor compresses messages to dialers in other data centres. Nil means no compression.
	Compressor *frame.Compressor
}

// Server accepts calls from other nodes and passes them to a core.Backend. It also holds idempotency keys.
type Server struct {
	options  ServerOptions
	listener net.Listener
	started  time.Time
	ctx      context.Context // ends when the server closes
	cancel   context.CancelCauseFunc
	tasks    sync.WaitGroup

	accepted           *metrics.Counter
	refused            *metrics.Counter
	bodiesExpired      *metrics.Counter
	panics             *metrics.Counter
	revocationsDone    *metrics.Counter
	revocationsTooLate *metrics.Counter

	mu              sync.Mutex
	attempts        *idempotency.AttemptLog
	keys            *idempotency.KeyStore
	memberships     map[core.ServiceName]membership
	snapshots       heldSnapshots
	handedOver      bool
	holderAgesFunc  func(idempotency.Key) map[core.NodeID]time.Duration // nil until NewClaims sets it
	calls           map[idempotency.AttemptKey]*serverCall
	connections     map[*serverConn]struct{}
	bodyBytes       int
	heads           *memory.Budget        // for long heads of calls
	bodies          *bodycredit.Scheduler // nil without pacing
	callsByBody     map[bodycredit.Ticket]*serverCall
	bodiesCheckedAt time.Time
	leaseCheckAt    time.Time // next run of leaseTimer, zero if none is due
	leaseTimer      *time.Timer
	leaving         bool
	closed          bool
	drained         chan struct{} // closed when the server is leaving and its last call has ended

	maxConnections int
	unintroduced   *frame.Unintroduced
}

// NewServer listens and starts to accept connections. The cleanup function closes all connections and waits for the goroutines.
func NewServer(options ServerOptions) (*Server, func(), error) {
	listener := options.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", options.Address); err != nil {
			return nil, nil, errors.Annotate(err, "listen for calls from other nodes")
		}
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.MaxCalls == 0 {
		options.MaxCalls = defaultMaxCalls
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Server{
		options:            options,
		listener:           listener,
		started:            time.Now(),
		ctx:                ctx,
		cancel:             cancel,
		accepted:           options.Metrics.GetOrCreateCounter("parsleyport_peer_calls_total"),
		refused:            options.Metrics.GetOrCreateCounter("parsleyport_peer_calls_refused_total"),
		bodiesExpired:      options.Metrics.GetOrCreateCounter("parsleyport_peer_bodies_expired_total"),
		panics:             options.Metrics.GetOrCreateCounter("parsleyport_peer_calls_panicked_total"),
		revocationsDone:    options.Metrics.GetOrCreateCounter(`parsleyport_peer_revocations_total{verdict="not-run"}`),
		revocationsTooLate: options.Metrics.GetOrCreateCounter(`parsleyport_peer_revocations_total{verdict="unknown"}`),
		attempts:           idempotency.NewAttemptLog(),
		keys:               idempotency.NewKeyStore(),
		memberships:        make(map[core.ServiceName]membership),
		snapshots:          make(heldSnapshots),
		calls:              make(map[idempotency.AttemptKey]*serverCall),
		connections:        make(map[*serverConn]struct{}),
		drained:            make(chan struct{}),
		heads:              memory.NewBudget(memory.Share(headBudgetDivisor, defaultHeadBudget)),
		maxConnections:     descriptorShare(2),
		unintroduced:       frame.NewUnintroduced(descriptorShare(4)),
	}
	if options.LinkBytesPerSecond > 0 {
		s.bodies = bodycredit.New(options.LinkBytesPerSecond)
		s.callsByBody = make(map[bodycredit.Ticket]*serverCall)
	}
	s.tasks.Go(s.accept)
	return s, s.close, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Drain tells the dialers to send no more calls, refuses those that still arrive with CauseLeaving, and returns when all
// accepted calls have ended, or the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.leaving {
		s.leaving = true
		s.signalDrained()
	}
	sent := make(chan struct{})
	if !s.closed {
		var goaways sync.WaitGroup
		for c := range s.connections {
			goaways.Go(func() { c.send(typeGoaway, emptyMessage{}) })
		}
		s.tasks.Go(func() {
			goaways.Wait()
			close(sent)
		})
	}
	s.mu.Unlock()
	timer := time.NewTimer(goawayTimeout)
	defer timer.Stop()
	select {
	case <-sent:
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalDrained closes s.drained if the drain is complete. s.mu must be held.
func (s *Server) signalDrained() {
	if !s.leaving || len(s.calls) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	if s.leaseTimer != nil {
		s.leaseTimer.Stop()
	}
	s.cancel(errConnectionLost)
	for c := range s.connections {
		c.fail(errConnectionLost)
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // probably out of file descriptors, which closing connections release
			continue
		}
		s.addConnection(conn)
	}
}

func (s *Server) addConnection(conn net.Conn) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	heard := &heardConn{
		Conn: conn,
	}
	c := &serverConn{
		server: s,
		heard:  heard,
		frames: frame.New(heard, s.options.Compressor),
		ctx: ownedContext{
			Context: ctx,
			owner:   s.ctx,
		},
		cancel: cancel,
	}
	c.frames.SetMaxReceived(maxHelloBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.connections) >= s.maxConnections {
		c.fail(errConnectionLost)
		return
	}
	s.connections[c] = struct{}{}
	s.unintroduced.Add(c.frames)
	s.tasks.Go(c.serve)
}

// heardConn is a connection that keeps the time at which bytes last arrived.
type heardConn struct {
	net.Conn

	mu sync.Mutex
	at time.Time
}

// Read implements net.Conn.
func (c *heardConn) Read(target []byte) (int, error) {
	n, err := c.Conn.Read(target)
	if n > 0 {
		c.mu.Lock()
		c.at = time.Now()
		c.mu.Unlock()
	}
	return n, err
}

func (c *heardConn) lastHeard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}
