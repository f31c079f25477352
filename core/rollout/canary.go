package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"parsleyport/core"
)

// CanaryEndpoints returns the endpoints of a new release that get its calls: as many as carry its share at the load of the other
// releases' endpoints. A small share spread over all endpoints would leave each of them nearly idle, and a fault that occurs only
// under load would not be seen before all traffic has moved.
//
// For example, a new release fails half of its calls when its backend servers are busy. It has as many of them as the release that
// it replaces, and gets 60 per mille of the calls. Spread evenly, each backend server would have a seventeenth of its later load.
//
// All nodes make the same choice from the same endpoints. A release with fewer endpoints than its share needs uses them all.
func CanaryEndpoints(release core.Release, endpoints []core.Endpoint, others int, share core.PerMille) []core.Endpoint {
	wanted := max(1, int((uint64(others)*uint64(share)+uint64(core.FullShare)/2)/uint64(core.FullShare)))
	if wanted >= len(endpoints) {
		return endpoints
	}
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b core.Endpoint) int {
		return cmp.Or(cmp.Compare(canaryOrder(release, a), canaryOrder(release, b)), cmp.Compare(a.Node, b.Node))
	})
	return lo.Slice(ordered, 0, wanted)
}

func canaryOrder(release core.Release, endpoint core.Endpoint) uint64 {
	return xxhash.Sum64String(string(release) + "\x00" + string(endpoint.Node))
}
