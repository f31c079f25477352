package nodepeer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

const (
	// maxSnapshotBytes bounds the snapshots that a node holds for nodes that have left; a node may use 128 MB in all. A
	// snapshot that does not fit is dropped, as if its node had crashed.
	maxSnapshotBytes = 32 << 20
	// maxPartBytes bounds the part of a snapshot that is sent in one message.
	maxPartBytes = 1 << 20
	// handoverTimeout bounds the time by which the handover prolongs a planned stop.
	handoverTimeout = 3 * time.Second
	// restoreTimeout bounds the time in which a started node asks for its snapshot, from its first announcement of a service.
	restoreTimeout       = 10 * time.Second
	restoreRetryInterval = 250 * time.Millisecond
)

// handoverRequest sends a part of a leaving node's snapshot to the node that will hold it, or fetches a part if Fetch is set.
type handoverRequest struct {
	Node           core.NodeID                        `msgpack:"node"`
	Incarnation    core.Incarnation                   `msgpack:"incarnation"`
	Fetch          bool                               `msgpack:"take"`
	Part           int                                `msgpack:"part"`
	Parts          int                                `msgpack:"parts"`
	MembershipAges map[core.ServiceName]time.Duration `msgpack:"members"` // how long the node has been a node of each service
	Entries        []idempotency.Entry                `msgpack:"entries"`
}

// handoverReply answers a handoverRequest. Parts is zero if the snapshot was not accepted, or if none is available to fetch.
type handoverReply struct {
	Parts          int                                `msgpack:"parts"`
	SinceHandover  time.Duration                      `msgpack:"away"`
	MembershipAges map[core.ServiceName]time.Duration `msgpack:"members"`
	Entries        []idempotency.Entry                `msgpack:"entries"`
}

// keySnapshot holds the idempotency keys and service memberships of a node that has left.
type keySnapshot struct {
	incarnation    core.Incarnation
	membershipAges map[core.ServiceName]time.Duration
	parts          [][]idempotency.Entry
	partCount      int
	bytes          int
	receivedAt     time.Time
	fetchedBy      core.Incarnation // the first later run of the node that fetched it; zero if none
}

// heldSnapshots are the snapshots that a node holds for others. Server.mu guards them.
type heldSnapshots map[core.NodeID]*keySnapshot

func (h heldSnapshots) handle(now time.Time, request *handoverRequest, leaving bool) *handoverReply {
	for node, snapshot := range h {
		if now.Sub(snapshot.receivedAt) > idempotency.Window {
			delete(h, node)
		}
	}
	if request.Fetch {
		return h.fetch(now, request)
	}
	if leaving {
		return &handoverReply{}
	}
	return h.store(now, request)
}

func (h heldSnapshots) store(now time.Time, request *handoverRequest) *handoverReply {
	snapshot := h[request.Node]
	if request.Part == 0 {
		snapshot = &keySnapshot{
			incarnation:    request.Incarnation,
			membershipAges: request.MembershipAges,
			partCount:      request.Parts,
			receivedAt:     now,
		}
		h[request.Node] = snapshot
	}
	bytes := lo.SumBy(request.Entries, idempotency.Entry.Bytes)
	total := lo.SumBy(lo.Values(h), func(each *keySnapshot) int { return each.bytes })
	if snapshot == nil || snapshot.incarnation != request.Incarnation || request.Part != len(snapshot.parts) || total+bytes > maxSnapshotBytes {
		delete(h, request.Node)
		return &handoverReply{}
	}
	snapshot.parts = append(snapshot.parts, request.Entries)
	snapshot.bytes += bytes
	return &handoverReply{
		Parts: snapshot.partCount,
	}
}

// fetch returns a part of a snapshot. It serves only one later run of the node, since the snapshot lacks the keys that this
// run has granted.
func (h heldSnapshots) fetch(now time.Time, request *handoverRequest) *handoverReply {
	snapshot := h[request.Node]
	if snapshot == nil || len(snapshot.parts) != snapshot.partCount || request.Part < 0 || request.Part >= snapshot.partCount {
		return &handoverReply{}
	}
	if request.Incarnation <= snapshot.incarnation || snapshot.fetchedBy != 0 && snapshot.fetchedBy != request.Incarnation {
		return &handoverReply{}
	}
	snapshot.fetchedBy = request.Incarnation
	return &handoverReply{
		Parts:          snapshot.partCount,
		SinceHandover:  now.Sub(snapshot.receivedAt),
		MembershipAges: snapshot.membershipAges,
		Entries:        snapshot.parts[request.Part],
	}
}

// freezeKeys stops granting claims and returns the ages of this node's memberships and its keys.
func (s *Server) freezeKeys() (map[core.ServiceName]time.Duration, []idempotency.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOver = true
	ages := make(map[core.ServiceName]time.Duration, len(s.memberships))
	for service, m := range s.memberships {
		ages[service] = now.Sub(m.since)
	}
	return ages, s.keys.Export(now)
}

// restoreKeys merges in the keys and memberships of this node's previous run.
func (s *Server) restoreKeys(sinceHandover time.Duration, ages map[core.ServiceName]time.Duration, entries []idempotency.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Restore(now, sinceHandover, entries)
	for service, age := range ages {
		m, known := s.memberships[service]
		if !known {
			if len(s.memberships) >= maxMemberships {
				continue
			}
			m.leftAt, m.runSince = now, now
		}
		m.since = now.Add(-age - sinceHandover)
		s.memberships[service] = m
	}
}

func (s *Server) announcedServices() []core.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Keys(s.memberships)
}

// HandOver stops granting claims and sends this node's keys to another node of its services, which holds them until this node is
// started again. It is the last step of a planned stop. It returns an error if no node accepts the keys.
func (c *Claims) HandOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	services := c.options.Server.announcedServices()
	ages, entries := c.options.Server.freezeKeys()
	if len(services) == 0 {
		return nil
	}
	parts := [][]idempotency.Entry{nil}
	size := 0
	for _, entry := range entries {
		if size += entry.Bytes(); size > maxPartBytes {
			parts = append(parts, nil)
			size = entry.Bytes()
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], entry)
	}
	for _, holder := range c.snapshotHolders(services) {
		if c.sendSnapshot(ctx, holder, ages, parts) {
			return nil
		}
	}
	return errors.New("no other node accepted the idempotency keys")
}

func (c *Claims) sendSnapshot(ctx context.Context, to core.Endpoint, ages map[core.ServiceName]time.Duration, parts [][]idempotency.Entry) bool {
	for i, entries := range parts {
		reply, err := c.ask(ctx, to, keyMessage{
			Handover: &handoverRequest{
				Node:           c.options.Self,
				Incarnation:    c.options.Incarnation,
				Part:           i,
				Parts:          len(parts),
				MembershipAges: ages,
				Entries:        entries,
			},
		})
		if err != nil || reply.Handover == nil || reply.Handover.Parts != len(parts) {
			return false
		}
	}
	return true
}

// snapshotHolders returns the nodes that may hold the snapshot of this one, in the same order for the leaving and the next run.
func (c *Claims) snapshotHolders(services []core.ServiceName) []core.Endpoint {
	var holders []core.Endpoint
	for _, service := range services {
		c.observeService(service)
		for _, holder := range c.holdersOf(idempotency.Key{Service: service, Name: core.IdempotencyKey(c.options.Self)}) {
			if holder.Node != c.options.Self {
				holders = append(holders, holder.Endpoint)
			}
		}
	}
	return holders
}

// restoreSnapshot fetches the snapshot of this node's previous run, once the node announces a service.
func (c *Claims) restoreSnapshot(ctx context.Context) {
	ticker := time.NewTicker(restoreRetryInterval)
	defer ticker.Stop()
	var deadline time.Time
	for {
		services := c.options.Server.announcedServices()
		if len(services) > 0 && deadline.IsZero() {
			deadline = time.Now().Add(restoreTimeout)
		}
		for _, holder := range c.snapshotHolders(services) {
			if c.fetchSnapshot(ctx, holder) {
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			return
		}
	}
}

func (c *Claims) fetchSnapshot(ctx context.Context, holder core.Endpoint) bool {
	var entries []idempotency.Entry
	for part := 0; ; part++ {
		reply, err := c.ask(ctx, holder, keyMessage{
			Handover: &handoverRequest{
				Node:        c.options.Self,
				Incarnation: c.options.Incarnation,
				Fetch:       true,
				Part:        part,
			},
		})
		if err != nil || reply.Handover == nil || reply.Handover.Parts == 0 {
			return false
		}
		entries = append(entries, reply.Handover.Entries...)
		if part == reply.Handover.Parts-1 {
			c.options.Server.restoreKeys(reply.Handover.SinceHandover, reply.Handover.MembershipAges, entries)
			return true
		}
	}
}
