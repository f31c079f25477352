package node

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/core"
)

// controlInstances stands for the control instances, which are away at first.
type controlInstances struct {
	mu     sync.Mutex
	away   bool
	stored []core.RunID
}

func (c *controlInstances) Depart(_ context.Context, _ core.NodeID, runs []core.RunID) ([]core.RunID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		return nil, core.ErrNoLeader
	}
	c.stored = append(c.stored, runs...)
	return slices.Clone(c.stored), nil
}

func (c *controlInstances) setAway(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = away
}

// Guards against a departure that counts as stored while no control instance answers, or that is not stored once one does.
func TestDeparturesAreStoredOnceControlInstancesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		control := &controlInstances{away: true, stored: []core.RunID{"a/1"}}
		d := newDepartures("n1", control, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		tasks.Go(func() { d.run(ctx) })
		defer tasks.Wait()
		defer cancel()
		depart := func(run core.RunID) error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return d.depart(ctx, run)
		}
		c.Assert(depart("a/2"), qt.ErrorIs, core.ErrOutcomeUnknown)
		c.Assert(d.departed(), qt.DeepEquals, []core.RunID{"a/2"})
		select {
		case <-d.known:
			t.Fatal("the departures count as known")
		default:
		}
		control.setAway(false)
		<-d.known
		c.Assert(d.departed(), qt.DeepEquals, []core.RunID{"a/1", "a/2"})
		c.Assert(control.stored, qt.DeepEquals, []core.RunID{"a/1", "a/2"}) // without a second report
		c.Assert(depart("a/2"), qt.IsNil)
		c.Assert(depart("a/3"), qt.IsNil)
		c.Assert(control.stored, qt.DeepEquals, []core.RunID{"a/1", "a/2", "a/3"})
	})
}

// Guards against a sender of ever new ids that fills the memory of the node.
func TestUnstoredDeparturesAreLimited(t *testing.T) {
	c := qt.New(t)
	d := newDepartures("n1", &controlInstances{away: true}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range maxUnstoredDepartures {
		c.Assert(d.depart(ctx, core.RunID(rune('a'+i))), qt.ErrorIs, core.ErrOutcomeUnknown)
	}
	c.Assert(d.depart(ctx, "z"), qt.ErrorMatches, ".*departures that are not stored yet.*")
	c.Assert(d.departed(), qt.HasLen, maxUnstoredDepartures)
}
