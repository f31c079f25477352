package distribution

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// sharedDepartures is the core.DepartureLog of all control instances of a test.
type sharedDepartures struct {
	mu     sync.Mutex
	runs   map[core.NodeID][]core.RunID
	refuse bool
}

func (s *sharedDepartures) Depart(_ context.Context, node core.NodeID, runs []core.RunID) ([]core.RunID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return nil, core.ErrNoLeader
	}
	s.runs[node] = append(s.runs[node], runs...)
	return slices.Clone(s.runs[node]), nil
}

// Guards against a departure that is reported as stored although no control instance has stored it, and against one that waits for
// an instance that hangs.
func TestDepartReachesAControlInstance(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(tc *cluster, log *sharedDepartures)
		err     error
		limit   time.Duration
	}{
		"all instances answer":    {prepare: func(*cluster, *sharedDepartures) {}, limit: 50 * time.Millisecond},
		"the first one hangs":     {prepare: func(tc *cluster, _ *sharedDepartures) { tc.net.freeze("c1") }, limit: 400 * time.Millisecond},
		"the first one is gone":   {prepare: func(tc *cluster, _ *sharedDepartures) { tc.stop("c1") }, limit: 400 * time.Millisecond},
		"none knows a leader":     {prepare: func(_ *cluster, log *sharedDepartures) { log.refuse = true }, err: core.ErrOutcomeUnknown, limit: departTimeout},
		"none can be reached":     {prepare: func(tc *cluster, _ *sharedDepartures) { tc.net.block("relay-n1", true) }, err: core.ErrOutcomeUnknown, limit: departTimeout},
		"all of them hang":        {prepare: func(tc *cluster, _ *sharedDepartures) { tc.net.freeze("c1"); tc.net.freeze("c2") }, err: core.ErrOutcomeUnknown, limit: departTimeout},
		"the node is not on link": {prepare: func(tc *cluster, _ *sharedDepartures) { tc.net.block("c1", true) }, limit: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tc := newCluster(t)
				defer tc.close()
				log := &sharedDepartures{runs: map[core.NodeID][]core.RunID{"n1": {"a/1"}}}
				for _, id := range []core.ControlID{"c1", "c2"} {
					tc.sourceWith(id, func(o *SourceOptions) { o.Departures = log })
				}
				n := tc.subscriberWith("n1", func(o *SubscriberOptions) {
					o.ControlAddresses = []string{"c1", "c2"}
					o.Random = func() float64 { return 0 }
				})
				tc.eventually(5*time.Second, "attached", n.Confirmed)
				test.prepare(tc, log)
				began := time.Now()
				stored, err := n.Depart(context.Background(), "n1", []core.RunID{"a/2"})
				c.Assert(time.Since(began) <= test.limit, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
				if test.err != nil {
					c.Assert(err, qt.ErrorIs, test.err)
					c.Assert(log.runs["n1"], qt.DeepEquals, []core.RunID{"a/1"})
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(stored[:2], qt.DeepEquals, []core.RunID{"a/1", "a/2"})
			})
		})
	}
}

// Guards against reports that take the handshake slots of nodes which attach: a proposal may wait for an election.
func TestWaitingDeparturesDoNotKeepNodesFromAttaching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newCluster(t)
		defer tc.close()
		tc.sourceWith("c1", func(o *SourceOptions) { o.Departures = blockedDepartures{} })
		reporter := tc.subscriber("n1", "c1")
		tc.eventually(5*time.Second, "attached", reporter.Confirmed)
		var reports sync.WaitGroup
		for range 2 * maxHandshakes {
			reports.Go(func() { _, _ = reporter.Depart(context.Background(), "n1", []core.RunID{"a/1"}) })
		}
		time.Sleep(50 * time.Millisecond)
		next := tc.subscriber("n2", "c1")
		tc.eventually(300*time.Millisecond, "the next node is attached", next.Confirmed)
		reports.Wait()
	})
}

type blockedDepartures struct{}

func (blockedDepartures) Depart(ctx context.Context, _ core.NodeID, _ []core.RunID) ([]core.RunID, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
