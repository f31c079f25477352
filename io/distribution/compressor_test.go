package distribution

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/frame"
)

// Guards against links between data centres that are not compressed, against compressed messages to a child that cannot read them,
// and against the cost of compression of short messages within a data centre.
func TestLinksBetweenDataCentresAreCompressed(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		compressor, err := newCompressor()
		c.Assert(err, qt.IsNil)
		tc.source("c1", tc.catalog) // its data centre is empty
		for name, test := range map[string]struct {
			dataCentre core.DataCentre
			supported  frame.CompressorID
			agreed     bool
			compressed bool
		}{
			"another data centre":         {dataCentre: "dc-b", supported: compressor.ID(), agreed: true, compressed: true},
			"the same data centre":        {dataCentre: "", supported: compressor.ID(), agreed: true},
			"a child without compression": {dataCentre: "dc-b"},
			"a child of another version":  {dataCentre: "dc-b", supported: compressor.ID() + 2},
		} {
			child := tc.rawChild("c1", hello{ID: core.NodeID(name), DataCentre: test.dataCentre, Compressor: test.supported}, compressor)
			var accepted accept
			child.receive(typeAccept, &accepted)
			c.Check(accepted.Compressor != 0, qt.Equals, test.agreed, qt.Commentf(name))
			child.receive(typeConfigFull, &struct{}{})
			_, received := child.conn.Bytes()
			c.Check(received < 600, qt.Equals, test.compressed, qt.Commentf("%s: %d bytes", name, received))
			c.Assert(child.conn.Close(), qt.IsNil)
		}
	})
}

// Guards against a change of many routes that fills the narrow link of a node, so that answers wait behind it.
func TestLongMessagesAreCompressedWithinADataCentre(t *testing.T) {
	runTest(t, func(c *qt.C, tc *cluster) {
		const routes, linkBytesPerSecond, heldUp = 1400, 2_600_000 / 8, 0.2 // seconds
		records := []core.Record{{Kind: core.KindService, Name: "desk", SchemaVersion: 1, Version: 1, Body: []byte(`{"tenant":"t","any-release":true}`)}}
		for i := range routes {
			records = append(records, core.Record{
				Kind: core.KindRoute, Name: fmt.Sprintf("rr-%08x.%016x", i*2654435761, i*40503*7919), SchemaVersion: 1, Version: 1,
				Body: fmt.Appendf(nil, `{"host":"ficu%d.example","path-prefix":"/pufi%d/go%x/","service":"desk","timeout-ms":%d,"idempotent":true,"priority":7,"max-attempts":2,`+
					`"target-latency-ms":300,"annotations":{"name":"r-%x","priority":"2","kind":"safe"}}`, i%9, i, i*7919, 900+i%7*100, i*2654435761),
			})
		}
		grown, err := record.New(5, records, nil)
		c.Assert(err, qt.IsNil)
		tc.source("c1", tc.catalog)
		node := tc.subscriberWith("n", func(o *SubscriberOptions) { o.DataCentre = "" })
		tc.eventually(convergenceTimeout, "attached", func() bool { return node.Confirmed() })
		_, before := node.Bytes()
		tc.catalog.set(grown)
		tc.eventually(time.Second, "the change is in force", allAtRevision([]*Subscriber{node}, 5))
		_, after := node.Bytes()
		c.Logf("%d bytes", after-before)
		c.Assert(float64(after-before) < heldUp*linkBytesPerSecond, qt.IsTrue, qt.Commentf("%d bytes", after-before))
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
