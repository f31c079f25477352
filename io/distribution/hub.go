package distribution

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/record"
	"parsleyport/core/ring"
	"parsleyport/io/frame"
)

// hub is the part that a Source and a Subscriber share: the state that they distribute and the links to their children.
type hub struct {
	logger      zerolog.Logger
	meters      *meters
	network     Network
	compressor  *frame.Compressor // compression of links between data centres
	relayID     core.NodeID       // the node's ID; empty on a control instance
	schema      core.SchemaVersion
	dataCentre  core.DataCentre
	incarnation core.Incarnation // only of a node
	// departureLog is nil on a node.
	departureLog core.DepartureLog
	// quotaLender is nil on a node, and leaderAddress is nil with it.
	quotaLender   QuotaLender
	leaderAddress func() string
	// confirmWake wakes the goroutine that runs confirmed reads. It is nil on a node, which asks its parent instead.
	confirmWake *ring.Ring[struct{}]

	endpointsByService atomic.Pointer[map[core.ServiceName][]core.Endpoint]
	handshakeSlots     chan struct{}
	departSlots        chan struct{}
	quotaSlots         chan struct{}
	goroutines         sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	table       *lease.Table
	evidenceRun core.Incarnation // only of a control instance: tells its sums from those of earlier runs
	evidence    *evidenceStore   // only of a control instance
	pendingSums pendingSums
	lateness    lateness // only of a control instance
	lastStepAt  map[core.MoveID]time.Time
	ownMoves    []core.MoveID // moves on which this node reports
	nodes       *nodeStore
	crashes     *crashStore
	confirmer   *confirmer
	history     *history
	current     *record.Configuration
	children    map[uint64]*child
	lastLinkID  uint64
	uplinks     map[*uplink]bool
	path        []core.NodeID // from the parent up to the control instance
	// watchers hold one channel for each service, which is closed at the next change of its endpoints.
	watchers    map[core.ServiceName]chan struct{}
	control     core.ControlID
	stale       bool   // the control instance knows no leader
	pathVersion uint64 // counts changes of the path
	attached    bool
	// heardAt is when the newest ping that the parent has answered on the present link was sent; zero if there is none.
	heardAt       time.Time
	parentUnheard bool // the parent is a relay that hears from no leader
	unheardSent   bool // the children were told that this relay hears from no leader
	// parentReadsRows means that the parent can read sums in rows.
	parentReadsRows bool
	allServices     bool // this node wants the endpoints of all services
	services        map[core.ServiceName]bool
	// retainedUntil holds the subscriptions of lost children, and those that ended while the node had no parent, with the times at
	// which they expire.
	retainedUntil        map[core.ServiceName]time.Time
	subscriptionsVersion uint64 // counts changes of the services that this node and its children want
	complete             bool   // the table has all endpoints, so that digests and removals are final
	// unsynced holds the services that this node or its children want and whose endpoints the parent has not sent yet; the value
	// means that the parent's next digest covers the service. unsyncedAll stands for all services.
	unsynced    map[core.ServiceName]bool
	unsyncedAll bool
	peerReports map[core.ControlID]peerReport
	peers       map[core.ControlID]bool
	// controls lists the addresses at which nodes can attach to control instances; if empty, nodes use those of their settings.
	controls       []ControlAddress
	maxDirectNodes int // that may attach to this control instance, for each data centre
	fleetNodes     int // sent to the children, zero if unknown
}

// peerReport is the last acknowledgement of another control instance; expiresAt is set when its link is lost.
type peerReport struct {
	acknowledge acknowledge
	linkID      uint64
	expiresAt   time.Time
}

func newHub(logger zerolog.Logger, meters *meters, network Network) *hub {
	h := &hub{
		logger:         logger,
		meters:         meters,
		network:        network,
		handshakeSlots: make(chan struct{}, maxHandshakes),
		departSlots:    make(chan struct{}, maxDeparts),
		quotaSlots:     make(chan struct{}, maxQuotaLinks),
		table:          lease.New(),
		evidence:       newEvidenceStore(),
		pendingSums: pendingSums{
			counts: make(map[series]pendingSum),
		},
		lateness:      make(lateness),
		nodes:         newNodeStore(),
		crashes:       newCrashStore(),
		confirmer:     newConfirmer(),
		history:       &history{},
		children:      make(map[uint64]*child),
		unsynced:      make(map[core.ServiceName]bool),
		watchers:      make(map[core.ServiceName]chan struct{}),
		services:      make(map[core.ServiceName]bool),
		retainedUntil: make(map[core.ServiceName]time.Time),
		uplinks:       make(map[*uplink]bool),
		peerReports:   make(map[core.ControlID]peerReport),
		peers:         make(map[core.ControlID]bool),
	}
	h.endpointsByService.Store(&map[core.ServiceName][]core.Endpoint{})
	return h
}

// start runs a function on its own goroutine, for which the clean-up function waits.
func (h *hub) start(run func()) {
	h.goroutines.Go(run)
}

// publishAndWake publishes changed endpoints and wakes the senders of all links; mu is held.
func (h *hub) publishAndWake() {
	h.publish()
	for _, c := range h.children {
		c.wake.TryPush(struct{}{})
	}
	for u := range h.uplinks {
		u.wake.TryPush(struct{}{})
	}
	if h.confirmWake != nil {
		h.confirmWake.TryPush(struct{}{})
	}
}

func (h *hub) publish() {
	dirty := h.table.TakeDirty()
	if len(dirty) == 0 {
		return
	}
	held := *h.endpointsByService.Load()
	next := make(map[core.ServiceName][]core.Endpoint, len(held)+len(dirty))
	for service, list := range held {
		next[service] = list
	}
	for _, service := range dirty {
		next[service] = h.table.Endpoints(service)
		if len(next[service]) == 0 {
			delete(next, service)
		}
	}
	h.endpointsByService.Store(&next)
	for _, service := range dirty {
		h.notifyWatchers(service)
	}
}

// notifyWatchers closes the channel that was handed out for the next change of a service's endpoints; mu is held.
func (h *hub) notifyWatchers(service core.ServiceName) {
	if watcher, exists := h.watchers[service]; exists {
		close(watcher)
		delete(h.watchers, service)
	}
}

func (h *hub) endpointsChanged(service core.ServiceName) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	watcher, exists := h.watchers[service]
	if !exists {
		watcher = make(chan struct{})
		h.watchers[service] = watcher
	}
	return watcher
}

// setCurrent makes a configuration the one that children are sent; mu is held.
func (h *hub) setCurrent(configuration *record.Configuration) {
	h.recordSteps(time.Now(), configuration)
	h.current = configuration
	h.history.add(configuration)
	for _, c := range h.children {
		h.compareContent(c)
	}
	h.publishAndWake()
}

func (h *hub) endpoints(service core.ServiceName) []core.Endpoint {
	return (*h.endpointsByService.Load())[service]
}

func (h *hub) tombstones(service core.ServiceName) []core.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	gone := h.table.Tombstones(time.Now().Add(-lease.TombstoneAge), func(name core.ServiceName) bool { return name == service })
	list := make([]core.Endpoint, 0, len(gone))
	for _, each := range gone {
		list = append(list, each.Endpoint)
	}
	return list
}

// subtreeAcknowledgement merges the acknowledgements of the children; mu is held.
func (h *hub) subtreeAcknowledgement() acknowledge {
	var sum acknowledge
	for _, c := range h.children {
		sum = sum.merge(c.acknowledged.subtreeOnly())
	}
	return sum
}

// tick ends grace periods every tickInterval; onTick runs with mu held.
func (h *hub) tick(ctx context.Context, onTick func(now time.Time)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.mu.Lock()
			before := h.table.Position(lease.All) + h.table.Position(lease.Local)
			h.table.Expire(now)
			h.nodes.expire(now)
			h.reportSelf(now)
			if before != h.table.Position(lease.All)+h.table.Position(lease.Local) {
				h.publishAndWake()
			}
			onTick(now)
			h.mu.Unlock()
		}
	}
}

// sender runs the sending side of a link: step returns the messages that are due and when to check again.
func (h *hub) sender(ctx context.Context, wake *ring.Ring[struct{}], send func(outgoing) error, step func(now time.Time) ([]outgoing, time.Time)) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		messages, nextCheck := step(time.Now())
		for _, m := range messages {
			if err := send(m); err != nil {
				return err
			}
		}
		if len(messages) > 0 {
			continue // state may have changed during the sends
		}
		timer.Reset(time.Until(nextCheck))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake.Items():
		case <-timer.C:
		}
	}
}

// pacer spaces the messages of one kind by a minimum interval.
type pacer struct {
	interval time.Duration
	next     time.Time
}

func (p *pacer) ready(now time.Time) bool {
	return !now.Before(p.next)
}

func (p *pacer) sent(now time.Time) {
	p.next = now.Add(p.interval)
}

func anyService(core.ServiceName) bool { return true }

func (h *hub) childIDs() []core.NodeID {
	ids := make([]core.NodeID, 0, len(h.children))
	for _, c := range h.children {
		ids = append(ids, c.hello.ID)
	}
	slices.Sort(ids)
	return ids
}

func (h *hub) liveEndpoints() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.LiveCount()
}
