package distribution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/record"
)

// inForce is the target for a change on all nodes.
const inForce = 14 * time.Second

func run(t *testing.T, test func(c *qt.C, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		test(qt.New(t), w)
	})
}

// Guards against a pair that does not pass configuration, endpoints and acknowledgements on at all.
func TestSourceAndSubscribers(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog)
		nodes := w.subscribers(40, "c1")
		w.eventually(inForce, "first revision in force", allAt(nodes, 1))
		w.catalog.set(revision(2))
		w.eventually(time.Second, "second revision in force", allAt(nodes, 2))
		w.eventually(time.Second, "acknowledged", func() bool {
			return source.Fleet() == Fleet{Lowest: 2, Nodes: 40, Schema: record.NewestSchema}
		})
		for _, n := range nodes {
			n.Announce(endpoint("service-0", core.EndpointReady))
		}
		w.eventually(3*time.Second, "endpoints at all nodes", allHave(nodes, "service-0", 40))
		time.Sleep(startGrace)
		w.stop("n003")
		w.eventually(3*time.Second, "withdrawn endpoint gone", allHave(nodes[4:], "service-0", 39))
		c.Check(nodes[39].Tombstones("service-0"), qt.HasLen, 1)
		for _, n := range nodes {
			c.Check(n.Confirmed(), qt.IsTrue)
		}
	})
}

// Guards against a reliance on the timing or buffering of the network fake.
func TestLoopbackTCP(t *testing.T) {
	f := newFleet(t, 25)
	defer f.close()
	next := planned(t, 2)
	f.catalog.set(next)
	f.wait(t, func() bool { return f.source.Fleet() == Fleet{Lowest: 2, Nodes: 25, Schema: record.NewestSchema} })
	f.nodes[0].Announce(endpoint("service-0", core.EndpointLeaving))
	f.wait(t, func() bool { return f.nodes[24].Endpoints("service-0")[0].State == core.EndpointLeaving })
}

// Guards against a return to an older configuration when updates arrive out of order.
func TestNeverOlderWhenUpdatesCross(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		parent := w.rawParent("raw")
		node := w.subscriber("n", "raw")
		parent.attach(typeAccept, accept{Control: "raw"})
		parent.send(typeConfigFull, revision(3).Full())
		w.eventually(time.Second, "revision 3", allAt([]*Subscriber{node}, 3))
		parent.send(typeConfigFull, revision(5).Full())
		parent.send(typeConfigDelta, revision(4).DeltaFrom(revision(3)))
		parent.send(typeConfigFull, revision(2).Full())
		parent.send(typeConfigDelta, revision(6).DeltaFrom(revision(5)))
		for node.Current().Revision() != 6 {
			changed := node.Changed()
			held := node.Current().Revision()
			<-changed
			c.Assert(node.Current().Revision() > held, qt.IsTrue)
		}
	})
}

// Guards against a node that takes the configuration of the only reachable parent although that parent is behind.
func TestNeverOlderBelowAParentThatIsBehind(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		behind := newFakeCatalog()
		behind.set(revision(3))
		w.catalog.set(revision(5))
		w.source("c1", w.catalog)
		w.source("c2", behind)
		w.net.block("c2", true)
		node := w.subscriber("n", "c1", "c2")
		w.eventually(inForce, "revision 5", allAt([]*Subscriber{node}, 5))
		w.stop("c1")
		w.net.block("c2", false)
		w.eventually(inForce, "attached to c2", func() bool { return node.Status().Control == "c2" })
		time.Sleep(time.Minute)
		c.Assert(node.Current().Revision(), qt.Equals, core.Revision(5))
		behind.set(revision(6))
		w.eventually(time.Second, "revision 6", allAt([]*Subscriber{node}, 6))
	})
}

// Guards against a delta that is applied to another configuration than it was made for, and against a node that stays
// behind after such a delta.
func TestDeltaMismatchFetchesTheFullConfiguration(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		parent := w.rawParent("raw")
		node := w.subscriber("n", "raw")
		parent.attach(typeAccept, accept{Control: "raw"})
		parent.send(typeConfigFull, revision(1).Full())
		parent.send(typeConfigDelta, revision(4).DeltaFrom(revision(3)))
		parent.receive(typeConfigRequest, &configRequest{})
		c.Assert(node.Current().Revision(), qt.Equals, core.Revision(1))
		parent.send(typeConfigFull, revision(4).Full())
		w.eventually(time.Second, "revision 4", allAt([]*Subscriber{node}, 4))
	})
	run(t, func(c *qt.C, w *world) {
		w.source("c1", w.catalog)
		child := w.rawChild("c1", hello{Kind: kindNode, ID: "n", RelayAddress: "x", Revision: 1, Hash: 42})
		w.catalog.set(revision(2))
		var full record.Full
		child.receive(typeConfigFull, &full)
		child.send(typeConfigRequest, configRequest{})
		child.receive(typeConfigFull, &full)
		c.Assert(full.Revision, qt.Equals, core.Revision(2))
	})
}

// Guards against a configuration with a route that points nowhere, in force as a whole or in part.
func TestDanglingReferenceIsNeverInForce(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		parent := w.rawParent("raw")
		node := w.subscriber("n", "raw")
		parent.attach(typeAccept, accept{Control: "raw"})
		good := revision(1)
		parent.send(typeConfigFull, good.Full())
		w.eventually(time.Second, "revision 1", allAt([]*Subscriber{node}, 1))
		held := node.Current()

		dangling := good.Full()
		dangling.Revision = 2
		dangling.Records = dangling.Records[:len(dangling.Records)-3] // without the service records
		parent.send(typeConfigFull, dangling)
		delta := revision(2).DeltaFrom(good)
		delta.Deletes = []core.RecordKey{{Kind: core.KindService, Name: "service-1", SchemaVersion: 1}}
		parent.send(typeConfigDelta, delta)
		w.eventually(time.Second, "both refused", func() bool { return node.hub.meters.refused.Get() == 2 })
		c.Assert(node.Current() == held, qt.IsTrue)
		parent.send(typeConfigDelta, revision(3).DeltaFrom(good))
		w.eventually(time.Second, "revision 3", allAt([]*Subscriber{node}, 3))
	})
}

// Guards against a fresh node that serves callers by a read that may be older than what its earlier run served.
func TestConfirmedOnlyByAReadThatBeganLater(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		release := make(chan struct{})
		w.catalog.read = func(ctx context.Context) error {
			select {
			case <-release:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		w.source("c1", w.catalog)
		first := w.subscriber("first", "c1")
		w.eventually(inForce, "read for the first node", func() bool { return w.catalog.reads.Load() == 1 })
		// The second node is attached below the first one or beside it; the read under way proves nothing for it.
		second := w.subscriber("second", "c1")
		third := w.subscriber("third", "c1")
		time.Sleep(time.Second)
		c.Assert(allAt([]*Subscriber{first, second, third}, 1)(), qt.IsTrue)
		c.Assert(first.Confirmed() || second.Confirmed() || third.Confirmed(), qt.IsFalse)
		c.Assert(w.catalog.reads.Load(), qt.Equals, int64(1))
		release <- struct{}{}
		w.eventually(time.Second, "first confirmed", first.Confirmed)
		time.Sleep(time.Second)
		c.Assert(second.Confirmed() || third.Confirmed(), qt.IsFalse)
		c.Assert(w.catalog.reads.Load(), qt.Equals, int64(2))
		release <- struct{}{}
		w.eventually(inForce, "the others confirmed", func() bool {
			select {
			case release <- struct{}{}: // the third node's request may have missed the second read on its way up
			default:
			}
			return second.Confirmed() && third.Confirmed()
		})
	})
}

// Guards against a confirmation that counts before the node holds the confirmed revision.
func TestConfirmedOnlyWithTheRevisionInForce(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		parent := w.rawParent("raw")
		node := w.subscriber("n", "raw")
		parent.attach(typeAccept, accept{Control: "raw"})
		parent.send(typeConfigFull, revision(1).Full())
		var request confirmRequest
		parent.receive(typeConfirmRequest, &request)
		parent.send(typeConfirm, confirm{Number: request.Number, Revision: 2})
		time.Sleep(time.Second)
		c.Assert(node.Confirmed(), qt.IsFalse)
		parent.send(typeConfigFull, revision(2).Full())
		w.eventually(time.Second, "confirmed", node.Confirmed)
	})
}

// Guards against nodes that stop serving, lose endpoints or trust a fresh start while all control instances are away, and
// against a restarted control instance that removes endpoints which have not been announced to it yet.
func TestControlInstancesAway(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		w.source("c1", w.catalog)
		nodes := w.subscribers(30, "c1")
		for _, n := range nodes {
			n.Announce(endpoint("service-0", core.EndpointReady))
		}
		w.eventually(inForce, "endpoints at all nodes", allHave(nodes, "service-0", 30))
		w.stop("c1")
		fresh := w.subscriber("fresh", "c1")
		for range 300 {
			time.Sleep(time.Second)
			c.Assert(allHave(nodes, "service-0", 30)(), qt.IsTrue)
			c.Assert(allAt(nodes, 1)(), qt.IsTrue)
		}
		c.Assert(fresh.Confirmed(), qt.IsFalse)

		w.source("c1", w.catalog)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(allHave(nodes, "service-0", 30)(), qt.IsTrue)
		}
		c.Assert(fresh.Confirmed(), qt.IsTrue)
		c.Assert(fresh.Endpoints("service-0"), qt.HasLen, 30)
	})
}

// Guards against an endpoint that died during the outage and is kept for ever.
func TestDeadEndpointGoesAfterTheStartGrace(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		w.source("c1", w.catalog)
		nodes := w.subscribers(3, "c1")
		for _, n := range nodes {
			n.Announce(endpoint("service-0", core.EndpointReady))
		}
		w.eventually(inForce, "endpoints at all nodes", allHave(nodes, "service-0", 3))
		w.net.silence(nodes[0])
		w.stop("c1")
		time.Sleep(time.Minute)
		w.source("c1", w.catalog)
		w.eventually(startGrace+inForce, "dead endpoint gone", allHave(nodes[1:], "service-0", 2))
	})
}

// Guards against a relay whose death costs its subtree the configuration, or the fleet the endpoints below it, and against
// a dead node that stays listed.
func TestRelayDeath(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog)
		nodes := w.subscribers(40, "c1")
		for _, n := range nodes {
			n.Announce(endpoint("service-0", core.EndpointReady))
		}
		w.eventually(inForce, "endpoints at all nodes", allHave(nodes, "service-0", 40))
		dead, rest := 0, []*Subscriber{}
		for i, n := range nodes {
			if len(n.Status().Path) == 0 && len(n.Status().Children) > 0 {
				dead = i
			}
		}
		rest = append(append(rest, nodes[:dead]...), nodes[dead+1:]...)
		orphans := len(nodes[dead].Status().Children)
		c.Assert(orphans > 0, qt.IsTrue)
		fulls := uint64(0)
		for _, n := range nodes {
			fulls += n.hub.meters.fulls.Get()
		}
		fulls += source.hub.meters.fulls.Get()

		w.net.silence(nodes[dead])
		lost := time.Now()
		gone := time.Duration(0)
		for time.Since(lost) < 30*time.Second {
			time.Sleep(10 * time.Millisecond)
			c.Assert(len(source.Endpoints("service-0")) >= 39, qt.IsTrue)
			if gone == 0 && allHave(rest, "service-0", 39)() {
				gone = time.Since(lost)
			}
		}
		// Silence is noticed after 3 s; orphans learn of it once they have attached again.
		c.Assert(gone > 0 && gone < inForce, qt.IsTrue, qt.Commentf("gone after %v", gone))
		w.catalog.set(revision(2))
		w.eventually(time.Second, "revision 2 on the rest", allAt(rest, 2))
		now := source.hub.meters.fulls.Get()
		for _, n := range nodes {
			now += n.hub.meters.fulls.Get()
		}
		c.Assert(now, qt.Equals, fulls)
		c.Assert(source.Fleet().Nodes, qt.Equals, 39)
	})
}

// Guards against a loop of relays that have no way to a control instance but each other.
func TestNoLoop(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		parent := w.rawParent("raw")
		node := w.subscriber("n", "raw")
		parent.attach(typeAccept, accept{Path: []core.NodeID{"m", "n"}, Control: "c1"})
		_, err := parent.conn.Receive(time.Now().Add(time.Second))
		c.Assert(err, qt.IsNotNil) // the node has closed the link

		// A detached relay takes no children.
		child := w.rawChild("relay-n", hello{Kind: kindNode, ID: "k", RelayAddress: "x"})
		child.receive(typeRetryAfter, &retryAfter{})

		// A relay does not take its own ancestor, and leaves a parent that has moved below it.
		parent.attach(typeAccept, accept{Path: []core.NodeID{"m"}, Control: "c1"})
		w.eventually(time.Second, "attached", func() bool { return node.Status().State == string(stateAttached) })
		child = w.rawChild("relay-n", hello{Kind: kindNode, ID: "m", RelayAddress: "x"})
		child.receive(typeRetryAfter, &retryAfter{})
		child = w.rawChild("relay-n", hello{Kind: kindNode, ID: "k", RelayAddress: "x"})
		var path accept
		child.receive(typeAccept, &path)
		c.Assert(path.Path, qt.DeepEquals, []core.NodeID{"n", "m"})
		parent.send(typeAccept, accept{Path: []core.NodeID{"m", "k", "n"}, Control: "c1"})
		w.eventually(time.Second, "detached", func() bool { return node.Status().State != string(stateAttached) })
	})
}

// Guards against a restarted control instance that hundreds of reconnecting nodes overload with handshakes and full
// configurations, or keep from bringing a change into force in time.
func TestCrowdReconnects(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		const crowd = 300
		w.source("c1", w.catalog)
		var nodes []*Subscriber
		for i := range crowd {
			nodes = append(nodes, w.subscriberWith(core.NodeID(fmt.Sprintf("n%03d", i)), func(o *SubscriberOptions) {
				o.ControlAddresses = []string{"c1"}
				o.Random = func() float64 { return rand.Float64() / 10 } // closer together than the protocol has them
			}))
		}
		w.eventually(time.Minute, "first revision in force", allAt(nodes, 1))
		w.stop("c1")
		source := w.source("c1", w.catalog)
		w.net.cut("")
		dials := w.net.dials.Load()
		w.catalog.set(revision(2))
		peak := 0
		took := w.eventually(inForce, "second revision in force", func() bool {
			peak = max(peak, len(source.hub.handshakes))
			return allAt(nodes, 2)()
		})
		sent, received := source.Bytes()
		handshakes, turnedAway := source.hub.meters.handshakes.Get(), source.hub.meters.retryAfters.Get()
		c.Logf("%d nodes: in force after %v, %d dials, %d handshakes at the source, %d at once, %d turned away, %d bytes sent, %d received",
			crowd, took, w.net.dials.Load()-dials, handshakes, peak, turnedAway, sent, received)
		c.Assert(peak <= 32, qt.IsTrue)
		c.Assert(turnedAway > 0, qt.IsTrue)
		// A node comes to the source once, and again if its relay was full or detached.
		c.Assert(handshakes <= 3*crowd, qt.IsTrue)
		c.Assert(source.hub.meters.fulls.Get(), qt.Equals, uint64(0))
		c.Assert(sent+received <= crowd*4096, qt.IsTrue)
		w.eventually(inForce, "at most three hops from the control instance", func() bool {
			for _, n := range nodes {
				if status := n.Status(); status.State != string(stateAttached) || len(status.Path) > 2 {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a crowd that occupies a goroutine and memory for each connection that has not said hello.
func TestHandshakesAreBounded(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog)
		for range maxHandshakes {
			_, err := w.net.network("idle").Dial(context.Background(), "c1")
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(10 * time.Millisecond)
		late := w.rawChild("c1", hello{Kind: kindNode, ID: "late", RelayAddress: "x"})
		late.receive(typeRetryAfter, &retryAfter{})
		c.Assert(source.hub.meters.handshakes.Get(), qt.Equals, uint64(0))
		time.Sleep(2 * time.Second)
		late = w.rawChild("c1", hello{Kind: kindNode, ID: "late", RelayAddress: "x"})
		late.receive(typeAccept, &accept{})
	})
}

// Guards against a relay that drops or changes records of a schema version or kind that it does not know.
func TestUnknownSchemaPassesThroughARelay(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		unknown := []core.Record{
			{Kind: core.KindRoute, Name: "service-0", SchemaVersion: 7, Version: 2, Body: []byte("{\"later\":  [1, 2]}")},
			{Kind: "mirror", Name: "new-kind", SchemaVersion: 1, Version: 1, Body: []byte(`"any"`)},
		}
		with, err := record.New(2, append(testRecords(3, 1), unknown...), nil)
		c.Assert(err, qt.IsNil)
		w.source("c1", w.catalog)
		relay := w.subscriber("relay", "c1")
		below := w.subscriberWith("below", func(o *SubscriberOptions) { o.ControlAddresses = []string{"relay-relay"} })
		w.eventually(inForce, "revision 1", allAt([]*Subscriber{relay, below}, 1))
		w.catalog.set(with)
		w.eventually(time.Second, "revision 2", allAt([]*Subscriber{relay, below}, 2))
		c.Assert(below.Current().Records(), qt.DeepEquals, with.Records())
		c.Assert(below.Status().Path, qt.DeepEquals, []core.NodeID{"relay"})
	})
}

// Guards against a leaving or dead backend server that gets new work for longer than the target, over two control
// instances and two data centres.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog, "c2")
		other := w.source("c2", w.catalog, "c1")
		var nodes []*Subscriber
		for i := range 100 {
			nodes = append(nodes, w.subscriberWith(core.NodeID(fmt.Sprintf("n%03d", i)), func(o *SubscriberOptions) {
				o.ControlAddresses = []string{"c1", "c2"}
				o.DataCentre = core.DataCentre(fmt.Sprintf("dc-%d", i%2))
			}))
		}
		for _, n := range nodes {
			n.Announce(endpoint("service-0", core.EndpointReady))
		}
		w.eventually(inForce, "endpoints at all nodes", allHave(nodes, "service-0", 100))
		c.Assert(source.Endpoints("service-0"), qt.HasLen, 100)
		c.Assert(other.Fleet().Nodes, qt.Equals, 100)

		time.Sleep(startGrace)
		nodes[0].Announce(endpoint("service-0", core.EndpointLeaving))
		took := w.eventually(3*time.Second, "leaving known", func() bool {
			for _, n := range nodes {
				if n.Endpoints("service-0")[0].State != core.EndpointLeaving {
					return false
				}
			}
			return true
		})
		c.Logf("leaving known after %v", took)
		nodes[0].Withdraw()
		w.eventually(3*time.Second, "withdrawal known", allHave(nodes, "service-0", 99))
		leaf := nodes[1:]
		for len(leaf[0].Status().Children) > 0 {
			leaf = leaf[1:]
		}
		w.net.silence(leaf[0])
		took = w.eventually(4*time.Second, "death known", allHave(leaf[1:], "service-0", 98))
		c.Logf("silent death known after %v", took)
	})
}

// Guards against endpoints that vanish from the rest of the fleet while the nodes of a lost control instance attach elsewhere,
// and against the words of that instance that stay for ever.
func TestControlInstanceDies(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog, "c2")
		w.source("c2", w.catalog, "c1")
		var nodes []*Subscriber
		for i := range 60 {
			nodes = append(nodes, w.subscriberWith(core.NodeID(fmt.Sprintf("n%03d", i)), func(o *SubscriberOptions) {
				o.ControlAddresses = []string{"c1", "c2"}
			}))
			nodes[i].Announce(endpoint("service-0", core.EndpointReady))
		}
		w.eventually(inForce, "endpoints at all nodes", allHave(nodes, "service-0", 60))
		time.Sleep(startGrace)
		w.stop("c2")
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(allHave(nodes, "service-0", 60)(), qt.IsTrue)
		}
		c.Assert(source.Fleet().Nodes, qt.Equals, 60)
		w.stop("n007")
		w.eventually(3*time.Second, "withdrawal known", allHave(append(nodes[:7:7], nodes[8:]...), "service-0", 59))
	})
}

// Guards against nodes that stay behind for as long as their control instance is cut off from the others, and against
// nodes that stay detached because no control instance has a leader.
func TestControlInstanceCutOff(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		cutOff := newFakeCatalog()
		cutOff.set(revision(1))
		w.source("c1", w.catalog, "c2")
		w.source("c2", cutOff, "c1")
		var nodes []*Subscriber
		for i := range 20 {
			nodes = append(nodes, w.subscriberWith(core.NodeID(fmt.Sprintf("n%03d", i)), func(o *SubscriberOptions) {
				o.ControlAddresses = []string{"c1", "c2"}
			}))
			nodes[i].Announce(endpoint("service-0", core.EndpointReady))
		}
		w.eventually(inForce, "endpoints at all nodes", allHave(nodes, "service-0", 20))
		cutOff.leaderless.Store(true)
		w.catalog.set(revision(2))
		w.eventually(inForce, "revision 2 everywhere", allAt(nodes, 2))

		w.catalog.leaderless.Store(true)
		w.stop("c2")
		for range 1200 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(allHave(nodes, "service-0", 20)(), qt.IsTrue)
		}
		nodes[0].Announce(endpoint("service-0", core.EndpointLeaving))
		w.eventually(3*time.Second, "leaving known", func() bool {
			return nodes[19].Endpoints("service-0")[0].State == core.EndpointLeaving
		})
		w.catalog.leaderless.Store(false)
		w.catalog.set(revision(3))
		w.eventually(inForce+staleLinkLimit, "revision 3 everywhere", allAt(nodes, 3))
	})
}

// Guards against a child that does not read and so delays its siblings.
func TestSlowChildDelaysNobody(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		w.source("c1", w.catalog)
		w.subscriber("slow", "c1")
		node := w.subscriber("n", "c1")
		w.eventually(inForce, "revision 1", allAt([]*Subscriber{node}, 1))
		for _, conn := range w.net.to("c1") {
			if conn.from == "relay-slow" {
				conn.stalled.Store(true)
			}
		}
		for number := core.Revision(2); number < 400; number++ {
			w.catalog.set(revision(number))
			w.eventually(100*time.Millisecond, "revision on the other child", allAt([]*Subscriber{node}, number))
		}
	})
}

// Guards against counts that are lost with a control instance, counted twice, or replaced by older ones.
func TestEvidenceIsMergedOverControlInstances(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		one, two := w.source("c1", w.catalog, "c2"), w.source("c2", w.catalog, "c1")
		nodes := []*Subscriber{w.subscriber("a", "c1"), w.subscriber("b", "c1"), w.subscriber("below", "c1"), w.subscriber("d", "c2")}
		w.eventually(inForce, "revision 1", allAt(nodes, 1))
		for _, calls := range []uint64{1, 3, 2} {
			for _, n := range nodes {
				n.ReportEvidence([]core.EvidenceCount{{Node: n.options.ID, Incarnation: n.options.Incarnation, Service: "s", Route: "r", Release: "v2", Calls: calls}})
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, s := range []*Source{one, two} {
			w.eventually(5*time.Second, "merged evidence", func() bool {
				sum := uint64(0)
				for _, count := range s.Evidence() {
					sum += count.Calls
				}
				return sum == 12 && len(s.Evidence()) == 4
			})
		}
	})
}

// Guards against a node at large sizes that gets, or does not get, the endpoints of services it did not ask for.
func TestEndpointsOnRequest(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog)
		onRequest := func(o *SubscriberOptions) {
			o.ControlAddresses = []string{"c1"}
			o.OnRequest = true
		}
		var nodes []*Subscriber
		for i := range 6 {
			nodes = append(nodes, w.subscriberWith(core.NodeID(fmt.Sprintf("n%d", i)), onRequest))
			nodes[i].Announce(endpoint(core.ServiceName(fmt.Sprintf("service-%d", i%2)), core.EndpointReady))
		}
		w.eventually(inForce, "announced", func() bool { return source.hub.live() == 6 })
		leaf := nodes[0]
		for _, n := range nodes {
			if len(n.Status().Path) > 0 {
				leaf = n
			}
		}
		c.Assert(leaf.hub.live(), qt.Equals, 1) // its own
		leaf.Subscribe("service-1")
		w.eventually(2*time.Second, "endpoints of the service", func() bool { return len(leaf.Endpoints("service-1")) == 3 })
		c.Assert(len(leaf.Endpoints("service-0")) <= 1, qt.IsTrue)
		for i, n := range nodes {
			if n != leaf && i%2 == 1 {
				n.Announce(endpoint("service-1", core.EndpointLeaving))
			}
		}
		w.eventually(3*time.Second, "changes of the service", func() bool {
			leaving := 0
			for _, e := range leaf.Endpoints("service-1") {
				if e.State == core.EndpointLeaving {
					leaving++
				}
			}
			return leaving >= 2
		})
	})
}

// Guards against a schema version that is retired while a node that needs it is attached somewhere in the tree.
func TestSchemaFloor(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		source := w.source("c1", w.catalog)
		for i := range 5 {
			w.subscriberWith(core.NodeID(fmt.Sprint(i)), func(o *SubscriberOptions) {
				o.ControlAddresses = []string{"c1"}
				o.Schema = core.SchemaVersion(7 - i)
			})
			if i == 1 {
				w.eventually(inForce, "both attached", func() bool { return source.Fleet().Nodes == 2 })
			}
		}
		w.eventually(inForce, "floor", func() bool { return source.Fleet().Nodes == 5 && source.Fleet().Schema == 3 })
	})
}

// Guards against a fresh node that picks other key holders because it does not know which nodes left before it came.
func TestFreshNodeLearnsTombstones(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		w.source("c1", w.catalog)
		gone := w.subscriber("gone", "c1")
		stays := w.subscriber("stays", "c1")
		gone.Announce(endpoint("service-0", core.EndpointReady))
		w.eventually(inForce, "endpoint", allHave([]*Subscriber{stays}, "service-0", 1))
		w.stop("gone")
		time.Sleep(5 * time.Minute)
		fresh := w.subscriber("fresh", "c1")
		w.eventually(inForce, "tombstone", func() bool { return len(fresh.Tombstones("service-0")) == 1 })
		time.Sleep(lease.TombstoneAge - 5*time.Minute)
		c.Assert(fresh.Tombstones("service-0"), qt.HasLen, 0)
	})
}
