package pipelinehttp_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/io/pipelinehttp"
)

// pipeListener accepts connections without sockets.
type pipeListener struct {
	net.Listener
	accepted chan net.Conn
	closed   chan struct{}
	close    func()
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error { l.close(); return nil }

// runInBubble runs a test with a fake clock. The function that it passes on opens a connection and sends bytes.
func runInBubble(t *testing.T, h handler, limits pipelinehttp.Limits, test func(c *qt.C, counted *causes, dial func(text string) caller)) {
	synctest.Test(t, func(t *testing.T) {
		c, counted := qt.New(t), &causes{counts: make(map[string]int)}
		l := pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
		l.close = sync.OnceFunc(func() { close(l.closed) })
		server := pipelinehttp.New(pipelinehttp.Options{Handler: h, Limits: limits, OnLimit: counted.add})
		go func() { _ = server.Serve(l) }()
		var open []net.Conn
		defer func() {
			for _, connection := range open {
				_ = connection.Close()
			}
			_ = server.Close()
		}()
		test(c, counted, func(text string) caller {
			local, remote := net.Pipe()
			open = append(open, local)
			l.accepted <- remote
			caller := caller{Conn: local, c: c, answers: bufio.NewReader(local)}
			_, _ = io.WriteString(local, text) // fails on a connection that the server has closed
			return caller
		})
	})
}

// Guards against connections that are held open by callers who never complete a head, or send nothing.
func TestSlowHeadsAreClosed(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "head": "GET / HTTP/1.1\r\nA", "second head": get("/") + "GET / HTTP/1.1\r\nA"} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, answerOK, pipelinehttp.Limits{}, func(c *qt.C, counted *causes, dial func(string) caller) {
				began, caller := time.Now(), dial(text)
				if name == "second head" {
					c.Assert(caller.next(), qt.Equals, "200 ")
				}
				c.Assert(caller.next(), qt.Equals, "error")
				c.Assert(time.Since(began), qt.Equals, 10*time.Second)
				c.Assert(counted.get(pipelinehttp.CauseHeadTimeout), qt.Equals, min(len(text), 1))
			})
		})
	}
}

// Guards against idle connections that stay open for ever, and against a busy one that is taken for idle.
func TestIdleConnectionIsClosed(t *testing.T) {
	var g gates
	runInBubble(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(time.Hour)
		}
		g.serve(w, r)
	}, pipelinehttp.Limits{}, func(c *qt.C, _ *causes, dial func(string) caller) {
		g = newGates("/slow")
		close(g.ended["/slow"])
		for _, request := range []string{get("/slow"), post("/slow", "x")} {
			began, caller := time.Now(), dial(request)
			c.Assert(caller.next(), qt.Matches, "200 /slowx?")
			c.Assert(time.Since(began), qt.Equals, time.Hour)
			c.Assert(caller.next(), qt.Equals, "error")
			c.Assert(time.Since(began), qt.Equals, time.Hour+2*time.Minute)
		}
	})
}

// Guards against answers that fill the memory while an earlier one is not ready, against the loss of their bytes, and against a
// handler that waits longer than its write deadline for the turn of its answer.
func TestWaitingAnswersAreBounded(t *testing.T) {
	var g gates
	chunk := bytes.Repeat([]byte("x"), 32<<10)
	const chunks = 40 // 1.25 MiB, five times the bound
	var written, late atomic.Int64
	runInBubble(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" || r.URL.Path == "/second" {
			g.serve(w, r)
			return
		}
		if r.URL.Path == "/late" {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
		}
		for range chunks {
			if _, err := w.Write(chunk); err != nil {
				late.Add(1)
				panic(http.ErrAbortHandler)
			}
			w.(http.Flusher).Flush()
			written.Add(int64(len(chunk)))
		}
	}, pipelinehttp.Limits{}, func(c *qt.C, _ *causes, dial func(string) caller) {
		g = newGates("/first", "/second") // channels must be made in the bubble
		caller := dial(get("/first") + get("/long") + get("/long"))
		synctest.Wait()
		c.Assert(written.Load() > 128<<10 && written.Load() <= 256<<10, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
		other := dial(get("/first") + get("/late"))
		time.Sleep(1100 * time.Millisecond)
		c.Assert(late.Load(), qt.Equals, int64(1))
		close(g.ended["/first"])
		c.Assert(caller.next(), qt.Equals, "200 /first")
		for range 2 {
			c.Assert(caller.next(), qt.Equals, "200 "+strings.Repeat("x", chunks*len(chunk)))
		}
		c.Assert(other.next(), qt.Equals, "200 /first")
		c.Assert(other.next(), qt.Matches, "error|cut")
		written.Store(0)
		caller.send(get("/second") + get("/long")) // finds as much room as the first ones
		synctest.Wait()
		c.Assert(written.Load() > 128<<10 && written.Load() <= 256<<10, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
		close(g.ended["/second"])
		c.Assert(caller.next(), qt.Equals, "200 /second")
		c.Assert(caller.next(), qt.Equals, "200 "+strings.Repeat("x", chunks*len(chunk)))
	})
}

// Guards against a caller that reads nothing and holds its connection and its requests for ever.
func TestCallerThatReadsNothingIsClosed(t *testing.T) {
	var done chan error
	runInBubble(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/deadline" {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
		}
		_, err := w.Write(make([]byte, 100_000))
		done <- err
	}, pipelinehttp.Limits{}, func(c *qt.C, _ *causes, dial func(string) caller) {
		done = make(chan error, 2)
		for path, limit := range map[string]time.Duration{"/deadline": time.Second, "/default": 30 * time.Second} {
			began := time.Now()
			caller := dial(get(path))
			c.Assert(<-done, qt.IsNotNil)
			c.Assert(time.Since(began), qt.Equals, limit)
			c.Assert(caller.next(), qt.Equals, "error")
		}
	})
}

// Guards against more connections than the limit, against closing a connection with a request, and against refusing a new connection
// while an idle one could be closed.
func TestConnectionsAreBounded(t *testing.T) {
	var g gates
	limits := pipelinehttp.Limits{Connections: 3, HeadTimeout: time.Hour}
	runInBubble(t, func(w http.ResponseWriter, r *http.Request) { g.serve(w, r) }, limits, func(c *qt.C, counted *causes, dial func(string) caller) {
		g = newGates("/r", "/idle")
		close(g.ended["/idle"])
		busy, idle, silent := dial(get("/r")), dial(get("/idle")), dial("")
		c.Assert(idle.next(), qt.Equals, "200 /idle")
		time.Sleep(time.Second)
		busy2 := dial(get("/r"))
		c.Assert(silent.next(), qt.Equals, "error") // it has never had a request
		time.Sleep(time.Second)
		busy3 := dial(get("/r"))
		c.Assert(idle.next(), qt.Equals, "error")
		time.Sleep(time.Second)
		c.Assert(dial(get("/r")).next(), qt.Equals, "error") // all others are busy
		c.Assert(counted.get(pipelinehttp.CauseConnections), qt.Equals, 3)
		close(g.ended["/r"])
		for _, caller := range []caller{busy, busy2, busy3} {
			c.Assert(caller.next(), qt.Equals, "200 /r")
		}
	})
}

// Guards against pipelined requests that use memory beyond the account: those for which there is none run one by one.
func TestRequestsWithoutMemoryWaitForTheirTurn(t *testing.T) {
	var g gates
	limits := pipelinehttp.Limits{AccountBytes: 4 << 10}
	runInBubble(t, func(w http.ResponseWriter, r *http.Request) { g.serve(w, r) }, limits, func(c *qt.C, _ *causes, dial func(string) caller) {
		g = newGates("/a", "/b")
		caller := dial(get("/a") + get("/b"))
		synctest.Wait()
		c.Assert(g.started, qt.HasLen, 1)
		close(g.ended["/a"])
		c.Assert(caller.next(), qt.Equals, "200 /a")
		g.awaitStart(c, "/a", "/b")
		close(g.ended["/b"])
		c.Assert(caller.next(), qt.Equals, "200 /b")
	})
}
