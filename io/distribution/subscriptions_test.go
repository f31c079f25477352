package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// startRelayAndLeaf starts a server of service-0, a relay that uses no service, and a leaf below the relay.
func startRelayAndLeaf(tc *cluster) (server, relay, leaf *Subscriber) {
	onDemand := func(parent string) func(*SubscriberOptions) {
		return func(o *SubscriberOptions) { o.OnDemandEndpoints, o.ControlAddresses = true, []string{parent} }
	}
	server = tc.subscriberWith("server", onDemand("c1"))
	server.Announce(endpoint("service-0", core.EndpointReady))
	relay = tc.subscriberWith("relay", onDemand("c1"))
	leaf = tc.subscriberWith("leaf", onDemand("relay-relay"))
	tc.eventually(convergenceTimeout, "attached", func() bool { return server.Confirmed() && leaf.Confirmed() })
	return server, relay, leaf
}

// Guards against a subscription that never ends or ends while it is in use; against endpoints that stay listed after it ended; against
// live endpoints that are then taken to have left; and against a renewed subscription that returns outdated endpoints.
func TestSubscriptionEndsAfterItsLastUse(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		server, relay, leaf := startRelayAndLeaf(tc)
		time.Sleep(startupGrace)
		leaf.Subscribe("service-0")
		tc.eventually(time.Second, "known", func() bool { return leaf.EndpointsKnown("service-0") })
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
		tc.eventually(time.Second, "known again", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(allSeeLeaving([]*Subscriber{leaf}, "server")(), qt.IsTrue)
	})
}

// Guards against a node that selects the wrong holders of an idempotency key, because it first uses a service after a holder has left,
// below a relay that never used the service, or after the control instance has restarted.
func TestLateSubscriptionReceivesTombstones(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		server, _, leaf := startRelayAndLeaf(tc)
		other := tc.subscriberWith("other", func(o *SubscriberOptions) { o.OnDemandEndpoints = true })
		other.Subscribe("service-0")
		time.Sleep(startupGrace)
		server.Withdraw()
		tc.eventually(3*time.Second, "the departure is known", func() bool { return len(other.Tombstones("service-0")) == 1 })
		leaf.Subscribe("service-0")
		tc.eventually(time.Second, "known", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(leaf.Tombstones("service-0"), qt.HasLen, 1)

		tc.stop("c1")
		tc.source("c1", tc.catalog)
		late := tc.subscriberWith("late", func(o *SubscriberOptions) { o.OnDemandEndpoints = true })
		late.Subscribe("service-0")
		tc.eventually(time.Minute, "known", func() bool { return late.EndpointsKnown("service-0") })
		c.Assert(late.Tombstones("service-0"), qt.HasLen, 1)
	})
}

// Guards against a child that subscribes to a service below a relay without a parent, and takes the missing answer for a service
// without endpoints.
func TestSubscriptionBelowADetachedRelay(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		_, relay, leaf := startRelayAndLeaf(tc)
		time.Sleep(startupGrace)
		tc.detach(relay)
		leaf.Subscribe("service-0")
		tc.always(2*time.Second, "unknown", func() bool { return !leaf.EndpointsKnown("service-0") })
		tc.net.block("c1", false)
		tc.eventually(convergenceTimeout, "known", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(allHaveEndpoints([]*Subscriber{leaf}, 1)(), qt.IsTrue)
	})
}

// detach disconnects a relay from the control instance and blocks new connections.
func (tc *cluster) detach(relay *Subscriber) {
	tc.net.block("c1", true)
	for _, conn := range tc.net.connsOf(relay.options.RelayAddress) {
		if conn.to == "c1" {
			_ = conn.Close()
		}
	}
	tc.eventually(time.Second, "detached", func() bool { return relay.Status().Parent == "" })
}

// Guards against endpoints that are dropped while all control instances are unreachable, so that no process could send them again.
func TestEndpointsAreKeptWithoutAParent(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		_, relay, leaf := startRelayAndLeaf(tc)
		time.Sleep(startupGrace)
		leaf.Subscribe("service-0")
		tc.eventually(time.Second, "known", func() bool { return leaf.EndpointsKnown("service-0") })
		tc.detach(relay)
		time.Sleep(subscriptionTTL + lostChildSubscriptionTTL + time.Second)
		leaf.Subscribe("service-0")
		tc.eventually(time.Second, "known again", func() bool { return leaf.EndpointsKnown("service-0") })
		c.Assert(allHaveEndpoints([]*Subscriber{leaf}, 1)(), qt.IsTrue)
		tc.net.block("c1", false)
		tc.eventually(convergenceTimeout, "attached again", func() bool { return relay.Status().Parent != "" })
		time.Sleep(subscriptionTTL + lostChildSubscriptionTTL + time.Second)
		c.Assert(allHaveEndpoints([]*Subscriber{leaf, relay}, 0)(), qt.IsTrue)
	})
}
