package callerhttp_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/retry"
	"parsleyport/io/backendhttp"
	"parsleyport/io/callerhttp"
	"parsleyport/io/nodepeer"
)

// Guards against a call that is broken off at a backend server that works on it because later calls are completed before it, and is
// answered with a failure in its place, also after SIGTERM.
func TestCallAtWorkIsNotGivenUpForLaterCalls(t *testing.T) {
	for name, test := range map[string]struct {
		attempts string
		budget   retry.BudgetOptions
	}{
		"no attempt left": {attempts: "1"},
		"no retry budget": {attempts: "2", budget: retry.BudgetOptions{Window: time.Second, Ratio: 1e-9}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			begun, finish := make(chan struct{}, 10), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/orders/long" {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body) // otherwise net/http does not notice the end of the connection
				begun <- struct{}{}
				select {
				case <-finish:
					fmt.Fprint(w, "whole")
				case <-r.Context().Done():
				}
			}))
			c.Cleanup(backend.Close)
			set := metrics.NewSet()
			n := startNodeOf(t, backend, core.EndpointReady, backendhttp.Options{
				EndStuckCalls: true,
				Metrics:       set,
			})
			dialer, stop, err := nodepeer.NewDialer(nodepeer.DialerOptions{})
			c.Assert(err, qt.IsNil)
			c.Cleanup(stop)
			endpoints := &fixedEndpoints{endpoints: []core.Endpoint{endpointOf("b", n)}}
			start := func(change func(*callerhttp.Options)) entry {
				return newEntry(c, allV1, func(o *callerhttp.Options) {
					o.Endpoints, o.Picker, o.Forwarder = endpoints, endpoints, dialer
					o.RetryBudget = test.budget
					change(o)
				})
			}
			stopping := start(func(o *callerhttp.Options) { o.DrainPeriod = time.Minute })
			other := start(func(*callerhttp.Options) {})
			for range 50 {
				_, _, err := other.send(c, "GET", "/orders/short")
				c.Assert(err, qt.IsNil)
			}

			answers := make(chan string, 1)
			go func() {
				response, body, err := stopping.send(c, "GET", "/orders/long", "Parsleyport-Attempts", test.attempts)
				if c.Check(err, qt.IsNil) {
					answers <- fmt.Sprint(response.StatusCode, " ", body)
				}
			}()
			<-begun
			go func() { _ = stopping.Drain(t.Context()) }()
			suspected := set.GetOrCreateCounter("parsleyport_backend_stuck_calls_total")
			for giveUp := time.Now().Add(10 * time.Second); suspected.Get() == 0 && time.Now().Before(giveUp); {
				_, _, err := other.send(c, "GET", "/orders/short")
				c.Assert(err, qt.IsNil)
			}
			c.Assert(suspected.Get(), qt.Equals, uint64(1))
			select {
			case early := <-answers:
				c.Fatalf("answered while the backend server works: %s", early)
			case <-time.After(100 * time.Millisecond): // stuckCloseDelay is 10 ms
			}
			close(finish)
			c.Assert(<-answers, qt.Equals, "200 whole")
		})
	}
}
