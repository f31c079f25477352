package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
	"github.com/juju/errors"

	"parsleyport/core"
)

// blockingListener accepts no connections until it is closed.
type blockingListener struct{ closed chan struct{} }

func (l blockingListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l blockingListener) Close() error              { close(l.closed); return nil }
func (l blockingListener) Addr() net.Addr            { return &net.TCPAddr{} }

// fakeBackend is a backend server on pipes that counts the requests that it has read.
type fakeBackend struct {
	requests atomic.Int64
	refuse   bool
	respond  func(conn net.Conn, request *http.Request) // writes the answer; nil means a short 200
	mu       sync.Mutex
	conns    []net.Conn
}

func (b *fakeBackend) dial(context.Context, string) (net.Conn, error) {
	if b.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	b.mu.Lock()
	b.conns = append(b.conns, far)
	b.mu.Unlock()
	go func() {
		defer far.Close()
		for reader := bufio.NewReader(far); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.ReadAll(request.Body)
			b.requests.Add(1)
			if b.respond == nil {
				fmt.Fprint(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				continue
			}
			b.respond(far, request)
		}
	}()
	return near, nil
}

func (b *fakeBackend) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		conn.Close()
	}
}

type fixture struct {
	*Server
	backend *fakeBackend
	mu      sync.Mutex
	states  []core.EndpointState
	crashes []Crash
}

func readyAnnouncement(run string) Announcement {
	return Announcement{Service: "orders", Release: "v1", Address: "127.0.0.1:1", Slots: 1, State: core.EndpointReady, Run: run}
}

func startFixture(t *testing.T) *fixture {
	f := &fixture{backend: &fakeBackend{}}
	server, stop, err := New(Options{
		Listener: blockingListener{closed: make(chan struct{})},
		Dial:     f.backend.dial,
		OnChange: func(a Announcement) { f.mu.Lock(); f.states = append(f.states, a.State); f.mu.Unlock() },
		OnCrash:  func(crash Crash) { f.mu.Lock(); f.crashes = append(f.crashes, crash); f.mu.Unlock() },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.backend.kill(); stop() })
	f.Server = server
	return f
}

func newTestCall(body string) *core.Call {
	return &core.Call{ID: "x", Service: "orders", Release: "v1", Method: "POST", Target: "/a?b=c", Host: "h", Body: []byte(body), Deadline: time.Now().Add(2 * time.Second)}
}

func (f *fixture) handleCall(c *qt.C, call *core.Call) (string, core.Outcome, error) {
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	answer, outcome, err := f.Handle(ctx, call)
	if outcome != core.OutcomeAnswered {
		return "", outcome, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), outcome, err
}

func causeOf(err error) core.RefusalCause {
	var refusal *core.Refusal
	if errors.As(err, &refusal) {
		return refusal.Cause
	}
	return ""
}

// recordingAdmission is an Admission that admits every call and records the results.
type recordingAdmission []CallResult

func (a *recordingAdmission) Acquire(context.Context, *core.Call) (func(CallResult), *core.Refusal) {
	return func(result CallResult) { *a = append(*a, result) }, nil
}

func (a *recordingAdmission) Load(core.RouteName) core.Load { return core.Load{} }

func (a *recordingAdmission) SetSlots(int) {}

// Guards against a limiter that gets an overload answer reported as a mere failure, or an overload refusal of another node as
// overload of its own backend server.
func TestResultsReportedToAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var got recordingAdmission
		f := startFixture(t)
		f.admission = &got
		f.announce(time.Now(), readyAnnouncement("1"))
		for _, head := range []string{"200 OK", "503 Busy", "429 Busy", "503 Busy\r\nParsleyport-Outcome: not-run", "500 Bad", "404 None"} {
			f.backend.respond = func(conn net.Conn, _ *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nno", head)
			}
			_, outcome, err := f.handleCall(c, newTestCall(""))
			c.Assert(err, qt.IsNil)
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
		}
		c.Assert(got, qt.DeepEquals, recordingAdmission{ResultServed, ResultOverloaded, ResultOverloaded, ResultFailed, ResultFailed, ResultServed})
	})
}

// Guards against the outcome not-run for a call that the backend server has received, and the reverse.
func TestOutcomesMatchWhatBackendServerReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		for _, step := range []struct {
			prepare  func()
			outcome  core.Outcome
			cause    core.RefusalCause
			requests int64
		}{
			{prepare: func() {}, outcome: core.OutcomeNotRun, cause: core.CauseNoBackend},
			{prepare: func() { a := readyAnnouncement("1"); a.State = core.EndpointStarting; f.announce(time.Now(), a) }, outcome: core.OutcomeNotRun, cause: core.CauseNoBackend},
			{prepare: func() { f.announce(time.Now(), readyAnnouncement("1")); f.backend.refuse = true }, outcome: core.OutcomeNotRun, cause: core.CauseBackendRefused},
			{prepare: func() { f.backend.refuse = false }, outcome: core.OutcomeAnswered, requests: 1},
			{prepare: func() { f.backend.respond = func(conn net.Conn, _ *http.Request) { conn.Close() } }, outcome: core.OutcomeUnknown, requests: 2},
			{prepare: func() {
				f.backend.respond = func(net.Conn, *http.Request) { time.Sleep(time.Minute) }
			}, outcome: core.OutcomeUnknown, requests: 3},
			{prepare: func() { a := readyAnnouncement("1"); a.State = core.EndpointLeaving; f.announce(time.Now(), a) }, outcome: core.OutcomeNotRun, cause: core.CauseLeaving, requests: 3},
			{prepare: func() { time.Sleep(DefaultLease) }, outcome: core.OutcomeNotRun, cause: core.CauseNoBackend, requests: 3},
		} {
			step.prepare()
			synctest.Wait()
			_, outcome, err := f.handleCall(c, newTestCall("body"))
			c.Assert(outcome, qt.Equals, step.outcome, qt.Commentf("error %v", err))
			c.Assert(causeOf(err), qt.Equals, step.cause)
			c.Assert(f.backend.requests.Load(), qt.Equals, step.requests)
		}
		time.Sleep(time.Minute) // until the stalled handler has returned
		f.mu.Lock()
		defer f.mu.Unlock()
		c.Assert(f.states, qt.DeepEquals, []core.EndpointState{core.EndpointStarting, core.EndpointReady, core.EndpointLeaving})
	})
}

// Guards against a truncated answer that passes for a complete one, for each way in which HTTP delimits a body.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for response, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull":                                true,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart":                                false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n":     true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n":              false,
		"HTTP/1.1 200 OK\r\n\r\npart":                                                     false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull":   true,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npar": false,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := startFixture(t)
			f.announce(time.Now(), readyAnnouncement("1"))
			f.backend.respond = func(conn net.Conn, _ *http.Request) { fmt.Fprint(conn, response); conn.Close() }
			got, outcome, err := f.handleCall(c, newTestCall(""))
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
			c.Assert(err == nil, qt.Equals, whole, qt.Commentf("response %q: error %v", response, err))
			c.Assert(!whole || got == "full", qt.IsTrue)
			c.Assert(f.activeCalls, qt.Equals, 0)
		})
	}
}

// Guards against writing a call to a connection that the backend server is about to close.
func TestClosingConnectionIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		f.announce(time.Now(), readyAnnouncement("1"))
		for closing, dials := range map[string]int{"": 1, "Connection: close\r\n": 2} {
			f.backend.kill()
			f.pool.prune(0)
			f.backend.conns = nil
			f.backend.respond = func(conn net.Conn, _ *http.Request) {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+closing+"Content-Length: 2\r\n\r\nok")
			}
			for range 2 {
				_, outcome, err := f.handleCall(c, newTestCall(""))
				c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
				c.Assert(err, qt.IsNil)
			}
			c.Assert(f.backend.conns, qt.HasLen, dials)
		}
	})
}

// Guards against a queued call that runs after it was cancelled, revoked or late, and against one that never runs.
func TestQueueRemovesCancelledAndLateCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		f.announce(time.Now(), readyAnnouncement("1"))
		f.backend.respond = func(conn net.Conn, _ *http.Request) {
			time.Sleep(800 * time.Millisecond) // two of them end within the deadline of 2 s
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		began := time.Now()
		var calls sync.WaitGroup
		calls.Go(func() {
			_, outcome, _ := f.handleCall(c, newTestCall("running"))
			c.Check(outcome, qt.Equals, core.OutcomeAnswered)
		})
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		calls.Go(func() {
			_, outcome, err := f.Handle(ctx, newTestCall("cancelled"))
			c.Check(outcome, qt.Equals, core.OutcomeNotRun)
			c.Check(causeOf(err), qt.Equals, core.CauseRevoked)
			c.Check(time.Since(began), qt.Equals, time.Duration(0))
		})
		late := newTestCall("late")
		late.Deadline = time.Now().Add(500 * time.Millisecond)
		calls.Go(func() {
			_, outcome, err := f.handleCall(c, late)
			c.Check(outcome, qt.Equals, core.OutcomeNotRun)
			c.Check(causeOf(err), qt.Equals, core.CauseDeadline)
			c.Check(time.Since(began), qt.Equals, 500*time.Millisecond)
		})
		synctest.Wait()
		cancel()
		calls.Go(func() {
			_, outcome, _ := f.handleCall(c, newTestCall("waiting"))
			c.Check(outcome, qt.Equals, core.OutcomeAnswered)
		})
		calls.Wait()
		c.Assert(f.backend.requests.Load(), qt.Equals, int64(2))
	})
}

// Guards against a planned stop that cuts off a running or queued call, or accepts a new one.
func TestDrainCompletesActiveCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		f.announce(time.Now(), readyAnnouncement("1"))
		f.backend.respond = func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
			time.Sleep(500 * time.Millisecond)
			fmt.Fprint(conn, "k")
		}
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() {
				got, outcome, err := f.handleCall(c, newTestCall(""))
				c.Check(outcome, qt.Equals, core.OutcomeAnswered)
				c.Check(err, qt.IsNil)
				c.Check(got, qt.Equals, "ok")
			})
		}
		synctest.Wait()
		began := time.Now()
		calls.Go(func() {
			c.Check(f.Drain(context.Background()), qt.IsNil)
			c.Check(time.Since(began), qt.Equals, time.Second)
		})
		synctest.Wait()
		_, outcome, err := f.handleCall(c, newTestCall("new"))
		c.Assert(outcome, qt.Equals, core.OutcomeNotRun)
		c.Assert(causeOf(err), qt.Equals, core.CauseLeaving)
		calls.Wait()
		c.Assert(f.backend.requests.Load(), qt.Equals, int64(2))
	})
}

// Guards against blaming a request for a broken connection although the backend server's process did not end, and against missing
// the requests that were running when it did.
func TestOnlyCallsOfEndedRunsAreCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		after   func(f *fixture)
		crashes int
	}{
		"new run":       {after: func(f *fixture) { f.announce(time.Now(), readyAnnouncement("2")) }, crashes: 1},
		"lease expired": {after: func(*fixture) { time.Sleep(DefaultLease + time.Second) }, crashes: 1},
		"withdrawn":     {after: func(f *fixture) { f.endLease(time.Now(), "withdrawn") }, crashes: 1},
		"same run":      {after: func(f *fixture) { f.announce(time.Now(), readyAnnouncement("1")) }, crashes: 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := startFixture(t)
			f.announce(time.Now(), readyAnnouncement("1"))
			_, outcome, _ := f.handleCall(c, newTestCall("harmless"))
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
			f.backend.respond = func(conn net.Conn, _ *http.Request) { conn.Close() }
			_, outcome, _ = f.handleCall(c, newTestCall("deadly"))
			c.Assert(outcome, qt.Equals, core.OutcomeUnknown)
			test.after(f)
			synctest.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			c.Assert(f.crashes, qt.HasLen, test.crashes, qt.Commentf("case %q", name))
			if test.crashes > 0 {
				c.Assert(f.crashes[0].Calls, qt.HasLen, 1)
				c.Assert(f.crashes[0].Run, qt.Equals, "1")
			}
		})
	}
}

// Guards against the outcome unknown for calls on an idle connection that the backend server has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.RequestURI) }))
	defer backend.Close()
	server, stop, err := New(Options{Address: "127.0.0.1:0"})
	c.Assert(err, qt.IsNil)
	defer stop()
	a := readyAnnouncement("1")
	a.Address = backend.Listener.Addr().String()
	server.announce(time.Now(), a)
	f := &fixture{Server: server}
	for range 20 {
		got, outcome, err := f.handleCall(c, newTestCall("body"))
		c.Assert(outcome, qt.Equals, core.OutcomeAnswered, qt.Commentf("error %v", err))
		c.Assert(got, qt.Equals, "/a?b=c")
		backend.CloseClientConnections()
	}
}

// Guards against calls that each wait on another idle connection after the backend server has stopped answering on all that were
// open, and against closing idle connections that have answered since.
func TestSilentIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		a := readyAnnouncement("1")
		a.Slots = 4
		f.announce(time.Now(), a)
		var silentConns sync.Map // connections on which the backend server stops answering
		f.backend.respond = func(conn net.Conn, _ *http.Request) {
			if _, silent := silentConns.Load(conn); !silent {
				time.Sleep(time.Millisecond)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
		parallel := func(n int) int64 {
			var answered atomic.Int64
			var calls sync.WaitGroup
			for range n {
				calls.Go(func() {
					if _, outcome, _ := f.handleCall(c, newTestCall("body")); outcome == core.OutcomeAnswered {
						answered.Add(1)
					}
				})
			}
			calls.Wait()
			return answered.Load()
		}
		c.Assert(parallel(4), qt.Equals, int64(4))
		for _, conn := range f.backend.conns {
			silentConns.Store(conn, true)
		}
		go f.handleCall(c, newTestCall("waits on a silent connection"))
		time.Sleep(silenceTimeout)
		c.Assert(parallel(3), qt.Equals, int64(3))
		c.Assert(f.backend.conns, qt.HasLen, 4+3)
		c.Assert(parallel(3), qt.Equals, int64(3))
		c.Assert(f.backend.conns, qt.HasLen, 4+3, qt.Commentf("connections that have answered since are used again"))
	})
}

// Guards against an invalid announcement that changes the announced state.
func TestInvalidAnnouncementsChangeNothing(t *testing.T) {
	c := qt.New(t)
	server, stop, err := New(Options{Address: "127.0.0.1:0"})
	c.Assert(err, qt.IsNil)
	defer stop()
	good := `{"service":"orders","release":"v1","address":"127.0.0.1:9001","slots":9,"state":"ready","run":"a7f3"}`
	put := func(body string) int {
		request, err := http.NewRequest(http.MethodPut, "http://"+server.Address()+"/v1/backend", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		c.Assert(response.StatusCode != 200 || strings.TrimSpace(string(answer)) == `{"lease-ms":3000}`, qt.IsTrue, qt.Commentf("%s", answer))
		return response.StatusCode
	}
	c.Assert(put(good), qt.Equals, 200)
	want, _ := server.Current()
	for _, change := range [][2]string{
		{`"orders"`, `""`},
		{`"v1"`, `""`},
		{"127.0.0.1:9001", "host:9001"},
		{"127.0.0.1:9001", "127.0.0.1"},
		{":9,", ":0,"},
		{":9,", ":10001,"},
		{`"ready"`, `"odd"`},
		{`"a7f3"`, `""`},
		{`"slots"`, `"slot"`},
		{`"}`, `"`},
		{`"orders"`, `"` + strings.Repeat("x", 5000) + `"`},
	} {
		status := put(strings.Replace(good, change[0], change[1], 1))
		c.Assert(status >= 400 && status < 500, qt.IsTrue, qt.Commentf("%v: status %d", change, status))
	}
	got, leased := server.Current()
	c.Assert(leased, qt.IsTrue)
	c.Assert(got, qt.Equals, want)
	request, _ := http.NewRequest(http.MethodDelete, "http://"+server.Address()+"/v1/backend", nil)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
	_, leased = server.Current()
	c.Assert(leased, qt.IsFalse)
}
