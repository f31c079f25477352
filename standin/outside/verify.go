package outside

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/samber/lo"
)

type verifyOptions struct {
	callLogs    []string
	runLogs     []string
	allAnswered bool
}

func verifyFlags(app *kingpin.Application) (*kingpin.CmdClause, *verifyOptions) {
	o := &verifyOptions{}
	command := app.Command("verify", "Check call logs against run logs; exit status 1 if a guarantee was violated.")
	command.Flag("calls", "Call log; repeatable.").Required().StringsVar(&o.callLogs)
	command.Flag("runs", "Run log; repeatable.").Required().StringsVar(&o.runLogs)
	command.Flag("all-answered", "Every call must have a complete answer.").BoolVar(&o.allAnswered)
	return command, o
}

func runVerify(o verifyOptions, out io.Writer) error {
	calls, err := readLogs[callEntry](o.callLogs)
	if err != nil {
		return err
	}
	runs, err := readLogs[runEntry](o.runLogs)
	if err != nil {
		return err
	}
	violations := verifyLogs(calls, runs, o.allAnswered)
	fmt.Fprintf(out, "%d calls, %d runs, %d violations\n", len(calls), len(runs), len(violations))
	for _, violation := range lo.Slice(violations, 0, 10) {
		fmt.Fprintln(out, "  "+violation)
	}
	if len(violations) > 0 {
		return errors.Errorf("%d violations", len(violations))
	}
	return nil
}

// verifyLogs returns the violated guarantees: non-idempotent calls that ran more than once, calls refused as not run that ran,
// successful answers that are incomplete or belong to another call, answers without a run, nodes that went back to an older
// revision and, if allAnswered is set, calls without a complete answer.
func verifyLogs(calls []callEntry, runs []runEntry, allAnswered bool) []string {
	var violations []string
	runsByKey := lo.CountValuesBy(runs, func(r runEntry) string { return r.Key })
	for _, call := range calls {
		runCount := runsByKey[call.Key]
		switch {
		case call.Method == http.MethodPost && runCount > 1:
			violations = append(violations, fmt.Sprintf("call %s is not idempotent and ran %d times", call.Key, runCount))
		case call.Outcome == "not-run" && runCount > 0:
			violations = append(violations, fmt.Sprintf("call %s was refused as not run (%s) but ran %d times", call.Key, call.Cause, runCount))
		case call.Status == http.StatusOK && call.Error == "" && !call.Complete:
			violations = append(violations, fmt.Sprintf("call %s succeeded with an answer that is incomplete or of another call", call.Key))
		case call.Complete && runCount == 0:
			violations = append(violations, fmt.Sprintf("call %s was answered but has no logged run", call.Key))
		case allAnswered && !call.Complete:
			violations = append(violations, fmt.Sprintf("call %s (%s %s at %s) has no complete answer: status %d, outcome %q, cause %q, error %q",
				call.Key, call.Method, call.Path, call.Target, call.Status, call.Outcome, call.Cause, call.Error))
		}
	}
	return append(violations, revisionRegressions(calls)...)
}

// revisionRegressions reports each call that saw an older revision than a call that had ended at the same node before it began.
func revisionRegressions(calls []callEntry) []string {
	var violations []string
	for target, targetCalls := range lo.GroupBy(calls, func(c callEntry) string { return c.Target }) {
		callsByEnd := append([]callEntry(nil), targetCalls...)
		sort.Slice(callsByEnd, func(i, j int) bool { return endMicroseconds(callsByEnd[i]) < endMicroseconds(callsByEnd[j]) })
		sort.Slice(targetCalls, func(i, j int) bool { return targetCalls[i].At.Before(targetCalls[j].At) })
		nextEnded, newestRevision := 0, uint64(0)
		for _, call := range targetCalls {
			for nextEnded < len(callsByEnd) && endMicroseconds(callsByEnd[nextEnded]) < call.At.UnixMicro() {
				newestRevision = max(newestRevision, callsByEnd[nextEnded].Revision)
				nextEnded++
			}
			if call.Revision != 0 && call.Revision < newestRevision {
				violations = append(violations, fmt.Sprintf("node %s served revision %d after revision %d", target, call.Revision, newestRevision))
			}
		}
	}
	return violations
}

func endMicroseconds(c callEntry) int64 {
	return c.At.UnixMicro() + c.LatencyUS
}

func readLogs[T any](paths []string) ([]T, error) {
	var entries []T
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, maxLogLineBytes)
		for scanner.Scan() {
			var entry T
			if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
				continue // the last line may be cut off if the process was killed
			}
			entries = append(entries, entry)
		}
		_ = file.Close()
		if err := scanner.Err(); err != nil {
			return nil, errors.Annotatef(err, "read %s", path)
		}
	}
	return entries, nil
}
