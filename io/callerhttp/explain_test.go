package callerhttp_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/io/callerhttp"
)

// Guards against an explanation that sends the request, or that names endpoints to which it would not go.
func TestExplanationOfARequestSendsNothing(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, `{"upstream": "orders-v1", "per-mille": 1000}`, func(o *callerhttp.Options) {
		o.Picker = balancer.New(balancer.Options{Policy: balancer.PolicyLeastCompletion})
	})
	got := e.Explain(time.Now(), callerhttp.Query{Method: "GET", Host: "h", Path: "/orders?x=1"})
	c.Assert(got.Refused, qt.Equals, core.RefusalCause(""))
	c.Assert(got.Service, qt.Equals, core.ServiceName("orders"))
	c.Assert(got.Releases, qt.HasLen, 1)
	c.Assert(got.Releases[0].Endpoints, qt.HasLen, 3)
	c.Assert(got.Releases[0].Likely, qt.Not(qt.Equals), core.NodeID(""))
	c.Assert(e.Explain(time.Now(), callerhttp.Query{Method: "GET", Path: "/none"}).Refused, qt.Equals, core.CauseNoRoute)
	c.Assert(e.Explain(time.Now(), callerhttp.Query{Method: "GET", Path: "none"}).Refused, qt.Equals, core.CauseMalformedCall)
	c.Assert(e.forwarder.attempts(), qt.Equals, 0)
}
