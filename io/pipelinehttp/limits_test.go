package pipelinehttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/io/pipelinehttp"
)

// causes counts the refusals and closed connections by cause.
type causes struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

func (c *causes) add(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[cause]++
}

func (c *causes) get(cause string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[cause]
}

func startLimited(c *qt.C, h handler, limits pipelinehttp.Limits) (*pipelinehttp.Server, string, *causes) {
	counted := &causes{counts: make(map[string]int)}
	server, address := start(c, h, func(o *pipelinehttp.Options) {
		o.Limits = limits
		o.OnRefused = func(_ net.Addr, _ int, cause string) { counted.add(cause) }
		o.OnLimit = counted.add
	})
	return server, address, counted
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		http.Error(w, "", http.StatusBadRequest)
	}
}

// Guards against heads and chunks that are over a limit and are read on, against the refusal of requests that are just within the
// limits, and against refusals that are not counted.
func TestRequestsOverALimitAreRefused(t *testing.T) {
	lines := func(n int) string { return strings.Repeat("A:\r\n", n) }
	chunked := func(rest string) string {
		return "POST / HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n" + rest
	}
	const begin = "GET / HTTP/1.1\r\nHost: n\r\n"
	for name, test := range map[string]struct {
		request string
		answer  string
		cause   string
		limits  pipelinehttp.Limits
	}{
		"lines at the limit":       {request: begin + lines(255) + "\r\n", answer: "200 ", limits: pipelinehttp.Limits{HeadLines: 256}},
		"lines over the limit":     {request: begin + lines(256) + "\r\n", answer: "431 431 Request Header Fields Too Large close", cause: pipelinehttp.CauseHead, limits: pipelinehttp.Limits{HeadLines: 256}},
		"lines without end":        {request: begin + lines(1_000), answer: "431 431 Request Header Fields Too Large close", cause: pipelinehttp.CauseHead, limits: pipelinehttp.Limits{HeadLines: 256}},
		"head full of lines":       {request: begin + lines((64<<10-len(begin)-2)/4) + "\r\n", answer: "200 "},
		"many lines without end":   {request: begin + lines(20_000), answer: "431 431 Request Header Fields Too Large close", cause: pipelinehttp.CauseHead},
		"head at the limit":        {request: begin + "A: " + strings.Repeat("x", 64<<10-len(begin)-7) + "\r\n\r\n", answer: "200 "},
		"head over the limit":      {request: begin + "A: " + strings.Repeat("x", 64<<10-len(begin)-6) + "\r\n\r\n", answer: "431 431 Request Header Fields Too Large close", cause: pipelinehttp.CauseHead},
		"line without end":         {request: strings.Repeat("x", 70_000), answer: "431 431 Request Header Fields Too Large close", cause: pipelinehttp.CauseHead},
		"empty lines at the limit": {request: strings.Repeat("\r\n", 16) + begin + "\r\n", answer: "200 "},
		"empty lines":              {request: strings.Repeat("\r\n", 17), answer: "400 400 Bad Request close", cause: pipelinehttp.CauseEmptyLines},
		"empty lines without CR":   {request: strings.Repeat("\n", 1_000), answer: "400 400 Bad Request close", cause: pipelinehttp.CauseEmptyLines},
		"extensions within":        {request: chunked(strings.Repeat("1;"+strings.Repeat("x", 1_000)+"\r\ny\r\n", 8) + "0\r\n\r\n"), answer: "200  close"},
		"extensions":               {request: chunked(strings.Repeat("1;"+strings.Repeat("x", 1_000)+"\r\ny\r\n", 9)), answer: "400 \n close", cause: pipelinehttp.CauseChunkExtra},
		"extension without end":    {request: chunked("1;" + strings.Repeat("x", 9_000)), answer: "400 \n close"},
		"trailers":                 {request: chunked("0\r\n" + lines(3_000)), answer: "400 \n close"},
		"not HTTP":                 {request: "no HTTP\r\n", answer: "400 400 Bad Request close", cause: pipelinehttp.CauseUnreadable},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, address, counted := startLimited(c, answerOK, test.limits)
			caller := dial(c, address, "")
			go func() { _, _ = io.WriteString(caller, test.request) }()
			c.Assert(caller.next(), qt.Equals, test.answer)
			if test.cause != "" {
				c.Assert(counted.get(test.cause), qt.Equals, 1)
			}
			_ = caller.Close()
			c.Assert(server.Shutdown(context.Background()), qt.IsNil)
			c.Assert(server.AccountedBytes(), qt.Equals, int64(0))
		})
	}
}

// Guards against a declared limit that is not applied, against one that raises a limit that was set, and against a default that
// callers within the declared limit meet.
func TestDeclaredHeadLimits(t *testing.T) {
	c := qt.New(t)
	var declared atomic.Int64
	serve := func(limits pipelinehttp.Limits) string {
		_, address := start(c, answerOK, func(o *pipelinehttp.Options) {
			o.Limits = limits
			o.Declared = func() pipelinehttp.Declared { return pipelinehttp.Declared{HeadBytes: int(declared.Load())} }
		})
		return address
	}
	address, limited := serve(pipelinehttp.Limits{}), serve(pipelinehttp.Limits{HeadBytes: 64 << 10})
	request := func(bytes int) string {
		return "GET / HTTP/1.1\r\nHost: n\r\nA: " + strings.Repeat("x", bytes) + "\r\n\r\n"
	}
	declared.Store(100)
	c.Assert(dial(c, address, request(200)).next(), qt.Matches, "431 .*")
	declared.Store(100 << 10)
	c.Assert(dial(c, address, request(200)).next(), qt.Equals, "200 ")
	c.Assert(dial(c, address, request(99<<10)).next(), qt.Equals, "200 ")
	c.Assert(dial(c, address, request(200)+strings.Repeat("x", 70_000)).next(), qt.Equals, "200 ")
	c.Assert(dial(c, address, strings.Repeat("x", 101<<10)).next(), qt.Matches, "431 .*")
	c.Assert(dial(c, limited, request(99<<10)).next(), qt.Matches, "431 .*")
	declared.Store(1 << 40)
	c.Assert(dial(c, address, strings.Repeat("x", 1<<20+1)).next(), qt.Matches, "431 .*")
}

// Guards against a read deadline that cannot be moved on, and against one that overrides a limit that was set.
func TestReadDeadlines(t *testing.T) {
	for timeout, status := range map[time.Duration]string{0: "200 ", time.Minute: "200 ", 300 * time.Millisecond: `(?s)400 .*`} {
		c := qt.New(t)
		_, address, _ := startLimited(c, func(w http.ResponseWriter, r *http.Request) {
			controller := http.NewResponseController(w)
			for range 20 { // each read has a short time
				c.Check(controller.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
				_, err := io.ReadFull(r.Body, make([]byte, 1))
				if err != nil {
					http.Error(w, "", http.StatusBadRequest)
					return
				}
			}
		}, pipelinehttp.Limits{RequestTimeout: timeout})
		caller := dial(c, address, "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 20\r\n\r\n")
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(caller, "x")
		}
		c.Check(caller.next(), qt.Matches, status, qt.Commentf("limit %v", timeout))
	}
}

// Guards against heads, bodies and waiting answers that fill the memory, against an account that refuses small requests while large
// ones fill it, and against bytes that are not released.
func TestMemoryAccount(t *testing.T) {
	c := qt.New(t)
	const size = 1 << 20
	g := newGates("/small", "/large")
	server, address, counted := startLimited(c, func(w http.ResponseWriter, r *http.Request) {
		if !pipelinehttp.Reserve(w, r.ContentLength) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		g.serve(w, r)
	}, pipelinehttp.Limits{AccountBytes: size, HeadTimeout: time.Minute})
	// Heads that never end take what is for large requests.
	var slow []caller
	for counted.get(pipelinehttp.CauseMemory) == 0 {
		slow = append(slow, dial(c, address, "GET / HTTP/1.1\r\nA: "+strings.Repeat("x", 60_000)))
		for server.AccountedBytes() < int64(len(slow))*56_000 && counted.get(pipelinehttp.CauseMemory) == 0 {
			c.Assert(server.AccountedBytes() <= size/4*3, qt.IsTrue)
			time.Sleep(time.Millisecond)
		}
	}
	_, err := slow[0].answers.ReadByte() // the first one was closed
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	c.Assert(len(slow) >= 10, qt.IsTrue)
	c.Assert(server.AccountedBytes() <= size/4*3, qt.IsTrue)
	// A small request is served at once, and a large one after slow heads were closed.
	small := dial(c, address, get("/small"))
	g.awaitStart(c, "/small")
	large := dial(c, address, "GET /large HTTP/1.1\r\nHost: n\r\nA: "+strings.Repeat("x", 60_000)+"\r\n\r\n")
	g.awaitStart(c, "/large")
	// A body for which there is no memory is refused.
	c.Assert(dial(c, address, post("/large", strings.Repeat("x", size))).next(), qt.Equals, "503  close")
	close(g.ended["/small"])
	close(g.ended["/large"])
	c.Assert(small.next(), qt.Equals, "200 /small")
	c.Assert(large.next(), qt.Equals, "200 /large")
	for _, each := range slow {
		_ = each.Close()
	}
	_, _ = small.Close(), large.Close()
	c.Assert(server.Shutdown(context.Background()), qt.IsNil)
	c.Assert(server.AccountedBytes(), qt.Equals, int64(0))
}

// Guards against pipelined requests that use up the memory: without memory for requests beside others, they run one by one.
func TestPipelinesWithoutMemoryRunOneByOne(t *testing.T) {
	c := qt.New(t)
	server, address, counted := startLimited(c, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.URL.Path)
	}, pipelinehttp.Limits{AccountBytes: 4 << 10})
	caller := dial(c, address, "")
	go func() {
		for i := range 500 {
			_, _ = io.WriteString(caller, get(fmt.Sprint("/", i)))
		}
	}()
	for i := range 500 {
		c.Assert(caller.next(), qt.Equals, fmt.Sprint("200 /", i))
	}
	c.Assert(counted.get(pipelinehttp.CauseMemory), qt.Equals, 0)
	_ = caller.Close()
	c.Assert(server.Shutdown(context.Background()), qt.IsNil)
}
