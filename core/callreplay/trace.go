package callreplay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"parsleyport/core"
)

const (
	separator     = "---"
	maxLineBytes  = 64 << 10
	maxTraceCalls = 1_000_000
)

// Trace holds recorded calls and events, and the expectations that a replay with the default policy has to meet.
type Trace struct {
	Header
	Calls []Call
}

// Header is the first part of a trace file, in JSON with comments.
type Header struct {
	Name         string         `json:"name"`
	OneWayUS     int64          `json:"one-way-us"` // between data centres
	LocalUS      int64          `json:"local-us"`   // within one data centre, one way
	AnnounceMS   int64          `json:"announce-ms"`
	TimeoutMS    int64          `json:"timeout-ms"`
	Entries      []Entry        `json:"entries"`
	Endpoints    []EndpointSpec `json:"endpoints"`
	Events       []Event        `json:"events"`
	Expectations Expectations   `json:"expect"`
}

// Entry is a node at which calls enter.
type Entry struct {
	DataCentre core.DataCentre `json:"data-centre"`
}

// EndpointSpec describes a backend server and its node.
type EndpointSpec struct {
	Node       core.NodeID     `json:"node"`
	DataCentre core.DataCentre `json:"data-centre"`
	Slots      int             `json:"slots"`
	WorkUS     int64           `json:"work-us"`
}

// EventKind is a kind of change of a backend server.
type EventKind string

// The kinds of events.
const (
	EventSlow    EventKind = "slow"    // runs take Value per mille of their usual time
	EventFail    EventKind = "fail"    // Value per mille of the runs fail and answer with Status (500 if it is 0)
	EventShrink  EventKind = "shrink"  // only Value slots are left; further calls are refused a connection, or answered with Status if it is set
	EventCrash   EventKind = "crash"   // the process ends; running calls are lost
	EventStart   EventKind = "start"   // a new process starts and is cold for Value milliseconds
	EventLeaving EventKind = "leaving" // no new calls are accepted
)

// Event is a change of one backend server.
type Event struct {
	AtMS  int64       `json:"at-ms"`
	Node  core.NodeID `json:"node"`
	Kind  EventKind   `json:"kind"`
	Value int64       `json:"value,omitempty"`

	Status int `json:"status,omitempty"`
}

// Expectations bound the measures of a replay with the default policy.
type Expectations struct {
	MinAnsweredPerMille int64 `json:"min-answered-per-mille"`
	MaxRunTwice         int   `json:"max-run-twice"`
}

// Call is one recorded call, a line in the second part of a trace file.
type Call struct {
	At         time.Duration // since the start of the trace
	Entry      int
	Idempotent bool
	Tenant     core.TenantID
	Session    string
}

// Read reads and checks a trace. An error in a call names its line.
func Read(reader io.Reader) (Trace, error) {
	var trace Trace
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	var head bytes.Buffer
	line := 0
	for scanner.Scan() {
		line++
		if scanner.Text() == separator {
			break
		}
		head.Write(scanner.Bytes())
		head.WriteByte('\n')
	}
	if err := trace.readHeader(head.Bytes()); err != nil {
		return Trace{}, err
	}
	for scanner.Scan() {
		line++
		call, err := parseCall(scanner.Text(), len(trace.Entries))
		if err != nil {
			return Trace{}, errors.Annotatef(err, "line %d", line)
		}
		if len(trace.Calls) == maxTraceCalls {
			return Trace{}, errors.Errorf("line %d: more than %d calls", line, maxTraceCalls)
		}
		trace.Calls = append(trace.Calls, call)
	}
	return trace, errors.Trace(scanner.Err())
}

func (t *Trace) readHeader(source []byte) error {
	standard, err := hujson.Standardize(source)
	if err != nil {
		return errors.Annotate(err, "trace header")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t.Header); err != nil {
		return errors.Annotate(err, "trace header")
	}
	if len(t.Entries) == 0 || len(t.Endpoints) == 0 || t.TimeoutMS <= 0 {
		return errors.Errorf("trace header: entries, endpoints and timeout-ms are needed")
	}
	known := make(map[core.NodeID]bool, len(t.Endpoints))
	for _, endpoint := range t.Endpoints {
		known[endpoint.Node] = true
	}
	for _, event := range t.Events {
		if !known[event.Node] {
			return errors.Errorf("trace header: event %q at %d ms names unknown node %q", event.Kind, event.AtMS, event.Node)
		}
	}
	return nil
}

// parseCall reads "AT-US ENTRY idempotent|once TENANT SESSION", where SESSION is "-" for a call without a session.
func parseCall(line string, entries int) (Call, error) {
	var at int64
	var entry int
	var class, tenant, session string
	if _, err := fmt.Sscanf(line, "%d %d %s %s %s", &at, &entry, &class, &tenant, &session); err != nil {
		return Call{}, errors.Errorf("call %q: expected AT-US ENTRY idempotent|once TENANT SESSION", line)
	}
	if entry < 0 || entry >= entries {
		return Call{}, errors.Errorf("call %q: entry %d does not exist", line, entry)
	}
	if class != "idempotent" && class != "once" {
		return Call{}, errors.Errorf("call %q: class %q, expected idempotent or once", line, class)
	}
	return Call{
		At:         time.Duration(at) * time.Microsecond,
		Entry:      entry,
		Idempotent: class == "idempotent",
		Tenant:     core.TenantID(tenant),
		Session:    strings.TrimPrefix(session, "-"),
	}, nil
}

// Write writes the trace in the format that Read reads.
func (t Trace) Write(writer io.Writer) error {
	header, err := json.MarshalIndent(t.Header, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	buffered := bufio.NewWriter(writer)
	fmt.Fprintf(buffered, "%s\n%s\n", header, separator)
	for _, call := range t.Calls {
		class, session := "once", call.Session
		if call.Idempotent {
			class = "idempotent"
		}
		if session == "" {
			session = "-"
		}
		if call.Tenant == "" {
			call.Tenant = "-"
		}
		fmt.Fprintf(buffered, "%d %d %s %s %s\n", call.At.Microseconds(), call.Entry, class, call.Tenant, session)
	}
	return errors.Trace(buffered.Flush())
}
