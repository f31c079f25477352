package distribution

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"parsleyport/core"
	"parsleyport/core/lease"
)

// useResolution is the resolution of the last use of a service. It is written at most once a second, to avoid contention between
// cores.
const useResolution = time.Second

// lastUse is the time of the last use of a service, in nanoseconds since the Unix epoch.
type lastUse = atomic.Int64

// Subscribe records that the node uses a service, and requests its endpoints at the first use and at the first after 10 min without
// one. It is cheap enough to be called for each call, and has no effect without the option OnDemandEndpoints.
func (s *Subscriber) Subscribe(service core.ServiceName) {
	if !s.options.OnDemandEndpoints {
		return
	}
	now := time.Now().UnixNano()
	if used, known := (*s.uses.Load())[service]; known {
		if now-used.Load() >= int64(useResolution) {
			used.Store(now)
		}
		return
	}
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	held := *s.uses.Load()
	if held[service] != nil || len(held) >= maxSubscriptions {
		return
	}
	next := maps.Clone(held)
	next[service] = &lastUse{}
	next[service].Store(now)
	s.uses.Store(&next)
	s.hub.markUnsynced(service)
	s.hub.services[service] = true
	s.hub.subscriptionsVersion++
	s.hub.publishAndWake()
}

// EndpointsKnown reports whether the node has received all endpoints of a service, and those that left within the last 10 min, as far
// as its control instance knows them. Without the option OnDemandEndpoints it returns true.
func (s *Subscriber) EndpointsKnown(service core.ServiceName) bool {
	if !s.options.OnDemandEndpoints {
		return true
	}
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	_, isUnsynced := s.hub.unsynced[service]
	return s.hub.complete && s.hub.services[service] && !isUnsynced
}

// expireUses ends the subscriptions of services that have not been used for subscriptionTTL; hub.mu is held.
func (s *Subscriber) expireUses(now time.Time) {
	held := *s.uses.Load()
	next := maps.Clone(held)
	maps.DeleteFunc(next, func(_ core.ServiceName, used *lastUse) bool {
		return now.Sub(time.Unix(0, used.Load())) >= subscriptionTTL
	})
	if len(next) == len(held) {
		return
	}
	s.uses.Store(&next)
	for service := range held {
		if next[service] == nil {
			delete(s.hub.services, service)
			s.hub.dropIfUnwanted(service)
		}
	}
}

// expireRetainedSubscriptions ends the subscriptions in retainedUntil whose time has passed.
func (h *hub) expireRetainedSubscriptions(now time.Time) {
	for service, until := range h.retainedUntil {
		if !now.Before(until) {
			delete(h.retainedUntil, service)
			h.dropIfUnwanted(service)
		}
	}
}

// isWanted reports whether this node or one of its children wants the endpoints of a service.
func (h *hub) isWanted(service core.ServiceName) bool {
	if _, retained := h.retainedUntil[service]; retained || h.allServices || h.services[service] {
		return true
	}
	for _, c := range h.children {
		if c.wants(service) {
			return true
		}
	}
	return false
}

// markUnsynced records that the endpoints of a service that was not wanted so far have to be requested. Until the parent has sent
// them, a relay must not report to its children that there are none.
func (h *hub) markUnsynced(service core.ServiceName) {
	if h.relayID != "" && !h.isWanted(service) {
		h.unsynced[service] = false
	}
}

// dropIfUnwanted removes the endpoints of a service that is no longer wanted, since the parent will not send changes to them.
func (h *hub) dropIfUnwanted(service core.ServiceName) {
	if h.relayID == "" || h.isWanted(service) {
		return
	}
	if !h.attached { // no parent could send the endpoints again
		h.retainedUntil[service] = time.Now().Add(lostChildSubscriptionTTL)
		return
	}
	delete(h.unsynced, service)
	h.table.DropLeases(parentOwner, service)
	h.subscriptionsVersion++
	h.publishAndWake()
}

// dropUnwanted drops all services that are no longer wanted when a new parent is found, which sends changes to wanted ones only.
func (h *hub) dropUnwanted() {
	for _, service := range h.table.ServicesOf(parentOwner) {
		h.dropIfUnwanted(service)
	}
}

// retainSubscriptions keeps the subscriptions of a lost child for lostChildSubscriptionTTL.
func (h *hub) retainSubscriptions(now time.Time, c *child) {
	if h.relayID == "" {
		return
	}
	for service := range c.services {
		h.retainedUntil[service] = now.Add(lostChildSubscriptionTTL)
	}
	h.subscriptionsVersion++
}

// subscriptionDue returns the services that this node and its children want, or no longer want, and that the parent was not sent.
func (h *hub) subscriptionDue(u *uplink) (subscribe, bool) {
	if u.subscribed && u.subscriptionsVersion == h.subscriptionsVersion {
		return subscribe{}, false
	}
	u.subscriptionsVersion = h.subscriptionsVersion
	message := subscribe{
		DetachedMS: u.detachedMS,
		States:     true,
	}
	wanted, all := h.wantedServices()
	message.All = all && !u.allServices
	for service := range wanted {
		if u.services[service] || len(u.services) >= maxSubscriptions {
			continue
		}
		u.services[service] = true
		message.Services = append(message.Services, service)
		if _, isUnsynced := h.unsynced[service]; isUnsynced {
			message.Fresh = append(message.Fresh, service)
		}
	}
	for service := range u.services {
		if !wanted[service] {
			delete(u.services, service)
			message.Drop = append(message.Drop, service)
		}
	}
	if !u.subscribed {
		for service := range h.unsynced {
			h.unsynced[service] = true // the first subscription is answered with a digest, later ones with the endpoints
		}
	}
	needed := !u.subscribed || message.All || len(message.Services)+len(message.Drop) > 0
	u.subscribed, u.allServices = true, u.allServices || all
	return message, needed
}

// wantedServices returns the services that this node or its children want; all means that one of them wants all services.
func (h *hub) wantedServices() (wanted map[core.ServiceName]bool, all bool) {
	wanted, all = maps.Clone(h.services), h.allServices
	for service := range h.retainedUntil {
		wanted[service] = true
	}
	for _, c := range h.children {
		all = all || c.allServices
		for service := range c.services {
			wanted[service] = true
		}
	}
	return wanted, all
}

// handleSubscribe updates the subscriptions of a child; mu is held.
func (h *hub) handleSubscribe(now time.Time, c *child, message subscribe) {
	first := !c.subscribed
	c.subscribed = true
	c.readsStates = message.States
	h.markUnsyncedForChild(c, message)
	c.allServices = c.allServices || message.All
	for _, service := range message.Drop {
		delete(c.services, service)
		delete(c.tombstonesPending, service)
		c.newServices = slices.DeleteFunc(c.newServices, func(each core.ServiceName) bool { return each == service })
		h.dropIfUnwanted(service)
	}
	for _, service := range message.Services {
		if c.services[service] || len(c.services) >= maxSubscriptions {
			continue
		}
		c.services[service] = true
		if !first {
			c.newServices = append(c.newServices, service)
			c.tombstonesPending[service] = true
		}
	}
	if first || message.All {
		c.tableCursor = h.table.Position(lease.All)
		c.digestDue = true
		c.tombstonesSince = now.Add(-lease.TombstoneAge)
		if message.DetachedMS >= 0 {
			// The child knows what left before its link broke; the margin covers the time until it noticed the break.
			c.tombstonesSince = now.Add(-time.Duration(message.DetachedMS)*time.Millisecond - lostSubtreeGrace)
		}
		for _, service := range message.Fresh {
			c.tombstonesPending[service] = c.services[service]
		}
	}
	h.subscriptionsVersion++
	h.publishAndWake() // a relay may have to subscribe to more services itself
}

// markUnsyncedForChild marks the services to which a relay has to subscribe on behalf of a child.
func (h *hub) markUnsyncedForChild(c *child, message subscribe) {
	for u := range h.uplinks {
		if u.kind == kindNode && message.All && !u.allServices {
			h.unsyncedAll, c.digestFinal = true, false
		}
	}
	for _, service := range message.Services {
		h.markUnsynced(service)
		if _, isUnsynced := h.unsynced[service]; isUnsynced {
			c.digestFinal = false
		}
	}
}

// tombstonesFor returns the tombstones that a child was not sent. Those of pending services are sent again until the table is
// complete for the child.
func (h *hub) tombstonesFor(c *child, now time.Time, wanted func(core.ServiceName) bool) []tombstone {
	list := h.recentTombstones(now, wanted)
	return slices.DeleteFunc(list, func(each tombstone) bool {
		at := now.Add(-time.Duration(each.AgeMS) * time.Millisecond)
		return at.Before(c.tombstonesSince) && !c.tombstonesPending[each.Endpoint.Service]
	})
}

// recentTombstones returns the endpoints that left within lease.TombstoneAge.
func (h *hub) recentTombstones(now time.Time, wanted func(core.ServiceName) bool) []tombstone {
	var list []tombstone
	for _, each := range h.table.Tombstones(now.Add(-lease.TombstoneAge), wanted) {
		list = append(list, tombstone{
			Endpoint: each.Endpoint,
			AgeMS:    now.Sub(each.At).Milliseconds(),
		})
	}
	return list
}

func (h *hub) addTombstones(now time.Time, list []tombstone) {
	for _, each := range list {
		h.table.AddTombstone(now, lease.Tombstone{
			Endpoint: each.Endpoint,
			At:       now.Add(-time.Duration(each.AgeMS) * time.Millisecond),
		})
	}
}
