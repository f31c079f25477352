package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/quota"
	"parsleyport/core/record"
	"parsleyport/io/distribution"
)

const (
	// maxQuotaWait bounds the wait of a request for a unit. An exchange takes one round trip to a control instance, and a few tens of
	// milliseconds if a new connection is needed.
	maxQuotaWait = 300 * time.Millisecond
	// quotaWaitShare is the divisor of the part of a request's time that it may wait.
	quotaWaitShare = 4
	// maxQuotaWaiting and maxQuotaWaitingPerTenant bound the requests that wait at a node.
	maxQuotaWaiting          = 1024
	maxQuotaWaitingPerTenant = 128
	// minQuotaBackoff and maxQuotaBackoff bound the wait between two attempts to find the lender. A control instance is elected within
	// about a second.
	minQuotaBackoff = 20 * time.Millisecond
	maxQuotaBackoff = 500 * time.Millisecond
	// maxQuotaRedirects is the number of redirects that are followed without a wait; control instances may disagree on the leader.
	maxQuotaRedirects = 2
	// quotaIdleClose is how long an unused connection is kept.
	quotaIdleClose = 20 * time.Second
	// maxQuotaLabels bounds the tenants that have metrics of their own.
	maxQuotaLabels = 100
	otherTenants   = "other"
)

var _ core.QuotaLimiter = (*quotaLimiter)(nil)

// quotaLink is a connection to a control instance; see distribution.QuotaLink.
type quotaLink interface {
	Exchange(ctx context.Context, request quota.Request) (quota.Answer, error)
	Close() error
}

// quotaNetwork finds and connects to control instances.
type quotaNetwork struct {
	targets func() []string
	open    func(ctx context.Context, address string) (quotaLink, error)
}

// quotaLimiter admits the requests of tenants with the units of a quota.Holder, and exchanges units with the lender.
type quotaLimiter struct {
	settings      quota.Settings
	configuration func() *record.Configuration
	network       quotaNetwork
	start         time.Time
	log           zerolog.Logger
	metrics       *metrics.Set
	wake          chan struct{}
	sleepsUntil   atomic.Int64 // on the monotonic clock, for the task that exchanges units; math.MaxInt64 if it waits for wake

	mu               sync.Mutex // guards the fields below
	holder           *quota.Holder
	changed          chan struct{} // closed at the next answer of a lender
	waiting          int
	waitingPerTenant map[core.TenantID]int
	labels           map[core.TenantID]string
	lenderKnown      bool // for the log
}

func newQuotaLimiter(settings quota.Settings, node core.NodeID, incarnation core.Incarnation, configuration func() *record.Configuration,
	network quotaNetwork, log zerolog.Logger, set *metrics.Set,
) *quotaLimiter {
	return &quotaLimiter{
		settings:         settings,
		configuration:    configuration,
		network:          network,
		start:            time.Now(),
		log:              log,
		metrics:          set,
		wake:             make(chan struct{}, 1),
		holder:           quota.NewHolder(settings, node, incarnation),
		changed:          make(chan struct{}),
		waitingPerTenant: make(map[core.TenantID]int),
		labels:           make(map[core.TenantID]string),
	}
}

// clock returns a time on both clocks.
func (q *quotaLimiter) clock(now time.Time) quota.Time {
	return quota.Time{
		Steady: now.Sub(q.start),
		Wall:   time.Duration(now.UnixNano()),
	}
}

// Take implements core.QuotaLimiter. A request of a tenant without a limit takes no unit.
func (q *quotaLimiter) Take(ctx context.Context, tenant core.TenantID) (core.QuotaUnit, *core.Refusal) {
	body, _ := q.configuration().Tenant(tenant)
	bound := q.settings.Units(body.RatePerS, body.Burst)
	if bound == 0 {
		return core.QuotaUnit{}, nil
	}
	unit, refused, waits := q.tryTake(tenant, bound)
	if !waits {
		return unit, refused
	}
	return q.awaitUnit(ctx, tenant, bound)
}

// tryTake returns true if the request may wait for a unit. It is then counted as waiting.
func (q *quotaLimiter) tryTake(tenant core.TenantID, bound int) (core.QuotaUnit, *core.Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	unit, refused, missing := q.take(tenant, bound)
	if !missing {
		return unit, refused, false
	}
	if q.waiting >= maxQuotaWaiting || q.waitingPerTenant[tenant] >= maxQuotaWaitingPerTenant {
		return core.QuotaUnit{}, q.refuse(tenant, core.CauseQuotaUnavailable, time.Time{}), false
	}
	q.waiting++
	q.waitingPerTenant[tenant]++
	q.holder.Wait(tenant)
	return core.QuotaUnit{}, nil, true
}

// take decides on a request, and returns true if it finds no unit and the lender may have some; mu is held.
func (q *quotaLimiter) take(tenant core.TenantID, bound int) (core.QuotaUnit, *core.Refusal, bool) {
	now := time.Now()
	clock := q.clock(now)
	verdict, expected := q.holder.Take(clock, tenant, bound)
	if due, needed := q.holder.Due(clock); needed && int64(due) < q.sleepsUntil.Load() {
		q.wakeUp()
	}
	switch verdict {
	case quota.Admitted:
		return core.QuotaUnit{
			Tenant: tenant,
			At:     now,
		}, nil, false
	case quota.Used:
		return core.QuotaUnit{}, q.refuse(tenant, core.CauseQuotaUsed, q.start.Add(expected)), false
	}
	return core.QuotaUnit{}, nil, true
}

// awaitUnit waits for units, for at most maxQuotaWait and a part of the time until the deadline.
func (q *quotaLimiter) awaitUnit(ctx context.Context, tenant core.TenantID, bound int) (core.QuotaUnit, *core.Refusal) {
	wait := maxQuotaWait
	if deadline, set := ctx.Deadline(); set {
		wait = min(wait, time.Until(deadline)/quotaWaitShare)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		q.mu.Lock()
		changed := q.changed
		unit, refused, missing := q.take(tenant, bound)
		if !missing {
			q.leave(tenant, false)
			q.mu.Unlock()
			return unit, refused
		}
		q.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		q.leave(tenant, true)
		return core.QuotaUnit{}, q.refuse(tenant, core.CauseQuotaUnavailable, time.Time{})
	}
}

func (q *quotaLimiter) leave(tenant core.TenantID, refused bool) {
	q.holder.Leave(q.clock(time.Now()), tenant, refused)
	q.waiting--
	if q.waitingPerTenant[tenant]--; q.waitingPerTenant[tenant] == 0 {
		delete(q.waitingPerTenant, tenant)
	}
}

// GiveBack implements core.QuotaLimiter.
func (q *quotaLimiter) GiveBack(unit core.QuotaUnit) {
	if unit.At.IsZero() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.GiveBack(unit.Tenant, unit.At.Sub(q.start))
}

// Settle implements core.QuotaLimiter.
func (q *quotaLimiter) Settle(unit core.QuotaUnit) {
	if unit.At.IsZero() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Settle(q.clock(time.Now()), unit.Tenant, unit.At.Sub(q.start))
}

func (q *quotaLimiter) refuse(tenant core.TenantID, cause core.RefusalCause, retryAfter time.Time) *core.Refusal {
	q.metrics.GetOrCreateCounter(`parsleyport_quota_refusals_total{tenant="` + q.label(tenant) + `",cause="` + string(cause) + `"}`).Inc()
	return &core.Refusal{
		Cause:      cause,
		RetryAfter: retryAfter,
	}
}

// label returns the label of a tenant's metrics, and registers the gauge of its units; mu is held.
func (q *quotaLimiter) label(tenant core.TenantID) string {
	label, known := q.labels[tenant]
	if known {
		return label
	}
	if len(q.labels) >= maxQuotaLabels {
		q.registerUnitsHeld(otherTenants, func() int {
			return q.holder.HeldIf(func(each core.TenantID) bool { return q.labels[each] == "" })
		})
		return otherTenants
	}
	label = escapeLabel(string(tenant))
	q.labels[tenant] = label
	q.registerUnitsHeld(label, func() int { return q.holder.Held(tenant) })
	return label
}

// registerUnitsHeld registers a gauge unless it exists; read is called with mu held.
func (q *quotaLimiter) registerUnitsHeld(label string, read func() int) {
	q.metrics.GetOrCreateGauge(`parsleyport_quota_units_held{tenant="`+label+`"}`, func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(read())
	})
}

func (q *quotaLimiter) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// quotaSession finds the lender and keeps a connection to it.
type quotaSession struct {
	link      quotaLink
	address   string // of link
	next      string // address to try first, empty for one of the targets
	target    int    // index of the last target tried
	failures  int
	redirects int
}

// run exchanges units until the context ends. It needs neither a timer nor a connection until a tenant with a limit is used.
func (q *quotaLimiter) run(ctx context.Context) {
	s := &quotaSession{
		target: -1,
	}
	defer s.close()
	for ctx.Err() == nil {
		if !q.sleep(ctx, s) {
			continue
		}
		if err := q.exchange(ctx, s); err != nil {
			q.failed(ctx, s, err)
		}
	}
}

// sleep returns true once an exchange is due. It closes the connection after a while without tenants.
func (q *quotaLimiter) sleep(ctx context.Context, s *quotaSession) bool {
	now := time.Now()
	q.mu.Lock()
	due, needed := q.holder.Due(q.clock(now))
	at := q.start.Add(due)
	if !needed {
		at = now.Add(quotaIdleClose)
	}
	q.sleepsUntil.Store(int64(at.Sub(q.start)))
	q.mu.Unlock()
	if needed && !at.After(now) {
		return true
	}
	if !needed && s.link == nil {
		select {
		case <-ctx.Done():
		case <-q.wake:
		}
		return false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-q.wake:
	case <-timer.C:
		if !needed {
			s.close()
		}
		return needed
	}
	return false
}

// exchange makes one exchange, over a new connection if there is none.
func (q *quotaLimiter) exchange(ctx context.Context, s *quotaSession) error {
	if s.link == nil {
		s.chooseAddress(q.network.targets())
		link, err := q.network.open(ctx, s.address)
		if err != nil {
			return errors.Annotatef(err, "control instance at %s", s.address)
		}
		s.link = link
	}
	q.mu.Lock()
	request := q.holder.Request(q.clock(time.Now()))
	q.mu.Unlock()
	answer, err := s.link.Exchange(ctx, request)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.holder.Disconnected()
		return errors.Annotatef(err, "control instance at %s", s.address)
	}
	if !q.holder.Answer(q.clock(time.Now()), answer) {
		q.holder.Disconnected()
		return errors.Errorf("control instance at %s lends in the earlier term %d", s.address, answer.Term)
	}
	s.failures, s.redirects = 0, 0
	q.logLender(true, s.address, nil)
	close(q.changed)
	q.changed = make(chan struct{})
	for _, each := range answer.Allotments {
		q.label(each.Tenant)
	}
	return nil
}

// failed closes the connection and waits before the next attempt, unless a control instance has named the lender.
func (q *quotaLimiter) failed(ctx context.Context, s *quotaSession, err error) {
	s.close()
	var redirected *distribution.NotLenderError
	if errors.As(err, &redirected) && redirected.Lender != "" && s.redirects < maxQuotaRedirects {
		s.next = redirected.Lender
		s.redirects++
		return
	}
	s.redirects = 0
	s.failures++
	if s.failures == 2*len(q.network.targets()) {
		q.mu.Lock()
		q.logLender(false, s.address, err)
		q.mu.Unlock()
	}
	bound := min(minQuotaBackoff<<min(s.failures, 10), maxQuotaBackoff)
	timer := time.NewTimer(time.Duration(rand.Float64() * float64(bound)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// logLender logs changes between a known and an unknown lender; mu is held.
func (q *quotaLimiter) logLender(known bool, address string, err error) {
	if known == q.lenderKnown {
		return
	}
	q.lenderKnown = known
	if known {
		q.log.Info().Str("event", "quota-lender-found").Str("address", address).Msg("units of quotas are exchanged")
		return
	}
	q.log.Warn().Err(err).Str("event", "quota-lender-lost").Msg("no lender of quota units found; the units held are used until their lease ends")
}

func (s *quotaSession) chooseAddress(targets []string) {
	if s.next != "" {
		s.address, s.next = s.next, ""
		return
	}
	s.target++
	s.address = targets[s.target%len(targets)]
}

func (s *quotaSession) close() {
	if s.link != nil {
		_ = s.link.Close()
		s.link = nil
	}
}

func (p *process) newQuotaLimiter(subscriber *distribution.Subscriber) *quotaLimiter {
	limits := p.settings.Quota
	if limits == (quota.Settings{}) {
		limits = quota.DefaultSettings()
	}
	return newQuotaLimiter(limits, p.settings.ID, p.incarnation, subscriber.Current, quotaNetwork{
		targets: subscriber.QuotaTargets,
		open: func(ctx context.Context, address string) (quotaLink, error) {
			return subscriber.OpenQuotaLink(ctx, address, limits.Span())
		},
	}, p.log, p.metrics)
}

// escapeLabel escapes a value in a metric name.
func escapeLabel(value string) string {
	escaped := make([]byte, 0, len(value))
	for i := range len(value) {
		if slices.Contains([]byte{'"', '\\'}, value[i]) {
			escaped = append(escaped, '\\')
		}
		escaped = append(escaped, value[i])
	}
	return string(escaped)
}
