package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// startRelayAndLeaf starts a server of service-0, a relay that uses no service, and a leaf below the relay.
func startRelayAndLeaf(w *cluster) (server, relay, leaf *Subscriber) {
	onDemand := func(parent string) func(*SubscriberOptions) {
		return func(o *SubscriberOptions) { o.OnDemandEndpoints, o.ControlAddresses = true, []string{parent} }
	}
	server = w.subscriberWith("server", onDemand("c1"))
	server.Announce(endpoint("service-0", core.EndpointReady))
	relay = w.subscriberWith("relay", onDemand("c1"))
	leaf = w.subscriberWith("leaf", onDemand("relay-relay"))
	w.eventually(convergenceTimeout, "attached", func() bool { return server.Confirmed() && leaf.Confirmed() })
	return server, relay, leaf
}

// Guards against a subscription that never ends or ends while it is in use; against endpoints that stay listed after it ended; against
// live endpoints that are then taken to have left; and against a renewed subscription that returns outdated endpoints.
func TestSubscriptionEndsAfterItsLastUse(t *testing.T) {
	runTest(t, func(c *qt.C, w *cluster) {
		w.source("c1", w.catalog)
		server, relay, leaf := startRelayAndLeaf(w)
		time.Sleep(startupGrace)
		leaf.Subscribe("service-0")
		w.eventually(time.Second, "known", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(allHaveEndpoints([]*Subscriber{leaf, relay}, 1)(), qt.IsTrue)
		for range 3 {
			time.Sleep(subscriptionTTL - 2*time.Second)
			leaf.Subscribe("service-0")
			c.Assert(allHaveEndpoints([]*Subscriber{leaf}, 1)(), qt.IsTrue)
		}
		time.Sleep(subscriptionTTL + 2*time.Second)
		c.Assert(allHaveEndpoints([]*Subscriber{leaf, relay}, 0)(), qt.IsTrue)
		c.Assert(leaf.EndpointsKnown("service-0"), qt.IsFalse)
		c.Assert(leaf.Tombstones("service-0"), qt.HasLen, 0)

		_, before := relay.Bytes()
		server.Announce(endpoint("service-0", core.EndpointLeaving))
		time.Sleep(500 * time.Millisecond)
		_, after := relay.Bytes()
		c.Assert(after-before < 60, qt.IsTrue, qt.Commentf("%d bytes", after-before)) // pings only
		leaf.Subscribe("service-0")
		w.eventually(time.Second, "known again", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(allSeeLeaving([]*Subscriber{leaf}, "server")(), qt.IsTrue)
	})
}

// Guards against a node that selects the wrong holders of an idempotency key, because it first uses a service after a holder has left,
// below a relay that never used the service, or after the control instance has restarted.
func TestLateSubscriptionReceivesTombstones(t *testing.T) {
	runTest(t, func(c *qt.C, w *cluster) {
		w.source("c1", w.catalog)
		server, _, leaf := startRelayAndLeaf(w)
		other := w.subscriberWith("other", func(o *SubscriberOptions) { o.OnDemandEndpoints = true })
		other.Subscribe("service-0")
		time.Sleep(startupGrace)
		server.Withdraw()
		w.eventually(3*time.Second, "the departure is known", func() bool { return len(other.Tombstones("service-0")) == 1 })
		leaf.Subscribe("service-0")
		w.eventually(time.Second, "known", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(leaf.Tombstones("service-0"), qt.HasLen, 1)

		w.stop("c1")
		w.source("c1", w.catalog)
		late := w.subscriberWith("late", func(o *SubscriberOptions) { o.OnDemandEndpoints = true })
		late.Subscribe("service-0")
		w.eventually(time.Minute, "known", func() bool { return late.EndpointsKnown("service-0") })
		c.Assert(late.Tombstones("service-0"), qt.HasLen, 1)
	})
}

// Guards against a child that subscribes to a service below a relay without a parent, and takes the missing answer for a service
// without endpoints.
func TestSubscriptionBelowADetachedRelay(t *testing.T) {
	runTest(t, func(c *qt.C, w *cluster) {
		w.source("c1", w.catalog)
		_, relay, leaf := startRelayAndLeaf(w)
		time.Sleep(startupGrace)
		w.detach(relay)
		leaf.Subscribe("service-0")
		w.always(2*time.Second, "unknown", func() bool { return !leaf.EndpointsKnown("service-0") })
		w.net.block("c1", false)
		w.eventually(convergenceTimeout, "known", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(allHaveEndpoints([]*Subscriber{leaf}, 1)(), qt.IsTrue)
	})
}

// detach disconnects a relay from the control instance and blocks new connections.
func (w *cluster) detach(relay *Subscriber) {
	w.net.block("c1", true)
	for _, conn := range w.net.connsOf(relay.options.RelayAddress) {
		if conn.to == "c1" {
			_ = conn.Close()
		}
	}
	w.eventually(time.Second, "detached", func() bool { return relay.Status().Parent == "" })
}

// Guards against endpoints that are dropped while all control instances are unreachable, so that no process could send them again.
func TestEndpointsAreKeptWithoutAParent(t *testing.T) {
	runTest(t, func(c *qt.C, w *cluster) {
		w.source("c1", w.catalog)
		_, relay, leaf := startRelayAndLeaf(w)
		time.Sleep(startupGrace)
		leaf.Subscribe("service-0")
		w.eventually(time.Second, "known", func() bool { return leaf.EndpointsKnown("service-0") })
		w.detach(relay)
		time.Sleep(subscriptionTTL + lostChildSubscriptionTTL + time.Second)
		leaf.Subscribe("service-0")
		w.eventually(time.Second, "known again", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(allHaveEndpoints([]*Subscriber{leaf}, 1)(), qt.IsTrue)
		w.net.block("c1", false)
		w.eventually(convergenceTimeout, "attached again", func() bool { return relay.Status().Parent != "" })
		time.Sleep(subscriptionTTL + lostChildSubscriptionTTL + time.Second)
		c.Assert(allHaveEndpoints([]*Subscriber{leaf, relay}, 0)(), qt.IsTrue)
	})
}
