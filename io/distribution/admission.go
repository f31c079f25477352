package distribution

import (
	"slices"
	"sort"
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// minRetryAfter is the shortest wait that a full or detached parent asks for; the child adds a random wait of up to the same length.
const minRetryAfter = 300 * time.Millisecond

// handshakeSlot limits the number of concurrent handshakes; release may be called more than once.
type handshakeSlot struct {
	once  sync.Once
	slots chan struct{}
}

func newHandshakeSlot(slots chan struct{}) *handshakeSlot {
	return &handshakeSlot{
		slots: slots,
	}
}

func (s *handshakeSlot) release() {
	s.once.Do(func() { <-s.slots })
}

// admit accepts a child or returns the redirect or retry-after message to send it.
func (h *hub) admit(now time.Time, greeting hello, conn *frame.Conn) (*child, outgoing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if greeting.Kind == kindControl {
		return h.admitPeer(greeting, conn)
	}
	if !h.attached || greeting.ID == h.relayID || slices.Contains(h.path, greeting.ID) || len(h.path) >= maxPathNodes {
		return nil, h.retryAfterMessage()
	}
	h.closeOlderLinks(greeting.ID)
	if candidates := h.redirectCandidates(greeting.DataCentre); candidates != nil {
		return nil, h.redirectMessage(now, candidates)
	}
	if len(h.children) >= maxDirectChildren {
		return nil, h.retryAfterMessage()
	}
	c := h.newChild(greeting, conn)
	c.acknowledged = acknowledge{
		Lowest: greeting.Revision,
		Nodes:  1,
		Schema: greeting.Schema,
	}
	h.publishAndWake()
	return c, outgoing{}
}

func (h *hub) admitPeer(greeting hello, conn *frame.Conn) (*child, outgoing) {
	id := core.ControlID(greeting.ID)
	if !h.peers[id] {
		h.logger.Warn().Str("peer", string(id)).Msg("link refused: the control instance is not in the settings")
		return nil, h.retryAfterMessage()
	}
	h.closeOlderLinks(greeting.ID)
	c := h.newChild(greeting, conn)
	h.table.ReconnectOwner(c.owner)
	h.peerReports[id] = peerReport{
		acknowledge: h.peerReports[id].acknowledge,
		linkID:      c.id,
	}
	return c, outgoing{}
}

func (h *hub) retryAfterMessage() outgoing {
	h.meters.retryAfters.Inc()
	return outgoing{
		kind: typeRetryAfter,
		message: retryAfter{
			Milliseconds: minRetryAfter.Milliseconds(),
		},
	}
}

// closeOlderLinks closes earlier links of a child that reconnected before the loss of its link was noticed.
func (h *hub) closeOlderLinks(id core.NodeID) {
	for _, c := range h.children {
		if c.hello.ID == id {
			_ = c.conn.Close()
			c.hello.RelayAddress = "" // excludes the child from redirects
			c.acknowledged = acknowledge{}
		}
	}
}

// redirectCandidates returns the children to which a node of a data centre is redirected, or nil if it can attach here.
func (h *hub) redirectCandidates(dataCentre core.DataCentre) []*child {
	limit := maxRelayChildren
	if h.relayID == "" {
		limit = max(h.maxDirectNodes, 1)
	}
	var candidates []*child
	for _, c := range h.children {
		sameGroup := h.relayID != "" || c.hello.DataCentre == dataCentre
		if sameGroup && c.hello.Kind == kindNode && c.hello.RelayAddress != "" {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) < limit {
		return nil
	}
	return candidates
}

// redirectMessage lists the least loaded child first and counts the redirect as load, so that nodes that arrive together are
// spread evenly.
func (h *hub) redirectMessage(now time.Time, candidates []*child) outgoing {
	load := make(map[*child]int, len(candidates))
	for _, c := range candidates {
		for len(c.recentRedirects) > 0 && now.Sub(c.recentRedirects[0]) >= redirectWindow {
			c.recentRedirects = c.recentRedirects[1:]
		}
		load[c] = c.acknowledged.Nodes + len(c.recentRedirects)
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if load[a] != load[b] {
			return load[a] < load[b]
		}
		return a.id < b.id
	})
	if len(candidates[0].recentRedirects) < maxRecentRedirects {
		candidates[0].recentRedirects = append(candidates[0].recentRedirects, now)
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

// maxRecentRedirects bounds the redirects that are remembered for one child.
const maxRecentRedirects = 1024
