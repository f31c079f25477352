package callerhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/callerhttp"
)

// Guards against reads that wait for the answers to earlier reads of their connection, against an unsafe request that runs beside
// another one, and against a deadline that counts from the turn of a request.
func TestPipelinedReadsRunConcurrently(t *testing.T) {
	const reads = 15 // and a write, which is read but waits
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	var running, attempts atomic.Int64
	all, finish := make(chan struct{}), make(chan struct{})
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		defer running.Add(-1)
		switch now := running.Add(1); {
		case now == reads:
			close(all)
		case attempts.Load() == reads && now != 1:
			c.Error("the unsafe request runs beside another one")
		}
		if attempts.Add(1) <= reads {
			<-finish
		}
		return answer(200, strings.NewReader("done"))
	}
	const read = "GET /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: 5000\r\n\r\n"
	const write = "POST /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
	connection, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	_, err = io.WriteString(connection, strings.Repeat(read, reads)+write)
	c.Assert(err, qt.IsNil)
	<-all
	time.Sleep(50 * time.Millisecond) // the time until the turn of the write counts for its deadline
	close(finish)
	answers := bufio.NewReader(connection)
	for range reads + 1 {
		c.Assert(readStatus(c, answers), qt.Equals, http.StatusOK)
	}
	e.forwarder.mu.Lock()
	defer e.forwarder.mu.Unlock()
	first, last := e.forwarder.calls[0], e.forwarder.calls[reads]
	c.Assert(last.Method, qt.Equals, "POST")
	c.Assert(last.Deadline.Sub(first.Deadline) < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", last.Deadline.Sub(first.Deadline)))
}

// Guards against limits and a memory account that are not in use at the port for callers, and against a drain that loses answers to
// pipelined calls.
func TestCallersAreLimited(t *testing.T) {
	c := qt.New(t)
	set := metrics.NewSet()
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.Metrics = set
		o.Limits.HeadLines = 20
		o.Limits.AccountBytes = 1 << 20
	})
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		return answer(200, strings.NewReader("done"))
	}
	const read = "GET /orders HTTP/1.1\r\nHost: n\r\n"
	c.Assert(exchange(c, e.Address(), read+strings.Repeat("A:\r\n", 30)+"\r\n", 1), qt.DeepEquals, []int{http.StatusRequestHeaderFieldsTooLarge})
	c.Assert(set.GetOrCreateCounter(`parsleyport_caller_refusals_total{cause="head-too-large"}`).Get(), qt.Equals, uint64(1))
	response, err := http.Post("http://"+e.Address()+"/orders", "", strings.NewReader(strings.Repeat("x", 1<<20)))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(core.CauseQueueFull))
	_ = response.Body.Close()
	c.Assert(exchange(c, e.Address(), strings.Repeat(read+"\r\n", 40), 40), qt.HasLen, 40)

	caller, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(context.Background()) }()
	_, err = io.WriteString(caller, strings.Repeat(read+"\r\n", 40))
	c.Assert(err, qt.IsNil)
	answers := bufio.NewReader(caller)
	for {
		response, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		if response.Close {
			break
		}
	}
	_, err = http.ReadResponse(answers, nil)
	c.Assert(err, qt.IsNotNil)
	c.Assert(<-drained, qt.IsNil)
}
