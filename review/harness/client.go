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
	node, method, target, body string
	remaining                  time.Duration
}

type answer struct {
	attempt string
	status  int // zero without a complete answer
	seal    string
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
		a.exchange(connection, q)
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

func (a *answer) exchange(connection net.Conn, q request) {
	_ = connection.SetDeadline(time.Now().Add(q.remaining + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Parsleyport-Attempt-Id: %s\r\nX-Parsleyport-Deadline-Remaining: %d\r\n",
		q.method, q.target, meshHost, a.attempt, q.remaining.Milliseconds())
	if q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, a.err = io.WriteString(connection, text+"\r\n"+q.body); a.err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return
	}
	body, err := io.ReadAll(response.Body)
	a.seal, a.body, a.err = response.Header.Get("X-Parsleyport-Server-Seal"), string(body), err
	if err == nil {
		a.status = response.StatusCode
	}
}
