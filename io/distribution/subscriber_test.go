package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against a new node that accepts callers before it knows the endpoints, and so refuses calls that others could serve.
func TestEndpointsSignalWaitsForTheEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newCluster(t)
		defer tc.close()
		tc.source("c1", tc.catalog)
		first := tc.subscriber("n1", "c1")
		first.Announce(endpoint("service-0", core.EndpointReady))
		tc.eventually(5*time.Second, "attached", first.Confirmed)
		time.Sleep(startupGrace)

		fresh := tc.subscriber("n2", "c1")
		<-fresh.EndpointsSignal()
		if len(fresh.Endpoints("service-0")) != 1 {
			t.Fatalf("endpoints %v", fresh.Endpoints("service-0"))
		}

		empty := newCluster(t)
		defer empty.close()
		empty.source("c1", empty.catalog)
		<-empty.subscriber("n1", "c1").EndpointsSignal() // is closed even if there are no endpoints
	})
}

// Guards against a node that refuses a new API key for good because it does not notice that it is cut off, at each level of the tree, and
// against one that never accepts its state again.
func TestLeaderHeard(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		firm := core.Record{Kind: core.KindTenant, Name: "firm", SchemaVersion: 1, Version: 1, Body: []byte(`{"api-keys":["k"]}`)}
		tc.catalog.set(configuration(2, append(testRecords(3, 2), firm)))
		tc.source("c1", tc.catalog)
		nodes := tc.startNodes(12, withControlAddresses("c1")) // some are attached to others
		unheard := every(nodes, func(s *Subscriber) bool { return !s.LeaderHeard() })
		tc.eventually(convergenceTimeout, "leader heard", every(nodes, (*Subscriber).LeaderHeard))
		tc.always(20*time.Second, "leader heard", every(nodes, (*Subscriber).LeaderHeard))
		tc.catalog.leaderless.Store(true)
		tc.eventually(2*time.Second, "no leader heard", unheard)
		tc.catalog.leaderless.Store(false)
		tc.eventually(convergenceTimeout, "leader heard again", every(nodes, (*Subscriber).LeaderHeard))
		tc.net.freeze("c1")
		tc.eventually(2*time.Second, "cut off", unheard)
	})
}

// Guards against messages about the leader in deployments without tenants.
func TestLeaderContactIsNotSentWithoutTenants(t *testing.T) {
	h := &hub{relayID: "relay", current: revision(1)}
	h.announceLeaderContact(time.Now())
	qt.Assert(t, h.leaderHeard(time.Now()) || h.unheardSent || h.pathVersion > 0, qt.IsFalse)
}
