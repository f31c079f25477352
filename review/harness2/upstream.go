package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerAttempt     = "X-Parsleyport-Attempt-Id"
	headerDeadline    = "X-Parsleyport-Deadline-Remaining"
	headerExpected    = "X-Parsleyport-Expected-Instance"
	headerNotExecuted = "X-Parsleyport-Not-Executed"
	headerSeal        = "X-Parsleyport-Server-Seal"
	headerCaller      = "X-Parsleyport-Caller-Service"
)

// upstream is a stand-in of an upstream. It serves HTTP/1.1 with one request at a time on a connection.
type upstream struct {
	run     *run
	id      string
	version string
	node    *machine
	born    time.Time
	handle  func(u *upstream, c *upstreamConn, r *http.Request, body []byte)

	listener net.Listener
	done     chan struct{}
	closing  sync.Once

	mu       sync.Mutex // guards the fields below
	runs     map[string]int
	sequence int
	conns    map[*upstreamConn]bool
}

// upstreamConn is a connection from a node.
type upstreamConn struct {
	net.Conn
	pending []byte // an extra answer that is sent when the next request has arrived
}

func (d *deployment) startUpstream(node *machine, id, version string, handle func(*upstream, *upstreamConn, *http.Request, []byte)) *upstream {
	u := &upstream{
		run:      d.run,
		id:       id,
		version:  version,
		node:     node,
		born:     time.Now(),
		handle:   handle,
		listener: listen(node.address(d.run.ports.application)),
		done:     make(chan struct{}),
		runs:     make(map[string]int),
		conns:    make(map[*upstreamConn]bool),
	}
	go u.serve()
	go u.beat()
	return u
}

func (u *upstream) stop() {
	u.closing.Do(func() {
		close(u.done)
		_ = u.listener.Close()
		u.mu.Lock()
		defer u.mu.Unlock()
		for c := range u.conns {
			_ = c.Close()
		}
	})
}

func (u *upstream) beat() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		u.heartbeat("ready")
		select {
		case <-ticker.C:
		case <-u.done:
			return
		}
	}
}

func (u *upstream) heartbeat(state string) int {
	u.mu.Lock()
	u.sequence++
	sequence := u.sequence
	u.mu.Unlock()
	encoded, err := json.Marshal(object{
		"address":       u.node.address(u.run.ports.application),
		"born":          u.born.UnixMilli(),
		"instance-info": object{"service": u.node.service, "version": u.version, "zone": u.node.zone, "slots": 9},
		"status":        object{"state": state, "sequence": sequence, "cold-remaining": "0ms"},
	})
	if err != nil {
		return 0
	}
	response, err := operatorClient.Post("http://"+u.node.address(u.run.ports.control)+"/parsleyport/Instances.Heartbeat/"+u.id, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (u *upstream) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(&upstreamConn{Conn: conn})
	}
}

func (u *upstream) serveConn(c *upstreamConn) {
	defer c.Close()
	u.mu.Lock()
	u.conns[c] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c)
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if c.pending != nil {
			if _, err := c.Write(c.pending); err != nil {
				return
			}
			u.run.notef("upstream %s: extra answer written before the answer to %s", u.id, r.Header.Get(headerAttempt))
			c.pending = nil
		}
		if expected := r.Header.Get(headerExpected); expected != "" && expected != u.id {
			c.answer(r, http.StatusMisdirectedRequest, headerNotExecuted+": 1\r\n", "")
			continue
		}
		u.handle(u, c, r, body)
	}
}

// begin records that the upstream begins to work on a request.
func (u *upstream) begin(r *http.Request) {
	id := r.Header.Get(headerAttempt)
	u.mu.Lock()
	u.runs[id]++
	count := u.runs[id]
	u.mu.Unlock()
	u.run.notef("upstream %s: runs %s %s of attempt %s, time %d", u.id, r.Method, r.RequestURI, id, count)
}

// answer writes an answer and returns its bytes.
func (c *upstreamConn) answer(r *http.Request, status int, header, body string) []byte {
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
		headerAttempt, r.Header.Get(headerAttempt), header, len(body), body)
	_, _ = c.Write(text)
	return text
}
