package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

const (
	// shortMoveRiskPerMille is the share during most of a short move, if the request names none.
	shortMoveRiskPerMille core.PerMille = 60
	// shortMoveAnnounceDelay leaves the nodes time to learn of the move before its first share.
	shortMoveAnnounceDelay = 500 * time.Millisecond
	// A short move stays at the risk share, then at a fifth, until these parts of its time have passed; the rest is the margin of the
	// last step. Late faults have to show before the last step, since the old release gets no more calls after it. Until then the new
	// release has had 85 in 1,000 of the calls, so one that fails only at the very end has still had less than a tenth of them.
	shortMoveRiskUntilRatio  = 0.74
	shortMoveFifthUntilRatio = 0.94
	shortMoveFifthPerMille   = core.PerMille(200)
	// shortMoveDecideUntilRatio is the part of the time after which a doubtful move is taken back, so that the old release is back in
	// force by the deadline.
	shortMoveDecideUntilRatio = 0.96
	// shortMoveMinCalls is the number of calls of the new release that must have been reported before each larger share.
	shortMoveMinCalls = 12
	// shortMoveFalseAlarmProbability is the probability that one comparison takes back a release that is as good as the old one.
	shortMoveFalseAlarmProbability = 1e-3
	// shortMoveDoubtProbability is the false alarm probability of the tests that keep a share from growing. It is higher than that of
	// the tests that take a release back: a good release that was not done in time can be moved to again, while a bad one that gets
	// all calls has no other release beside it to compare with.
	shortMoveDoubtProbability = 0.01
	// shortMoveToleratedFailureRate and shortMoveToleratedSlowRate are added to the old release's rates before the comparison, for
	// failures of single calls and for slow answers of backend servers that have just started.
	shortMoveToleratedFailureRate = 0.02
	shortMoveToleratedSlowRate    = 0.05
	// A release is slow if at least shortMoveDetectedSlowRate of its calls are slow in addition to the old release's rate.
	// shortMoveMissProbability is the probability that a move to such a release is done.
	shortMoveDetectedSlowRate = 0.15
	shortMoveMissProbability  = 0.2
	// shortMoveNoninferiorSlowRatio is the part of the old release's answers that may be slow in the non-inferiority test of latency.
	// With a smaller part, fewer calls suffice for the test, but queueing in the old release raises the boundary above the slow answers.
	shortMoveNoninferiorSlowRatio = 0.12
	// shortMoveWarmUpDuration is how long the latencies of a new release are left out, because processes answer their first calls
	// slowly. Reports arrive within half a second.
	shortMoveWarmUpDuration = 1500 * time.Millisecond
	// The old release's current rate is its rate over shortMoveRateWindow, smoothed by shortMoveRateWeightCalls calls at its rate since
	// the move began. Nodes report every 0.3 s.
	shortMoveRateWindow      = 600 * time.Millisecond
	shortMoveRateWeightCalls = 5.0
	// shortMoveMinBadCalls is the least number of bad calls that may take a move back, so that one or two unlucky calls do not.
	shortMoveMinBadCalls = 3
	// shortMoveStallDuration covers the reports about one standstill of a backend server of up to 0.4 s: nodes report every 0.3 s, and
	// decisions are 0.2 s apart. The calls that a standstill meets are slow together, so that they are not independent evidence.
	shortMoveStallDuration = 900 * time.Millisecond
	// maxShortMoveReported bounds the latencies of single routes and reports that are kept to find a standstill, at 112 bytes each.
	maxShortMoveReported = 16 << 10
)

// ShortMoveDecider decides the steps of one move that is too short for a SequentialDecider. It compares the releases over the same
// time with binomial tests, by route and in total, since the move began and since its latest step. It is not safe for concurrent use.
type ShortMoveDecider struct {
	service         core.ServiceName
	to              core.Release
	readyEndpoints  int // of the new release
	step            uint64
	stepSeenAt      time.Time
	countedAtStep   map[core.RouteName]shortMovePair // at the latest step
	history         []shortMoveSnapshot              // at the latest decisions, oldest first
	warmUpLatencies map[core.RouteName]latencies     // of the new release, to be left out
	reports         []shortMoveReport                // oldest first
	reported        int                              // latencies of all reports
}

type latencies [core.LatencyBuckets]uint64

// shortMoveCount holds the counts of one release: calls that were answered or failed, calls that were rejected for lack of
// capacity, and the latencies after the warm-up.
type shortMoveCount struct {
	calls, failures, rejected uint64
	latency                   latencies
}

// shortMoveReport holds the latencies of the new release that were reported between two decisions.
type shortMoveReport struct {
	from, until time.Time
	latencies   map[core.RouteName]latencies
}

// shortMovePair holds the counts of both releases, and how many calls of the new release would have been bad at the old release's
// rates at the same time. The rates have to be those of the same time: most calls of the new release may fall into a time of faults
// that affect both releases.
type shortMovePair struct {
	old, new                           shortMoveCount
	expectedFailures, expectedRejected float64
	expectedSlow                       [core.LatencyBuckets]float64 // above each bucket
}

// IsShortMove reports whether a move lasts at most maxDuration, so that a ShortMoveDecider decides it and not a SequentialDecider.
func IsShortMove(move core.Move, maxDuration time.Duration) bool {
	return move.Request.Deadline.Sub(move.StartedAt) <= maxDuration
}

// NewShortMoveDecider returns a decider for one short move to a release.
func NewShortMoveDecider(move core.Move, to core.Release) *ShortMoveDecider {
	return &ShortMoveDecider{
		service:         move.Request.Service,
		to:              to,
		countedAtStep:   make(map[core.RouteName]shortMovePair),
		warmUpLatencies: make(map[core.RouteName]latencies),
	}
}

// ObserveEndpoints sets the current endpoints of all services. Without ready endpoints of the new release, no share grows.
func (d *ShortMoveDecider) ObserveEndpoints(_ time.Time, endpoints []core.Endpoint) {
	d.readyEndpoints = lo.CountBy(endpoints, func(e core.Endpoint) bool {
		return e.Service == d.service && e.Release == d.to && e.State == core.EndpointReady
	})
}

// ObserveLateness does nothing: no share grows before calls at the present share have been reported.
func (d *ShortMoveDecider) ObserveLateness(time.Duration) {}

// Decide returns the next step if one is due. The evidence holds the cumulative counts of this move.
func (d *ShortMoveDecider) Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool) {
	if IsFinal(move.State) {
		return core.MoveStep{}, false
	}
	counted := d.addExpected(now, d.excludeWarmUp(now, move, d.sumByRoute(evidence)))
	if d.stepSeenAt.IsZero() || d.step != move.Step {
		d.stepSeenAt, d.step, d.countedAtStep = now, move.Step, counted
	}
	if move.State == core.MoveProposed {
		return d.begin(now, move)
	}
	timeUp := !now.Before(d.timeAt(move, shortMoveDecideUntilRatio))
	text := describeShortMove(move, counted)
	if cause, found := d.worse(counted, shortMoveFalseAlarmProbability); found {
		return step(now, move, eventFail, 0, cause, text)
	}
	if cause, doubtful := d.worse(counted, shortMoveDoubtProbability); doubtful {
		if timeUp {
			return step(now, move, eventFail, 0, "in doubt at its time: "+cause, text)
		}
		return core.MoveStep{}, false
	}
	larger, due := d.grow(now, move, counted, text)
	if due && now.Before(move.Request.Deadline) && !(timeUp && move.Share < shortMoveFifthPerMille) {
		return larger, true
	}
	if timeUp {
		return step(now, move, eventTimeUp, 0, "the time was reached before enough calls showed that the new release keeps up", text)
	}
	return core.MoveStep{}, false
}

func (d *ShortMoveDecider) begin(now time.Time, move core.Move) (core.MoveStep, bool) {
	switch {
	case !now.Before(move.Request.Deadline):
		return step(now, move, eventTimeUp, 0, "no backend server of the new release was ready in time", "no evidence")
	case d.readyEndpoints == 0 || now.Before(move.StartedAt.Add(shortMoveAnnounceDelay)):
		return core.MoveStep{}, false
	}
	share := shortMoveRiskShare(move)
	return step(now, move, eventBegin, share, "", fmt.Sprintf("probing with %d per mille", share))
}

func shortMoveRiskShare(move core.Move) core.PerMille {
	if move.Request.MaxRiskShare > 0 {
		return move.Request.MaxRiskShare
	}
	return shortMoveRiskPerMille
}

// grow raises the share by time, once enough calls at the present share have been reported. A move that is late skips no share.
func (d *ShortMoveDecider) grow(now time.Time, move core.Move, counted map[core.RouteName]shortMovePair, text string) (core.MoveStep, bool) {
	until, next := shortMoveFifthUntilRatio, core.FullShare
	if move.Share < shortMoveFifthPerMille {
		until, next = shortMoveRiskUntilRatio, shortMoveFifthPerMille
	}
	if now.Before(d.timeAt(move, until)) || totalOf(d.sinceStep(counted)).new.calls < shortMoveMinCalls || d.readyEndpoints == 0 {
		return core.MoveStep{}, false
	}
	if next == core.FullShare {
		if !latencyNoninferior(counted) {
			return core.MoveStep{}, false
		}
		return step(now, move, eventFinish, next, "no fault was found", text)
	}
	return step(now, move, eventPass, next, "", text)
}

// timeAt returns the time at which the given part of the move's time has passed.
func (*ShortMoveDecider) timeAt(move core.Move, part float64) time.Time {
	total := move.Request.Deadline.Sub(move.StartedAt)
	return move.StartedAt.Add(time.Duration(float64(total) * part))
}

// sumByRoute adds up the counts of all nodes by route.
func (d *ShortMoveDecider) sumByRoute(evidence []core.EvidenceCount) map[core.RouteName]shortMovePair {
	counted := make(map[core.RouteName]shortMovePair)
	for _, c := range evidence {
		if c.Service != d.service {
			continue
		}
		pair := counted[c.Route]
		side := lo.Ternary(c.Release == d.to, &pair.new, &pair.old)
		*side = side.plus(shortMoveCount{
			calls:    c.Answered(),
			failures: c.Failures + c.Crashes,
			rejected: saturatingSub(c.Calls, c.Answered()),
			latency:  c.Latency,
		})
		counted[c.Route] = pair
	}
	return counted
}

// excludeWarmUp subtracts the latencies of the new release's warm-up.
func (d *ShortMoveDecider) excludeWarmUp(now time.Time, move core.Move, counted map[core.RouteName]shortMovePair) map[core.RouteName]shortMovePair {
	warming := move.Share < shortMoveFifthPerMille && now.Before(move.SteppedAt.Add(shortMoveWarmUpDuration))
	for route, pair := range counted {
		if warming {
			d.warmUpLatencies[route] = pair.new.latency
		}
		pair.new.latency = pair.new.latency.sub(d.warmUpLatencies[route])
		counted[route] = pair
	}
	return counted
}

// shortMoveSnapshot holds the counts at a decision.
type shortMoveSnapshot struct {
	at      time.Time
	counted map[core.RouteName]shortMovePair
}

// addExpected sets the expected counts, from those at the latest decision and the calls since then.
func (d *ShortMoveDecider) addExpected(now time.Time, counted map[core.RouteName]shortMovePair) map[core.RouteName]shortMovePair {
	for len(d.history) > 1 && now.Sub(d.history[1].at) >= shortMoveRateWindow {
		d.history = d.history[1:]
	}
	if len(d.history) > 0 {
		oldest, latest := d.history[0], d.history[len(d.history)-1]
		for route, pair := range counted {
			counted[route] = pair.withExpected(oldest.counted[route], latest.counted[route])
		}
		d.addReport(now, counted, latest)
	}
	d.history = append(d.history, shortMoveSnapshot{
		at:      now,
		counted: counted,
	})
	return counted
}

func (d *ShortMoveDecider) addReport(now time.Time, counted map[core.RouteName]shortMovePair, latest shortMoveSnapshot) {
	added := make(map[core.RouteName]latencies)
	for route, pair := range counted {
		if delta := pair.new.latency.sub(latest.counted[route].new.latency); delta.total() > 0 {
			added[route] = delta
		}
	}
	if len(added) == 0 {
		return
	}
	d.reports = append(d.reports, shortMoveReport{
		from:      latest.at,
		until:     now,
		latencies: added,
	})
	for d.reported += len(added); d.reported > maxShortMoveReported; d.reports = d.reports[1:] {
		d.reported -= len(d.reports[0].latencies)
	}
}

// worstStall returns the latencies of a route that were reported within the shortMoveStallDuration with most answers above a bucket,
// from a time on.
func (d *ShortMoveDecider) worstStall(route core.RouteName, since time.Time, bucket int) latencies {
	var worst latencies
	for first, report := range d.reports {
		if report.from.Before(since) {
			continue
		}
		var within latencies
		for _, each := range d.reports[first:] {
			if each.until.Sub(report.from) > shortMoveStallDuration {
				break
			}
			within = within.plus(each.latencies[route])
		}
		if within.above(bucket) > worst.above(bucket) {
			worst = within
		}
	}
	return worst
}

func (p shortMovePair) withExpected(oldest, latest shortMovePair) shortMovePair {
	window := p.old.sub(oldest.old)
	added := func(now, before uint64) float64 { return float64(saturatingSub(now, before)) }
	p.expectedFailures = latest.expectedFailures +
		added(p.new.calls, latest.new.calls)*weightedRate(window.failures, window.calls, p.old.failures, p.old.calls)
	p.expectedRejected = latest.expectedRejected +
		added(p.new.offered(), latest.new.offered())*weightedRate(window.rejected, window.offered(), p.old.rejected, p.old.offered())
	timed := added(p.new.latency.total(), latest.new.latency.total())
	for bucket := range p.expectedSlow {
		p.expectedSlow[bucket] = latest.expectedSlow[bucket] +
			timed*weightedRate(window.latency.above(bucket), window.calls, p.old.latency.above(bucket), p.old.calls)
	}
	return p
}

// weightedRate returns the rate in a window, smoothed by shortMoveRateWeightCalls calls at the rate of all calls.
func weightedRate(bad, calls, allBad, allCalls uint64) float64 {
	return (float64(bad) + shortMoveRateWeightCalls*rateOf(allBad, allCalls)) / (float64(calls) + shortMoveRateWeightCalls)
}

// sinceStep returns the counts since the latest step.
func (d *ShortMoveDecider) sinceStep(counted map[core.RouteName]shortMovePair) map[core.RouteName]shortMovePair {
	return lo.MapValues(counted, func(pair shortMovePair, route core.RouteName) shortMovePair {
		before := d.countedAtStep[route]
		recent := shortMovePair{
			old:              pair.old.sub(before.old),
			new:              pair.new.sub(before.new),
			expectedFailures: pair.expectedFailures - before.expectedFailures,
			expectedRejected: pair.expectedRejected - before.expectedRejected,
		}
		for bucket := range recent.expectedSlow {
			recent.expectedSlow[bucket] = pair.expectedSlow[bucket] - before.expectedSlow[bucket]
		}
		return recent
	})
}

func (c shortMoveCount) sub(before shortMoveCount) shortMoveCount {
	c.calls = saturatingSub(c.calls, before.calls)
	c.failures = saturatingSub(c.failures, before.failures)
	c.rejected = saturatingSub(c.rejected, before.rejected)
	c.latency = c.latency.sub(before.latency)
	return c
}

// offered returns the number of calls that were answered, failed or rejected.
func (c shortMoveCount) offered() uint64 { return c.calls + c.rejected }

func (l latencies) sub(before latencies) latencies {
	for i := range l {
		l[i] = saturatingSub(l[i], before[i])
	}
	return l
}

func (l latencies) plus(other latencies) latencies {
	for i := range l {
		l[i] += other[i]
	}
	return l
}

func (l latencies) above(bucket int) uint64 { return lo.Sum(l[bucket+1:]) }

func (l latencies) total() uint64 { return lo.Sum(l[:]) }

func totalOf(counted map[core.RouteName]shortMovePair) shortMovePair {
	var total shortMovePair
	for _, pair := range counted {
		total.old = total.old.plus(pair.old)
		total.new = total.new.plus(pair.new)
		total.expectedFailures += pair.expectedFailures
	}
	return total
}

func (c shortMoveCount) plus(other shortMoveCount) shortMoveCount {
	c.calls += other.calls
	c.failures += other.failures
	c.rejected += other.rejected
	c.latency = c.latency.plus(other.latency)
	return c
}

// worse returns the first route and measure in which the new release is worse, in a fixed order.
func (d *ShortMoveDecider) worse(counted map[core.RouteName]shortMovePair, alarmProbability float64) (string, bool) {
	recent := d.sinceStep(counted)
	routes := lo.Keys(counted)
	slices.Sort(routes)
	for _, route := range routes {
		if cause, found := d.routeWorse(route, time.Time{}, counted[route], counted[route].old, alarmProbability); found {
			return cause, true
		}
		if cause, found := d.routeWorse(route, d.stepSeenAt, recent[route], counted[route].old, alarmProbability); found {
			return cause, true
		}
	}
	for _, pair := range []shortMovePair{totalOf(counted), totalOf(recent)} {
		if pair.failuresWorse(alarmProbability) { // latency differs by route
			return "all routes: failures", true
		}
	}
	return "", false
}

// routeWorse compares the counts of a route since a time. A single standstill does not make the new release worse.
func (d *ShortMoveDecider) routeWorse(route core.RouteName, since time.Time, pair shortMovePair, usual shortMoveCount, alarmProbability float64) (string, bool) {
	if _, found := pair.worse(usual, latencies{}, alarmProbability); !found {
		return "", false
	}
	var stalled latencies
	if boundary, known := usual.slowBoundary(); known {
		stalled = d.worstStall(route, since, boundary)
	}
	cause, found := pair.worse(usual, stalled, alarmProbability)
	return fmt.Sprintf("route %q: %s", route, cause), found
}

// latencyNoninferior reports whether a release that is slower for shortMoveDetectedSlowRate of its calls would have had more slow
// answers or rejected calls than were counted. The test fails with few calls, or if many of the old release's answers are slow too,
// since a slow release could then go unnoticed. Routes on which the old release has fewer than windowMinCalls calls are left out.
func latencyNoninferior(counted map[core.RouteName]shortMovePair) bool {
	calls, slow, expected, compared := uint64(0), uint64(0), 0.0, false
	for _, pair := range counted {
		boundary, known := pair.old.noninferiorBoundary()
		if !known {
			continue
		}
		compared = true
		calls += pair.new.latency.total() + pair.new.rejected
		slow += pair.new.latency.above(boundary) + pair.new.rejected
		expected += pair.expectedSlow[boundary] + pair.expectedRejected
	}
	if !compared {
		return true
	}
	return calls > 0 && binomialCDF(slow, calls, expected/float64(calls)+shortMoveDetectedSlowRate) <= shortMoveMissProbability
}

// worse returns the first measure in which the new release is worse. The tests of latency leave out the answers of a standstill.
func (p shortMovePair) worse(usual shortMoveCount, stalled latencies, alarmProbability float64) (string, bool) {
	if p.failuresWorse(alarmProbability) {
		return "failures", true
	}
	boundary, known := usual.slowBoundary()
	if !known {
		return "", false
	}
	answers := p.new.latency.sub(stalled)
	timed, slow, expected := answers.total(), answers.above(boundary), p.expectedSlow[boundary]
	if exceedsRate(slow, timed, shortMoveToleratedSlowRate+expected/float64(max(timed, 1)), alarmProbability) {
		return "slow answers", true
	}
	// A release that is a little worse in both measures is bad too. Calls that fail slowly count twice for both releases.
	calls := saturatingSub(p.new.calls, stalled.total())
	if exceedsRate(min(slow+p.new.failures, calls), calls, shortMoveToleratedSlowRate+(expected+p.expectedFailures)/float64(max(calls, 1)), alarmProbability) {
		return "failures and slow answers", true
	}
	return "", false
}

func (p shortMovePair) failuresWorse(alarmProbability float64) bool {
	return exceedsRate(p.new.failures, p.new.calls, shortMoveToleratedFailureRate+p.expectedFailures/float64(max(p.new.calls, 1)), alarmProbability)
}

// slowBoundary returns the bucket above which an answer counts as slow, since nearly all answers of the old release are faster.
func (c shortMoveCount) slowBoundary() (int, bool) {
	return c.boundaryAt(slowCallsRatio)
}

// noninferiorBoundary returns the bucket above which at most shortMoveNoninferiorSlowRatio of the old release's answers are. An
// answer that takes eight times the median always counts as slow.
func (c shortMoveCount) noninferiorBoundary() (int, bool) {
	boundary, known := c.boundaryAt(shortMoveNoninferiorSlowRatio)
	return min(boundary, c.latency.upperBucket(0.5)+2), known
}

// boundaryAt returns the lowest bucket above which at most the given part of the answers is and every answer takes at least twice as
// long as the median.
func (c shortMoveCount) boundaryAt(part float64) (int, bool) {
	if c.calls < windowMinCalls {
		return 0, false
	}
	return max(c.latency.upperBucket(part), c.latency.upperBucket(0.5)+1), true
}

// upperBucket returns the lowest bucket above which at most the given part of the answers is.
func (l latencies) upperBucket(part float64) int {
	rest, most := uint64(0), part*float64(l.total())
	for i := core.LatencyBuckets - 1; i > 0; i-- {
		rest += l[i]
		if float64(rest) > most {
			return i
		}
	}
	return 0
}

// rateOf returns the part of the calls that were bad, zero if there were none.
func rateOf(bad, calls uint64) float64 {
	return float64(bad) / float64(max(calls, 1))
}

// exceedsRate reports whether at least as many bad calls have a probability below alarmProbability at the given rate (one-sided
// binomial test).
func exceedsRate(bad, calls uint64, rate, alarmProbability float64) bool {
	if bad < shortMoveMinBadCalls || rate >= 1 || float64(bad) <= rate*float64(calls) {
		return false
	}
	tail := 0.0
	for k := bad; k <= calls; k++ {
		tail += math.Exp(logBinomial(calls, k, rate))
		if tail >= alarmProbability {
			return false
		}
	}
	return true
}

// binomialCDF returns the probability that at most the given number of calls is slow at the given rate.
func binomialCDF(slow, calls uint64, rate float64) float64 {
	if rate >= 1 {
		return 0
	}
	sum := 0.0
	for k := uint64(0); k <= min(slow, calls); k++ {
		sum += math.Exp(logBinomial(calls, k, rate))
	}
	return sum
}

func logBinomial(n, k uint64, p float64) float64 {
	choose := func(x uint64) float64 { value, _ := math.Lgamma(float64(x) + 1); return value }
	return choose(n) - choose(k) - choose(n-k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p)
}

func describeShortMove(move core.Move, counted map[core.RouteName]shortMovePair) string {
	total := totalOf(counted)
	text := fmt.Sprintf("%d per mille; new release %d of %d calls failed, old ones %d of %d", move.Share,
		total.new.failures, total.new.calls, total.old.failures, total.old.calls)
	routes := lo.Keys(counted)
	slices.Sort(routes)
	for _, route := range routes {
		pair := counted[route]
		if boundary, known := pair.old.slowBoundary(); known && len(text) < maxShortMoveEvidenceBytes {
			text += fmt.Sprintf("; route %s: %d of %d took over %d ms, %d of %d before; %d and %d turned away", route,
				pair.new.latency.above(boundary), pair.new.latency.total(), 1<<boundary, pair.old.latency.above(boundary), pair.old.calls,
				pair.new.rejected, pair.old.rejected)
		}
	}
	return text
}

// maxShortMoveEvidenceBytes bounds the evidence text of a step, except for the part about its last route.
const maxShortMoveEvidenceBytes = 1024
