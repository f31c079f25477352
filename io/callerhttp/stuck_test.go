package callerhttp_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

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
				if r.URL.Path == "/orders/later" {
					time.Sleep(20 * time.Millisecond) // as long as most, so that it counts as work
				}
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
				ReportStuckCalls: true,
				Metrics:          set,
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
				if err != nil {
					answers <- err.Error()
					return
				}
				answers <- fmt.Sprint(response.StatusCode, " ", body)
			}()
			<-begun
			go func() { _ = stopping.Drain(t.Context()) }()
			suspected := set.GetOrCreateCounter("parsleyport_backend_stuck_calls_total")
			for giveUp := time.Now().Add(10 * time.Second); suspected.Get() == 0 && time.Now().Before(giveUp); {
				_, _, err := other.send(c, "GET", "/orders/later")
				c.Assert(err, qt.IsNil)
			}
			c.Assert(suspected.Get(), qt.Equals, uint64(1))
			select {
			case early := <-answers:
				c.Fatalf("answered while the backend server works: %s", early)
			case <-time.After(100 * time.Millisecond):
			}
			close(finish)
			c.Assert(<-answers, qt.Equals, "200 whole")
		})
	}
}

// stuckForwarder reports the first attempt as stuck, and lets it go on until finish is closed. The others have the given results.
type stuckForwarder struct {
	finish chan struct{}       // closed by the latest of the later attempts if none is answered
	later  []core.RefusalCause // of the later attempts; empty for an answer, brokenLink for an unknown outcome
	mu     sync.Mutex
	calls  []core.Call
}

const brokenLink core.RefusalCause = "broken-link"

func (f *stuckForwarder) Forward(ctx context.Context, to core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	f.mu.Lock()
	n := len(f.calls)
	f.calls = append(f.calls, *call)
	f.mu.Unlock()
	if n == 0 {
		call.OnStuck()
		select {
		case <-f.finish:
			return answer(http.StatusOK, strings.NewReader(string(to.Node)))
		case <-ctx.Done():
			return nil, core.OutcomeUnknown, ctx.Err()
		}
	}
	if f.later[n-1] == "" {
		return answer(http.StatusOK, strings.NewReader(string(to.Node)))
	}
	if n == len(f.later) {
		defer close(f.finish)
	}
	if f.later[n-1] == brokenLink {
		return unknown()
	}
	return notRun(f.later[n-1])
}

// resultOf returns the first result of a node, which may be reported shortly after the answer has been sent.
func (f *fixedEndpoints) resultOf(node core.NodeID) core.PickResult {
	for {
		f.mu.Lock()
		i := slices.IndexFunc(f.done, func(r core.PickResult) bool { return r.Endpoint.Node == node })
		if i >= 0 {
			defer f.mu.Unlock()
			return f.done[i]
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Guards against a call that waits for a hanging backend server although another one could answer it, and against a second attempt that
// ends the first one without an answer in its place.
func TestSecondAttemptReplacesStuckOneOnlyWithAnAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		later      []core.RefusalCause
		attempts   int // allowed
		answeredBy string
		failed     bool // the endpoint of the first attempt
	}{
		"answered":               {attempts: 2, later: []core.RefusalCause{""}, answeredBy: "b", failed: true},
		"refused, then answered": {attempts: 2, later: []core.RefusalCause{core.CauseQueueFull, ""}, answeredBy: "c", failed: true},
		"refused by all":         {attempts: 2, later: []core.RefusalCause{core.CauseQueueFull, core.CauseDeadline}, answeredBy: "a"},
		"refused for good":       {attempts: 2, later: []core.RefusalCause{core.CauseTenantShare}, answeredBy: "a"},
		"lost, then answered":    {attempts: 3, later: []core.RefusalCause{brokenLink, ""}, answeredBy: "c", failed: true},
		"lost":                   {attempts: 3, later: []core.RefusalCause{brokenLink, brokenLink}, answeredBy: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := &stuckForwarder{
				finish: make(chan struct{}),
				later:  test.later,
			}
			var lines bytes.Buffer
			e := newEntry(c, allV1, func(o *callerhttp.Options) {
				o.Forwarder, o.DisableHedging, o.FreeCapacityRetries = f, true, 1
				o.Logger = zerolog.New(&lines)
				o.RetryBudget = retry.BudgetOptions{Window: time.Second, MinRetries: 10}
			})
			response, body, err := e.send(c, "GET", "/orders", "Parsleyport-Attempts", strconv.Itoa(test.attempts))
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
			c.Assert(body, qt.Equals, test.answeredBy)
			c.Assert(f.calls, qt.HasLen, 1+len(test.later))
			for _, call := range f.calls[1:] {
				c.Assert(call.Hedge, qt.IsFalse)
			}
			c.Assert(e.endpoints.resultOf("a").Failed, qt.Equals, test.failed)
			c.Assert(lines.String(), qt.Matches, `(?s).*"event":"stuck-call-ended".*"endpoint":"a".*"second-attempt":"begun".*"answered-by":"`+test.answeredBy+`".*`)
		})
	}
}

// Guards against attempts for a call that has ended, and endpoints that count as failed without having been contacted.
func TestNoSecondAttemptAfterTheCallHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		listener := &blockingListener{closed: make(chan struct{})}
		listener.close = sync.OnceFunc(func() { close(listener.closed) })
		f := &queueingForwarder{}
		e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Listener, o.Forwarder, o.DisableHedging = listener, f, true })
		recorder, request := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/orders", nil)
		request.Header.Set("Parsleyport-Deadline-Ms", "1000")
		e.ServeHTTP(recorder, request)
		c.Assert(recorder.Code, qt.Equals, http.StatusGatewayTimeout)
		c.Assert(f.nodes, qt.DeepEquals, []core.NodeID{"a", "b"})
		c.Assert(slices.ContainsFunc(e.endpoints.done, func(r core.PickResult) bool { return r.Endpoint.Node != "a" && r.Failed }), qt.IsFalse)
	})
}

// queueingForwarder reports the first attempt of a call as stuck, and lets the others wait in a queue until the call ends.
type queueingForwarder struct {
	mu    sync.Mutex
	nodes []core.NodeID
}

func (f *queueingForwarder) Forward(ctx context.Context, to core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	f.mu.Lock()
	f.nodes = append(f.nodes, to.Node)
	first := len(f.nodes) == 1
	f.mu.Unlock()
	if first {
		call.OnStuck()
	}
	<-ctx.Done()
	if first {
		return nil, core.OutcomeUnknown, ctx.Err()
	}
	return notRun(core.CauseRevoked)
}
