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
	// maxSnapshotBytes bounds what a node keeps for nodes that have left, within the 128 MB that a node may use. A memory that
	// does not fit is forgotten, as in a crash.
	maxSnapshotBytes = 32 << 20
	// maxPartBytes bounds one message of a memory that is handed over.
	maxPartBytes = 1 << 20
	// handoverTimeout bounds the time that handing over adds to a planned stop.
	handoverTimeout = 3 * time.Second
	// restoreTimeout is how long a node that has started asks for its memory.
	restoreTimeout       = 10 * time.Second
	restoreRetryInterval = 250 * time.Millisecond
)

// handoverRequest gives a part of the memory of a node that leaves to its custodian, or asks for a part of it.
type handoverRequest struct {
	Node           core.NodeID                        `msgpack:"node"`
	Incarnation    core.Incarnation                   `msgpack:"incarnation"`
	Fetch          bool                               `msgpack:"take"`
	Part           int                                `msgpack:"part"`
	Parts          int                                `msgpack:"parts"`
	MembershipAges map[core.ServiceName]time.Duration `msgpack:"members"` // how long the node has been one of each service's
	Entries        []idempotency.Entry                `msgpack:"entries"`
}

// handoverReply has Parts zero if the custodian has no whole memory of the node, or does not take it.
type handoverReply struct {
	Parts          int                                `msgpack:"parts"`
	SinceHandover  time.Duration                      `msgpack:"away"` // since the memory was handed over
	MembershipAges map[core.ServiceName]time.Duration `msgpack:"members"`
	Entries        []idempotency.Entry                `msgpack:"entries"`
}

// custody is the memory of one node that has left.
type keySnapshot struct {
	incarnation    core.Incarnation
	membershipAges map[core.ServiceName]time.Duration
	parts          [][]idempotency.Entry
	partCount      int
	bytes          int
	receivedAt     time.Time
	fetchedBy      core.Incarnation // the first later run that asked for it; zero if none
}

// custodies are the memories that a node keeps for others. The server's lock guards them.
type heldSnapshots map[core.NodeID]*keySnapshot

func (k heldSnapshots) handle(now time.Time, request *handoverRequest, leaving bool) *handoverReply {
	for node, held := range k {
		if now.Sub(held.receivedAt) > idempotency.Window {
			delete(k, node)
		}
	}
	if request.Fetch {
		return k.fetch(now, request)
	}
	if leaving {
		return &handoverReply{}
	}
	return k.store(now, request)
}

func (k heldSnapshots) store(now time.Time, request *handoverRequest) *handoverReply {
	held := k[request.Node]
	if request.Part == 0 {
		held = &keySnapshot{
			incarnation:    request.Incarnation,
			membershipAges: request.MembershipAges,
			partCount:      request.Parts,
			receivedAt:     now,
		}
		k[request.Node] = held
	}
	bytes := lo.SumBy(request.Entries, idempotency.Entry.Bytes)
	total := lo.SumBy(lo.Values(k), func(each *keySnapshot) int { return each.bytes })
	if held == nil || held.incarnation != request.Incarnation || request.Part != len(held.parts) || total+bytes > maxSnapshotBytes {
		delete(k, request.Node)
		return &handoverReply{}
	}
	held.parts = append(held.parts, request.Entries)
	held.bytes += bytes
	return &handoverReply{
		Parts: held.partCount,
	}
}

// take gives a memory to one later run of its node only: the grants of that run are not in it.
func (k heldSnapshots) fetch(now time.Time, request *handoverRequest) *handoverReply {
	held := k[request.Node]
	if held == nil || len(held.parts) != held.partCount || request.Part < 0 || request.Part >= held.partCount {
		return &handoverReply{}
	}
	if request.Incarnation <= held.incarnation || held.fetchedBy != 0 && held.fetchedBy != request.Incarnation {
		return &handoverReply{}
	}
	held.fetchedBy = request.Incarnation
	return &handoverReply{
		Parts:          held.partCount,
		SinceHandover:  now.Sub(held.receivedAt),
		MembershipAges: held.membershipAges,
		Entries:        held.parts[request.Part],
	}
}

// freeze ends the grants of this node and returns its memory.
func (s *Server) freezeKeys() (map[core.ServiceName]time.Duration, []idempotency.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOver = true
	members := make(map[core.ServiceName]time.Duration, len(s.memberships))
	for service, m := range s.memberships {
		members[service] = now.Sub(m.since)
	}
	return members, s.keys.Export(now)
}

// restore adds the memory of this node's earlier run.
func (s *Server) restoreKeys(away time.Duration, members map[core.ServiceName]time.Duration, entries []idempotency.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Restore(now, away, entries)
	for service, age := range members {
		m, known := s.memberships[service]
		if !known {
			if len(s.memberships) >= maxMemberships {
				continue
			}
			m.leftAt, m.runSince = now, now
		}
		m.since = now.Add(-age - away)
		s.memberships[service] = m
	}
}

func (s *Server) announcedServices() []core.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Keys(s.memberships)
}

// HandOver gives the memory of keys to another node of the service, for the time until this node has been started again.
// From then on this node grants no claims. It is the last step of a planned stop.
func (c *Claims) HandOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	services := c.options.Server.announcedServices()
	members, entries := c.options.Server.freezeKeys()
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
	for _, custodian := range c.snapshotHolders(services) {
		if c.sendSnapshot(ctx, custodian, members, parts) {
			return nil
		}
	}
	return errors.New("no node takes the memory of idempotency keys")
}

func (c *Claims) sendSnapshot(ctx context.Context, to core.Endpoint, members map[core.ServiceName]time.Duration, parts [][]idempotency.Entry) bool {
	for i, entries := range parts {
		reply, err := c.ask(ctx, to, keyMessage{
			Handover: &handoverRequest{
				Node:           c.options.Self,
				Incarnation:    c.options.Incarnation,
				Part:           i,
				Parts:          len(parts),
				MembershipAges: members,
				Entries:        entries,
			},
		})
		if err != nil || reply.Handover == nil || reply.Handover.Parts != len(parts) {
			return false
		}
	}
	return true
}

// custodians returns the nodes that may keep the memory of this one, in an order on which its next run agrees.
func (c *Claims) snapshotHolders(services []core.ServiceName) []core.Endpoint {
	var custodians []core.Endpoint
	for _, service := range services {
		c.observeService(service)
		for _, holder := range c.holdersOf(idempotency.Key{Service: service, Name: core.IdempotencyKey(c.options.Self)}) {
			if holder.Node != c.options.Self {
				custodians = append(custodians, holder.Endpoint)
			}
		}
	}
	return custodians
}

// restoreSnapshot asks for the memory of this node's earlier run once the node announces a service.
func (c *Claims) restoreSnapshot(ctx context.Context) {
	ticker := time.NewTicker(restoreRetryInterval)
	defer ticker.Stop()
	var until time.Time
	for {
		services := c.options.Server.announcedServices()
		if len(services) > 0 && until.IsZero() {
			until = time.Now().Add(restoreTimeout)
		}
		for _, custodian := range c.snapshotHolders(services) {
			if c.fetchSnapshot(ctx, custodian) {
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !until.IsZero() && time.Now().After(until) {
			return
		}
	}
}

func (c *Claims) fetchSnapshot(ctx context.Context, custodian core.Endpoint) bool {
	var entries []idempotency.Entry
	for part := 0; ; part++ {
		reply, err := c.ask(ctx, custodian, keyMessage{
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
