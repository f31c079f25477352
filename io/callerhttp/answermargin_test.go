package callerhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against a pipelining caller that cuts off its other requests, because one of them got its failure just after the caller had
// given it up; and against less time for callers that do not pipeline.
func TestPipelinedRequestsAreGivenUpInTime(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	var forwardedAt atomic.Int64 // of the latest request, in Unix nanoseconds
	var together sync.WaitGroup  // the requests of a pair are answered after both have been read
	e.forwarder.forward = func(attempt int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
		forwardedAt.Store(time.Now().UnixNano())
		together.Done()
		together.Wait()
		return answerDone(attempt, to)
	}
	connection, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	answers := bufio.NewReader(connection)
	request := "GET /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: 20000\r\n\r\n"
	for _, test := range []struct {
		requests int
		early    bool
	}{
		{requests: 1},
		{requests: 2, early: true},
		{requests: 1, early: true},
	} {
		arrivedAt := time.Now()
		together.Add(test.requests)
		for range test.requests {
			_, err = io.WriteString(connection, request)
			c.Assert(err, qt.IsNil)
		}
		for range test.requests {
			c.Assert(readStatus(c, answers), qt.Equals, 200)
		}
		last := e.forwarder.calls[len(e.forwarder.calls)-1]
		switch {
		case test.requests > 1: // whether the first one is early depends on when it was answered
		case test.early:
			c.Assert(last.Deadline.After(time.Unix(0, forwardedAt.Load()).Add(20*time.Second-60*time.Millisecond)), qt.IsFalse)
		default:
			c.Assert(last.Deadline.Before(arrivedAt.Add(20*time.Second)), qt.IsFalse)
		}
	}
}

// Guards against a request whose caller gives it up before any answer can arrive, and then cuts off the requests behind it.
func TestPipelinedRequestWithoutTimeIsRefused(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	e.forwarder.forward = answerDone
	connection, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	answers := bufio.NewReader(connection)
	request := func(ms int) string {
		return fmt.Sprintf("GET /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: %d\r\n\r\n", ms)
	}
	var together sync.WaitGroup
	together.Add(2)
	e.forwarder.forward = func(attempt int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
		if attempt <= 2 {
			together.Done()
			together.Wait()
		}
		return answerDone(attempt, to)
	}
	_, err = io.WriteString(connection, request(20_000)+request(20_000))
	c.Assert(err, qt.IsNil)
	c.Assert(readStatus(c, answers), qt.Equals, 200)
	c.Assert(readStatus(c, answers), qt.Equals, 200)
	_, err = io.WriteString(connection, request(60))
	c.Assert(err, qt.IsNil)
	c.Assert(readStatus(c, answers), qt.Equals, 503)
	c.Assert(e.forwarder.attempts(), qt.Equals, 2)
}
