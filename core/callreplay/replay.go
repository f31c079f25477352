package callreplay

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/limiter"
	"parsleyport/core/retry"
)

const (
	defaultAttempts = 3
	maxLatencyUS    = int64(time.Minute / time.Microsecond)
)

// Measures are what the callers of a replayed trace saw.
type Measures struct {
	Policy   balancer.Policy
	Calls    int
	Answered int // successful answers before the deadline
	Failed   int // answers that report a failure of the backend server
	Refused  int // not run
	Unknown  int
	Late     int
	RunTwice int // calls that are not idempotent and ran more than once
	Runs     int
	P50US    int64
	P99US    int64
}

// AnsweredPerMille returns the share of successful answers in thousandths.
func (m Measures) AnsweredPerMille() int64 {
	if m.Calls == 0 {
		return 0
	}
	return int64(m.Answered) * 1000 / int64(m.Calls)
}

// Meets reports whether the measures meet the stated outcome.
func (m Measures) Meets(e Expectations) bool {
	return m.AnsweredPerMille() >= e.MinAnsweredPerMille && m.RunTwice <= e.MaxRunTwice
}

type reply struct {
	outcome core.Outcome
	cause   core.RefusalCause
	failed  bool
	status  int // of a failed answer
}

// result collects what happens to one call over its attempts.
type result struct {
	runs  int
	ended bool
}

type attempt struct {
	call     Call
	deadline time.Time
	started  bool
	result   *result
	reply    func(reply)
}

// entryNode is a node at which callers enter, with its own view of the endpoints.
type entryNode struct {
	spec     Entry
	balancer *balancer.Balancer
	budget   retry.Budget
	known    []core.Endpoint
}

type replay struct {
	trace    Trace
	clock    *schedule
	entries  []*entryNode
	servers  map[core.NodeID]*server
	latency  *hdrhistogram.Histogram
	measures Measures
}

// Run replays a trace with one policy.
func Run(trace Trace, policy balancer.Policy, seed uint64) Measures {
	start := time.Unix(0, 0)
	r := &replay{
		trace:    trace,
		clock:    &schedule{now: start},
		servers:  make(map[core.NodeID]*server),
		latency:  hdrhistogram.New(1, maxLatencyUS, 3),
		measures: Measures{Policy: policy},
	}
	random := rand.New(rand.NewPCG(seed, seed+1))
	for _, spec := range trace.Endpoints {
		r.servers[spec.Node] = newServer(spec, r.clock, random)
	}
	for i, spec := range trace.Entries {
		r.entries = append(r.entries, &entryNode{
			spec: spec,
			balancer: balancer.New(balancer.Options{
				DataCentre: spec.DataCentre,
				Policy:     policy,
				Seed:       seed + uint64(i),
			}),
			known: r.announced(),
		})
	}
	r.scheduleTrace(start)
	r.clock.runAll()
	r.measures.P50US = r.latency.ValueAtQuantile(50)
	r.measures.P99US = r.latency.ValueAtQuantile(99)
	return r.measures
}

func (r *replay) scheduleTrace(start time.Time) {
	for _, event := range r.trace.Events {
		r.clock.at(start.Add(time.Duration(event.AtMS)*time.Millisecond), func() {
			r.servers[event.Node].apply(event)
			r.clock.after(time.Duration(r.trace.AnnounceMS)*time.Millisecond, r.distribute)
		})
	}
	for _, call := range r.trace.Calls {
		r.clock.at(start.Add(call.At), func() { r.begin(call) })
	}
}

func (r *replay) announced() []core.Endpoint {
	return lo.Map(r.trace.Endpoints, func(spec EndpointSpec, _ int) core.Endpoint { return r.servers[spec.Node].endpoint() })
}

func (r *replay) distribute() {
	endpoints := r.announced()
	for _, entry := range r.entries {
		entry.known = endpoints
	}
}

func (r *replay) begin(call Call) {
	entry := r.entries[call.Entry]
	entry.budget.Call(r.clock.now)
	c := &callState{
		replay:   r,
		entry:    entry,
		call:     call,
		began:    r.clock.now,
		deadline: r.clock.now.Add(time.Duration(r.trace.TimeoutMS) * time.Millisecond),
		attempts: retry.NewAttempts(defaultAttempts, defaultAttempts),
	}
	r.measures.Calls++
	r.clock.at(c.deadline, func() { c.end(&r.measures.Late) })
	c.attempt()
}

// callState is one call at its entry node.
type callState struct {
	replay   *replay
	entry    *entryNode
	call     Call
	began    time.Time
	deadline time.Time
	attempts retry.Attempts
	tried    []core.NodeID
	failed   bool // an attempt was answered with a failure
	result   result
}

func (c *callState) attempt() {
	now := c.replay.clock.now
	chosen, ok := c.entry.balancer.Pick(now, core.PickRequest{
		Service: "replayed",
		Tried:   c.tried,
		Session: c.call.Session,
	}, c.entry.known)
	if !ok {
		c.end(&c.replay.measures.Refused)
		return
	}
	c.attempts.Start()
	c.tried = append(c.tried, chosen.Node)
	oneWay := c.replay.oneWay(c.entry.spec.DataCentre, chosen.DataCentre)
	a := &attempt{
		call:     c.call,
		deadline: c.deadline,
		result:   &c.result,
	}
	a.reply = func(r reply) {
		c.replay.clock.after(oneWay, func() { c.replied(now, chosen, r) })
	}
	c.replay.clock.after(oneWay, func() { c.replay.servers[chosen.Node].arrive(a) })
}

func (c *callState) replied(began time.Time, from core.Endpoint, r reply) {
	now := c.replay.clock.now
	c.entry.balancer.Done(now, core.PickResult{
		Endpoint: from,
		Outcome:  r.outcome,
		Failed:   r.failed,
		Latency:  now.Sub(began),
	})
	if c.result.ended {
		return
	}
	class := retry.Classify(r.outcome, r.cause, c.call.Idempotent)
	if r.outcome == core.OutcomeAnswered {
		class = retry.ClassifyAnswer(r.status, false, c.call.Idempotent)
	}
	c.failed = c.failed || r.outcome == core.OutcomeAnswered && r.failed
	if c.attempts.Another(class, func() bool { return c.entry.budget.Take(now) }) {
		c.attempt()
		return
	}
	m := &c.replay.measures
	switch {
	case r.outcome != core.OutcomeAnswered && c.failed:
		c.end(&m.Failed) // the caller gets the earlier answer
	case r.outcome == core.OutcomeNotRun:
		c.end(&m.Refused)
	case r.outcome == core.OutcomeUnknown:
		c.end(&m.Unknown)
	case r.failed:
		c.end(&m.Failed)
	default:
		c.end(&m.Answered)
	}
}

// end counts the call once, under its first final result.
func (c *callState) end(counter *int) {
	if c.result.ended {
		return
	}
	c.result.ended = true
	*counter++
	m := &c.replay.measures
	m.Runs += c.result.runs
	if c.result.runs > 1 && !c.call.Idempotent {
		m.RunTwice++
	}
	took := c.replay.clock.now.Sub(c.began).Microseconds()
	_ = c.replay.latency.RecordValue(min(max(took, 1), maxLatencyUS))
}

func (r *replay) oneWay(from, to core.DataCentre) time.Duration {
	if from == to {
		return time.Duration(r.trace.LocalUS) * time.Microsecond
	}
	return time.Duration(r.trace.OneWayUS) * time.Microsecond
}

// sortedAttempts orders by ticket, since the order of a map would make replays differ.
func sortedAttempts(pending map[limiter.Ticket]*attempt) []*attempt {
	tickets := lo.Keys(pending)
	sort.Slice(tickets, func(i, j int) bool { return tickets[i] < tickets[j] })
	return lo.Map(tickets, func(t limiter.Ticket, _ int) *attempt { return pending[t] })
}
