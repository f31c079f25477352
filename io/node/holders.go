package node

import (
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/io/distribution"
)

// keyHolders gives the nodes that may hold idempotency keys of a service: its endpoints and the tombstones of those that left
// recently. Without the tombstones, a node that started after a holder left would ask other nodes, which do not know the key.
type keyHolders struct {
	subscriber *distribution.Subscriber
}

// Endpoints implements core.EndpointSource.
func (k keyHolders) Endpoints(service core.ServiceName) []core.Endpoint {
	return withTombstones(k.subscriber.Endpoints(service), k.subscriber.Tombstones(service))
}

// withTombstones appends the tombstones of nodes that have no live endpoint.
func withTombstones(live, left []core.Endpoint) []core.Endpoint {
	gone := lo.Filter(left, func(l core.Endpoint, _ int) bool {
		return !lo.ContainsBy(live, func(e core.Endpoint) bool { return e.Node == l.Node })
	})
	return append(append(make([]core.Endpoint, 0, len(live)+len(gone)), live...), gone...)
}
