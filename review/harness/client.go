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

var attempts atomic.Int64

// request is one client attempt; Target goes on the wire as it stands.
type request struct {
	node, method, target, headers, body string
	remaining                           time.Duration
}

type answer struct {
	attempt string
	status  int // zero without a complete answer
	body    string
	err     error
}

// send makes one client attempt on a new connection.
func (d *deployment) send(q request) answer {
	a := answer{attempt: fmt.Sprintf("%016x", 0x1c41d00000000000+attempts.Add(1))}
	d.record.printf("client: attempt %s sends %s %s to %s", a.attempt, q.method, q.target, q.node)
	connection, err := net.DialTimeout("tcp", d.address(q.node, portOutbound), time.Second)
	if err == nil {
		defer connection.Close()
		a.status, a.body, a.err = exchange(connection, bufio.NewReader(connection), q, a.attempt)
	} else {
		a.err = err
	}
	if a.err != nil {
		d.record.printf("client: attempt %s ends without a complete answer: %v", a.attempt, a.err)
	} else {
		d.record.printf("client: attempt %s gets %d %q", a.attempt, a.status, a.body)
	}
	return a
}

func exchange(connection net.Conn, reader *bufio.Reader, q request, attempt string) (int, string, error) {
	_ = connection.SetDeadline(time.Now().Add(q.remaining + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Parsleyport-Attempt-Id: %s\r\nX-Parsleyport-Deadline-Remaining: %d\r\n%s",
		q.method, q.target, meshHost, attempt, q.remaining.Milliseconds(), q.headers)
	if q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(connection, text+"\r\n"+q.body); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(body), err
	}
	return response.StatusCode, string(body), nil
}
