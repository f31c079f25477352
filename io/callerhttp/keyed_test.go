package callerhttp_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/io/callerhttp"
	"parsleyport/io/nodepeer"
)

// newService reports that the service is new, so that its key holders may be younger than the resend window.
func newService(core.ServiceName) (time.Time, bool) { return time.Now(), true }

// claimsOf returns the claims of an entry node that holds no keys.
func claimsOf(c *qt.C, dialer *nodepeer.Dialer, endpoints core.EndpointSource, since func(core.ServiceName) (time.Time, bool)) *nodepeer.Claims {
	own, stop, err := nodepeer.NewServer(nodepeer.ServerOptions{Address: "127.0.0.1:0"})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	claims, stopClaims, err := nodepeer.NewClaims(nodepeer.ClaimsOptions{
		Self: "entry", Server: own, Dialer: dialer, Endpoints: endpoints, ServiceSince: since,
		Services: func() []core.ServiceName { return []core.ServiceName{"orders"} },
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stopClaims)
	return claims
}

// Guards against a keyed call that runs twice when it is resent to any entry node, at the same time or later.
func TestKeyedCallRunsOnce(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "run %d", runs.Add(1))
	}))
	c.Cleanup(backend.Close)
	endpoints := &fixedEndpoints{}
	var nodes []node
	for i := range 3 {
		nodes = append(nodes, startNode(t, backend, core.EndpointReady))
		endpoints.endpoints = append(endpoints.endpoints, endpointOf(core.NodeID(fmt.Sprint(i)), nodes[i]))
	}
	newKeyed := func(since func(core.ServiceName) (time.Time, bool)) entry {
		dialer, stop, err := nodepeer.NewDialer(nodepeer.DialerOptions{})
		c.Assert(err, qt.IsNil)
		c.Cleanup(stop)
		return newEntry(c, allV1, func(o *callerhttp.Options) {
			o.Endpoints, o.Picker, o.Forwarder = endpoints, endpoints, dialer
			o.Keys = claimsOf(c, dialer, endpoints, since)
		})
	}
	entries := []entry{newKeyed(newService), newKeyed(newService)}
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			response, body, err := entries[i%2].send(c, "POST", "/orders", "Idempotency-Key", "once")
			c.Check(err, qt.IsNil)
			c.Check(response.Header.Get("Parsleyport-Outcome"), qt.Equals, "answered")
			c.Check(body, qt.Equals, "run 1")
		})
	}
	callers.Wait()
	c.Assert(runs.Load(), qt.Equals, int64(1))

	response, _, err := entries[0].send(c, "POST", "/orders/other", "Idempotency-Key", "once")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(core.CauseDuplicateCall))

	fresh := newKeyed(nil) // the holders are younger than the resend window, and the service is not known to be new
	response, _, err = fresh.send(c, "POST", "/orders", "Idempotency-Key", "new")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, "unknown")
	c.Assert(runs.Load(), qt.Equals, int64(1))
}

// Guards against a keyed call that was not run and blocks its resend, and against a second run of one that may have run.
func TestResendAfterFailedKeyedCall(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.NotFoundHandler())
	c.Cleanup(backend.Close)
	holder := startNode(t, backend, core.EndpointReady)
	endpoints := &fixedEndpoints{endpoints: []core.Endpoint{endpointOf("a", holder)}}
	dialer, stop, err := nodepeer.NewDialer(nodepeer.DialerOptions{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.Endpoints, o.Picker = endpoints, endpoints
		o.Keys = claimsOf(c, dialer, endpoints, newService)
	})
	for _, test := range []struct {
		key      string
		first    func() (*core.Answer, core.Outcome, error)
		outcome  string
		resend   string
		attempts int // of the call and its resend
	}{
		{key: "not-run", first: func() (*core.Answer, core.Outcome, error) { return notRun(core.CauseQueueFull) }, outcome: "not-run", resend: "answered", attempts: 4},
		{key: "unknown", first: unknown, outcome: "unknown", resend: "unknown", attempts: 1},
		{key: "cut", first: func() (*core.Answer, core.Outcome, error) { return answer(200, &failingReader{left: 9}) }, resend: "unknown", attempts: 1},
		{key: "too-long", first: func() (*core.Answer, core.Outcome, error) {
			return answer(200, strings.NewReader(strings.Repeat("x", 70_000)))
		}, outcome: "answered", resend: "unknown", attempts: 1},
	} {
		e.forwarder.calls = nil
		e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) { return test.first() }
		response, _, err := e.send(c, "POST", "/orders", "Idempotency-Key", test.key)
		if test.outcome != "" {
			c.Assert(err, qt.IsNil)
			c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, test.outcome, qt.Commentf("key %s", test.key))
		}
		e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
			return answer(200, strings.NewReader("ok"))
		}
		response, _, err = e.send(c, "POST", "/orders", "Idempotency-Key", test.key)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, test.resend, qt.Commentf("key %s", test.key))
		c.Assert(e.forwarder.attempts(), qt.Equals, test.attempts, qt.Commentf("key %s", test.key))
	}
}

// claimContextRecorder passes on the context of the first claim, which ends when the entry node notices that the caller has
// disconnected.
type claimContextRecorder struct {
	callerhttp.KeyClaimer
	claimed chan context.Context
}

func (w claimContextRecorder) Claim(ctx context.Context, call *core.Call) (idempotency.Verdict, *idempotency.RecordedAnswer) {
	select {
	case w.claimed <- ctx:
	default:
	}
	return w.KeyClaimer.Claim(ctx, call)
}

// Guards against losing the answer of a keyed call whose caller disconnects while it runs.
func TestKeyedCallCompletesAfterCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	begun, finish, claimed := make(chan struct{}), make(chan struct{}), make(chan context.Context, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		fmt.Fprint(w, "done")
	}))
	c.Cleanup(backend.Close)
	holder := startNode(t, backend, core.EndpointReady)
	endpoints := &fixedEndpoints{endpoints: []core.Endpoint{endpointOf("a", holder)}}
	dialer, stop, err := nodepeer.NewDialer(nodepeer.DialerOptions{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.Endpoints, o.Picker, o.Forwarder = endpoints, endpoints, dialer
		o.Keys = claimContextRecorder{KeyClaimer: claimsOf(c, dialer, endpoints, newService), claimed: claimed}
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+e.Address()+"/orders", strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Idempotency-Key", "k")
	gone := make(chan error, 1)
	go func() { _, err := http.DefaultClient.Do(request); gone <- err }()
	<-begun
	cancel()
	c.Assert(<-gone, qt.IsNotNil)
	<-(<-claimed).Done()
	resent := make(chan string, 1)
	go func() { _, body, _ := e.send(c, "POST", "/orders", "Idempotency-Key", "k"); resent <- body }()
	close(finish)
	c.Assert(<-resent, qt.Equals, "done")
}
