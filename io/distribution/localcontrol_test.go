package distribution

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
)

// Guards against nodes that stay attached to a control instance of another data centre although their own has one, and against nodes
// that never learn of control instances which their settings do not list.
func TestNodesAttachInTheirDataCentre(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		first := tc.source("c1", tc.catalog)
		node := tc.subscriber("n1", "c1") // its data centre is dc-a
		tc.eventually(5*time.Second, "attached", func() bool { return node.Status().Parent == "c1" })
		tc.source("c2", tc.catalog, "c1")
		first.SetPeers([]Peer{{ID: "c2", Address: "c2"}}, []ControlAddress{
			{Address: "c1", DataCentre: "dc-b"},
			{Address: "c2", DataCentre: "dc-a"},
		})
		tc.eventually(5*time.Second, "attached in its data centre", func() bool { return node.Status().Parent == "c2" })
		tc.stop("c2")
		tc.eventually(5*time.Second, "attached in another data centre", func() bool { return node.Status().Parent == "c1" })
		tc.source("c2", tc.catalog, "c1")
		tc.eventually(localRetryInterval+5*time.Second, "attached in its data centre again", func() bool { return node.Status().Parent == "c2" })
	})
}

// Guards against nodes that keep trying control instances which the settings no longer list.
func TestSettingsReplaceControlAddresses(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		tc.source("c1", tc.catalog)
		node := tc.subscriber("n1", "c1")
		tc.eventually(5*time.Second, "attached", func() bool { return node.Status().Parent == "c1" })
		tc.source("c9", tc.catalog)
		node.SetControlAddresses([]string{"c9"})
		tc.stop("c1")
		tc.eventually(10*time.Second, "attached to the new one", func() bool { return node.Status().Parent == "c9" })
	})
}

// Guards against nodes that try control instances of other data centres before those of their own.
func TestLocalControlInstancesAreTriedFirst(t *testing.T) {
	c := qt.New(t)
	first, second, third := ControlAddress{Address: "c1", DataCentre: "dc-b"}, ControlAddress{Address: "c2", DataCentre: "dc-a"}, ControlAddress{Address: "c3", DataCentre: "dc-a"}
	c.Assert(localFirst([]ControlAddress{first, second, third}, "dc-a"), qt.DeepEquals, []ControlAddress{second, third, first})
	c.Assert(localFirst([]ControlAddress{first, second}, "dc-c"), qt.DeepEquals, []ControlAddress{first, second})
}

// Guards against a node that is without a parent for more than 3 s when two of five control instances freeze at once, one of them in
// the node's data centre. Both still accept connections, and the others redirect the node to its own data centre.
func TestTwoFrozenControlInstances(t *testing.T) {
	controls := []core.ControlID{"c1", "c2", "c3", "c4", "c5"} // the first two are in the node's data centre
	for frozen := 1; frozen < len(controls); frozen++ {
		runTest(t, func(c *qt.C, tc *cluster) {
			addresses := lo.Map(controls, func(id core.ControlID, i int) ControlAddress {
				return ControlAddress{
					Address:    string(id),
					DataCentre: lo.Ternary[core.DataCentre](i < 2, "dc-a", "dc-b"),
				}
			})
			for i, id := range controls {
				peers := slices.Concat(controls[:i], controls[i+1:])
				tc.source(id, tc.catalog, peers...).SetPeers(lo.Map(peers, func(peer core.ControlID, _ int) Peer {
					return Peer{ID: peer, Address: string(peer)}
				}), addresses)
			}
			node := tc.startNodes(1, withControlAddresses("c1", "c2", "c3", "c4", "c5"))[0]
			tc.eventually(20*time.Second, "attached in its data centre", func() bool { return slices.Contains([]string{"c1", "c2"}, node.Status().Parent) })
			first := slices.Index(controls, core.ControlID(node.Status().Parent))
			time.Sleep(10 * time.Second)
			tc.net.freeze(string(controls[first]))
			tc.net.freeze(string(controls[(first+frozen)%len(controls)]))
			tc.catalog.set(revision(2))
			tc.eventually(3*time.Second, "revision 2", allAtRevision([]*Subscriber{node}, 2))
		})
	}
}

// Guards against a second timeout at a control instance whose link has just timed out, since a process that hangs still accepts
// connections, and against a control instance that is never tried again although no other is left.
func TestTimedOutControlInstanceIsExcludedTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, test := range []struct {
			targets            []string
			want               []string
			wantAfterExclusion []string
		}{
			{targets: []string{"c1", "c2", "c3"}, want: []string{"c2", "c3", "c2"}, wantAfterExclusion: []string{"c3", "c1", "c2"}},
			{targets: []string{"c1", "c2"}, want: []string{"c2", "c2"}, wantAfterExclusion: []string{"c1", "c2"}},
			{targets: []string{"c1"}, want: []string{"c1", "c1"}},
		} {
			a := newAttachment(test.targets, attachment{random: func() float64 { return 0 }})
			a.exclude("c1", linkTimeoutExclusion)
			chosen := func() string {
				c.Assert(a.chooseAddress(t.Context()), qt.Equals, eventDial)
				return a.address
			}
			for _, want := range test.want {
				c.Assert(chosen(), qt.Equals, want)
			}
			time.Sleep(linkTimeoutExclusion)
			for _, want := range test.wantAfterExclusion {
				c.Assert(chosen(), qt.Equals, want)
			}
		}
	})
}
