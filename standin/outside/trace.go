package outside

import (
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/callreplay"
)

type traceOptions struct {
	calls  string
	header string
	out    string
}

func traceFlags(app *kingpin.Application) (*kingpin.CmdClause, *traceOptions) {
	o := &traceOptions{}
	command := app.Command("trace", "Convert a call log into a trace for parsleyport replay.")
	command.Flag("calls", "Call log of the caller stand-in.").Required().StringVar(&o.calls)
	command.Flag("header", "Trace file from which the header is copied.").Required().StringVar(&o.header)
	command.Flag("out", "Trace file to write.").Required().StringVar(&o.out)
	return command, o
}

// runTrace converts only the arrivals of the calls: their time, target, tenant, session and whether they are idempotent. Results
// are left out because a replay computes them.
func runTrace(o traceOptions) error {
	trace, err := callreplay.ReadFile(o.header)
	if err != nil {
		return err
	}
	entries, err := readLogs[callEntry]([]string{o.calls})
	if err != nil {
		return err
	}
	slices.SortFunc(entries, func(a, b callEntry) int { return a.At.Compare(b.At) })
	targets := make(map[string]int)
	trace.Calls = nil
	for _, entry := range entries {
		if _, known := targets[entry.Target]; !known {
			targets[entry.Target] = len(targets) % len(trace.Entries)
		}
		trace.Calls = append(trace.Calls, callreplay.Call{
			At:         entry.At.Sub(entries[0].At),
			Entry:      targets[entry.Target],
			Idempotent: entry.Method == "GET",
			Tenant:     core.TenantID(orDash(entry.Tenant)),
			Session:    entry.Session,
		})
	}
	file, err := os.Create(o.out)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	return trace.Write(file)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
