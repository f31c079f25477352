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
	command := app.Command("verify", "Check call logs against run logs; exit status 1 if a promise was broken.")
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
	faults := verifyLogs(calls, runs, o.allAnswered)
	fmt.Fprintf(out, "%d calls, %d runs, %d faults\n", len(calls), len(runs), len(faults))
	for _, fault := range lo.Slice(faults, 0, 10) {
		fmt.Fprintln(out, "  "+fault)
	}
	if len(faults) > 0 {
		return errors.Errorf("%d faults", len(faults))
	}
	return nil
}

// verifyLogs returns the broken promises: a second run of a call that is not idempotent, a run after "not run", an
// answer that is incomplete or another call's, and a node that went back to an older revision.
func verifyLogs(calls []callEntry, runs []runEntry, allAnswered bool) []string {
	var faults []string
	runsOf := lo.CountValuesBy(runs, func(r runEntry) string { return r.Key })
	for _, call := range calls {
		count := runsOf[call.Key]
		switch {
		case call.Method == http.MethodPost && count > 1:
			faults = append(faults, fmt.Sprintf("call %s is not idempotent and ran %d times", call.Key, count))
		case call.Outcome == "not-run" && count > 0:
			faults = append(faults, fmt.Sprintf("call %s was refused as not run (%s) but ran %d times", call.Key, call.Cause, count))
		case call.Status == http.StatusOK && call.Error == "" && !call.Complete:
			faults = append(faults, fmt.Sprintf("call %s got an incomplete or foreign answer as a success", call.Key))
		case call.Complete && count == 0:
			faults = append(faults, fmt.Sprintf("call %s was answered without a run", call.Key))
		case allAnswered && !call.Complete:
			faults = append(faults, fmt.Sprintf("call %s (%s %s at %s) has no complete answer: status %d, outcome %q, cause %q, error %q",
				call.Key, call.Method, call.Path, call.Target, call.Status, call.Outcome, call.Cause, call.Error))
		}
	}
	return append(faults, olderRevisions(calls)...)
}

// olderRevisions looks for a call that began after another one at the same node had ended, and saw an older revision.
func olderRevisions(calls []callEntry) []string {
	var faults []string
	for target, group := range lo.GroupBy(calls, func(c callEntry) string { return c.Target }) {
		ended := append([]callEntry(nil), group...)
		sort.Slice(ended, func(i, j int) bool { return endOf(ended[i]) < endOf(ended[j]) })
		sort.Slice(group, func(i, j int) bool { return group[i].At.Before(group[j].At) })
		next, newest := 0, uint64(0)
		for _, call := range group {
			for next < len(ended) && endOf(ended[next]) < call.At.UnixMicro() {
				newest = max(newest, ended[next].Revision)
				next++
			}
			if call.Revision != 0 && call.Revision < newest {
				faults = append(faults, fmt.Sprintf("node %s served revision %d after %d", target, call.Revision, newest))
			}
		}
	}
	return faults
}

func endOf(c callEntry) int64 {
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
		scanner.Buffer(nil, maxBodyBytes)
		for scanner.Scan() {
			var entry T
			if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
				continue // a process that was killed may leave a cut last line
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
