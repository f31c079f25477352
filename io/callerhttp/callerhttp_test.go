package callerhttp_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
	"parsleyport/core/rollout"
	"parsleyport/io/callerhttp"
)

// scriptedForwarder answers attempts by calling forward, and keeps the calls.
type scriptedForwarder struct {
	mu      sync.Mutex
	calls   []core.Call
	forward func(attempt int, to core.Endpoint) (*core.Answer, core.Outcome, error)
}

func (f *scriptedForwarder) Forward(_ context.Context, to core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	f.mu.Lock()
	f.calls = append(f.calls, *call)
	attempt := len(f.calls)
	f.mu.Unlock()
	return f.forward(attempt, to)
}

func (f *scriptedForwarder) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func answer(status int, body io.Reader) (*core.Answer, core.Outcome, error) {
	return &core.Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(body)}, core.OutcomeAnswered, nil
}

func notRun(cause core.RefusalCause) (*core.Answer, core.Outcome, error) {
	return nil, core.OutcomeNotRun, &core.Refusal{Cause: cause}
}

func unknown() (*core.Answer, core.Outcome, error) {
	return nil, core.OutcomeUnknown, errors.New("connection broke")
}

// entry is a server with a scripted forwarder and fixed endpoints.
type entry struct {
	*callerhttp.Server
	forwarder *scriptedForwarder
	endpoints *fixedEndpoints
}

func newEntry(c *qt.C, weights string, change func(*callerhttp.Options)) entry {
	e := entry{forwarder: &scriptedForwarder{}, endpoints: &fixedEndpoints{}}
	for _, name := range []core.NodeID{"a", "b", "c"} {
		e.endpoints.endpoints = append(e.endpoints.endpoints, core.Endpoint{Node: name, Service: "orders", Release: "v1", State: core.EndpointReady})
	}
	options := callerhttp.Options{
		Address: "127.0.0.1:0", Source: fixedSource{configuration: configuration(c, weights)}, ConfigurationConfirmed: func() bool { return true },
		Endpoints: e.endpoints, Picker: e.endpoints, Forwarder: e.forwarder, Evidence: noEvidence{},
	}
	if change != nil {
		change(&options)
	}
	server, stop, err := callerhttp.New(options)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	e.Server = server
	return e
}

func (e entry) send(c *qt.C, method, path string, header ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+e.Address()+path, strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against refused requests that are forwarded, and against refusals without outcome and cause.
func TestRefusedCallsAreNotForwarded(t *testing.T) {
	c := qt.New(t)
	confirmed := true
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.ConfigurationConfirmed = func() bool { return confirmed }
		o.MaxBodyBytes = 100
		o.CrashSuspected = func(f idempotency.Fingerprint) bool {
			return f == idempotency.FingerprintOf(&core.Call{Tenant: "shops", Route: "write", Method: "POST", Target: "/orders/deadly", Body: []byte("body")})
		}
	})
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		return answer(200, strings.NewReader(""))
	}
	for _, test := range []struct {
		path   string
		header []string
		cause  core.RefusalCause
	}{
		{path: "/nowhere", cause: core.CauseNoRoute},
		{path: "/orders/%2e%2e/nowhere", cause: core.CauseMalformedCall},
		{path: "/orders", header: []string{"Parsleyport-Depth", "12"}, cause: core.CauseTooDeep},
		{path: "/orders", header: []string{"Parsleyport-Depth", "-1"}, cause: core.CauseMalformedCall},
		{path: "/orders", header: []string{"Parsleyport-Attempts", "many"}, cause: core.CauseMalformedCall},
		{path: "/orders", header: []string{"Parsleyport-Deadline-Ms", "0"}, cause: core.CauseDeadline},
		{path: "/orders", header: []string{"Idempotency-Key", strings.Repeat("k", 300)}, cause: core.CauseMalformedCall},
		{path: "/orders/deadly?x=1", cause: core.CauseCrashSuspect},
	} {
		response, _, err := e.send(c, "POST", test.path, test.header...)
		c.Assert(err, qt.IsNil)
		status := map[core.RefusalCause]int{ // of invalid calls; all others get a status that allows a retry
			core.CauseNoRoute:       http.StatusNotFound,
			core.CauseMalformedCall: http.StatusBadRequest,
		}
		c.Assert(response.StatusCode, qt.Equals, cmp.Or(status[test.cause], http.StatusServiceUnavailable))
		c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, "not-run")
		c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(test.cause))
	}
	response, err := http.Post("http://"+e.Address()+"/orders", "", io.MultiReader(bytes.NewReader(make([]byte, 101)))) // chunked
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(core.CauseTooLarge))
	confirmed = false
	response, _, _ = e.send(c, "POST", "/orders")
	c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(core.CauseNotConfirmed))
	c.Assert(e.forwarder.attempts(), qt.Equals, 0)
	confirmed = true
	response, _, _ = e.send(c, "POST", "/orders", "Parsleyport-Depth", "11", "Parsleyport-Deadline-Ms", "900", "Parsleyport-Attempts", "1")
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(e.forwarder.calls[0].Depth, qt.Equals, 12)
	c.Assert(e.forwarder.calls[0].AttemptsLeft, qt.Equals, 1)
	c.Assert(time.Until(e.forwarder.calls[0].Deadline) <= 900*time.Millisecond, qt.IsTrue)
}

// Guards against a second run of a call that is not idempotent, "not run" after an attempt that may have run, a 503 while
// another endpoint could serve the call, and the loss of an earlier attempt's answer.
func TestOutcomeAfterRetries(t *testing.T) {
	type script []func() (*core.Answer, core.Outcome, error)
	ok := func() (*core.Answer, core.Outcome, error) { return answer(200, strings.NewReader("ok")) }
	refused := func() (*core.Answer, core.Outcome, error) { return notRun(core.CauseQueueFull) }
	dead := func() (*core.Answer, core.Outcome, error) { return notRun(core.CauseConnectFailed) }
	leaving := func() (*core.Answer, core.Outcome, error) { return notRun(core.CauseLeaving) }
	answers := func(status int, body io.Reader, header ...string) func() (*core.Answer, core.Outcome, error) {
		return func() (*core.Answer, core.Outcome, error) {
			a, outcome, err := answer(status, body)
			for i := 0; i < len(header); i += 2 {
				a.Header.Set(header[i], header[i+1])
			}
			return a, outcome, err
		}
	}
	failing, busy, gateway := answers(500, strings.NewReader("bad")), answers(503, strings.NewReader("busy")), answers(502, strings.NewReader("bad"))
	for _, test := range []struct {
		method   string
		script   script
		status   int
		outcome  string
		attempts int
	}{
		{method: "POST", script: script{unknown, ok}, status: 502, outcome: "unknown", attempts: 1},
		{method: "POST", script: script{refused, ok}, status: 200, outcome: "answered", attempts: 2},
		{method: "POST", script: script{refused, unknown, ok}, status: 502, outcome: "unknown", attempts: 2},
		{method: "POST", script: script{leaving, leaving, refused}, status: 503, outcome: "not-run", attempts: 5},
		{method: "POST", script: script{refused, refused, refused, ok}, status: 503, outcome: "not-run", attempts: 3},
		{method: "POST", script: script{dead, dead, dead, ok}, status: 503, outcome: "not-run", attempts: 3},
		{method: "GET", script: script{unknown, ok}, status: 200, outcome: "answered", attempts: 2},
		{method: "GET", script: script{unknown, refused, refused}, status: 502, outcome: "unknown", attempts: 3},
		{method: "GET", script: script{failing, ok}, status: 500, outcome: "answered", attempts: 1},
		{method: "GET", script: script{busy, gateway, ok}, status: 200, outcome: "answered", attempts: 3},
		{method: "GET", script: script{answers(504, strings.NewReader("late")), ok}, status: 504, outcome: "answered", attempts: 1},
		{method: "GET", script: script{busy, refused, unknown}, status: 503, outcome: "answered", attempts: 3},
		{method: "GET", script: script{answers(503, strings.NewReader(""), "Parsleyport-Outcome", "not-run"), ok}, status: 503, outcome: "answered", attempts: 1},
		{method: "GET", script: script{answers(503, strings.NewReader(strings.Repeat("x", 40_000))), ok}, status: 503, outcome: "answered", attempts: 1},
		{method: "GET", script: script{answers(503, &failingReader{left: 10}), ok}, status: 200, outcome: "answered", attempts: 2},
		{method: "POST", script: script{busy, ok}, status: 503, outcome: "answered", attempts: 1},
	} {
		c := qt.New(t)
		e := newEntry(c, allV1, nil)
		tried := make(map[core.NodeID]int)
		e.forwarder.forward = func(attempt int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
			tried[to.Node]++
			return test.script[min(attempt, len(test.script))-1]()
		}
		response, _, err := e.send(c, test.method, "/orders")
		c.Assert(err, qt.IsNil)
		comment := qt.Commentf("%s, %d attempts", test.method, e.forwarder.attempts())
		c.Assert(response.StatusCode, qt.Equals, test.status, comment)
		c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, test.outcome, comment)
		c.Assert(e.forwarder.attempts(), qt.Equals, test.attempts, comment)
		c.Assert(len(tried) >= min(test.attempts, 3), qt.IsTrue, qt.Commentf("tried %v", tried))
		c.Assert(len(e.endpoints.done), qt.Equals, test.attempts)
	}
}

// Guards against request bodies that fill the node's memory, and against a memory bound that leaks.
func TestBufferedBodyBytesAreBounded(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	finish := make(chan struct{})
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		<-finish
		return answer(200, strings.NewReader(""))
	}
	post := func() string {
		response, err := http.Post("http://"+e.Address()+"/orders", "", io.MultiReader(bytes.NewReader(make([]byte, 1<<20-1)))) // chunked
		if !c.Check(err, qt.IsNil) {
			return err.Error()
		}
		response.Body.Close()
		return response.Header.Get("Parsleyport-Outcome") + response.Header.Get("Parsleyport-Cause")
	}
	for range 2 {
		results := make(chan string)
		for range 40 { // 40 MiB
			go func() { results <- post() }()
		}
		c.Assert(<-results, qt.Equals, "not-run"+string(core.CauseQueueFull))
		close(finish)
		answered := 0
		for range 39 {
			if <-results == "answered" {
				answered++
			}
		}
		c.Assert(answered > 0, qt.IsTrue)
		finish = make(chan struct{})
	}
}

// Guards against a call that crashes a third backend server with its own retries after it has crashed two.
func TestCrashSuspectIsNotRetried(t *testing.T) {
	c := qt.New(t)
	var e entry
	e = newEntry(c, allV1, func(o *callerhttp.Options) {
		o.CrashSuspected = func(idempotency.Fingerprint) bool { return e.forwarder != nil && e.forwarder.attempts() == 2 }
	})
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) { return unknown() }
	response, _, err := e.send(c, "GET", "/orders")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get("Parsleyport-Outcome"), qt.Equals, "unknown")
	c.Assert(e.forwarder.attempts(), qt.Equals, 2)
}

// Guards against a call that is retried again and again at the only node, which accepts no calls.
func TestLeavingNodeIsNotRetried(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	e.endpoints.endpoints = e.endpoints.endpoints[:1]
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) { return notRun(core.CauseLeaving) }
	response, _, err := e.send(c, "POST", "/orders")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(core.CauseLeaving))
	c.Assert(e.forwarder.attempts(), qt.Equals, 1)
}

// swappedSource returns the next configuration once swap is set.
type swappedSource struct {
	fixedSource
	next *record.Configuration
	swap atomic.Bool
}

func (s *swappedSource) Current() *record.Configuration {
	if s.swap.Load() {
		return s.next
	}
	return s.configuration
}

// Guards against a call whose attempts use different configurations.
func TestRetriesUseOneConfiguration(t *testing.T) {
	c := qt.New(t)
	source := &swappedSource{fixedSource: fixedSource{configuration: configuration(c, allV1)}, next: record.Empty()}
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Source = source })
	e.forwarder.forward = func(attempt int, _ core.Endpoint) (*core.Answer, core.Outcome, error) {
		source.swap.Store(true)
		if attempt == 1 {
			return notRun(core.CauseConnectFailed)
		}
		return answer(200, strings.NewReader(""))
	}
	response, _, err := e.send(c, "POST", "/orders")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(response.Header.Get("Parsleyport-Revision"), qt.Equals, "7")
	response, _, err = e.send(c, "POST", "/orders")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(core.CauseNoRoute))
}

// Guards against refusing calls that other nodes can serve because attempts at a dead node used up the retry budget.
func TestRetriesOfDeadNodeCostNoBudget(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	e.forwarder.forward = func(_ int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
		if to.Node == "a" {
			return notRun(core.CauseConnectFailed)
		}
		return answer(200, strings.NewReader(""))
	}
	for range 100 {
		response, _, err := e.send(c, "POST", "/orders")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Assert(e.forwarder.attempts(), qt.Equals, 200)
}

// Guards against a retry storm when a service fails: the retry budget bounds the attempts of all calls together.
func TestRetryBudgetIsSharedByCalls(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) { return unknown() }
	began := time.Now()
	const calls = 200
	for range calls {
		response, _, err := e.send(c, "GET", "/orders")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	}
	seconds := int(time.Since(began).Seconds()) + 2
	c.Assert(e.forwarder.attempts()-calls <= calls/10+3*seconds, qt.IsTrue, qt.Commentf("%d attempts", e.forwarder.attempts()))
	c.Assert(e.forwarder.attempts() > calls, qt.IsTrue)
}

// failingReader fails after some bytes.
type failingReader struct{ left int }

func (r *failingReader) Read(target []byte) (int, error) {
	if r.left == 0 {
		return 0, errors.New("cut")
	}
	n := min(r.left, len(target))
	r.left -= n
	return n, nil
}

// Guards against a truncated answer that the caller takes for complete.
func TestTruncatedBodyAbortsConnection(t *testing.T) {
	c := qt.New(t)
	for _, length := range []int{0, 10, 200_000} {
		e := newEntry(c, allV1, nil)
		e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
			return answer(200, &failingReader{left: length})
		}
		_, body, err := e.send(c, "POST", "/orders")
		c.Assert(err, qt.IsNotNil, qt.Commentf("%d of %d bytes pass for the whole", len(body), length))
	}
}

// Guards against a canary release that gets more than its share, and against calls to a release that this node has disallowed.
func TestTrafficSplitBetweenReleases(t *testing.T) {
	c := qt.New(t)
	allowed := true
	e := newEntry(c, `{"upstream":"orders-v1","per-mille":900},{"upstream":"orders-v2","per-mille":100}`, func(o *callerhttp.Options) {
		o.ReleaseAllowed = func(_ core.ServiceName, release core.Release) bool { return release == "v1" || allowed }
	})
	counts := make(map[core.Release]int)
	e.forwarder.forward = func(_ int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
		counts[to.Release]++
		return answer(200, strings.NewReader(""))
	}
	send := func(n int) map[core.Release]int {
		clear(counts)
		for range n {
			_, _, err := e.send(c, "POST", "/orders") // a GET may be hedged, and the hedge would be counted too
			c.Assert(err, qt.IsNil)
		}
		return counts
	}
	c.Assert(send(100)["v1"], qt.Equals, 100) // v2 has no endpoint, so the larger share takes its calls
	e.endpoints.endpoints = append(e.endpoints.endpoints, core.Endpoint{Node: "d", Release: "v2", State: core.EndpointReady})
	got := send(1000)["v2"]
	c.Assert(got > 50 && got < 160, qt.IsTrue, qt.Commentf("%d of 1000 calls", got)) // 5 standard deviations around 100
	allowed = false
	c.Assert(send(100)["v2"], qt.Equals, 0)
	allowed = true
	e.endpoints.endpoints = e.endpoints.endpoints[3:]
	got = send(100)["v2"]
	c.Assert(got < 50, qt.IsTrue, qt.Commentf("%d of 100 calls", got)) // v1 has no endpoint; its calls must not go to the smaller share
}

// Guards against a planned stop that cuts off a request on a new or an idle connection.
func TestDrainAnswersRequestsInProgress(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	begun, finish := make(chan struct{}), make(chan struct{})
	e.forwarder.forward = func(attempt int, _ core.Endpoint) (*core.Answer, core.Outcome, error) {
		if attempt == 2 {
			close(begun)
			<-finish
		}
		return answer(200, strings.NewReader(fmt.Sprint(attempt)))
	}
	idle, slow := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	get := func(client *http.Client) (string, error) {
		response, err := client.Get("http://" + e.Address() + "/orders")
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	_, err := get(idle)
	c.Assert(err, qt.IsNil)
	answers := make(chan string, 1)
	go func() { body, _ := get(slow); answers <- body }()
	<-begun
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(context.Background()) }()
	for range 10 { // the server answers on the idle connection once more and closes it
		body, err := get(idle)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Not(qt.Equals), "")
	}
	select {
	case <-drained:
		t.Fatal("drain returned with a request in progress")
	default:
	}
	close(finish)
	c.Assert(<-answers, qt.Equals, "2")
	c.Assert(<-drained, qt.IsNil)
	_, err = get(idle)
	c.Assert(err, qt.IsNotNil)
}

// Guards against a planned stop that closes a connection without an answer while a request is being read: the first request of a
// connection, or one that begins on an idle connection during the stop.
func TestDrainAnswersPartiallyReadRequest(t *testing.T) {
	const whole = "GET /orders HTTP/1.1\r\nHost: n\r\n\r\n"
	for name, requests := range map[string]int{"first request": 1, "second request": 2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newEntry(c, allV1, nil)
			e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
				return answer(200, strings.NewReader("done"))
			}
			caller, err := net.Dial("tcp", e.Address())
			c.Assert(err, qt.IsNil)
			defer caller.Close()
			answers := bufio.NewReader(caller)
			for range requests - 1 {
				_, err = io.WriteString(caller, whole)
				c.Assert(err, qt.IsNil)
				c.Assert(readStatus(c, answers), qt.Equals, http.StatusOK)
			}
			_, err = io.WriteString(caller, whole[:len(whole)/2])
			c.Assert(err, qt.IsNil)
			drained := make(chan error, 1)
			go func() { drained <- e.Drain(context.Background()) }()
			for {
				other, err := net.Dial("tcp", e.Address())
				if err != nil {
					break // the listener is closed
				}
				c.Assert(other.Close(), qt.IsNil)
				time.Sleep(time.Millisecond)
			}
			_, err = io.WriteString(caller, whole[len(whole)/2:])
			c.Assert(err, qt.IsNil)
			c.Assert(readStatus(c, answers), qt.Equals, http.StatusOK)
			c.Assert(<-drained, qt.IsNil)
		})
	}
}

func readStatus(c *qt.C, answers *bufio.Reader) int {
	c.Helper()
	response, err := http.ReadResponse(answers, nil)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode
}

// Guards against capacity refusals that are missing in the evidence about a release, and against other refusals that are counted
// as such.
func TestCapacityRefusalsAreRecorded(t *testing.T) {
	c := qt.New(t)
	recorder := rollout.NewRecorder("n", 1)
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Evidence = recorder })
	for _, test := range []struct {
		cause    core.RefusalCause
		refusals int
		rejected uint64
	}{
		{cause: core.CauseOverloaded, rejected: 1},
		{cause: core.CauseOverloaded, refusals: 2, rejected: 1}, // once for each call
		{cause: core.CauseQueueFull, rejected: 1},
		{cause: core.CauseDeadline, rejected: 1},
		{cause: core.CauseLeaving},
		{cause: core.CauseConnectFailed},
		{cause: core.CauseTenantShare},
	} {
		refusals := max(test.refusals, 1)
		e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
			if refusals > 0 {
				refusals--
				return nil, core.OutcomeNotRun, &core.Refusal{Cause: test.cause}
			}
			return answer(200, strings.NewReader("done"))
		}
		before := rejectedCalls(recorder)
		_, _, err := e.send(c, "GET", "/orders")
		c.Assert(err, qt.IsNil)
		c.Assert(rejectedCalls(recorder)-before, qt.Equals, test.rejected, qt.Commentf("%s", test.cause))
	}
}

func rejectedCalls(recorder *rollout.Recorder) uint64 {
	return lo.SumBy(recorder.Counts(), func(count core.EvidenceCount) uint64 { return count.Calls - count.Answered() })
}

// Guards against forwarding a call whose caller has disconnected. A suspended process reads the call and the end of its connection
// at the same time when it resumes.
func TestCallOfDisconnectedCallerIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		caller, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(caller, "GET /orders HTTP/1.1\r\nHost: n\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert(caller.Close(), qt.IsNil)
		var forwarded atomic.Int64
		e := newEntry(c, allV1, func(o *callerhttp.Options) {
			o.Listener = listener
			o.DrainPeriod = time.Millisecond
		})
		e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
			forwarded.Add(1)
			return answer(200, strings.NewReader("done"))
		}
		_, _, err = e.send(c, "GET", "/orders") // accepted after the other connection
		c.Assert(err, qt.IsNil)
		c.Assert(e.Drain(context.Background()), qt.IsNil)
		c.Assert(forwarded.Load(), qt.Equals, int64(1))
	}
}
