package callreplay_test

import (
	"io"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/callreplay"
	"parsleyport/core/retry"
)

func readPattern(c *qt.C, name string) callreplay.Pattern {
	p, err := callreplay.ReadPattern(filepath.Join("testdata", name+".pattern"))
	c.Assert(err, qt.IsNil)
	return p
}

// shrink returns a pattern with a part of the instances and of the calls, which runs faster.
func shrink(p callreplay.Pattern, divisor int) callreplay.Pattern {
	p.Services, p.Routes = slices.Clone(p.Services), slices.Clone(p.Routes)
	for i := range p.Services {
		p.Services[i].Instances = max(p.Services[i].Instances/divisor, 1)
	}
	for i := range p.Routes {
		p.Routes[i].PerSecond /= float64(divisor)
	}
	return p
}

func waitAlways(wait time.Duration) func(retry.RefusedCall) time.Duration {
	return func(retry.RefusedCall) time.Duration { return wait }
}

func totalWorth(sums map[core.RouteName]callreplay.RouteMeasures) float64 {
	return lo.SumBy(lo.Values(sums), func(m callreplay.RouteMeasures) float64 { return m.Worth })
}

// Guards against calls that hold a slot and fail because a short call that they make gets none: under overload, a fifth of the work of
// one service was lost to refusals of another.
func TestShortCallsAreNotRefusedToTheCallsThatMakeThem(t *testing.T) {
	c := qt.New(t)
	for pattern, route := range map[string]core.RouteName{"persistent-overload": "browse", "called-service-full": "deposit"} {
		p := readPattern(c, pattern)
		rules := callreplay.ServingRules()
		with := callreplay.RunSeeds(p, rules, 1)
		rules.Limiter.ShortClassesFirst = false
		without := callreplay.RunSeeds(p, rules, 1)
		t.Logf("with %+v\nwithout %+v", with[route], without[route])
		c.Assert(without[route].WastedRuns*20 > without[route].Asked, qt.IsTrue, qt.Commentf("the load does not reproduce the failure: %+v", without[route]))
		c.Assert(with[route].WastedRuns*100 < with[route].Asked, qt.IsTrue, qt.Commentf("%+v", with[route]))
		c.Assert(totalWorth(with) > totalWorth(without), qt.IsTrue)
	}
}

// Guards against refused callers who return while the overload lasts and take the slots of those that could be served in time.
func TestCallersReturnLateFromOverload(t *testing.T) {
	c := qt.New(t)
	p := readPattern(c, "persistent-overload")
	rules := callreplay.ServingRules()
	worth := totalWorth(callreplay.RunSeeds(p, rules, 1))
	for _, wait := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond} {
		rules.RetryAfter = waitAlways(wait)
		soon := totalWorth(callreplay.RunSeeds(p, rules, 1))
		c.Assert(worth > soon, qt.IsTrue, qt.Commentf("worth %.0f, callers return after %v: %.0f", worth, wait, soon))
	}
}

// Guards against callers who wait for long although another backend server has a free slot.
func TestCallersReturnSoonAfterRejections(t *testing.T) {
	c := qt.New(t)
	p := shrink(readPattern(c, "rejecting-backend-servers"), 6)
	p.Seconds = 9
	rules := callreplay.ServingRules()
	worth := totalWorth(callreplay.RunSeeds(p, rules, 1))
	rules.RetryAfter = waitAlways(time.Second)
	late := totalWorth(callreplay.RunSeeds(p, rules, 1))
	c.Assert(worth > late, qt.IsTrue, qt.Commentf("worth %.0f, callers return after 1 s: %.0f", worth, late))
}

// Guards against calls that queue at endpoints while others have free slots: with unequal speeds, stalls, demand that swings and a
// burst of one tenant, placement by learned cost must answer more callers in time than PolicyExpected.
func TestPlacementByCostAnswersMoreCallersInTime(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"unequal-speeds", "stalls", "swinging-demand", "tenant-burst"} {
		p := readPattern(c, name)
		perMille := func(rules callreplay.FleetOptions) float64 {
			onTime, asked := 0, 0
			for _, m := range callreplay.RunSeeds(p, rules, 1) {
				onTime += m.OnTime
				asked += m.Asked
			}
			return float64(onTime) / float64(asked) * 1000
		}
		rules := callreplay.ServingRules()
		expected := perMille(rules)
		rules.Policy, rules.Limiter.LearnCosts = balancer.PolicyLeastCompletion, true
		placed := perMille(rules)
		t.Logf("%s: %.0f per mille in time by expected response times, %.0f by cost", name, expected, placed)
		c.Assert(placed > expected+8, qt.IsTrue)
	}
}

// Guards against a burst of one tenant that delays the calls of the others.
func TestBurstOfOneTenantIsItsOwn(t *testing.T) {
	c := qt.New(t)
	p := readPattern(c, "tenant-burst")
	calm := p
	calm.Events = slices.Clone(p.Events)
	calm.Events[0].Value = 1
	rules := callreplay.ServingRules()
	rules.Policy, rules.Limiter.LearnCosts = balancer.PolicyLeastCompletion, true
	perMille := func(p callreplay.Pattern) int {
		onTime, asked := 0, 0
		for _, m := range callreplay.RunSeeds(p, rules, 1) {
			onTime += m.OthersOnTime
			asked += m.OthersAsked
		}
		return onTime * 1000 / asked
	}
	without, with := perMille(calm), perMille(p)
	t.Logf("calls of the other tenants in time: %d per mille without the burst, %d with it", without, with)
	c.Assert(with >= without-25, qt.IsTrue)
}

// Guards against refused callers who all stay away for a fixed part of their time although slots are free earlier.
func TestCallersReturnByTheForecast(t *testing.T) {
	c := qt.New(t)
	p := readPattern(c, "persistent-overload")
	rules := callreplay.ServingRules()
	rules.Policy, rules.Limiter.LearnCosts = balancer.PolicyLeastCompletion, true
	byForecast := totalWorth(callreplay.RunSeeds(p, rules, 3))
	rules.RetryAfter = func(refused retry.RefusedCall) time.Duration {
		refused.FreeIn = 0
		return retry.After(refused)
	}
	fixed := totalWorth(callreplay.RunSeeds(p, rules, 3))
	t.Logf("worth %.0f by the forecast, %.0f after a third of the remaining time", byForecast, fixed)
	c.Assert(byForecast > fixed, qt.IsTrue)
}

// Guards against measures that differ between two runs with the same seed, and against requests that are counted twice or not at all.
func TestPatternsRepeatAndAddUp(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.pattern")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 11)
	for _, file := range files {
		p, err := callreplay.ReadPattern(file)
		c.Assert(err, qt.IsNil)
		if p.Services[0].Instances > 30 {
			p = shrink(p, 6)
		}
		p.Seconds = min(p.Seconds, 5)
		first := callreplay.RunPattern(p, callreplay.ServingRules())
		c.Assert(callreplay.RunPattern(p, callreplay.ServingRules()), qt.DeepEquals, first)
		asked, onTime := 0, 0
		for _, m := range first {
			c.Assert(m.OnTime+m.Late+m.Refused+m.Failed, qt.Equals, m.Asked, qt.Commentf("%s: %+v", file, m))
			if route, _ := lo.Find(p.Routes, func(r callreplay.PatternRoute) bool { return r.Name == m.Route }); route.PerSecond > 0 {
				asked += m.Asked
				onTime += m.OnTime
			}
		}
		c.Assert(onTime*1000 <= (p.BoundPerMille()+20)*asked, qt.IsTrue, qt.Commentf("%s: %d of %d in time, bound %d per mille", file, onTime, asked, p.BoundPerMille()))
	}
}

// Guards against a pattern file that is run although it makes no sense.
func TestPatternsAreChecked(t *testing.T) {
	c := qt.New(t)
	p := readPattern(c, "burst")
	c.Assert(callreplay.RunPatternFile(filepath.Join("testdata", "missing.pattern"), io.Discard), qt.ErrorMatches, ".*missing.pattern.*")
	for want, change := range map[string]func(*callreplay.Pattern){
		`seconds is 0.*`:                        func(p *callreplay.Pattern) { p.Seconds = 0 },
		`service "records" has 0 instances.*`:   func(p *callreplay.Pattern) { p.Services[0].Instances = 0 },
		`route "fetch" refers to service "x".*`: func(p *callreplay.Pattern) { p.Routes[1].Service = "x" },
		`route "fetch": work-ms.*`:              func(p *callreplay.Pattern) { p.Routes[1].WorkMS = 0 },
		`event refers to tenant 3 of 2`: func(p *callreplay.Pattern) {
			p.Tenants, p.Events[0].Kind, p.Events[0].Tenant = 2, callreplay.PatternTenantBurst, 3
		},
		`event kind is "storm".*`:                       func(p *callreplay.Pattern) { p.Events[0].Kind = "storm" },
		`route "fetch" calls "certify", which is not.*`: func(p *callreplay.Pattern) { p.Routes[1].Calls[0].Route = "certify" },
	} {
		changed := p
		changed.Services, changed.Events, changed.Routes = slices.Clone(p.Services), slices.Clone(p.Events), slices.Clone(p.Routes)
		changed.Routes[1].Calls = slices.Clone(p.Routes[1].Calls)
		change(&changed)
		c.Assert(changed.Check(), qt.ErrorMatches, want)
	}
}
