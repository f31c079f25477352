package distribution

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/record"
)

// Intervals and limits of the protocol. The design page gives the reasons for those that it names.
const (
	pingInterval = 600 * time.Millisecond
	// linkTimeout tolerates two lost pings. It is part of the 3 s within which a node that loses its parent has to find another
	// control instance and catch up.
	linkTimeout  = 3 * pingInterval
	writeTimeout = linkTimeout
	// dialTimeout and helloTimeout are a few times the longest round trip between regions. A host without power does not answer
	// a dial; a process that hangs accepts the connection and does not answer the hello.
	dialTimeout      = 700 * time.Millisecond
	helloTimeout     = dialTimeout
	finalSendTimeout = 500 * time.Millisecond
	tickInterval     = 200 * time.Millisecond

	// batchInterval is how long a change that follows another one waits, so that a burst is sent in one frame. One endpoint
	// change costs about 63 bytes for each node that receives it, or 15 if only the state changes.
	batchInterval    = 100 * time.Millisecond
	evidenceInterval = time.Second
	// startupGrace is how long a control instance sends no removals after its start, since not all endpoints have been announced
	// to it again.
	startupGrace = 10 * time.Second
	// brokenLinkGrace is how long the node at the other end of a broken link stays listed: the interruption may be short. A
	// link that timed out gets no grace period, since the timeout has served as one.
	brokenLinkGrace = 2 * time.Second
	// lostSubtreeGrace is how long nodes below a lost relay stay listed; the longest wait between two attempts to attach is 5 s.
	lostSubtreeGrace = 10 * time.Second
	// lostControlGrace is how long the nodes of a lost control instance stay listed while they attach to another one.
	lostControlGrace = 30 * time.Second

	// subscriptionTTL is how long a node receives the endpoints of a service after its last use. It equals the window of the
	// idempotency keys, so that the node sees the holders of every key that it claimed.
	subscriptionTTL = lease.TombstoneAge
	// lostChildSubscriptionTTL is how long a relay keeps the subscriptions of a child whose link broke. The child probably
	// reconnects or attaches to another relay.
	lostChildSubscriptionTTL = lostSubtreeGrace

	// leaderlessTimeout is how long a control instance may know no leader before its children look for another instance. An
	// election takes about half as long once the loss of the leader is noticed. Children that leave during a slow election find
	// that the other instances know no leader either, and stay with one of them.
	leaderlessTimeout = 700 * time.Millisecond
	// staleLinkTimeout is how long a node stays with a leaderless control instance, if it found no better one, before it tries
	// the others again.
	staleLinkTimeout = 30 * time.Second

	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// redirectWindow is how long a redirected node counts as a child of the relay to which it was redirected.
	redirectWindow = 5 * time.Second
	// localRetryInterval is how long a node stays with a control instance of another data centre after it tried to attach in
	// its own data centre.
	localRetryInterval = 5 * time.Second
	// linkTimeoutExclusion is how long an address is excluded after its link timed out; all others are tried in that time.
	linkTimeoutExclusion = 5 * time.Second
	// handshakeTimeoutExclusion is how long an address is excluded after a dial or handshake timed out. It is shorter, since a
	// partition of the network may have been the cause.
	handshakeTimeoutExclusion = 2 * time.Second

	defaultDirectNodesPerDataCentre = 2
	// maxDirectChildren bounds the links of a control instance, whatever its DirectNodes are. With three control instances lost, the
	// other two of five must take all nodes of a fleet of hundreds.
	maxDirectChildren = 1024
	maxRelayChildren  = 16
	maxHandshakes     = 32
	maxHelloBytes     = 64 << 10 // of the first message of a link, also of a request about departures
	maxPathNodes      = 12
	maxRedirects      = 8
	maxSubscriptions  = 4096
)

// Peer names another control instance and the address on which it accepts nodes and other control instances.
type Peer struct {
	ID      core.ControlID
	Address string
}

// ControlAddress is an address at which nodes attach to a control instance, and the instance's data centre.
type ControlAddress struct {
	Address    string          `msgpack:"address"`
	DataCentre core.DataCentre `msgpack:"data-centre"`
}

// Network opens and accepts connections; tests replace it.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// SourceOptions configures a Source.
type SourceOptions struct {
	ID               core.ControlID
	ListenAddress    string // nodes and other control instances attach here
	DataCentre       core.DataCentre
	Peers            []Peer
	DirectNodes      int           // nodes of each data centre that may attach directly, zero for 2; others are redirected to these
	EvidenceInterval time.Duration // interval of evidence reports to the other control instances, zero for 1 s
	Catalog          record.Source
	Replicator       core.Replicator   // its status names the leader whenever there is one
	Departures       core.DepartureLog // optional; without it, departures are not answered
	Quotas           QuotaLender       // optional; without it, requests for units are not answered
	Logger           zerolog.Logger
	Metrics          *metrics.Set // optional
	Network          Network      // optional, TCP by default
}

// SubscriberOptions configures a Subscriber.
type SubscriberOptions struct {
	ID                core.NodeID
	Incarnation       core.Incarnation
	DataCentre        core.DataCentre
	RelayAddress      string // children attach here
	ControlAddresses  []string
	OnCrash           func(at time.Time, report core.CrashReport) // optional; called once for each report, must not block
	OnCompletion      func(at time.Time, fingerprint uint64)      // optional; called for completions of requests of known crashes, must not block
	OnDemandEndpoints bool                                        // receive only the endpoints of services in use, see Subscribe
	Logger            zerolog.Logger
	Metrics           *metrics.Set       // optional
	Network           Network            // optional, TCP by default
	Random            func() float64     // optional, in [0, 1)
	Schema            core.SchemaVersion // the newest schema version that the program supports, zero for record.NewestSchema
	EvidenceInterval  time.Duration      // interval of evidence reports to the parent, zero for 1 s
}

func (o *SourceOptions) validate() error {
	if o.ID == "" || o.ListenAddress == "" {
		return errors.New("distribution source: id and listen address are required")
	}
	if o.Catalog == nil || o.Replicator == nil {
		return errors.New("distribution source: catalog and replicator are required")
	}
	for _, peer := range o.Peers {
		if peer.ID == "" || peer.ID == o.ID || peer.Address == "" {
			return errors.Errorf("distribution source: control instance %q at %q: the id must name another instance and the address must not be empty", peer.ID, peer.Address)
		}
	}
	if o.DirectNodes == 0 {
		o.DirectNodes = defaultDirectNodesPerDataCentre
	}
	if o.EvidenceInterval == 0 {
		o.EvidenceInterval = evidenceInterval
	}
	o.Metrics = setOrNew(o.Metrics)
	o.Network = o.Network.withTCPDefaults()
	return nil
}

func (o *SubscriberOptions) validate() error {
	if o.ID == "" || o.Incarnation == 0 || o.RelayAddress == "" {
		return errors.New("distribution subscriber: id, incarnation and relay address are required")
	}
	if len(o.ControlAddresses) == 0 {
		return errors.New("distribution subscriber: at least one control address is required")
	}
	if o.Schema == 0 {
		o.Schema = record.NewestSchema
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.EvidenceInterval == 0 {
		o.EvidenceInterval = evidenceInterval
	}
	o.Metrics = setOrNew(o.Metrics)
	o.Network = o.Network.withTCPDefaults()
	return nil
}

func setOrNew(set *metrics.Set) *metrics.Set {
	if set == nil {
		return metrics.NewSet()
	}
	return set
}

func (n Network) withTCPDefaults() Network {
	if n.Listen == nil {
		n.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if n.Dial == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		n.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return n
}
