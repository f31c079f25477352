package distribution

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

var faultSeeds = flag.Uint64("fault-seeds", 6, "number of seeds of TestEvidenceSumsUnderFaults")

// reporter counts what its nodes report; each report has two calls, one of which failed.
type reporter struct {
	calls uint64
}

func (r *reporter) report(n *Subscriber) {
	r.calls += 2
	count := core.EvidenceCount{Move: "m1", Service: "s", Route: "r", Release: "v2", Calls: 2, Failures: 1}
	count.Latency[3] = 2
	n.ReportEvidence([]core.MoveID{"m1"}, []core.EvidenceCount{count})
}

// counted adds up what a control instance knows.
func counted(s *Source) (sum core.EvidenceCount) {
	for _, count := range s.Evidence() {
		sum = sumOf(sum, count)
	}
	return sum
}

// Guards against counts that are lost or counted twice on the way through relays and between control instances, and
// against nodes that are hidden in a sum.
func TestEvidenceIsSummedByRelays(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		sources := []*Source{w.source("c1", w.catalog, "c2"), w.source("c2", w.catalog, "c1")}
		nodes := w.nodes(20, func(i int, o *SubscriberOptions) {
			o.ControlAddresses, o.DataCentre = []string{"c1"}, core.DataCentre(fmt.Sprintf("dc-%d", i/18))
		})
		nodes = append(nodes, w.subscriber("d", "c2"))
		w.eventually(inForce, "revision 1", allAt(nodes, 1))
		r := &reporter{}
		for range 5 {
			for _, n := range nodes[1:] {
				r.report(n)
			}
			time.Sleep(500 * time.Millisecond)
		}
		for _, s := range sources {
			w.eventually(8*time.Second, "all calls are counted", func() bool { return counted(s).Calls == r.calls })
			c.Assert(counted(s).Failures, qt.Equals, r.calls/2)
			c.Assert(counted(s).Latency[3], qt.Equals, r.calls)
			c.Assert(s.Evidence(), qt.HasLen, 3) // two data centres below c1 and one below c2
			c.Assert(s.Reporting("m1"), qt.Equals, 20)
		}
		for _, n := range nodes[1:] {
			n.ReportEvidence(nil, nil)
		}
		for _, s := range sources {
			w.eventually(8*time.Second, "nobody reports any more", func() bool { return s.Reporting("m1") == 0 })
		}
	})
}

// Guards against sums that count a report twice, or lose failures without the calls that they belong to, when nodes and
// relays restart, links break or go silent and nodes change their parent.
func TestEvidenceSumsUnderFaults(t *testing.T) {
	for seed := range *faultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, func(c *qt.C, w *world) { sumUnderFaults(c, w, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func sumUnderFaults(c *qt.C, w *world, random *rand.Rand) {
	sources := []*Source{w.source("c1", w.catalog, "c2"), w.source("c2", w.catalog, "c1")}
	nodes := w.nodes(24, knowing("c1", "c2"))
	w.eventually(inForce, "revision 1", allAt(nodes, 1))
	r := &reporter{}
	check := func() {
		for _, s := range sources {
			sum := counted(s)
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
			w.stop(string(nodes[i].options.ID))
			nodes[i] = w.subscriber(nodes[i].options.ID, "c1", "c2")
		case 1:
			for _, conn := range w.net.between("relay-" + string(nodes[i].options.ID)) {
				_ = conn.Close()
			}
		case 2:
			w.net.silence(nodes[i])
		}
		reportAll(1 + random.IntN(5))
		w.net.block(nodes[i].options.RelayAddress, false)
	}
	before, counted0 := r.calls, counted(sources[0]).Calls
	c.Assert(float64(counted0) > 0.7*float64(before), qt.IsTrue, qt.Commentf("%d of %d calls counted", counted0, before))
	time.Sleep(20 * time.Second) // all are attached again and have passed on what they held
	settled := counted(sources[0]).Calls - r.calls
	reportAll(5)
	time.Sleep(10 * time.Second)
	for _, s := range sources {
		c.Assert(counted(s).Calls-r.calls, qt.Equals, settled, qt.Commentf("of %d calls", r.calls)) // nothing is lost without a fault
		c.Assert(s.Reporting("m1"), qt.Equals, len(nodes))
	}
}

// Guards against calls that vanish with a silent link without being named.
func TestEvidenceInDoubtIsCounted(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog)
		node := w.subscriber("a", "c1")
		w.eventually(inForce, "revision 1", allAt([]*Subscriber{node}, 1))
		r := &reporter{}
		for second := range 20 {
			if second == 8 {
				w.net.silence(node)
				w.net.block(node.options.RelayAddress, false)
			}
			r.report(node)
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		source.hub.mu.Lock()
		inDoubt := source.hub.pending.inDoubt
		source.hub.mu.Unlock()
		sum := counted(source)
		c.Assert(sum.Calls < r.calls, qt.IsTrue) // the silent link lost some
		c.Assert(sum.Calls+inDoubt >= r.calls, qt.IsTrue, qt.Commentf("%d counted, %d in doubt, %d reported", sum.Calls, inDoubt, r.calls))
		c.Assert(inDoubt <= 10, qt.IsTrue) // what was answered before is not in doubt
	})
}
