package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/frame"
)

const (
	fakeDelay  = 5 * time.Millisecond // one way
	fakeBuffer = 16                   // writes that a connection buffers, like a kernel
)

// fakeNet connects the processes of a test by name.
type fakeNet struct {
	mu        sync.Mutex
	listeners map[string]*fakeListener
	conns     map[*fakeConn]bool
	blocked   map[string]bool // addresses that refuse connections, and processes that cannot dial
	frozen    map[string]bool // addresses that accept connections and do not answer
	dials     atomic.Int64
}

type fakeListener struct {
	net.Listener
	backlog chan net.Conn
	closed  chan struct{}
	close   func()
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
	l.close()
	for len(l.backlog) > 0 {
		_ = (<-l.backlog).Close()
	}
	return nil
}

type packet struct {
	at   time.Time
	data []byte
}

// fakeConn is one end of a connection.
type fakeConn struct {
	net.Conn
	from, to                    string // the dialing process and the dialed address
	peer                        *fakeConn
	in                          chan packet
	unread                      []byte
	closed                      chan struct{}
	close                       func()
	readDeadline, writeDeadline atomic.Value // time.Time
	silent                      atomic.Bool  // drops writes, like a host without power
	stalled                     atomic.Bool  // the process does not read
	extraDelay                  atomic.Int64 // added to the delay
}

func expiry(deadline *atomic.Value) <-chan time.Time {
	if at, set := deadline.Load().(time.Time); set && !at.IsZero() {
		return time.After(time.Until(at))
	}
	return nil
}

func (c *fakeConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 || c.stalled.Load() {
		in, end := c.in, c.peer.closed
		if c.stalled.Load() {
			in, end = nil, nil
		} else if c.peer.silent.Load() {
			end = nil
		} else if len(in) > 0 {
			end = nil // data written before the close is read first
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case next := <-in:
			time.Sleep(time.Until(next.at))
			c.unread = next.data
		case <-end:
			if !c.peer.silent.Load() {
				return 0, io.EOF
			}
		case <-expiry(&c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *fakeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.peer.closed:
		return 0, io.ErrClosedPipe
	case c.peer.in <- packet{at: time.Now().Add(fakeDelay + time.Duration(c.extraDelay.Load())), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-expiry(&c.writeDeadline):
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *fakeConn) SetReadDeadline(at time.Time) error  { c.readDeadline.Store(at); return nil }
func (c *fakeConn) SetWriteDeadline(at time.Time) error { c.writeDeadline.Store(at); return nil }
func (c *fakeConn) Close() error                        { c.close(); return nil }

func (n *fakeNet) newConn(from, to string) *fakeConn {
	c := &fakeConn{from: from, to: to, in: make(chan packet, fakeBuffer), closed: make(chan struct{})}
	c.close = sync.OnceFunc(func() {
		close(c.closed)
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
	})
	n.conns[c] = true
	return c
}

// network returns the Network of the process with the given name.
func (n *fakeNet) network(name string) Network {
	return Network{
		Listen: func(address string) (net.Listener, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			l := &fakeListener{backlog: make(chan net.Conn, 1024), closed: make(chan struct{})}
			l.close = sync.OnceFunc(func() {
				n.mu.Lock()
				defer n.mu.Unlock()
				delete(n.listeners, address)
				close(l.closed)
			})
			n.listeners[address] = l
			return l, nil
		},
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			n.dials.Add(1)
			n.mu.Lock()
			defer n.mu.Unlock()
			l := n.listeners[address]
			if l == nil || n.blocked[address] || n.blocked[name] {
				return nil, errors.Errorf("%s: connection refused", address)
			}
			near, far := n.newConn(name, address), n.newConn(name, address)
			near.peer, far.peer = far, near
			if n.frozen[address] {
				return near, nil
			}
			l.backlog <- far
			return near, nil
		},
	}
}

// connsOf returns both ends of all connections that a process dialed or accepted, or of all connections if the name is empty.
func (n *fakeNet) connsOf(name string) []*fakeConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*fakeConn
	for c := range n.conns {
		if name == "" || c.to == name || c.from == name {
			list = append(list, c)
		}
	}
	return list
}

func (n *fakeNet) block(name string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[name] = blocked
}

// freeze stops a process: it neither sends nor accepts anything, but its connections stay open and it can still be dialed.
func (n *fakeNet) freeze(name string) {
	n.mu.Lock()
	n.frozen[name] = true
	n.mu.Unlock()
	for _, c := range n.connsOf(name) {
		c.silent.Store(true)
	}
}

// dropPackets makes a node unreachable without closing its connections.
func (n *fakeNet) dropPackets(s *Subscriber) {
	n.block(s.options.RelayAddress, true)
	for _, c := range n.connsOf(s.options.RelayAddress) {
		c.silent.Store(true)
	}
}

// fakeCatalog is a record.Source and core.Replicator whose confirmed reads a test can block.
type fakeCatalog struct {
	core.Replicator
	mu         sync.Mutex
	newest     *record.Configuration
	changed    chan struct{}
	reads      atomic.Int64
	read       func(ctx context.Context) error
	leaderless atomic.Bool
}

func newFakeCatalog(newest *record.Configuration) *fakeCatalog {
	return &fakeCatalog{newest: newest, changed: make(chan struct{})}
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

func (f *fakeCatalog) Status() core.ReplicatorStatus {
	if f.leaderless.Load() {
		return core.ReplicatorStatus{}
	}
	return core.ReplicatorStatus{Leader: "c1"}
}

// testRecords returns services with an upstream, a policy and a route each; number is the version of the first record.
func testRecords(services int, number core.Revision) []core.Record {
	var records []core.Record
	add := func(kind core.Kind, name string, body any) {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		records = append(records, core.Record{Kind: kind, Name: name, SchemaVersion: 1, Version: 1, Body: encoded})
	}
	for i := range services {
		service := core.ServiceName(fmt.Sprintf("service-%d", i))
		upstream := core.UpstreamName(service + "-v1")
		add(core.KindService, string(service), core.ServiceBody{Tenant: "platform"})
		add(core.KindUpstream, string(upstream), core.UpstreamBody{Service: service, Release: "v1", Slots: 9})
		add(core.KindPolicy, string(service), core.PolicyBody{Service: service, Weights: []core.Weight{{Upstream: upstream, PerMille: 1000}}})
		add(core.KindRoute, string(service), core.RouteBody{PathPrefix: "/" + string(service), Service: service, TimeoutMS: 2000})
	}
	records[0].Version = core.RecordVersion(number)
	return records
}

func configuration(number core.Revision, records []core.Record) *record.Configuration {
	built, err := record.New(number, records, nil)
	if err != nil {
		panic(err)
	}
	return built
}

func revision(number core.Revision) *record.Configuration {
	return configuration(number, testRecords(3, number))
}

// cluster starts sources and subscribers on one network and stops the remaining ones at the end of the test.
type cluster struct {
	t       testing.TB
	net     *fakeNet
	network func(name string) Network
	catalog *fakeCatalog
	stops   map[string]func()
}

func newCluster(t testing.TB) *cluster {
	fake := &fakeNet{listeners: make(map[string]*fakeListener), conns: make(map[*fakeConn]bool), blocked: make(map[string]bool), frozen: make(map[string]bool)}
	return &cluster{t: t, net: fake, network: fake.network, catalog: newFakeCatalog(revision(1)), stops: make(map[string]func())}
}

// loopback replaces the fake network by TCP, with a port for each name.
func (tc *cluster) loopback() {
	var ports sync.Map
	tc.network = func(string) Network {
		return Network{
			Listen: func(name string) (net.Listener, error) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err == nil {
					ports.Store(name, listener.Addr().String())
				}
				return listener, err
			},
			Dial: func(ctx context.Context, name string) (net.Conn, error) {
				port, _ := ports.Load(name)
				return new(net.Dialer).DialContext(ctx, "tcp", port.(string))
			},
		}
	}
}

func (tc *cluster) close() {
	var stopping sync.WaitGroup
	for _, stop := range tc.stops {
		stopping.Go(stop)
	}
	stopping.Wait()
}

func (tc *cluster) stop(id string) {
	tc.stops[id]()
	delete(tc.stops, id)
}

func (tc *cluster) source(id core.ControlID, catalog *fakeCatalog, peers ...core.ControlID) *Source {
	return tc.sourceWith(id, func(o *SourceOptions) {
		o.Catalog, o.Replicator = catalog, catalog
		for _, peer := range peers {
			o.Peers = append(o.Peers, Peer{ID: peer, Address: string(peer)})
		}
	})
}

func (tc *cluster) sourceWith(id core.ControlID, change func(*SourceOptions)) *Source {
	options := SourceOptions{
		ID: id, ListenAddress: string(id), Catalog: tc.catalog, Replicator: tc.catalog,
		Logger: zerolog.Nop(), Network: tc.network(string(id)),
	}
	change(&options)
	s, stop, err := NewSource(options)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.stops[string(id)] = stop
	return s
}

func (tc *cluster) subscriber(id core.NodeID, controls ...string) *Subscriber {
	return tc.subscriberWith(id, func(o *SubscriberOptions) { o.ControlAddresses = controls })
}

func (tc *cluster) subscriberWith(id core.NodeID, change func(*SubscriberOptions)) *Subscriber {
	options := SubscriberOptions{
		ID: id, Incarnation: core.Incarnation(time.Now().UnixNano()), DataCentre: "dc-a",
		RelayAddress: "relay-" + string(id), ControlAddresses: []string{"c1"},
		Logger: zerolog.Nop(), Network: tc.network("relay-" + string(id)),
	}
	change(&options)
	s, stop, err := NewSubscriber(options)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.stops[string(id)] = stop
	return s
}

// startNodes starts nodes n000, n001 and so on, each of which announces service-0.
func (tc *cluster) startNodes(count int, change func(i int, o *SubscriberOptions)) []*Subscriber {
	var list []*Subscriber
	for i := range count {
		id := core.NodeID(fmt.Sprintf("n%03d", i))
		list = append(list, tc.subscriberWith(id, func(o *SubscriberOptions) { change(i, o) }))
		list[i].Announce(endpoint("service-0", core.EndpointReady))
	}
	return list
}

// withControlAddresses sets the addresses of the control instances in the options of a node.
func withControlAddresses(controls ...string) func(int, *SubscriberOptions) {
	return func(_ int, o *SubscriberOptions) { o.ControlAddresses = controls }
}

// eventually waits until a condition holds and returns how long that took by the clock of the test.
func (tc *cluster) eventually(limit time.Duration, what string, holds func() bool) time.Duration {
	tc.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			tc.t.Fatalf("after %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// always checks a condition every 100 ms.
func (tc *cluster) always(period time.Duration, what string, holds func() bool) {
	tc.t.Helper()
	for began := time.Now(); time.Since(began) < period; time.Sleep(100 * time.Millisecond) {
		if !holds() {
			tc.t.Fatalf("%v after the start of %v: not %s", time.Since(began), period, what)
		}
	}
}

func every(list []*Subscriber, holds func(*Subscriber) bool) func() bool {
	return func() bool {
		for _, s := range list {
			if !holds(s) {
				return false
			}
		}
		return true
	}
}

func allAtRevision(list []*Subscriber, number core.Revision) func() bool {
	return every(list, func(s *Subscriber) bool { return s.Current().Revision() == number })
}

// allHaveEndpoints compares the number of endpoints of service-0.
func allHaveEndpoints(list []*Subscriber, count int) func() bool {
	return every(list, func(s *Subscriber) bool { return len(s.Endpoints("service-0")) == count })
}

func allSeeLeaving(list []*Subscriber, node core.NodeID) func() bool {
	return allSeeState(list, node, core.EndpointLeaving)
}

func allSeeState(list []*Subscriber, node core.NodeID, state core.EndpointState) func() bool {
	return every(list, func(s *Subscriber) bool {
		for _, e := range s.Endpoints("service-0") {
			if e.Node == node {
				return e.State == state
			}
		}
		return false
	})
}

// rawPeer is one end of a link that sends and receives the messages that the test chooses.
type rawPeer struct {
	t        testing.TB
	listener net.Listener
	conn     *frame.Conn
}

func (tc *cluster) rawParent(address string) *rawPeer {
	listener, _ := tc.net.network(address).Listen(address)
	tc.stops[address] = func() { _ = listener.Close() }
	return &rawPeer{t: tc.t, listener: listener}
}

// attach accepts the next child.
func (p *rawPeer) attach(answer accept) {
	conn, err := p.listener.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	p.conn = frame.New(conn, nil)
	p.receive(typeHello, &hello{})
	p.send(typeAccept, answer)
}

// rawChild says hello to a parent.
func (tc *cluster) rawChild(address string, greeting hello, compressor *frame.Compressor) *rawPeer {
	conn, err := tc.net.network("raw-child").Dial(context.Background(), address)
	if err != nil {
		tc.t.Fatal(err)
	}
	greeting.Kind, greeting.RelayAddress = kindNode, "raw-child"
	p := &rawPeer{t: tc.t, conn: frame.New(conn, compressor)}
	// A parent without a free handshake slot answers and closes without reading; the message that the test receives shows it.
	_ = p.conn.Send(time.Time{}, typeHello, greeting)
	return p
}

func (p *rawPeer) send(kind frame.Type, message any) {
	if err := p.conn.Send(time.Time{}, kind, message); err != nil {
		p.t.Fatal(err)
	}
}

// receive skips frames up to one of the given type.
func (p *rawPeer) receive(kind frame.Type, target any) {
	p.t.Helper()
	for {
		received, err := p.conn.Receive(time.Now().Add(linkTimeout))
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
	return core.Endpoint{Address: "127.0.0.1:1", Service: service, Release: "v1", Slots: 9, State: state}
}
