package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// tenantRevision returns a configuration with a tenant.
func tenantRevision(number core.Revision) []core.Record {
	return append(testRecords(3, number), core.Record{Kind: core.KindTenant, Name: "firm", SchemaVersion: 1, Version: 1, Body: []byte(`{"api-keys":["k"]}`)})
}

// Guards against a node that refuses a new API key for good because it does not notice that it is cut off, at each level of the tree, and
// against one that never accepts its state again.
func TestLeaderHeard(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.catalog.set(configuration(2, tenantRevision(2)))
		tc.source("c1", tc.catalog)
		nodes := tc.startNodes(12, withControlAddresses("c1"))
		heard := func(s *Subscriber) bool { return s.LeaderHeard() }
		unheard := func(s *Subscriber) bool { return !s.LeaderHeard() }
		tc.eventually(convergenceTimeout, "leader heard", every(nodes, heard))
		tc.always(20*time.Second, "leader heard", every(nodes, heard))
		tc.catalog.leaderless.Store(true)
		tc.eventually(2*time.Second, "no leader heard", every(nodes, unheard))
		tc.catalog.leaderless.Store(false)
		tc.eventually(convergenceTimeout, "leader heard again", every(nodes, heard))
		tc.net.freeze("c1")
		tc.eventually(2*time.Second, "cut off", every(nodes, unheard))
	})
}

// Guards against messages about the leader in deployments without tenants.
func TestLeaderContactIsNotSentWithoutTenants(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		parent := tc.rawParent("raw")
		relay := tc.subscriber("relay", "raw")
		parent.attach(accept{Control: "raw"})
		parent.send(typeConfigFull, revision(1).Full())
		tc.eventually(time.Second, "revision 1", allAtRevision([]*Subscriber{relay}, 1))
		relay.hub.mu.Lock()
		defer relay.hub.mu.Unlock()
		before := relay.hub.pathVersion
		relay.hub.announceLeaderContact(time.Now())
		c.Assert(relay.hub.leaderHeard(time.Now()) || relay.hub.unheardSent, qt.IsFalse)
		c.Assert(relay.hub.pathVersion, qt.Equals, before)
	})
}
