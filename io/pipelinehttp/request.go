package pipelinehttp

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
)

// headReader is the source of the bufio.Reader that http.ReadRequest parses. It returns the head, and after it the body if that is
// chunked.
type headReader struct {
	head   bytes.Reader
	body   io.Reader
	buffer *bufio.Reader
}

func (h *headReader) Read(p []byte) (int, error) {
	if h.head.Len() > 0 || h.body == nil {
		return h.head.Read(p)
	}
	return h.body.Read(p)
}

var headReaderPool = sync.Pool{
	New: func() any {
		h := &headReader{}
		h.buffer = bufio.NewReader(h)
		return h
	},
}

// parsedRequest is a request without context and body. The chunked body is nil for other requests.
type parsedRequest struct {
	*http.Request
	chunked *headReader
}

// parseHead parses the head that was counted at the beginning of data, or returns the status of a refusal. It checks what the server
// of net/http checks in addition to http.ReadRequest.
func parseHead(data []byte, counted *headCounter) (parsedRequest, int) {
	head := data[counted.beginAt:counted.endAt]
	h := headReaderPool.Get().(*headReader)
	h.head.Reset(head)
	h.buffer.Reset(h)
	r, err := http.ReadRequest(h.buffer)
	if err != nil || h.head.Len() > 0 || h.buffer.Buffered() > 0 {
		if err != nil && strings.Contains(err.Error(), "transfer encoding") {
			return parsedRequest{}, http.StatusNotImplemented
		}
		return parsedRequest{}, http.StatusBadRequest
	}
	// The server of net/http finds the word also in lists without commas, as in "close x".
	r.Close = r.Close || strings.Contains(strings.ToLower(r.Header.Get("Connection")), "close")
	parsed := parsedRequest{
		Request: r,
	}
	if len(r.TransferEncoding) > 0 {
		parsed.chunked = h
	} else {
		h.head.Reset(nil)
		headReaderPool.Put(h)
	}
	return parsed, checkRequest(r, counted, counted.host(data))
}

// checkRequest returns the status of a refusal, or zero.
func checkRequest(r *http.Request, counted *headCounter, host []byte) int {
	switch {
	case r.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case counted.hosts > 1, counted.hosts == 0 && r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect:
		return http.StatusBadRequest
	case !consistsOf(host, &validHostByte):
		return http.StatusBadRequest
	}
	for name, values := range r.Header {
		if !validName(name) {
			return http.StatusBadRequest
		}
		for _, value := range values {
			if !validValue(value) {
				return http.StatusBadRequest
			}
		}
	}
	if expected := r.Header.Get("Expect"); expected != "" && !expectsContinue(r) {
		return http.StatusExpectationFailed
	}
	return 0
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(strings.TrimSpace(r.Header.Get("Expect")), "100-continue")
}

// isSafe reports whether a request may run beside others if its route allows it.
func isSafe(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return r.ContentLength == 0 && len(r.TransferEncoding) == 0 && r.ProtoAtLeast(1, 1)
	}
	return false
}
