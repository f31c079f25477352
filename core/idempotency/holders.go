package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

const (
	holderCount      = 2
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

// Choose returns the two nodes with the highest hash of node and key, the first holder first; there may be fewer.
func (h *Holders) Choose(key Key) []core.Endpoint {
	type scored struct {
		endpoint core.Endpoint
		score    uint64
	}
	var best [holderCount]scored
	found := 0
	for id, node := range h.services[key.Service] {
		next := scored{
			endpoint: node.endpoint,
			score:    xxhash.Sum64String(string(id) + "\x00" + string(key.Tenant) + "\x00" + string(key.Name)),
		}
		for i := range best {
			if i >= found || next.score > best[i].score {
				best[i], next = next, best[i]
			}
			if i >= found {
				found++
				break
			}
		}
	}
	chosen := make([]core.Endpoint, 0, found)
	for _, each := range best[:found] {
		chosen = append(chosen, each.endpoint)
	}
	return chosen
}
