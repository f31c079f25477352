package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// departureLog implements core.DepartureLog in the replicated log.
type departureLog struct {
	replicator core.Replicator
	catalog    *catalog.Catalog
}

// Depart implements core.DepartureLog. Without runs it is a confirmed read, since another control instance may have stored some.
func (d *departureLog) Depart(ctx context.Context, node core.NodeID, runs []core.RunID) ([]core.RunID, error) {
	if len(runs) == 0 {
		if err := d.replicator.ConfirmRead(ctx); err != nil {
			return nil, err
		}
		return d.catalog.Departures(node), nil
	}
	command, err := catalog.EncodeDepartures(time.Now(), node, runs)
	if err != nil {
		return nil, err
	}
	result, err := d.replicator.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	verdict, err := catalog.DecodeVerdict(result)
	if err != nil {
		return nil, err
	}
	if verdict.Result != catalog.Accepted {
		return nil, errors.Annotate(core.ErrNoLeader, verdict.Detail)
	}
	return d.catalog.Departures(node), nil
}
