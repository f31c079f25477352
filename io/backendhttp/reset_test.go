package backendhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// answerOnce starts a backend server on TCP that reads the head of a call, writes an answer and closes the connection, with or without a
// pending reset.
func answerOnce(c *qt.C, answer string, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		var head []byte
		for !bytes.Contains(head, []byte("\r\n\r\n")) {
			var next [1]byte
			if _, err := conn.Read(next[:]); err != nil {
				return
			}
			head = append(head, next[0])
		}
		fmt.Fprint(conn, answer)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}()
	return listener.Addr().String()
}

// startTCPFixture returns a fixture that calls backend servers over TCP.
func startTCPFixture(t *testing.T, address string) (*fixture, *recordingAdmission) {
	f := startFixture(t)
	results := &recordingAdmission{}
	f.admission = results
	f.options.AllowCloseDelimited = true
	f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	announcement := readyAnnouncement("r1")
	announcement.Address = address
	qt.New(t).Assert(f.Announce(announcement), qt.IsNil)
	return f, results
}

// Guards against a part of an answer that passes for the whole because the connection was reset while the call was still being written: the
// write gets the reset, and the read an orderly end.
func TestAnswerThatIsResetDuringTheCallIsNotWhole(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		whole  bool
	}{
		"no length":                {answer: "HTTP/1.1 200 OK\r\n\r\npart"},
		"no length, close":         {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"},
		"no length, HTTP/1.0":      {answer: "HTTP/1.0 200 OK\r\n\r\npart"},
		"too short":                {answer: "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\npart"},
		"cut in a chunk":           {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart"},
		"cut before the last":      {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		"cut in the trailer":       {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX: y\r\n"},
		"complete with a length":   {answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", whole: true},
		"complete with chunks":     {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", whole: true},
		"complete without content": {answer: "HTTP/1.1 204 No Content\r\n\r\n", whole: true},
	} {
		for _, reset := range []bool{false, true} {
			for _, streamed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, pending reset %t, streamed %t", name, reset, streamed), func(t *testing.T) {
					c := qt.New(t)
					f, results := startTCPFixture(t, answerOnce(c, test.answer, reset))
					call := newTestCall("")
					call.Deadline = time.Now().Add(20 * time.Second)
					if body := make([]byte, 16<<20); streamed {
						call.Source = core.NewBodySource(bytes.NewReader(body), int64(len(body)))
					} else {
						call.Body = body
					}
					body, outcome, err := f.handleCall(c, call)
					if test.whole {
						c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
						c.Assert(err, qt.IsNil)
						c.Assert(*results, qt.DeepEquals, recordingAdmission{ResultServed})
						return
					}
					c.Assert(err, qt.ErrorIs, ErrBroken, qt.Commentf("%s, body %q", outcome, body))
					c.Assert(*results, qt.DeepEquals, recordingAdmission{ResultFailed})
				})
			}
		}
	}
}

// Guards against an answer without a length that is taken for broken although its connection ended in order, also behind a call with a
// body.
func TestAnswerWithoutLengthEndsInOrder(t *testing.T) {
	c := qt.New(t)
	backend := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = conn.Close()
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = backend.Serve(listener) }()
	c.Cleanup(func() { _ = backend.Close() })
	f, results := startTCPFixture(t, listener.Addr().String())
	call := newTestCall("")
	call.Body, call.Deadline = make([]byte, 4<<20), time.Now().Add(20*time.Second)
	body, _, err := f.handleCall(c, call)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "whole")
	c.Assert(*results, qt.DeepEquals, recordingAdmission{ResultServed})
}
