package distribution

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// Guards against links between data centres that are not packed, against packed messages to a child that does not read them,
// and against work for packing within a data centre.
func TestLinksBetweenDataCentresArePacked(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		packing, err := newPacking()
		c.Assert(err, qt.IsNil)
		w.source("c1", w.catalog) // in no data centre
		for name, test := range map[string]struct {
			dataCentre core.DataCentre
			reads      frame.PackingID
			packed     bool
		}{
			"another data centre":       {dataCentre: "dc-b", reads: packing.ID(), packed: true},
			"the same data centre":      {dataCentre: "", reads: packing.ID()},
			"a child without packing":   {dataCentre: "dc-b"},
			"a child of another dictio": {dataCentre: "dc-b", reads: packing.ID() + 2},
		} {
			child := w.rawChild("c1", hello{ID: core.NodeID(name), DataCentre: test.dataCentre, Packing: test.reads}, packing)
			var accepted accept
			child.receive(typeAccept, &accepted)
			c.Check(accepted.Packing != 0, qt.Equals, test.packed, qt.Commentf(name))
			child.receive(typeConfigFull, &struct{}{})
			_, received := child.conn.Bytes()
			c.Check(received < 600, qt.Equals, test.packed, qt.Commentf("%s: %d bytes", name, received))
			c.Assert(child.conn.Close(), qt.IsNil)
		}
	})
}
