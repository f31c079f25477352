package nodepeer

import (
	"context"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

func (s *Server) setHolderAgesFunc(ages func(idempotency.Key) map[core.NodeID]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holderAgesFunc = ages
}

// holderAges returns how long this node has known each of the key's holders.
func (s *Server) holderAges(key idempotency.Key) map[core.NodeID]time.Duration {
	s.mu.Lock()
	ages := s.holderAgesFunc
	s.mu.Unlock()
	if ages == nil {
		return nil
	}
	return ages(key)
}

func (c *Claims) holderAges(key idempotency.Key) map[core.NodeID]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders.Ages(time.Now(), key)
}

// mergeAges returns the holders with the greater ages that another node has reported, and records these ages.
func (c *Claims) mergeAges(key idempotency.Key, holders []idempotency.Holder, ages map[core.NodeID]time.Duration) []idempotency.Holder {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders.MergeAges(now, key.Service, ages)
	return lo.Map(holders, func(h idempotency.Holder, _ int) idempotency.Holder {
		if first := now.Add(-ages[h.Node]); first.Before(h.FirstSeen) {
			h.FirstSeen = first
		}
		return h
	})
}

// holderReply is a holder's reply and its time of receipt; reached is false if there was no reply.
type holderReply struct {
	keyReply
	reached    bool
	receivedAt time.Time
}

func (c *Claims) claimFrom(ctx context.Context, holder idempotency.Holder, message keyMessage) holderReply {
	reply, err := c.ask(ctx, holder.Endpoint, message)
	return holderReply{
		keyReply:   reply,
		reached:    err == nil,
		receivedAt: time.Now(),
	}
}

// interpret returns what a holder's reply tells about its memory of claims: whether it has seen all recent ones, and whether it
// has lost any by a restart.
func (c *Claims) interpret(r holderReply, holder idempotency.Holder, service core.ServiceName) idempotency.Reply {
	if !r.reached {
		return idempotency.Reply{}
	}
	membershipAge, runAge := time.Duration(r.MembershipUS)*time.Microsecond, time.Duration(r.RunUS)*time.Microsecond
	known := c.covers(service, r.receivedAt.Sub(holder.FirstSeen)) || c.isOriginal(service, holder.FirstSeen)
	return idempotency.Reply{
		Reached:          true,
		CompleteMemory:   c.covers(service, membershipAge),
		ContinuousMemory: c.covers(service, runAge),
		RecentlyJoined:   holder.RecentlyJoined && !known,
		Restarted:        known && holder.FirstSeen.Before(r.receivedAt.Add(-membershipAge)),
		Verdict:          r.Verdict,
		Answer:           r.Answer,
	}
}

// isOriginal reports whether a holder was already known when the first calls of the service could be made, since nodes observe
// a service from the acceptance of its record. Such a holder may have granted any key before it was restarted.
func (c *Claims) isOriginal(service core.ServiceName, firstSeen time.Time) bool {
	since, known := c.serviceSince(service)
	return known && !firstSeen.After(since.Add(idempotency.JoinLag))
}

// covers reports whether a holder that has been a node of the service for that long has seen all claims of the last
// idempotency.Window.
func (c *Claims) covers(service core.ServiceName, membershipAge time.Duration) bool {
	if membershipAge >= idempotency.Window+idempotency.JoinLag {
		return true
	}
	since, known := c.serviceSince(service)
	return known && membershipAge > 0 && !time.Now().Add(-membershipAge).After(since)
}
