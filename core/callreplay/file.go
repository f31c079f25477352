package callreplay

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"parsleyport/core/balancer"
)

// ErrOutcome is returned if the default policy does not meet the expectations of a trace.
const ErrOutcome = errors.ConstError("outcome differs from the stated one")

// fileSeed fixes the random durations and failures of the runs in the replays of a file.
const fileSeed = 1

// ReadFile reads a trace file. An error names the file.
func ReadFile(path string) (Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return Trace{}, errors.Trace(err)
	}
	defer file.Close()
	trace, err := Read(file)
	return trace, errors.Annotatef(err, "%s", path)
}

// RunFile replays a trace file with each policy and prints the measures. It returns ErrOutcome if the default policy does not meet
// the expectations of the trace.
func RunFile(path string, out io.Writer) error {
	trace, err := ReadFile(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: expected at least %d per mille answered, at most %d run twice\n", trace.Name,
		trace.Expectations.MinAnsweredPerMille, trace.Expectations.MaxRunTwice)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "POLICY\tCALLS\tANSWERED\tFAILED\tREFUSED\tUNKNOWN\tLATE\tRUN TWICE\tP50 MS\tP99 MS\tHEDGES\tBUSY S")
	met := true
	line := func(name string, m Measures) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%.1f\n", name, m.Calls, m.Answered, m.Failed,
			m.Refused, m.Unknown, m.Late, m.RunTwice, float64(m.P50US)/1000, float64(m.P99US)/1000, m.Hedges, m.BusyMS/1000)
	}
	for i, policy := range balancer.Policies() {
		m := Run(trace, Options{Policy: policy, Seed: fileSeed})
		line(string(policy), m)
		if i == 0 {
			met = m.Meets(trace.Expectations)
			line("(no hedging)", Run(trace, Options{Policy: policy, Seed: fileSeed, NoHedging: true}))
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	if !met {
		return errors.Annotatef(ErrOutcome, "%s with policy %s", path, balancer.Policies()[0])
	}
	return nil
}
