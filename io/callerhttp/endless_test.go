package callerhttp_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// endlessBackend answers calls below /orders/endless with a beginning and a text without end, and others with "whole".
type endlessBackend struct {
	begin, endless string
	open           atomic.Int64 // connections on which it still sends
	sent           atomic.Int64
}

func (b *endlessBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/orders/endless") {
		fmt.Fprint(w, "whole")
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	b.open.Add(1)
	defer b.open.Add(-1)
	block := []byte(strings.Repeat(b.endless, 1+16<<10/len(b.endless)))
	if _, err := conn.Write([]byte(b.begin)); err != nil {
		return
	}
	for {
		n, err := conn.Write(block)
		b.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a backend server that sends bytes without end, in any part of an answer, to callers that read slowly or not at all:
// the node must not keep them, other calls must be served, and the sending must end when the callers have left.
func TestEndlessAnswersDoNotFillTheMemory(t *testing.T) {
	const (
		callers = 60 // of 64 slots
		// maxGrowth is what docs/design.md allows for all connections of a node.
		maxGrowth = 64 << 20
	)
	for name, backend := range map[string]*endlessBackend{
		"head":            {endless: "A: b\r\n"},
		"head value":      {begin: "HTTP/1.1 200 OK\r\nA: ", endless: "b"},
		"interim answers": {endless: "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":            {begin: "HTTP/1.1 200 OK\r\n\r\n", endless: "x"},
		"body of a stated length": {
			begin: "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", endless: "x",
		},
		"chunk":           {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", endless: "x"},
		"small chunks":    {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", endless: "1\r\nx\r\n"},
		"chunk extension": {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", endless: "x"},
		"trailer":         {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", endless: "A: b\r\n"},
		"trailer value":   {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", endless: "b"},
		"after an answer": {begin: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", endless: "x"},
		"answers after an answer": {
			begin:   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
			endless: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		},
		"failure to be retried": {begin: "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", endless: "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(backend)
			t.Cleanup(server.Close)
			n := startNode(t, server, core.EndpointReady)
			entry := startEntry(t, allV1, &fixedEndpoints{endpoints: []core.Endpoint{endpointOf("b", n)}})
			before := liveHeap()
			var conns []net.Conn
			for i := range callers {
				conn, err := net.Dial("tcp", entry.Address())
				c.Assert(err, qt.IsNil)
				fmt.Fprintf(conn, "GET /orders/endless/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
				conns = append(conns, conn)
			}
			growth := uint64(0)
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for range 12 {
				<-ticker.C
				now := liveHeap()
				growth = max(growth, now-min(before, now))
			}
			c.Assert(growth < maxGrowth, qt.IsTrue, qt.Commentf("%d bytes", growth))

			var served sync.WaitGroup
			for range 4 {
				served.Go(func() {
					response, err := http.Get("http://" + entry.Address() + "/orders/whole")
					if c.Check(err, qt.IsNil) {
						c.Check(response.StatusCode, qt.Equals, http.StatusOK)
						_ = response.Body.Close()
					}
				})
			}
			served.Wait()
			for _, conn := range conns {
				_ = conn.Close()
			}
			deadline := time.After(10 * time.Second) // an idle connection is closed within 4 s
			for backend.open.Load() > 0 {
				select {
				case <-deadline:
					c.Fatalf("%d connections are still open, %d bytes sent", backend.open.Load(), backend.sent.Load())
				case <-ticker.C:
				}
			}
		})
	}
}

// liveHeap returns the bytes that are in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
