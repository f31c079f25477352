package distribution

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// divergedCatalog holds other content under a revision number that nodes already have, as a control instance restored from an
// old copy may accept.
func divergedCatalog(number core.Revision) *fakeCatalog {
	return newFakeCatalog(configuration(number, testRecords(4, 77)))
}

// Guards against nodes that hold other content than the control instances for as long as the revision stays, unnoticed because
// the revision numbers are equal.
func TestDivergedContentIsReplaced(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.catalog.set(revision(5))
		tc.source("c1", tc.catalog)
		nodes := tc.startNodes(24, withControlAddresses("c1"))
		tc.eventually(convergenceTimeout, "revision 5", allAtRevision(nodes, 5))
		tc.stop("c1")
		restored := divergedCatalog(5)
		source := tc.source("c1", restored)
		accepted := restored.Current().Hash()
		tc.eventually(convergenceTimeout, "the accepted content on all nodes", every(nodes, func(s *Subscriber) bool { return s.Current().Hash() == accepted }))
		tc.eventually(convergenceTimeout, "no difference is left", func() bool {
			source.hub.mu.Lock()
			defer source.hub.mu.Unlock()
			for _, each := range source.hub.children {
				if each.diverged {
					return false
				}
			}
			return source.hub.subtreeAcknowledgement().Nodes == 24
		})
		found, replaced := source.hub.meters.contentMismatches.Get(), uint64(0)
		for _, n := range nodes {
			c.Assert(n.hub.meters.contentRepairs.Get() <= 1, qt.IsTrue)
			replaced += n.hub.meters.contentRepairs.Get()
			found += n.hub.meters.contentMismatches.Get()
		}
		c.Assert(replaced, qt.Equals, uint64(24))
		c.Assert(found >= 24, qt.IsTrue, qt.Commentf("%d found", found))
		restored.set(configuration(6, testRecords(4, 78)))
		tc.eventually(convergenceTimeout, "revision 6", allAtRevision(nodes, 6))
	})
}

// Guards against a node that takes over the content of its parent when the parent holds the wrong one.
func TestDivergedContentNeedsAConfirmedRead(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		parent := tc.rawParent("c1")
		node := tc.subscriber("a", "c1")
		parent.attach(accept{Control: "c1"})
		right := revision(2)
		parent.send(typeConfigFull, right.Full())
		tc.eventually(convergenceTimeout, "revision 2", allAtRevision([]*Subscriber{node}, 2))
		var request confirmRequest
		parent.receive(typeConfirmRequest, &request)
		parent.send(typeConfirm, confirm{Number: request.Number, Revision: 2, Hash: right.Hash()})
		parent.send(typeConfigFull, divergedCatalog(2).Current().Full())
		parent.receive(typeConfirmRequest, &request)
		c.Assert(node.Current().Hash(), qt.Equals, right.Hash())
		parent.send(typeConfirm, confirm{Number: request.Number, Revision: 2, Hash: right.Hash()})
		tc.eventually(convergenceTimeout, "the candidate is given up", func() bool {
			node.hub.mu.Lock()
			defer node.hub.mu.Unlock()
			return node.candidate == nil
		})
		c.Assert(node.Current().Hash(), qt.Equals, right.Hash())
	})
}
