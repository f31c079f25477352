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

// Intervals and limits of the protocol; the design page gives the reasons for those that it names.
const (
	pingInterval = 600 * time.Millisecond
	// linkTimeout allows for two lost pings. A node has to find another control instance and catch up within 3 s.
	linkTimeout  = 3 * pingInterval
	writeTimeout = linkTimeout
	// dialTimeout and helloTimeout are a few times the longest way between regions; an instance without power answers nothing,
	// and one that stands still accepts a connection.
	dialTimeout      = 700 * time.Millisecond
	helloTimeout     = dialTimeout
	finalSendTimeout = 500 * time.Millisecond
	tickInterval     = 200 * time.Millisecond

	// A change that follows another one waits this long, so that a burst goes out in one frame. One endpoint change costs
	// each node that sees it about 63 bytes, or 15 if only the state changes.
	batchInterval    = 100 * time.Millisecond
	evidenceInterval = time.Second

	// startupGrace is how long a control instance that has just started sends no removals.
	startupGrace = 10 * time.Second
	// brokenLinkGrace is how long the node at the other end of a broken link stays listed. It may be a short cut of the
	// connection; a silent link has used up its time already.
	brokenLinkGrace = 2 * time.Second
	// lostSubtreeGrace is how long nodes behind a lost relay stay listed: the longest wait between two attempts to attach is 5 s.
	lostSubtreeGrace = 10 * time.Second
	// lostControlGrace is how long the nodes of a lost control instance stay listed while they attach elsewhere.
	lostControlGrace = 30 * time.Second

	// subscriptionTTL is how long a node gets the endpoints of a service after its last use: the window of the idempotency
	// keys, so that it sees the holders of every key that it claimed.
	subscriptionTTL = lease.TombstoneAge
	// lostChildSubscriptionTTL is how long a relay keeps the subscriptions of a child whose link broke, which is likely to come back or
	// to have moved to another relay.
	lostChildSubscriptionTTL = lostSubtreeGrace

	// leaderlessTimeout is how long a control instance may know no leader before its children look for another one. An election
	// takes about half as long once the leader is missed; children that leave during a slow one find that the others know no
	// leader either, and stay with one of them.
	leaderlessTimeout = 700 * time.Millisecond
	// staleLinkTimeout is how long a node stays with a control instance without a leader, if it found no better one, before it looks again.
	staleLinkTimeout = 30 * time.Second

	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// redirectWindow is how long a redirected node counts as a child of the relay that it was sent to.
	redirectWindow = 5 * time.Second
	// localRetryInterval is how long a node stays with a control instance of another data centre after an attempt to attach in its own.
	localRetryInterval = 5 * time.Second
	// silentExclusion is how long an address whose link went silent is left out, in which all others are tried.
	silentExclusion = 5 * time.Second
	// unansweredExclusion is how long one is left out that did not answer in time: it may have been a part of the network.
	unansweredExclusion = 2 * time.Second

	maxDirectPerDataCentre = 2
	maxDirectChildren      = 128 // 64 data centres
	maxRelayChildren       = 16
	maxHandshakes          = 32
	maxPathNodes           = 12
	maxRedirects           = 8
	maxSubscriptions       = 4096
)

// Peer is another control instance and the address where nodes attach to it.
type Peer struct {
	ID      core.ControlID
	Address string
}

// ControlAddress is where nodes attach to a control instance.
type ControlAddress struct {
	Address    string          `msgpack:"address"`
	DataCentre core.DataCentre `msgpack:"data-centre"`
}

// Network opens and accepts connections; tests replace it.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// SourceOptions configure the root of a tree on a control instance.
type SourceOptions struct {
	ID               core.ControlID
	ListenAddress    string // nodes and other control instances attach here
	DataCentre       core.DataCentre
	Peers            []Peer
	DirectNodes      int           // of one data centre that may attach, zero for 2; others are redirected to those
	EvidenceInterval time.Duration // between two reports of evidence to the other control instances, zero for 1 s
	Catalog          record.Source
	Replicator       core.Replicator // its status must name the leader while there is one
	Logger           zerolog.Logger
	Metrics          *metrics.Set // optional
	Network          Network      // optional, TCP by default
}

// SubscriberOptions configure a node's place in the tree.
type SubscriberOptions struct {
	ID                core.NodeID
	Incarnation       core.Incarnation
	DataCentre        core.DataCentre
	RelayAddress      string // nodes below attach here
	ControlAddresses  []string
	OnCrash           func(at time.Time, report core.CrashReport) // optional; gets each report once and must not block
	OnDemandEndpoints bool                                        // receive only the endpoints of services in use, see Subscribe; default is all services
	Logger            zerolog.Logger
	Metrics           *metrics.Set       // optional
	Network           Network            // optional, TCP by default
	Random            func() float64     // optional, in [0, 1)
	Schema            core.SchemaVersion // optional, the newest schema version that the program supports
	EvidenceInterval  time.Duration      // between two reports of evidence to the parent, zero for 1 s
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
			return errors.Errorf("distribution source: control instance %q at %q: expected another id and an address", peer.ID, peer.Address)
		}
	}
	if o.DirectNodes == 0 {
		o.DirectNodes = maxDirectPerDataCentre
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
