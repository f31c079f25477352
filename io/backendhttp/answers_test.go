package backendhttp

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

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

// Guards against an earlier refusal that a backend server writes once more on a kept connection: it says nothing about the call that runs
// now, which would be answered "not run" or sent to a second backend server.
func TestRefusalWrittenAgainIsNotBelieved(t *testing.T) {
	const (
		answer        = "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nright"
		refusal       = "HTTP/1.1 503 Service Unavailable\r\n%sParsleyport-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"
		overload      = "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 2\r\n\r\nno"
		misdirected   = "HTTP/1.1 421 Misdirected Request\r\n%sParsleyport-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		ofFirst, mine = "Parsleyport-Call-Id: first\r\n", "Parsleyport-Call-Id: second\r\n"
		withoutID     = ""
	)
	for name, test := range map[string]struct {
		first, second string // what the backend server writes for each call
		outcome       core.Outcome
		body          string
	}{
		"refusal of the first call, before the answer":      {first: fmt.Sprintf(refusal, ofFirst), second: fmt.Sprintf(refusal, ofFirst) + fmt.Sprintf(answer, mine), outcome: core.OutcomeAnswered, body: "right"},
		"refusal of the first call, no answer":              {first: fmt.Sprintf(refusal, ofFirst), second: fmt.Sprintf(refusal, ofFirst), outcome: core.OutcomeUnknown},
		"refusal without id, before the answer":             {first: fmt.Sprintf(refusal, ofFirst), second: fmt.Sprintf(refusal, withoutID) + fmt.Sprintf(answer, mine), outcome: core.OutcomeAnswered, body: "right"},
		"refusal without id, no answer":                     {first: fmt.Sprintf(answer, ofFirst), second: fmt.Sprintf(refusal, withoutID), outcome: core.OutcomeUnknown},
		"misdirected without id, no answer":                 {first: fmt.Sprintf(answer, ofFirst), second: fmt.Sprintf(misdirected, withoutID), outcome: core.OutcomeUnknown},
		"overload without id, before the answer":            {first: fmt.Sprintf(answer, ofFirst), second: fmt.Sprintf(overload, withoutID) + fmt.Sprintf(answer, mine), outcome: core.OutcomeAnswered, body: "right"},
		"answer without id, before the answer":              {first: fmt.Sprintf(answer, ofFirst), second: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra" + fmt.Sprintf(answer, mine), outcome: core.OutcomeAnswered, body: "right"},
		"refusal of the second call":                        {first: fmt.Sprintf(answer, ofFirst), second: fmt.Sprintf(refusal, mine), outcome: core.OutcomeNotRun},
		"refusal without id, written again on a connection": {first: fmt.Sprintf(refusal, withoutID) + fmt.Sprintf(refusal, withoutID), second: fmt.Sprintf(answer, mine), outcome: core.OutcomeAnswered, body: "right"},
		"backend server that states no ids":                 {first: fmt.Sprintf(answer, withoutID), second: fmt.Sprintf(answer, withoutID), outcome: core.OutcomeAnswered, body: "right"},
		"refusal of a backend server that states no ids":    {first: fmt.Sprintf(answer, withoutID), second: fmt.Sprintf(refusal, withoutID), outcome: core.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFixture(t)
				f.backend.respond = func(conn net.Conn, r *http.Request) {
					if r.Header.Get("Parsleyport-Call-Id") == "first" {
						fmt.Fprint(conn, test.first)
						return
					}
					fmt.Fprint(conn, test.second)
				}
				c.Assert(f.Announce(readyAnnouncement("r1")), qt.IsNil)
				first, second := newTestCall(""), newTestCall("")
				first.ID, second.ID = "first", "second"
				_, _, err := f.handleCall(c, first)
				if err != nil {
					c.Assert(causeOf(err), qt.Equals, core.CauseOverloaded)
				}
				body, outcome, err := f.handleCall(c, second)
				c.Assert(outcome, qt.Equals, test.outcome, qt.Commentf("%v", err))
				c.Assert(body, qt.Equals, test.body)
				if outcome == core.OutcomeNotRun {
					c.Assert(causeOf(err), qt.Equals, core.CauseOverloaded)
				}
				f.backend.kill()
			})
		})
	}
}
