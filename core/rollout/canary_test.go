package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

func endpoints(n int) []core.Endpoint {
	return lo.Times(n, func(i int) core.Endpoint {
		return core.Endpoint{Node: core.NodeID(fmt.Sprintf("n%d", i)), Service: "s", Release: "v2", State: core.EndpointReady}
	})
}

// Guards against a fault under load that a small share does not show: each canary endpoint has about the load of an endpoint of the
// other releases.
func TestCanaryEndpointsHaveTheLoadOfTheOthers(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{6, 10, 44} {
		fleet := endpoints(n)
		for _, share := range []core.PerMille{60, 200, 450} {
			canaries := rollout.CanaryEndpoints("v2", fleet, n, share)
			load := float64(share) / float64(core.FullShare) * float64(n) / float64(len(canaries)) // times that of the others
			c.Assert(load >= 0.3 && load <= 1.34, qt.IsTrue, qt.Commentf("%d endpoints, %d per mille: %.2f", n, share, load))
			if share >= 200 {
				c.Assert(load >= 0.66, qt.IsTrue, qt.Commentf("%d endpoints, %d per mille: %.2f", n, share, load))
			}
		}
	}
	c.Assert(rollout.CanaryEndpoints("v2", endpoints(2), 40, 450), qt.HasLen, 2)
	c.Assert(rollout.CanaryEndpoints("v2", endpoints(3), 0, 60), qt.HasLen, 1)
	c.Assert(rollout.CanaryEndpoints("v2", nil, 40, 450), qt.HasLen, 0)
}

// Guards against nodes that choose different canary endpoints, which would spread the calls again, and against a choice that changes
// completely when another endpoint joins or leaves.
func TestNodesAgreeOnCanaryEndpoints(t *testing.T) {
	c := qt.New(t)
	fleet := endpoints(44)
	first := rollout.CanaryEndpoints("v2", fleet, 44, 200)
	shuffled := append([]core.Endpoint(nil), fleet...)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	c.Assert(rollout.CanaryEndpoints("v2", shuffled, 44, 200), qt.DeepEquals, first)
	c.Assert(lo.Every(first, rollout.CanaryEndpoints("v2", fleet, 44, 60)), qt.IsTrue) // a larger share keeps the endpoints
	without := lo.Reject(fleet, func(e core.Endpoint, _ int) bool { return e.Node == first[0].Node })
	c.Assert(lo.Intersect(first, rollout.CanaryEndpoints("v2", without, 44, 200)), qt.HasLen, len(first)-1)
	c.Assert(fleet, qt.DeepEquals, endpoints(44)) // the caller's list is not reordered
}
