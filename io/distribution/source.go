package distribution

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/retry"
	"parsleyport/core/ring"
	"parsleyport/io/frame"
)

const (
	// confirmRetryInterval is the wait before a failed confirmed read is retried.
	confirmRetryInterval = 100 * time.Millisecond
	// minFleetChangeDivisor is the divisor of the part by which the fleet must change for its size to be sent again.
	minFleetChangeDivisor = 8
)

// Fleet summarises all attached nodes, including those of the other control instances.
type Fleet struct {
	Lowest core.Revision      `json:"lowest-revision-in-force"`
	Nodes  int                `json:"nodes"`
	Schema core.SchemaVersion `json:"schema-floor"` // zero without nodes
}

var _ core.EndpointSource = (*Source)(nil)

// Source is the root of a tree on a control instance.
type Source struct {
	options     SourceOptions
	hub         *hub
	confirmWake *ring.Ring[struct{}]
	context     context.Context
	peerLinks   map[core.ControlID]peerLink // guarded by hub.mu
	fleetSize   retry.FleetSize             // guarded by hub.mu
}

// peerLink is the outgoing link to another control instance.
type peerLink struct {
	address string
	stop    context.CancelFunc
}

// NewSource starts the listener for nodes and the links to the other control instances. It returns an error for invalid options
// or an address in use. The clean-up function waits for all goroutines.
func NewSource(options SourceOptions) (*Source, func(), error) {
	if err := options.validate(); err != nil {
		return nil, nil, err
	}
	compressor, err := newCompressor()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	listener, err := options.Network.Listen(options.ListenAddress)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "node address %q", options.ListenAddress)
	}
	s := &Source{
		options:     options,
		hub:         newHub(options.Logger, newMeters(options.Metrics), options.Network),
		confirmWake: ring.New[struct{}](1),
		peerLinks:   make(map[core.ControlID]peerLink),
	}
	s.hub.compressor, s.hub.dataCentre = compressor, options.DataCentre
	s.hub.maxDirectNodes = options.DirectNodes
	s.hub.control = options.ID
	s.hub.evidenceRun = core.Incarnation(time.Now().UnixNano())
	s.hub.attached = true
	s.hub.pathVersion = 1
	s.hub.confirmWake = s.confirmWake
	s.hub.departureLog = options.Departures
	s.hub.quotaLender, s.hub.leaderAddress = options.Quotas, s.leaderAddress
	s.hub.setCurrent(options.Catalog.Current())
	s.hub.registerGauges(options.Metrics)
	ctx, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	s.context = ctx
	s.SetPeers(options.Peers, nil)
	began := time.Now()
	s.hub.start(func() { s.hub.serve(ctx, listener) })
	s.hub.start(func() { s.followCatalog(ctx) })
	s.hub.start(func() { s.confirmReads(ctx) })
	s.hub.start(func() { s.watchLeader(ctx) })
	s.hub.start(func() { s.hub.tick(ctx, func(now time.Time) { s.tick(now, began) }) })
	return s, func() {
		cancel()
		s.hub.goroutines.Wait()
	}, nil
}

// SetPeers replaces the links to the other control instances and sends the nodes the addresses at which they can attach, this
// instance's own included. Without addresses, the nodes use those of their settings.
func (s *Source) SetPeers(peers []Peer, addresses []ControlAddress) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.context.Err() != nil {
		return
	}
	wanted := make(map[core.ControlID]string, len(peers))
	for _, peer := range peers {
		wanted[peer.ID] = peer.Address
	}
	for id, link := range s.peerLinks {
		if wanted[id] != link.address {
			link.stop()
			delete(s.peerLinks, id)
			delete(s.hub.peers, id)
		}
	}
	for _, peer := range peers {
		if _, linked := s.peerLinks[peer.ID]; linked {
			continue
		}
		ctx, stop := context.WithCancel(s.context)
		s.peerLinks[peer.ID] = peerLink{
			address: peer.Address,
			stop:    stop,
		}
		s.hub.peers[peer.ID] = true
		a := s.peerAttachment(peer)
		s.hub.start(func() { a.run(ctx) })
	}
	if !slices.Equal(s.hub.controls, addresses) {
		s.hub.controls = addresses
		s.hub.pathVersion++
		s.hub.publishAndWake()
	}
}

func (s *Source) tick(now, began time.Time) {
	if !s.hub.complete && now.Sub(began) >= startupGrace {
		s.hub.complete = true
		s.hub.publishAndWake()
	}
	for id, report := range s.hub.peerReports {
		if !report.expiresAt.IsZero() && !now.Before(report.expiresAt) {
			delete(s.hub.peerReports, id)
		}
	}
	s.fleetSize.Observe(now, s.fleetReport().Nodes)
	s.announceFleetSize(now)
}

// announceFleetSize tells the children about a fleet that has changed by over an eighth. During the grace period after the start,
// most nodes may still be on their way here, so that they are told nothing.
func (s *Source) announceFleetSize(now time.Time) {
	nodes := s.fleetSize.Nodes(now)
	difference := max(nodes-s.hub.fleetNodes, s.hub.fleetNodes-nodes)
	if !s.hub.complete || difference*minFleetChangeDivisor <= s.hub.fleetNodes {
		return
	}
	s.hub.fleetNodes = nodes
	s.hub.pathVersion++
	s.hub.publishAndWake()
}

// watchLeader marks this control instance as stale after leaderlessTimeout without a known leader, and tells the children about
// each change.
func (s *Source) watchLeader(ctx context.Context) {
	lastKnown := time.Now()
	for ctx.Err() == nil {
		if s.options.Replicator.Status().Leader != "" {
			lastKnown = time.Now()
		}
		s.setStale(time.Since(lastKnown) >= leaderlessTimeout)
		sleepContext(ctx, tickInterval)
	}
}

func (s *Source) setStale(stale bool) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.hub.stale == stale {
		return
	}
	s.hub.stale = stale
	s.hub.pathVersion++
	s.hub.publishAndWake()
	s.options.Logger.Info().Bool("stale", stale).Msg("stale state of the control instance changed")
}

// followCatalog distributes each new configuration of the catalog; slow children skip some revisions.
func (s *Source) followCatalog(ctx context.Context) {
	for {
		changed := s.options.Catalog.Changed()
		s.hub.mu.Lock()
		if newest := s.options.Catalog.Current(); newest.Revision() > s.hub.current.Revision() {
			s.hub.setCurrent(newest)
		}
		s.hub.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// confirmReads runs one confirmed read at a time for all requests that arrived before it began.
func (s *Source) confirmReads(ctx context.Context) {
	for {
		if _, err := s.confirmWake.Pop(ctx); err != nil {
			return
		}
		for s.confirmOnce(ctx) {
			// another request may have arrived during the read
		}
	}
}

func (s *Source) confirmOnce(ctx context.Context) bool {
	s.hub.mu.Lock()
	number, begun := s.hub.confirmer.begin()
	s.hub.mu.Unlock()
	if !begun {
		return false
	}
	readCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	err := s.options.Replicator.ConfirmRead(readCtx)
	cancel()
	newest := s.options.Catalog.Current()
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if err != nil {
		s.hub.confirmer.abandon()
		time.AfterFunc(confirmRetryInterval, func() { s.confirmWake.TryPush(struct{}{}) })
		return false
	}
	s.hub.confirmer.finish(number, configVersionOf(newest))
	if newest.Revision() > s.hub.current.Revision() {
		s.hub.setCurrent(newest)
	}
	s.hub.publishAndWake()
	return true
}

// peerAttachment returns the attachment that forwards announcements, evidence and reports of this control instance to another one.
func (s *Source) peerAttachment(peer Peer) *attachment {
	return newAttachment([]string{peer.Address}, attachment{
		hub:    s.hub,
		logger: s.options.Logger.With().Str("peer", string(peer.ID)).Logger(),
		random: rand.Float64,
		hello: func() hello {
			return hello{
				Kind: kindControl,
				ID:   core.NodeID(s.options.ID),
			}
		},
		accept: func(accept) error { return nil },
		serve: func(ctx context.Context, conn *frame.Conn, _ string) error {
			u := newUplink(conn, kindControl, s.options.EvidenceInterval)
			return s.hub.runUplink(ctx, u, func() error {
				for {
					// Only pongs and path changes arrive. Neither is needed: evidence is cumulative and sent again on the next link.
					if _, err := s.hub.receive(conn, linkTimeout); err != nil {
						return err
					}
				}
			})
		},
	})
}

// leaderAddress returns the address at which nodes reach the leader, empty if it is this instance or unknown.
func (s *Source) leaderAddress() string {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return s.peerLinks[s.options.Replicator.Status().Leader].address
}

// Endpoints implements core.EndpointSource.
func (s *Source) Endpoints(service core.ServiceName) []core.Endpoint {
	return s.hub.endpoints(service)
}

// Fleet returns the lowest revision in force, the number of nodes and the newest schema version that all of them support. Nodes
// that lost their parent are not counted until they are attached again.
func (s *Source) Fleet() Fleet {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	report := s.fleetReport()
	return Fleet{
		Lowest: report.Lowest,
		Nodes:  report.Nodes,
		Schema: report.Schema,
	}
}

// fleetReport merges the acknowledgements of all control instances; hub.mu is held.
func (s *Source) fleetReport() acknowledge {
	report := s.hub.subtreeAcknowledgement()
	for _, other := range s.hub.peerReports {
		report = report.merge(other.acknowledge)
	}
	return report
}

// Evidence returns the cumulative sums by run of a control instance, data centre, move, service, route and release.
func (s *Source) Evidence() []core.EvidenceCount {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return s.hub.evidence.all()
}

// Reporting returns the number of nodes that report on a move. Nodes that lost their parent are not counted until they are attached
// again.
func (s *Source) Reporting(move core.MoveID) int {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return s.hub.reportingNodes(true)[move]
}

// Bytes returns the number of bytes sent and received over all links.
func (s *Source) Bytes() (sent, received uint64) {
	return s.hub.meters.sent.Get(), s.hub.meters.received.Get()
}
