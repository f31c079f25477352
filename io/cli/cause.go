package cli

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

// logLine holds the fields that the explain command reads from one line of a process's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Node    string    `json:"node"`
	Control string    `json:"control"`
	Event   string    `json:"event"`
	Message string    `json:"message"`

	Call          string             `json:"call"`
	Outcome       core.Outcome       `json:"outcome"`
	Status        int                `json:"status"`
	Cause         core.RefusalCause  `json:"cause"`
	Detail        string             `json:"detail"`
	Error         string             `json:"error"`
	Route         core.RouteName     `json:"route"`
	Revision      core.Revision      `json:"revision"`
	Attempts      int                `json:"attempts"`
	TookMS        int64              `json:"took-ms"`
	LeftMS        int64              `json:"left-ms"`
	Late          bool               `json:"late"`
	Endpoint      string             `json:"endpoint"`
	State         core.EndpointState `json:"state"`
	Running       int                `json:"running"`
	Waiting       int                `json:"waiting"`
	Slots         int                `json:"slots"`
	ServiceTimeMS int64              `json:"service-ms"`
	Parent        string             `json:"parent"`
	Address       string             `json:"address"`
	Peer          string             `json:"peer"`
}

// Events of the log lines that name a call.
const (
	eventCall        = "call"
	eventNotAnswered = "call-not-answered"
)

func (l logLine) processName() string {
	return lo.CoalesceOrEmpty(l.Process, l.Node, l.Control, "?")
}

func (l logLine) describeLoad() string {
	if l.Slots == 0 {
		return ""
	}
	return fmt.Sprintf("; %d running and %d waiting at %d slots, %d ms a call", l.Running, l.Waiting, l.Slots, l.ServiceTimeMS)
}

// describe returns a one-line description of a log line.
func (l logLine) describe() string {
	switch l.Event {
	case eventNotAnswered:
		return fmt.Sprintf("not answered here, %s: %s (%d ms left)%s", l.Outcome, l.Error, l.LeftMS, l.describeLoad())
	case eventCall:
		if l.Attempts == 0 {
			return fmt.Sprintf("refused with %d before it was routed: %s", l.Status, l.Detail)
		}
		text := fmt.Sprintf("ended with %d, %s, after %d attempts and %d ms by revision %d", l.Status, l.Outcome, l.Attempts, l.TookMS, l.Revision)
		if l.Endpoint != "" {
			text += ", last at " + l.Endpoint + l.describeLoad()
		}
		return text
	}
	text := lo.CoalesceOrEmpty(l.Message, l.Event)
	if l.Revision > 0 {
		text += fmt.Sprintf(" (revision %d)", l.Revision)
	}
	for _, field := range []lo.Tuple2[string, string]{
		{A: "parent", B: l.Parent},
		{A: "address", B: l.Address},
		{A: "peer", B: l.Peer},
		{A: "state", B: string(l.State)},
		{A: "error", B: l.Error},
	} {
		if field.B != "" {
			text += fmt.Sprintf(" (%s %s)", field.A, field.B)
		}
	}
	return text
}

// contextMessages are the messages of log lines that name no call but report an event that can decide the outcome of one.
var contextMessages = []string{
	"link lost", "attached", "connection with calls lost", "connection closed", "backend server announced",
	"backend server changed its state", "backend server crashed", "configuration in force", "node is leaving", "node stopped",
	"process starts",
}

// explanation is what the logs tell about one call.
type explanation struct {
	Call         string    `json:"call"`
	CallLines    []logLine `json:"way"`    // lines that name the call, by time
	ContextLines []logLine `json:"around"` // lines with contextMessages of the same processes, by time
	Cause        string    `json:"cause"`
}

// contextWindow is how long before a call's first line an event can decide its outcome: the lease of a backend server plus the
// time until a lost link is detected.
const contextWindow = 5 * time.Second

// explainCall collects the log lines of a call and derives its cause. Nested calls may have the call's id with a suffix after a dot.
func explainCall(id string, lines []logLine) explanation {
	e := explanation{
		Call: id,
		CallLines: lo.Filter(lines, func(l logLine, _ int) bool {
			return l.Call == id || len(l.Call) > len(id) && l.Call[:len(id)+1] == id+"."
		}),
	}
	byTime := func(x, y logLine) int { return x.Time.Compare(y.Time) }
	slices.SortStableFunc(e.CallLines, byTime)
	if len(e.CallLines) == 0 {
		e.Cause = "no line names this call"
		return e
	}
	first, last := e.CallLines[0].Time, e.CallLines[len(e.CallLines)-1].Time
	processes := lo.Uniq(lo.FlatMap(e.CallLines, func(l logLine, _ int) []string { return []string{l.processName(), l.Endpoint} }))
	e.ContextLines = lo.Filter(lines, func(l logLine, _ int) bool {
		return l.Call == "" && lo.Contains(contextMessages, l.Message) && lo.Contains(processes, l.processName()) &&
			!l.Time.Before(first.Add(-contextWindow)) && !l.Time.After(last)
	})
	slices.SortStableFunc(e.ContextLines, byTime)
	e.Cause = causeOf(e)
	return e
}

// lastLine returns the latest line with an event, preferring lines of the call itself to those of its nested calls.
func (e explanation) lastLine(event string) (logLine, bool) {
	lines := lo.Filter(e.CallLines, func(l logLine, _ int) bool { return l.Event == event && l.Call == e.Call })
	if len(lines) == 0 {
		lines = lo.Filter(e.CallLines, func(l logLine, _ int) bool { return l.Event == event })
	}
	return lo.Last(lines)
}

// causeOf derives the cause from the last lines of the entry node and of the node beside the backend server.
func causeOf(e explanation) string {
	endLine, ended := e.lastLine(eventCall)
	backendLine, hasBackendLine := e.lastLine(eventNotAnswered)
	switch {
	case !ended:
		return "the entry node has written no line of its end: it stopped or crashed, or left the line out (parsleyport_log_lines_left_out_total)"
	case endLine.Outcome == core.OutcomeNotRun:
		return "refused: " + refusalReason(endLine)
	case endLine.Outcome == core.OutcomeUnknown && hasBackendLine && backendLine.Outcome == core.OutcomeUnknown:
		return fmt.Sprintf("unknown: handed to the backend server of %s, then: %s", backendLine.processName(), backendLine.Error)
	case endLine.Outcome == core.OutcomeUnknown:
		return unknownOutcomeReason(e, endLine)
	case endLine.Status >= 500:
		return fmt.Sprintf("failed: the backend server of %s answered with %d", endLine.Endpoint, endLine.Status)
	case endLine.Late:
		return "late: " + lateReason(endLine)
	}
	return "none: answered in time"
}

func refusalReason(end logLine) string {
	description := map[core.RefusalCause]string{
		core.CauseNoRoute:          "no route has this path, method and host in the revision by which it was looked up",
		core.CauseNoEndpoint:       "no backend server of the chosen release was known in time; see the lines of link and announcement",
		core.CauseNoBackend:        "the chosen node has no ready backend server",
		core.CauseLeaving:          "the backend server or its node was stopping",
		core.CauseConnectFailed:    "the chosen node could not be reached",
		core.CauseBackendRefused:   "the backend server could not be reached by its node",
		core.CauseQueueFull:        "too many calls waited already",
		core.CauseDeadline:         "the calls before it would have used up its time",
		core.CauseOverloaded:       "the backend server had no room",
		core.CauseTenantShare:      "its tenant had used its share",
		core.CauseNotConfirmed:     "the node was not sure of the newest configuration yet",
		core.CauseTooDeep:          "calls call each other in a loop",
		core.CauseCrashSuspect:     "calls like it have crashed backend servers",
		core.CauseMalformedCall:    "the caller sent a wrong header or body",
		core.CauseTooLarge:         "body or header are over the limits",
		core.CauseUnknownKey:       "it had no API key that a tenant has, on a route that needs one",
		core.CauseQuotaUsed:        "its tenant had used its quota",
		core.CauseQuotaUnavailable: "the node could not learn in time whether its tenant's quota was used",
	}[end.Cause]
	text := string(end.Cause)
	if description != "" {
		text += ", " + description
	}
	return text + end.describeLoad()
}

func unknownOutcomeReason(e explanation, end logLine) string {
	lost, found := lo.Find(e.ContextLines, func(l logLine) bool { return l.Message == "connection with calls lost" })
	switch {
	case found:
		return fmt.Sprintf("unknown: the connection from %s to %s was lost: %s", lost.processName(), lost.Peer, lost.Error)
	case end.LeftMS <= 0:
		return "unknown: its deadline was reached before an answer came" + end.describeLoad()
	}
	return "unknown: " + lo.CoalesceOrEmpty(end.Detail, "the node beside the backend server has written no line of it")
}

func lateReason(end logLine) string {
	switch {
	case end.Attempts > 1:
		return fmt.Sprintf("%d attempts were made; the last one began late", end.Attempts)
	case end.Waiting > 0 || end.Running > end.Slots:
		return "it waited for a slot" + end.describeLoad()
	}
	return "the work itself took the time" + end.describeLoad()
}
