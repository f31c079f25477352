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
	// maxCustodyBytes bounds what a node keeps for nodes that have left, within the 128 MB that a node may use. A memory that
	// does not fit is forgotten, as in a crash.
	maxCustodyBytes = 32 << 20
	// partBytes bounds one message of a memory that is handed over.
	partBytes = 1 << 20
	// handOverLimit bounds the time that handing over adds to a planned stop.
	handOverLimit = 3 * time.Second
	// takeBackLimit is how long a node that has started asks for its memory.
	takeBackLimit = 10 * time.Second
	takeBackEvery = 250 * time.Millisecond
)

// custodyRequest gives a part of the memory of a node that leaves to its custodian, or asks for a part of it.
type custodyRequest struct {
	Node        core.NodeID                        `msgpack:"node"`
	Incarnation core.Incarnation                   `msgpack:"incarnation"`
	Take        bool                               `msgpack:"take"`
	Part        int                                `msgpack:"part"`
	Parts       int                                `msgpack:"parts"`
	Members     map[core.ServiceName]time.Duration `msgpack:"members"` // how long the node has been one of each service's
	Entries     []idempotency.Entry                `msgpack:"entries"`
}

// custodyReply has Parts zero if the custodian has no whole memory of the node, or does not take it.
type custodyReply struct {
	Parts   int                                `msgpack:"parts"`
	Away    time.Duration                      `msgpack:"away"` // since the memory was handed over
	Members map[core.ServiceName]time.Duration `msgpack:"members"`
	Entries []idempotency.Entry                `msgpack:"entries"`
}

// custody is the memory of one node that has left.
type custody struct {
	incarnation core.Incarnation
	members     map[core.ServiceName]time.Duration
	parts       [][]idempotency.Entry
	expected    int
	bytes       int
	began       time.Time
	taker       core.Incarnation // the first later run that asked for it; zero if none
}

// custodies are the memories that a node keeps for others. The server's lock guards them.
type custodies map[core.NodeID]*custody

func (k custodies) answer(now time.Time, request *custodyRequest, leaving bool) *custodyReply {
	for node, held := range k {
		if now.Sub(held.began) > idempotency.Window {
			delete(k, node)
		}
	}
	if request.Take {
		return k.take(now, request)
	}
	if leaving {
		return &custodyReply{}
	}
	return k.keep(now, request)
}

func (k custodies) keep(now time.Time, request *custodyRequest) *custodyReply {
	held := k[request.Node]
	if request.Part == 0 {
		held = &custody{
			incarnation: request.Incarnation,
			members:     request.Members,
			expected:    request.Parts,
			began:       now,
		}
		k[request.Node] = held
	}
	bytes := lo.SumBy(request.Entries, idempotency.Entry.Bytes)
	total := lo.SumBy(lo.Values(k), func(each *custody) int { return each.bytes })
	if held == nil || held.incarnation != request.Incarnation || request.Part != len(held.parts) || total+bytes > maxCustodyBytes {
		delete(k, request.Node)
		return &custodyReply{}
	}
	held.parts = append(held.parts, request.Entries)
	held.bytes += bytes
	return &custodyReply{
		Parts: held.expected,
	}
}

// take gives a memory to one later run of its node only: the grants of that run are not in it.
func (k custodies) take(now time.Time, request *custodyRequest) *custodyReply {
	held := k[request.Node]
	if held == nil || len(held.parts) != held.expected || request.Part < 0 || request.Part >= held.expected {
		return &custodyReply{}
	}
	if request.Incarnation <= held.incarnation || held.taker != 0 && held.taker != request.Incarnation {
		return &custodyReply{}
	}
	held.taker = request.Incarnation
	return &custodyReply{
		Parts:   held.expected,
		Away:    now.Sub(held.began),
		Members: held.members,
		Entries: held.parts[request.Part],
	}
}

// freeze ends the grants of this node and returns its memory.
func (s *Server) freeze() (map[core.ServiceName]time.Duration, []idempotency.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOver = true
	members := make(map[core.ServiceName]time.Duration, len(s.members))
	for service, m := range s.members {
		members[service] = now.Sub(m.since)
	}
	return members, s.keys.Export(now)
}

// restore adds the memory of this node's earlier run.
func (s *Server) restore(away time.Duration, members map[core.ServiceName]time.Duration, entries []idempotency.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Restore(now, away, entries)
	for service, age := range members {
		m, known := s.members[service]
		if !known {
			if len(s.members) >= maxMemberships {
				continue
			}
			m.left, m.run = now, now
		}
		m.since = now.Add(-age - away)
		s.members[service] = m
	}
}

func (s *Server) services() []core.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Keys(s.members)
}

// HandOver gives the memory of keys to another node of the service, for the time until this node has been started again.
// From then on this node grants no claims. It is the last step of a planned stop.
func (c *Claims) HandOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	services := c.options.Server.services()
	members, entries := c.options.Server.freeze()
	if len(services) == 0 {
		return nil
	}
	parts := [][]idempotency.Entry{nil}
	size := 0
	for _, entry := range entries {
		if size += entry.Bytes(); size > partBytes {
			parts = append(parts, nil)
			size = entry.Bytes()
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], entry)
	}
	for _, custodian := range c.custodians(services) {
		if c.give(ctx, custodian, members, parts) {
			return nil
		}
	}
	return errors.New("no node takes the memory of idempotency keys")
}

func (c *Claims) give(ctx context.Context, to core.Endpoint, members map[core.ServiceName]time.Duration, parts [][]idempotency.Entry) bool {
	for i, entries := range parts {
		reply, err := c.ask(ctx, to, keyMessage{
			Custody: &custodyRequest{
				Node:        c.options.Self,
				Incarnation: c.options.Incarnation,
				Part:        i,
				Parts:       len(parts),
				Members:     members,
				Entries:     entries,
			},
		})
		if err != nil || reply.Custody == nil || reply.Custody.Parts != len(parts) {
			return false
		}
	}
	return true
}

// custodians returns the nodes that may keep the memory of this one, in an order on which its next run agrees.
func (c *Claims) custodians(services []core.ServiceName) []core.Endpoint {
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

// takeBack asks for the memory of this node's earlier run once the node announces a service.
func (c *Claims) takeBack(ctx context.Context) {
	ticker := time.NewTicker(takeBackEvery)
	defer ticker.Stop()
	var until time.Time
	for {
		services := c.options.Server.services()
		if len(services) > 0 && until.IsZero() {
			until = time.Now().Add(takeBackLimit)
		}
		for _, custodian := range c.custodians(services) {
			if c.takeFrom(ctx, custodian) {
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

func (c *Claims) takeFrom(ctx context.Context, custodian core.Endpoint) bool {
	var entries []idempotency.Entry
	for part := 0; ; part++ {
		reply, err := c.ask(ctx, custodian, keyMessage{
			Custody: &custodyRequest{
				Node:        c.options.Self,
				Incarnation: c.options.Incarnation,
				Take:        true,
				Part:        part,
			},
		})
		if err != nil || reply.Custody == nil || reply.Custody.Parts == 0 {
			return false
		}
		entries = append(entries, reply.Custody.Entries...)
		if part == reply.Custody.Parts-1 {
			c.options.Server.restore(reply.Custody.Away, reply.Custody.Members, entries)
			return true
		}
	}
}
