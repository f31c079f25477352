package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

const (
	maxAskedNodes  = 8    // per key
	maxHolderNodes = 8192 // over all services
	maxServices    = 4096
)

// Holders records which nodes announce each service or did so within the window, and ranks them as holders of a key.
type Holders struct {
	services map[core.ServiceName]*serviceNodes
	nodes    int
}

type serviceNodes struct {
	nodes      map[core.NodeID]*holderNode
	observedAt time.Time
}

type holderNode struct {
	endpoint     core.Endpoint
	firstSeenAt  time.Time
	lastSeenAt   time.Time
	joinObserved bool // it was absent in the previous observation
}

// Holder is a node that is asked about a key.
type Holder struct {
	core.Endpoint
	FirstSeen      time.Time // starts again after an absence of more than JoinLag
	RecentlyJoined bool      // it joined within the window and had not been seen in it before
}

// NewHolders returns Holders without nodes.
func NewHolders() *Holders {
	return &Holders{
		services: make(map[core.ServiceName]*serviceNodes),
	}
}

// Observe records the current endpoints of a service. It must be called at least every few seconds.
func (h *Holders) Observe(now time.Time, service core.ServiceName, endpoints []core.Endpoint) {
	known := h.services[service]
	if known == nil {
		if len(endpoints) == 0 || len(h.services) >= maxServices {
			return
		}
		known = &serviceNodes{
			nodes: make(map[core.NodeID]*holderNode),
		}
		h.services[service] = known
	}
	nodes := known.nodes
	// After a longer gap, a new node may have joined between the observations or before this node started.
	joinObserved := now.Sub(known.observedAt) <= JoinLag
	known.observedAt = now
	for id, node := range nodes {
		if now.Sub(node.lastSeenAt) > Window {
			delete(nodes, id)
			h.nodes--
		}
	}
	for _, endpoint := range endpoints {
		h.observe(now, nodes, endpoint, joinObserved)
	}
	if len(nodes) == 0 {
		delete(h.services, service)
	}
}

func (h *Holders) observe(now time.Time, nodes map[core.NodeID]*holderNode, endpoint core.Endpoint, joinObserved bool) {
	if node := nodes[endpoint.Node]; node != nil {
		if now.Sub(node.lastSeenAt) > JoinLag {
			// The node may have been absent for longer than other entry nodes keep it, so its age starts again.
			node.firstSeenAt, node.joinObserved = now, false
		}
		node.endpoint = endpoint
		node.lastSeenAt = now
		return
	}
	if h.nodes >= maxHolderNodes {
		return
	}
	h.nodes++
	nodes[endpoint.Node] = &holderNode{
		endpoint:     endpoint,
		firstSeenAt:  now,
		lastSeenAt:   now,
		joinObserved: joinObserved,
	}
}

// Ages returns for how long each node returned by Choose has been known.
func (h *Holders) Ages(now time.Time, key Key) map[core.NodeID]time.Duration {
	chosen := h.Choose(now, key)
	ages := make(map[core.NodeID]time.Duration, len(chosen))
	for _, holder := range chosen {
		ages[holder.Node] = now.Sub(holder.FirstSeen)
	}
	return ages
}

// MergeAges adopts the greater ages that another node has recorded for nodes of the service. With them, a node that has just
// started can tell restarted holders from nodes that have newly joined.
func (h *Holders) MergeAges(now time.Time, service core.ServiceName, ages map[core.NodeID]time.Duration) {
	known := h.services[service]
	if known == nil {
		return
	}
	for id, age := range ages {
		if node := known.nodes[id]; node != nil && now.Add(-age).Before(node.firstSeenAt) {
			node.firstSeenAt = now.Add(-age)
		}
	}
}

// Choose ranks the nodes by rendezvous hashing of node and key and returns the first ones. The first HolderCount that have not
// recently joined hold the key.
func (h *Holders) Choose(now time.Time, key Key) []Holder {
	type scored struct {
		holder Holder
		score  uint64
	}
	known := h.services[key.Service]
	if known == nil {
		return nil
	}
	ranked := make([]scored, 0, len(known.nodes))
	for id, node := range known.nodes {
		ranked = append(ranked, scored{
			holder: Holder{
				Endpoint:       node.endpoint,
				FirstSeen:      node.firstSeenAt,
				RecentlyJoined: node.joinObserved && now.Sub(node.firstSeenAt) < Window,
			},
			score: xxhash.Sum64String(string(id) + "\x00" + string(key.Tenant) + "\x00" + string(key.Name)),
		})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]Holder, 0, maxAskedNodes)
	for _, each := range ranked[:min(len(ranked), maxAskedNodes)] {
		chosen = append(chosen, each.holder)
	}
	return chosen
}
