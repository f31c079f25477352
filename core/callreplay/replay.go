package callreplay

import (
	"math/rand/v2"
	"slices"
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

// Measures holds the results of one replay of a trace with one policy.
type Measures struct {
	Policy   balancer.Policy
	Calls    int
	Answered int // successful answers before the deadline
	Failed   int // answers that report a failure of the backend server
	Refused  int // not run
	Unknown  int // with an unknown outcome
	Late     int // without an outcome at the deadline
	RunTwice int // calls that are not idempotent and ran more than once
	Runs     int
	Hedges   int
	BusyMS   float64 // total time for which slots were busy
	P50US    int64
	P99US    int64
}

// AnsweredPerMille returns how many of 1,000 calls had a successful answer before the deadline.
func (m Measures) AnsweredPerMille() int64 {
	if m.Calls == 0 {
		return 0
	}
	return int64(m.Answered) * 1000 / int64(m.Calls)
}

// Meets reports whether the measures meet the expectations of a trace.
func (m Measures) Meets(e Expectations) bool {
	return m.AnsweredPerMille() >= e.MinAnsweredPerMille && m.RunTwice <= e.MaxRunTwice
}

type reply struct {
	outcome core.Outcome
	cause   core.RefusalCause
	failed  bool
	status  int // of a failed answer
}

// callProgress holds the state of one call over all its attempts.
type callProgress struct {
	runs  int
	ended bool
}

type attempt struct {
	call      Call
	deadline  time.Time
	hedge     bool
	started   bool
	startedAt time.Time // of the run
	progress  *callProgress
	measures  *Measures
	reply     func(reply)

	began  time.Time // at the entry node
	to     core.Endpoint
	oneWay time.Duration
	server *server // nil until the attempt has arrived
	ticket limiter.Ticket
}

// entryNode is a node at which calls enter, with its own view of the endpoints.
type entryNode struct {
	spec     Entry
	balancer *balancer.Balancer
	budget   *retry.Budget
	hedging  retry.Hedging
	known    []core.Endpoint
}

type simulation struct {
	options  Options
	trace    Trace
	queue    *eventQueue
	entries  []*entryNode
	servers  map[core.NodeID]*server
	latency  *hdrhistogram.Histogram
	measures Measures
}

// Options configures a replay.
type Options struct {
	Policy    balancer.Policy
	Seed      uint64 // of the random durations and failures of the runs
	NoHedging bool
}

// Run replays a trace and returns its measures.
func Run(trace Trace, options Options) Measures {
	start, policy, seed := time.Unix(0, 0), options.Policy, options.Seed
	s := &simulation{
		options:  options,
		trace:    trace,
		queue:    &eventQueue{now: start},
		servers:  make(map[core.NodeID]*server),
		latency:  hdrhistogram.New(1, maxLatencyUS, 3),
		measures: Measures{Policy: policy},
	}
	random := rand.New(rand.NewPCG(seed, seed+1))
	for _, spec := range trace.Endpoints {
		s.servers[spec.Node] = newServer(spec, s.queue, random)
	}
	for i, spec := range trace.Entries {
		s.entries = append(s.entries, &entryNode{
			spec: spec,
			balancer: balancer.New(balancer.Options{
				DataCentre: spec.DataCentre,
				Policy:     policy,
				Seed:       seed + uint64(i),
			}),
			budget: retry.NewBudget(retry.DefaultBudget),
			known:  s.currentEndpoints(),
		})
	}
	s.scheduleTrace(start)
	s.queue.runAll()
	s.measures.P50US = s.latency.ValueAtQuantile(50)
	s.measures.P99US = s.latency.ValueAtQuantile(99)
	return s.measures
}

func (s *simulation) scheduleTrace(start time.Time) {
	for _, event := range s.trace.Events {
		s.queue.at(start.Add(time.Duration(event.AtMS)*time.Millisecond), func() {
			s.servers[event.Node].apply(event)
			s.queue.after(time.Duration(s.trace.AnnounceMS)*time.Millisecond, s.announceEndpoints)
		})
	}
	for _, call := range s.trace.Calls {
		s.queue.at(start.Add(call.At), func() { s.begin(call) })
	}
}

func (s *simulation) currentEndpoints() []core.Endpoint {
	return lo.Map(s.trace.Endpoints, func(spec EndpointSpec, _ int) core.Endpoint { return s.servers[spec.Node].endpoint() })
}

func (s *simulation) announceEndpoints() {
	endpoints := s.currentEndpoints()
	for _, entry := range s.entries {
		entry.known = endpoints
	}
}

func (s *simulation) begin(call Call) {
	entry := s.entries[call.Entry]
	entry.budget.RecordCall(s.queue.now)
	c := &callState{
		simulation: s,
		entry:      entry,
		call:       call,
		began:      s.queue.now,
		deadline:   s.queue.now.Add(time.Duration(s.trace.TimeoutMS) * time.Millisecond),
		attempts:   retry.NewAttempts(defaultAttempts, defaultAttempts),
	}
	s.measures.Calls++
	s.queue.at(c.deadline, func() { c.end(&s.measures.Late) })
	c.tryOnce()
}

// callState is one call at its entry node.
type callState struct {
	simulation   *simulation
	entry        *entryNode
	call         Call
	began        time.Time
	deadline     time.Time
	attempts     retry.Attempts
	tried        []core.NodeID
	openAttempts []*attempt
	failed       bool // an attempt was answered with a failure
	progress     callProgress
}

func (c *callState) tryOnce() {
	if !c.startAttempt(false) {
		c.end(&c.simulation.measures.Refused)
		return
	}
	delay, known := c.entry.hedging.Delay(c.simulation.queue.now)
	if known && c.call.Idempotent && !c.simulation.options.NoHedging {
		c.simulation.queue.after(delay, c.hedge)
	}
}

// hedge makes a second attempt if the first one has not been answered.
func (c *callState) hedge() {
	now := c.simulation.queue.now
	allowed := func() bool { return c.entry.hedging.Allowed(now) && c.entry.budget.TakeHedge(now) }
	if c.progress.ended || len(c.tried) > 1 || !c.attempts.AllowRetry(retry.RetryBudgeted, allowed) {
		return
	}
	if c.startAttempt(true) {
		c.simulation.measures.Hedges++
	}
}

func (c *callState) startAttempt(hedge bool) bool {
	now := c.simulation.queue.now
	chosen, ok := c.entry.balancer.Pick(now, core.PickRequest{
		Service: "replayed",
		Tried:   c.tried,
		Session: c.call.Session,
	}, c.entry.known)
	if !ok {
		return false
	}
	c.attempts.Start()
	c.tried = append(c.tried, chosen.Node)
	a := &attempt{
		call:     c.call,
		deadline: c.deadline,
		hedge:    hedge,
		progress: &c.progress,
		measures: &c.simulation.measures,
		began:    now,
		to:       chosen,
		oneWay:   c.simulation.oneWay(c.entry.spec.DataCentre, chosen.DataCentre),
	}
	a.reply = func(r reply) {
		c.simulation.queue.after(a.oneWay, func() { c.receiveReply(a, r) })
	}
	c.openAttempts = append(c.openAttempts, a)
	c.simulation.queue.after(a.oneWay, func() { c.simulation.servers[chosen.Node].arrive(a) })
	return true
}

func (c *callState) receiveReply(a *attempt, r reply) {
	if !lo.Contains(c.openAttempts, a) {
		return // the attempt was cancelled
	}
	now := c.simulation.queue.now
	c.openAttempts = lo.Without(c.openAttempts, a)
	c.entry.balancer.Done(now, core.PickResult{
		Endpoint:  a.to,
		Outcome:   r.outcome,
		Failed:    r.failed,
		Discarded: a.hedge && r.outcome == core.OutcomeNotRun,
		Latency:   now.Sub(a.began),
	})
	switch {
	case r.outcome == core.OutcomeNotRun || retry.Overloaded(r.status):
		c.entry.hedging.RecordOverload(now)
	case r.outcome == core.OutcomeAnswered:
		c.entry.hedging.RecordLatency(now, now.Sub(a.began))
	}
	if len(c.openAttempts) > 0 && (r.outcome != core.OutcomeAnswered || r.failed) {
		return // the other attempt decides
	}
	class := retry.Classify(r.outcome, r.cause, c.call.Idempotent)
	if r.outcome == core.OutcomeAnswered {
		class = retry.ClassifyAnswer(r.status, false, c.call.Idempotent)
	}
	c.failed = c.failed || r.outcome == core.OutcomeAnswered && r.failed
	if c.attempts.AllowRetry(class, func() bool { return c.entry.budget.Take(now) }) {
		c.tryOnce()
		return
	}
	m := &c.simulation.measures
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

// end adds the call to a counter, unless the call has already ended.
func (c *callState) end(counter *int) {
	if c.progress.ended {
		return
	}
	c.progress.ended = true
	*counter++
	c.cancel()
	m := &c.simulation.measures
	if c.progress.runs > 1 && !c.call.Idempotent {
		m.RunTwice++
	}
	took := c.simulation.queue.now.Sub(c.began).Microseconds()
	_ = c.simulation.latency.RecordValue(min(max(took, 1), maxLatencyUS))
}

// cancel ends the attempts that have not been answered.
func (c *callState) cancel() {
	now := c.simulation.queue.now
	for _, a := range c.openAttempts {
		c.entry.balancer.Done(now, core.PickResult{
			Endpoint:  a.to,
			Outcome:   core.OutcomeUnknown,
			Discarded: true,
			Latency:   now.Sub(a.began),
		})
		c.simulation.queue.after(a.oneWay, func() {
			if a.server != nil {
				a.server.cancel(a)
			}
		})
	}
	c.openAttempts = nil
}

func (s *simulation) oneWay(from, to core.DataCentre) time.Duration {
	if from == to {
		return time.Duration(s.trace.LocalUS) * time.Microsecond
	}
	return time.Duration(s.trace.OneWayUS) * time.Microsecond
}

// sortedAttempts returns the attempts in the order of their tickets; in the order of the map, replays would differ.
func sortedAttempts(pending map[limiter.Ticket]*attempt) []*attempt {
	return lo.Map(sortedTickets(pending), func(t limiter.Ticket, _ int) *attempt { return pending[t] })
}

func sortedTickets[T any](pending map[limiter.Ticket]T) []limiter.Ticket {
	tickets := lo.Keys(pending)
	slices.Sort(tickets)
	return tickets
}
