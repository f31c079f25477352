package backendhttp

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against a call that runs at a backend server of another service or release, because its entry node chose the node
// before its backend server was replaced.
func TestCallForAnotherReleaseIsNotRun(t *testing.T) {
	c := qt.New(t)
	f := startFixture(t)
	c.Assert(f.Announce(readyAnnouncement("r1")), qt.IsNil)
	for _, wrong := range []core.Call{{Service: "orders", Release: "v2"}, {Service: "looms", Release: "v1"}} {
		call := newTestCall("")
		call.Service, call.Release = wrong.Service, wrong.Release
		_, outcome, err := f.handleCall(c, call)
		c.Assert(outcome, qt.Equals, core.OutcomeNotRun)
		c.Assert(causeOf(err), qt.Equals, core.CauseNoBackend)
	}
	c.Assert(f.backend.requests.Load(), qt.Equals, int64(0))
}

// Guards against delivering the answer of an earlier call to a later one, and against treating a call as run although the backend
// server states that it has not run it.
func TestStrayAnswersAreDropped(t *testing.T) {
	c := qt.New(t)
	stray := "HTTP/1.1 200 OK\r\nParsleyport-Call-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
	own := "HTTP/1.1 200 OK\r\nParsleyport-Call-Id: x\r\nContent-Length: 5\r\n\r\nright"
	for _, test := range []struct {
		answer  string
		outcome core.Outcome
		cause   core.RefusalCause
		body    string
	}{
		{answer: own, outcome: core.OutcomeAnswered, body: "right"},
		{answer: stray + own, outcome: core.OutcomeAnswered, body: "right"},
		{answer: stray, outcome: core.OutcomeUnknown},
		{answer: notRun(http.StatusServiceUnavailable), outcome: core.OutcomeNotRun, cause: core.CauseOverloaded},
		{answer: notRun(http.StatusMisdirectedRequest), outcome: core.OutcomeNotRun, cause: core.CauseMisdirected},
	} {
		f := startFixture(t)
		f.backend.respond = func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, test.answer)
			_ = conn.Close()
		}
		c.Assert(f.Announce(readyAnnouncement("r1")), qt.IsNil)
		body, outcome, err := f.handleCall(c, newTestCall(""))
		c.Assert(outcome, qt.Equals, test.outcome, qt.Commentf("%q: %v", test.answer, err))
		c.Assert(body, qt.Equals, test.body)
		c.Assert(causeOf(err), qt.Equals, test.cause)
	}
}

func notRun(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nParsleyport-Call-Id: x\r\nParsleyport-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", status, http.StatusText(status))
}

// Guards against refusing an answer without a length where close-delimited answers are allowed, and against accepting one as complete
// where the connection may have been closed by a crash.
func TestCloseDelimitedAnswers(t *testing.T) {
	c := qt.New(t)
	for _, allowed := range []bool{false, true} {
		f := startFixture(t)
		f.options.AllowCloseDelimited = allowed
		f.backend.respond = func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = conn.Close()
		}
		c.Assert(f.Announce(readyAnnouncement("r1")), qt.IsNil)
		body, _, err := f.handleCall(c, newTestCall(""))
		c.Assert(body, qt.Equals, "whole")
		c.Assert(err == nil, qt.Equals, allowed, qt.Commentf("%v", err))
	}
}
