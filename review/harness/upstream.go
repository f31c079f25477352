package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const slots = 13

// run is one request that an upstream began to work on.
type run struct {
	attempt, method, target, caller, body string
	at                                    time.Time
}

// upstream stands in for an application upstream beside a node.
type upstream struct {
	d        *deployment
	node     string
	service  string
	version  string
	id       string
	born     int64
	work     time.Duration
	faults   *additionalBytes // nil for a sound upstream
	server   *http.Server
	sequence atomic.Int64
	beating  atomic.Bool

	mu     sync.Mutex
	runs   []run
	cutOff int // requests that were running when the upstream ended
	active int
}

func (d *deployment) newUpstream(node, service string, work time.Duration) *upstream {
	d.services[node] = service
	return &upstream{
		d:       d,
		node:    node,
		service: service,
		version: "v1",
		id:      fmt.Sprintf("i-%08x", rand.Uint32()),
		work:    work,
	}
}

func (u *upstream) start() {
	listener, err := net.Listen("tcp", u.d.address(u.node, portApplication))
	if err != nil {
		cannotRun("upstream: %v", err)
	}
	u.born = time.Now().UnixMilli()
	u.sequence.Store(0)
	u.server = &http.Server{Handler: u}
	if u.faults != nil {
		go u.serveFaulty(listener)
	} else {
		go func() { _ = u.server.Serve(listener) }()
	}
	u.beating.Store(true)
	go func(id string) {
		for u.beating.Load() && u.id == id {
			u.post("Heartbeat", u.heartbeat())
			time.Sleep(heartbeatInterval)
		}
	}(u.id)
	u.d.record.printf("upstream %s (%s beside %s) starts", u.id, u.service, u.node)
}

// heartbeat returns the next heartbeat in the state ready.
func (u *upstream) heartbeat() []byte {
	body, err := json.Marshal(map[string]any{
		"address":       u.d.address(u.node, portApplication),
		"born":          u.born,
		"instance-info": map[string]any{"service": u.service, "version": u.version, "zone": zoneOf(u.node), "slots": slots},
		"status":        map[string]any{"state": "ready", "sequence": u.sequence.Add(1), "cold-remaining": "0ms"},
	})
	if err != nil {
		cannotRun("heartbeat: %v", err)
	}
	return body
}

func (u *upstream) post(call string, body []byte) string {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return post(client, "http://"+u.d.address(u.node, portControl)+"/parsleyport/Instances."+call+"/"+u.id, body)
}

func (u *upstream) leaveBody() []byte {
	return fmt.Appendf(nil, `{"born":%d}`, u.born)
}

// end closes the upstream at once, with the requests that it runs.
func (u *upstream) end() {
	u.beating.Store(false)
	u.mu.Lock()
	u.cutOff = u.active
	u.mu.Unlock()
	u.d.record.printf("upstream %s exits with %d requests running", u.id, u.cutOff)
	_ = u.server.Close()
}

// restart starts a new incarnation of an upstream that has ended.
func (u *upstream) restart() {
	u.id = fmt.Sprintf("i-%08x", rand.Uint32())
	u.start()
}

// ServeHTTP answers as PROTOCOL.md says.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Parsleyport-Attempt-Id", r.Header.Get("X-Parsleyport-Attempt-Id"))
	if expected := r.Header.Get("X-Parsleyport-Expected-Instance"); expected != "" && expected != u.id {
		w.Header().Set("X-Parsleyport-Instance-Id", u.id)
		w.Header().Set("X-Parsleyport-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	begun := run{
		attempt: r.Header.Get("X-Parsleyport-Attempt-Id"),
		method:  r.Method,
		target:  r.RequestURI,
		caller:  strings.Join(r.Header.Values("X-Parsleyport-Caller-Service"), ","),
		body:    string(body),
		at:      time.Now(),
	}
	u.mu.Lock()
	u.runs = append(u.runs, begun)
	u.active++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.active--
		u.mu.Unlock()
	}()
	u.d.record.printf("upstream %s (%s) runs %s %s, attempt %s, caller service %q", u.id, u.service, begun.method, begun.target, begun.attempt, begun.caller)
	w.Header().Set("X-Parsleyport-Server-Seal", "seal-"+u.id)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		u.d.record.printf("upstream %s: the connection of attempt %s is closed, the work is dropped", u.id, begun.attempt)
		return
	}
	_, _ = io.WriteString(w, "done by "+u.service)
}

func (u *upstream) runsAfter(at time.Time) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var late []run
	for _, each := range u.runs {
		if each.at.After(at) {
			late = append(late, each)
		}
	}
	return late
}
