package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/core/ring"
	"parsleyport/io/frame"
)

// fakeNet joins processes by name within the test, with a short delay and a buffer in each direction, as a kernel has.
type fakeNet struct {
	mu        sync.Mutex
	listeners map[string]*fakeListener
	conns     map[*fakeConn]bool
	blocked   map[string]bool // addresses that cannot be dialed, and processes that cannot dial
	dials     atomic.Int64
	pumps     sync.WaitGroup
}

const fakeDelay = 5 * time.Millisecond

func newFakeNet() *fakeNet {
	return &fakeNet{
		listeners: make(map[string]*fakeListener),
		conns:     make(map[*fakeConn]bool),
		blocked:   make(map[string]bool),
	}
}

type fakeListener struct {
	net     *fakeNet
	address string
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.backlog:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		close(l.closed)
		l.net.mu.Unlock()
		for len(l.backlog) > 0 {
			_ = (<-l.backlog).Close()
		}
	})
	return nil
}
func (l *fakeListener) Addr() net.Addr { return nil }

// fakeConn is one end of a connection; a pump moves what is written to the other end.
type fakeConn struct {
	net.Conn
	net      *fakeNet
	to       string // the address that was dialed
	from     string // the relay address of the process that dialed
	written  *ring.Ring[[]byte]
	ctx      context.Context
	cancel   context.CancelFunc
	deadline atomic.Value // time.Time, of writes
	silent   atomic.Bool
	stalled  atomic.Bool // delivers nothing, as if the other end does not read
}

func (c *fakeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	ctx := c.ctx
	if deadline, set := c.deadline.Load().(time.Time); set && !deadline.IsZero() {
		limited, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		ctx = limited
	}
	if err := c.written.Push(ctx, append([]byte(nil), p...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *fakeConn) SetWriteDeadline(at time.Time) error {
	c.deadline.Store(at)
	return nil
}

func (c *fakeConn) pump() {
	defer c.Conn.Close()
	for {
		p, err := c.written.Pop(c.ctx)
		if err != nil && c.written.Len() == 0 {
			return
		}
		if err != nil {
			p = <-c.written.Items()
		}
		time.Sleep(fakeDelay)
		if c.stalled.Load() {
			<-c.ctx.Done()
			return
		}
		if _, err := c.Conn.Write(p); err != nil {
			return
		}
	}
}

// Close lets the pump deliver what was written before.
func (c *fakeConn) Close() error {
	c.cancel()
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(10 * fakeDelay))
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (n *fakeNet) wrap(conn net.Conn, from, to string) *fakeConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &fakeConn{
		Conn:    conn,
		net:     n,
		from:    from,
		to:      to,
		written: ring.New[[]byte](16),
		ctx:     ctx,
		cancel:  cancel,
	}
	n.conns[c] = true
	n.pumps.Go(c.pump)
	return c
}

func (n *fakeNet) network(from string) Network {
	return Network{
		Listen: func(address string) (net.Listener, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.listeners[address] != nil {
				return nil, errors.Errorf("%s is in use", address)
			}
			l := &fakeListener{
				net:     n,
				address: address,
				backlog: make(chan net.Conn, 1024),
				closed:  make(chan struct{}),
			}
			n.listeners[address] = l
			return l, nil
		},
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			n.dials.Add(1)
			n.mu.Lock()
			defer n.mu.Unlock()
			l := n.listeners[address]
			if l == nil || n.blocked[address] || n.blocked[from] {
				return nil, errors.Errorf("%s: connection refused", address)
			}
			near, far := net.Pipe()
			accepted := n.wrap(far, from, address)
			dialed := n.wrap(near, from, address)
			l.backlog <- accepted
			return dialed, nil
		},
	}
}

// cut breaks all connections that were dialed to an address, or all if it is empty.
func (n *fakeNet) cut(address string) {
	for _, c := range n.to(address) {
		_ = c.Close()
	}
}

func (n *fakeNet) to(address string) []*fakeConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*fakeConn
	for c := range n.conns {
		if address == "" || c.to == address {
			list = append(list, c)
		}
	}
	return list
}

func (n *fakeNet) block(address string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[address] = blocked
}

// silence makes a process vanish without closing its connections: nothing that it sends or is sent arrives any more.
func (n *fakeNet) silence(s *Subscriber) {
	n.block(s.options.RelayAddress, true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.to == s.options.RelayAddress || c.from == s.options.RelayAddress {
			c.silent.Store(true)
		}
	}
}

// fakeCatalog is a record.Source and core.Replicator whose confirmed reads the test can hold up.
type fakeCatalog struct {
	mu         sync.Mutex
	newest     *record.Configuration
	changed    chan struct{}
	reads      atomic.Int64
	leaderless atomic.Bool
	read       func(ctx context.Context) error
}

func newFakeCatalog() *fakeCatalog {
	return &fakeCatalog{
		newest:  record.Empty(),
		changed: make(chan struct{}),
	}
}

func (f *fakeCatalog) Current() *record.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

func (f *fakeCatalog) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeCatalog) set(configuration *record.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = configuration
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeCatalog) ConfirmRead(ctx context.Context) error {
	f.reads.Add(1)
	if f.read != nil {
		return f.read(ctx)
	}
	return nil
}

func (f *fakeCatalog) Propose(context.Context, []byte) ([]byte, error) { return nil, core.ErrNoLeader }

func (f *fakeCatalog) Status() core.ReplicatorStatus {
	if f.leaderless.Load() {
		return core.ReplicatorStatus{}
	}
	return core.ReplicatorStatus{Leader: "c1"}
}

// testRecords are services with an upstream, a policy and a route each.
func testRecords(services int, version core.RecordVersion) []core.Record {
	var records []core.Record
	add := func(kind core.Kind, name string, body any) {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		records = append(records, core.Record{
			Kind:          kind,
			Name:          name,
			SchemaVersion: 1,
			Version:       version,
			Body:          encoded,
		})
	}
	for i := range services {
		service := core.ServiceName(fmt.Sprintf("service-%d", i))
		upstream := core.UpstreamName(string(service) + "-v1")
		add(core.KindService, string(service), core.ServiceBody{Tenant: "platform"})
		add(core.KindUpstream, string(upstream), core.UpstreamBody{Service: service, Release: "v1", Slots: 9})
		add(core.KindPolicy, string(service), core.PolicyBody{Service: service, Weights: []core.Weight{{Upstream: upstream, PerMille: 1000}}})
		add(core.KindRoute, string(service), core.RouteBody{PathPrefix: "/" + string(service), Service: service, TimeoutMS: 2000})
	}
	return records
}

// revision returns a configuration of three services in which one record's version follows the revision.
func revision(number core.Revision) *record.Configuration {
	records := testRecords(3, 1)
	records[0].Version = core.RecordVersion(number)
	configuration, err := record.New(number, records, nil)
	if err != nil {
		panic(err)
	}
	return configuration
}

// world starts sources and subscribers on one fake network and stops what is left at the end of the test.
type world struct {
	t       testing.TB
	net     *fakeNet
	catalog *fakeCatalog
	stops   map[string]func()
}

func newWorld(t testing.TB) *world {
	w := &world{
		t:       t,
		net:     newFakeNet(),
		catalog: newFakeCatalog(),
		stops:   make(map[string]func()),
	}
	w.catalog.set(revision(1))
	return w
}

func (w *world) close() {
	var stopping sync.WaitGroup
	for _, stop := range w.stops {
		stopping.Go(stop)
	}
	stopping.Wait()
	w.net.cut("")
	w.net.pumps.Wait()
}

func (w *world) stop(id string) {
	w.stops[id]()
	delete(w.stops, id)
}

func (w *world) source(id core.ControlID, catalog *fakeCatalog, peers ...core.ControlID) *Source {
	options := SourceOptions{
		ID:            id,
		ListenAddress: string(id),
		Catalog:       catalog,
		Replicator:    catalog,
		Logger:        zerolog.Nop(),
		Network:       w.net.network(string(id)),
	}
	for _, peer := range peers {
		options.Peers = append(options.Peers, Peer{ID: peer, Address: string(peer)})
	}
	s, stop, err := NewSource(options)
	if err != nil {
		w.t.Fatal(err)
	}
	w.stops[string(id)] = stop
	return s
}

func (w *world) subscriber(id core.NodeID, controls ...string) *Subscriber {
	return w.subscriberWith(id, func(o *SubscriberOptions) { o.ControlAddresses = controls })
}

func (w *world) subscriberWith(id core.NodeID, change func(*SubscriberOptions)) *Subscriber {
	options := SubscriberOptions{
		ID:           id,
		Incarnation:  core.Incarnation(time.Now().UnixNano()),
		DataCentre:   "dc-a",
		RelayAddress: "relay-" + string(id),
		Logger:       zerolog.Nop(),
		Network:      w.net.network("relay-" + string(id)),
	}
	change(&options)
	s, stop, err := NewSubscriber(options)
	if err != nil {
		w.t.Fatal(err)
	}
	w.stops[string(id)] = stop
	return s
}

// subscribers starts many nodes that know one control address.
func (w *world) subscribers(count int, control string) []*Subscriber {
	var list []*Subscriber
	for i := range count {
		list = append(list, w.subscriber(core.NodeID(fmt.Sprintf("n%03d", i)), control))
	}
	return list
}

// eventually waits, in the time of the test, until a condition holds and returns how long that took.
func (w *world) eventually(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			w.t.Fatalf("after %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func allAt(list []*Subscriber, number core.Revision) func() bool {
	return func() bool {
		for _, s := range list {
			if s.Current().Revision() != number {
				return false
			}
		}
		return true
	}
}

func allHave(list []*Subscriber, service core.ServiceName, count int) func() bool {
	return func() bool {
		for _, s := range list {
			if len(s.Endpoints(service)) != count {
				return false
			}
		}
		return true
	}
}

// rawPeer is one end of a link whose messages the test chooses.
type rawPeer struct {
	t        testing.TB
	listener net.Listener
	conn     *frame.Conn
	hello    hello
}

func (w *world) rawParent(address string) *rawPeer {
	listener, err := w.net.network(address).Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.stops[address] = func() { _ = listener.Close() }
	return &rawPeer{
		t:        w.t,
		listener: listener,
	}
}

// attach answers the next hello.
func (p *rawPeer) attach(kind frame.Type, answer any) {
	conn, err := p.listener.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	p.conn = frame.New(conn)
	p.receive(typeHello, &p.hello)
	p.send(kind, answer)
}

// rawChild says hello to a parent; what follows is up to the test.
func (w *world) rawChild(address string, greeting hello) *rawPeer {
	conn, err := w.net.network("raw-child").Dial(context.Background(), address)
	if err != nil {
		w.t.Fatal(err)
	}
	p := &rawPeer{
		t:    w.t,
		conn: frame.New(conn),
	}
	p.send(typeHello, greeting)
	return p
}

func (p *rawPeer) send(kind frame.Type, message any) {
	if err := p.conn.Send(time.Time{}, kind, message); err != nil {
		p.t.Fatal(err)
	}
}

// receive skips frames up to one of the given type.
func (p *rawPeer) receive(kind frame.Type, target any) {
	for {
		received, err := p.conn.Receive(time.Now().Add(silenceLimit))
		if err != nil {
			p.t.Fatalf("waiting for message type %d: %v", kind, err)
		}
		if received.Type == kind {
			if err := received.Decode(target); err != nil {
				p.t.Fatal(err)
			}
			return
		}
	}
}

func endpoint(service core.ServiceName, state core.EndpointState) core.Endpoint {
	return core.Endpoint{
		Address: "127.0.0.1:1",
		Service: service,
		Release: "v1",
		Slots:   9,
		State:   state,
	}
}
