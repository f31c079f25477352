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
		at := time.Now()
		reporter.ReportCrash(at, report)
		reporter.ReportCrash(at, report)
		tc.eventually(3*time.Second, "every node has received the report once", receivedOnceBy(5))
		time.Sleep(5 * time.Second)
		start("n6", "c2")
		tc.eventually(5*time.Second, "a node that starts later has received the report", receivedOnceBy(6))
	})
}

// Guards against suspicion that one node takes back and others keep, and against a message of each node for each completion.
func TestCompletionsOfCrashedRequestsReachEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newCluster(t)
		defer tc.close()
		tc.source("c1", tc.catalog, "c2")
		tc.source("c2", tc.catalog, "c1")
		var mu sync.Mutex // guards completions and crashes
		completions, crashes := make(map[core.NodeID]int), make(map[core.NodeID]int)
		nodes := make(map[core.NodeID]*Subscriber)
		for id, control := range map[core.NodeID]string{"n1": "c1", "n2": "c1", "n3": "c1", "n4": "c1", "n5": "c2"} {
			nodes[id] = tc.subscriberWith(id, func(o *SubscriberOptions) {
				o.ControlAddresses = []string{control}
				o.OnCrash = func(time.Time, core.CrashReport) { mu.Lock(); crashes[id]++; mu.Unlock() }
				o.OnCompletion = func(_ time.Time, fingerprint uint64) {
					mu.Lock()
					defer mu.Unlock()
					if fingerprint == 7 || fingerprint == 8 {
						completions[id]++
					}
				}
			})
		}
		all := func(counts map[core.NodeID]int, want int) func() bool {
			return func() bool {
				mu.Lock()
				defer mu.Unlock()
				for id := range nodes {
					if counts[id] != want {
						return false
					}
				}
				return true
			}
		}
		for id, n := range nodes {
			tc.eventually(5*time.Second, string(id)+" is attached", n.Confirmed)
		}
		nodes["n2"].ReportCompletion(time.Now(), 7) // of a request of no crash
		nodes["n1"].ReportCrash(time.Now(), core.CrashReport{Node: "n1", Run: "r1", Fingerprint: 7, Exact: 8})
		tc.eventually(3*time.Second, "every node has received the crash", all(crashes, 1))
		for range 5 {
			nodes["n5"].ReportCompletion(time.Now(), 7)
			time.Sleep(100 * time.Millisecond)
		}
		nodes["n3"].ReportCompletion(time.Now(), 8)
		tc.eventually(3*time.Second, "every node has received one completion of each fingerprint", all(completions, 2))
		time.Sleep(time.Second)
		nodes["n2"].ReportCrash(time.Now(), core.CrashReport{Node: "n2", Run: "r1", Fingerprint: 7})
		tc.eventually(3*time.Second, "every node has received the second crash", all(crashes, 2))
		for _, n := range nodes {
			n.ReportCompletion(time.Now(), 7)
		}
		tc.eventually(3*time.Second, "every node has received a completion after the second crash", all(completions, 3))
		tc.always(time.Second, "each node has received it once", all(completions, 3))
	})
}

// Guards against memory that grows with crashes and completions.
func TestCrashStoreIsBounded(t *testing.T) {
	s := newCrashStore()
	now := time.Unix(1_800_000_000, 0)
	for i := range 3 * maxCrashReports {
		at := now.Add(time.Duration(i) * time.Millisecond)
		s.add(at, at, core.CrashReport{Node: "n", Run: "r", Fingerprint: uint64(i), Exact: uint64(i) << 32}, crashOrigin{})
		s.addCompletion(at, at.Add(time.Millisecond), uint64(i), crashOrigin{})
	}
	if len(s.items) > maxCrashReports || len(s.known) > maxCrashReports || len(s.fingerprints) > 2*maxCrashReports {
		t.Errorf("%d items, %d known, %d fingerprints", len(s.items), len(s.known), len(s.fingerprints))
	}
	s.expire(now.Add(time.Hour))
	if len(s.items)+len(s.known)+len(s.fingerprints) > 0 {
		t.Errorf("after an hour: %d items, %d known, %d fingerprints", len(s.items), len(s.known), len(s.fingerprints))
	}
}
