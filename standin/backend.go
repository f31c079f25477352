package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	announceEvery = time.Second
	drainAtMost   = 10 * time.Second
	maxBodyBytes  = 1 << 20
	checksumName  = "Standin-Checksum"
)

type backendOptions struct {
	listen      string
	announce    string
	service     string
	release     string
	slots       int
	workMS      int
	coldMS      int
	answerBytes int
	runLog      string
}

func backendFlags(app *kingpin.Application) (*kingpin.CmdClause, *backendOptions) {
	o := &backendOptions{}
	command := app.Command("backend", "Run a backend server that announces itself to its node and logs every run.")
	command.Flag("listen", "Address for requests.").Required().StringVar(&o.listen)
	command.Flag("announce", "Backend address of the node beside this instance.").Required().StringVar(&o.announce)
	command.Flag("service", "Service.").Required().StringVar(&o.service)
	command.Flag("release", "Release.").Required().StringVar(&o.release)
	command.Flag("slots", "Runs at the same time; more are shed with status 503.").Default("9").IntVar(&o.slots)
	command.Flag("work-ms", "Time of one run.").Default("1").IntVar(&o.workMS)
	command.Flag("cold-ms", "Time after the start in which runs take four times as long.").Default("0").IntVar(&o.coldMS)
	command.Flag("answer-bytes", "Size of the answer's padding.").Default("200").IntVar(&o.answerBytes)
	command.Flag("run-log", "File that gets one JSON line for each run.").Required().StringVar(&o.runLog)
	return command, o
}

// runEntry is one line of a run log.
type runEntry struct {
	CallID  string    `json:"call-id"`
	Key     string    `json:"key"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Release string    `json:"release"`
	At      time.Time `json:"at"`
}

type backendServer struct {
	options   backendOptions
	log       *os.File
	startedAt time.Time
	running   atomic.Int64
	leaving   atomic.Bool
	faults    faultSwitch
}

func runBackend(ctx context.Context, o backendOptions) error {
	log, err := os.OpenFile(o.runLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	b := &backendServer{
		options:   o,
		log:       log,
		startedAt: time.Now(),
	}
	mux := http.NewServeMux()
	mux.Handle("PUT /standin/faults", &b.faults)
	mux.HandleFunc("GET /standin/health", b.health)
	mux.HandleFunc("/", b.serve)
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	return b.announceUntil(ctx, server, failed)
}

// announceUntil renews the lease until the context ends, then drains: leaving is announced first, so that no new
// requests arrive while the running ones finish.
func (b *backendServer) announceUntil(ctx context.Context, server *http.Server, failed <-chan error) error {
	run := strconv.FormatInt(b.startedAt.UnixNano(), 36)
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		b.announce(run, "ready")
		select {
		case err := <-failed:
			return errors.Trace(err)
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		b.leaving.Store(true)
		b.announce(run, "leaving")
		drain, cancel := context.WithTimeout(context.Background(), drainAtMost)
		defer cancel()
		return errors.Trace(server.Shutdown(drain))
	}
}

func (b *backendServer) announce(run, state string) {
	body, err := json.Marshal(map[string]any{
		"service": b.options.service,
		"release": b.options.release,
		"address": b.options.listen,
		"slots":   b.options.slots,
		"state":   state,
		"run":     run,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceEvery)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.options.announce+"/v1/backend", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the node may be restarting; the next announcement follows in a second
	}
	_ = response.Body.Close()
}

// health always reports a healthy server, as a misleading health endpoint does.
func (b *backendServer) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, `{"healthy": true, "load": 0}`)
}

func (b *backendServer) serve(w http.ResponseWriter, r *http.Request) {
	running := int(b.running.Add(1))
	defer b.running.Add(-1)
	if running > b.options.slots {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	b.record(r)
	f := b.faults.get()
	hit := f.hits(r, running)
	if f.CrashOnHeader && r.Header.Get("Standin-Crash") != "" {
		os.Exit(3)
	}
	if !b.work(r.Context(), f, hit) {
		return
	}
	if hit && f.fails() {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	b.answer(w, r, hit && f.CutAnswer)
}

// work returns false if the request was cancelled or must stay without an answer.
func (b *backendServer) work(ctx context.Context, f faults, hit bool) bool {
	if hit && f.Silent {
		<-ctx.Done()
		return false
	}
	duration := time.Duration(b.options.workMS) * time.Millisecond
	if time.Since(b.startedAt) < time.Duration(b.options.coldMS)*time.Millisecond {
		duration *= 4
	}
	if hit {
		duration += f.delay()
	}
	if duration == 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (b *backendServer) record(r *http.Request) {
	line, err := json.Marshal(runEntry{
		CallID:  r.Header.Get("Parsleyport-Call-Id"),
		Key:     r.Header.Get("Standin-Key"),
		Method:  r.Method,
		Path:    r.URL.Path,
		Release: b.options.release,
		At:      time.Now(),
	})
	if err != nil {
		return
	}
	_, _ = b.log.Write(append(line, '\n')) // one write, so that lines of several requests do not mix
}

// answer repeats the request's key, so that the caller can tell whether the answer is its own and complete.
func (b *backendServer) answer(w http.ResponseWriter, r *http.Request, cut bool) {
	body := fmt.Appendf(nil, "%s %s ", r.Header.Get("Standin-Key"), b.options.release)
	body = append(body, bytes.Repeat([]byte{'.'}, b.options.answerBytes)...)
	w.Header().Set(checksumName, strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}
