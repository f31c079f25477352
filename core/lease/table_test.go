package lease_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"parsleyport/core"
	"parsleyport/core/lease"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	left   = lease.Owner{Name: "left"}
	right  = lease.Owner{Name: "right"}
	parent = lease.Owner{Name: "parent", Remote: true}
)

func announced(node core.NodeID, incarnation core.Incarnation, sequence uint64, service core.ServiceName) core.Endpoint {
	return core.Endpoint{
		Node:        node,
		Incarnation: incarnation,
		Sequence:    sequence,
		Service:     service,
		State:       core.EndpointReady,
	}
}

func removal(e core.Endpoint) lease.Removal {
	return lease.Removal{
		Node:        e.Node,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		Service:     e.Service,
	}
}

func anyService(core.ServiceName) bool { return true }

// Guards against a delayed message of an earlier incarnation or announcement that replaces or removes a newer endpoint.
func TestNewerAnnouncementWins(t *testing.T) {
	c := qt.New(t)
	table := lease.New()
	newer, older := announced("n", 2, 1, "s"), announced("n", 1, 9, "s")
	c.Assert(table.Announce(start, left, newer), qt.IsTrue)
	c.Assert(table.Announce(start, right, older), qt.IsFalse)
	table.Remove(start, left, removal(older))
	c.Assert(table.Endpoints("s"), qt.DeepEquals, []core.Endpoint{newer})

	// A withdrawal is newer than the announcement that any owner has leased.
	table.Announce(start, right, newer)
	withdrawn := newer
	withdrawn.Sequence++
	table.Remove(start, left, removal(withdrawn))
	c.Assert(table.Endpoints("s"), qt.HasLen, 0)
	c.Assert(table.Announce(start, right, newer), qt.IsFalse)

	// The removal from one service may carry the sequence of the announcement for the next service.
	moved := withdrawn
	moved.Service = "t"
	c.Assert(table.Announce(start, right, moved), qt.IsTrue)
	c.Assert(table.Endpoints("t"), qt.DeepEquals, []core.Endpoint{moved})
}

// Guards against endpoints that are removed when the broken link of a subtree is detected after the subtree has moved.
func TestLostOwnerKeepsEndpointsLeasedByOthers(t *testing.T) {
	c := qt.New(t)
	table := lease.New()
	for _, node := range []core.NodeID{"relay", "below", "moved"} {
		table.Announce(start, left, announced(node, 1, 1, "s"))
	}
	table.Announce(start, right, announced("moved", 1, 1, "s"))
	table.Announce(start, right, announced("both", 1, 1, "s"))
	table.Announce(start, left, announced("both", 1, 1, "s"))
	table.DisconnectOwner(start, left, "relay", 2*time.Second, 10*time.Second)
	names := func(at time.Duration) (list []core.NodeID) {
		table.Expire(start.Add(at))
		for _, e := range table.Endpoints("s") {
			list = append(list, e.Node)
		}
		return list
	}
	c.Assert(names(1999*time.Millisecond), qt.DeepEquals, []core.NodeID{"below", "both", "moved", "relay"})
	c.Assert(names(2*time.Second), qt.DeepEquals, []core.NodeID{"below", "both", "moved"})
	c.Assert(names(10*time.Second), qt.DeepEquals, []core.NodeID{"both", "moved"})
}

// Guards against an endpoint that stays alive because two owners send each other their own lease.
func TestOwnLeaseIsNotSentBack(t *testing.T) {
	c := qt.New(t)
	table := lease.New()
	table.Announce(start, left, announced("n", 1, 1, "s"))
	c.Assert(table.EndpointsFor(left, "s"), qt.HasLen, 0)
	changes, reached := table.Changes(lease.All, 0, left, anyService)
	c.Assert(reached, qt.IsTrue)
	c.Assert(changes.Empty(), qt.IsTrue)

	table.Announce(start, right, announced("n", 1, 1, "s"))
	changes, _ = table.Changes(lease.All, changes.Next, left, anyService)
	c.Assert(changes.Upserts, qt.HasLen, 1)
	table.Remove(start, right, removal(announced("n", 1, 1, "s")))
	changes, _ = table.Changes(lease.All, changes.Next, left, anyService)
	c.Assert(changes.Removals, qt.HasLen, 1)
}

// Guards against a removal that overtakes the announcement by the endpoint's new owner.
func TestLeaseMovedElsewhereExpiresAfterGrace(t *testing.T) {
	c := qt.New(t)
	table := lease.New()
	e := announced("n", 1, 1, "s")
	table.Announce(start, parent, e)
	moved := removal(e)
	moved.Elsewhere = true
	table.Remove(start, parent, moved)
	table.Expire(start.Add(4 * time.Second))
	c.Assert(table.Endpoints("s"), qt.HasLen, 1)
	table.Expire(start.Add(5 * time.Second))
	c.Assert(table.Endpoints("s"), qt.HasLen, 0)
}

// Guards against key holders that are removed within the window, and against tombstones that are never removed.
func TestTombstonesLastTenMinutes(t *testing.T) {
	c := qt.New(t)
	table := lease.New()
	e := announced("n", 1, 1, "s")
	table.Announce(start, left, e)
	table.Remove(start, left, removal(e))
	table.AddTombstone(start, lease.Tombstone{Endpoint: announced("m", 1, 1, "s"), At: start.Add(-time.Minute)})
	table.Expire(start.Add(9*time.Minute - time.Millisecond))
	c.Assert(table.Tombstones(start.Add(-time.Minute), anyService), qt.HasLen, 2)
	table.Expire(start.Add(9 * time.Minute))
	c.Assert(table.Tombstones(start.Add(-time.Minute), anyService), qt.HasLen, 1)
	table.Expire(start.Add(10 * time.Minute))
	c.Assert(table.Tombstones(start.Add(-time.Minute), anyService), qt.HasLen, 0)
}

// Guards against memory that grows with announcements of new nodes, and against a full table that refuses a node although others
// have left.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := lease.New()
	for i := range lease.MaxEntries {
		table.Announce(start, left, announced(core.NodeID(fmt.Sprint(i)), 1, 1, "s"))
	}
	c.Assert(table.Announce(start, left, announced("late", 1, 1, "s")), qt.IsFalse)
	table.Remove(start, left, removal(announced("0", 1, 1, "s")))
	c.Assert(table.Announce(start, left, announced("late", 1, 1, "s")), qt.IsTrue)
	c.Assert(table.LiveCount(), qt.Equals, lease.MaxEntries)
	_, reached := table.Changes(lease.All, 0, right, anyService)
	c.Assert(reached, qt.IsFalse)
}

// Guards against a subscriber that ends up with other endpoints than its parent after some order of changes.
func TestFollowerHasTheEndpointsOfItsParent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, child := lease.New(), lease.New()
		subscriber := lease.Owner{Name: "viewer"}
		now, position := start, uint64(0)
		services := []core.ServiceName{"a", "b"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			owner := rapid.SampledFrom([]lease.Owner{left, right, parent}).Draw(t, "owner")
			// A node increments its sequence with each change, so one sequence never has two services.
			sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			e := announced(rapid.SampledFrom([]core.NodeID{"x", "y", "z"}).Draw(t, "node"), 1, sequence, services[sequence/2%2])
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				table.Announce(now, owner, e)
			case 2:
				table.Remove(now, owner, removal(e))
			case 3:
				table.DisconnectOwner(now, owner, e.Node, time.Second, 2*time.Second)
			case 4:
				changes, reached := table.Changes(lease.All, position, subscriber, anyService)
				if !reached {
					t.Fatal("log of 4096 changes overflowed")
				}
				position = changes.Next
				for _, upsert := range changes.Upserts {
					child.Announce(now, parent, upsert)
				}
				for _, each := range changes.Removals {
					child.Remove(now, parent, each)
				}
				for _, service := range services {
					if got, want := fmt.Sprint(child.Endpoints(service)), fmt.Sprint(table.Endpoints(service)); got != want {
						t.Fatalf("service %s: child has %s, parent has %s", service, got, want)
					}
				}
			}
		}
	})
}
