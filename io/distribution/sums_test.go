package distribution

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"parsleyport/core"
	"parsleyport/core/record"
)

var faultSeeds = flag.Uint64("fault-seeds", 6, "number of seeds of TestEvidenceSumsUnderFaults")

// reporter adds up what nodes report; each report has two calls, one of which failed.
type reporter struct {
	calls uint64
}

func (r *reporter) report(n *Subscriber) {
	r.calls += 2
	count := core.EvidenceCount{Move: "m1", Service: "s", Route: "r", Release: "v2", Calls: 2, Failures: 1}
	count.Latency[3] = 2
	n.ReportEvidence([]core.MoveID{"m1"}, []core.EvidenceCount{count})
}

// newTestHub returns the hub of a node without links.
func newTestHub(relay core.NodeID) *hub {
	h := newHub(zerolog.Nop(), newMeters(setOrNew(nil)), Network{})
	h.relayID, h.current = relay, record.Empty()
	return h
}

// totalEvidence returns the sum of all evidence of a control instance.
func totalEvidence(s *Source) (sum core.EvidenceCount) {
	for _, count := range s.Evidence() {
		sum = sumOf(sum, count)
	}
	return sum
}

// Guards against counts that are lost or counted twice on the way through relays and between control instances, and against nodes
// that are missing from the number of reporting nodes.
func TestEvidenceIsSummedByRelays(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		sources := []*Source{tc.source("c1", tc.catalog, "c2"), tc.source("c2", tc.catalog, "c1")}
		nodes := tc.startNodes(20, func(i int, o *SubscriberOptions) {
			o.ControlAddresses, o.DataCentre = []string{"c1"}, core.DataCentre(fmt.Sprintf("dc-%d", i/18))
		})
		nodes = append(nodes, tc.subscriber("d", "c2"))
		tc.eventually(convergenceTimeout, "revision 1", allAtRevision(nodes, 1))
		r := &reporter{}
		for range 5 {
			for _, n := range nodes[1:] {
				r.report(n)
			}
			time.Sleep(500 * time.Millisecond)
		}
		for _, s := range sources {
			tc.eventually(8*time.Second, "all calls are counted", func() bool { return totalEvidence(s).Calls == r.calls })
			c.Assert(totalEvidence(s).Failures, qt.Equals, r.calls/2)
			c.Assert(totalEvidence(s).Latency[3], qt.Equals, r.calls)
			c.Assert(s.Evidence(), qt.HasLen, 3) // two data centres below c1 and one below c2
			c.Assert(s.Reporting("m1"), qt.Equals, 20)
		}
		for _, n := range nodes[1:] {
			n.ReportEvidence(nil, nil)
		}
		for _, s := range sources {
			tc.eventually(8*time.Second, "no node reports", func() bool { return s.Reporting("m1") == 0 })
		}
	})
}

// Guards against sums that count a report twice, or that lose a report's failures but not its calls or the reverse, when nodes and
// relays restart, links break or stop delivering, and nodes change their parent.
func TestEvidenceSumsUnderFaults(t *testing.T) {
	for seed := range *faultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runTest(t, func(c *qt.C, tc *cluster) { checkSumsUnderFaults(c, tc, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func checkSumsUnderFaults(c *qt.C, tc *cluster, random *rand.Rand) {
	sources := []*Source{tc.source("c1", tc.catalog, "c2"), tc.source("c2", tc.catalog, "c1")}
	nodes := tc.startNodes(24, withControlAddresses("c1", "c2"))
	tc.eventually(convergenceTimeout, "revision 1", allAtRevision(nodes, 1))
	r := &reporter{}
	check := func() {
		for _, s := range sources {
			sum := totalEvidence(s)
			c.Assert(sum.Calls <= r.calls, qt.IsTrue, qt.Commentf("%d calls counted of %d", sum.Calls, r.calls))
			c.Assert(sum.Failures*2, qt.Equals, sum.Calls)
		}
	}
	reportAll := func(seconds int) {
		for range seconds {
			for _, n := range nodes {
				r.report(n)
			}
			time.Sleep(time.Second)
			check()
		}
	}
	for range 8 {
		i := random.IntN(len(nodes))
		switch random.IntN(3) {
		case 0:
			tc.stop(string(nodes[i].options.ID))
			nodes[i] = tc.subscriber(nodes[i].options.ID, "c1", "c2")
		case 1:
			for _, conn := range tc.net.connsOf("relay-" + string(nodes[i].options.ID)) {
				_ = conn.Close()
			}
		case 2:
			tc.net.dropPackets(nodes[i])
		}
		reportAll(1 + random.IntN(5))
		tc.net.block(nodes[i].options.RelayAddress, false)
	}
	before, countedBefore := r.calls, totalEvidence(sources[0]).Calls
	c.Assert(float64(countedBefore) > 0.7*float64(before), qt.IsTrue, qt.Commentf("%d of %d calls counted", countedBefore, before))
	time.Sleep(20 * time.Second) // until all nodes are attached again and have sent their pending sums
	difference := totalEvidence(sources[0]).Calls - r.calls
	reportAll(5)
	time.Sleep(10 * time.Second)
	for _, s := range sources {
		c.Assert(totalEvidence(s).Calls-r.calls, qt.Equals, difference, qt.Commentf("of %d calls", r.calls)) // nothing is lost without a fault
		c.Assert(s.Reporting("m1"), qt.Equals, len(nodes))
	}
}

// Guards against calls that are lost with a link that stopped delivering and are not counted as in doubt.
func TestCallsInDoubtAreCounted(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog)
		node := tc.subscriber("a", "c1")
		tc.eventually(convergenceTimeout, "revision 1", allAtRevision([]*Subscriber{node}, 1))
		r := &reporter{}
		for second := range 20 {
			if second == 8 {
				tc.net.dropPackets(node)
				tc.net.block(node.options.RelayAddress, false)
			}
			r.report(node)
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		source.hub.mu.Lock()
		inDoubt := source.hub.pendingSums.inDoubt
		source.hub.mu.Unlock()
		sum := totalEvidence(source)
		c.Assert(sum.Calls < r.calls, qt.IsTrue) // some were lost with the link
		c.Assert(sum.Calls+inDoubt >= r.calls, qt.IsTrue, qt.Commentf("%d counted, %d in doubt, %d reported", sum.Calls, inDoubt, r.calls))
		c.Assert(inDoubt <= 10, qt.IsTrue) // calls before the last answered ping are not in doubt
	})
}

// Guards against sums that change when they are encoded and decoded, in rows or in the format of earlier versions.
func TestSumsRoundTrip(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		h, parent := newTestHub("n1"), newTestHub("n0")
		h.parentReadsRows = rapid.Bool().Draw(t, "rows")
		u, link, now := newUplink(nil, kindNode, evidenceInterval), &child{}, time.Now()
		for range 20 {
			want := make(map[series]core.EvidenceCount)
			for range rapid.IntRange(0, 9).Draw(t, "counts") {
				count := core.EvidenceCount{
					Move: core.MoveID(rapid.StringMatching("m[1-3]").Draw(t, "move")), Route: core.RouteName(rapid.StringMatching("[ab]?").Draw(t, "route")),
					Calls: rapid.Uint64Range(0, 1<<40).Draw(t, "calls"), Crashes: rapid.Uint64Range(0, 3).Draw(t, "crashes"),
				}
				count.Latency[rapid.IntRange(0, core.LatencyBuckets-1).Draw(t, "bucket")] = rapid.Uint64Range(0, 1<<40).Draw(t, "latency")
				want[seriesOf(count)] = sumOf(want[seriesOf(count)], count)
				h.addEvidence(now, count, 0)
			}
			for key, count := range want {
				want[key] = key.label(count)
			}
			due, _ := h.sumsDue(u, now, sumsFinal)
			for _, m := range due {
				body, err := msgpack.Marshal(m.message)
				c.Assert(err, qt.IsNil)
				var message sums
				c.Assert(msgpack.Unmarshal(body, &message), qt.IsNil)
				c.Assert(parent.handleSums(now, link, message), qt.IsNil)
			}
			got := make(map[series]core.EvidenceCount)
			for key, sum := range parent.pendingSums.counts {
				got[key] = sum.count
			}
			c.Assert(got, qt.DeepEquals, want)
			clear(parent.pendingSums.counts)
		}
	})
}

// Guards against a relay that exceeds its 4 KB/s with many open moves, against calls that are lost, or late without a reported
// lateness, and against evidence of a step that arrives after more than 3 s.
func TestEvidenceOfManyMovesSharesTheBudget(t *testing.T) {
	for _, moves := range []int{6, 24} {
		runTest(t, func(c *qt.C, tc *cluster) {
			source, calls := tc.source("c1", tc.catalog), make(map[core.MoveID]uint64)
			nodes := tc.startNodes(40, withControlAddresses("c1"))
			tc.eventually(convergenceTimeout, "revision 1", allAtRevision(nodes, 1))
			arrived := func(move core.MoveID) (sum uint64) {
				for _, count := range source.Evidence() {
					if count.Move == move {
						sum += count.Calls
					}
				}
				return sum
			}
			report := func(seconds int) {
				for range seconds {
					for _, n := range nodes {
						reportMoves(n, moves, calls)
					}
					time.Sleep(time.Second)
				}
			}
			report(10)
			before := bytesOf(nodes)
			report(10)
			for i, after := range bytesOf(nodes) {
				c.Assert(after-before[i] <= 10*4000, qt.IsTrue, qt.Commentf("node %d: %d B/s", i, (after-before[i])/10))
			}
			c.Assert(source.EvidenceLateness("move-0") > 0, qt.Equals, moves > 6)
			for number := range core.Revision(4) {
				override := core.Override{Service: "service-0", Move: "move-5", From: "service-0-v1", To: "service-0-v1", Open: true}
				override.Weights = []core.Weight{{Upstream: "service-0-v1", PerMille: 997 + core.PerMille(number)}}
				next, err := record.New(number+2, testRecords(3, 1), []core.Override{override})
				c.Assert(err, qt.IsNil)
				tc.catalog.set(next)
				time.Sleep(time.Second)
				report(1) // the first calls of the step
				since := calls["move-5"]
				report(1)
				time.Sleep(100 * time.Millisecond) // network delay and jitter of timers
				c.Assert(arrived("move-5") >= since, qt.IsTrue, qt.Commentf("%d moves, step %d: %d of %d calls arrived in 3 s", moves, number, arrived("move-5"), since))
				report(3)
			}
			tc.eventually(time.Minute, "all calls are counted", func() bool {
				for move, reported := range calls {
					if arrived(move) != reported {
						return false
					}
				}
				return true
			})
			c.Assert(len(calls), qt.Equals, moves)
		})
	}
}
