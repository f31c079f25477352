package nodepeer

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/packed"
)

// earlierRefusedMessage is refusedMessage before it had FreeInUS.
type earlierRefusedMessage struct {
	Sequence uint64            `msgpack:"sequence"`
	Outcome  core.Outcome      `msgpack:"outcome"`
	Cause    core.RefusalCause `msgpack:"cause"`
	Detail   string            `msgpack:"detail"`
	Load     loadMessage       `msgpack:"load"`
}

// Guards against a load report that a node of an earlier version cannot read, or sends, and against more bytes where it is off.
func TestLoadReportsAreReadByEarlierVersions(t *testing.T) {
	c := qt.New(t)
	load := core.Load{Running: 3, Waiting: 2, Limit: 6, ServiceTime: time.Second, RouteServiceTime: time.Second, FreeIn: 70 * time.Millisecond}
	encode := func(message any) []byte {
		encoded, err := msgpack.Marshal(message)
		c.Assert(err, qt.IsNil)
		return encoded
	}
	sent := refusedMessage{Sequence: 7, Cause: core.CauseDeadline, Load: newLoadMessage(load), FreeInUS: load.FreeIn.Microseconds()}
	var received refusedMessage
	c.Assert(packed.Decode(encode(sent), &received), qt.IsNil)
	c.Assert(received.Load.decode(received.FreeInUS), qt.Equals, load)

	var earlier earlierRefusedMessage
	c.Assert(packed.Decode(encode(sent), &earlier), qt.IsNil)
	load.FreeIn = 0
	c.Assert(earlier.Load.decode(0), qt.Equals, load)
	var fromEarlier refusedMessage
	c.Assert(packed.Decode(encode(earlier), &fromEarlier), qt.IsNil)
	c.Assert(fromEarlier.Load.decode(fromEarlier.FreeInUS), qt.Equals, load)

	sent.FreeInUS = 0
	c.Assert(bytes.Equal(encode(sent), encode(earlier)), qt.IsTrue)
	c.Assert(newLoadMessage(load).decode(-1), qt.Equals, core.Load{})
}
