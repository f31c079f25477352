package backendhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// repeat writes a text again and again until the connection is closed, and returns the number of bytes written.
func repeat(conn net.Conn, text string) int {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for total := 0; ; {
		n, err := conn.Write(block)
		if total += n; err != nil {
			return total
		}
	}
}

// startEndless starts a fixture whose backend server answers each call with a beginning and a text without end. The channel receives
// the number of bytes sent once the connection is closed.
func startEndless(t *testing.T, begin, endless string) (*fixture, <-chan int) {
	f, sent := startFixture(t), make(chan int, 1)
	f.backend.respond = func(conn net.Conn, _ *http.Request) {
		fmt.Fprint(conn, begin)
		sent <- repeat(conn, endless)
	}
	qt.Assert(t, f.Announce(readyAnnouncement("r1")), qt.IsNil)
	return f, sent
}

// Guards against a backend server that sends bytes without end which are no answer: they filled the memory of the node until the
// deadline of the call.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	for name, test := range map[string]struct{ begin, endless string }{
		"no line end":    {endless: "x"},
		"status line":    {begin: "HTTP/1.1 200 ", endless: "OK"},
		"header lines":   {begin: "HTTP/1.1 200 OK\r\n", endless: "A: b\r\n"},
		"header value":   {begin: "HTTP/1.1 200 OK\r\nA: ", endless: "b"},
		"folded lines":   {begin: "HTTP/1.1 200 OK\r\nA: b\r\n", endless: " c\r\n"},
		"interim answer": {endless: "HTTP/1.1 102 Processing\r\n\r\n"},
		"other answers":  {endless: "HTTP/1.1 200 OK\r\nParsleyport-Call-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, sent := startEndless(t, test.begin, test.endless)
			call := newTestCall("")
			call.Deadline = time.Now().Add(time.Hour)
			_, outcome, err := f.handleCall(c, call)
			c.Assert(outcome, qt.Equals, core.OutcomeUnknown)
			c.Assert(err, qt.IsNotNil)
			c.Assert(<-sent < 4*maxHeadBytes, qt.IsTrue)

			f.backend.respond = nil
			body, outcome, err := f.handleCall(c, newTestCall(""))
			c.Assert(err, qt.IsNil)
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
			c.Assert(body, qt.Equals, "ok")
		})
	}
}

// Guards against a body without end that is kept in memory, or that goes on after the caller has left.
func TestEndlessBodyEndsWithTheCaller(t *testing.T) {
	for name, test := range map[string]struct{ begin, endless string }{
		"chunks":          {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", endless: "1\r\nx\r\n"},
		"one long chunk":  {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", endless: "x"},
		"no length":       {begin: "HTTP/1.1 200 OK\r\n\r\n", endless: "x"},
		"length":          {begin: "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", endless: "x"},
		"chunk extension": {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", endless: "x"},
		"trailer":         {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", endless: "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, sent := startEndless(t, test.begin, test.endless)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			answer, outcome, err := f.Handle(ctx, newTestCall(""))
			c.Assert(err, qt.IsNil)
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
			const read = 100 << 10
			got, readErr := io.CopyN(io.Discard, answer.Body, read)
			c.Assert(got == read || readErr != io.EOF, qt.IsTrue, qt.Commentf("%d bytes, %v", got, readErr))
			c.Assert(answer.Body.Close(), qt.IsNil)
			c.Assert(<-sent < 8*read, qt.IsTrue) // a chunk of one byte takes six
			c.Assert(f.Drain(ctx), qt.IsNil)     // the slot is free
		})
	}
}

// Guards against a refusal of a backend server that reaches the caller only at its deadline, because its body does not come.
func TestRefusalDoesNotWaitForItsBody(t *testing.T) {
	c := qt.New(t)
	f := startFixture(t)
	f.backend.respond = func(conn net.Conn, _ *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nParsleyport-Call-Id: x\r\nParsleyport-Not-Run: 1\r\nContent-Length: 2\r\n\r\n")
	}
	c.Assert(f.Announce(readyAnnouncement("r1")), qt.IsNil)
	call := newTestCall("")
	call.Deadline = time.Now().Add(time.Hour)
	_, outcome, err := f.handleCall(c, call)
	c.Assert(outcome, qt.Equals, core.OutcomeNotRun)
	c.Assert(causeOf(err), qt.Equals, core.CauseOverloaded)
}
