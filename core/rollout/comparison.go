package rollout

import (
	"math"
	"time"

	"parsleyport/core"
)

// callCount counts calls of one release and how many of them were bad: failed, slow or crashed.
type callCount struct {
	calls, bad float64
}

func (c *callCount) add(other callCount) {
	c.calls += other.calls
	c.bad += other.bad
}

func (c callCount) rate(minRate float64) float64 {
	return math.Max(minRate, (c.bad+minRate*rateSmoothingCalls)/(c.calls+rateSmoothingCalls))
}

// releaseCounts counts the calls of both releases over the same time.
type releaseCounts struct {
	old, new callCount
}

func (r *releaseCounts) add(other releaseCounts) {
	r.old.add(other.old)
	r.new.add(other.new)
}

// window collects calls of one data centre until there are enough of them to compare.
type window struct {
	releaseCounts
	dataCentre core.DataCentre
	since      time.Time
}

// comparison tests one measure (failures, slow calls or crashes) of the new release against the old one.
type comparison struct {
	delta, cusumDelta, minRate       float64   // effect sizes of the two tests, and lower bound of the old release's rate
	stableRate                       bool      // the rate since the move began predicts the rate in a window
	sequentialLLR                    float64   // log likelihood ratio since the move began
	cusumLLR                         float64   // cumulative sum of the log likelihood ratios, kept at or above zero
	openWindows                      []*window // at most one for each data centre
	acceptanceLLR, stepAcceptanceLLR float64   // log likelihood ratios of the acceptance test, of the move and of the step
	accepted                         bool      // the acceptance test has passed once
	total, sinceStep                 releaseCounts
}

func newComparison(delta, cusumDelta, minRate float64, stableRate bool) *comparison {
	return &comparison{
		delta:      delta,
		cusumDelta: cusumDelta,
		minRate:    minRate,
		stableRate: stableRate,
	}
}

// add adds calls of one data centre to its open window.
func (c *comparison) add(now time.Time, dataCentre core.DataCentre, counts releaseCounts) {
	c.total.add(counts)
	c.sinceStep.add(counts)
	for _, w := range c.openWindows {
		if w.dataCentre == dataCentre {
			w.add(counts)
			return
		}
	}
	c.openWindows = append(c.openWindows, &window{
		releaseCounts: counts,
		dataCentre:    dataCentre,
		since:         now,
	})
}

// closeWindows adds the complete windows to the tests and, if all is set, the incomplete ones too.
func (c *comparison) closeWindows(now time.Time, all bool) {
	var open []*window
	for _, w := range c.openWindows {
		if !all && !w.complete(now) {
			open = append(open, w)
			continue
		}
		sequential, cusum := c.logLikelihoodRatios(w.releaseCounts)
		acceptance := c.acceptanceRatio(w.releaseCounts)
		c.acceptanceLLR = math.Min(c.acceptanceLLR+acceptance, maxAcceptanceLLR)
		c.stepAcceptanceLLR = math.Min(c.stepAcceptanceLLR+acceptance, maxAcceptanceLLR)
		c.sequentialLLR += sequential
		c.cusumLLR = math.Max(0, c.cusumLLR+cusum)
	}
	c.openWindows = open
}

func (w *window) complete(now time.Time) bool {
	smaller := math.Min(w.old.calls, w.new.calls)
	age := now.Sub(w.since)
	return smaller >= windowCalls || smaller >= windowMinCalls && age >= windowMinCallsAge || age >= windowMaxAge
}

func (c *comparison) logLikelihoodRatios(counts releaseCounts) (sequential, cusum float64) {
	rate := c.total.old.rate(c.minRate)
	prior := gammaPrior{}
	if c.stableRate {
		prior = gammaPrior{
			failures: priorFailures,
			calls:    priorFailures / rate,
		}
	}
	return logLikelihoodRatio(counts, (rate+c.delta)/rate, prior), logLikelihoodRatio(counts, (rate+c.cusumDelta)/rate, prior)
}

// gammaPrior is a gamma distribution of the failure rate that both releases have in a window if they are equally good. Its
// parameters are the expected failures and the calls in which they are expected.
type gammaPrior struct {
	failures, calls float64
}

// logLikelihoodRatio returns the log likelihood ratio of "the new release fails factor times as often" to "both fail equally often".
// The rate that both have in the window is a mixture: near the stable rate or, with a low probability, anything. In the first case a
// failure of the new release counts for much even if the old one has few calls. In the second the releases are only compared with
// each other, so that a burst of failures that affects both cancels out.
func logLikelihoodRatio(counts releaseCounts, factor float64, prior gammaPrior) float64 {
	if counts.old.calls == 0 || counts.new.calls == 0 {
		return 0
	}
	burst := gammaPrior{
		failures: burstPriorFailures,
		calls:    burstPriorCalls,
	}
	if prior.calls == 0 {
		prior = burst
	}
	logLikelihood := func(factor float64) float64 {
		a := math.Log(1-burstProbability) + prior.logMarginal(counts, factor)
		b := math.Log(burstProbability) + burst.logMarginal(counts, factor)
		return max(a, b) + math.Log1p(math.Exp(-math.Abs(a-b)))
	}
	return counts.new.bad*math.Log(factor) + logLikelihood(factor) - logLikelihood(1)
}

// logMarginal returns the log probability of the failures in a window under the prior. It omits the terms that depend on the counts
// only, and the power of factor, which logLikelihoodRatio adds.
func (g gammaPrior) logMarginal(counts releaseCounts, factor float64) float64 {
	failures := counts.old.bad + counts.new.bad
	before, _ := math.Lgamma(g.failures)
	after, _ := math.Lgamma(g.failures + failures)
	return g.failures*math.Log(g.calls) - before + after - (g.failures+failures)*math.Log(g.calls+counts.old.calls+factor*counts.new.calls)
}

// worse reports whether the new release is worse, with the open windows included as they are. The false alarm probabilities
// hold for a whole move and are divided among its tests.
func (c *comparison) worse(tests int) bool {
	sequential, cusum := c.currentLLRs()
	return sequential >= alarmThreshold(falseAlarmProbability, tests) || cusum >= alarmThreshold(cusumFalseAlarmProbability, tests)
}

// worseAtDeadline is like worse, but with a lower threshold. At the deadline the original weights are restored in any case, and only
// the cause depends on it.
func (c *comparison) worseAtDeadline() bool {
	sequential, cusum := c.currentLLRs()
	return max(sequential, cusum) >= alarmThreshold(deadlineFalseAlarmProbability, 1)
}

// currentLLRs returns the log likelihood ratios with the open windows included, or zero if too few calls were bad.
func (c *comparison) currentLLRs() (sequential, cusum float64) {
	if c.total.new.bad < minBadCalls {
		return 0, 0
	}
	sequential, cusum = c.sequentialLLR, c.cusumLLR
	for _, w := range c.openWindows {
		windowSequential, windowCUSUM := c.logLikelihoodRatios(w.releaseCounts)
		sequential += windowSequential
		cusum += windowCUSUM
	}
	return sequential, cusum
}

func alarmThreshold(falseAlarm float64, tests int) float64 {
	return math.Log((1 - missProbability) / falseAlarm * float64(tests))
}

// acceptanceRatio returns the log likelihood ratio of "the new release is worse by delta" to "it is as good as the old one". It takes
// the old release's rate from the same window, so that a burst that affects both releases does not count against the new one. In
// windows with few calls, the rate since the move began has more weight.
func (c *comparison) acceptanceRatio(counts releaseCounts) float64 {
	rate := (counts.old.bad + c.total.old.rate(c.minRate)*windowCalls) / (counts.old.calls + windowCalls)
	rate = math.Min(math.Max(rate, c.minRate), 0.98-c.delta)
	worse := rate + c.delta
	good := counts.new.calls - counts.new.bad
	return counts.new.bad*math.Log(worse/rate) + good*math.Log((1-worse)/(1-rate))
}

// accepts reports whether a log likelihood ratio accepts the new release, with the open windows included as they are.
func (c *comparison) accepts(llr float64) bool {
	for _, w := range c.openWindows {
		llr += c.acceptanceRatio(w.releaseCounts)
	}
	return llr <= math.Log(missProbability/(1-falseAlarmProbability))
}

// passes reports whether the acceptance test has passed since the move began. It stays passed: the CUSUM test finds later faults.
func (c *comparison) passes() bool {
	c.accepted = c.accepted || c.accepts(c.acceptanceLLR)
	return c.accepted
}

// passesStep reports whether the evidence since the last step accepts the new release.
func (c *comparison) passesStep() bool {
	return c.accepts(c.stepAcceptanceLLR)
}

// startStep closes all windows and resets the counts and the acceptance test of the step. The tests of the whole move continue.
func (c *comparison) startStep(now time.Time) {
	c.closeWindows(now, true)
	c.sinceStep = releaseCounts{}
	c.stepAcceptanceLLR = 0
}

// callsToPass returns the expected number of calls after which the test accepts a new release that is as good as the old one.
func (c *comparison) callsToPass() float64 {
	rate := c.total.old.rate(c.minRate)
	worse := math.Min(rate+c.delta, 0.99)
	drift := rate*math.Log(worse/rate) + (1-rate)*math.Log((1-worse)/(1-rate))
	return math.Log(missProbability/(1-falseAlarmProbability)) / drift
}
