package rollout

import (
	"fmt"
	"strings"
	"time"

	"parsleyport/core"
)

// risk is the largest share before the evidence passes.
func riskShare(move core.Move) core.PerMille {
	if move.Request.MaxRiskShare > 0 {
		return move.Request.MaxRiskShare
	}
	return defaultRiskPerMille
}

// nextShare is the share that follows when a stretch of evidence passes.
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

// weight is the part of the time that a share gets. Large shares get less, and thus come later: a fault that shows then
// meets more calls, and needs less time to be found.
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

// margin is the time that the last step leaves before the deadline.
func deadlineMargin(move core.Move) time.Duration {
	total := move.Request.Deadline.Sub(move.StartedAt)
	return min(max(total/20, minStepDuration), total/5)
}

// dwell is the time that a share may last if the remaining steps take their parts of the time before the deadline.
func plannedStepDuration(move core.Move) time.Duration {
	weights := stepTimeWeight(move.Share)
	for share := move.Share; nextShare(share) < core.FullShare; share = nextShare(share) {
		weights += stepTimeWeight(nextShare(share))
	}
	return max(0, move.Request.Deadline.Add(-deadlineMargin(move)).Sub(move.SteppedAt)) * stepTimeWeight(move.Share) / weights
}

// stepsFrom is the number of steps from a share to the full one.
func stepsFrom(share core.PerMille) int {
	steps := 0
	for ; share < core.FullShare; share = nextShare(share) {
		steps++
	}
	return steps
}

// stepsLeft is the number of steps that can follow before the deadline if each one waits for evidence.
func stepsLeft(now time.Time, move core.Move) int {
	return int(max(0, move.Request.Deadline.Add(-deadlineMargin(move)).Sub(now)) / evidenceArrivalTime)
}

// rushed reports whether a move's time does not suffice for all steps.
func rushed(move core.Move) bool {
	return stepsLeft(move.StartedAt.Add(baselineDuration), move) < stepsFrom(min(probePerMille, riskShare(move)))
}

// following is the share after a move's share: the next one, or a later one if the time does not suffice for all. It is
// the same share if the move has to wait for calls.
func (j *SequentialDecider) targetShare(now time.Time, move core.Move) core.PerMille {
	left, next := stepsLeft(now, move), nextShare(move.Share)
	if !rushed(move) || stepsFrom(move.Share) <= left+1 {
		return next
	}
	total := move.Request.Deadline.Sub(move.StartedAt)
	limit := core.PerMille(maxBadCallsRatio * float64(core.FullShare) * total.Seconds() / evidenceArrivalTime.Seconds())
	switch {
	case left == 0 && j.all.failures.total.new.calls >= rushedMinCalls:
		return core.FullShare
	case left == 0 || next > limit:
		return move.Share
	case stepsFrom(move.Share) > 2*(left+1):
		return min(8*move.Share, limit)
	default:
		return min(4*move.Share, limit)
	}
}

func (j *SequentialDecider) grow(now time.Time, move core.Move) (core.MoveStep, bool) {
	target, limit := j.limitedShare(now, move)
	if target <= move.Share || limit != "" || now.Sub(j.shareSince(move)) < evidenceArrivalTime || j.evidenceMissing(now, move) {
		return core.MoveStep{}, false
	}
	planned, elapsed := plannedStepDuration(move), now.Sub(move.SteppedAt)
	passed := j.all.passesStep(!j.fleet.latencyAbandoned()) && elapsed >= max(min(planned, maxStepDuration), min(planned, minStepDuration))
	byTime := elapsed >= max(planned, j.minTimedStep()) && (target <= riskShare(move) || !j.doubtful(target) && (j.passes(now, move) || j.littleTraffic(now, move)))
	if !passed && !byTime {
		return core.MoveStep{}, false
	}
	if target < core.FullShare {
		return step(now, move, eventPass, target, "", j.describe(now, move))
	}
	_, _, little := j.classifyRoutes(now, move)
	cause := "judged on all routes"
	if !j.all.passesMove(!j.fleet.latencyAbandoned()) || len(little) > 0 {
		cause = "evidence thin"
	}
	return step(now, move, eventFinish, target, cause, j.describe(now, move))
}

// minTimedStep is how long a share lasts at least if it ends by time and evidence is late.
func (j *SequentialDecider) minTimedStep() time.Duration {
	if j.evidenceDelay == 0 {
		return 0
	}
	return evidenceArrivalTime + j.evidenceDelay
}

// target returns the next share, and the reason if it may not be given now.
func (j *SequentialDecider) limitedShare(now time.Time, move core.Move) (core.PerMille, string) {
	target := j.targetShare(now, move)
	if j.fleet.inSlowStart(now) && now.Before(move.SteppedAt.Add(plannedStepDuration(move)+slowStartDuration)) && stepsLeft(now, move) >= stepsFrom(move.Share) {
		return target, "backend servers of the new release are in slow start"
	}
	if capacity := j.fleet.capacityPerMille(); target > capacity {
		return target, fmt.Sprintf("the new release has backend servers for %d per mille only", capacity)
	}
	if target <= riskShare(move) || j.passes(now, move) {
		return target, ""
	}
	if j.littleTraffic(now, move) && move.Request.MaxRiskShare == 0 {
		return target, ""
	}
	target = riskShare(move)
	if target <= move.Share {
		return target, fmt.Sprintf("the largest share at risk is %d per mille until the evidence passes", target)
	}
	return target, ""
}

// passes reports whether the evidence passes in total and on each route that carries enough traffic.
func (j *SequentialDecider) passes(now time.Time, move core.Move) bool {
	if j.passedUnderEarlierLeader {
		return true
	}
	_, unjudged, _ := j.classifyRoutes(now, move)
	return len(unjudged) == 0 && j.all.passesMove(!j.fleet.latencyAbandoned())
}

// judged sorts the routes by what is known of them.
func (j *SequentialDecider) classifyRoutes(now time.Time, move core.Move) (judged, unjudged, little []string) {
	for _, g := range j.groups() {
		switch {
		case g == j.all || g == j.pooled:
		case g.passesMove(!j.fleet.latencyAbandoned()):
			judged = append(judged, strings.TrimPrefix(g.name, "route "))
		case j.enoughTraffic(now, move, g):
			unjudged = append(unjudged, strings.TrimPrefix(g.name, "route "))
		default:
			little = append(little, strings.TrimPrefix(g.name, "route "))
		}
	}
	return judged, unjudged, little
}

// enoughTraffic reports whether a part of the move's time at the share at risk gives a verdict on the group.
func (j *SequentialDecider) enoughTraffic(now time.Time, move core.Move, g *group) bool {
	observed := now.Sub(j.firstDecisionAt)
	if observed <= 0 {
		return false
	}
	total := move.Request.Deadline.Sub(j.firstDecisionAt)
	expected := g.calls() * float64(total) / float64(observed)
	return expected*float64(riskShare(move))/float64(core.FullShare) >= littleTrafficFactor*g.callsToPass()
}

func (j *SequentialDecider) littleTraffic(now time.Time, move core.Move) bool {
	return !j.enoughTraffic(now, move, j.all)
}

// shareSince is the time from which evidence about the present share counts; a new leader has seen none from before.
func (j *SequentialDecider) shareSince(move core.Move) time.Time {
	if j.firstDecisionAt.After(move.SteppedAt) {
		return j.firstDecisionAt
	}
	return move.SteppedAt
}

// doubtful reports whether the evidence so far speaks so much against the new release that the move would be taken back
// at its deadline. It must not grow by time then.
func (j *SequentialDecider) doubtful(share core.PerMille) bool {
	_, _, found := j.verdict(func(c *comparison) bool {
		sequential, _ := c.currentLLRs()
		return sequential >= alarmThreshold(deadlineFalseAlarmProbability, 1) || share == core.FullShare && c.worseAtDeadline()
	})
	return found
}

// missing reports whether far fewer calls of the new release have arrived than its share and the traffic so far let
// expect: reports are lost or late, or nodes do not use the new release.
func (j *SequentialDecider) evidenceMissing(now time.Time, move core.Move) bool {
	if j.fleet.capacityPerMille() == 0 {
		return false // no backend server of the new release could be used; the capacity is the cause then
	}
	share := float64(move.Share) / float64(core.FullShare)
	arrived := j.all.failures.sinceStep
	expected := 0.0
	if move.Share < core.FullShare {
		expected = arrived.old.calls * share / (1 - share)
	}
	if since := j.shareSince(move).Add(evidenceArrivalTime); !j.rateMeasuredFrom.IsZero() && now.After(since) && since.After(j.rateMeasuredFrom) {
		rate := (j.all.calls() - j.rateBaseCalls) / now.Sub(j.rateMeasuredFrom).Seconds()
		expected = max(expected, share*rate*now.Sub(since).Seconds())
	}
	return expected >= missingEvidenceMinCalls && arrived.new.calls < expected/missingEvidenceDivisor
}

func (j *SequentialDecider) expiryCause(now time.Time, move core.Move) string {
	if j.evidenceMissing(now, move) {
		return fmt.Sprintf("evidence missing: only %.0f calls of the new release have been reported at %d per mille", j.all.failures.sinceStep.new.calls, move.Share)
	}
	if _, unjudged, _ := j.classifyRoutes(now, move); len(unjudged) > 0 {
		return "the time was reached before a verdict on " + strings.Join(unjudged, ", ")
	}
	if _, limit := j.limitedShare(now, move); limit != "" {
		return "the time was reached: " + limit
	}
	return "the time was reached before the evidence passed"
}
