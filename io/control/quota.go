package control

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/quota"
	"parsleyport/core/raft"
	"parsleyport/core/record"
	"parsleyport/core/ring"
	"parsleyport/io/distribution"
	"parsleyport/io/raftpeer"
)

const (
	// quotaConfirmInterval is the time between two confirmations of leadership while there are holders. Two of them fit into
	// quota.ConfirmationValidity, so that a slow one delays no holder.
	quotaConfirmInterval = 250 * time.Millisecond
	// quotaConfirmTimeout bounds one confirmation.
	quotaConfirmTimeout = time.Second
	// quotaConfirmWait is how long a request waits for a confirmation, for example the first one after a pause.
	quotaConfirmWait = 300 * time.Millisecond
	// quotaIdle is the time after the last request from which leadership is not confirmed. Holders ask once a second.
	quotaIdle = 3 * time.Second
	// leadershipInterval is how often the start of a term is looked for. A lender knows what was lent from then on.
	leadershipInterval = 200 * time.Millisecond
)

var _ distribution.QuotaLender = (*quotaLender)(nil)

// quotaLender lends units while this instance leads.
type quotaLender struct {
	replicator core.Replicator
	source     record.Source
	settings   quota.Settings
	start      time.Time
	log        zerolog.Logger
	exchanges  *metrics.Counter
	wake       *ring.Ring[struct{}] // starts confirmations

	mu            sync.Mutex // guards the fields below
	term          core.Term  // in which this instance leads, zero if it does not
	ledSince      quota.Time
	lender        *quota.Lender // nil until the leadership of the term has been confirmed
	confirmed     chan struct{} // closed at the next end of a confirmation
	confirmedAt   quota.Time    // start of the last confirmation
	lastRequestAt time.Time
}

func newQuotaLender(replicator core.Replicator, source record.Source, settings quota.Settings, log zerolog.Logger, set *metrics.Set) *quotaLender {
	q := &quotaLender{
		replicator: replicator,
		source:     source,
		settings:   settings,
		start:      time.Now(),
		log:        log,
		exchanges:  set.GetOrCreateCounter("parsleyport_quota_exchanges_total"),
		wake:       ring.New[struct{}](1),
		confirmed:  make(chan struct{}),
	}
	set.GetOrCreateGauge("parsleyport_quota_holders", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.lender == nil {
			return 0
		}
		return float64(q.lender.Holders())
	})
	return q
}

// now returns the time on both clocks.
func (q *quotaLender) now() quota.Time {
	now := time.Now()
	return quota.Time{
		Steady: now.Sub(q.start),
		Wall:   time.Duration(now.UnixNano()),
	}
}

// Exchange implements distribution.QuotaLender. It waits for a confirmation of leadership if the last one is too old.
func (q *quotaLender) Exchange(ctx context.Context, request quota.Request) (quota.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaConfirmWait)
	defer cancel()
	for {
		q.observeLeadership()
		q.mu.Lock()
		answer, served, err := q.exchange(request)
		next := q.confirmed
		q.mu.Unlock()
		if served || err != nil {
			return answer, err
		}
		q.wake.TryPush(struct{}{})
		select {
		case <-ctx.Done():
			return quota.Answer{}, core.ErrNoLeader
		case <-next:
		}
	}
}

// exchange returns false if the leadership must be confirmed first; mu is held.
func (q *quotaLender) exchange(request quota.Request) (quota.Answer, bool, error) {
	if q.term == 0 {
		return quota.Answer{}, false, core.ErrNoLeader
	}
	q.lastRequestAt = time.Now()
	now := q.now()
	if q.lender == nil || !now.Within(quota.ConfirmationValidity, q.confirmedAt) {
		return quota.Answer{}, false, nil
	}
	answer, answered := q.lender.Exchange(now, request, q.limits(q.source.Current()))
	if !answered {
		return quota.Answer{}, false, core.ErrNoLeader
	}
	q.exchanges.Inc()
	return answer, true, nil
}

func (q *quotaLender) limits(configuration *record.Configuration) quota.Limits {
	return quota.Limits{
		Revision: configuration.Revision(),
		Bound: func(id core.TenantID) int {
			tenant, _ := configuration.Tenant(id)
			return q.settings.Units(tenant.RatePerS, tenant.Burst)
		},
	}
}

// observeLeadership notices the start and the end of a term in which this instance leads.
func (q *quotaLender) observeLeadership() {
	status := q.replicator.Status()
	term := core.Term(0)
	if status.Role == string(raft.Leader) {
		term = status.Term
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if term != q.term {
		q.term, q.ledSince, q.lender = term, q.now(), nil
		q.wake.TryPush(struct{}{})
	}
}

// confirm runs confirmations while there are holders, until the context ends. There is also one at the start of each term: the
// configuration is then the newest of the earlier terms, so that no units of tenants which appear later have been lent.
func (q *quotaLender) confirm(ctx context.Context) {
	for {
		if _, err := q.wake.Pop(ctx); err != nil {
			return
		}
		for ctx.Err() == nil && q.needsConfirmation() {
			began := time.Now()
			q.confirmOnce(ctx)
			wait(ctx, time.Until(began.Add(quotaConfirmInterval)))
		}
	}
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (q *quotaLender) needsConfirmation() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.term != 0 && (q.lender == nil || time.Since(q.lastRequestAt) < quotaIdle)
}

// confirmOnce confirms that this instance has led in one term from the start of the read until its end. A read of an instance that
// does not lead is confirmed by the leader, so that the term must be the same before and after it.
func (q *quotaLender) confirmOnce(ctx context.Context) {
	q.observeLeadership()
	q.mu.Lock()
	term, began := q.term, q.now()
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, quotaConfirmTimeout)
	defer cancel()
	err := q.replicator.ConfirmRead(ctx)
	q.observeLeadership()
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.confirmed)
	q.confirmed = make(chan struct{})
	if err != nil || term == 0 || q.term != term {
		return
	}
	q.confirmedAt = began
	if q.lender == nil {
		q.lender = quota.NewLender(q.ledSince, term, q.settings.Span(), q.limits(q.source.Current()))
		q.log.Info().Str("event", "quota-lender").Uint64("term", uint64(term)).Msg("this instance lends the units of quotas")
	}
}

// startQuotaLender starts the background tasks of the lender.
func (p *process) startQuotaLender(injector do.Injector) {
	q := do.MustInvoke[*quotaLender](injector)
	p.startTask(q.confirm)
	p.startPeriodic(leadershipInterval, func(context.Context, time.Time) { q.observeLeadership() })
}

func (p *process) newQuotaLender(injector do.Injector) (*quotaLender, error) {
	replica, err := do.Invoke[*raftpeer.Replica](injector)
	if err != nil {
		return nil, err
	}
	limits := p.settings.Quota
	if limits == (quota.Settings{}) {
		limits = quota.DefaultSettings()
	}
	return newQuotaLender(replica, do.MustInvoke[*catalog.Catalog](injector), limits, p.log, p.metrics), nil
}
