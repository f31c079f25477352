package distribution

import (
	"context"
	"time"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/ring"
	"parsleyport/io/frame"
)

// uplink is the sending side of a link to a parent or to another control instance. hub.mu guards all fields but conn and wake.
type uplink struct {
	conn *frame.Conn
	wake *ring.Ring[struct{}]
	kind linkKind

	announced         bool   // the local endpoints were sent, so that changes to them suffice
	completeSent      bool   // the local endpoints were sent to another control instance after the end of startupGrace
	tableCursor       uint64 // position in the table up to which changes were sent
	batch             batcher
	deferredUntil     time.Time // when changes that are not urgent are sent
	acknowledged      acknowledge
	acknowledgePacer  pacer
	evidenceCursor    uint64 // position in the evidence store up to which counts were sent
	evidencePacer     pacer
	prioritySumsPacer pacer
	backlogged        bool                // the last regular message of sums had no room for all of them
	seriesNumbers     map[series]uint64   // of the series named on the link
	rows              []row               // last row of each series
	lastNamed         series              // the series that was named last
	reporting         map[core.MoveID]int // numbers of reporting nodes that were sent last
	callsSincePing    uint64              // calls in sums sent after the last ping
	callsBeforePings  []uint64            // for each unanswered ping: calls in sums sent between the previous ping and it
	nodesCursor       uint64              // position in the node store up to which reports were sent
	nodesPacer        pacer
	crashesCursor     uint64 // position in the crash store up to which reports were sent
	pingPacer         pacer
	pingsSentAt       []time.Time // of the unanswered pings

	subscribed           bool
	subscriptionsVersion uint64 // hub.subscriptionsVersion when the last subscription was sent
	allServices          bool
	services             map[core.ServiceName]bool // subscriptions that were sent
	detachedMS           int64                     // how long the node had no parent, negative if it has had none before
	configRequestDue     bool
	endpointsRequestDue  bool
}

// noAcknowledgementSent is a number of nodes that differs from every real one, so that the first acknowledgement of a link is sent
// even if it counts no nodes: the other end may hold an older one, from before a restart of this process.
const noAcknowledgementSent = -1

func newUplink(conn *frame.Conn, kind linkKind, reportInterval time.Duration) *uplink {
	return &uplink{
		conn:          conn,
		wake:          ring.New[struct{}](1),
		kind:          kind,
		services:      make(map[core.ServiceName]bool),
		seriesNumbers: make(map[series]uint64),
		acknowledged: acknowledge{
			Nodes: noAcknowledgementSent,
		},
		acknowledgePacer: pacer{
			interval: batchInterval,
		},
		evidencePacer: pacer{
			interval: reportInterval,
		},
		prioritySumsPacer: pacer{
			interval: reportInterval,
		},
		nodesPacer: pacer{
			interval: minNodesInterval,
		},
		pingPacer: pacer{
			interval: pingInterval,
			next:     time.Now().Add(pingInterval),
		},
	}
}

// runUplink runs the sending side of a link until the context ends or the link breaks, and returns the error of receive.
func (h *hub) runUplink(ctx context.Context, u *uplink, receive func() error) error {
	h.mu.Lock()
	h.uplinks[u] = true
	h.mu.Unlock()
	sending, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	h.start(func() {
		defer close(done)
		defer u.conn.Close() // unblocks the receiver
		_ = h.sender(sending, u.wake, func(m outgoing) error {
			return h.send(u.conn, writeTimeout, m)
		}, func(now time.Time) ([]outgoing, time.Time) {
			return h.dueToParent(u, now, false)
		})
		if ctx.Err() != nil {
			h.sendFinal(u)
		}
	})
	err := receive()
	cancel()
	<-done
	h.mu.Lock()
	delete(h.uplinks, u)
	h.addCallsInDoubt(u)
	h.mu.Unlock()
	return err
}

// sendFinal sends the messages that wait for an interval to pass, in particular the withdrawal of the node's endpoint.
func (h *hub) sendFinal(u *uplink) {
	messages, _ := h.dueToParent(u, time.Now(), true)
	for _, m := range messages {
		if err := h.send(u.conn, finalSendTimeout, m); err != nil {
			return
		}
	}
}

// dueToParent returns the messages that are due on an uplink and when to check again; final includes those that wait for an
// interval to pass.
func (h *hub) dueToParent(u *uplink, now time.Time, final bool) ([]outgoing, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	due := h.announcementsDue(u, now, final)
	if report := h.ownAcknowledgement().merge(h.subtreeAcknowledgement()); final && report != u.acknowledged || u.acknowledgementDue(report, now) {
		if report.subtreeOnly() != u.acknowledged.subtreeOnly() {
			u.acknowledgePacer.sent(now)
		}
		u.acknowledged = report
		due = append(due, outgoing{
			kind:    typeAcknowledge,
			message: report,
		})
	}
	switch {
	case final:
		due = append(due, h.evidenceDue(u, now, sumsFinal)...)
	case u.evidencePacer.ready(now):
		due = append(due, h.evidenceDue(u, now, sumsRegular)...)
	case u.prioritySumsPacer.ready(now) && h.prioritySumsPending(u, now):
		due = append(due, h.evidenceDue(u, now, sumsPriority)...)
	}
	due = append(due, h.crashesForParent(u, now)...)
	due = append(due, h.nodesDue(u, now)...)
	if u.kind == kindNode {
		due = append(due, h.requestsDue(u)...)
	}
	if u.pingPacer.ready(now) {
		u.pingPacer.sent(now)
		if u.kind == kindNode {
			u.pingSent(now)
		}
		due = append(due, outgoing{
			kind:    typePing,
			message: ping{},
		})
	}
	return due, h.nextDueToParent(u, now)
}

func (h *hub) nextDueToParent(u *uplink, now time.Time) time.Time {
	next := u.pingPacer.next
	if len(h.pendingSums.counts) > 0 && u.kind == kindNode && u.evidencePacer.next.Before(next) {
		next = u.evidencePacer.next
	}
	if u.prioritySumsPacer.next.Before(next) && h.prioritySumsPending(u, now) {
		next = u.prioritySumsPacer.next
	}
	if at := laterOf(u.batch.nextUrgent, u.deferredUntil); u.tableCursor != h.table.Position(lease.Local) && at.Before(next) {
		next = at
	}
	if u.acknowledged.subtreeOnly() != h.ownAcknowledgement().merge(h.subtreeAcknowledgement()).subtreeOnly() && u.acknowledgePacer.next.Before(next) {
		next = u.acknowledgePacer.next
	}
	return next
}

// acknowledgementDue reports whether to send an acknowledgement. If only this node's own version has changed, it is sent with the
// next ping: sent at once, it would start the interval and so delay the acknowledgement of the nodes below, which is due a
// moment later.
func (u *uplink) acknowledgementDue(report acknowledge, now time.Time) bool {
	if report.subtreeOnly() != u.acknowledged.subtreeOnly() {
		return u.acknowledgePacer.ready(now)
	}
	return report != u.acknowledged && u.pingPacer.ready(now)
}

// ownAcknowledgement returns the acknowledgement of this node alone; a control instance does not count as a node.
func (h *hub) ownAcknowledgement() acknowledge {
	if h.relayID == "" {
		return acknowledge{}
	}
	return acknowledge{
		Revision: h.current.Revision(),
		Hash:     h.current.Hash(),
		Lowest:   h.current.Revision(),
		Nodes:    1,
		Schema:   h.schema,
	}
}

func (h *hub) announcementsDue(u *uplink, now time.Time, final bool) []outgoing {
	if !u.announced || (u.kind == kindControl && h.complete && !u.completeSent) {
		u.announced, u.completeSent = true, h.complete
		u.tableCursor = h.table.Position(lease.Local)
		return []outgoing{{
			kind: typeAnnounce,
			message: announce{
				Complete:   u.kind == kindControl && h.complete,
				Upserts:    h.table.LocalEndpoints(),
				Tombstones: h.recentTombstones(now, anyService),
			},
		}}
	}
	if !final && now.Before(u.batch.nextUrgent) {
		u.deferredUntil = time.Time{}
		return nil
	}
	changes, available := h.table.Changes(lease.Local, u.tableCursor, lease.Owner{}, anyService)
	if !available {
		u.announced = false
		return h.announcementsDue(u, now, final)
	}
	if at := u.batch.dueAt(changes); !final && !changes.Empty() && now.Before(at) {
		u.deferredUntil = at
		return nil
	}
	u.tableCursor, u.deferredUntil = changes.Next, time.Time{}
	if changes.Empty() {
		return nil
	}
	u.batch.sent(now, len(changes.Upserts)+len(changes.Removals), 0)
	return []outgoing{{
		kind: typeAnnounce,
		message: announce{
			Upserts:  changes.Upserts,
			Removals: changes.Removals,
		},
	}}
}

func (h *hub) evidenceDue(u *uplink, now time.Time, mode sumsMode) []outgoing {
	due, size := h.sumsDue(u, now, mode)
	counts, position := h.evidence.since(u.evidenceCursor)
	u.evidenceCursor = position
	if len(counts) > 0 {
		due = append(due, outgoing{
			kind: typeEvidence,
			message: evidence{
				Counts:         counts,
				LatenessByMove: h.lateness.all(),
			},
		})
	}
	if len(due) > 0 {
		h.chargeBudget(u, now, size, mode)
	}
	return due
}

func (h *hub) requestsDue(u *uplink) []outgoing {
	var due []outgoing
	if message, needed := h.subscriptionDue(u); needed {
		due = append(due, outgoing{
			kind:    typeSubscribe,
			message: message,
		})
	}
	if u.configRequestDue {
		u.configRequestDue = false
		due = append(due, outgoing{
			kind:    typeConfigRequest,
			message: configRequest{},
		})
	}
	if u.endpointsRequestDue {
		u.endpointsRequestDue = false
		due = append(due, outgoing{
			kind: typeEndpointsRequest,
			message: endpointsRequest{
				Digests: h.table.Digests(u.wants),
			},
		})
	}
	if number, begun := h.confirmer.begin(); begun {
		due = append(due, outgoing{
			kind: typeConfirmRequest,
			message: confirmRequest{
				Number: number,
			},
		})
	}
	return due
}

func (u *uplink) wants(service core.ServiceName) bool {
	return u.allServices || u.services[service]
}
