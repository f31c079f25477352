package callerhttp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/callerhttp"
)

// takingForwarder reads a part of the body of each attempt before it answers.
type takingForwarder struct {
	take    func(attempt int) int64
	answer  func(attempt int, taken int64, err error) (*core.Answer, core.Outcome, error)
	attempt int
}

func (f *takingForwarder) Forward(_ context.Context, _ core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	f.attempt++
	taken, err := int64(0), error(nil)
	if most := f.take(f.attempt); most > 0 {
		taken, err = io.Copy(io.Discard, io.LimitReader(call.Source, most))
	}
	return f.answer(f.attempt, taken, err)
}

// Guards against long bodies that are kept in memory, that are lost to a call which could still be sent elsewhere, or of which a second
// attempt gets only the rest.
func TestLongBodiesArePassedOn(t *testing.T) {
	const size = 3 << 20
	for _, test := range []struct {
		name     string
		taken    []int64 // of the body, by attempt
		outcomes []core.Outcome
		chunked  bool
		limit    int64
		status   int
	}{
		{name: "whole", taken: []int64{1 << 40}, outcomes: []core.Outcome{core.OutcomeAnswered}, status: 200},
		{name: "whole, in chunks", taken: []int64{1 << 40}, outcomes: []core.Outcome{core.OutcomeAnswered}, chunked: true, status: 200},
		{name: "refused elsewhere first", taken: []int64{0, 1 << 40}, outcomes: []core.Outcome{core.OutcomeNotRun, core.OutcomeAnswered}, status: 200},
		{name: "refused after a part", taken: []int64{100}, outcomes: []core.Outcome{core.OutcomeNotRun}, status: 503},
		{name: "broken after a part", taken: []int64{100}, outcomes: []core.Outcome{core.OutcomeUnknown}, status: 502},
		{name: "over the limit", limit: size - 1, status: 413},
		{name: "over the limit, in chunks", limit: size - 1, taken: []int64{1 << 40}, outcomes: []core.Outcome{core.OutcomeUnknown}, chunked: true, status: 413},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			forwarder := &takingForwarder{
				take: func(attempt int) int64 { return test.taken[attempt-1] },
				answer: func(attempt int, taken int64, err error) (*core.Answer, core.Outcome, error) {
					switch outcome := test.outcomes[attempt-1]; {
					case outcome == core.OutcomeNotRun:
						return notRun(core.CauseConnectFailed)
					case outcome == core.OutcomeUnknown && err != nil:
						return nil, core.OutcomeUnknown, err
					case outcome == core.OutcomeUnknown:
						return unknown()
					}
					c.Check(err, qt.IsNil)
					c.Check(taken, qt.Equals, int64(size))
					return answer(200, strings.NewReader(""))
				},
			}
			e := newEntry(c, allV1, func(o *callerhttp.Options) {
				o.Forwarder = forwarder
				o.MaxBodyBytes = test.limit
			})
			defer func() { // a body over the limit is no failure of a backend server
				for _, done := range e.endpoints.done {
					c.Check(done.Failed, qt.Equals, test.limit == 0 && done.Outcome != core.OutcomeAnswered)
				}
			}()
			body := io.Reader(bytes.NewReader(make([]byte, size)))
			if test.chunked {
				body = io.MultiReader(body)
			}
			response, err := http.Post("http://"+e.Address()+"/orders", "", body)
			c.Assert(err, qt.IsNil)
			_ = response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(forwarder.attempt, qt.Equals, len(test.outcomes))
		})
	}
}

// waitingForwarder reads nothing until its attempt is cancelled.
type waitingForwarder struct{ begun, cancelled chan struct{} }

func (f waitingForwarder) Forward(ctx context.Context, _ core.Endpoint, _ *core.Call) (*core.Answer, core.Outcome, error) {
	close(f.begun)
	<-ctx.Done()
	close(f.cancelled)
	return notRun(core.CauseRevoked)
}

// Guards against a call that waits for a slot although its caller has left before its body was read.
func TestCallerThatLeavesALongBodyIsNoticed(t *testing.T) {
	c := qt.New(t)
	forwarder := waitingForwarder{begun: make(chan struct{}), cancelled: make(chan struct{})}
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Forwarder = forwarder })
	connection, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(connection, "POST /orders HTTP/1.1\r\nHost: n\r\nContent-Length: 3000000\r\n\r\nxyz")
	c.Assert(err, qt.IsNil)
	<-forwarder.begun
	c.Assert(connection.Close(), qt.IsNil)
	select {
	case <-forwarder.cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt goes on 10 s after its caller has left")
	}
}

// Guards against a body that holds a connection and a slot long after its caller could have been answered.
func TestBodiesEndAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	forwarder := &takingForwarder{
		take: func(int) int64 { return 1 << 40 },
		answer: func(_ int, _ int64, err error) (*core.Answer, core.Outcome, error) {
			c.Check(err, qt.IsNotNil)
			return nil, core.OutcomeUnknown, err
		},
	}
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Forwarder = forwarder })
	for length, status := range map[string]string{"1000": "503", "3000000": "504"} {
		connection, err := net.Dial("tcp", e.Address())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, "POST /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: 300\r\nContent-Length: "+length+"\r\n\r\nxyz")
		c.Assert(err, qt.IsNil)
		_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
		line := make([]byte, len("HTTP/1.1 503"))
		_, err = io.ReadFull(connection, line)
		c.Assert(err, qt.IsNil)
		c.Assert(string(line), qt.Equals, "HTTP/1.1 "+status)
		_ = connection.Close()
	}
}
