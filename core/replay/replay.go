package replay

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// ErrOutcome is returned if the sequential test leads to another outcome than a trace states.
const ErrOutcome = errors.ConstError("outcome differs from the stated one")

// drainDuration is how long a replay continues after the end of the move, so that the last calls to the new release are counted.
const drainDuration = 5 * time.Second

// Measures holds the results of one rule for one trace. Calls are counted from the acceptance of the move until drainDuration after
// its end.
type Measures struct {
	Move            core.Move
	Calls           int
	NewCalls        int           // of the new release
	CallsAfterFault int           // of the new release, on all routes, since its fault first showed
	FaultyCalls     int           // of the new release, affected by the fault
	FaultAt         time.Time     // time of the first faulty call, zero if there was none
	TakeBackDelay   time.Duration // from FaultAt until the move was taken back, zero if it was not
	Steps           []core.MoveStep
}

func (m *Measures) recordCall(now time.Time, isNew, faulty bool) {
	if now.Before(epoch) {
		return
	}
	m.Calls++
	if !isNew {
		return
	}
	m.NewCalls++
	if faulty {
		m.FaultyCalls++
		if m.FaultAt.IsZero() {
			m.FaultAt = now
		}
	}
	if !m.FaultAt.IsZero() {
		m.CallsAfterFault++
	}
}

// CallsAfterFaultRatio returns the ratio of CallsAfterFault to all calls.
func (m *Measures) CallsAfterFaultRatio() float64 {
	return float64(m.CallsAfterFault) / float64(max(1, m.Calls))
}

// Matches reports whether the move ended as the trace states.
func (m *Measures) Matches(want Outcome) bool {
	return m.Move.State == want.State && strings.Contains(m.Move.Cause, want.Cause)
}

// Replay replays a trace with one rule. It returns an error if the rule proposed a step with a wrong number or a state
// change that the chart of moves does not have.
func Replay(trace *Trace, rule RuleName) (*Measures, error) {
	m := &Measures{Move: newMove(trace)}
	sim := newSimulation(trace, m)
	events := trace.Events
	decider := newRule(rule, m.Move, trace.From, trace.To)
	var leaderlessUntil, endedAt time.Time
	for endedAt.IsZero() || sim.now.Before(endedAt.Add(drainDuration)) {
		for len(events) > 0 && !sim.now.Before(epoch.Add(time.Duration(events[0].At*float64(time.Second)))) {
			if events[0].Kind == "leader-loss" {
				leaderlessUntil = sim.now.Add(time.Duration(events[0].number(0)) * time.Second)
				decider = newRule(rule, m.Move, trace.From, trace.To)
			}
			sim.apply(events[0])
			events = events[1:]
		}
		sim.runTick()
		evidence := sim.takeArrivedEvidence()
		if sim.now.Before(epoch) || sim.now.Before(leaderlessUntil) || !endedAt.IsZero() {
			continue
		}
		if observer, ok := decider.(interface {
			ObserveEndpoints(time.Time, []core.Endpoint)
		}); ok {
			observer.ObserveEndpoints(sim.now, sim.endpoints())
		}
		step, due := decider.Decide(sim.now, m.Move, evidence)
		if due {
			if err := m.apply(step); err != nil {
				return nil, err
			}
			sim.setShare(m.Move.Share)
		}
		if rollout.IsFinal(m.Move.State) || sim.now.After(m.Move.Request.Deadline) {
			endedAt = sim.now
		}
	}
	if m.Move.State == core.MoveTakenBack && !m.FaultAt.IsZero() {
		m.TakeBackDelay = m.Move.SteppedAt.Sub(m.FaultAt)
	}
	return m, nil
}

func newMove(trace *Trace) core.Move {
	return core.Move{
		MoveID: "replayed",
		Request: core.MoveRequest{
			Service:      trace.Service,
			From:         core.UpstreamName(trace.From),
			To:           core.UpstreamName(trace.To),
			Deadline:     epoch.Add(trace.deadline()),
			MaxRiskShare: trace.MaxRiskPerMille,
		},
		State:     rollout.InitialState(),
		StartedAt: epoch,
		SteppedAt: epoch,
	}
}

// apply changes the move as the catalog does with a committed step. Unlike the catalog, it also checks the transition.
func (m *Measures) apply(step core.MoveStep) error {
	if step.Step != m.Move.Step+1 || !rollout.IsTransition(m.Move.State, step.State) {
		return errors.Errorf("step %d to %s does not follow step %d in %s", step.Step, step.State, m.Move.Step, m.Move.State)
	}
	m.Steps = append(m.Steps, step)
	m.Move.State = step.State
	m.Move.Share = step.Share
	m.Move.Step = step.Step
	m.Move.SteppedAt = step.At
	m.Move.Cause = step.Cause
	m.Move.Evidence = step.Evidence
	return nil
}

// Run replays a trace file, or all *.trace files of a folder, with each rule and prints the measures. It returns
// ErrOutcome if the sequential test leads to another outcome than a trace states.
func Run(file string, w io.Writer) error {
	info, err := os.Stat(file)
	if err != nil {
		return errors.Annotate(err, "replay")
	}
	files := []string{file}
	if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(file, "*.trace")); err != nil {
			return errors.Annotate(err, "replay")
		}
	}
	scores := make(map[RuleName]*Score)
	var wrong []string
	for _, name := range files {
		trace, err := Load(name)
		if err != nil {
			return err
		}
		matches, err := runTrace(trace, w, scores, len(files) == 1)
		if err != nil {
			return errors.Annotatef(err, "trace %s", name)
		}
		if !matches {
			wrong = append(wrong, name)
		}
	}
	if len(files) > 1 {
		printScores(w, scores)
	}
	if len(wrong) > 0 {
		return errors.Annotate(ErrOutcome, strings.Join(wrong, ", "))
	}
	return nil
}

func runTrace(trace *Trace, w io.Writer, scores map[RuleName]*Score, steps bool) (matches bool, err error) {
	fmt.Fprintf(w, "%s: stated outcome %s\n", trace.Name, trace.Outcome.State)
	for _, rule := range RuleNames {
		m, err := Replay(trace, rule)
		if err != nil {
			return false, errors.Annotatef(err, "rule %s", rule)
		}
		if scores[rule] == nil {
			scores[rule] = &Score{}
		}
		scores[rule].Add(trace, m)
		matches = m.Matches(trace.Outcome)
		m.print(w, rule, trace.Outcome)
		if steps && rule == RuleSequential {
			m.printSteps(w)
		}
	}
	return matches, nil
}

func (m *Measures) print(w io.Writer, rule RuleName, want Outcome) {
	result := "as stated"
	if !m.Matches(want) {
		result = "NOT AS STATED"
	}
	fmt.Fprintf(w, "  %-16s %-10s %-13s after %4.0f s, %d calls, %.2f%% on the new release, %.2f%% after its fault showed",
		rule, m.Move.State, result, m.Move.SteppedAt.Sub(epoch).Seconds(), m.Calls,
		100*float64(m.NewCalls)/float64(max(1, m.Calls)), 100*m.CallsAfterFaultRatio())
	if m.TakeBackDelay > 0 {
		fmt.Fprintf(w, ", taken back %.0f s after it", m.TakeBackDelay.Seconds())
	}
	fmt.Fprintln(w)
}

func (m *Measures) printSteps(w io.Writer) {
	for _, s := range m.Steps {
		fmt.Fprintf(w, "    %4.0f s  %-10s %4d per mille", s.At.Sub(epoch).Seconds(), s.State, s.Share)
		for _, text := range []string{s.Cause, s.Evidence} {
			if text != "" {
				fmt.Fprintf(w, "; %s", text)
			}
		}
		fmt.Fprintln(w)
	}
}

// Score sums up the measures of one rule over many traces.
type Score struct {
	Good, GoodFinished    int
	GoodTakenBack         int
	Bad, BadTakenBack     int
	CallsAfterFaultRatios []float64
	TakeBackSeconds       []float64
	Matched               int // moves that ended as their trace states
}

// Add adds the measures of one trace.
func (s *Score) Add(trace *Trace, m *Measures) {
	if m.Matches(trace.Outcome) {
		s.Matched++
	}
	if !trace.Outcome.Bad {
		s.Good++
		if m.Move.State == core.MoveDone {
			s.GoodFinished++
		}
		if m.Move.State == core.MoveTakenBack {
			s.GoodTakenBack++
		}
		return
	}
	s.Bad++
	s.CallsAfterFaultRatios = append(s.CallsAfterFaultRatios, m.CallsAfterFaultRatio())
	if m.Move.State == core.MoveTakenBack {
		s.BadTakenBack++
		s.TakeBackSeconds = append(s.TakeBackSeconds, m.TakeBackDelay.Seconds())
	}
}

func printScores(w io.Writer, scores map[RuleName]*Score) {
	for _, rule := range RuleNames {
		fmt.Fprintf(w, "%-16s %s\n", rule, scores[rule])
	}
}

// String returns the score in one line.
func (s *Score) String() string {
	return fmt.Sprintf("good done in time %d/%d, falsely taken back %d; bad taken back %d/%d, share of calls on bad median %.2f%% worst %.2f%%, under 2%% in %d/%d; fault to take-back median %.0f s worst %.0f s",
		s.GoodFinished, s.Good, s.GoodTakenBack, s.BadTakenBack, s.Bad,
		100*quantile(s.CallsAfterFaultRatios, 0.5), 100*quantile(s.CallsAfterFaultRatios, 1), countBelow(s.CallsAfterFaultRatios, 0.02), s.Bad,
		quantile(s.TakeBackSeconds, 0.5), quantile(s.TakeBackSeconds, 1))
}

func countBelow(values []float64, limit float64) int {
	n := 0
	for _, v := range values {
		if v < limit {
			n++
		}
	}
	return n
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

func sortCounts(counts []core.EvidenceCount) {
	slices.SortFunc(counts, func(a, b core.EvidenceCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Release, b.Release))
	})
}
