package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/quota"
	"parsleyport/core/record"
	"parsleyport/io/distribution"
)

// fakeQuotaLender is a lender behind two addresses. The one at "b" redirects to "a".
type fakeQuotaLender struct {
	c         *qt.C
	start     time.Time
	lender    *quota.Lender
	limits    quota.Limits
	exchanges atomic.Int64
	away      atomic.Bool

	mu     sync.Mutex // guards opened
	opened []string
}

type fakeQuotaLink struct {
	lender  *fakeQuotaLender
	address string
}

func (l fakeQuotaLink) Exchange(_ context.Context, request quota.Request) (quota.Answer, error) {
	time.Sleep(2 * time.Millisecond)
	l.lender.exchanges.Add(1)
	if l.lender.away.Load() {
		return quota.Answer{}, errors.New("connection lost")
	}
	if l.address == "b" {
		return quota.Answer{}, &distribution.NotLenderError{Lender: "a"}
	}
	answer, _ := l.lender.lender.Exchange(quota.Time{Steady: time.Since(l.lender.start)}, request, l.lender.limits)
	return answer, nil
}

func (l fakeQuotaLink) Close() error { return nil }

func (l *fakeQuotaLender) addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.opened)
}

// newTestLimiter runs a limiter with tenants t0, t1 and so on, with a rate each, until the end of the test.
func newTestLimiter(c *qt.C, rates ...int64) (*quotaLimiter, *fakeQuotaLender) {
	var records []core.Record
	for i, rate := range rates {
		body, err := json.Marshal(core.TenantBody{RatePerS: rate})
		c.Assert(err, qt.IsNil)
		records = append(records, core.Record{Kind: core.KindTenant, Name: fmt.Sprintf("t%d", i), SchemaVersion: 1, Version: 1, Body: body})
	}
	configuration, err := record.New(1, records, nil)
	c.Assert(err, qt.IsNil)
	settings := quota.DefaultSettings()
	lender := &fakeQuotaLender{c: c, start: time.Now(), limits: quota.Limits{Bound: func(id core.TenantID) int {
		body, _ := configuration.Tenant(id)
		return settings.Bound(body.RatePerS, body.Burst)
	}}}
	lender.lender = quota.NewLender(quota.Time{}, 1, settings.Span(), quota.Limits{Bound: func(core.TenantID) int { return 0 }})
	limiter := newQuotaLimiter(settings, "n1", 1, func() *record.Configuration { return configuration }, quotaNetwork{
		targets: func() []string { return []string{"b", "a"} },
		open: func(_ context.Context, address string) (quotaLink, error) {
			lender.mu.Lock()
			defer lender.mu.Unlock()
			lender.opened = append(lender.opened, address)
			return fakeQuotaLink{lender: lender, address: address}, nil
		},
	}, zerolog.Nop(), metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { limiter.run(ctx) })
	c.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return limiter, lender
}

// Guards against connections and timers at a node without limited tenants, against a lender that is not found by a redirect, and
// against a connection that is kept for ever.
func TestLimiterConnectsOnlyForTenantsWithALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limiter, lender := newTestLimiter(c, 0, 10)
		unit, refused := limiter.Take(context.Background(), "t0")
		c.Assert(refused == nil, qt.IsTrue)
		limiter.GiveBack(unit)
		time.Sleep(time.Hour)
		c.Assert(lender.addresses(), qt.HasLen, 0)

		unit, refused = limiter.Take(context.Background(), "t1")
		c.Assert(refused == nil, qt.IsTrue)
		c.Assert(lender.addresses(), qt.DeepEquals, []string{"b", "a"})
		limiter.Settle(unit)
		time.Sleep(time.Minute)
		before := lender.exchanges.Load()
		c.Assert(before <= 12, qt.IsTrue, qt.Commentf("%d exchanges", before))
		_, refused = limiter.Take(context.Background(), "t1")
		c.Assert(refused == nil, qt.IsTrue)
		c.Assert(len(lender.addresses()) > 2, qt.IsTrue)
	})
}

// Guards against requests that wait for longer than they may, in unlimited numbers, or although the limit is known to be used, and
// against units that a lost lender takes away before the lease ends.
func TestLimiterWithoutLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limiter, lender := newTestLimiter(c, 10, 10)
		for range 3 {
			_, refused := limiter.Take(context.Background(), "t0")
			c.Assert(refused == nil, qt.IsTrue)
		}
		time.Sleep(100 * time.Millisecond) // more units arrive
		lender.away.Store(true)
		for range 2 {
			_, refused := limiter.Take(context.Background(), "t0")
			c.Assert(refused == nil, qt.IsTrue)
		}
		take := func(ctx context.Context) time.Duration {
			began := time.Now()
			_, refused := limiter.Take(ctx, "t1")
			c.Check(refused, qt.Not(qt.IsNil))
			c.Check(refused.Cause, qt.Equals, core.CauseQuotaUnavailable)
			return time.Since(began)
		}
		c.Assert(take(context.Background()), qt.Equals, maxQuotaWait)
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		defer cancel()
		c.Assert(take(ctx), qt.Equals, 100*time.Millisecond)

		var waits sync.WaitGroup
		var mu sync.Mutex
		atOnce := 0
		for range 2 * maxQuotaWaitingPerTenant {
			waits.Go(func() {
				waited := take(context.Background())
				mu.Lock()
				defer mu.Unlock()
				if waited == 0 {
					atOnce++
				}
			})
		}
		waits.Wait()
		c.Assert(atOnce, qt.Equals, maxQuotaWaitingPerTenant)
		c.Assert(limiter.waiting, qt.Equals, 0)
		c.Assert(limiter.waitingPerTenant, qt.HasLen, 0)

		time.Sleep(quota.Lease)
		began := time.Now()
		_, refused := limiter.Take(context.Background(), "t0")
		c.Assert(refused, qt.Not(qt.IsNil))
		c.Assert(time.Since(began), qt.Equals, maxQuotaWait)
		lender.away.Store(false)
		time.Sleep(2 * maxQuotaBackoff)
		_, refused = limiter.Take(context.Background(), "t0")
		c.Assert(refused == nil, qt.IsTrue)
	})
}

// Guards against a metric for each of thousands of tenants.
func TestMetricsOfManyTenants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rates := make([]int64, maxQuotaLabels+20)
		for i := range rates {
			rates[i] = 10
		}
		limiter, _ := newTestLimiter(c, rates...)
		for i := range rates {
			_, refused := limiter.Take(context.Background(), core.TenantID(fmt.Sprintf("t%d", i)))
			c.Assert(refused == nil, qt.IsTrue)
		}
		var text bytes.Buffer
		limiter.metrics.WritePrometheus(&text)
		c.Assert(strings.Count(text.String(), "parsleyport_quota_units_held{"), qt.Equals, maxQuotaLabels+1)
		held := 0
		for i := maxQuotaLabels; i < len(rates); i++ {
			held += limiter.holder.Held(core.TenantID(fmt.Sprintf("t%d", i)))
		}
		c.Assert(held > 0, qt.IsTrue)
		c.Assert(text.String(), qt.Contains, fmt.Sprintf(`parsleyport_quota_units_held{tenant="other"} %d`, held))
	})
}
