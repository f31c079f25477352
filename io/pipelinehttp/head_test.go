package pipelinehttp

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHeadCounter guards against a head that ends at another byte than for http.ReadRequest (the rest would be read as a second
// request), against results that depend on the pieces in which the bytes arrive, and against limits that are exceeded.
func FuzzHeadCounter(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: n\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\nHost: n\n\n", "GET / HTTP/1.1\r\nHost: n\r\nA: b\r\n c\r\n\r\nrest",
		"GET / HTTP/1.1\r\nHost: n\r\n\r\r\n\r\n", "GET / HTTP/1.1\r\r\nHost: n\r\n\r\n", "GET / HTTP/1.1\r\nHost: n\r\n \r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 2\r\n\r\nabGET / HTTP/1.1\r\n\r\n", "a b c\r\n\r\n", "GET / HTTP/1.1\r\n" + strings.Repeat("A:\r\n", 20) + "\r\n",
		"GET / HTTP/1.1\r\nHost: n\r\nHost: m\r\n\r\n", "GET / HTTP/1.1\r\nHost:\r\n n\r\n\r\n", strings.Repeat("\r\n", 9), strings.Repeat("x", 600),
	} {
		f.Add([]byte(seed), byte(7))
	}
	limits := headLimits{bytes: 500, lines: 12, emptyLines: 5}
	f.Fuzz(func(t *testing.T, data []byte, step byte) {
		whole := headCounter{limits: limits}
		complete, status := whole.scan(data)
		pieces := headCounter{limits: limits}
		for end := 0; end < len(data) && pieces.endAt == 0; {
			end = min(end+int(step)+1, len(data))
			if _, early := pieces.scan(data[:end]); early != 0 {
				if status == 0 {
					t.Fatalf("status %d for a part of %q, which is allowed", early, data)
				}
				return
			}
		}
		if complete && (pieces.endAt != whole.endAt || pieces.lines != whole.lines || pieces.hosts != whole.hosts) {
			t.Fatalf("%+v in pieces, %+v at once, %q", pieces, whole, data)
		}
		if status != 0 || !complete {
			if status == 0 && len(data)-whole.beginAt > limits.bytes {
				t.Fatalf("a part of %d bytes is within the limit", len(data))
			}
			return
		}
		if size := whole.endAt - whole.beginAt; size > limits.bytes || whole.lines > limits.lines+1 || whole.empty > limits.emptyLines {
			t.Fatalf("a head of %d bytes, %d lines and %d empty lines is within the limits", size, whole.lines, whole.empty)
		}
		head := data[whole.beginAt:whole.endAt]
		r, refused := parseHead(data, &whole)
		if refused != 0 {
			return
		}
		// A longer text must not change what is parsed, so that the head ends where http.ReadRequest ends it.
		longer := append(bytes.Clone(head), "x: y\r\n\r\n"...)
		source := headReaderPool.Get().(*headReader)
		source.head.Reset(longer)
		source.buffer.Reset(source)
		again, err := http.ReadRequest(source.buffer)
		if err != nil || len(again.Header) != len(r.Header) || again.Host != r.Host {
			t.Fatalf("%q is parsed otherwise with more bytes: %v", head, err)
		}
		if left := source.buffer.Buffered() + source.head.Len(); left != len("x: y\r\n\r\n") {
			t.Fatalf("%q: %d bytes are left", head, left)
		}
	})
}
