package replay

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// Rule decides the steps of one move.
type Rule interface {
	// Decide returns the next step if one is due.
	Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool)
}

// RuleName names a decision rule.
type RuleName string

// The decision rules that a replay compares. The first two are baselines for the sequential test.
const (
	RuleSchedule   RuleName = "fixed-schedule"
	RuleThreshold  RuleName = "plain-threshold"
	RuleSequential RuleName = "sequential-test"
)

// RuleNames lists the rules in the order of the output.
var RuleNames = []RuleName{RuleSchedule, RuleThreshold, RuleSequential}

func newRule(name RuleName, move core.Move, from, to core.Release) Rule {
	if name == RuleSequential {
		return rollout.NewSequentialDecider(move, from, to)
	}
	return &scheduleRule{
		service:   move.Request.Service,
		from:      from,
		to:        to,
		threshold: name == RuleThreshold,
		counts:    make(map[counterKey]core.EvidenceCount),
	}
}

// Settings of the plain threshold, as an operator would choose them for an alert.
const (
	thresholdMinCalls      = 20
	thresholdFailureRatio  = 0.05
	thresholdLatencyFactor = 2.0 // of the mean latency
	thresholdWindow        = 30 * time.Second
)

type counterKey struct {
	node        core.NodeID
	incarnation core.Incarnation
	route       core.RouteName
	release     core.Release
}

// scheduleRule raises the share at fixed times. With a threshold, it takes the move back if a rate within a fixed window exceeds it.
type scheduleRule struct {
	service                        core.ServiceName
	from, to                       core.Release
	threshold                      bool
	counts                         map[counterKey]core.EvidenceCount
	oldTotals, newTotals           totals
	oldWindowStart, newWindowStart totals // at the start of the window
	windowStartedAt                time.Time
}

type totals struct {
	calls, failures, milliseconds float64
}

var schedulePerMille = []core.PerMille{5, 10, 20, 50, 100, 250, 500}

func (s *scheduleRule) Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool) {
	s.count(evidence)
	next := core.MoveStep{
		MoveID: move.MoveID,
		Step:   move.Step + 1,
		State:  core.MoveGrowing,
		At:     now,
	}
	if s.threshold && s.exceeded(now) {
		next.State = core.MoveTakenBack
		next.Cause = "threshold exceeded"
		return next, move.State != core.MoveProposed
	}
	slot := move.Request.Deadline.Sub(move.StartedAt) / time.Duration(len(schedulePerMille)+1)
	switch {
	case move.State == core.MoveProposed:
		next.State, next.Share = core.MoveProbing, schedulePerMille[0]
		return next, true
	case now.Sub(move.StartedAt) < slot*time.Duration(move.Step):
		return core.MoveStep{}, false
	case int(move.Step) < len(schedulePerMille):
		next.Share = schedulePerMille[move.Step]
	default:
		next.State, next.Share, next.Cause = core.MoveDone, core.FullShare, "schedule"
	}
	return next, true
}

func (s *scheduleRule) count(evidence []core.EvidenceCount) {
	for _, c := range evidence {
		key := counterKey{
			node:        c.Node,
			incarnation: c.Incarnation,
			route:       c.Route,
			release:     c.Release,
		}
		last := s.counts[key]
		if c.Service != s.service || c.Calls <= last.Calls {
			continue
		}
		s.counts[key] = c
		sum := &s.oldTotals
		if c.Release == s.to {
			sum = &s.newTotals
		}
		sum.calls += float64(c.Calls - last.Calls)
		sum.failures += float64(c.Failures) - float64(last.Failures)
		for i := range c.Latency {
			sum.milliseconds += (float64(c.Latency[i]) - float64(last.Latency[i])) * float64(uint64(1)<<i)
		}
	}
}

func (s *scheduleRule) exceeded(now time.Time) bool {
	if now.Sub(s.windowStartedAt) >= thresholdWindow {
		s.oldWindowStart, s.newWindowStart, s.windowStartedAt = s.oldTotals, s.newTotals, now
	}
	before, after := s.oldTotals.minus(s.oldWindowStart), s.newTotals.minus(s.newWindowStart)
	if after.calls < thresholdMinCalls {
		return false
	}
	if after.failures/after.calls > thresholdFailureRatio {
		return true
	}
	return before.calls >= thresholdMinCalls && after.milliseconds/after.calls > thresholdLatencyFactor*before.milliseconds/before.calls
}

func (t totals) minus(other totals) totals {
	return totals{
		calls:        t.calls - other.calls,
		failures:     t.failures - other.failures,
		milliseconds: t.milliseconds - other.milliseconds,
	}
}
