package replay_test

import (
	"flag"
	"fmt"
	"testing"

	"parsleyport/core/replay"
)

var seeds = flag.String("seeds", "", "print the scores of generated traces, as FIRST-LAST")

// Prints the scores of generated traces; used to tune on one range of seeds and to judge on another one.
func TestSeeds(t *testing.T) {
	var first, last uint64
	if n, _ := fmt.Sscanf(*seeds, "%d-%d", &first, &last); n != 2 {
		t.Skip("needs -seeds=FIRST-LAST")
	}
	type key struct {
		rule     replay.RuleName
		scenario replay.Scenario
	}
	type job struct {
		key
		trace    *replay.Trace
		measures *replay.Measures
	}
	var jobs []*job
	for _, rule := range replay.RuleNames {
		for _, scenario := range replay.Scenarios {
			for _, user := range replay.Users {
				for seed := first; seed <= last; seed++ {
					jobs = append(jobs, &job{key: key{rule, scenario}, trace: replay.Generate(seed, user, scenario)})
				}
			}
		}
	}
	t.Run("all", func(t *testing.T) {
		for worker := range 4 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for i := worker; i < len(jobs); i += 4 {
					m, err := replay.Replay(jobs[i].trace, jobs[i].rule)
					if err != nil {
						t.Error(jobs[i].trace.Name, err)
						return
					}
					jobs[i].measures = m
				}
			})
		}
	})
	scores := make(map[key]*replay.Score)
	for _, j := range jobs {
		for _, k := range []key{j.key, {rule: j.rule}} {
			if scores[k] == nil {
				scores[k] = &replay.Score{}
			}
			scores[k].Add(j.trace, j.measures)
		}
		if j.rule == replay.RuleSequential && (!j.measures.Matches(j.trace.Outcome) || j.trace.Outcome.Bad && j.measures.BadShare() >= 0.02) {
			fmt.Printf("%-36s %-10s bad %.2f%% %s | %s\n", j.trace.Name, j.measures.Move.State, 100*j.measures.BadShare(), j.measures.Move.Cause, j.measures.Move.Evidence)
		}
	}
	for _, scenario := range append(replay.Scenarios, "") {
		for _, rule := range replay.RuleNames {
			if rule == replay.RuleSequential || scenario == "" {
				fmt.Printf("%-22s %-16s %s\n", scenario, rule, scores[key{rule, scenario}])
			}
		}
	}
}
