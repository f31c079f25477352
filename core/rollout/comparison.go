package rollout

import (
	"math"
	"time"

	"parsleyport/core"
)

// tally counts calls of one release and those among them that failed, were slow or crashed.
type callCount struct {
	calls, bad float64
}

func (t *callCount) add(other callCount) {
	t.calls += other.calls
	t.bad += other.bad
}

func (t callCount) rate(floor float64) float64 {
	return math.Max(floor, (t.bad+floor*minRateWeightCalls)/(t.calls+minRateWeightCalls))
}

// pair counts both releases over the same time.
type releaseCounts struct {
	old, new callCount // the old and the new release
}

func (p *releaseCounts) add(other releaseCounts) {
	p.old.add(other.old)
	p.new.add(other.new)
}

// window is the open window of one data centre.
type window struct {
	releaseCounts
	dataCentre core.DataCentre
	since      time.Time
}

// comparison tests one measure (failures, slow calls, crashes) of the new release against the old one.
type comparison struct {
	delta, cusumDelta, minRate       float64
	stableRate                       bool      // the usual rate tells something about the rate in a window
	sequentialLLR                    float64   // log likelihood ratio since the move began
	cusumLLR                         float64   // the same, restarted at zero
	openWindows                      []*window // at most one of each data centre
	acceptanceLLR, stepAcceptanceLLR float64   // log likelihood ratios of the accepting test
	accepted                         bool      // the accepting test has passed once
	total, sinceStep                 releaseCounts
}

func newComparison(delta, restart, floor float64, steady bool) *comparison {
	return &comparison{
		delta:      delta,
		cusumDelta: restart,
		minRate:    floor,
		stableRate: steady,
	}
}

// add counts differences of one data centre.
func (c *comparison) add(now time.Time, dataCentre core.DataCentre, p releaseCounts) {
	c.total.add(p)
	c.sinceStep.add(p)
	for _, w := range c.openWindows {
		if w.dataCentre == dataCentre {
			w.add(p)
			return
		}
	}
	c.openWindows = append(c.openWindows, &window{
		releaseCounts: p,
		dataCentre:    dataCentre,
		since:         now,
	})
}

// closeWindows adds the windows that are complete to the tests; all of them if the share has changed.
func (c *comparison) closeWindows(now time.Time, all bool) {
	var open []*window
	for _, w := range c.openWindows {
		if !all && !w.complete(now) {
			open = append(open, w)
			continue
		}
		sequential, restarting := c.logLikelihoodRatios(w.releaseCounts)
		accepting := c.acceptanceRatio(w.releaseCounts)
		c.acceptanceLLR = math.Min(c.acceptanceLLR+accepting, maxAcceptanceLLR)
		c.stepAcceptanceLLR = math.Min(c.stepAcceptanceLLR+accepting, maxAcceptanceLLR)
		c.sequentialLLR += sequential
		c.cusumLLR = math.Max(0, c.cusumLLR+restarting)
	}
	c.openWindows = open
}

func (w *window) complete(now time.Time) bool {
	smaller := math.Min(w.old.calls, w.new.calls)
	age := now.Sub(w.since)
	return smaller >= windowCalls || smaller >= windowMinCalls && age >= windowMinCallsAge || age >= windowMaxAge
}

func (c *comparison) logLikelihoodRatios(p releaseCounts) (sequential, restarting float64) {
	rate := c.total.old.rate(c.minRate)
	usual := gammaPrior{}
	if c.stableRate {
		usual = gammaPrior{
			failures: priorFailures,
			calls:    priorFailures / rate,
		}
	}
	return logLikelihoodRatio(p, (rate+c.delta)/rate, usual), logLikelihoodRatio(p, (rate+c.cusumDelta)/rate, usual)
}

// rates is a gamma distribution of the failure rate that both releases have in a window if they are alike: failures
// that are expected and the calls that they are expected in.
type gammaPrior struct {
	failures, calls float64
}

// logLikelihoodRatio is the log likelihood ratio of "the new release fails factor times as often" to "both fail alike". The rate
// that both have in the window is near the steady one, or, seldom, anything. In the first case a failure of the new
// release weighs much even while the old one has few calls; in the second the two are compared with each other only,
// so that a burst which meets both cancels out.
func logLikelihoodRatio(p releaseCounts, factor float64, usual gammaPrior) float64 {
	if p.old.calls == 0 || p.new.calls == 0 {
		return 0
	}
	burst := gammaPrior{
		failures: burstPriorFailures,
		calls:    burstPriorCalls,
	}
	if usual.calls == 0 {
		usual = burst
	}
	logLikelihood := func(factor float64) float64 {
		a := math.Log(1-burstProbability) + usual.logMarginal(p, factor)
		b := math.Log(burstProbability) + burst.logMarginal(p, factor)
		return max(a, b) + math.Log1p(math.Exp(-math.Abs(a-b)))
	}
	return p.new.bad*math.Log(factor) + logLikelihood(factor) - logLikelihood(1)
}

// logMarginal is the log probability of the failures in a window, but for a term that does not depend on r.
func (r gammaPrior) logMarginal(p releaseCounts, factor float64) float64 {
	failures := p.old.bad + p.new.bad
	before, _ := math.Lgamma(r.failures)
	after, _ := math.Lgamma(r.failures + failures)
	return r.failures*math.Log(r.calls) - before + after - (r.failures+failures)*math.Log(r.calls+p.old.calls+factor*p.new.calls)
}

// worse reports whether the new release is worse, with the open windows counted as they stand. The false alarm rates
// are those of a whole move and are divided among its tests.
func (c *comparison) worse(tests int) bool {
	sequential, restarting := c.currentLLRs()
	return sequential >= alarmThreshold(falseAlarmProbability, tests) || restarting >= alarmThreshold(cusumFalseAlarmProbability, tests)
}

// worseAtDeadline is worse for a move that cannot be done anymore: it names the more likely reason.
func (c *comparison) worseAtDeadline() bool {
	sequential, restarting := c.currentLLRs()
	return max(sequential, restarting) >= alarmThreshold(deadlineFalseAlarmProbability, 1)
}

// current returns the tests with the open windows as they stand, or zero for too few failures.
func (c *comparison) currentLLRs() (sequential, restarting float64) {
	if c.total.new.bad < minBadCalls {
		return 0, 0
	}
	sequential, restarting = c.sequentialLLR, c.cusumLLR
	for _, w := range c.openWindows {
		s, r := c.logLikelihoodRatios(w.releaseCounts)
		sequential += s
		restarting += r
	}
	return sequential, restarting
}

func alarmThreshold(rate float64, tests int) float64 {
	return math.Log((1 - missProbability) / rate * float64(tests))
}

// acceptanceRatio is the log likelihood ratio of "the new release is worse by delta" to "it is as good as the old one". It
// takes the old release's rate from the same window, so that a burst that meets both releases does not count against
// the new one, and leans on the rate of the whole move where the window has few calls.
func (c *comparison) acceptanceRatio(p releaseCounts) float64 {
	rate := (p.old.bad + c.total.old.rate(c.minRate)*windowCalls) / (p.old.calls + windowCalls)
	rate = math.Min(math.Max(rate, c.minRate), 0.98-c.delta)
	worse := rate + c.delta
	good := p.new.calls - p.new.bad
	return p.new.bad*math.Log(worse/rate) + good*math.Log((1-worse)/(1-rate))
}

// accepts reports whether a ratio, with the open windows as they stand, accepts the new release.
func (c *comparison) accepts(ratio float64) bool {
	for _, w := range c.openWindows {
		ratio += c.acceptanceRatio(w.releaseCounts)
	}
	return ratio <= math.Log(missProbability/(1-falseAlarmProbability))
}

// passes reports whether the accepting test has passed within the move; what comes later is for the restarting test.
func (c *comparison) passes() bool {
	c.accepted = c.accepted || c.accepts(c.acceptanceLLR)
	return c.accepted
}

// passesStep reports whether the evidence since the last step accepts the new release.
func (c *comparison) passesStep() bool {
	return c.accepts(c.stepAcceptanceLLR)
}

// startStep begins the evidence of a step.
func (c *comparison) startStep(now time.Time) {
	c.closeWindows(now, true)
	c.sinceStep = releaseCounts{}
	c.stepAcceptanceLLR = 0
}

// callsToPass is the expected number of calls after which the test passes a new release that is as good as the old one.
func (c *comparison) callsToPass() float64 {
	rate := c.total.old.rate(c.minRate)
	worse := math.Min(rate+c.delta, 0.99)
	drift := rate*math.Log(worse/rate) + (1-rate)*math.Log((1-worse)/(1-rate))
	return math.Log(missProbability/(1-falseAlarmProbability)) / drift
}
