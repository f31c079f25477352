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

// The decision rules that a replay compares.
const (
	RuleSchedule   RuleName = "fixed-schedule"
	RuleThreshold  RuleName = "plain-threshold"
	RuleSequential RuleName = "sequential-test"
)

// RuleNames lists the rules in the order of the report.
var RuleNames = []RuleName{RuleSchedule, RuleThreshold, RuleSequential}

func newRule(name RuleName, move core.Move, from, to core.Release) Rule {
	if name == RuleSequential {
		return rollout.NewSequentialDecider(move, from, to)
	}
	return &schedule{
		service:   move.Request.Service,
		from:      from,
		to:        to,
		threshold: name == RuleThreshold,
		counts:    make(map[countKey]core.EvidenceCount),
	}
}

// Values of the plain threshold, as an operator would set them on a dashboard.
const (
	thresholdCalls    = 20
	thresholdFailures = 0.05
	thresholdSlow     = 2.0 // factor of the mean latency
	thresholdWindow   = 30 * time.Second
)

type countKey struct {
	node        core.NodeID
	incarnation core.Incarnation
	route       core.RouteName
	release     core.Release
}

// schedule raises the share at fixed times; with a threshold, it takes back on a rate in a fixed window.
type schedule struct {
	service          core.ServiceName
	from, to         core.Release
	threshold        bool
	counts           map[countKey]core.EvidenceCount
	oldSum, newSum   sums
	oldMark, newMark sums // at the start of the window
	markedAt         time.Time
}

type sums struct {
	calls, failures, milliseconds float64
}

var scheduleShares = []core.PerMille{5, 10, 20, 50, 100, 250, 500}

func (s *schedule) Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool) {
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
	slot := move.Request.Deadline.Sub(move.StartedAt) / time.Duration(len(scheduleShares)+1)
	switch {
	case move.State == core.MoveProposed:
		next.State, next.Share = core.MoveProbing, scheduleShares[0]
		return next, true
	case now.Sub(move.StartedAt) < slot*time.Duration(move.Step):
		return core.MoveStep{}, false
	case int(move.Step) < len(scheduleShares):
		next.Share = scheduleShares[move.Step]
	default:
		next.State, next.Share, next.Cause = core.MoveDone, core.FullShare, "schedule"
	}
	return next, true
}

func (s *schedule) count(evidence []core.EvidenceCount) {
	for _, c := range evidence {
		key := countKey{
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
		sum := &s.oldSum
		if c.Release == s.to {
			sum = &s.newSum
		}
		sum.calls += float64(c.Calls - last.Calls)
		sum.failures += float64(c.Failures) - float64(last.Failures)
		for i := range c.Latency {
			sum.milliseconds += (float64(c.Latency[i]) - float64(last.Latency[i])) * float64(uint64(1)<<i)
		}
	}
}

func (s *schedule) exceeded(now time.Time) bool {
	if now.Sub(s.markedAt) >= thresholdWindow {
		s.oldMark, s.newMark, s.markedAt = s.oldSum, s.newSum, now
	}
	before, after := s.oldSum.minus(s.oldMark), s.newSum.minus(s.newMark)
	if after.calls < thresholdCalls {
		return false
	}
	if after.failures/after.calls > thresholdFailures {
		return true
	}
	return before.calls >= thresholdCalls && after.milliseconds/after.calls > thresholdSlow*before.milliseconds/before.calls
}

func (s sums) minus(other sums) sums {
	return sums{
		calls:        s.calls - other.calls,
		failures:     s.failures - other.failures,
		milliseconds: s.milliseconds - other.milliseconds,
	}
}
