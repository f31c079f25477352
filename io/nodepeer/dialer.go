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
	"parsleyport/io/frame"
)

// DialerOptions configures a Dialer.
type DialerOptions struct {
	// Self is the ID of this node. Calls to it go to Local without a connection.
	Self core.NodeID
	// Local handles the calls to Self. If it is nil, they use a connection like all others.
	Local core.Backend
	// ConnectionsPerPeer is the maximum number of connections to a peer. Zero means 2.
	ConnectionsPerPeer int
	// DataCentre is the data centre of this node.
	DataCentre core.DataCentre
	// Compressor compresses messages to peers in other data centres. Nil means no compression.
	Compressor *frame.Compressor
	// Logger gets a line for each connection that is lost with calls outstanding.
	Logger zerolog.Logger
	// Metrics gets the dialer's metrics. If it is nil, a private set is used.
	Metrics *metrics.Set
	// Dial connects to a peer. Nil means a TCP dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Dialer is a core.Forwarder with a small pool of connections to each peer.
type Dialer struct {
	options DialerOptions
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	dials             *metrics.Counter
	failedDials       *metrics.Counter
	silentConnections *metrics.Counter

	mu       sync.Mutex
	pools    map[string]*peerPool
	lastDial uint64 // number of the latest dial
}

// peerPool holds the connections to one address. Dialer.mu guards its fields.
type peerPool struct {
	connections []*clientConn
	dialing     chan struct{} // closed when the dial in progress has ended; nil if there is none
	dialError   error         // result of the latest dial
	failedAt    time.Time     // time of the latest failed dial
}

// NewDialer returns a dialer. The cleanup function closes all connections and waits for the goroutines.
func NewDialer(options DialerOptions) (*Dialer, func(), error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.ConnectionsPerPeer < 0 {
		return nil, nil, errors.Errorf("connections per peer is %d, expected at least 1, or 0 for %d", options.ConnectionsPerPeer, defaultConnections)
	}
	if options.ConnectionsPerPeer == 0 {
		options.ConnectionsPerPeer = defaultConnections
	}
	if options.Dial == nil {
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{
		options:           options,
		ctx:               ctx,
		cancel:            cancel,
		dials:             options.Metrics.GetOrCreateCounter(`parsleyport_peer_dials_total{result="connected"}`),
		failedDials:       options.Metrics.GetOrCreateCounter(`parsleyport_peer_dials_total{result="failed"}`),
		silentConnections: options.Metrics.GetOrCreateCounter("parsleyport_peer_silent_connections_total"),
		pools:             make(map[string]*peerPool),
	}
	return d, d.close, nil
}

func (d *Dialer) close() {
	d.cancel()
	d.mu.Lock()
	var open []*clientConn
	for _, p := range d.pools {
		open = append(open, p.connections...)
	}
	d.mu.Unlock()
	for _, c := range open {
		c.fail(errDialerClosed)
	}
	d.tasks.Wait()
}

// Forward implements core.Forwarder. The context must stay valid until the answer's body is closed.
func (d *Dialer) Forward(ctx context.Context, to core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	if to.Node == d.options.Self && d.options.Local != nil {
		return d.options.Local.Handle(ctx, call)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	answer, outcome, err := d.forward(ctx, cancel, to.Address, call)
	if outcome != core.OutcomeAnswered {
		cancel()
	}
	return answer, outcome, err
}

func (d *Dialer) forward(ctx context.Context, cancel context.CancelFunc, address string, call *core.Call) (*core.Answer, core.Outcome, error) {
	s, err := d.register(ctx, cancel, address, call.Source != nil)
	if errors.Is(err, errNoStreams) {
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause:  core.CauseTooLarge,
			Detail: err.Error(),
		}
	}
	if errors.Is(err, errLeaving) {
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause: core.CauseLeaving,
		}
	}
	if err != nil {
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause:  core.CauseConnectFailed,
			Detail: err.Error(),
		}
	}
	s.notifyStuck(call.OnStuck)
	sent, sourceErr := s.conn.sendCall(ctx, s, call)
	if !sent {
		return d.resolveLostAttempt(ctx, address, s)
	}
	if sourceErr != nil {
		return s.abandonBody(ctx, sourceErr)
	}
	answer, refusal, err := s.await(ctx, call.Idempotent)
	switch {
	case answer != nil:
		return answer, core.OutcomeAnswered, nil
	case refusal != nil && refusal.Outcome == core.OutcomeNotRun:
		return nil, core.OutcomeNotRun, &core.Refusal{
			Cause:  refusal.Cause,
			Detail: refusal.Detail,
			Load:   refusal.Load.decode(refusal.FreeInUS),
		}
	case refusal != nil:
		return nil, core.OutcomeUnknown, errors.New(refusal.Detail)
	case errors.Is(err, errPeerLost):
		return d.resolveLostAttempt(ctx, address, s)
	}
	return nil, core.OutcomeUnknown, err
}

// register assigns a live connection and a sequence number to an attempt. On an error nothing has been sent.
func (d *Dialer) register(ctx context.Context, cancel context.CancelFunc, address string, streamed bool) (*stream, error) {
	var s *stream
	err := retryUnsent(func() error {
		c, err := d.connection(ctx, address)
		if err == nil && streamed {
			err = c.awaitStreams(ctx)
		}
		if err == nil {
			s, err = c.register(ctx, cancel)
		}
		return err
	})
	return s, err
}

// retryUnsent calls use again, which then uses another connection, as long as the connection was closed before anything was sent.
func retryUnsent(use func() error) error {
	for {
		if err := use(); !errors.Is(err, errUnsent) {
			return err
		}
	}
}

// resolveLostAttempt finds out over a new connection whether an attempt whose connection was lost has run. The outcome is
// not-run only if the same process of the server confirms that the attempt has not started and never will.
func (d *Dialer) resolveLostAttempt(ctx context.Context, address string, s *stream) (*core.Answer, core.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	<-s.conn.done
	revoked := false
	err := retryUnsent(func() error {
		c, err := d.connectionAfter(ctx, address, s.conn.lastDialAtLoss)
		if err == nil {
			revoked, err = c.revoke(ctx, s)
		}
		return err
	})
	if err != nil {
		return nil, core.OutcomeUnknown, errors.Annotate(errPeerLost, err.Error())
	}
	if !revoked {
		return nil, core.OutcomeUnknown, errPeerLost
	}
	return nil, core.OutcomeNotRun, &core.Refusal{
		Cause:  core.CauseRevoked,
		Detail: errPeerLost.Error(),
	}
}

// connection returns a connection for a call, or errLeaving if the peer has announced that it accepts no more calls.
func (d *Dialer) connection(ctx context.Context, address string) (*clientConn, error) {
	d.mu.Lock()
	p := d.pools[address]
	leaving := p != nil && p.leaving()
	d.mu.Unlock()
	if leaving {
		return nil, errLeaving
	}
	return d.connectionAfter(ctx, address, 0)
}

// connectionAfter returns a connection whose dial number is greater than after, and dials if there is none. It works for a
// leaving peer too, which still replies to revocations and claims.
func (d *Dialer) connectionAfter(ctx context.Context, address string, after uint64) (*clientConn, error) {
	for {
		d.mu.Lock()
		p, err := d.poolFor(address)
		if err != nil {
			d.mu.Unlock()
			return nil, err
		}
		best, usable := p.leastLoaded(after, time.Now())
		if best != nil && (usable >= d.options.ConnectionsPerPeer || best.callCount() < poolGrowthCalls || p.dialing != nil || time.Since(p.failedAt) < redialBackoff) {
			d.mu.Unlock()
			return best, nil
		}
		wait := p.dialing
		if wait == nil {
			wait = make(chan struct{})
			p.dialing = wait
			d.lastDial++
			dialNumber := d.lastDial
			d.tasks.Go(func() { d.dial(address, p, dialNumber) })
		}
		d.mu.Unlock()
		if best != nil {
			return best, nil // later calls use the new connection
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		d.mu.Lock()
		err = p.dialError
		d.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// poolFor returns the pool of an address. If there are too many, it removes those without connections. d.mu must be held.
func (d *Dialer) poolFor(address string) (*peerPool, error) {
	if d.ctx.Err() != nil {
		return nil, errDialerClosed
	}
	if p := d.pools[address]; p != nil {
		return p, nil
	}
	if len(d.pools) >= maxPeers {
		for each, p := range d.pools {
			if len(p.connections) == 0 && p.dialing == nil {
				delete(d.pools, each)
			}
		}
	}
	if len(d.pools) >= maxPeers {
		return nil, errors.Errorf("%d peers have connections, no more are allowed", maxPeers)
	}
	p := &peerPool{}
	d.pools[address] = p
	return p, nil
}

// leastLoaded returns the connection with the fewest calls among the usable ones with a dial number greater than after, and
// the number of usable ones. A connection that is suspected to be silent is not usable.
func (p *peerPool) leastLoaded(after uint64, now time.Time) (*clientConn, int) {
	var best *clientConn
	fewest, usable := 0, 0
	for _, c := range p.connections {
		if c.dialNumber <= after || !c.usable(now) {
			continue
		}
		usable++
		if n := c.callCount(); best == nil || n < fewest {
			best, fewest = c, n
		}
	}
	return best, usable
}

// leaving reports whether the peer has sent goaway on a connection that is still open.
func (p *peerPool) leaving() bool {
	for _, c := range p.connections {
		if c.isDraining() {
			return true
		}
	}
	return false
}

func (d *Dialer) dial(address string, p *peerPool, dialNumber uint64) {
	ctx, cancel := context.WithTimeout(d.ctx, connectTimeout)
	defer cancel()
	dialStart := time.Now()
	conn, err := d.options.Dial(ctx, address)
	var c *clientConn
	if err == nil {
		c = newClientConn(d, p, conn, dialStart, dialNumber)
		err = c.sendHello()
	}
	d.mu.Lock()
	if err == nil && d.ctx.Err() != nil {
		err = errDialerClosed
		_ = conn.Close()
	}
	p.dialError = err
	if err == nil {
		p.connections = append(p.connections, c)
		d.dials.Inc()
		c.start()
	} else {
		p.failedAt = time.Now()
		d.failedDials.Inc()
	}
	close(p.dialing)
	p.dialing = nil
	d.mu.Unlock()
}

// removeConnection removes a connection from its pool and returns the number of the latest dial.
func (d *Dialer) removeConnection(c *clientConn) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, each := range c.pool.connections {
		if each == c {
			c.pool.connections = append(c.pool.connections[:i], c.pool.connections[i+1:]...)
			break
		}
	}
	return d.lastDial
}
