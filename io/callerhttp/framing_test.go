package callerhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against request smuggling by ambiguous framing, where a second request is hidden in the body of the first, and against
// input that is not HTTP and stops the server for other callers.
func TestRequestSmugglingIsRejected(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		return answer(http.StatusOK, strings.NewReader("done"))
	}
	const hidden = "GET /orders/hidden HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, test := range map[string]struct {
		request   string
		status    int
		forwarded int
	}{
		"no HTTP":                 {request: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", status: http.StatusBadRequest},
		"two lengths":             {request: "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nContent-Length: 41\r\n\r\n" + hidden, status: http.StatusBadRequest},
		"negative length":         {request: "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n" + hidden, status: http.StatusBadRequest},
		"space before the colon":  {request: "POST /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden, status: http.StatusBadRequest},
		"unknown encoding":        {request: "POST /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden, status: http.StatusNotImplemented},
		"two encodings":           {request: "POST /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden, status: http.StatusNotImplemented},
		"length that is no chunk": {request: "POST /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" + hidden, status: http.StatusBadRequest},
		"length and encoding":     {request: "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 46\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, status: http.StatusOK, forwarded: 1},
	} {
		c.Run(name, func(c *qt.C) {
			before := e.forwarder.attempts()
			connection, err := net.Dial("tcp", e.Address())
			c.Assert(err, qt.IsNil)
			defer connection.Close()
			c.Assert(connection.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, err = io.WriteString(connection, test.request)
			c.Assert(err, qt.IsNil)
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.status)
			_, err = http.ReadResponse(reader, nil)
			c.Check(err, qt.IsNotNil) // the server has closed the connection
			c.Check(e.forwarder.attempts(), qt.Equals, before+test.forwarded)
		})
	}
	response, body, err := e.send(c, "GET", "/orders")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "done")
}
