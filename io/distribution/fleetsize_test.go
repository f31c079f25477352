package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against nodes that take too large a part of a budget of the whole fleet: because nodes below relays or of other control
// instances are not counted, because a control instance that has just started knows few nodes, or because nodes restart.
func TestNodesKnowTheSizeOfTheFleet(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		const nodes = 30
		tc.source("c1", tc.catalog, "c2")
		tc.source("c2", tc.catalog, "c1")
		list := tc.startNodes(nodes, withControlAddresses("c1", "c2"))
		knows := func(least, most int) func() bool {
			return every(list, func(s *Subscriber) bool { return s.FleetNodes() >= least && s.FleetNodes() <= most })
		}
		c.Assert(list[0].FleetNodes(), qt.Equals, 0)
		tc.eventually(startupGrace+convergenceTimeout, "all nodes know the fleet", knows(nodes-nodes/minFleetChangeDivisor, nodes))

		tc.stop("c1")
		tc.source("c1", tc.catalog, "c2")
		for i := range nodes / 2 {
			tc.stop(string(list[nodes/2+i].options.ID))
		}
		list = list[:nodes/2]
		tc.always(20*time.Second, "the fleet as it was", knows(nodes-nodes/minFleetChangeDivisor, nodes))
		tc.eventually(3*time.Minute, "the smaller fleet", knows(1, nodes/2+nodes/minFleetChangeDivisor))
	})
}

// Guards against a child that states a wrong size of its subtree and so makes the fleet appear smaller than it is.
func TestSubtreesHaveAtLeastOneNode(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		source := tc.source("c1", tc.catalog)
		tc.startNodes(1, withControlAddresses("c1"))
		liar := tc.rawChild("c1", hello{ID: "liar"}, nil)
		liar.receive(typeAccept, &accept{})
		liar.send(typeAcknowledge, acknowledge{Nodes: -1000})
		tc.eventually(convergenceTimeout, "both nodes are counted", func() bool { return source.Fleet().Nodes == 2 })
		tc.always(time.Second, "both nodes are counted", func() bool { return source.Fleet().Nodes == 2 })
	})
}

// Guards against nodes of a fleet of hundreds that find no parent while most control instances are lost.
func TestOneControlInstanceTakesAFleetOfHundreds(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		const nodes, dataCentres = 300, 6
		source := tc.sourceWith("c1", func(o *SourceOptions) { o.DirectNodes = 64 })
		list := tc.startNodes(nodes, func(i int, o *SubscriberOptions) {
			o.DataCentre = core.DataCentre("dc-" + string(rune('a'+i%dataCentres)))
			o.OnDemandEndpoints = true
		})
		tc.eventually(convergenceTimeout, "all nodes are attached", func() bool { return source.Fleet().Nodes == nodes })
		tc.catalog.set(revision(5))
		tc.eventually(time.Second, "the change is in force", allAtRevision(list, 5))
	})
}
