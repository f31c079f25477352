package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

const (
	maxAsked         = 8    // nodes for one key
	maxHolderNodes   = 8192 // for all services
	maxServicesKnown = 4096
)

// Holders knows which nodes announce a service or did so within the window, and chooses a key's holders among them.
type Holders struct {
	services map[core.ServiceName]map[core.NodeID]*holderNode
	nodes    int
}

type holderNode struct {
	endpoint core.Endpoint
	seen     time.Time
}

// NewHolders returns a memory without nodes.
func NewHolders() *Holders {
	return &Holders{
		services: make(map[core.ServiceName]map[core.NodeID]*holderNode),
	}
}

// Observe notes the endpoints that a service has now; it is called at least every few seconds.
func (h *Holders) Observe(now time.Time, service core.ServiceName, endpoints []core.Endpoint) {
	nodes := h.services[service]
	if nodes == nil {
		if len(endpoints) == 0 || len(h.services) >= maxServicesKnown {
			return
		}
		nodes = make(map[core.NodeID]*holderNode)
		h.services[service] = nodes
	}
	for id, node := range nodes {
		if now.Sub(node.seen) > Window {
			delete(nodes, id)
			h.nodes--
		}
	}
	for _, endpoint := range endpoints {
		h.observe(now, nodes, endpoint)
	}
	if len(nodes) == 0 {
		delete(h.services, service)
	}
}

func (h *Holders) observe(now time.Time, nodes map[core.NodeID]*holderNode, endpoint core.Endpoint) {
	if node := nodes[endpoint.Node]; node != nil {
		node.endpoint = endpoint
		node.seen = now
		return
	}
	if h.nodes >= maxHolderNodes {
		return
	}
	h.nodes++
	nodes[endpoint.Node] = &holderNode{
		endpoint: endpoint,
		seen:     now,
	}
}

// Choose returns the nodes with the highest hash of node and key, in that order. The first two hold the key; the others
// are asked as well when those have joined the service too recently to know.
func (h *Holders) Choose(key Key) []core.Endpoint {
	type scored struct {
		endpoint core.Endpoint
		score    uint64
	}
	ranked := make([]scored, 0, len(h.services[key.Service]))
	for id, node := range h.services[key.Service] {
		ranked = append(ranked, scored{
			endpoint: node.endpoint,
			score:    xxhash.Sum64String(string(id) + "\x00" + string(key.Tenant) + "\x00" + string(key.Name)),
		})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]core.Endpoint, 0, maxAsked)
	for _, each := range ranked[:min(len(ranked), maxAsked)] {
		chosen = append(chosen, each.endpoint)
	}
	return chosen
}
