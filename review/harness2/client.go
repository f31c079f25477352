package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Uint64

func newAttemptID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+lastAttempt.Add(1)) }

// result is what a client has got for a request; the status is zero if the connection has ended without a whole answer.
type result struct {
	id     string
	status int
	seal   string
	body   string
	err    error
}

// request sends one request to a node on a connection of its own. The header has whole lines.
func (r *run) request(node *machine, method, path, header, body string, remaining time.Duration) result {
	answer := result{
		id: newAttemptID(),
	}
	conn, err := net.DialTimeout("tcp", node.address(r.ports.outbound), time.Second)
	if err != nil {
		answer.err = err
		return answer
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(remaining + 200*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", method, path, host, headerAttempt, answer.id, headerDeadline, remaining.Milliseconds(), header)
	if body != "" || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, answer.err = io.WriteString(conn, text+"\r\n"+body); answer.err != nil {
		return answer
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		answer.err = err
		return answer
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		answer.err = err
		return answer
	}
	answer.status, answer.seal, answer.body = response.StatusCode, response.Header.Get(headerSeal), string(read)
	return answer
}
