package distribution

import (
	"sort"
	"time"

	"parsleyport/core"
	"parsleyport/core/lease"
)

func (c *child) wants(service core.ServiceName) bool {
	return c.allServices || c.services[service]
}

// dueToChild returns the messages that are due to a child, and when to check again.
func (h *hub) dueToChild(c *child, now time.Time) ([]outgoing, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []outgoing
	if c.pathVersion != h.pathVersion {
		c.pathVersion = h.pathVersion
		due = append(due, outgoing{
			kind:    typeAccept,
			message: h.acceptMessage(c.compressorID),
		})
	}
	for ; c.pongsDue > 0; c.pongsDue-- {
		due = append(due, outgoing{
			kind:    typePong,
			message: ping{},
		})
	}
	if c.hello.Kind == kindControl {
		return due, now.Add(pingInterval)
	}
	due = append(due, h.configurationDue(c)...)
	if answer, ready := h.confirmer.takeAnswer(c.id, c.held.revision); ready {
		due = append(due, outgoing{
			kind:    typeConfirm,
			message: answer,
		})
	}
	due = append(due, h.crashesForChild(c, now)...)
	endpointMessages, nextCheck := h.endpointsDue(c, now)
	return append(due, endpointMessages...), nextCheck
}

func (h *hub) configurationDue(c *child) []outgoing {
	if !c.wantsFull && !c.offerFull && h.current.Revision() <= c.held.revision {
		return nil // a parent may be older than its child
	}
	held := c.held
	if c.wantsFull || c.offerFull {
		held = configVersion{}
	}
	message := configMessage(held, h.current, h.history)
	if message.kind == typeConfigFull {
		h.meters.fullsSent.Inc()
	} else {
		h.meters.deltasSent.Inc()
	}
	c.wantsFull, c.offerFull = false, false
	c.held = configVersionOf(h.current)
	return []outgoing{message}
}

func (h *hub) endpointsDue(c *child, now time.Time) ([]outgoing, time.Time) {
	idle := now.Add(pingInterval)
	if !c.subscribed {
		return nil, idle
	}
	if h.completeFor(c) && !c.digestFinal {
		c.digestDue = true
	}
	var due []outgoing
	if c.digestDue {
		c.digestDue, c.digestFinal = false, h.completeFor(c)
		due = append(due, h.digestMessage(c, now))
	}
	if c.requestedDigests != nil {
		due = append(due, h.resetMessage(c, h.differingServices(c), true))
		c.requestedDigests = nil
	}
	if len(c.newServices) > 0 {
		due = append(due, h.newServicesMessage(c, now))
		c.newServices = nil
	}
	if now.Before(c.batch.nextUrgent) {
		return due, c.batch.nextUrgent
	}
	changes, available := h.table.Changes(lease.All, c.tableCursor, c.owner, c.wants)
	if !available {
		c.tableCursor, c.digestFinal = h.table.Position(lease.All), false
		c.digestDue = true
		return due, now
	}
	if !h.completeFor(c) {
		changes.Removals = nil // the digest at the end of the grace period covers the removals
	}
	if changes.Empty() {
		c.tableCursor = changes.Next
		return due, idle
	}
	if at := c.batch.dueAt(changes); now.Before(at) {
		return due, at
	}
	c.tableCursor = changes.Next
	full, states := c.compactUpserts(changes.Upserts)
	c.batch.sent(now, len(full)+len(changes.Removals), len(states))
	for _, removal := range changes.Removals {
		delete(c.sentChecksums, removal.Node)
	}
	return append(due, outgoing{
		kind: typeEndpoints,
		message: endpoints{
			Upserts:  full,
			States:   states,
			Removals: changes.Removals,
		},
	}), c.batch.nextUrgent
}

func (h *hub) digestMessage(c *child, now time.Time) outgoing {
	message := endpoints{
		HasDigest: true,
		Partial:   !h.completeFor(c),
	}
	for _, digest := range h.table.Digests(c.wants) {
		message.Digest ^= digest
	}
	message.Tombstones = h.tombstonesFor(c, now, c.wants)
	if h.completeFor(c) {
		c.tombstonesSince = now
		clear(c.tombstonesPending)
	}
	return outgoing{
		kind:    typeEndpoints,
		message: message,
	}
}

// differingServices returns the services whose digests differ from the child's, and those that only one side has.
func (h *hub) differingServices(c *child) []core.ServiceName {
	own := h.table.Digests(c.wants)
	var services []core.ServiceName
	for service, digest := range own {
		if held, exists := c.requestedDigests[service]; !exists || held != digest {
			services = append(services, service)
		}
	}
	for service := range c.requestedDigests {
		if _, exists := own[service]; !exists && c.wants(service) {
			services = append(services, service)
		}
	}
	sort.Slice(services, func(i, j int) bool { return services[i] < services[j] })
	return services
}

func (h *hub) resetMessage(c *child, services []core.ServiceName, answer bool) outgoing {
	message := endpoints{
		Answer:  answer,
		Reset:   services,
		Partial: !h.completeFor(c),
	}
	for _, service := range services {
		message.Upserts = append(message.Upserts, h.table.EndpointsFor(c.owner, service)...)
	}
	c.recordSent(message.Upserts)
	return outgoing{
		kind:    typeEndpoints,
		message: message,
	}
}

// newServicesMessage returns the endpoints and tombstones of services that were added after the first subscription.
func (h *hub) newServicesMessage(c *child, now time.Time) outgoing {
	reset := h.resetMessage(c, c.newServices, false)
	message := reset.message.(endpoints)
	message.Tombstones = h.tombstonesFor(c, now, func(service core.ServiceName) bool { return c.tombstonesPending[service] })
	if !message.Partial {
		clear(c.tombstonesPending)
	}
	reset.message = message
	return reset
}
