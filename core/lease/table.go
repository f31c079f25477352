package lease

import (
	"time"

	"parsleyport/core"
)

const (
	// TombstoneAge is how long a tombstone is kept. It equals the window of the idempotency keys.
	TombstoneAge = 10 * time.Minute
	// MaxEntries limits live endpoints and tombstones: five times the planned 2,700 nodes and their daily restarts.
	MaxEntries = 16_384
	// maxNameBytes limits the names in an announcement, so that MaxEntries also limits the memory.
	maxNameBytes = 256
	// movedLeaseGrace is how long a lease is kept after its owner has reported that the endpoint moved to another owner, whose
	// lease may arrive later because it takes another path.
	movedLeaseGrace = 5 * time.Second
)

// Owner holds leases on endpoints. Endpoints that only remote owners (a parent, another control instance) have leased are not sent to
// the parent or to other control instances.
type Owner struct {
	Name   string
	Remote bool
}

// Removal says that a node does not serve a service any more, as of its announcement with the given sequence. With Elsewhere, only
// the sender's lease ends, and the sender knows the endpoint to be live by the leases of other owners.
type Removal struct {
	Elsewhere   bool             `msgpack:"elsewhere,omitempty"`
	Node        core.NodeID      `msgpack:"node"`
	Incarnation core.Incarnation `msgpack:"incarnation"`
	Sequence    uint64           `msgpack:"sequence"`
	Service     core.ServiceName `msgpack:"service"`
}

// Tombstone is an endpoint that has left its service, and when.
type Tombstone struct {
	Endpoint core.Endpoint
	At       time.Time
}

type entry struct {
	endpoint core.Endpoint
	owners   map[Owner]bool
}

type endpointKey struct {
	node    core.NodeID
	service core.ServiceName
}

type expiringLease struct {
	owner Owner
	node  core.NodeID
}

type lostOwner struct {
	neighbour          core.NodeID
	neighbourExpiresAt time.Time
	othersExpireAt     time.Time
}

// Table holds the leases. It is not safe for concurrent use.
type Table struct {
	entries    map[core.NodeID]*entry // live endpoints and, until their tombstones expire, those that left
	services   map[core.ServiceName]map[core.NodeID]bool
	tombstones map[endpointKey]Tombstone
	lostOwners map[Owner]lostOwner
	expiring   map[expiringLease]time.Time // when leases on moved endpoints end
	dirty      map[core.ServiceName]bool   // services whose live endpoints have changed since TakeDirty
	logs       [viewCount]changeLog
	refused    uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries:    make(map[core.NodeID]*entry),
		services:   make(map[core.ServiceName]map[core.NodeID]bool),
		tombstones: make(map[endpointKey]Tombstone),
		lostOwners: make(map[Owner]lostOwner),
		expiring:   make(map[expiringLease]time.Time),
		dirty:      make(map[core.ServiceName]bool),
	}
}

// Announce adds an owner's lease on an endpoint. It returns false if a newer announcement of the node is known or the table is
// full. Several owners may hold leases for the same announcement, so that a subtree can move between two parents.
func (t *Table) Announce(now time.Time, owner Owner, endpoint core.Endpoint) bool {
	if !valid(endpoint) {
		t.refused++
		return false
	}
	e := t.entries[endpoint.Node]
	if e == nil {
		if len(t.entries) >= MaxEntries && !t.evictOldestTombstone() {
			t.refused++
			return false
		}
		e = &entry{
			endpoint: endpoint,
			owners:   make(map[Owner]bool, 2),
		}
		t.entries[endpoint.Node] = e
	}
	if e.endpoint.Newer(endpoint) {
		return false
	}
	t.update(now, e, func() {
		if endpoint.Newer(e.endpoint) {
			clear(e.owners) // their leases are for an older announcement
			e.endpoint = endpoint
		}
		if len(e.owners) == 0 {
			e.endpoint = endpoint // a removal may have combined its sequence with the service announced before it
		}
		e.owners[owner] = true
	})
	delete(t.expiring, expiringLease{
		owner: owner,
		node:  endpoint.Node,
	})
	return true
}

func valid(endpoint core.Endpoint) bool {
	return endpoint.Node != "" && endpoint.Service != "" &&
		len(endpoint.Node) <= maxNameBytes && len(endpoint.Service) <= maxNameBytes &&
		len(endpoint.Release) <= maxNameBytes && len(endpoint.Address) <= maxNameBytes &&
		len(endpoint.DataCentre) <= maxNameBytes
}

// Remove ends an owner's lease on an endpoint. A removal older than the known announcement is ignored; one that is newer ends the
// leases of all owners, since these are for an earlier announcement.
func (t *Table) Remove(now time.Time, owner Owner, removal Removal) {
	e := t.entries[removal.Node]
	removed := core.Endpoint{
		Incarnation: removal.Incarnation,
		Sequence:    removal.Sequence,
	}
	if e == nil || e.endpoint.Service != removal.Service || e.endpoint.Newer(removed) {
		return
	}
	if removal.Elsewhere {
		t.startExpiry(now, owner, e)
		return
	}
	t.update(now, e, func() {
		delete(e.owners, owner)
		if removed.Newer(e.endpoint) {
			clear(e.owners)
		}
		if len(e.owners) == 0 {
			e.endpoint.Incarnation, e.endpoint.Sequence = removal.Incarnation, removal.Sequence
		}
	})
}

func (t *Table) startExpiry(now time.Time, owner Owner, e *entry) {
	if !e.owners[owner] {
		return
	}
	key := expiringLease{
		owner: owner,
		node:  e.endpoint.Node,
	}
	if _, started := t.expiring[key]; !started {
		t.expiring[key] = now.Add(movedLeaseGrace)
	}
}

// DisconnectOwner starts the grace periods of an owner whose link is broken. The neighbour is the node at the other end of the
// link, which has probably failed; the others are the nodes behind it, which will probably be announced again over another link.
func (t *Table) DisconnectOwner(now time.Time, owner Owner, neighbour core.NodeID, neighbourGrace, othersGrace time.Duration) {
	t.lostOwners[owner] = lostOwner{
		neighbour:          neighbour,
		neighbourExpiresAt: now.Add(neighbourGrace),
		othersExpireAt:     now.Add(othersGrace),
	}
	t.Expire(now)
}

// ReconnectOwner ends the grace periods of an owner whose link has been restored.
func (t *Table) ReconnectOwner(owner Owner) {
	delete(t.lostOwners, owner)
}

// Retain ends an owner's leases on all endpoints that are not named, in the services for which covers returns true.
func (t *Table) Retain(now time.Time, owner Owner, named []core.Endpoint, covers func(core.ServiceName) bool) {
	kept := make(map[core.NodeID]bool, len(named))
	for _, endpoint := range named {
		kept[endpoint.Node] = true
	}
	for node, e := range t.entries {
		if e.owners[owner] && !kept[node] && covers(e.endpoint.Service) {
			t.update(now, e, func() { delete(e.owners, owner) })
		}
	}
}

// DropLeases ends an owner's leases on the endpoints of a service about which the owner sends no more updates. Endpoints without
// another owner are removed without a tombstone, since they have not left.
func (t *Table) DropLeases(owner Owner, service core.ServiceName) {
	for node := range t.services[service] {
		if e := t.entries[node]; e.owners[owner] {
			t.dropLease(owner, e)
		}
	}
	if len(t.services[service]) == 0 {
		delete(t.services, service)
	}
}

func (t *Table) dropLease(owner Owner, e *entry) {
	before := e.state()
	delete(e.owners, owner)
	delete(t.expiring, expiringLease{
		owner: owner,
		node:  e.endpoint.Node,
	})
	if len(e.owners) > 0 {
		t.logs[All].addFor(before.soleOwner, e.endpoint)
		t.logs[All].addFor(e.state().soleOwner, e.endpoint)
		return
	}
	delete(t.services[e.endpoint.Service], e.endpoint.Node)
	delete(t.entries, e.endpoint.Node)
	t.dirty[e.endpoint.Service] = true
}

// ServicesOf returns the services with endpoints on which an owner holds leases.
func (t *Table) ServicesOf(owner Owner) []core.ServiceName {
	var services []core.ServiceName
	for service, members := range t.services {
		for node := range members {
			if t.entries[node].owners[owner] {
				services = append(services, service)
				break
			}
		}
	}
	return services
}

// Expire ends leases whose grace period is over and removes tombstones older than TombstoneAge.
func (t *Table) Expire(now time.Time) {
	for owner, lost := range t.lostOwners {
		if e := t.entries[lost.neighbour]; e != nil && e.owners[owner] && !now.Before(lost.neighbourExpiresAt) {
			t.update(now, e, func() { delete(e.owners, owner) })
		}
		if !now.Before(lost.othersExpireAt) {
			t.Retain(now, owner, nil, func(core.ServiceName) bool { return true })
			delete(t.lostOwners, owner)
		}
	}
	for key, until := range t.expiring {
		if now.Before(until) {
			continue
		}
		if e := t.entries[key.node]; e != nil {
			t.update(now, e, func() { delete(e.owners, key.owner) })
		}
		delete(t.expiring, key)
	}
	for key, tombstone := range t.tombstones {
		if now.Sub(tombstone.At) >= TombstoneAge {
			t.removeTombstone(key)
		}
	}
}

func (t *Table) evictOldestTombstone() bool {
	var oldest endpointKey
	var at time.Time
	for key, tombstone := range t.tombstones {
		if at.IsZero() || tombstone.At.Before(at) {
			oldest, at = key, tombstone.At
		}
	}
	if at.IsZero() {
		return false
	}
	t.removeTombstone(oldest)
	return true
}

func (t *Table) removeTombstone(key endpointKey) {
	delete(t.tombstones, key)
	if e := t.entries[key.node]; e != nil && len(e.owners) == 0 && e.endpoint.Service == key.service {
		delete(t.entries, key.node)
	}
}

type leaseState struct {
	endpoint    core.Endpoint
	live, local bool
	soleOwner   Owner // zero unless there is exactly one owner
}

func (e *entry) state() leaseState {
	state := leaseState{
		endpoint: e.endpoint,
		live:     len(e.owners) > 0,
	}
	for owner := range e.owners {
		state.local = state.local || !owner.Remote
		if len(e.owners) == 1 {
			state.soleOwner = owner
		}
	}
	return state
}

// visibleTo reports whether an owner is sent the endpoint. The sole owner is not: if its own lease came back to it, the endpoint
// would stay alive after the owner has lost it.
func (s leaseState) visibleTo(owner Owner) bool {
	return s.live && s.soleOwner != owner
}

// update applies a change to one entry and updates the index, the tombstones and the change logs.
func (t *Table) update(now time.Time, e *entry, change func()) {
	before := e.state()
	change()
	after := e.state()
	moved := before.endpoint.Service != after.endpoint.Service
	if before.live && (!after.live || moved) {
		t.unindex(now, before.endpoint, after.endpoint)
	}
	if after.live && (!before.live || before.endpoint != after.endpoint) {
		t.index(after.endpoint)
	}
	if before.live && after.live && before.soleOwner != after.soleOwner {
		t.logs[All].addFor(before.soleOwner, after.endpoint)
		t.logs[All].addFor(after.soleOwner, after.endpoint)
	}
	if before.local && (!after.local || moved) {
		t.logs[Local].add(before.endpoint)
	}
	if after.local && (!before.local || before.endpoint != after.endpoint) {
		t.logs[Local].add(after.endpoint)
	}
}

func (t *Table) index(endpoint core.Endpoint) {
	members := t.services[endpoint.Service]
	if members == nil {
		members = make(map[core.NodeID]bool)
		t.services[endpoint.Service] = members
	}
	members[endpoint.Node] = true
	delete(t.tombstones, endpointKey{
		node:    endpoint.Node,
		service: endpoint.Service,
	})
	t.dirty[endpoint.Service] = true
	t.logs[All].add(endpoint)
}

func (t *Table) unindex(now time.Time, endpoint, last core.Endpoint) {
	delete(t.services[endpoint.Service], endpoint.Node)
	if len(t.services[endpoint.Service]) == 0 {
		delete(t.services, endpoint.Service)
	}
	endpoint.Incarnation, endpoint.Sequence = last.Incarnation, last.Sequence
	t.storeTombstone(Tombstone{
		Endpoint: endpoint,
		At:       now,
	})
	t.dirty[endpoint.Service] = true
	t.logs[All].add(endpoint)
}

func (t *Table) storeTombstone(tombstone Tombstone) {
	if len(t.tombstones) >= MaxEntries {
		t.evictOldestTombstone()
	}
	t.tombstones[endpointKey{
		node:    tombstone.Endpoint.Node,
		service: tombstone.Endpoint.Service,
	}] = tombstone
}

// AddTombstone adds an endpoint that left before the table knew it, unless the node announces the service now.
func (t *Table) AddTombstone(now time.Time, tombstone Tombstone) {
	if !valid(tombstone.Endpoint) || now.Sub(tombstone.At) >= TombstoneAge || t.services[tombstone.Endpoint.Service][tombstone.Endpoint.Node] {
		return
	}
	key := endpointKey{
		node:    tombstone.Endpoint.Node,
		service: tombstone.Endpoint.Service,
	}
	if _, known := t.tombstones[key]; !known {
		t.storeTombstone(tombstone)
	}
}
