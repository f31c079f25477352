package distribution

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/ring"
	"parsleyport/io/frame"
)

// child is a link that another process opened: a node below, or another control instance that forwards what is announced to it.
type child struct {
	id    uint64
	hello hello
	conn  *frame.Conn
	// compressorID is zero if messages on the link are not compressed.
	compressorID frame.CompressorID
	owner        lease.Owner
	wake         *ring.Ring[struct{}]

	// The fields below are guarded by hub.mu.
	acknowledged     acknowledge
	recentRedirects  []time.Time   // times of recent redirects to this child
	held             configVersion // configuration that the child has or was last sent
	reported         configVersion // configuration that the child last acknowledged
	diverged         bool          // the child holds other content of the current revision
	wantsFull        bool          // the child has requested the full configuration
	offerFull        bool          // the child finds out which content of the revision was accepted
	pongsDue         int
	crashesCursor    uint64                 // position in the crash store up to which reports were sent
	series           []series               // by the numbers that the child has assigned
	rows             []row                  // last row of each series
	latenessByMove   map[core.MoveID]uint64 // reported by another control instance
	reporting        map[core.MoveID]int    // number of nodes below that report on each move, the child included
	pathVersion      uint64                 // hub.pathVersion when the path was last sent
	subscribed       bool
	allServices      bool // the child wants the endpoints of all services
	services         map[core.ServiceName]bool
	tableCursor      uint64 // position in the table up to which changes were sent
	batch            batcher
	readsStates      bool                           // the child can read state changes
	sentChecksums    map[core.NodeID]uint16         // by node: hash of the endpoint that the child was last sent, see checksumOf
	digestDue        bool                           // a digest is to be sent
	digestFinal      bool                           // the last digest was sent with all endpoints in the table
	tombstonesSince  time.Time                      // tombstones from before this time are not sent
	requestedDigests map[core.ServiceName]core.Hash // of an endpointsRequest without an answer yet
	newServices      []core.ServiceName             // of later subscriptions, whose endpoints are to be sent
	// tombstonesPending lists services of later subscriptions whose tombstones have not been sent by a parent with a complete
	// table.
	tombstonesPending map[core.ServiceName]bool
}

// serve accepts links until the context ends.
func (h *hub) serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			sleepContext(ctx, tickInterval) // avoids a busy loop, for example without free file descriptors
			continue
		}
		select {
		case h.handshakeSlots <- struct{}{}:
			h.start(func() { h.handshake(ctx, frame.New(conn, h.compressor)) })
		default:
			h.rejectBusy(frame.New(conn, nil))
		}
	}
}

// rejectBusy answers without reading the hello, so that each attempt of many nodes that reconnect at once costs one small frame.
func (h *hub) rejectBusy(conn *frame.Conn) {
	h.meters.retryAfters.Inc()
	_ = h.send(conn, finalSendTimeout/10, outgoing{
		kind: typeRetryAfter,
		message: retryAfter{
			Milliseconds: minRetryAfter.Milliseconds(),
		},
	})
	_ = conn.Close()
}

func (h *hub) send(conn *frame.Conn, timeout time.Duration, m outgoing) error {
	before, _ := conn.Bytes()
	err := conn.Send(time.Now().Add(timeout), m.kind, m.message)
	after, _ := conn.Bytes()
	h.meters.countSent(after - before)
	return err
}

func (h *hub) receive(conn *frame.Conn, timeout time.Duration) (frame.Frame, error) {
	_, before := conn.Bytes()
	received, err := conn.Receive(time.Now().Add(timeout))
	_, after := conn.Bytes()
	h.meters.countReceived(after - before)
	return received, err
}

// handshake holds a handshake slot until the child has been sent all that it lacks.
func (h *hub) handshake(ctx context.Context, conn *frame.Conn) {
	defer conn.Close()
	slot := newHandshakeSlot(h.handshakeSlots)
	defer slot.release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()

	conn.SetMaxReceived(maxHelloBytes)
	first, err := h.receive(conn, helloTimeout)
	if err != nil {
		return
	}
	conn.SetMaxReceived(core.MaxFrameBytes)
	switch first.Type {
	case typeDepart:
		slot.release() // a proposal may wait for an election
		h.answerDepart(ctx, conn, first)
		return
	case typeQuotaRequest:
		slot.release()
		h.answerQuotas(ctx, conn, first)
		return
	case typeHello:
	default:
		return
	}
	var greeting hello
	if err := first.Decode(&greeting); err != nil || greeting.ID == "" {
		return
	}
	h.meters.handshakes.Inc()
	c, answer := h.admit(time.Now(), greeting, conn)
	if c == nil {
		_ = h.send(conn, helloTimeout, answer)
		return
	}
	h.runChild(ctx, c, slot)
}

func (h *hub) runChild(ctx context.Context, c *child, slot *handshakeSlot) {
	sending, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	h.start(func() {
		defer close(done)
		defer c.conn.Close() // unblocks the receiver
		_ = h.sender(sending, c.wake, func(m outgoing) error {
			return h.send(c.conn, writeTimeout, m)
		}, func(now time.Time) ([]outgoing, time.Time) {
			messages, nextCheck := h.dueToChild(c, now)
			if len(messages) == 0 {
				slot.release()
			}
			return messages, nextCheck
		})
	})
	err := h.receiveFromChild(c)
	cancel()
	_ = c.conn.Close()
	<-done
	if ctx.Err() == nil { // a process that stops closes its links itself; its children are alive
		h.childLost(time.Now(), c, err)
	}
}

func (h *hub) receiveFromChild(c *child) error {
	for {
		received, err := h.receive(c.conn, linkTimeout)
		if err != nil {
			return err
		}
		if err := h.handleFromChild(time.Now(), c, received); err != nil {
			return err
		}
	}
}

// childLost starts the grace periods of the endpoints that the child announced.
func (h *hub) childLost(now time.Time, c *child, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.meters.lostLinks.Inc()
	delete(h.children, c.id)
	h.confirmer.remove(c.id)
	if c.hello.Kind == kindControl {
		h.peerLost(now, c)
		h.publishAndWake()
		return
	}
	grace := brokenLinkGrace
	if isTimeout(cause) {
		grace = 0
	}
	h.table.DisconnectOwner(now, c.owner, c.hello.ID, grace, lostSubtreeGrace)
	h.retainSubscriptions(now, c)
	h.publishAndWake()
}

func (h *hub) peerLost(now time.Time, c *child) {
	id := core.ControlID(c.hello.ID)
	report := h.peerReports[id]
	if report.linkID != c.id {
		return // the instance has reconnected on another link
	}
	report.expiresAt = now.Add(lostControlGrace)
	h.peerReports[id] = report
	h.table.DisconnectOwner(now, c.owner, "", lostControlGrace, lostControlGrace)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// handleFromChild handles one message; it counts and ignores unknown message types, which a newer program may send.
func (h *hub) handleFromChild(now time.Time, c *child, received frame.Frame) error {
	switch received.Type {
	case typePing:
		return h.decodeAndHandle(received, &ping{}, func() {
			c.pongsDue++
			c.wake.TryPush(struct{}{})
		})
	case typeAnnounce:
		var message announce
		return h.decodeAndHandle(received, &message, func() { h.handleAnnounce(now, c, message) })
	case typeAcknowledge:
		var message acknowledge
		return h.decodeAndHandle(received, &message, func() { h.handleAcknowledge(c, message) })
	case typeEvidence:
		var message evidence
		return h.decodeAndHandle(received, &message, func() {
			if c.hello.Kind == kindControl {
				h.evidence.merge(message.Counts, true)
				c.latenessByMove = message.LatenessByMove
			}
		})
	case typeSums:
		var message sums
		if err := received.Decode(&message); err != nil {
			return err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.handleSums(now, c, message)
	case typeCrashes:
		var message crashes
		return h.decodeAndHandle(received, &message, func() {
			h.handleCrashes(now, message, crashOrigin{
				link:   c.id,
				remote: c.owner.Remote,
			})
		})
	case typeNodes:
		var message nodes
		return h.decodeAndHandle(received, &message, func() {
			for _, report := range message.Reports {
				h.nodes.merge(now, report, c.owner.Remote)
			}
		})
	case typeSubscribe:
		var message subscribe
		return h.decodeAndHandle(received, &message, func() { h.handleSubscribe(now, c, message) })
	case typeEndpointsRequest:
		var message endpointsRequest
		return h.decodeAndHandle(received, &message, func() {
			c.requestedDigests = message.Digests
			if c.requestedDigests == nil {
				c.requestedDigests = map[core.ServiceName]core.Hash{}
			}
			c.wake.TryPush(struct{}{})
		})
	case typeConfigRequest:
		return h.decodeAndHandle(received, &configRequest{}, func() {
			c.wantsFull = true
			c.wake.TryPush(struct{}{})
		})
	case typeConfirmRequest:
		var message confirmRequest
		return h.decodeAndHandle(received, &message, func() {
			h.confirmer.request(c.id, message.Number)
			h.publishAndWake()
		})
	}
	h.meters.unknownMessages.Inc()
	return nil
}

func (h *hub) decodeAndHandle(received frame.Frame, message any, handle func()) error {
	if err := received.Decode(message); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	handle()
	return nil
}

func (h *hub) handleAnnounce(now time.Time, c *child, message announce) {
	if message.Complete {
		h.table.Retain(now, c.owner, message.Upserts, anyService)
	}
	for _, endpoint := range message.Upserts {
		h.table.Announce(now, c.owner, endpoint)
	}
	for _, removal := range message.Removals {
		h.table.Remove(now, c.owner, removal)
	}
	h.addTombstones(now, message.Tombstones)
	h.publishAndWake()
}

func (h *hub) handleAcknowledge(c *child, message acknowledge) {
	if c.hello.Kind == kindControl {
		h.peerReports[core.ControlID(c.hello.ID)] = peerReport{
			acknowledge: message,
			linkID:      c.id,
		}
		return
	}
	message.Nodes = max(message.Nodes, 1) // the child itself
	c.acknowledged = message
	c.reported = configVersion{
		revision: message.Revision,
		hash:     message.Hash,
	}
	h.compareContent(c)
	h.publishAndWake()
}

// completeFor reports whether the table has all endpoints that the child wants, so that digests and removals are final.
func (h *hub) completeFor(c *child) bool {
	if !h.complete || h.unsyncedAll {
		return false
	}
	for service := range h.unsynced {
		if c.wants(service) {
			return false
		}
	}
	return true
}

// acceptMessage returns the accept message for a child; mu is held.
func (h *hub) acceptMessage(compressorID frame.CompressorID) accept {
	path := h.path
	if h.relayID != "" {
		path = append([]core.NodeID{h.relayID}, h.path...)
	}
	return accept{
		Path:       path,
		Control:    h.control,
		Stale:      h.stale,
		Rows:       true,
		Compressor: compressorID,

		Controls: h.controls,

		FleetNodes: h.fleetNodes,

		Unheard: h.unheardSent,
	}
}

func (h *hub) newChild(greeting hello, conn *frame.Conn) *child {
	h.lastLinkID++
	c := &child{
		id:    h.lastLinkID,
		hello: greeting,
		conn:  conn,
		owner: lease.Owner{
			Name: "link-" + strconv.FormatUint(h.lastLinkID, 10),
		},
		wake: ring.New[struct{}](1),
		held: configVersion{
			revision: greeting.Revision,
			hash:     greeting.Hash,
		},
		services:          make(map[core.ServiceName]bool),
		sentChecksums:     make(map[core.NodeID]uint16),
		tombstonesPending: make(map[core.ServiceName]bool),
	}
	if greeting.Kind == kindControl {
		c.owner = peerOwner(core.ControlID(greeting.ID))
	}
	if greeting.Compressor != 0 && greeting.Compressor == h.compressor.ID() {
		c.compressorID = greeting.Compressor
		conn.SetPeerCompressor(c.compressorID)
		if greeting.DataCentre == h.dataCentre {
			conn.SetMinCompressed(minLocalCompressedBytes)
		}
	}
	h.children[c.id] = c
	c.reported = c.held
	h.compareContent(c)
	return c
}

// minLocalCompressedBytes is the length from which messages within a data centre are compressed. Short ones are not worth the processor
// time, but a change of 1,400 routes would fill a link of 2.6 Mbit/s for more than a second, and answers would wait behind it.
const minLocalCompressedBytes = 4 << 10

func peerOwner(id core.ControlID) lease.Owner {
	return lease.Owner{
		Name:   "control-" + string(id),
		Remote: true,
	}
}
