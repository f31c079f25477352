package rollout

import (
	"math"
	"time"

	"parsleyport/core"
)

// tally counts calls of one release and those among them that failed, were slow or crashed.
type tally struct {
	calls, bad float64
}

func (t *tally) add(other tally) {
	t.calls += other.calls
	t.bad += other.bad
}

func (t tally) rate(floor float64) float64 {
	return math.Max(floor, (t.bad+floor*rateWeight)/(t.calls+rateWeight))
}

// pair counts both releases over the same time.
type pair struct {
	before, after tally // the old and the new release
}

func (p *pair) add(other pair) {
	p.before.add(other.before)
	p.after.add(other.after)
}

// window is the open window of one data centre.
type window struct {
	pair
	dataCentre core.DataCentre
	since      time.Time
}

// comparison tests one measure (failures, slow calls, crashes) of the new release against the old one.
type comparison struct {
	delta, restartDelta, floor float64
	steady                     bool      // the usual rate tells something about the rate in a window
	sequential                 float64   // log likelihood ratio since the move began
	restarting                 float64   // the same, restarted at zero
	open                       []*window // at most one of each data centre
	accepting, acceptingStage  float64   // log likelihood ratios of the accepting test
	judged                     bool      // the accepting test has passed once
	total, stage               pair
}

func newComparison(delta, restart, floor float64, steady bool) *comparison {
	return &comparison{
		delta:        delta,
		restartDelta: restart,
		floor:        floor,
		steady:       steady,
	}
}

// add counts differences of one data centre.
func (c *comparison) add(now time.Time, dataCentre core.DataCentre, p pair) {
	c.total.add(p)
	c.stage.add(p)
	for _, w := range c.open {
		if w.dataCentre == dataCentre {
			w.add(p)
			return
		}
	}
	c.open = append(c.open, &window{
		pair:       p,
		dataCentre: dataCentre,
		since:      now,
	})
}

// closeWindows adds the windows that are complete to the tests; all of them if the share has changed.
func (c *comparison) closeWindows(now time.Time, all bool) {
	var open []*window
	for _, w := range c.open {
		if !all && !w.complete(now) {
			open = append(open, w)
			continue
		}
		sequential, restarting := c.ratios(w.pair)
		accepting := c.acceptRatio(w.pair)
		c.accepting = math.Min(c.accepting+accepting, acceptCeiling)
		c.acceptingStage = math.Min(c.acceptingStage+accepting, acceptCeiling)
		c.sequential += sequential
		c.restarting = math.Max(0, c.restarting+restarting)
	}
	c.open = open
}

func (w *window) complete(now time.Time) bool {
	smaller := math.Min(w.before.calls, w.after.calls)
	age := now.Sub(w.since)
	return smaller >= windowCalls || smaller >= windowMinCalls && age >= windowAge || age >= windowMaxAge
}

func (c *comparison) ratios(p pair) (sequential, restarting float64) {
	rate := c.total.before.rate(c.floor)
	usual := rates{}
	if c.steady {
		usual = rates{
			failures: steadyFailures,
			calls:    steadyFailures / rate,
		}
	}
	return logRatio(p, (rate+c.delta)/rate, usual), logRatio(p, (rate+c.restartDelta)/rate, usual)
}

// rates is a gamma distribution of the failure rate that both releases have in a window if they are alike: failures
// that are expected and the calls that they are expected in.
type rates struct {
	failures, calls float64
}

// logRatio is the log likelihood ratio of "the new release fails factor times as often" to "both fail alike". The rate
// that both have in the window is near the steady one, or, seldom, anything. In the first case a failure of the new
// release weighs much even while the old one has few calls; in the second the two are compared with each other only,
// so that a burst which meets both cancels out.
func logRatio(p pair, factor float64, usual rates) float64 {
	if p.before.calls == 0 || p.after.calls == 0 {
		return 0
	}
	burst := rates{
		failures: burstFailures,
		calls:    burstCalls,
	}
	if usual.calls == 0 {
		usual = burst
	}
	logLikelihood := func(factor float64) float64 {
		a := math.Log(1-burstProbability) + usual.logMarginal(p, factor)
		b := math.Log(burstProbability) + burst.logMarginal(p, factor)
		return max(a, b) + math.Log1p(math.Exp(-math.Abs(a-b)))
	}
	return p.after.bad*math.Log(factor) + logLikelihood(factor) - logLikelihood(1)
}

// logMarginal is the log probability of the failures in a window, but for a term that does not depend on r.
func (r rates) logMarginal(p pair, factor float64) float64 {
	failures := p.before.bad + p.after.bad
	before, _ := math.Lgamma(r.failures)
	after, _ := math.Lgamma(r.failures + failures)
	return r.failures*math.Log(r.calls) - before + after - (r.failures+failures)*math.Log(r.calls+p.before.calls+factor*p.after.calls)
}

// worse reports whether the new release is worse, with the open windows counted as they stand. The false alarm rates
// are those of a whole move and are divided among its tests.
func (c *comparison) worse(tests int) bool {
	sequential, restarting := c.current()
	return sequential >= alarm(falseAlarm, tests) || restarting >= alarm(restartAlarm, tests)
}

// worseAtDeadline is worse for a move that cannot be done anymore: it names the more likely reason.
func (c *comparison) worseAtDeadline() bool {
	sequential, restarting := c.current()
	return max(sequential, restarting) >= alarm(deadlineAlarm, 1)
}

// current returns the tests with the open windows as they stand, or zero for too few failures.
func (c *comparison) current() (sequential, restarting float64) {
	if c.total.after.bad < minFailures {
		return 0, 0
	}
	sequential, restarting = c.sequential, c.restarting
	for _, w := range c.open {
		s, r := c.ratios(w.pair)
		sequential += s
		restarting += r
	}
	return sequential, restarting
}

func alarm(rate float64, tests int) float64 {
	return math.Log((1 - miss) / rate * float64(tests))
}

// acceptRatio is the log likelihood ratio of "the new release is worse by delta" to "it is as good as the old one". It
// takes the old release's rate from the same window, so that a burst that meets both releases does not count against
// the new one, and leans on the rate of the whole move where the window has few calls.
func (c *comparison) acceptRatio(p pair) float64 {
	rate := (p.before.bad + c.total.before.rate(c.floor)*windowCalls) / (p.before.calls + windowCalls)
	rate = math.Min(math.Max(rate, c.floor), 0.98-c.delta)
	worse := rate + c.delta
	good := p.after.calls - p.after.bad
	return p.after.bad*math.Log(worse/rate) + good*math.Log((1-worse)/(1-rate))
}

// accepts reports whether a ratio, with the open windows as they stand, accepts the new release.
func (c *comparison) accepts(ratio float64) bool {
	for _, w := range c.open {
		ratio += c.acceptRatio(w.pair)
	}
	return ratio <= math.Log(miss/(1-falseAlarm))
}

// passes reports whether the accepting test has passed within the move; what comes later is for the restarting test.
func (c *comparison) passes() bool {
	c.judged = c.judged || c.accepts(c.accepting)
	return c.judged
}

// passesStage reports whether the evidence since the last step accepts the new release.
func (c *comparison) passesStage() bool {
	return c.accepts(c.acceptingStage)
}

// clearStage begins the evidence of a step.
func (c *comparison) clearStage(now time.Time) {
	c.closeWindows(now, true)
	c.stage = pair{}
	c.acceptingStage = 0
}

// callsToPass is the expected number of calls after which the test passes a new release that is as good as the old one.
func (c *comparison) callsToPass() float64 {
	rate := c.total.before.rate(c.floor)
	worse := math.Min(rate+c.delta, 0.99)
	drift := rate*math.Log(worse/rate) + (1-rate)*math.Log((1-worse)/(1-rate))
	return math.Log(miss/(1-falseAlarm)) / drift
}
