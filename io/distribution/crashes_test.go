package distribution

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyport/core"
)

// Guards against a request that repeatedly crashes backend servers because only one node knows of the crashes, and against
// reports that are counted twice or forwarded in a loop.
func TestCrashReportsReachEveryNodeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newCluster(t)
		defer tc.close()
		tc.source("c1", tc.catalog, "c2")
		tc.source("c2", tc.catalog, "c1")
		var mu sync.Mutex // guards received
		received := make(map[core.NodeID]int)
		start := func(id core.NodeID, control string) *Subscriber {
			return tc.subscriberWith(id, func(o *SubscriberOptions) {
				o.ControlAddresses = []string{control}
				o.OnCrash = func(time.Time, core.CrashReport) {
					mu.Lock()
					defer mu.Unlock()
					received[id]++
				}
			})
		}
		reporter := start("n1", "c1")
		for _, id := range []core.NodeID{"n2", "n3", "n4"} {
			start(id, "c1") // the fourth node of the data centre is below a relay
		}
		start("n5", "c2")
		receivedOnceBy := func(nodes int) func() bool {
			return func() bool {
				mu.Lock()
				defer mu.Unlock()
				for _, count := range received {
					if count != 1 {
						return false
					}
				}
				return len(received) == nodes
			}
		}
		report := core.CrashReport{Node: "n1", Run: "r1", Fingerprint: 7}
		tc.eventually(5*time.Second, "attached", reporter.Confirmed)
		reporter.ReportCrash(report)
		reporter.ReportCrash(report)
		tc.eventually(3*time.Second, "every node has received the report once", receivedOnceBy(5))
		time.Sleep(5 * time.Second)
		start("n6", "c2")
		tc.eventually(5*time.Second, "a node that starts later has received the report", receivedOnceBy(6))
	})
}
