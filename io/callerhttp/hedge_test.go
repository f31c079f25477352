package callerhttp_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/callerhttp"
)

// stallingForwarder does not answer the first attempt of a call while stall is set. It answers all others at once.
type stallingForwarder struct {
	mu        sync.Mutex
	stall     bool
	refuse    bool
	calls     []core.Call
	cancelled chan core.NodeID
}

func (f *stallingForwarder) Forward(ctx context.Context, to core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	f.mu.Lock()
	f.calls = append(f.calls, *call)
	wait, refuse := f.stall && len(f.calls) == 1, f.refuse
	f.mu.Unlock()
	if refuse {
		return notRun(core.CauseQueueFull)
	}
	if wait {
		<-ctx.Done()
		f.cancelled <- to.Node
		return nil, core.OutcomeUnknown, ctx.Err()
	}
	return answer(http.StatusOK, strings.NewReader(string(to.Node)))
}

func (f *stallingForwarder) set(stall, refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stall, f.refuse = stall, refuse
	f.calls = nil
}

// Guards against a call that waits for one slow endpoint while another one could answer, and against hedges that run a call
// twice, multiply through nested calls, or add to an overload.
func TestSlowAttemptIsHedged(t *testing.T) {
	c := qt.New(t)
	f := &stallingForwarder{cancelled: make(chan core.NodeID, 10)}
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Forwarder = f })
	for range 150 {
		_, _, err := e.send(c, "GET", "/orders")
		c.Assert(err, qt.IsNil)
	}
	f.set(true, false)
	response, body, err := e.send(c, "GET", "/orders", "Parsleyport-Deadline-Ms", "5000")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "b")
	c.Assert(<-f.cancelled, qt.Equals, core.NodeID("a"))
	c.Assert(f.calls, qt.HasLen, 2)
	c.Assert([]any{f.calls[0].Hedge, f.calls[0].AttemptsLeft, f.calls[1].Hedge, f.calls[1].AttemptsLeft}, qt.DeepEquals, []any{false, 2, true, 1})
	e.endpoints.mu.Lock()
	done := e.endpoints.done
	e.endpoints.mu.Unlock()
	discarded := 0
	for _, each := range done[len(done)-2:] {
		if each.Discarded {
			c.Assert(each.Endpoint.Node, qt.Equals, core.NodeID("a"))
			discarded++
		}
	}
	c.Assert(discarded, qt.Equals, 1)

	assertNotHedged := func(method string, header ...string) {
		f.set(true, false)
		response, _, err := e.send(c, method, "/orders", append(header, "Parsleyport-Deadline-Ms", "200")...)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, "unknown")
		c.Assert(f.calls, qt.HasLen, 1)
	}
	assertNotHedged("POST")
	assertNotHedged("GET", "Parsleyport-Depth", "1")
	f.set(false, true)
	_, _, err = e.send(c, "GET", "/orders")
	c.Assert(err, qt.IsNil)
	assertNotHedged("GET")
}
