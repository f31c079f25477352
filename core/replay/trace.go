package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// Limits of a trace. A replay takes time and memory in proportion to its calls.
const (
	maxTraceBytes  = 4 << 20
	maxSeconds     = 24 * 60 * 60
	maxCalls       = 50_000_000
	maxRoutes      = 64
	maxInstances   = 200
	maxDataCentres = 18
)

// separator ends the header of a trace file.
const separator = "---"

// RouteLoad describes one route of a trace.
type RouteLoad struct {
	Name             core.RouteName `json:"name"`
	LatencyMS        float64        `json:"latency-ms"`         // median
	FailuresPerMille float64        `json:"failures-per-mille"` // of both releases, without a fault
}

// Outcome is the outcome that a correct decision rule reaches.
type Outcome struct {
	State core.MoveState `json:"state"`
	Bad   bool           `json:"bad"`             // the new release has a fault
	Cause string         `json:"cause,omitempty"` // part of the move's cause
}

// Header is the first part of a trace file, in JSON with comments.
type Header struct {
	Format           int              `json:"format"`
	Name             string           `json:"name"`
	Seed             uint64           `json:"seed"` // for the outcomes of single calls
	Service          core.ServiceName `json:"service"`
	From             core.Release     `json:"from"`
	To               core.Release     `json:"to"`
	DataCentres      int              `json:"data-centres"`
	Instances        int              `json:"instances"` // backend servers of each release
	Slots            int              `json:"slots"`     // of each backend server
	Routes           []RouteLoad      `json:"routes"`
	WarmSeconds      int              `json:"warm-seconds"` // traffic before the move
	DeadlineSeconds  int              `json:"deadline-seconds"`
	MaxRiskPerMille  core.PerMille    `json:"max-risk-per-mille,omitempty"`
	EvidenceDelayMS  int              `json:"evidence-delay-ms"`
	RepeatedPerMille int              `json:"repeated-per-mille,omitempty"` // evidence reports that arrive again later
	Outcome          Outcome          `json:"outcome"`
}

// Event is one line of a trace file: seconds since the move was accepted, kind and arguments.
//
//	AT arrivals N N ...                    calls per second on each route
//	AT leaving old|new I                   a backend server starts to leave
//	AT ready old|new I                     a backend server is ready again, and cold
//	AT fault ROUTE|* LOAD FAIL SLOW CRASH  the new release is faulty, at LOAD calls per second to it or more
//	AT shared FAIL SLOW CRASH              a fault affects both releases
//	AT centre I FAIL SLOW                  a fault affects the backend servers of one data centre
//	AT leader-loss SECONDS                 no steps are decided for this time, then a new leader takes over
//	AT restart I                           a node restarts
//	AT delay MILLISECONDS                  reports of evidence take this long
//
// FAIL and CRASH are probabilities, SLOW is a factor of latency.
type Event struct {
	At   float64
	Kind string
	Args []string
}

// eventArgCounts holds the number of arguments of each kind, or -1 for one argument for each route.
var eventArgCounts = map[string]int{
	"arrivals": -1, "leaving": 2, "ready": 2, "fault": 5, "shared": 3, "centre": 3, "leader-loss": 1, "restart": 1, "delay": 1,
}

// Trace is a recorded move with its stated outcome.
type Trace struct {
	Header
	Events []Event
}

// Load reads and checks a trace file. An error names the file and the line.
func Load(file string) (*Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Annotate(err, "open trace")
	}
	defer f.Close()
	source, err := io.ReadAll(io.LimitReader(f, maxTraceBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "read trace")
	}
	trace, err := Parse(source)
	return trace, errors.Annotatef(err, "trace %s", file)
}

// Parse reads and checks a trace. An error names the line.
func Parse(source []byte) (*Trace, error) {
	if len(source) > maxTraceBytes {
		return nil, errors.Errorf("trace is longer than %d bytes", maxTraceBytes)
	}
	head, rest, found := bytes.Cut(source, []byte("\n"+separator+"\n"))
	if !found {
		return nil, errors.Errorf("line %q after the header is missing", separator)
	}
	standard, err := hujson.Standardize(bytes.Clone(head))
	if err != nil {
		return nil, errors.Annotate(err, "header")
	}
	trace := &Trace{}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&trace.Header); err != nil {
		return nil, errors.Annotate(err, "header")
	}
	if err := trace.checkHeader(); err != nil {
		return nil, errors.Annotate(err, "header")
	}
	line := bytes.Count(head, []byte("\n")) + 2
	scanner := bufio.NewScanner(bytes.NewReader(rest))
	for scanner.Scan() {
		line++
		if text := strings.TrimSpace(scanner.Text()); text != "" && !strings.HasPrefix(text, "//") {
			if err := trace.addLine(text); err != nil {
				return nil, errors.Annotatef(err, "line %d", line)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Annotate(err, "events")
	}
	return trace, trace.checkSize()
}

func (t *Trace) checkHeader() error {
	for _, check := range []struct {
		ok   bool
		want string
	}{
		{ok: t.Format == 1, want: "format must be 1"},
		{ok: t.Service != "" && t.From != "" && t.To != "" && t.From != t.To, want: "service and two different releases must be named"},
		{ok: within(t.DataCentres, 1, maxDataCentres), want: "data-centres must be 1 to 18"},
		{ok: within(t.Instances, 1, maxInstances), want: "instances must be 1 to 200"},
		{ok: within(t.Slots, 1, 10_000), want: "slots must be 1 to 10000"},
		{ok: within(len(t.Routes), 1, maxRoutes), want: "routes must be 1 to 64"},
		{ok: within(t.WarmSeconds, 0, maxSeconds), want: "warm-seconds must be 0 to 86400"},
		{ok: within(t.DeadlineSeconds, 1, maxSeconds), want: "deadline-seconds must be 1 to 86400"},
		{ok: t.MaxRiskPerMille <= core.FullShare, want: "max-risk-per-mille must be 0 to 1000"},
		{ok: within(t.EvidenceDelayMS, 0, 60_000), want: "evidence-delay-ms must be 0 to 60000"},
		{ok: within(t.RepeatedPerMille, 0, 1000), want: "repeated-per-mille must be 0 to 1000"},
		{ok: rollout.IsFinal(t.Outcome.State), want: "outcome state must be done, taken-back or expired"},
	} {
		if !check.ok {
			return errors.New(check.want)
		}
	}
	for _, r := range t.Routes {
		if !(r.LatencyMS > 0 && r.LatencyMS <= 60_000) || !(r.FailuresPerMille >= 0 && r.FailuresPerMille <= 1000) {
			return errors.Errorf("route %q: latency-ms must be above 0 and up to 60000, failures-per-mille 0 to 1000", r.Name)
		}
	}
	return nil
}

func within(n, low, high int) bool {
	return n >= low && n <= high
}

func (t *Trace) addLine(text string) error {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return errors.New("expected seconds, kind and arguments")
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || math.IsNaN(at) || math.Abs(at) > maxSeconds {
		return errors.Errorf("time %q is not a number of seconds", fields[0])
	}
	event := Event{
		At:   at,
		Kind: fields[1],
		Args: fields[2:],
	}
	if n := len(t.Events); n > 0 && t.Events[n-1].At > at {
		return errors.Errorf("time %q is before that of the line above", fields[0])
	}
	if err := t.checkEvent(event); err != nil {
		return err
	}
	t.Events = append(t.Events, event)
	return nil
}

func (t *Trace) checkEvent(e Event) error {
	want, known := eventArgCounts[e.Kind]
	if !known {
		return errors.Errorf("event %q is unknown", e.Kind)
	}
	if want < 0 {
		want = len(t.Routes)
	}
	if len(e.Args) != want {
		return errors.Errorf("event %q has %d arguments, expected %d", e.Kind, len(e.Args), want)
	}
	numbers, limit := e.Args, math.Inf(1)
	switch e.Kind {
	case "leaving", "ready":
		if e.Args[0] != "old" && e.Args[0] != "new" {
			return errors.Errorf("release %q must be old or new", e.Args[0])
		}
		numbers, limit = e.Args[1:], float64(t.Instances)
	case "restart":
		limit = float64(2 * t.Instances)
	case "centre":
		if i, err := strconv.Atoi(e.Args[0]); err != nil || !within(i, 0, t.DataCentres-1) {
			return errors.Errorf("data centre %q does not exist", e.Args[0])
		}
	case "fault":
		if e.Args[0] != "*" && !slices.ContainsFunc(t.Routes, func(r RouteLoad) bool { return string(r.Name) == e.Args[0] }) {
			return errors.Errorf("route %q does not exist", e.Args[0])
		}
		numbers = e.Args[1:]
	}
	for _, text := range numbers {
		if n, err := strconv.ParseFloat(text, 64); err != nil || !(n >= 0 && n < limit) || n > maxCalls {
			return errors.Errorf("argument %q of %q is not a number in its range", text, e.Kind)
		}
	}
	return nil
}

// checkSize bounds the number of calls that a replay makes.
func (t *Trace) checkSize() error {
	calls, rate, since := 0.0, 0.0, -float64(t.WarmSeconds)
	for _, e := range append(slices.Clone(t.Events), Event{At: float64(t.DeadlineSeconds)}) {
		calls += rate * max(0, e.At-since)
		since = max(since, e.At)
		if e.Kind == "arrivals" {
			rate = 0
			for i := range e.Args {
				rate += e.number(i)
			}
		}
	}
	if calls > maxCalls {
		return errors.Errorf("trace has %.0f calls, at most %d are allowed", calls, maxCalls)
	}
	return nil
}

// number returns a numeric argument. It has been checked by checkEvent.
func (e Event) number(i int) float64 {
	n, _ := strconv.ParseFloat(e.Args[i], 64)
	return n
}

// Write writes the trace in the format that Parse reads.
func (t *Trace) Write(w io.Writer) error {
	header, err := json.MarshalIndent(t.Header, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "// Recorded move for `parsleyport replay`. The seed fixes the outcomes of single calls.\n%s\n%s\n", header, separator)
	for _, e := range t.Events {
		fmt.Fprintf(out, "%s %s %s\n", strconv.FormatFloat(e.At, 'f', -1, 64), e.Kind, strings.Join(e.Args, " "))
	}
	return errors.Trace(out.Flush())
}

func (t *Trace) deadline() time.Duration {
	return time.Duration(t.DeadlineSeconds) * time.Second
}
