package callerhttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/idempotency"
	"parsleyport/io/callerhttp"
)

// blockingListener accepts no connections until it is closed.
type blockingListener struct {
	net.Listener
	closed chan struct{}
	close  func()
}

func (l *blockingListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *blockingListener) Close() error              { l.close(); return nil }

// waitTestEntry is an entry without sockets, for tests in a synctest bubble. The test announces its endpoints.
type waitTestEntry struct {
	entry
	c              *qt.C
	changed        chan struct{}
	calls          sync.WaitGroup
	endpointsKnown atomic.Bool // result of Options.EndpointsKnown
	claims         atomic.Int64
}

// Claim and Settle implement callerhttp.KeyClaimer.
func (e *waitTestEntry) Claim(context.Context, *core.Call) (idempotency.Verdict, *idempotency.RecordedAnswer) {
	e.claims.Add(1)
	return idempotency.VerdictGranted, nil
}

func (*waitTestEntry) Settle(context.Context, *core.Call, idempotency.Verdict, *idempotency.RecordedAnswer) {
}

func runWaitTest(t *testing.T, test func(c *qt.C, e *waitTestEntry)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		listener := &blockingListener{closed: make(chan struct{})}
		listener.close = sync.OnceFunc(func() { close(listener.closed) })
		e := &waitTestEntry{c: c, changed: make(chan struct{})}
		e.entry = newEntry(c, allV1, func(o *callerhttp.Options) {
			o.Listener, o.Keys = listener, e
			o.EndpointsKnown = func(core.ServiceName) bool { return e.endpointsKnown.Load() }
			o.Picker = balancer.New(balancer.Options{Seed: 1})
			o.EndpointsChanged = func(core.ServiceName) <-chan struct{} {
				e.endpoints.mu.Lock()
				defer e.endpoints.mu.Unlock()
				return e.changed
			}
		})
		e.forwarder.forward = func(_ int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
			if to.Sequence == 0 {
				return notRun(core.CauseNoBackend)
			}
			return answer(200, strings.NewReader(""))
		}
		test(c, e)
		e.calls.Wait()
	})
}

func (e *waitTestEntry) announce(endpoints ...core.Endpoint) {
	e.endpoints.mu.Lock()
	defer e.endpoints.mu.Unlock()
	e.endpoints.endpoints = endpoints
	close(e.changed)
	e.changed = make(chan struct{})
}

// call sends a call to the handler and returns the response and the time that it took.
func (e *waitTestEntry) call(header ...string) (*http.Response, time.Duration) {
	request := httptest.NewRequest("POST", "/orders", nil)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder, began := httptest.NewRecorder(), time.Now()
	e.ServeHTTP(recorder, request)
	return recorder.Result(), time.Since(began)
}

func restarted(node core.NodeID) core.Endpoint {
	return core.Endpoint{Node: node, Sequence: 1, Service: "orders", Release: "v1", State: core.EndpointReady}
}

// Guards against refusing calls while all nodes of a service restart within a second: the old endpoints answer
// "no-backend-server" or are gone, and the new ones are not yet known.
func TestCallWaitsForAnEndpoint(t *testing.T) {
	for name, old := range map[string][]core.Endpoint{
		"none known": nil,
		"old known":  {{Node: "a", Service: "orders", Release: "v1", State: core.EndpointReady}},
	} {
		t.Run(name, func(t *testing.T) {
			runWaitTest(t, func(c *qt.C, e *waitTestEntry) {
				e.announce(old...)
				e.calls.Go(func() {
					response, took := e.call()
					c.Check(response.StatusCode, qt.Equals, 200, qt.Commentf("%v", response.Header))
					c.Check(took, qt.Equals, 1100*time.Millisecond)
				})
				time.Sleep(1100 * time.Millisecond)
				e.announce(restarted("a"))
			})
		})
	}
}

// Guards against a waiting call that does not reach a backend server which restarted within its lease and so caused no new
// announcement, and against refusing a call because the service has more dead endpoints than the call has free retries.
func TestWaitingCallProbesUnusableEndpoints(t *testing.T) {
	runWaitTest(t, func(c *qt.C, e *waitTestEntry) {
		var dead []core.Endpoint
		for node := range 16 {
			dead = append(dead, core.Endpoint{Node: core.NodeID(rune('a' + node)), Service: "orders", Release: "v1", State: core.EndpointReady})
		}
		e.announce(dead...)
		began := time.Now()
		e.forwarder.forward = func(_ int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
			if time.Since(began) < time.Second {
				return notRun(core.CauseNoBackend)
			}
			return answer(200, strings.NewReader(""))
		}
		response, took := e.call()
		c.Assert(response.StatusCode, qt.Equals, 200, qt.Commentf("%v", response.Header))
		c.Assert(took < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		c.Assert(e.forwarder.attempts() <= 16, qt.IsTrue, qt.Commentf("%d", e.forwarder.attempts()))
	})
}

// Guards against a call that waits until its deadline, and against a service without backend servers whose waiting calls
// block those of other services.
func TestWaitsAreBounded(t *testing.T) {
	runWaitTest(t, func(c *qt.C, e *waitTestEntry) {
		e.announce()
		response, took := e.call("Parsleyport-Deadline-Ms", "2000")
		c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, "no-endpoint")
		c.Assert(took, qt.Equals, 1500*time.Millisecond)
		for range 256 {
			e.calls.Go(func() { e.call("Parsleyport-Deadline-Ms", "2000") })
		}
		synctest.Wait()
		response, took = e.call("Parsleyport-Deadline-Ms", "2000")
		c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, "no-endpoint")
		c.Assert(took, qt.Equals, time.Duration(0))
		e.calls.Wait()
		_, took = e.call("Parsleyport-Deadline-Ms", "2000")
		c.Assert(took, qt.Equals, 1500*time.Millisecond)
	})
}

// Guards against a keyed call that runs twice because its entry node does not know all holders of the key. Until it does, the call
// must not be claimed. It must not be refused as not run either, since an earlier call with the key may have run.
func TestKeyedCallWaitsForAllKeyHolders(t *testing.T) {
	runWaitTest(t, func(c *qt.C, e *waitTestEntry) {
		e.announce(restarted("a"))
		e.calls.Go(func() {
			response, took := e.call("Idempotency-Key", "k")
			c.Check(response.StatusCode, qt.Equals, 200)
			c.Check(took, qt.Equals, time.Second)
		})
		response, took := e.call("Idempotency-Key", "k", "Parsleyport-Deadline-Ms", "800")
		c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, "unknown")
		c.Assert(took, qt.Equals, 600*time.Millisecond)
		c.Assert(e.claims.Load(), qt.Equals, int64(0))
		time.Sleep(400 * time.Millisecond)
		e.endpointsKnown.Store(true)
		e.announce(restarted("a"))
		e.calls.Wait()
		c.Assert(e.claims.Load(), qt.Equals, int64(1))
	})
}
