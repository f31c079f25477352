package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// Guards against links between data centres that are not compressed, against compressed messages to a child that cannot read them,
// and against the cost of compression within a data centre.
func TestLinksBetweenDataCentresAreCompressed(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		compressor, err := newCompressor()
		c.Assert(err, qt.IsNil)
		tc.source("c1", tc.catalog) // its data centre is empty
		for name, test := range map[string]struct {
			dataCentre core.DataCentre
			supported  frame.CompressorID
			compressed bool
		}{
			"another data centre":         {dataCentre: "dc-b", supported: compressor.ID(), compressed: true},
			"the same data centre":        {dataCentre: "", supported: compressor.ID()},
			"a child without compression": {dataCentre: "dc-b"},
			"a child of another version":  {dataCentre: "dc-b", supported: compressor.ID() + 2},
		} {
			child := tc.rawChild("c1", hello{ID: core.NodeID(name), DataCentre: test.dataCentre, Compressor: test.supported}, compressor)
			var accepted accept
			child.receive(typeAccept, &accepted)
			c.Check(accepted.Compressor != 0, qt.Equals, test.compressed, qt.Commentf(name))
			child.receive(typeConfigFull, &struct{}{})
			_, received := child.conn.Bytes()
			c.Check(received < 600, qt.Equals, test.compressed, qt.Commentf("%s: %d bytes", name, received))
			c.Assert(child.conn.Close(), qt.IsNil)
		}
	})
}

// Guards against a child that sends uncompressed messages although its parent has agreed to compression, and the reverse.
func TestChildCompressesWhatItsParentReads(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		compressor, err := newCompressor()
		c.Assert(err, qt.IsNil)
		for name, test := range map[string]struct {
			agreed     frame.CompressorID
			compressed bool
		}{
			"agreed":             {agreed: compressor.ID(), compressed: true},
			"no compression":     {agreed: 0},
			"another dictionary": {agreed: compressor.ID() + 2},
		} {
			parent := tc.rawParent("parent-" + name)
			child := tc.subscriber(core.NodeID("n-"+name), "parent-"+name)
			child.Announce(endpoint("service-0", core.EndpointReady))
			parent.attach(accept{Compressor: test.agreed})
			// The test's end cannot read compressed messages.
			for err = nil; err == nil; {
				_, err = parent.conn.Receive(time.Now().Add(linkTimeout))
			}
			c.Check(errors.Is(err, frame.ErrMalformed), qt.Equals, test.compressed, qt.Commentf("%s: %v", name, err))
			tc.stop("n-" + name)
		}
	})
}
