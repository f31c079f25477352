package distribution

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/record"
	"parsleyport/core/retry"
	"parsleyport/io/frame"
)

var (
	ownOwner = lease.Owner{
		Name: "self",
	}
	parentOwner = lease.Owner{
		Name:   "parent",
		Remote: true,
	}
)

// Status describes a subscriber for a state dump.
type Status struct {
	State        string         `json:"state"`
	Parent       string         `json:"parent,omitempty"`
	Path         []core.NodeID  `json:"path"`
	Control      core.ControlID `json:"control,omitempty"`
	Revision     core.Revision  `json:"revision"`
	Hash         core.Hash      `json:"hash"`
	Confirmed    bool           `json:"confirmed"`
	Children     []core.NodeID  `json:"children"`
	SubtreeNodes int            `json:"subtree-nodes"`
	Lowest       core.Revision  `json:"subtree-lowest-revision"`
	Endpoints    int            `json:"endpoints"`
	CrashReports int            `json:"crash-reports"`
}

var (
	_ record.Source       = (*Subscriber)(nil)
	_ core.EndpointSource = (*Subscriber)(nil)
	_ core.DepartureLog   = (*Subscriber)(nil)
)

// Subscriber keeps a node's configuration and endpoints up to date and relays them to the nodes attached below it.
type Subscriber struct {
	options               SubscriberOptions
	hub                   *hub
	logger                zerolog.Logger
	attachment            *attachment
	conn                  *frame.Conn // to the parent; guarded by hub.mu
	leavingForLocal       bool        // conn was closed in order to attach in the node's own data centre; guarded by hub.mu
	current               atomic.Pointer[record.Configuration]
	uses                  atomic.Pointer[map[core.ServiceName]*lastUse] // copied on write, with hub.mu held
	confirmed             chan struct{}
	confirmedOnce         sync.Once
	endpointsReceived     chan struct{}
	endpointsReceivedOnce sync.Once
	firstStaleTarget      int // attach.nextTarget at the first control instance without a leader, negative if the last parent knew one

	changeMu sync.Mutex // guards changeCh
	changeCh chan struct{}

	// The fields below are guarded by hub.mu.
	sequence      uint64
	announced     core.Endpoint         // zero if nothing is announced
	candidate     *record.Configuration // other content of the current revision, kept until a confirmed read tells which one was accepted
	accepted      configVersion         // version observed by the last confirmed read
	parent        string
	detachedSince time.Time // zero until the first parent is lost
	fleetSize     retry.FleetSize
}

// NewSubscriber starts the relay listener and attaches the node to the tree. It returns an error for invalid options or an address
// in use. The clean-up function withdraws the node's endpoint and waits for all goroutines.
func NewSubscriber(options SubscriberOptions) (*Subscriber, func(), error) {
	if err := options.validate(); err != nil {
		return nil, nil, err
	}
	compressor, err := newCompressor()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	listener, err := options.Network.Listen(options.RelayAddress)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "relay address %q", options.RelayAddress)
	}
	s := &Subscriber{
		options:           options,
		hub:               newHub(options.Logger, newMeters(options.Metrics), options.Network),
		logger:            options.Logger,
		confirmed:         make(chan struct{}),
		endpointsReceived: make(chan struct{}),
		changeCh:          make(chan struct{}),
		firstStaleTarget:  -1,
	}
	s.current.Store(record.Empty())
	s.uses.Store(&map[core.ServiceName]*lastUse{})
	s.hub.compressor = compressor
	s.hub.relayID = options.ID
	s.hub.incarnation, s.hub.dataCentre = options.Incarnation, options.DataCentre
	s.hub.schema = options.Schema
	s.hub.allServices = !options.OnDemandEndpoints
	s.hub.crashes.onCrash, s.hub.crashes.onCompletion = options.OnCrash, options.OnCompletion
	s.hub.setCurrent(record.Empty())
	s.hub.registerGauges(options.Metrics)
	s.hub.confirmer.request(ownLink, 1)
	s.attachment = newAttachment(options.ControlAddresses, attachment{
		hub:             s.hub,
		localDataCentre: options.DataCentre,
		logger:          options.Logger,
		random:          options.Random,
		hello:           s.hello,
		accept:          s.handleAccept,
		serve:           s.serve,
	})
	ctx, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	s.hub.start(func() { s.hub.serve(ctx, listener) })
	s.hub.start(func() { s.hub.tick(ctx, s.tick) })
	s.hub.start(func() { s.attachment.run(ctx) })
	return s, func() {
		s.Withdraw()
		cancel()
		s.hub.goroutines.Wait()
	}, nil
}

func (s *Subscriber) tick(now time.Time) {
	s.leaveForLocalControl()
	s.expireUses(now)
	s.hub.announceLeaderContact(now)
	s.hub.expireRetainedSubscriptions(now)
}

func (s *Subscriber) hello() hello {
	held := s.current.Load()
	return hello{
		Kind:         kindNode,
		ID:           s.options.ID,
		Incarnation:  s.options.Incarnation,
		RelayAddress: s.options.RelayAddress,
		Schema:       s.options.Schema,
		Revision:     held.Revision(),
		Hash:         held.Hash(),
	}
}

// leaveForLocalControl closes a link to a control instance of another data centre once the node's own data centre has one; hub.mu
// is held.
func (s *Subscriber) leaveForLocalControl() {
	if !s.hub.attached || s.hub.stale || s.conn == nil {
		return
	}
	if local, redirected := s.attachment.redirectToLocal(accept{Path: s.hub.path, Controls: s.hub.controls}); redirected {
		s.attachment.localAddresses = local.Addresses
		s.leavingForLocal = true
		_ = s.conn.Close()
	}
}

// checkPath rejects a parent whose path contains this node, since the link would close a loop, and a path that is too long.
func (s *Subscriber) checkPath(message accept) error {
	if slices.Contains(message.Path, s.options.ID) || len(message.Path) > maxPathNodes {
		return errors.Errorf("parent's path %v contains this node or is too long", message.Path)
	}
	return nil
}

// serve runs the link to a parent until it breaks.
func (s *Subscriber) serve(ctx context.Context, conn *frame.Conn, address string) error {
	u := newUplink(conn, kindNode, s.options.EvidenceInterval)
	s.hub.mu.Lock()
	u.detachedMS = -1
	if !s.detachedSince.IsZero() {
		u.detachedMS = time.Since(s.detachedSince).Milliseconds()
	}
	s.parent, s.conn, s.leavingForLocal = address, conn, false
	s.hub.attached, s.hub.heardAt = true, time.Time{}
	s.hub.dropUnwanted()
	if s.hub.stale && len(s.hub.path) == 0 {
		s.firstStaleTarget = -1 // at the end of staleLinkTimeout, all control instances are tried again
		expiry := time.AfterFunc(staleLinkTimeout, func() { s.closeIfStale(conn) })
		defer expiry.Stop()
	}
	s.hub.publishAndWake()
	s.hub.mu.Unlock()
	s.logger.Info().Str("parent", address).Msg("attached")

	err := s.hub.runUplink(ctx, u, func() error { return s.receiveFromParent(u) })

	s.hub.mu.Lock()
	s.parent, s.conn = "", nil
	if s.leavingForLocal {
		err = errLocalControlAvailable
	}
	s.hub.attached = false
	s.hub.confirmer.abandon()
	s.detachedSince = time.Now()
	s.hub.mu.Unlock()
	return err
}

// closeIfStale closes the link to a control instance that still knows no leader, so that the others are tried again.
func (s *Subscriber) closeIfStale(conn *frame.Conn) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.hub.stale {
		_ = conn.Close()
	}
}

// SetControlAddresses replaces the addresses of the settings, which are tried when the parent is lost. An empty list is ignored.
func (s *Subscriber) SetControlAddresses(addresses []string) {
	if len(addresses) > 0 {
		s.attachment.targets.Store(addresses)
	}
}

// Current implements record.Source.
func (s *Subscriber) Current() *record.Configuration {
	return s.current.Load()
}

// Changed implements record.Source.
func (s *Subscriber) Changed() <-chan struct{} {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	return s.changeCh
}

// Endpoints implements core.EndpointSource. The list includes endpoints that are starting or leaving.
func (s *Subscriber) Endpoints(service core.ServiceName) []core.Endpoint {
	return s.hub.endpoints(service)
}

// EndpointsChanged returns a channel that is closed at the next change of a service's endpoints.
func (s *Subscriber) EndpointsChanged(service core.ServiceName) <-chan struct{} {
	return s.hub.endpointsChanged(service)
}

// Tombstones returns the endpoints of a service that left within the last 10 min, sorted by node.
func (s *Subscriber) Tombstones(service core.ServiceName) []core.Endpoint {
	return s.hub.tombstones(service)
}

// Confirmed reports whether the current configuration is at least as new as any that an earlier run of the node served.
func (s *Subscriber) Confirmed() bool {
	select {
	case <-s.confirmed:
		return true
	default:
		return false
	}
}

// ConfirmedSignal returns a channel that is closed once Confirmed returns true.
func (s *Subscriber) ConfirmedSignal() <-chan struct{} {
	return s.confirmed
}

// Announce announces the node's endpoint to all nodes. It fills in the node, incarnation, sequence and data centre, and sends
// nothing if the endpoint has not changed.
func (s *Subscriber) Announce(endpoint core.Endpoint) {
	endpoint.Node = s.options.ID
	endpoint.Incarnation = s.options.Incarnation
	endpoint.DataCentre = s.options.DataCentre
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	endpoint.Sequence = s.sequence
	if endpoint == s.announced {
		return
	}
	s.sequence++
	endpoint.Sequence = s.sequence
	s.announced = endpoint
	s.hub.table.Announce(time.Now(), ownOwner, endpoint)
	s.hub.publishAndWake()
}

// Withdraw removes the node's endpoint.
func (s *Subscriber) Withdraw() {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.announced.Node == "" {
		return
	}
	s.sequence++
	s.hub.table.Remove(time.Now(), ownOwner, lease.Removal{
		Node:        s.announced.Node,
		Incarnation: s.announced.Incarnation,
		Sequence:    s.sequence,
		Service:     s.announced.Service,
	})
	s.announced = core.Endpoint{}
	s.hub.publishAndWake()
}

// ReportEvidence sends the counts since the last report towards the control instances, and the list of moves that the node
// reports on, including moves without calls.
func (s *Subscriber) ReportEvidence(moves []core.MoveID, counted []core.EvidenceCount) {
	for i := range counted {
		counted[i].DataCentre = s.options.DataCentre
	}
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	s.hub.ownMoves = moves
	now := time.Now()
	for _, count := range counted {
		s.hub.addEvidence(now, count, 0)
	}
	s.hub.publishAndWake()
}

// Bytes returns the number of bytes sent and received over all links.
func (s *Subscriber) Bytes() (sent, received uint64) {
	return s.hub.meters.sent.Get(), s.hub.meters.received.Get()
}

// Status returns a summary of the subscriber's state.
func (s *Subscriber) Status() Status {
	held := s.current.Load()
	endpoints := s.hub.liveEndpoints()
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	status := Status{
		State:     string(s.attachment.current()),
		Parent:    s.parent,
		Path:      s.hub.path,
		Control:   s.hub.control,
		Revision:  held.Revision(),
		Hash:      held.Hash(),
		Confirmed: s.Confirmed(),
		Children:  s.hub.childIDs(),
		Endpoints: endpoints,

		CrashReports: s.hub.crashes.reports(),
	}
	report := s.hub.ownAcknowledgement().merge(s.hub.subtreeAcknowledgement())
	status.SubtreeNodes, status.Lowest = report.Nodes, report.Lowest
	return status
}
