package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against requests to other nodes about idempotency keys when callers have no header to send a key.
func TestNoKeyClaimsWithoutKeyHeader(t *testing.T) {
	c := qt.New(t)
	p := &process{
		options: Options{
			Headers: core.HeaderNames{CallID: "X-Call"},
		},
	}
	keys, err := p.newKeyClaimer(nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(keys, qt.IsNil)
}
