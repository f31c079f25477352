package pipelinehttp_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against answers that differ from those of net/http's server in more than the order of header lines.
func TestAnswersEqualThoseOfNetHTTP(t *testing.T) {
	c := qt.New(t)
	handlers := map[string]handler{
		"nothing":     func(http.ResponseWriter, *http.Request) {},
		"short":       func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>short") },
		"two writes":  func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "a"); fmt.Fprint(w, "b") },
		"long":        func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("long", 20_000)) },
		"short, long": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "%PDF-", strings.Repeat("x", 5_000)) },
		"flushed": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "a")
			w.(http.Flusher).Flush()
			fmt.Fprint(w, "b")
		},
		"flushed early": func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush(); fmt.Fprint(w, "b") },
		"length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			fmt.Fprint(w, "body")
		},
		"length of nothing": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") },
		"type": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/x")
			fmt.Fprint(w, "body")
		},
		"content encoding": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			fmt.Fprint(w, "body")
		},
		"no type":  func(w http.ResponseWriter, _ *http.Request) { w.Header()["Content-Type"] = nil; fmt.Fprint(w, "body") },
		"date":     func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Date", "today") },
		"close":    func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") },
		"no date":  func(w http.ResponseWriter, _ *http.Request) { w.Header()["Date"] = nil },
		"status":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(599) },
		"no body":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) },
		"late":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200); w.Header().Set("A", "b") },
		"error":    func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "text", http.StatusServiceUnavailable) },
		"redirect": func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/b", http.StatusFound) },
		"not modified": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			w.Header().Set("Content-Type", "text/x")
			w.WriteHeader(304)
			fmt.Fprint(w, "body")
		},
		"no body with length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			w.Header().Set("Content-Type", "text/x")
			w.WriteHeader(204)
			fmt.Fprint(w, "body")
		},
		"values": func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["A"] = []string{"b", " c\r\nD: e ", "", "f\ng"}
			w.Header()["b c"] = []string{"d"}
			w.Header()["lower"] = []string{"e"}
		},
		"interim": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Link", "x")
			w.WriteHeader(103)
			fmt.Fprint(w, "body")
		},
	}
	requests := map[string]string{
		"get":         "GET / HTTP/1.1\r\nHost: n\r\n\r\n",
		"head":        "HEAD / HTTP/1.1\r\nHost: n\r\n\r\n",
		"close":       "GET / HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n",
		"1.0":         "GET / HTTP/1.0\r\n\r\n",
		"1.0 kept":    "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"post":        "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc",
		"with expect": "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n",
	}
	for name, h := range handlers {
		reference := httptest.NewServer(h)
		c.Cleanup(reference.Close)
		_, address := start(c, h, nil)
		for kind, request := range requests {
			want := exchange(c, reference.Listener.Addr().String(), request)
			got := exchange(c, address, request)
			c.Check(got, qt.Equals, want, qt.Commentf("%s, %s", name, kind))
		}
	}
}

var datePattern = regexp.MustCompile(`Date: .* GMT`)

// exchange returns all bytes of the answer to a request, with the header lines in order.
func exchange(c *qt.C, address, request string) string {
	caller := dial(c, address, request)
	defer caller.Close()
	var text bytes.Buffer
	answers := bufio.NewReader(io.TeeReader(caller.Conn, &text))
	method, _, _ := strings.Cut(request, " ")
	for status := 100; status < 200; {
		response, err := http.ReadResponse(answers, &http.Request{Method: method})
		c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, response.Body) // fails if the answer is cut
		status = response.StatusCode
	}
	parts := strings.Split(datePattern.ReplaceAllString(text.String(), "Date"), "\r\n\r\n")
	for i, part := range parts {
		if lines := strings.Split(part, "\r\n"); strings.HasPrefix(part, "HTTP/") {
			slices.Sort(lines[1:])
			parts[i] = strings.Join(lines, "\n")
		}
	}
	return strings.Join(parts, "\n\n")
}
