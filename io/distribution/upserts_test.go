package distribution

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
)

// Guards against two versions of the program that cannot read each other's endpoints during an upgrade, and against endpoints that
// are truncated or changed on the wire.
func TestEndpointsAreReadAcrossVersions(t *testing.T) {
	c := qt.New(t)
	sent := core.Endpoint{
		Node: "n1", Incarnation: 1 << 60, Sequence: 300, DataCentre: "dc-a", Address: "127.0.0.1:1",
		Service: "service-0", Release: "v1", Slots: 9, State: core.EndpointReady,
	}
	type asMaps struct {
		Upserts []core.Endpoint `msgpack:"upserts,omitempty"`
	}
	encode := func(message any) []byte {
		encoded, err := msgpack.Marshal(message)
		c.Assert(err, qt.IsNil)
		return encoded
	}
	current := encode(endpoints{Upserts: upserts{sent, sent}})
	for _, encoded := range [][]byte{current, encode(asMaps{Upserts: []core.Endpoint{sent, sent}})} {
		var received endpoints
		c.Assert(msgpack.Unmarshal(encoded, &received), qt.IsNil)
		c.Assert([]core.Endpoint(received.Upserts), qt.DeepEquals, []core.Endpoint{sent, sent})
	}
	var earlier asMaps
	c.Assert(msgpack.Unmarshal(current, &earlier), qt.IsNil)
	c.Assert(earlier.Upserts, qt.DeepEquals, []core.Endpoint{sent, sent})

	appended := []any{"n1", 1 << 60, 300, "dc-a", "127.0.0.1:1", "service-0", "v1", 9, "ready", "a later field"}
	later := encode(map[string]any{"upserts": []any{appended, appended}})
	var received endpoints
	c.Assert(msgpack.Unmarshal(later, &received), qt.IsNil)
	c.Assert([]core.Endpoint(received.Upserts), qt.DeepEquals, []core.Endpoint{sent, sent})
	cut := encode(map[string]any{"upserts": []any{[]any{"n1", 1}}})
	c.Assert(msgpack.Unmarshal(cut, &received), qt.ErrorMatches, ".*expected at least 9")
	c.Assert(len(encode(endpoints{})), qt.Equals, 1)
}
