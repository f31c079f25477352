package catalog

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
)

const (
	// maxDepartures limits the stored departures of all nodes, and maxDeparturesOfNode those of one node, so that a node that reports
	// many does not push out those of the others. The oldest ones are dropped first.
	maxDepartures       = 4096
	maxDeparturesOfNode = 16
	// maxDeparturesInCommand limits one command.
	maxDeparturesInCommand = maxDeparturesOfNode
)

// departureCommand reports runs of a node's backend server that have begun to leave.
type departureCommand struct {
	Node core.NodeID  `msgpack:"node"`
	Runs []core.RunID `msgpack:"runs"`
}

// EncodeDepartures encodes the report that runs of a node's backend server have begun to leave. It returns ErrMalformed.
func EncodeDepartures(at time.Time, node core.NodeID, runs []core.RunID) ([]byte, error) {
	report := departureCommand{
		Node: node,
		Runs: runs,
	}
	if err := report.check(); err != nil {
		return nil, err
	}
	return encode(ActionDepart, at, 0, report)
}

func (d departureCommand) check() error {
	if d.Node == "" || len(d.Node) > maxIDBytes {
		return errors.Annotatef(ErrMalformed, "node has %d bytes, expected 1 to %d", len(d.Node), maxIDBytes)
	}
	if len(d.Runs) == 0 || len(d.Runs) > maxDeparturesInCommand {
		return errors.Annotatef(ErrMalformed, "%d runs, expected 1 to %d", len(d.Runs), maxDeparturesInCommand)
	}
	for _, run := range d.Runs {
		if run == "" || len(run) > maxIDBytes {
			return errors.Annotatef(ErrMalformed, "run has %d bytes, expected 1 to %d", len(run), maxIDBytes)
		}
	}
	return nil
}

// Departures returns the stored runs of a node's backend server that have begun to leave, oldest first.
func (c *Catalog) Departures(node core.NodeID) []core.RunID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var runs []core.RunID
	for _, departure := range c.departures {
		if departure.Node == node {
			runs = append(runs, departure.Run)
		}
	}
	return runs
}

// depart stores departures. It writes no audit entry, since no operator's decision is involved.
func (c *Catalog) depart(e envelope) Verdict {
	var report departureCommand
	if err := decode(e.Body, &report); err != nil {
		return refused(CauseMalformed, "%s: %v", e.Action, err)
	}
	if c.rules < DepartureRules {
		return refused(CauseRules, "rules version %d is in force, departures need version %d", c.rules, DepartureRules)
	}
	if err := report.check(); err != nil {
		return refused(CauseMalformed, "%v", err)
	}
	for _, run := range report.Runs {
		c.addDeparture(core.Departure{
			Node: report.Node,
			Run:  run,
		})
	}
	return Verdict{
		Result: Accepted,
		At:     e.At,
	}
}

func (c *Catalog) addDeparture(departure core.Departure) {
	if slices.Contains(c.departures, departure) {
		return
	}
	count, oldest := 0, 0
	for i, stored := range slices.Backward(c.departures) {
		if stored.Node == departure.Node {
			count, oldest = count+1, i
		}
	}
	switch {
	case count >= maxDeparturesOfNode:
		c.departures = slices.Delete(c.departures, oldest, oldest+1)
	case len(c.departures) >= maxDepartures:
		c.departures = slices.Delete(c.departures, 0, 1)
	}
	c.departures = append(c.departures, departure)
}
