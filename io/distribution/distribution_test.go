package distribution

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/record"
)

// convergenceTimeout is the target for a change to take effect on all nodes, and the time within which all nodes should attach.
const convergenceTimeout = 14 * time.Second

func runTest(t *testing.T, test func(c *qt.C, tc *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := newCluster(t)
		defer tc.close()
		test(qt.New(t), tc)
	})
}

// Guards against a source and subscribers that do not pass on configuration, endpoints and acknowledgements; against a schema
// version that is retired while a node deep in the tree needs it; and against a new node that selects other key holders because
// it does not know which nodes left before it started.
func TestSourceAndSubscribers(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog)
		nodes := tc.startNodes(40, func(i int, o *SubscriberOptions) { o.Schema = core.SchemaVersion(42 - i) })
		tc.eventually(convergenceTimeout, "first revision in force", allAtRevision(nodes, 1))
		tc.catalog.set(revision(2))
		tc.eventually(time.Second, "second revision in force", allAtRevision(nodes, 2))
		tc.eventually(time.Second, "acknowledged", func() bool {
			return source.Fleet() == Fleet{Lowest: 2, Nodes: 40, Schema: 3}
		})
		tc.eventually(3*time.Second, "endpoints at all nodes", allHaveEndpoints(nodes, 40))
		time.Sleep(startupGrace)
		tc.stop("n003")
		tc.eventually(3*time.Second, "withdrawn endpoint removed", allHaveEndpoints(nodes[4:], 39))
		c.Assert(nodes[39].Tombstones("service-0"), qt.HasLen, 1)
		c.Assert(every(nodes, (*Subscriber).Confirmed)(), qt.IsTrue)

		time.Sleep(lease.TombstoneAge / 2)
		fresh := tc.subscriber("fresh", "c1")
		tc.eventually(convergenceTimeout, "tombstone", func() bool { return len(fresh.Tombstones("service-0")) == 1 })
		time.Sleep(lease.TombstoneAge / 2)
		c.Assert(fresh.Tombstones("service-0"), qt.HasLen, 0)
	})
}

// Guards against behaviour that depends on the timing or buffering of the fake network.
func TestLoopbackTCP(t *testing.T) {
	f := newFleet(t, 25)
	defer f.close()
	f.catalog.set(plannedConfiguration(2))
	f.eventually(convergenceTimeout, "acknowledged", func() bool { return f.source.Fleet() == Fleet{Lowest: 2, Nodes: 25, Schema: record.NewestSchema} })
	f.nodes[0].Announce(endpoint("service-0", core.EndpointLeaving))
	f.eventually(3*time.Second, "leaving known", allSeeLeaving(f.nodes, "n000"))
}

// Guards against a return to an older configuration when updates arrive out of order.
func TestReorderedUpdatesNeverRollBack(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		parent := tc.rawParent("raw")
		node := tc.subscriber("n", "raw")
		parent.attach(accept{Control: "raw"})
		parent.send(typeConfigFull, revision(3).Full())
		tc.eventually(time.Second, "revision 3", allAtRevision([]*Subscriber{node}, 3))
		parent.send(typeConfigFull, revision(5).Full())
		parent.send(typeConfigDelta, revision(4).DeltaFrom(revision(3)))
		parent.send(typeConfigFull, revision(2).Full())
		parent.send(typeConfigDelta, revision(6).DeltaFrom(revision(5)))
		changed, held := currentAndChanged(node)
		for held != 6 {
			<-changed
			next := held
			changed, next = currentAndChanged(node)
			c.Assert(next > held, qt.IsTrue)
			held = next
		}
	})
}

// currentAndChanged returns the revision in force and the channel that is closed when this revision is replaced.
func currentAndChanged(node *Subscriber) (<-chan struct{}, core.Revision) {
	for {
		changed := node.Changed()
		revision := node.Current().Revision()
		if changed == node.Changed() {
			return changed, revision
		}
	}
}

// Guards against a node that takes over the older configuration of the only parent that it can reach.
func TestStaleParentNeverRollsBack(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		staleCatalog := newFakeCatalog(revision(3))
		tc.catalog.set(revision(5))
		tc.source("c1", tc.catalog)
		tc.source("c2", staleCatalog)
		tc.net.block("c2", true)
		node := tc.subscriber("n", "c1", "c2")
		tc.eventually(convergenceTimeout, "revision 5", allAtRevision([]*Subscriber{node}, 5))
		tc.stop("c1")
		tc.net.block("c2", false)
		tc.eventually(convergenceTimeout, "attached to c2", func() bool { return node.Status().Control == "c2" })
		tc.always(time.Minute, "at revision 5", allAtRevision([]*Subscriber{node}, 5))
		staleCatalog.set(revision(6))
		tc.eventually(time.Second, "revision 6", allAtRevision([]*Subscriber{node}, 6))
	})
}

// Guards against a delta that is applied to another base than it was computed from, and against a node that stays at an old
// revision after such a delta.
func TestDeltaMismatchFetchesTheFullConfiguration(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		parent := tc.rawParent("raw")
		node := tc.subscriber("n", "raw")
		parent.attach(accept{Control: "raw"})
		parent.send(typeConfigFull, revision(1).Full())
		parent.send(typeConfigDelta, revision(4).DeltaFrom(revision(3)))
		parent.receive(typeConfigRequest, &configRequest{})
		c.Assert(node.Current().Revision(), qt.Equals, core.Revision(1))
		parent.send(typeConfigFull, revision(4).Full())
		tc.eventually(time.Second, "revision 4", allAtRevision([]*Subscriber{node}, 4))
	})
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		child := tc.rawChild("c1", hello{ID: "n", Revision: 1, Hash: 42}, nil)
		tc.catalog.set(revision(2))
		var full record.Full
		child.receive(typeConfigFull, &full)
		child.send(typeConfigRequest, configRequest{})
		child.receive(typeConfigFull, &full)
		c.Assert(full.Revision, qt.Equals, core.Revision(2))
	})
}

// Guards against a configuration with a dangling reference that takes effect in whole or in part.
func TestDanglingReferenceIsNeverInForce(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		parent := tc.rawParent("raw")
		node := tc.subscriber("n", "raw")
		parent.attach(accept{Control: "raw"})
		good := revision(1)
		parent.send(typeConfigFull, good.Full())
		tc.eventually(time.Second, "revision 1", allAtRevision([]*Subscriber{node}, 1))
		held := node.Current()

		dangling := good.Full()
		dangling.Revision = 2
		dangling.Records = dangling.Records[:len(dangling.Records)-3] // drops the upstreams
		parent.send(typeConfigFull, dangling)
		delta := revision(2).DeltaFrom(good)
		delta.Deletes = []core.RecordKey{{Kind: core.KindService, Name: "service-1", SchemaVersion: 1}}
		parent.send(typeConfigDelta, delta)
		tc.eventually(time.Second, "both refused", func() bool { return node.hub.meters.refused.Get() == 2 })
		c.Assert(node.Current() == held, qt.IsTrue)
		parent.send(typeConfigDelta, revision(3).DeltaFrom(good))
		tc.eventually(time.Second, "revision 3", allAtRevision([]*Subscriber{node}, 3))
	})
}

// Guards against a new node that serves callers after a read that may be older than what its previous run served.
func TestConfirmedOnlyByAReadThatBeganLater(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		finishRead := make(chan struct{})
		tc.catalog.read = func(ctx context.Context) error {
			select {
			case <-finishRead:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		tc.source("c1", tc.catalog)
		first := tc.subscriber("first", "c1")
		tc.eventually(convergenceTimeout, "read for the first node", func() bool { return tc.catalog.reads.Load() == 1 })
		// One attaches beside the first node and one below it; the read under way may not confirm either.
		late := []*Subscriber{tc.subscriber("second", "c1"), tc.subscriber("third", "c1")}
		time.Sleep(time.Second)
		c.Assert(allAtRevision(append(late, first), 1)(), qt.IsTrue)
		c.Assert(first.Confirmed() || late[0].Confirmed() || late[1].Confirmed(), qt.IsFalse)
		c.Assert(tc.catalog.reads.Load(), qt.Equals, int64(1))
		finishRead <- struct{}{}
		tc.eventually(time.Second, "first confirmed", first.Confirmed)
		time.Sleep(time.Second)
		c.Assert(late[0].Confirmed() || late[1].Confirmed(), qt.IsFalse)
		c.Assert(tc.catalog.reads.Load(), qt.Equals, int64(2))
		finishRead <- struct{}{}
		tc.eventually(convergenceTimeout, "second and third confirmed", func() bool {
			select {
			case finishRead <- struct{}{}: // the child's request may have arrived after the second read began
			default:
			}
			return every(late, (*Subscriber).Confirmed)()
		})
	})
}

// Guards against a confirmation that takes effect before the node holds the confirmed revision.
func TestConfirmedOnlyWithTheRevisionInForce(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		parent := tc.rawParent("raw")
		node := tc.subscriber("n", "raw")
		parent.attach(accept{Control: "raw"})
		parent.send(typeConfigFull, revision(1).Full())
		var request confirmRequest
		parent.receive(typeConfirmRequest, &request)
		parent.send(typeConfirm, confirm{Number: request.Number, Revision: 2})
		tc.always(time.Second, "unconfirmed", func() bool { return !node.Confirmed() })
		parent.send(typeConfigFull, revision(2).Full())
		tc.eventually(time.Second, "confirmed", node.Confirmed)
	})
}

// Guards against nodes that stop serving, lose endpoints or count a new start as confirmed while all control instances are down;
// against a restarted control instance that removes endpoints which have not been announced to it yet; and against an endpoint
// that failed during the outage and is never removed.
func TestAllControlInstancesDown(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		nodes := tc.startNodes(30, withControlAddresses("c1"))
		tc.eventually(convergenceTimeout, "endpoints at all nodes", allHaveEndpoints(nodes, 30))
		tc.stop("c1")
		fresh := tc.subscriber("fresh", "c1")
		tc.always(5*time.Minute, "endpoints kept", allHaveEndpoints(nodes, 30))
		c.Assert(allAtRevision(nodes, 1)(), qt.IsTrue)
		c.Assert(fresh.Confirmed(), qt.IsFalse)

		failed, rest := nodes[29], append(nodes[:29:29], fresh)
		tc.net.dropPackets(failed)
		time.Sleep(time.Minute)
		tc.source("c1", tc.catalog)
		tc.always(startupGrace+convergenceTimeout, "endpoints kept", every(nodes[:29], func(n *Subscriber) bool { return len(n.Endpoints("service-0")) >= 29 }))
		c.Assert(allHaveEndpoints(rest, 29)(), qt.IsTrue)
		c.Assert(fresh.Confirmed(), qt.IsTrue)
	})
}

// Guards against a relay failure that loses the configuration of its subtree or the endpoints below it, and against a failed
// node that stays listed.
func TestRelayFailure(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog)
		nodes := tc.startNodes(40, withControlAddresses("c1"))
		tc.eventually(convergenceTimeout, "endpoints at all nodes", allHaveEndpoints(nodes, 40))
		fulls := func() (sum uint64) {
			for _, n := range nodes {
				sum += n.hub.meters.fullsSent.Get()
			}
			return sum + source.hub.meters.fullsSent.Get()
		}
		failed := 0
		for len(nodes[failed].Status().Path) > 0 {
			failed++
		}
		c.Assert(len(nodes[failed].Status().Children) > 1, qt.IsTrue)
		rest := append(nodes[:failed:failed], nodes[failed+1:]...)
		before := fulls()

		tc.net.dropPackets(nodes[failed])
		lost, gone := time.Now(), time.Duration(0)
		tc.always(30*time.Second, "at least 39 endpoints", func() bool {
			if gone == 0 && allHaveEndpoints(rest, 39)() {
				gone = time.Since(lost)
			}
			return len(source.Endpoints("service-0")) >= 39
		})
		// The failed node is removed after linkTimeout; orphaned nodes learn of it once they have attached again.
		c.Assert(gone > 0 && gone < convergenceTimeout, qt.IsTrue, qt.Commentf("gone after %v", gone))
		tc.catalog.set(revision(2))
		tc.eventually(time.Second, "revision 2 on the rest", allAtRevision(rest, 2))
		c.Assert(fulls(), qt.Equals, before)
		c.Assert(source.Fleet().Nodes, qt.Equals, 39)
	})
}

// Guards against a loop of relays that are attached to each other and to no control instance.
func TestRelayLoopsAreRefused(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		parent := tc.rawParent("raw")
		node := tc.subscriber("n", "raw")
		parent.attach(accept{Path: []core.NodeID{"m", "n"}, Control: "c1"})
		_, err := parent.conn.Receive(time.Now().Add(time.Second))
		c.Assert(err, qt.IsNotNil) // the node closed the link

		// A detached relay takes no children.
		tc.rawChild("relay-n", hello{ID: "k"}, nil).receive(typeRetryAfter, &retryAfter{})

		// A relay does not accept its own ancestor, and leaves a parent that has moved below it.
		parent.attach(accept{Path: []core.NodeID{"m"}, Control: "c1"})
		tc.eventually(time.Second, "attached", func() bool { return node.Status().State == string(stateAttached) })
		tc.rawChild("relay-n", hello{ID: "m"}, nil).receive(typeRetryAfter, &retryAfter{})
		var path accept
		tc.rawChild("relay-n", hello{ID: "k"}, nil).receive(typeAccept, &path)
		c.Assert(path.Path, qt.DeepEquals, []core.NodeID{"n", "m"})
		parent.send(typeAccept, accept{Path: []core.NodeID{"m", "k", "n"}, Control: "c1"})
		tc.eventually(time.Second, "detached", func() bool { return node.Status().State != string(stateAttached) })
	})
}

// Guards against hundreds of reconnecting nodes that overload a restarted control instance with handshakes and full
// configurations, or that delay a configuration change.
func TestReconnectStorm(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		const nodeCount = 300
		tc.source("c1", tc.catalog)
		nodes := tc.startNodes(nodeCount, func(_ int, o *SubscriberOptions) {
			o.OnDemandEndpoints = true
			o.Random = func() float64 { return rand.Float64() / 10 } // shortens backoff, so that the nodes reconnect closer together
		})
		tc.eventually(time.Minute, "first revision in force", allAtRevision(nodes, 1))
		tc.stop("c1")
		source := tc.source("c1", tc.catalog)
		for _, conn := range tc.net.connsOf("") {
			_ = conn.Close()
		}
		dials := tc.net.dials.Load()
		tc.catalog.set(revision(2))
		peak := 0
		took := tc.eventually(convergenceTimeout, "second revision in force", func() bool {
			peak = max(peak, len(source.hub.handshakeSlots))
			return allAtRevision(nodes, 2)()
		})
		sent, received := source.Bytes()
		handshakes, rejected := source.hub.meters.handshakes.Get(), source.hub.meters.retryAfters.Get()
		c.Logf("%d nodes: in force after %v, %d dials, %d handshakes at the source, %d at once, %d rejected as busy, %d bytes sent, %d received",
			nodeCount, took, tc.net.dials.Load()-dials, handshakes, peak, rejected, sent, received)
		c.Assert(peak <= 32, qt.IsTrue)
		c.Assert(rejected > 0, qt.IsTrue)
		// A node contacts the source once, and again if its relay was full or detached.
		c.Assert(handshakes <= 3*nodeCount, qt.IsTrue)
		c.Assert(source.hub.meters.fullsSent.Get(), qt.Equals, uint64(0))
		c.Assert(sent+received <= nodeCount*4096, qt.IsTrue)
		tc.eventually(convergenceTimeout, "at most three hops from the control instance", every(nodes, func(n *Subscriber) bool {
			status := n.Status()
			return status.State == string(stateAttached) && len(status.Path) <= 2
		}))
	})
}

// Guards against connections that take a goroutine and memory each without having sent a hello.
func TestHandshakesAreBounded(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog)
		for range maxHandshakes {
			_, err := tc.net.network("idle").Dial(context.Background(), "c1")
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(10 * time.Millisecond)
		tc.rawChild("c1", hello{ID: "late"}, nil).receive(typeRetryAfter, &retryAfter{})
		c.Assert(source.hub.meters.handshakes.Get(), qt.Equals, uint64(0))
		time.Sleep(2 * time.Second)
		tc.rawChild("c1", hello{ID: "late"}, nil).receive(typeAccept, &accept{})
	})
}

// Guards against a relay that drops or changes records of a schema version or kind that it does not know.
func TestUnknownSchemaPassesThroughARelay(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		withUnknown := configuration(2, append(testRecords(3, 1),
			core.Record{Kind: core.KindRoute, Name: "service-0", SchemaVersion: 7, Version: 2, Body: []byte("{\"later\":  [1, 2]}")},
			core.Record{Kind: "mirror", Name: "new-kind", SchemaVersion: 1, Version: 1, Body: []byte(`"any"`)}))
		tc.source("c1", tc.catalog)
		pair := []*Subscriber{tc.subscriber("relay", "c1"), tc.subscriber("below", "relay-relay")}
		tc.eventually(convergenceTimeout, "revision 1", allAtRevision(pair, 1))
		tc.catalog.set(withUnknown)
		tc.eventually(time.Second, "revision 2", allAtRevision(pair, 2))
		c.Assert(pair[1].Current().Records(), qt.DeepEquals, withUnknown.Records())
		c.Assert(pair[1].Status().Path, qt.DeepEquals, []core.NodeID{"relay"})
	})
}

// Guards against a leaving or failed backend server that gets new calls for longer than the target, across two control instances
// and two data centres.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source, other := tc.source("c1", tc.catalog, "c2"), tc.source("c2", tc.catalog, "c1")
		nodes := tc.startNodes(100, func(i int, o *SubscriberOptions) {
			o.ControlAddresses = []string{"c1", "c2"}
			o.DataCentre = []core.DataCentre{"dc-a", "dc-b"}[i%2]
		})
		tc.eventually(convergenceTimeout, "endpoints at all nodes", allHaveEndpoints(nodes, 100))
		c.Assert(source.Endpoints("service-0"), qt.HasLen, 100)
		c.Assert(other.Fleet().Nodes, qt.Equals, 100)

		time.Sleep(startupGrace)
		nodes[0].Announce(endpoint("service-0", core.EndpointLeaving))
		took := tc.eventually(3*time.Second, "leaving known", allSeeLeaving(nodes, "n000"))
		c.Logf("leaving known after %v", took)
		nodes[0].Withdraw()
		tc.eventually(3*time.Second, "withdrawal known", allHaveEndpoints(nodes, 99))
		rest := nodes[1:]
		for len(rest[0].Status().Children) > 0 {
			rest = rest[1:]
		}
		tc.net.dropPackets(rest[0])
		took = tc.eventually(4*time.Second, "failure known", allHaveEndpoints(rest[1:], 98))
		c.Logf("failure of a silent node known after %v", took)
	})
}

// Guards against endpoints that other nodes lose while the nodes of a failed control instance attach to another one, and against
// acknowledgements of the failed instance that are never dropped.
func TestControlInstanceFails(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog, "c2")
		tc.source("c2", tc.catalog, "c1")
		nodes := tc.startNodes(60, withControlAddresses("c1", "c2"))
		tc.eventually(convergenceTimeout, "endpoints at all nodes", allHaveEndpoints(nodes, 60))
		time.Sleep(startupGrace)
		tc.stop("c2")
		tc.always(time.Minute, "endpoints kept", allHaveEndpoints(nodes, 60))
		c.Assert(source.Fleet().Nodes, qt.Equals, 60)
		tc.stop("n007")
		tc.eventually(3*time.Second, "withdrawal known", allHaveEndpoints(append(nodes[:7:7], nodes[8:]...), 59))
	})
}

// Guards against nodes that keep an old revision for as long as their control instance is partitioned from the others, and
// against nodes that stay detached because no control instance knows a leader.
func TestControlInstanceWithoutLeader(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		partitioned := newFakeCatalog(revision(1))
		source := tc.source("c1", tc.catalog, "c2")
		tc.source("c2", partitioned, "c1")
		nodes := tc.startNodes(20, withControlAddresses("c1", "c2"))
		tc.eventually(convergenceTimeout, "endpoints at all nodes", allHaveEndpoints(nodes, 20))
		partitioned.leaderless.Store(true)
		tc.catalog.set(revision(2))
		tc.eventually(convergenceTimeout, "revision 2 everywhere", allAtRevision(nodes, 2))

		tc.catalog.leaderless.Store(true)
		tc.stop("c2")
		tc.always(2*time.Minute, "endpoints kept", allHaveEndpoints(nodes, 20))
		tc.eventually(3*time.Second, "attached to the remaining control instance", func() bool { return source.Fleet().Nodes == 20 })
		nodes[0].Announce(endpoint("service-0", core.EndpointLeaving))
		tc.eventually(3*time.Second, "leaving known", allSeeLeaving(nodes, "n000"))
		tc.catalog.leaderless.Store(false)
		tc.catalog.set(revision(3))
		tc.eventually(convergenceTimeout, "revision 3 everywhere", allAtRevision(nodes, 3))
	})
}

// Guards against a child that does not read and thereby delays its siblings.
func TestSlowChildDoesNotDelaySiblings(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		slow, node := tc.subscriber("slow", "c1"), tc.subscriber("n", "c1")
		tc.eventually(convergenceTimeout, "revision 1", allAtRevision([]*Subscriber{slow, node}, 1))
		for _, conn := range tc.net.connsOf("relay-slow") {
			conn.stalled.Store(true)
		}
		for number := core.Revision(2); number < 400; number++ {
			tc.catalog.set(revision(number))
			tc.eventually(100*time.Millisecond, "revision on the other child", allAtRevision([]*Subscriber{node}, number))
		}
	})
}

// Guards against a node with on-demand endpoints that receives endpoints of services it did not ask for, or misses those of
// services it did.
func TestEndpointsOnDemand(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog)
		nodes := tc.startNodes(6, func(_ int, o *SubscriberOptions) { o.OnDemandEndpoints = true })
		tc.eventually(convergenceTimeout, "announced", func() bool { return source.hub.liveEndpoints() == 6 })
		leaf := nodes[0]
		for _, n := range nodes {
			if len(n.Status().Path) > 0 {
				leaf = n
			}
		}
		leaf.Announce(endpoint("service-1", core.EndpointReady))
		tc.always(time.Second, "only its own endpoint", func() bool { return leaf.hub.liveEndpoints() == 1 })
		leaf.Subscribe("service-0")
		tc.eventually(2*time.Second, "endpoints of the service", allHaveEndpoints([]*Subscriber{leaf}, 5))
		for _, n := range nodes {
			if n != leaf {
				n.Announce(endpoint("service-0", core.EndpointLeaving))
				tc.eventually(3*time.Second, "change known", allSeeLeaving([]*Subscriber{leaf}, n.options.ID))
			}
		}
	})
}

// Guards against a relay that has not subscribed to a service yet and answers its child that the service has no endpoints.
func TestReattachKeepsEndpoints(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog)
		onDemand := func(_ int, o *SubscriberOptions) { o.OnDemandEndpoints = true }
		tc.startNodes(2, onDemand)
		leaf := tc.subscriberWith("leaf", func(o *SubscriberOptions) {
			o.OnDemandEndpoints, o.ControlAddresses = true, []string{"relay-n000", "relay-n001"}
		})
		tc.eventually(convergenceTimeout, "announced", func() bool { return source.Fleet().Nodes == 3 })
		leaf.Subscribe("service-0")
		tc.eventually(2*time.Second, "endpoints of the service", allHaveEndpoints([]*Subscriber{leaf}, 2))
		time.Sleep(startupGrace)
		for _, conn := range tc.net.connsOf("c1") {
			conn.extraDelay.Store(int64(200 * time.Millisecond))
		}
		before := leaf.Status().Parent
		tc.net.block(before, true)
		for _, conn := range tc.net.connsOf("relay-leaf") {
			_ = conn.Close()
		}
		for range 3000 {
			time.Sleep(time.Millisecond)
			c.Assert(allHaveEndpoints([]*Subscriber{leaf}, 2)(), qt.IsTrue)
		}
		c.Assert(leaf.Status().Parent, qt.Not(qt.Equals), before)
	})
}
