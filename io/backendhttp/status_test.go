package backendhttp

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against answers with an invalid status that callers get, such as status 000, or that make a call wait until its deadline as if
// an interim answer had come. The connection cannot be trusted further; the process has not crashed.
func TestOddStatusIsAFailure(t *testing.T) {
	const body = "\r\nContent-Length: 2\r\n\r\nok"
	for statusLine, valid := range map[string]bool{
		"HTTP/1.1 200":             true,
		"HTTP/1.1 200 ":            true,
		"HTTP/1.0 200 OK":          true,
		"HTTP/1.1 599 Odd":         true,
		"HTTP/1.1 000 None":        false,
		"HTTP/1.1 099 Low":         false,
		"HTTP/1.1 +99 Sign":        false,
		"HTTP/1.1 -01 Sign":        false,
		"HTTP/1.1 100 Continue":    false, // a final answer, since it has a body
		"HTTP/1.1 101 Switch":      false,
		"HTTP/1.1 199 High":        false,
		"HTTP/1.1 600 High":        false,
		"HTTP/1.1 999 High":        false,
		"HTTP/1.1 1000 Long":       false,
		"HTTP/1.1 20 Short":        false,
		"HTTP/1.1 abc Letters":     false,
		"HTTP/1.1":                 false,
		"HTTP/1.1 ":                false,
		"http/1.1 200 OK":          false,
		"HTTP/2.0 200 OK":          false,
		"HTTP/0.9 200 OK":          false,
		"PRI * HTTP/2.0":           false,
		"PRI * HTTP/2.0\r\n\r\nSM": false,
	} {
		t.Run(statusLine, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFixture(t)
				var results recordingAdmission
				f.admission = &results
				var first net.Conn
				f.backend.respond = func(conn net.Conn, _ *http.Request) {
					if first == nil {
						first = conn
						fmt.Fprint(conn, statusLine+body)
						return
					}
					fmt.Fprint(conn, "HTTP/1.1 200 OK"+body)
				}
				f.announce(time.Now(), readyAnnouncement("1"))
				began := time.Now()
				got, outcome, err := f.handleCall(c, newTestCall(""))
				c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("the call waited for its deadline"))
				if valid {
					c.Assert(err, qt.IsNil)
					c.Assert(got, qt.Equals, "ok")
					return
				}
				c.Assert(outcome, qt.Equals, core.OutcomeUnknown, qt.Commentf("error %v", err))
				c.Assert(results, qt.DeepEquals, recordingAdmission{ResultFailed})
				c.Assert(first.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNotNil, qt.Commentf("the connection is open"))
				f.mu.Lock()
				f.Server.mu.Lock()
				c.Check(f.brokenCalls, qt.HasLen, 0)
				f.Server.mu.Unlock()
				f.mu.Unlock()
				got, outcome, err = f.handleCall(c, newTestCall(""))
				c.Assert(err, qt.IsNil)
				c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
				c.Assert(got, qt.Equals, "ok")
			})
		})
	}
}

// Guards against interim answers that are taken for a failure.
func TestInterimAnswersPrecedeTheAnswer(t *testing.T) {
	c := qt.New(t)
	for _, interim := range []string{"100 Continue\r\n", "102 Processing\r\n", "103 Early Hints\r\nLink: </a>\r\n", "150 Other\r\n"} {
		f := startFixture(t)
		f.backend.respond = func(conn net.Conn, _ *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 %s\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", interim)
		}
		f.announce(time.Now(), readyAnnouncement("1"))
		got, _, err := f.handleCall(c, newTestCall(""))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "ok")
	}
}
