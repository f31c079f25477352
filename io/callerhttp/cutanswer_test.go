package callerhttp_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/backendhttp"
)

// cutAnswer is an answer of a backend server that is broken off anywhere. Its whole body is done.
type cutAnswer struct {
	head, body     string
	closeDelimited bool
}

var cutAnswers = map[string]cutAnswer{
	"length":       {head: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n", body: "done"},
	"chunks":       {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: "2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n"},
	"trailer":      {head: "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\ndone\r\n0\r\nX-Sum: 12\r\n\r\n"},
	"none":         {head: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", body: "done", closeDelimited: true},
	"http-1.0":     {head: "HTTP/1.0 200 OK\r\nServer: x\r\n\r\n", body: "done", closeDelimited: true},
	"line-feeds":   {head: "HTTP/1.1 200 OK\nContent-Length: 4\n\n", body: "done"},
	"no-content":   {head: "HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n"},
	"not-modified": {head: "HTTP/1.1 304 Not Modified\r\nEtag: x\r\n\r\n"},
	"interim":      {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", body: "done"},
}

// isWhole reports whether a caller may take what is left of the answer for the whole one.
func (a cutAnswer) isWhole(method string, cut int, reset bool) bool {
	switch {
	case cut < len(a.head):
		return false
	case method == http.MethodHead || a.body == "":
		return true
	case a.closeDelimited:
		return !reset
	}
	return cut == len(a.head)+len(a.body)
}

// startCuttingBackend starts a backend server that answers /orders/NAME/CUT/END with a part of an answer. It ends the connection in order
// or with a reset. Behind a whole answer of the path /orders/kept/CUT/END it sends a part of another one.
func startCuttingBackend(c *qt.C) *httptest.Server {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		var name, end string
		cut := 0
		_, err := fmt.Sscan(strings.ReplaceAll(strings.TrimPrefix(r.URL.Path, "/orders/"), "/", " "), &name, &cut, &end)
		conn, _, hijackErr := w.(http.Hijacker).Hijack()
		if !c.Check(err, qt.IsNil) || !c.Check(hijackErr, qt.IsNil) {
			return
		}
		answer := cutAnswers[name]
		if name == "kept" {
			answer = cutAnswers["length"]
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
		}
		fmt.Fprint(conn, (answer.head + answer.body)[:cut])
		if end == "reset" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}))
	c.Cleanup(backend.Close)
	return backend
}

// Guards against answers that break off in the head, the body or the trailer and reach callers as whole ones, over TCP and with a second
// node in between.
func TestCutAnswersAreNotWholeForCallers(t *testing.T) {
	c := qt.New(t)
	backend := startCuttingBackend(c)
	n := startNodeOf(t, backend, core.EndpointReady, backendhttp.Options{AllowCloseDelimited: true})
	entry := startEntry(t, allV1, &fixedEndpoints{endpoints: []core.Endpoint{endpointOf("b", n)}})
	send := func(method, path string) (status int, body string, err error) {
		request, err := http.NewRequest(method, "http://"+entry.Address()+path, nil)
		c.Assert(err, qt.IsNil)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return 0, "", err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return response.StatusCode, string(text), err
	}
	for name, answer := range cutAnswers {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			if method == http.MethodHead && answer.body == "" {
				continue
			}
			for _, end := range []string{"close", "reset"} {
				for cut := range len(answer.head) + len(answer.body) + 1 {
					status, body, err := send(method, fmt.Sprintf("/orders/%s/%d/%s", name, cut, end))
					seen := qt.Commentf("%s %s, cut at %d by %s: status %d, %q, %v", method, name, cut, end, status, body, err)
					whole := err == nil && status < http.StatusBadRequest
					if whole {
						c.Check(answer.isWhole(method, cut, end == "reset"), qt.IsTrue, seen)
					}
					if end == "close" && cut == len(answer.head)+len(answer.body) {
						c.Check(whole, qt.IsTrue, seen)
						c.Check(body == "done" || body == "" && (method == http.MethodHead || answer.body == ""), qt.IsTrue, seen)
					}
				}
			}
		}
	}
	for _, end := range []string{"close", "reset"} {
		for cut := range len(cutAnswers["length"].head) + 1 {
			for range 2 { // the second call may get the connection of the first one
				status, body, err := send(http.MethodGet, fmt.Sprintf("/orders/kept/%d/%s", cut, end))
				if err == nil && status == http.StatusOK {
					c.Check(body, qt.Equals, "first", qt.Commentf("cut at %d by %s", cut, end))
				}
			}
		}
	}
}
