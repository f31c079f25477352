package lease

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

// Endpoints returns the live endpoints of a service, sorted by node.
func (t *Table) Endpoints(service core.ServiceName) []core.Endpoint {
	endpoints := make([]core.Endpoint, 0, len(t.services[service]))
	for node := range t.services[service] {
		endpoints = append(endpoints, t.entries[node].endpoint)
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Node < endpoints[j].Node })
	return endpoints
}

// EndpointsFor returns the live endpoints of a service that are visible to an owner, sorted by node.
func (t *Table) EndpointsFor(owner Owner, service core.ServiceName) []core.Endpoint {
	return slices.DeleteFunc(t.Endpoints(service), func(endpoint core.Endpoint) bool {
		return !t.entries[endpoint.Node].state().visibleTo(owner)
	})
}

// Lookup returns the last known endpoint of a node, also if it has left.
func (t *Table) Lookup(node core.NodeID) (core.Endpoint, bool) {
	e := t.entries[node]
	if e == nil {
		return core.Endpoint{}, false
	}
	return e.endpoint, true
}

// LocalEndpoints returns the endpoints leased by a local owner, sorted by node.
func (t *Table) LocalEndpoints() []core.Endpoint {
	var endpoints []core.Endpoint
	for _, e := range t.entries {
		if e.state().local {
			endpoints = append(endpoints, e.endpoint)
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Node < endpoints[j].Node })
	return endpoints
}

// Tombstones returns the endpoints that left a service at or after the given time, sorted by node.
func (t *Table) Tombstones(since time.Time, wanted func(core.ServiceName) bool) []Tombstone {
	var found []Tombstone
	for _, tombstone := range t.tombstones {
		if !tombstone.At.Before(since) && wanted(tombstone.Endpoint.Service) {
			found = append(found, tombstone)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Endpoint.Node < found[j].Endpoint.Node })
	return found
}

// Digests returns an order-independent hash of the live endpoints of each service for which wanted returns true.
func (t *Table) Digests(wanted func(core.ServiceName) bool) map[core.ServiceName]core.Hash {
	digests := make(map[core.ServiceName]core.Hash)
	for service, members := range t.services {
		if !wanted(service) {
			continue
		}
		for node := range members {
			digests[service] ^= hash(t.entries[node].endpoint)
		}
	}
	return digests
}

func hash(endpoint core.Endpoint) core.Hash {
	encoded := make([]byte, 0, 2*maxNameBytes)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(endpoint.Incarnation))
	encoded = binary.BigEndian.AppendUint64(encoded, endpoint.Sequence)
	encoded = append(append(encoded, endpoint.Node...), 0)
	encoded = append(encoded, endpoint.Service...)
	return core.Hash(xxhash.Sum64(encoded))
}

// TakeDirty returns the services whose live endpoints have changed since the previous call.
func (t *Table) TakeDirty() []core.ServiceName {
	services := make([]core.ServiceName, 0, len(t.dirty))
	for service := range t.dirty {
		services = append(services, service)
	}
	clear(t.dirty)
	return services
}

// Refused returns the number of announcements that were refused because they were malformed or the table was full.
func (t *Table) Refused() uint64 {
	return t.refused
}

// LiveCount returns the number of live endpoints.
func (t *Table) LiveCount() int {
	live := 0
	for _, members := range t.services {
		live += len(members)
	}
	return live
}
