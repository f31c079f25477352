package distribution

import (
	"slices"
	"sort"
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// retryLater is the shortest wait that a full or detached parent asks for; the child adds as much again at random.
const retryLater = 300 * time.Millisecond

// slot is one of the handshakes that may be under way at once.
type slot struct {
	once  sync.Once
	slots chan struct{}
}

func newSlot(slots chan struct{}) *slot {
	return &slot{
		slots: slots,
	}
}

func (s *slot) release() {
	s.once.Do(func() { <-s.slots })
}

// admit accepts a child or says where it should go instead.
func (h *hub) admit(now time.Time, greeting hello, conn *frame.Conn) (*child, outgoing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if greeting.Kind == kindControl {
		return h.admitPeer(greeting, conn)
	}
	if !h.attached || greeting.ID == h.relay || slices.Contains(h.path, greeting.ID) || len(h.path) >= maxPath {
		return nil, h.later()
	}
	h.replace(greeting.ID)
	if candidates := h.full(greeting.DataCentre); candidates != nil {
		return nil, h.redirected(now, candidates)
	}
	if len(h.children) >= maxDirectChildren {
		return nil, h.later()
	}
	c := h.newChild(greeting, conn)
	c.acknowledged = acknowledge{
		Lowest: greeting.Revision,
		Nodes:  1,
		Schema: greeting.Schema,
	}
	h.changed()
	return c, outgoing{}
}

func (h *hub) admitPeer(greeting hello, conn *frame.Conn) (*child, outgoing) {
	id := core.ControlID(greeting.ID)
	if !h.peers[id] {
		h.logger.Warn().Str("control", string(id)).Msg("refused a control instance that is not in the settings")
		return nil, h.later()
	}
	h.replace(greeting.ID)
	c := h.newChild(greeting, conn)
	h.table.ReconnectOwner(c.owner)
	h.peerReports[id] = peerReport{
		acknowledge: h.peerReports[id].acknowledge,
		link:        c.id,
	}
	return c, outgoing{}
}

func (h *hub) later() outgoing {
	h.meters.retryAfters.Inc()
	return outgoing{
		kind: typeRetryAfter,
		message: retryAfter{
			Milliseconds: retryLater.Milliseconds(),
		},
	}
}

// replace closes an older link of a child that is back before the loss of that link was noticed.
func (h *hub) replace(id core.NodeID) {
	for _, c := range h.children {
		if c.hello.ID == id {
			_ = c.conn.Close()
			c.hello.RelayAddress = "" // no redirects to it
			c.acknowledged = acknowledge{}
		}
	}
}

// full returns the children to which a node of a data centre is redirected, or nil if there is room for it.
func (h *hub) full(dataCentre core.DataCentre) []*child {
	limit := maxRelayChildren
	if h.relay == "" {
		limit = max(h.direct, 1)
	}
	var candidates []*child
	for _, c := range h.children {
		sameGroup := h.relay != "" || c.hello.DataCentre == dataCentre
		if sameGroup && c.hello.Kind == kindNode && c.hello.RelayAddress != "" {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) < limit {
		return nil
	}
	return candidates
}

// redirected names the least loaded child first and counts the redirect, so that nodes that come together are spread evenly.
func (h *hub) redirected(now time.Time, candidates []*child) outgoing {
	load := make(map[*child]int, len(candidates))
	for _, c := range candidates {
		for len(c.assigned) > 0 && now.Sub(c.assigned[0]) >= assignedWindow {
			c.assigned = c.assigned[1:]
		}
		load[c] = c.acknowledged.Nodes + len(c.assigned)
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if load[a] != load[b] {
			return load[a] < load[b]
		}
		return a.id < b.id
	})
	if len(candidates[0].assigned) < maxAssigned {
		candidates[0].assigned = append(candidates[0].assigned, now)
	}
	addresses := make([]string, 0, len(candidates))
	for _, c := range candidates {
		addresses = append(addresses, c.hello.RelayAddress)
	}
	h.meters.redirects.Inc()
	return outgoing{
		kind: typeRedirect,
		message: redirect{
			Addresses: addresses,
		},
	}
}

// maxAssigned bounds the remembered redirects of one child.
const maxAssigned = 1024
