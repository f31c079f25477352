package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against claiming a key only at nodes that cannot know it, because its holders have left, and against using the address of
// an earlier run of a node that is back.
func TestKeyHoldersIncludeNodesThatLeft(t *testing.T) {
	c := qt.New(t)
	live := []core.Endpoint{{Node: "a", Incarnation: 2}, {Node: "b", Incarnation: 1}}
	left := []core.Endpoint{{Node: "a", Incarnation: 1}, {Node: "d", Incarnation: 1}}
	c.Assert(withTombstones(live, left), qt.DeepEquals, []core.Endpoint{
		{Node: "a", Incarnation: 2},
		{Node: "b", Incarnation: 1},
		{Node: "d", Incarnation: 1},
	})
}
