package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// additionalBytes makes an upstream send additional bytes late, after a share of its complete answers.
type additionalBytes struct {
	active atomic.Bool
	share  float64
	bytes  []string // one of them is sent each time
	late   time.Duration
}

// serveFaulty serves the upstream's connections without net/http, which sends nothing after an answer.
func (u *upstream) serveFaulty(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveFaultyConnection(connection)
	}
}

func (u *upstream) serveFaultyConnection(connection net.Conn) {
	defer connection.Close()
	var writing sync.Mutex
	for reader := bufio.NewReader(connection); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		attempt := r.Header.Get("X-Parsleyport-Attempt-Id")
		u.mu.Lock()
		u.runs = append(u.runs, run{attempt: attempt, at: time.Now()})
		u.mu.Unlock()
		u.d.record.printf("upstream %s (%s) runs %s %s, attempt %s", u.id, u.service, r.Method, r.RequestURI, attempt)
		time.Sleep(u.work)
		answer := answerTo(string(body))
		writing.Lock()
		_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Parsleyport-Attempt-Id: %s\r\nX-Parsleyport-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
			attempt, u.id, len(answer), answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if u.faults.active.Load() && rand.Float64() < u.faults.share {
			go func() {
				time.Sleep(u.faults.late)
				writing.Lock()
				defer writing.Unlock()
				extra := u.faults.bytes[rand.IntN(len(u.faults.bytes))]
				u.d.record.printf("upstream %s sends additional bytes after its answer to attempt %s: %.20q...", u.id, attempt, extra)
				_, _ = io.WriteString(connection, extra)
			}()
		}
	}
}

func answerTo(body string) string { return "done: " + body }
