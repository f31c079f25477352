package control

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/quota"
	"parsleyport/core/raft"
	"parsleyport/core/record"
)

// fakeLeader is a core.Replicator whose leadership the test sets.
type fakeLeader struct {
	core.Replicator
	mu       sync.Mutex
	status   core.ReplicatorStatus
	reads    int
	readErr  error
	onRead   func()
	readTime time.Duration // not changed
}

func (f *fakeLeader) Status() core.ReplicatorStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

func (f *fakeLeader) setTerm(term core.Term, role string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status = core.ReplicatorStatus{Role: role, Term: term}
}

func (f *fakeLeader) ConfirmRead(context.Context) error {
	time.Sleep(f.readTime)
	f.mu.Lock()
	f.reads++
	err, onRead := f.readErr, f.onRead
	f.mu.Unlock()
	if onRead != nil {
		onRead()
	}
	return err
}

func (f *fakeLeader) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// fixedSource is a record.Source whose configuration a test replaces.
type fixedSource struct {
	record.Source
	current atomic.Pointer[record.Configuration]
}

func (f *fixedSource) Current() *record.Configuration { return f.current.Load() }

func tenantsWithRate(c *qt.C, revision core.Revision, names ...string) *record.Configuration {
	var records []core.Record
	for _, name := range names {
		body, err := json.Marshal(core.TenantBody{RatePerS: 10})
		c.Assert(err, qt.IsNil)
		records = append(records, core.Record{Kind: core.KindTenant, Name: name, SchemaVersion: 1, Version: 1, Body: body})
	}
	configuration, err := record.New(revision, records, nil)
	c.Assert(err, qt.IsNil)
	return configuration
}

type lenderFixture struct {
	*quotaLender
	c        *qt.C
	leader   *fakeLeader
	source   *fixedSource
	sequence uint64
}

func withLender(t *testing.T, test func(f *lenderFixture)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := &lenderFixture{c: c, leader: &fakeLeader{readTime: 5 * time.Millisecond}, source: &fixedSource{}}
		f.source.current.Store(tenantsWithRate(c, 1, "old"))
		f.quotaLender = newQuotaLender(f.leader, f.source, quota.DefaultSettings(), zerolog.Nop(), metrics.NewSet())
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		tasks.Go(func() { f.confirm(ctx) })
		tasks.Go(func() {
			for ctx.Err() == nil {
				f.observeLeadership()
				wait(ctx, leadershipInterval)
			}
		})
		defer tasks.Wait()
		defer cancel()
		test(f)
	})
}

// ask requests units of a tenant for a holder without any.
func (f *lenderFixture) ask(tenant core.TenantID) (units int, err error) {
	f.sequence++
	answer, err := f.Exchange(context.Background(), quota.Request{
		Node: "n1", Incarnation: 1, Sequence: f.sequence, Full: true, Span: 6 * time.Second, Reports: []quota.Report{{Tenant: tenant, Demand: 5, Ahead: 2}},
	})
	if err != nil {
		return 0, err
	}
	return answer.Allotments[0].Units, nil
}

// Guards against confirmations without holders or more often than every 250 ms, and against tenants of the lender's own term that
// count as lent by an earlier lender.
func TestLenderConfirmsItsLeadershipWhileThereAreHolders(t *testing.T) {
	withLender(t, func(f *lenderFixture) {
		time.Sleep(10 * time.Second)
		f.c.Assert(f.leader.readCount(), qt.Equals, 0)
		f.leader.setTerm(3, string(raft.Leader))
		time.Sleep(2 * time.Second)
		f.c.Assert(f.leader.readCount(), qt.Equals, 1)

		f.source.current.Store(tenantsWithRate(f.c, 2, "old", "new"))
		units, err := f.ask("new")
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(units, qt.Equals, 7)
		units, err = f.ask("old")
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(units < 7, qt.IsTrue, qt.Commentf("%d units", units))
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, err := f.ask("new")
			f.c.Assert(err, qt.IsNil)
		}
		f.c.Assert(f.leader.readCount() <= 42 && f.leader.readCount() >= 38, qt.IsTrue, qt.Commentf("%d confirmations in 10 s", f.leader.readCount()))
		units, err = f.ask("old")
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(units, qt.Equals, 7)
		time.Sleep(quotaIdle + time.Second)
		before := f.leader.readCount()
		time.Sleep(time.Minute)
		f.c.Assert(f.leader.readCount(), qt.Equals, before)
	})
}

// Guards against units that are lent by an instance that does not lead, or that leads no longer without having noticed.
func TestLenderStopsWithoutConfirmation(t *testing.T) {
	withLender(t, func(f *lenderFixture) {
		_, err := f.ask("old")
		f.c.Assert(err, qt.ErrorIs, core.ErrNoLeader)
		f.leader.setTerm(3, string(raft.Leader))
		time.Sleep(12 * time.Second)
		_, err = f.ask("old")
		f.c.Assert(err, qt.IsNil)

		f.leader.mu.Lock()
		f.leader.readErr = core.ErrNoLeader
		f.leader.mu.Unlock()
		time.Sleep(quota.ConfirmationValidity)
		_, err = f.ask("old")
		f.c.Assert(err, qt.ErrorIs, core.ErrNoLeader)

		// Another instance confirms the read, since this one has lost the leadership meanwhile.
		f.leader.mu.Lock()
		f.leader.readErr = nil
		f.leader.onRead = func() { f.leader.setTerm(4, string(raft.Follower)) }
		f.leader.mu.Unlock()
		_, err = f.ask("old")
		f.c.Assert(err, qt.ErrorIs, core.ErrNoLeader)
	})
}
