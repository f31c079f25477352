package rollout

import (
	"fmt"
	"time"

	"parsleyport/core"
)

// group holds the evidence about one route, about the routes with little traffic together, or about all routes.
type group struct {
	name     string
	failures *comparison
	slow     *comparison
	crashes  *comparison
}

// newGroup returns an empty group; stableRate is false if the set of routes in it changes over time.
func newGroup(name string, stableRate bool) *group {
	return &group{
		name:     name,
		failures: newComparison(failureRateDelta, cusumFailureRateDelta, minFailureRate, stableRate),
		slow:     newComparison(slowRateDelta, slowRateDelta, minSlowRate, false),
		crashes:  newComparison(crashRateDelta, crashRateDelta, minCrashRate, stableRate),
	}
}

func (g *group) comparisons() []*comparison {
	return []*comparison{g.failures, g.slow, g.crashes}
}

// sample holds the calls of one route that the nodes of one data centre reported since the previous decision.
type sample struct {
	failures, slow, crashes releaseCounts
}

func (g *group) add(now time.Time, dataCentre core.DataCentre, s sample, latencyUsable bool) {
	g.failures.add(now, dataCentre, s.failures)
	g.crashes.add(now, dataCentre, s.crashes)
	if latencyUsable {
		g.slow.add(now, dataCentre, s.slow)
	}
}

func (g *group) closeWindows(now time.Time) {
	for _, c := range g.comparisons() {
		c.closeWindows(now, false)
	}
}

func (g *group) startStep(now time.Time) {
	for _, c := range g.comparisons() {
		c.startStep(now)
	}
}

// passesMove reports whether the evidence since the move began accepts the new release. Latency counts only if it is usable.
func (g *group) passesMove(latencyUsable bool) bool {
	return g.failures.passes() && (g.slow.passes() || !latencyUsable)
}

// passesStep reports whether the evidence since the last step accepts the new release. Latency counts only if it is usable.
func (g *group) passesStep(latencyUsable bool) bool {
	return g.failures.passesStep() && (g.slow.passesStep() || !latencyUsable)
}

// callsToPass returns the expected number of calls that a good new release needs until the group passes.
func (g *group) callsToPass() float64 {
	return max(g.failures.callsToPass(), g.slow.callsToPass())
}

func (g *group) calls() float64 {
	return g.failures.total.old.calls + g.failures.total.new.calls
}

// verdict returns the first measure in which the new release is worse, with the counts since the last step as evidence.
func (g *group) verdict(worse func(*comparison) bool) (cause, evidence string, found bool) {
	for _, m := range []struct {
		outcome string
		c       *comparison
	}{
		{outcome: "failed", c: g.failures},
		{outcome: "slow", c: g.slow},
		{outcome: "crashed", c: g.crashes},
	} {
		if worse(m.c) {
			return fmt.Sprintf("new release worse on %s: calls %s", g.name, m.outcome), m.c.text(m.outcome), true
		}
	}
	return "", "", false
}

func (c *comparison) text(outcome string) string {
	counts := c.sinceStep
	if counts.new.calls == 0 {
		counts = c.total
	}
	return fmt.Sprintf("%s: new release %s, old release %s", outcome, counts.new.text(), counts.old.text())
}

func (c callCount) text() string {
	if c.calls == 0 {
		return "no calls"
	}
	return fmt.Sprintf("%.0f of %.0f calls (%.2f%%)", c.bad, c.calls, 100*c.bad/c.calls)
}
