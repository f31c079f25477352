package outside

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	announcementTimeout       = time.Second // of one announcement and its acknowledgement
	announcementRetryInterval = 100 * time.Millisecond
	leaveTimeout              = 2 * time.Second // for the acknowledgement that the server leaves
	drainTimeout              = 10 * time.Second
	maxLogLineBytes           = 1 << 20
	checksumHeader            = "Standin-Checksum"
)

type backendOptions struct {
	listen           string
	announce         string
	service          string
	release          string
	slots            int
	workMS           int
	coldMS           int
	answerBytes      int
	name             string
	announceMS       int
	nestedPath       string
	nestedHost       string
	nestedNode       string
	nestedPathPrefix string
	runLog           string
}

func backendFlags(app *kingpin.Application) (*kingpin.CmdClause, *backendOptions) {
	o := &backendOptions{}
	command := app.Command("backend", "Run a backend server that announces itself to its node and logs every run.")
	command.Flag("listen", "Address for requests.").Required().StringVar(&o.listen)
	command.Flag("announce", "Backend address of the node beside this instance.").Required().StringVar(&o.announce)
	command.Flag("service", "Service.").Required().StringVar(&o.service)
	command.Flag("release", "Release.").Required().StringVar(&o.release)
	command.Flag("slots", "Concurrent runs; further requests are shed with status 503.").Default("9").IntVar(&o.slots)
	command.Flag("work-ms", "Duration of one run.").Default("1").IntVar(&o.workMS)
	command.Flag("cold-ms", "Time after the start in which runs take four times as long.").Default("0").IntVar(&o.coldMS)
	command.Flag("answer-bytes", "Size of the answer's padding.").Default("200").IntVar(&o.answerBytes)
	command.Flag("name", "Name of this process; empty for one that is derived from the start time.").StringVar(&o.name)
	command.Flag("announce-ms", "Interval between announcements.").Default("1000").IntVar(&o.announceMS)
	command.Flag("nested-for", "Path prefix of the requests whose runs make a nested call.").StringVar(&o.nestedPathPrefix)
	command.Flag("nested-node", "Caller address of the node for nested calls.").StringVar(&o.nestedNode)
	command.Flag("nested-host", "Host header of nested calls; empty for the node's address.").StringVar(&o.nestedHost)
	command.Flag("nested-path", "Path of nested calls.").StringVar(&o.nestedPath)
	command.Flag("run-log", "File that gets one JSON line for each run.").Required().StringVar(&o.runLog)
	return command, o
}

// runEntry is one line of a run log.
type runEntry struct {
	CallID  string    `json:"call-id"`
	Caller  string    `json:"caller"` // service beside the node at which the call entered
	Key     string    `json:"key"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Leaving bool      `json:"leaving,omitempty"` // the run began after the node had been told that the server leaves
	Release string    `json:"release"`
	At      time.Time `json:"at"`
}

type backendServer struct {
	options        backendOptions
	protocol       Protocol
	log            *os.File
	startedAt      time.Time
	name           string // identifies this process to its node
	running        atomic.Int64
	leaveAnnounced atomic.Bool // the node has been told that the server leaves
	nestedCalls    atomic.Uint64
	faults         faultHandler
}

func runBackend(ctx context.Context, o backendOptions, protocol Protocol) error {
	log, err := os.OpenFile(o.runLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	b := &backendServer{
		options:   o,
		protocol:  protocol,
		log:       log,
		startedAt: time.Now(),
		name:      o.name,
	}
	if b.name == "" {
		b.name = strconv.FormatInt(b.startedAt.UnixNano(), 36)
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
	return b.announceUntilDone(ctx, server, failed)
}

// announceUntilDone renews the lease at the node until the context ends, then drains the server.
func (b *backendServer) announceUntilDone(ctx context.Context, server *http.Server, failed <-chan error) error {
	ticker := time.NewTicker(time.Duration(b.options.announceMS) * time.Millisecond)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		b.announce(sequence, StateReady)
		select {
		case err := <-failed:
			return errors.Trace(err)
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		return b.leave(sequence+1, server)
	}
}

// leave announces that the server leaves, so that no new requests arrive, serves on for the protocol's drain delay, lets the
// running requests finish and stops the server. It fails if the protocol requires an acknowledgement of the announcement and
// none arrives within leaveTimeout, or if requests still run after drainTimeout.
func (b *backendServer) leave(sequence int, server *http.Server) error {
	deadline := time.Now().Add(leaveTimeout)
	for ; !b.announce(sequence, StateLeaving) && b.protocol.AwaitsLeaveAcknowledgement; sequence++ {
		if time.Now().After(deadline) {
			return errors.New("the node has not acknowledged that this server leaves")
		}
		time.Sleep(announcementRetryInterval)
	}
	b.leaveAnnounced.Store(true)
	time.Sleep(b.protocol.DrainDelay)
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(drain); err != nil {
		return errors.Trace(err)
	}
	b.announce(sequence+1, StateGone)
	return nil
}

// announce sends an announcement and reports whether the node has acknowledged it.
func (b *backendServer) announce(sequence int, state State) bool {
	request, err := b.protocol.Announce(b.options.announce, Announcement{
		Service:         b.options.service,
		Release:         b.options.release,
		Address:         b.options.listen,
		Slots:           b.options.slots,
		State:           state,
		RunID:           b.name,
		StartedAt:       b.startedAt,
		Sequence:        sequence,
		WarmUpRemaining: max(0, time.Until(b.warmUpEnd())),
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: announcement: %v\n", b.protocol.Name, err)
		return false
	}
	if request == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), announcementTimeout)
	defer cancel()
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return false // the node may be restarting; the next announcement retries
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}

// warmUpEnd returns when runs stop taking four times as long.
func (b *backendServer) warmUpEnd() time.Time {
	return b.startedAt.Add(time.Duration(b.options.coldMS) * time.Millisecond)
}

// health reports a healthy server in every state, so that tests cover misleading health endpoints.
func (b *backendServer) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, `{"healthy": true, "load": 0}`)
}

func (b *backendServer) serve(w http.ResponseWriter, r *http.Request) {
	running := int(b.running.Add(1))
	defer b.running.Add(-1)
	b.echoCallID(w, r)
	if expected := r.Header.Get(b.protocol.Headers.ExpectedInstance); expected != "" && expected != b.name {
		b.rejectNotRun(w, http.StatusMisdirectedRequest, "another instance is expected")
		return
	}
	if running > b.options.slots {
		w.Header().Set("Retry-After", "1")
		b.rejectNotRun(w, http.StatusServiceUnavailable, "no free slot")
		return
	}
	b.logRun(r)
	current := b.faults.get()
	faulty := current.affects(r, running)
	if current.CrashOnHeader && r.Header.Get("Standin-Crash") != "" {
		os.Exit(3)
	}
	if !b.work(r.Context(), current, faulty) {
		return
	}
	if faulty && current.fails() {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	if b.options.nestedPathPrefix != "" && strings.HasPrefix(r.URL.Path, b.options.nestedPathPrefix) {
		if err := b.callNested(r); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	b.answer(w, r, faulty && current.CutAnswer)
}

// callNested makes the nested call of a run, with the deadline header of the run's request.
func (b *backendServer) callNested(r *http.Request) error {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+b.options.nestedNode+b.options.nestedPath, nil)
	if err != nil {
		return err
	}
	request.Host = b.options.nestedHost
	setHeaderIfPresent(request, b.protocol.Headers.Deadline, r.Header.Get(b.protocol.Headers.Deadline))
	if b.protocol.CallerSetsCallID {
		setHeaderIfPresent(request, b.protocol.Headers.CallID, fmt.Sprintf("%s-%d", b.name, b.nestedCalls.Add(1)))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the nested call was answered with %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// echoCallID copies the call id of the request to the answer.
func (b *backendServer) echoCallID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(b.protocol.Headers.CallID); id != "" {
		w.Header().Set(b.protocol.Headers.CallID, id)
	}
}

// rejectNotRun answers a request that was not run and marks the answer as such, so that the node may safely try elsewhere.
func (b *backendServer) rejectNotRun(w http.ResponseWriter, status int, text string) {
	w.Header().Set(b.protocol.Headers.NotRun, "1")
	http.Error(w, text, status)
}

// work waits for the duration of the run. It returns false if the request was cancelled or must not be answered.
func (b *backendServer) work(ctx context.Context, f faults, faulty bool) bool {
	if faulty && f.Silent {
		<-ctx.Done()
		return false
	}
	duration := time.Duration(b.options.workMS) * time.Millisecond
	if time.Now().Before(b.warmUpEnd()) {
		duration *= 4
	}
	if faulty {
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

// logRun appends a line to the run log.
func (b *backendServer) logRun(r *http.Request) {
	line, err := json.Marshal(runEntry{
		CallID:  r.Header.Get(b.protocol.Headers.CallID),
		Caller:  r.Header.Get(b.protocol.Headers.CallerService),
		Key:     r.Header.Get("Standin-Key"),
		Method:  r.Method,
		Path:    r.URL.Path,
		Leaving: b.leaveAnnounced.Load(),
		Release: b.options.release,
		At:      time.Now(),
	})
	if err != nil {
		return
	}
	_, _ = b.log.Write(append(line, '\n')) // a single write, so that lines of concurrent requests do not interleave
}

// answer includes the request's key and a checksum, by which the caller detects incomplete answers and those of other calls.
func (b *backendServer) answer(w http.ResponseWriter, r *http.Request, cut bool) {
	body := fmt.Appendf(nil, "%s %s ", r.Header.Get("Standin-Key"), b.options.release)
	body = append(body, bytes.Repeat([]byte{'.'}, b.options.answerBytes)...)
	w.Header().Set(checksumHeader, strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}
