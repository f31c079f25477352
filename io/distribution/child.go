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

// child is a link that another process opened: a node below, or another control instance that reports what is announced to it.
type child struct {
	id    uint64
	hello hello
	conn  *frame.Conn
	// packing is zero if messages on the link are not packed.
	packing frame.PackingID
	owner   lease.Owner
	wake    *ring.Ring[struct{}]

	// What follows is guarded by hub.mu.
	acknowledged acknowledge
	assigned     []time.Time // recent redirects to this child
	held         position
	reported     position // what the child has said that it holds
	diverged     bool     // it holds another content of the same revision
	wantsFull    bool
	offerFull    bool // the child decides whether the content that it holds is the accepted one
	pongs        int
	crashesAt    uint64
	series       []series
	rows         []row                  // the last one of each series
	late         map[core.MoveID]uint64 // of another control instance
	reporting    map[core.MoveID]int
	pathTurn     uint64
	subscribed   bool
	all          bool
	services     map[core.ServiceName]bool
	cursor       uint64
	batch        batcher
	readsStates  bool
	told         map[core.NodeID]uint16 // what it was sent, see checkOf
	digestDue    bool
	digestFinal  bool
	leftSince    time.Time
	digests      map[core.ServiceName]core.Hash // of an unanswered request for endpoints
	newServices  []core.ServiceName
	// leftPending are services subscribed to later, whose endpoints that left have not been sent by a parent that knows all.
	leftPending map[core.ServiceName]bool
}

// serve answers a listener until the context ends.
func (h *hub) serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			pauseFor(ctx, tickInterval) // out of file descriptors, for example; accepting again at once would spin
			continue
		}
		select {
		case h.handshakes <- struct{}{}:
			h.start(func() { h.greet(ctx, frame.New(conn, h.packing)) })
		default:
			h.turnAway(frame.New(conn, nil))
		}
	}
}

// turnAway answers without reading, so that a crowd of reconnecting nodes costs one small frame for each attempt.
func (h *hub) turnAway(conn *frame.Conn) {
	h.meters.retryAfters.Inc()
	_ = h.send(conn, finalTimeout/10, outgoing{
		kind: typeRetryAfter,
		message: retryAfter{
			Milliseconds: retryLater.Milliseconds(),
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

// greet holds a handshake slot until the child has been sent what it lacks.
func (h *hub) greet(ctx context.Context, conn *frame.Conn) {
	defer conn.Close()
	slot := newSlot(h.handshakes)
	defer slot.release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()

	first, err := h.receive(conn, helloTimeout)
	if err != nil || first.Type != typeHello {
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

func (h *hub) runChild(ctx context.Context, c *child, slot *slot) {
	sending, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	h.start(func() {
		defer close(done)
		defer c.conn.Close() // ends the receiver
		_ = h.sender(sending, c.wake, func(m outgoing) error {
			return h.send(c.conn, writeTimeout, m)
		}, func(now time.Time) ([]outgoing, time.Time) {
			messages, again := h.dueToChild(c, now)
			if len(messages) == 0 {
				slot.release()
			}
			return messages, again
		})
	})
	err := h.receiveFromChild(c)
	cancel()
	_ = c.conn.Close()
	<-done
	if ctx.Err() == nil { // a process that stops closes its links itself; its children have not died
		h.lose(time.Now(), c, err)
	}
}

func (h *hub) receiveFromChild(c *child) error {
	for {
		received, err := h.receive(c.conn, silenceLimit)
		if err != nil {
			return err
		}
		if err := h.handleFromChild(time.Now(), c, received); err != nil {
			return err
		}
	}
}

// lose starts the grace periods of what the child announced.
func (h *hub) lose(now time.Time, c *child, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.meters.lostLinks.Inc()
	delete(h.children, c.id)
	h.confirmer.drop(c.id)
	if c.hello.Kind == kindControl {
		h.losePeer(now, c)
		h.changed()
		return
	}
	grace := brokenGrace
	if isTimeout(cause) {
		grace = 0
	}
	h.table.DisconnectOwner(now, c.owner, c.hello.ID, grace, subtreeGrace)
	h.loseSubscriptions(now, c)
	h.changed()
}

func (h *hub) losePeer(now time.Time, c *child) {
	id := core.ControlID(c.hello.ID)
	report := h.peerReports[id]
	if report.link != c.id {
		return // it is back on another link
	}
	report.until = now.Add(controlGrace)
	h.peerReports[id] = report
	h.table.DisconnectOwner(now, c.owner, "", controlGrace, controlGrace)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// handleFromChild ignores message types that a later program may have added.
func (h *hub) handleFromChild(now time.Time, c *child, received frame.Frame) error {
	switch received.Type {
	case typePing:
		return h.withChild(received, &ping{}, func() {
			c.pongs++
			c.wake.TryPush(struct{}{})
		})
	case typeAnnounce:
		var message announce
		return h.withChild(received, &message, func() { h.announced(now, c, message) })
	case typeAcknowledge:
		var message acknowledge
		return h.withChild(received, &message, func() { h.acknowledged(c, message) })
	case typeEvidence:
		var message evidence
		return h.withChild(received, &message, func() {
			if c.hello.Kind == kindControl {
				h.evidence.merge(message.Counts, true)
				c.late = message.Late
			}
		})
	case typeSums:
		var message sums
		if err := received.Decode(&message); err != nil {
			return err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.takeSums(now, c, message)
	case typeCrashes:
		var message crashes
		return h.withChild(received, &message, func() {
			h.crashed(now, message, crashOrigin{
				link:   c.id,
				remote: c.owner.Remote,
			})
		})
	case typeNodes:
		var message nodes
		return h.withChild(received, &message, func() {
			for _, report := range message.Reports {
				h.nodes.merge(now, report, c.owner.Remote)
			}
		})
	case typeSubscribe:
		var message subscribe
		return h.withChild(received, &message, func() { h.subscribed(now, c, message) })
	case typeEndpointsRequest:
		var message endpointsRequest
		return h.withChild(received, &message, func() {
			c.digests = message.Digests
			if c.digests == nil {
				c.digests = map[core.ServiceName]core.Hash{}
			}
			c.wake.TryPush(struct{}{})
		})
	case typeConfigRequest:
		return h.withChild(received, &configRequest{}, func() {
			c.wantsFull = true
			c.wake.TryPush(struct{}{})
		})
	case typeConfirmRequest:
		var message confirmRequest
		return h.withChild(received, &message, func() {
			h.confirmer.request(c.id, message.Number)
			h.changed()
		})
	}
	h.meters.unknownMessages.Inc()
	return nil
}

func (h *hub) withChild(received frame.Frame, message any, handle func()) error {
	if err := received.Decode(message); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	handle()
	return nil
}

func (h *hub) announced(now time.Time, c *child, message announce) {
	if message.Complete {
		h.table.Retain(now, c.owner, message.Upserts, everything)
	}
	for _, endpoint := range message.Upserts {
		h.table.Announce(now, c.owner, endpoint)
	}
	for _, removal := range message.Removals {
		h.table.Remove(now, c.owner, removal)
	}
	h.rememberLeft(now, message.Left)
	h.changed()
}

func (h *hub) acknowledged(c *child, message acknowledge) {
	if c.hello.Kind == kindControl {
		h.peerReports[core.ControlID(c.hello.ID)] = peerReport{
			acknowledge: message,
			link:        c.id,
		}
		return
	}
	c.acknowledged = message
	c.reported = position{
		revision: message.Revision,
		hash:     message.Hash,
	}
	h.compareContent(c)
	h.changed()
}

// completeFor reports whether what a child is sent is final.
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

// acceptance is the path that a child gets; mu is held.
func (h *hub) acceptance(packing frame.PackingID) accept {
	path := h.path
	if h.relay != "" {
		path = append([]core.NodeID{h.relay}, h.path...)
	}
	return accept{
		Path:    path,
		Control: h.control,
		Stale:   h.stale,
		Rows:    true,
		Packing: packing,

		Controls: h.controls,
	}
}

func (h *hub) newChild(greeting hello, conn *frame.Conn) *child {
	h.lastLink++
	c := &child{
		id:    h.lastLink,
		hello: greeting,
		conn:  conn,
		owner: lease.Owner{
			Name: "link-" + strconv.FormatUint(h.lastLink, 10),
		},
		wake: ring.New[struct{}](1),
		held: position{
			revision: greeting.Revision,
			hash:     greeting.Hash,
		},
		services:    make(map[core.ServiceName]bool),
		told:        make(map[core.NodeID]uint16),
		leftPending: make(map[core.ServiceName]bool),
	}
	if greeting.Kind == kindControl {
		c.owner = peerOwner(core.ControlID(greeting.ID))
	}
	if greeting.DataCentre != h.dataCentre && greeting.Packing == h.packing.ID() {
		c.packing = greeting.Packing
		conn.Pack(c.packing)
	}
	h.children[c.id] = c
	c.reported = c.held
	h.compareContent(c)
	return c
}

func peerOwner(id core.ControlID) lease.Owner {
	return lease.Owner{
		Name:   "control-" + string(id),
		Remote: true,
	}
}
