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

func (t *callCount) add(other callCount) {
	t.calls += other.calls
	t.bad += other.bad
}

func (t callCount) rate(minRate float64) float64 {
	return math.Max(minRate, (t.bad+minRate*rateSmoothingCalls)/(t.calls+rateSmoothingCalls))
}

// releaseCounts counts the calls of both releases over the same time.
type releaseCounts struct {
	old, new callCount
}

func (p *releaseCounts) add(other releaseCounts) {
	p.old.add(other.old)
	p.new.add(other.new)
}

// window collects calls of one data centre until there are enough of them to compare.
type window struct {
	releaseCounts
	dataCentre core.DataCentre
	since      time.Time
}

// comparison tests one measure (failures, slow calls or crashes) of the new release against the old one.
type comparison struct {
	delta, cusumDelta, minRate       float64
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

// closeWindows feeds the complete windows to the tests, or all of them if the share has changed.
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

func (c *comparison) logLikelihoodRatios(p releaseCounts) (sequential, cusum float64) {
	rate := c.total.old.rate(c.minRate)
	prior := gammaPrior{}
	if c.stableRate {
		prior = gammaPrior{
			failures: priorFailures,
			calls:    priorFailures / rate,
		}
	}
	return logLikelihoodRatio(p, (rate+c.delta)/rate, prior), logLikelihoodRatio(p, (rate+c.cusumDelta)/rate, prior)
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
func logLikelihoodRatio(p releaseCounts, factor float64, prior gammaPrior) float64 {
	if p.old.calls == 0 || p.new.calls == 0 {
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
		a := math.Log(1-burstProbability) + prior.logMarginal(p, factor)
		b := math.Log(burstProbability) + burst.logMarginal(p, factor)
		return max(a, b) + math.Log1p(math.Exp(-math.Abs(a-b)))
	}
	return p.new.bad*math.Log(factor) + logLikelihood(factor) - logLikelihood(1)
}

// logMarginal returns the log probability of the failures in a window, without the term that does not depend on r.
func (r gammaPrior) logMarginal(p releaseCounts, factor float64) float64 {
	failures := p.old.bad + p.new.bad
	before, _ := math.Lgamma(r.failures)
	after, _ := math.Lgamma(r.failures + failures)
	return r.failures*math.Log(r.calls) - before + after - (r.failures+failures)*math.Log(r.calls+p.old.calls+factor*p.new.calls)
}

// worse reports whether the new release is worse, with the open windows included as they are. The false alarm probabilities
// hold for a whole move and are divided among its tests.
func (c *comparison) worse(tests int) bool {
	sequential, cusum := c.currentLLRs()
	return sequential >= alarmThreshold(falseAlarmProbability, tests) || cusum >= alarmThreshold(cusumFalseAlarmProbability, tests)
}

// worseAtDeadline is like worse, with a lower threshold: the move has to end anyway, and only its cause is at stake.
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
		s, r := c.logLikelihoodRatios(w.releaseCounts)
		sequential += s
		cusum += r
	}
	return sequential, cusum
}

func alarmThreshold(rate float64, tests int) float64 {
	return math.Log((1 - missProbability) / rate * float64(tests))
}

// acceptanceRatio returns the log likelihood ratio of "the new release is worse by delta" to "it is as good as the old one". It takes
// the old release's rate from the same window, so that a burst that affects both releases does not count against the new one. In
// windows with few calls, the rate since the move began has more weight.
func (c *comparison) acceptanceRatio(p releaseCounts) float64 {
	rate := (p.old.bad + c.total.old.rate(c.minRate)*windowCalls) / (p.old.calls + windowCalls)
	rate = math.Min(math.Max(rate, c.minRate), 0.98-c.delta)
	worse := rate + c.delta
	good := p.new.calls - p.new.bad
	return p.new.bad*math.Log(worse/rate) + good*math.Log((1-worse)/(1-rate))
}

// accepts reports whether a log likelihood ratio accepts the new release, with the open windows included as they are.
func (c *comparison) accepts(ratio float64) bool {
	for _, w := range c.openWindows {
		ratio += c.acceptanceRatio(w.releaseCounts)
	}
	return ratio <= math.Log(missProbability/(1-falseAlarmProbability))
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

// startStep discards the evidence of the previous step.
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
