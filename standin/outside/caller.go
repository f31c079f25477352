package outside

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/samber/lo"
)

const maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)

type callerOptions struct {
	targets        []string
	paths          []string
	postPerMille   int
	workers        int
	callsPerSecond int
	durationMS     int
	timeoutMS      int
	tenants        []string
	sessions       int
	keyed          bool
	resends        int
	crash          bool
	host           string
	log            string
	summary        string
}

func callerFlags(app *kingpin.Application) (*kingpin.CmdClause, *callerOptions) {
	o := &callerOptions{}
	command := app.Command("caller", "Make calls for a while and log each one.")
	command.Flag("target", "Caller address of a node, or of a backend server for direct calls; repeatable.").Required().StringsVar(&o.targets)
	command.Flag("path", "Path to call; repeatable.").Required().StringsVar(&o.paths)
	command.Flag("post-per-mille", "Share of calls that are not idempotent.").Default("200").IntVar(&o.postPerMille)
	command.Flag("workers", "Maximum number of concurrent calls.").Default("8").IntVar(&o.workers)
	command.Flag("rate", "Calls a second; 0 for as fast as the workers can.").Default("200").IntVar(&o.callsPerSecond)
	command.Flag("duration-ms", "Time in which calls are made.").Default("5000").IntVar(&o.durationMS)
	command.Flag("timeout-ms", "Deadline of each call.").Default("2000").IntVar(&o.timeoutMS)
	command.Flag("tenant", "Tenant header; repeatable, each call uses one at random.").StringsVar(&o.tenants)
	command.Flag("sessions", "Number of sticky sessions to which calls belong; 0 for none.").Default("0").IntVar(&o.sessions)
	command.Flag("keyed", "Send an idempotency key with calls that are not idempotent.").BoolVar(&o.keyed)
	command.Flag("resends", "How often a keyed call with an unknown outcome is resent, each time to any target.").Default("0").IntVar(&o.resends)
	command.Flag("crash", "Send the header that crashes a backend server with the fault crash-on-header.").BoolVar(&o.crash)
	command.Flag("host", "Host header; empty for the target's address.").StringVar(&o.host)
	command.Flag("log", "File that gets one JSON line for each call.").Default("").StringVar(&o.log)
	command.Flag("summary", "File that gets the summary; empty for standard output.").Default("").StringVar(&o.summary)
	return command, o
}

// callEntry is one line of a call log.
type callEntry struct {
	Key       string    `json:"key"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Tenant    string    `json:"tenant,omitempty"`
	Session   string    `json:"session,omitempty"`
	Target    string    `json:"target"`
	At        time.Time `json:"at"`
	LatencyUS int64     `json:"latency-us"`
	Status    int       `json:"status"`
	Outcome   string    `json:"outcome"`
	Cause     string    `json:"cause,omitempty"`
	Release   string    `json:"release,omitempty"`
	Revision  uint64    `json:"revision,omitempty"`
	Complete  bool      `json:"complete"`
	Error     string    `json:"error,omitempty"`
}

// summary counts the results of the calls. Latencies are quantiles in microseconds.
type summary struct {
	Calls          int            `json:"calls"`
	OK             int            `json:"ok"`
	Outcomes       map[string]int `json:"outcomes"`
	Causes         map[string]int `json:"causes"`
	Releases       map[string]int `json:"releases"`
	P50US          int64          `json:"p50-us"`
	P99US          int64          `json:"p99-us"`
	CallsPerSecond float64        `json:"calls-per-second"`
}

type caller struct {
	options  callerOptions
	protocol Protocol
	client   *http.Client
	sequence atomic.Uint64
	attempts atomic.Uint64
	idPrefix string

	mu        sync.Mutex // guards the fields below
	log       io.Writer
	histogram *hdrhistogram.Histogram
	summary   summary
}

func runCaller(ctx context.Context, o callerOptions, protocol Protocol) error {
	c := &caller{
		options:  o,
		protocol: protocol,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: o.workers,
			},
		},
		idPrefix:  strconv.FormatUint(rand.Uint64(), 36),
		log:       io.Discard,
		histogram: hdrhistogram.New(1, maxLatencyMicroseconds, 3),
		summary: summary{
			Outcomes: make(map[string]int),
			Causes:   make(map[string]int),
			Releases: make(map[string]int),
		},
	}
	if o.log != "" {
		file, err := os.Create(o.log)
		if err != nil {
			return errors.Trace(err)
		}
		defer file.Close()
		c.log = file
	}
	startedAt := time.Now()
	c.callUntilEnd(ctx, startedAt.Add(time.Duration(o.durationMS)*time.Millisecond))
	return c.report(time.Since(startedAt))
}

func (c *caller) callUntilEnd(ctx context.Context, end time.Time) {
	due := make(chan struct{}, c.options.workers)
	var workers sync.WaitGroup
	for range c.options.workers {
		workers.Go(func() {
			for range due {
				c.call()
			}
		})
	}
	startedAt := time.Now()
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if c.options.callsPerSecond > 0 {
			time.Sleep(time.Until(startedAt.Add(time.Duration(n) * time.Second / time.Duration(c.options.callsPerSecond))))
		}
		due <- struct{}{}
	}
	close(due)
	workers.Wait()
}

func (c *caller) call() {
	entry := callEntry{
		Key:    fmt.Sprintf("%s-%d", c.idPrefix, c.sequence.Add(1)),
		Method: lo.Ternary(rand.IntN(1000) < c.options.postPerMille, http.MethodPost, http.MethodGet),
		Path:   lo.Sample(c.options.paths),
		Tenant: lo.Sample(c.options.tenants),
		Target: lo.Sample(c.options.targets),
		At:     time.Now(),
	}
	if c.options.sessions > 0 {
		entry.Session = fmt.Sprintf("s%d", rand.IntN(c.options.sessions))
	}
	err := c.attempt(&entry)
	// A call that could not be sent may enter at another node. Targets that have refused a connection are not tried again.
	for others := lo.Without(c.options.targets, entry.Target); len(others) > 0 && isDialError(err); others = lo.Without(others, entry.Target) {
		entry.Target = lo.Sample(others)
		err = c.attempt(&entry)
	}
	for range c.options.resends {
		if !c.isKeyed(entry) || err == nil && entry.Outcome != "unknown" {
			break
		}
		entry.Target = lo.Sample(c.options.targets)
		err = c.attempt(&entry)
	}
	if err != nil {
		entry.Error = err.Error()
	}
	entry.LatencyUS = time.Since(entry.At).Microseconds()
	c.recordCall(entry)
}

// isKeyed reports whether the call carries an idempotency key.
func (c *caller) isKeyed(entry callEntry) bool {
	return c.options.keyed && entry.Method == http.MethodPost
}

// isDialError reports whether no connection could be opened, so that the target has received nothing of the call.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// attempt makes one request and stores the result in the entry. It fails if the answer cannot be read to its end.
func (c *caller) attempt(entry *callEntry) error {
	entry.Revision = 0 // an earlier attempt may have got the revision of another target
	timeout := time.Duration(c.options.timeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, entry.Method, "http://"+entry.Target+entry.Path, strings.NewReader(entry.Key))
	if err != nil {
		return err
	}
	request.Header.Set("Standin-Key", entry.Key)
	request.Host = c.options.host
	headers := c.protocol.Headers
	if c.protocol.CallerSetsCallID {
		setHeaderIfPresent(request, headers.CallID, fmt.Sprintf("%s-%d", c.idPrefix, c.attempts.Add(1)))
	}
	setHeaderIfPresent(request, headers.Deadline, formatMilliseconds(timeout))
	setHeaderIfPresent(request, headers.Tenant, entry.Tenant)
	setHeaderIfPresent(request, headers.Session, entry.Session)
	if c.isKeyed(*entry) {
		setHeaderIfPresent(request, headers.IdempotencyKey, entry.Key)
	}
	if c.options.crash {
		request.Header.Set("Standin-Crash", "1")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	entry.Status = response.StatusCode
	entry.Outcome = c.protocol.outcomeOf(response)
	entry.Cause = response.Header.Get(headers.Cause)
	entry.Release = response.Header.Get(headers.Release)
	entry.Revision, _ = strconv.ParseUint(response.Header.Get(headers.Revision), 10, 64)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	entry.Complete = response.StatusCode == http.StatusOK &&
		bytes.HasPrefix(body, []byte(entry.Key+" ")) &&
		strconv.FormatUint(xxhash.Sum64(body), 16) == response.Header.Get(checksumHeader)
	return nil
}

// setHeaderIfPresent sets a header unless its value is empty or the protocol has no name for it.
func setHeaderIfPresent(request *http.Request, name, value string) {
	if name != "" && value != "" {
		request.Header.Set(name, value)
	}
}

func (c *caller) recordCall(entry callEntry) {
	line, err := json.Marshal(entry)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.log.Write(append(line, '\n'))
	_ = c.histogram.RecordValue(min(max(entry.LatencyUS, 1), maxLatencyMicroseconds))
	c.summary.Calls++
	if entry.Complete {
		c.summary.OK++
	}
	c.summary.Outcomes[lo.Ternary(entry.Outcome == "", "none", entry.Outcome)]++
	if entry.Cause != "" {
		c.summary.Causes[entry.Cause]++
	}
	if entry.Release != "" {
		c.summary.Releases[entry.Release]++
	}
}

func (c *caller) report(took time.Duration) error {
	c.summary.P50US = c.histogram.ValueAtQuantile(50)
	c.summary.P99US = c.histogram.ValueAtQuantile(99)
	c.summary.CallsPerSecond = float64(c.summary.Calls) / took.Seconds()
	text, err := json.MarshalIndent(c.summary, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if c.options.summary == "" {
		fmt.Println(string(text))
		return nil
	}
	return errors.Trace(os.WriteFile(c.options.summary, append(text, '\n'), 0o600))
}
