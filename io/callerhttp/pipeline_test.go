package callerhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/callerhttp"
)

// pipeListener accepts one connection without a socket.
type pipeListener struct {
	blockingListener
	accepted chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Guards against reads that wait for the answers to earlier reads of their connection, against an unsafe request that runs beside
// another one, and against a deadline that counts from the turn of a request.
func TestPipelinedReadsRunConcurrently(t *testing.T) {
	const reads = 15 // and a write, which is read but waits
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		listener := &pipeListener{blockingListener: blockingListener{closed: make(chan struct{})}, accepted: make(chan net.Conn)}
		listener.close = sync.OnceFunc(func() { close(listener.closed) })
		e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Listener = listener })
		var running, most atomic.Int64
		e.forwarder.forward = func(attempt int, _ core.Endpoint) (*core.Answer, core.Outcome, error) {
			now := running.Add(1)
			defer running.Add(-1)
			most.Store(max(most.Load(), now))
			if attempt > reads {
				c.Check(now, qt.Equals, int64(1))
			}
			time.Sleep(time.Second)
			return answer(200, strings.NewReader("done"))
		}
		const read = "GET /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: 5000\r\n\r\n"
		const write = "POST /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
		caller, remote := net.Pipe()
		defer caller.Close()
		listener.accepted <- remote
		_, err := io.WriteString(caller, strings.Repeat(read, reads)+write)
		c.Assert(err, qt.IsNil)
		answers := bufio.NewReader(caller)
		for range reads + 1 {
			c.Assert(readStatus(c, answers), qt.Equals, http.StatusOK)
		}
		c.Assert(most.Load(), qt.Equals, int64(reads))
		first, last := e.forwarder.calls[0], e.forwarder.calls[reads]
		c.Assert(last.Method, qt.Equals, "POST")
		c.Assert(last.Deadline, qt.Equals, first.Deadline)
	})
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
