package rollout

import (
	"fmt"
	"strings"
	"time"

	"parsleyport/core"
)

// riskShare returns the largest share that the new release may get before the evidence passes.
func riskShare(move core.Move) core.PerMille {
	if move.Request.MaxRiskShare > 0 {
		return move.Request.MaxRiskShare
	}
	return defaultRiskPerMille
}

// nextShare returns the share that follows when the evidence at a share passes.
func nextShare(share core.PerMille) core.PerMille {
	switch {
	case share < equalPerMille:
		return min(2*share, equalPerMille)
	case share < lastPartialPerMille:
		return lastPartialPerMille
	default:
		return core.FullShare
	}
}

// stepTimeWeight returns the relative time of a share. Large shares get less time and so begin later: a fault that shows at a large
// share affects more calls, and takes less time to find.
func stepTimeWeight(share core.PerMille) time.Duration {
	switch {
	case share >= equalPerMille/2:
		return 1
	case share >= equalPerMille/5:
		return 2
	default:
		return 3
	}
}

// deadlineMargin returns the time between the last step and the deadline.
func deadlineMargin(move core.Move) time.Duration {
	total := move.Request.Deadline.Sub(move.StartedAt)
	return min(max(total/20, minStepDuration), total/5)
}

// plannedStepDuration returns how long the present share may last, if the time until the deadline is divided by stepTimeWeight.
func plannedStepDuration(move core.Move) time.Duration {
	weights := stepTimeWeight(move.Share)
	for share := move.Share; nextShare(share) < core.FullShare; share = nextShare(share) {
		weights += stepTimeWeight(nextShare(share))
	}
	return max(0, move.Request.Deadline.Add(-deadlineMargin(move)).Sub(move.SteppedAt)) * stepTimeWeight(move.Share) / weights
}

// stepsFrom returns the number of steps from a share to the full one.
func stepsFrom(share core.PerMille) int {
	steps := 0
	for ; share < core.FullShare; share = nextShare(share) {
		steps++
	}
	return steps
}

// stepsLeft returns the number of steps that fit before the deadline if each one waits for its evidence.
func stepsLeft(now time.Time, move core.Move) int {
	return int(max(0, move.Request.Deadline.Add(-deadlineMargin(move)).Sub(now)) / evidenceArrivalTime)
}

// rushed reports whether a move has too little time for all steps.
func rushed(move core.Move) bool {
	return stepsLeft(move.StartedAt.Add(baselineDuration), move) < stepsFrom(min(probePerMille, riskShare(move)))
}

// targetShare returns the share of the next step. It skips shares if there is no time for all of them, and returns the present share
// if the move has to wait for calls.
func (d *SequentialDecider) targetShare(now time.Time, move core.Move) core.PerMille {
	left, next := stepsLeft(now, move), nextShare(move.Share)
	if !rushed(move) || stepsFrom(move.Share) <= left+1 {
		return next
	}
	total := move.Request.Deadline.Sub(move.StartedAt)
	limit := core.PerMille(maxBadCallsRatio * float64(core.FullShare) * total.Seconds() / evidenceArrivalTime.Seconds())
	switch {
	case left == 0 && d.all.failures.total.new.calls >= rushedMinCalls:
		return core.FullShare
	case left == 0 || next > limit:
		return move.Share
	case stepsFrom(move.Share) > 2*(left+1):
		return min(8*move.Share, limit)
	default:
		return min(4*move.Share, limit)
	}
}

func (d *SequentialDecider) grow(now time.Time, move core.Move) (core.MoveStep, bool) {
	target, limit := d.limitedShare(now, move)
	if target <= move.Share || limit != "" || now.Sub(d.shareSince(move)) < evidenceArrivalTime || d.evidenceMissing(now, move) {
		return core.MoveStep{}, false
	}
	planned, elapsed := plannedStepDuration(move), now.Sub(move.SteppedAt)
	passed := d.all.passesStep(!d.fleet.latencyAbandoned()) && elapsed >= max(min(planned, maxStepDuration), min(planned, minStepDuration))
	byTime := elapsed >= max(planned, d.minTimedStep()) && (target <= riskShare(move) || !d.doubtful(target) && (d.passes(now, move) || d.littleTraffic(now, move)))
	if !passed && !byTime {
		return core.MoveStep{}, false
	}
	if target < core.FullShare {
		return step(now, move, eventPass, target, "", d.describe(now, move))
	}
	_, _, little := d.classifyRoutes(now, move)
	cause := "judged on all routes"
	if !d.all.passesMove(!d.fleet.latencyAbandoned()) || len(little) > 0 {
		cause = "evidence thin"
	}
	return step(now, move, eventFinish, target, cause, d.describe(now, move))
}

// minTimedStep returns the least time that a share lasts before it grows by time alone, zero unless evidence is late.
func (d *SequentialDecider) minTimedStep() time.Duration {
	if d.evidenceDelay == 0 {
		return 0
	}
	return evidenceArrivalTime + d.evidenceDelay
}

// limitedShare returns the share of the next step, and the reason if the move has to wait before it.
func (d *SequentialDecider) limitedShare(now time.Time, move core.Move) (core.PerMille, string) {
	target := d.targetShare(now, move)
	if d.fleet.inSlowStart(now) && now.Before(move.SteppedAt.Add(plannedStepDuration(move)+slowStartDuration)) && stepsLeft(now, move) >= stepsFrom(move.Share) {
		return target, "backend servers of the new release are in slow start"
	}
	if capacity := d.fleet.capacityPerMille(); target > capacity {
		return target, fmt.Sprintf("the new release has backend servers for %d per mille only", capacity)
	}
	if target <= riskShare(move) || d.passes(now, move) {
		return target, ""
	}
	if d.littleTraffic(now, move) && move.Request.MaxRiskShare == 0 {
		return target, ""
	}
	target = riskShare(move)
	if target <= move.Share {
		return target, fmt.Sprintf("the largest share at risk is %d per mille until the evidence passes", target)
	}
	return target, ""
}

// passes reports whether the evidence passes in total and on each route with enough traffic.
func (d *SequentialDecider) passes(now time.Time, move core.Move) bool {
	if d.passedUnderEarlierLeader {
		return true
	}
	_, unjudged, _ := d.classifyRoutes(now, move)
	return len(unjudged) == 0 && d.all.passesMove(!d.fleet.latencyAbandoned())
}

// classifyRoutes returns the names of the routes with a passed verdict, without one, and with too little traffic for one.
func (d *SequentialDecider) classifyRoutes(now time.Time, move core.Move) (judged, unjudged, little []string) {
	for _, g := range d.groups() {
		switch {
		case g == d.all || g == d.pooled:
		case g.passesMove(!d.fleet.latencyAbandoned()):
			judged = append(judged, strings.TrimPrefix(g.name, "route "))
		case d.enoughTraffic(now, move, g):
			unjudged = append(unjudged, strings.TrimPrefix(g.name, "route "))
		default:
			little = append(little, strings.TrimPrefix(g.name, "route "))
		}
	}
	return judged, unjudged, little
}

// enoughTraffic reports whether 1/littleTrafficFactor of the move's time at the risk share is enough for a verdict on the group.
func (d *SequentialDecider) enoughTraffic(now time.Time, move core.Move, g *group) bool {
	observed := now.Sub(d.firstDecisionAt)
	if observed <= 0 {
		return false
	}
	total := move.Request.Deadline.Sub(d.firstDecisionAt)
	expected := g.calls() * float64(total) / float64(observed)
	return expected*float64(riskShare(move))/float64(core.FullShare) >= littleTrafficFactor*g.callsToPass()
}

func (d *SequentialDecider) littleTraffic(now time.Time, move core.Move) bool {
	return !d.enoughTraffic(now, move, d.all)
}

// shareSince returns the time since which this decider has seen evidence about the present share. After a leader change, the new
// leader's decider has seen none from before.
func (d *SequentialDecider) shareSince(move core.Move) time.Time {
	if d.firstDecisionAt.After(move.SteppedAt) {
		return d.firstDecisionAt
	}
	return move.SteppedAt
}

// doubtful reports whether the evidence so far would take the move back at its deadline. Such a move must not grow by time alone.
func (d *SequentialDecider) doubtful(share core.PerMille) bool {
	_, _, found := d.verdict(func(c *comparison) bool {
		sequential, _ := c.currentLLRs()
		return sequential >= alarmThreshold(deadlineFalseAlarmProbability, 1) || share == core.FullShare && c.worseAtDeadline()
	})
	return found
}

// evidenceMissing reports whether far fewer calls of the new release were reported than its share and the traffic predict. Reports
// are lost or late then, or nodes do not use the new release.
func (d *SequentialDecider) evidenceMissing(now time.Time, move core.Move) bool {
	if d.fleet.capacityPerMille() == 0 {
		return false // no backend server of the new release could be used; the capacity is the cause then
	}
	share := float64(move.Share) / float64(core.FullShare)
	arrived := d.all.failures.sinceStep
	expected := 0.0
	if move.Share < core.FullShare {
		expected = arrived.old.calls * share / (1 - share)
	}
	if since := d.shareSince(move).Add(evidenceArrivalTime); !d.rateMeasuredFrom.IsZero() && now.After(since) && since.After(d.rateMeasuredFrom) {
		rate := (d.all.calls() - d.rateBaseCalls) / now.Sub(d.rateMeasuredFrom).Seconds()
		expected = max(expected, share*rate*now.Sub(since).Seconds())
	}
	return expected >= missingEvidenceMinCalls && arrived.new.calls < expected/missingEvidenceDivisor
}

func (d *SequentialDecider) expiryCause(now time.Time, move core.Move) string {
	if d.evidenceMissing(now, move) {
		return fmt.Sprintf("evidence missing: only %.0f calls of the new release have been reported at %d per mille", d.all.failures.sinceStep.new.calls, move.Share)
	}
	if _, unjudged, _ := d.classifyRoutes(now, move); len(unjudged) > 0 {
		return "the time was reached before a verdict on " + strings.Join(unjudged, ", ")
	}
	if _, limit := d.limitedShare(now, move); limit != "" {
		return "the time was reached: " + limit
	}
	return "the time was reached before the evidence passed"
}
