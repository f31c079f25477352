package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/lease"
)

// Guards against throttled links that delay a change: a leaving backend server would get calls for more than 3 s and a new one
// none for 14 s. Also guards against traffic on such links that grows with every change.
func TestThrottledLinksDeliverLeavingInTime(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog, "c2")
		tc.source("c2", tc.catalog, "c1")
		nodes := append(tc.startNodes(38, withControlAddresses("c1")), tc.subscriber("z", "c2"))
		tc.eventually(convergenceTimeout, "all endpoints", allHaveEndpoints(nodes, 38))
		churn := func(rounds int) {
			for i := range rounds {
				state := []core.EndpointState{core.EndpointStarting, core.EndpointReady}[i/30%2]
				nodes[1+i%30].Announce(endpoint("service-0", state))
				time.Sleep(50 * time.Millisecond)
			}
		}
		churn(200)
		before := bytesOf(nodes)
		churn(200)
		// A change takes 15 B on 17 links and an announcement on 2. Each link also has a frame of 16 B every 1.5 s and 0.8 KB/s idle.
		for i, after := range bytesOf(nodes) {
			c.Assert(after-before[i] < 10*9_400, qt.IsTrue, qt.Commentf("node %d: %d B/s", i, (after-before[i])/10))
		}
		for i := range 5 {
			leaving := nodes[33+i]
			leaving.Announce(endpoint("service-0", core.EndpointLeaving))
			churn(54) // 2.7 s
			c.Assert(allSeeLeaving(nodes, leaving.options.ID)(), qt.IsTrue)
		}
		// Without its table, the node cannot apply state changes and has to compare digests.
		nodes[38].hub.mu.Lock()
		nodes[38].hub.table = lease.New()
		nodes[38].hub.mu.Unlock()
		nodes[37].Announce(endpoint("service-0", core.EndpointReady))
		churn(240) // 12 s
		c.Assert(allSeeState(nodes, nodes[37].options.ID, core.EndpointReady)(), qt.IsTrue)
	})
}
