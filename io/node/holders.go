package node

import (
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/io/distribution"
)

// keyHolders gives the nodes that may hold idempotency keys of a service: its endpoints and those that left recently. A
// node that started after a holder had left would otherwise take the next ones for holders, which have not heard of the key.
type keyHolders struct {
	subscriber *distribution.Subscriber
}

// Endpoints implements core.EndpointSource.
func (k keyHolders) Endpoints(service core.ServiceName) []core.Endpoint {
	return withTombstones(k.subscriber.Endpoints(service), k.subscriber.Tombstones(service))
}

// withTombstones adds the endpoints that left, except those of nodes that are back.
func withTombstones(live, left []core.Endpoint) []core.Endpoint {
	gone := lo.Filter(left, func(l core.Endpoint, _ int) bool {
		return !lo.ContainsBy(live, func(e core.Endpoint) bool { return e.Node == l.Node })
	})
	return append(append(make([]core.Endpoint, 0, len(live)+len(gone)), live...), gone...)
}
