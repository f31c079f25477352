package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
)

const (
	minDepartBackoff = 50 * time.Millisecond
	maxDepartBackoff = time.Second
	// maxUnstoredDepartures limits the departures that wait for the control instances. One process of a backend server leaves at a
	// time; more are reported only by a faulty sender.
	maxUnstoredDepartures = 16
)

// departures knows which runs of the local backend server have begun to leave. A node has no disk, so the control instances store
// them, and a restarted node asks for them.
type departures struct {
	node core.NodeID
	log  zerolog.Logger
	// remote stores departures at the control instances.
	remote core.DepartureLog
	wake   chan struct{}
	known  chan struct{} // closed at the first answer of a control instance

	mu       sync.Mutex // guards the fields below
	stored   []core.RunID
	unstored []core.RunID
	changed  chan struct{} // closed when stored changes
}

func newDepartures(node core.NodeID, remote core.DepartureLog, log zerolog.Logger) *departures {
	return &departures{
		node:    node,
		log:     log,
		remote:  remote,
		wake:    make(chan struct{}, 1),
		known:   make(chan struct{}),
		changed: make(chan struct{}),
	}
}

// run asks for the stored departures, then stores those that are reported, until the context ends.
func (d *departures) run(ctx context.Context) {
	asked, backoff := false, minDepartBackoff
	for {
		d.mu.Lock()
		reported := slices.Clone(d.unstored)
		d.mu.Unlock()
		wait := time.Duration(-1)
		if !asked || len(reported) > 0 {
			if runs, err := d.remote.Depart(ctx, d.node, reported); err == nil {
				d.learn(runs, reported)
				if !asked {
					asked = true
					close(d.known)
				}
				backoff = minDepartBackoff
				continue
			}
			wait = time.Duration((0.5 + rand.Float64()/2) * float64(backoff))
			backoff = min(2*backoff, maxDepartBackoff)
		}
		if !d.sleep(ctx, wait) {
			return
		}
	}
}

// sleep waits for a time, or for a report if the time is negative. It returns false if the context has ended.
func (d *departures) sleep(ctx context.Context, wait time.Duration) bool {
	var over <-chan time.Time
	wake := d.wake
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		over, wake = timer.C, nil // reports must not shorten the backoff
	}
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-over:
	}
	return true
}

func (d *departures) learn(stored, reported []core.RunID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range slices.Concat(stored, reported) { // the control instances may have dropped an old one already
		if !slices.Contains(d.stored, run) {
			d.stored = append(d.stored, run)
		}
	}
	if extra := len(d.stored) - maxKnownDepartures; extra > 0 {
		d.stored = slices.Delete(d.stored, 0, extra)
	}
	d.unstored = slices.DeleteFunc(d.unstored, func(run core.RunID) bool { return slices.Contains(reported, run) })
	close(d.changed)
	d.changed = make(chan struct{})
}

// maxKnownDepartures limits the stored departures that a node remembers.
const maxKnownDepartures = 64

// depart returns nil once the control instances have stored the departure of a run. If the context ends first, the departure is still
// reported.
func (d *departures) depart(ctx context.Context, run core.RunID) error {
	for {
		d.mu.Lock()
		if slices.Contains(d.stored, run) {
			d.mu.Unlock()
			return nil
		}
		if !slices.Contains(d.unstored, run) {
			if len(d.unstored) >= maxUnstoredDepartures {
				d.mu.Unlock()
				return errors.QuotaLimitExceededf("%d departures that are not stored yet", maxUnstoredDepartures)
			}
			d.unstored = append(d.unstored, run)
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case d.wake <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			d.log.Warn().Str("event", "departure-not-stored").Str("run", string(run)).
				Msg("no control instance has stored in time that the backend server leaves; it gets no acknowledgement")
			return errors.Annotatef(core.ErrOutcomeUnknown, "departure of run %q", run)
		}
	}
}

// departed returns the runs that have begun to leave, those that are not stored yet included.
func (d *departures) departed() []core.RunID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Concat(d.stored, d.unstored)
}
