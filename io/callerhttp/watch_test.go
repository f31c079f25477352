package callerhttp_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/io/callerhttp"
)

// lockedBuffer is a log buffer for concurrent writers.
type lockedBuffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

// refusals returns the logged refusals.
func (b *lockedBuffer) refusals(c *qt.C) []logLine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []logLine
	for line := range bytes.Lines(b.buffer.Bytes()) {
		var entry logLine
		c.Assert(json.Unmarshal(line, &entry), qt.IsNil, qt.Commentf("%s", line))
		if entry.Message == "request refused" {
			lines = append(lines, entry)
		}
	}
	return lines
}

type logLine struct {
	Message string `json:"message"`
	Call    string `json:"call"`
	Cause   string `json:"cause"`
	Status  int    `json:"status"`
}

// Guards against requests that are refused before they become calls and are neither logged nor counted, and against counting
// answers of a backend server as refusals.
func TestEarlyRefusalsAreLoggedAndCounted(t *testing.T) {
	c := qt.New(t)
	log, set := &lockedBuffer{}, metrics.NewSet()
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.Logger = zerolog.New(log)
		o.Metrics = set
	})
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		return answer(http.StatusTeapot, strings.NewReader("HTTP/1.1 500 \r\n"))
	}
	const plain = "GET /orders HTTP/1.1\r\nHost: x\r\n\r\n"
	statuses := exchange(c, e.Address(), plain+plain+"no HTTP\r\n\r\n", 3)
	c.Assert(statuses, qt.DeepEquals, []int{http.StatusTeapot, http.StatusTeapot, http.StatusBadRequest})
	statuses = exchange(c, e.Address(), "GET /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n", 1)
	c.Assert(statuses, qt.DeepEquals, []int{http.StatusNotImplemented})
	statuses = exchange(c, e.Address(), "GET /nowhere HTTP/1.1\r\nHost: x\r\nParsleyport-Call-Id: "+strings.Repeat("c", 300)+"\r\n\r\n", 1)
	c.Assert(statuses, qt.DeepEquals, []int{http.StatusNotFound})

	c.Assert(log.refusals(c), qt.DeepEquals, []logLine{
		{Message: "request refused", Cause: "unreadable-request", Status: http.StatusBadRequest},
		{Message: "request refused", Cause: "unreadable-request", Status: http.StatusNotImplemented},
		{Message: "request refused", Cause: string(core.CauseNoRoute), Status: http.StatusNotFound, Call: strings.Repeat("c", 128)},
	})
	c.Assert(set.GetOrCreateCounter(`parsleyport_caller_refusals_total{cause="unreadable-request"}`).Get(), qt.Equals, uint64(2))
	c.Assert(set.GetOrCreateCounter(`parsleyport_caller_calls_total{outcome="not-run"}`).Get(), qt.Equals, uint64(3))
}

// exchange sends bytes on a new connection and returns the statuses of the responses.
func exchange(c *qt.C, address, text string, answers int) []int {
	connection, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	c.Assert(connection.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	_, err = io.WriteString(connection, text)
	c.Assert(err, qt.IsNil)
	reader := bufio.NewReader(connection)
	var statuses []int
	for range answers {
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}
