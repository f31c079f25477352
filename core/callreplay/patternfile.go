package callreplay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/limiter"
	"parsleyport/core/retry"
)

// patternSeeds is the number of runs of a pattern whose measures are added up.
const patternSeeds = 3

// ServingRules returns the rules by which nodes serve a fleet that shares a retry budget.
func ServingRules() FleetOptions {
	return FleetOptions{
		Limiter: limiter.Options{
			TrustSlots:        true,
			SoftDeadlineFirst: true,
			ShortClassesFirst: true,
		},
		FreeCapacityRetries: 2,
		Budget: retry.BudgetOptions{
			Window:        10 * time.Second,
			Ratio:         0.14,
			SharedRetries: 43,
		},
	}
}

// patternVariant is a set of rules with a name.
type patternVariant struct {
	name  string
	rules FleetOptions
}

// patternVariants returns the serving rules and what is compared with them, each without one of the rules.
func patternVariants() []patternVariant {
	withoutShort, soon, inOrder, learned := ServingRules(), ServingRules(), ServingRules(), ServingRules()
	learned.Limiter.LearnCosts = true
	placed := learned
	placed.Policy = balancer.PolicyLeastCompletion
	withoutShort.Limiter.ShortClassesFirst = false
	soon.RetryAfter = func(retry.RefusedCall) time.Duration { return 250 * time.Millisecond }
	inOrder.Limiter = limiter.Options{
		TrustSlots: true,
	}
	return []patternVariant{
		{name: "serving rules", rules: ServingRules()},
		{name: "costs learned", rules: learned},
		{name: "placed by cost", rules: placed},
		{name: "short classes not first", rules: withoutShort},
		{name: "callers return after 250 ms", rules: soon},
		{name: "in order of deadlines", rules: inOrder},
	}
}

// RunSeeds adds up the measures of runs of a pattern with several seeds.
func RunSeeds(p Pattern, options FleetOptions, seeds int) map[core.RouteName]RouteMeasures {
	sums := make(map[core.RouteName]RouteMeasures)
	for seed := range seeds {
		options.Seed = uint64(seed)
		for _, m := range RunPattern(p, options) {
			sums[m.Route] = sums[m.Route].add(m)
		}
	}
	return sums
}

func (m RouteMeasures) add(other RouteMeasures) RouteMeasures {
	return RouteMeasures{
		Route:          other.Route,
		Asked:          m.Asked + other.Asked,
		OnTime:         m.OnTime + other.OnTime,
		Late:           m.Late + other.Late,
		Refused:        m.Refused + other.Refused,
		Failed:         m.Failed + other.Failed,
		ReturnedInVain: m.ReturnedInVain + other.ReturnedInVain,
		WastedRuns:     m.WastedRuns + other.WastedRuns,
		Worth:          m.Worth + other.Worth,
		OthersAsked:    m.OthersAsked + other.OthersAsked,
		OthersOnTime:   m.OthersOnTime + other.OthersOnTime,
		CrossedKB:      m.CrossedKB + other.CrossedKB,
		SlotSeconds:    m.SlotSeconds + other.SlotSeconds,
	}
}

// RunPatternFile runs a pattern file with the serving rules and without each of them, and prints what callers got.
func RunPatternFile(path string, out io.Writer) error {
	p, err := ReadPattern(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: at most %d per mille of all requests can be answered in time\n", p.Name, p.BoundPerMille())
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "RULES\tROUTE\tASKED\tWORTH PER MILLE\tIN TIME\tLATE\tREFUSED\tFAILED\tRETURNED IN VAIN\tWASTED RUNS\tSLOT SECONDS\tIN TIME OF OTHER TENANTS\tCROSSED MB")
	for _, variant := range patternVariants() {
		sums := RunSeeds(p, variant.rules, patternSeeds)
		for _, route := range p.Routes {
			m := sums[route.Name]
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d/%d\t%.1f\n", variant.name, m.Route, m.Asked, m.WorthPerMille(), m.OnTime, m.Late,
				m.Refused, m.Failed, m.ReturnedInVain, m.WastedRuns, m.SlotSeconds, m.OthersOnTime, m.OthersAsked, m.CrossedKB/1024)
		}
	}
	return errors.Trace(table.Flush())
}
