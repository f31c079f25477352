package replay_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/replay"
)

var (
	writeTraces = flag.Bool("write-traces", false, "write testdata/*.trace from the generator")
	seeds       = flag.String("seeds", "", "print the scores of generated traces, as FIRST-LAST")
)

// storedTraces generates the traces in testdata: each scenario for the deployments in turn, and the hardest ones for both.
func storedTraces() []*replay.Trace {
	var traces []*replay.Trace
	for i, scenario := range replay.Scenarios {
		for d, deployment := range replay.Deployments {
			hard := slices.Contains([]replay.Scenario{"bad-load-only", "bad-one-route", "bad-flaky", "bad-crash", "bad-late-flaky", "good-shared-slow"}, scenario)
			if hard || d == i%len(replay.Deployments) {
				traces = append(traces, replay.Generate(101, deployment, scenario))
			}
		}
	}
	// Traces that an earlier version of the sequential test decided wrongly.
	return append(traces,
		replay.Generate(2, replay.DeploymentPamoja, "good-shared-failures"),       // expired: a burst blocked the acceptance test
		replay.Generate(3, replay.DeploymentVavlaget, "good-shared-failures"),     // the same
		replay.Generate(3, replay.DeploymentPamoja, "good-shared-slow"),           // the same with slow calls
		replay.Generate(3, replay.DeploymentPamoja, "good-leader-loss"),           // expired: the earlier verdict was lost
		replay.Generate(2, replay.DeploymentPamoja, "good-leader-loss"),           // taken back for 3 slow calls
		replay.Generate(1, replay.DeploymentPamoja, "good-crash-both"),            // taken back for cold backend servers
		replay.Generate(8, replay.DeploymentVavlaget, "good-crash-both"),          // expired: slow start held the last step
		replay.Generate(5, replay.DeploymentPamoja, "bad-flaky"),                  // expired instead of taken back
		replay.Generate(1, replay.DeploymentPamoja, "bad-late-flaky"),             // found too late at a large share
		replay.Generate(1, replay.DeploymentPamoja, "bad-crash"),                  // found too late
		replay.Generate(108, replay.DeploymentVavlaget, "good-rushed"),            // expired: slow start used up the time
		replay.Generate(112, replay.DeploymentPamoja, "good-rushed"),              // the same
		replay.Generate(305, replay.DeploymentPamoja, "good-shared-failures"),     // taken back without the burst prior
		replay.Generate(330, replay.DeploymentVavlaget, "good-shared-failures"),   // the same
		replay.Generate(332, replay.DeploymentVavlaget, "good-failing-as-before"), // expired without the upper bound in the acceptance test
		replay.Generate(209, replay.DeploymentPamoja, "good-risk-limit"),          // the same
		replay.Generate(217, replay.DeploymentVavlaget, "good-restarts"),          // expired if a passed acceptance test can be undone
		replay.Generate(111, replay.DeploymentVavlaget, "good-leader-loss"),       // expired: no verdict in the time after the loss
		replay.Generate(124, replay.DeploymentPamoja, "good-leader-loss"),         // the same
	)
}

// Guards against a change of the decision rules that misses the targets of design 1.5 in a stored trace: by a wrong outcome, a late
// end, or too many calls to a bad release.
func TestStoredTraces(t *testing.T) {
	if *writeTraces {
		for _, trace := range storedTraces() {
			var out bytes.Buffer
			qt.Assert(t, trace.Write(&out), qt.IsNil)
			qt.Assert(t, os.WriteFile(filepath.Join("testdata", trace.Name+".trace"), out.Bytes(), 0o600), qt.IsNil)
		}
	}
	files, err := filepath.Glob("testdata/*.trace")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 24, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			trace, err := replay.Load(file)
			c.Assert(err, qt.IsNil)
			m, err := replay.Replay(trace, replay.RuleSequential)
			c.Assert(err, qt.IsNil)
			c.Assert(m.Matches(trace.Outcome), qt.IsTrue, qt.Commentf("%+v", m.Move))
			c.Assert(m.Move.SteppedAt.After(m.Move.Request.Deadline), qt.IsFalse)
			if trace.Outcome.Bad {
				c.Assert(m.CallsAfterFaultRatio() < 0.02, qt.IsTrue, qt.Commentf("%d of %d calls", m.CallsAfterFault, m.Calls))
			}
			for _, step := range m.Steps {
				c.Assert(step.Evidence, qt.Not(qt.Equals), "", qt.Commentf("step %d", step.Step))
			}
		})
	}
}

// Guards against a replay that depends on map order or the time of day, and against a trace that changes when it is stored.
func TestReplayIsDeterministic(t *testing.T) {
	c := qt.New(t)
	trace := replay.Generate(3, replay.DeploymentPamoja, "bad-leader-loss")
	var out bytes.Buffer
	c.Assert(trace.Write(&out), qt.IsNil)
	stored, err := replay.Parse(out.Bytes())
	c.Assert(err, qt.IsNil)
	c.Assert(stored, qt.DeepEquals, trace)
	for _, rule := range replay.RuleNames {
		first, err := replay.Replay(trace, rule)
		c.Assert(err, qt.IsNil)
		second, err := replay.Replay(stored, rule)
		c.Assert(err, qt.IsNil)
		c.Assert(second, qt.DeepEquals, first)
	}
}

// Guards against an outcome that differs from the stated one without an error that a script would notice.
func TestRunReportsMeasuresAndADifferentOutcome(t *testing.T) {
	c := qt.New(t)
	trace := replay.Generate(3, replay.DeploymentVavlaget, "bad-at-once")
	file := filepath.Join(c.TempDir(), "a.trace")
	write := func() {
		var out bytes.Buffer
		c.Assert(trace.Write(&out), qt.IsNil)
		c.Assert(os.WriteFile(file, out.Bytes(), 0o600), qt.IsNil)
	}
	write()
	var report bytes.Buffer
	c.Assert(replay.Run(file, &report), qt.IsNil)
	c.Assert(report.String(), qt.Matches, `(?s).*fixed-schedule +done +NOT AS STATED.*sequential-test +taken-back as stated.*taken back \d+ s after.*new release worse.*`)
	trace.Outcome.State = core.MoveDone
	write()
	c.Assert(errors.Is(replay.Run(file, &report), replay.ErrOutcome), qt.IsTrue)
}

// Guards against a malformed trace that is replayed in part or takes unbounded time.
func TestParseRefusesMalformedTraces(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(replay.Generate(3, replay.DeploymentPamoja, "good-calm").Write(&out), qt.IsNil)
	good := out.String()
	for line, want := range map[string]string{
		"1 fault * 0 0.1 1":         `line \d+: event "fault" has 4 arguments, expected 5`,
		"1 fault nowhere 0 0.1 1 0": `line \d+: route "nowhere" does not exist`,
		"1 restart 999":             `line \d+: argument "999" of "restart" is not a number in its range`,
		"1 centre 9 0 1":            `line \d+: data centre "9" does not exist`,
		"1 explode":                 `line \d+: event "explode" is unknown`,
		"-99 delay 5":               `line \d+: time "-99" is before that of the line above`,
		"x delay 5":                 `line \d+: time "x" is not a number of seconds`,
		"1":                         `line \d+: expected seconds, kind and arguments`,
	} {
		// The lines are appended, so their times are made late enough, except for the one that tests the order.
		if strings.HasPrefix(line, "1 ") {
			line = "9000" + line[1:]
		}
		_, err := replay.Parse([]byte(good + line + "\n"))
		c.Assert(err, qt.ErrorMatches, want, qt.Commentf("line %q", line))
	}
	for from, to := range map[string]string{
		`"format": 1`:         `"format": 2`,
		`"seed"`:              `"sead"`,
		"\n---\n":             "\n",
		`"from": "v1"`:        `"from": "v2"`,
		`"state": "done"`:     `"state": "growing"`,
		`"data-centres": 4`:   `"data-centres": 0`,
		"-30 arrivals":        "-30 arrivals 1e9 1e9 1e9\n-29 arrivals",
		`"warm-seconds": 30,`: `"warm-seconds": -1,`,
	} {
		c.Assert(strings.Contains(good, from), qt.IsTrue, qt.Commentf("%q", from))
		_, err := replay.Parse([]byte(strings.Replace(good, from, to, 1)))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", to))
	}
}

// Prints the scores of generated traces for a range of seeds. A change of a constant in core/rollout must be checked with other
// seeds than those with which it was made, since it may suit only these.
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
			for _, deployment := range replay.Deployments {
				for seed := first; seed <= last; seed++ {
					jobs = append(jobs, &job{key: key{rule, scenario}, trace: replay.Generate(seed, deployment, scenario)})
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
		if j.rule == replay.RuleSequential && (!j.measures.Matches(j.trace.Outcome) || j.trace.Outcome.Bad && j.measures.CallsAfterFaultRatio() >= 0.02) {
			fmt.Printf("%-36s %-10s bad %.2f%% %s | %s\n", j.trace.Name, j.measures.Move.State, 100*j.measures.CallsAfterFaultRatio(), j.measures.Move.Cause, j.measures.Move.Evidence)
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
