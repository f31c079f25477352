package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/quota"
	"parsleyport/io/control"
	"parsleyport/io/distribution"
	"parsleyport/io/settings"
)

// quotaDeployment runs three control instances and the limiters of some nodes over loopback connections.
type quotaDeployment struct {
	c        *qt.C
	members  []settings.Member
	parts    map[core.ControlID]control.Parts
	stops    map[core.ControlID]func()
	limiters []*quotaLimiter
	records  []core.Record
}

func newQuotaDeployment(c *qt.C, nodes int) *quotaDeployment {
	d := &quotaDeployment{c: c, parts: make(map[core.ControlID]control.Parts), stops: make(map[core.ControlID]func())}
	for i := range 3 {
		d.members = append(d.members, settings.Member{
			ID: core.ControlID(fmt.Sprintf("c%d", i+1)), DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i+1)),
			OperatorAddress: freeAddress(c), PeerAddress: freeAddress(c), NodeAddress: freeAddress(c),
		})
	}
	for _, member := range d.members {
		d.startControl(member)
	}
	c.Cleanup(func() {
		for _, stop := range d.stops {
			stop()
		}
	})
	for i := range nodes {
		d.startNode(core.NodeID(fmt.Sprintf("n%d", i+1)))
	}
	return d
}

func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

func (d *quotaDeployment) startControl(member settings.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	started, ended := make(chan control.Parts, 1), make(chan error, 1)
	go func() {
		ended <- control.RunWith(ctx, settings.Control{
			ID: member.ID, DataCentre: member.DataCentre, DataFolder: d.c.TempDir(), OperatorAddress: member.OperatorAddress,
			PeerAddress: member.PeerAddress, NodeAddress: member.NodeAddress, Bootstrap: true, Members: d.members,
			DirectNodes: 64, Limits: settings.DefaultLimits(),
		}, control.Options{Serve: func(parts control.Parts) (func(), error) {
			started <- parts
			return func() {}, nil
		}}, zerolog.Nop())
	}()
	select {
	case d.parts[member.ID] = <-started:
	case err := <-ended:
		d.c.Fatal(err)
	}
	d.stops[member.ID] = func() {
		cancel()
		<-ended
	}
}

func (d *quotaDeployment) startNode(id core.NodeID) {
	p := &process{
		settings:    settings.Node{ID: id},
		incarnation: core.Incarnation(time.Now().UnixNano()),
		log:         zerolog.Nop(),
		metrics:     metrics.NewSet(),
	}
	subscriber, stop, err := distribution.NewSubscriber(distribution.SubscriberOptions{
		ID: id, Incarnation: p.incarnation, DataCentre: "dc-1", RelayAddress: freeAddress(d.c),
		ControlAddresses: lo.Map(d.members, func(m settings.Member, _ int) string { return m.NodeAddress }),
		Logger:           zerolog.Nop(),
	})
	d.c.Assert(err, qt.IsNil)
	limiter := p.newQuotaLimiter(subscriber)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { limiter.run(ctx) })
	d.c.Cleanup(func() {
		cancel()
		tasks.Wait()
		stop()
	})
	d.limiters = append(d.limiters, limiter)
}

func (d *quotaDeployment) eventually(limit time.Duration, what string, holds func() bool) {
	d.c.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.c.Fatalf("after %v: %s", limit, what)
		}
	}
}

// setTenant brings a tenant with a limit into force at all nodes.
func (d *quotaDeployment) setTenant(name string, rate, burst int64) {
	body, err := json.Marshal(core.TenantBody{APIKeys: []string{"key-of-" + name}, RatePerS: rate, Burst: burst})
	d.c.Assert(err, qt.IsNil)
	version := core.RecordVersion(1 + lo.CountBy(d.records, func(r core.Record) bool { return r.Name == name }))
	d.records = append(d.records, core.Record{Kind: core.KindTenant, Name: name, SchemaVersion: 1, Version: version, Body: body})
	command, err := catalog.EncodeSubmit(time.Now(), 0, core.Submission{
		ID: core.SubmissionID(fmt.Sprintf("%s-%d", name, version)), Operator: "test", Records: d.records[len(d.records)-1:],
	})
	d.c.Assert(err, qt.IsNil)
	d.eventually(15*time.Second, "the tenant is stored", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		result, err := d.parts[d.leader()].Replicator.Propose(ctx, command)
		if err != nil {
			return false
		}
		verdict, err := catalog.DecodeVerdict(result)
		return err == nil && verdict.Result == catalog.Accepted
	})
	d.eventually(15*time.Second, "the limit is in force", func() bool {
		return lo.EveryBy(d.limiters, func(q *quotaLimiter) bool {
			body, known := q.configuration().Tenant(core.TenantID(name))
			return known && body.RatePerS == rate
		})
	})
}

func (d *quotaDeployment) leader() core.ControlID {
	for id := range d.stops {
		if leader := d.parts[id].Replicator.Status().Leader; d.stops[leader] != nil {
			return leader
		}
	}
	return d.members[0].ID
}

// take sends requests of a tenant to all nodes at a rate in requests per second and returns how many were admitted, and how many were
// refused by cause.
func (d *quotaDeployment) take(tenant core.TenantID, perSecond int, length time.Duration) (admitted int, refused map[core.RefusalCause]int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	refused = make(map[core.RefusalCause]int)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		<-ticker.C
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, refusal := d.limiters[i%len(d.limiters)].Take(ctx, tenant)
			mu.Lock()
			defer mu.Unlock()
			if refusal == nil {
				admitted++
				return
			}
			refused[refusal.Cause]++
		})
	}
	calls.Wait()
	return admitted, refused
}

// Guards against units that do not reach the nodes over real connections: a tenant below its limit is served, one above it is refused
// at once with a time, and both go on after the loss of the lender.
func TestQuotasOverRealConnections(t *testing.T) {
	c := qt.New(t)
	d := newQuotaDeployment(c, 4)
	d.setTenant("below", 100, 100)
	d.setTenant("above", 10, 10)
	bound := quota.DefaultSettings().Bound(10, 10)
	settled := func() bool {
		admitted, refused := d.take("below", 50, time.Second)
		return admitted > 0 && len(refused) == 0
	}
	d.eventually(20*time.Second, "requests below the limit are served", settled)

	admitted, refused := d.take("below", 50, 2*time.Second)
	c.Assert(refused, qt.HasLen, 0, qt.Commentf("%d served", admitted))

	admitted, refused = d.take("above", 150, 4*time.Second)
	c.Assert(admitted <= bound, qt.IsTrue, qt.Commentf("%d served, bound %d", admitted, bound))
	c.Assert(admitted > bound/2, qt.IsTrue, qt.Commentf("%d served, bound %d, refused %v", admitted, bound, refused))
	c.Assert(refused[core.CauseQuotaUsed] > 9*refused[core.CauseQuotaUnavailable], qt.IsTrue, qt.Commentf("%v", refused))
	began := time.Now()
	_, refusal := d.limiters[0].Take(context.Background(), "above")
	c.Assert(refusal, qt.Not(qt.IsNil))
	c.Assert(refusal.RetryAfter.After(began), qt.IsTrue)
	c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)

	var served atomic.Int64
	var calls sync.WaitGroup
	calls.Go(func() {
		admitted, refused := d.take("below", 50, 6*time.Second)
		c.Check(admitted > 50*5, qt.IsTrue, qt.Commentf("%d served around the loss of the lender, refused %v", admitted, refused))
		served.Store(int64(admitted))
	})
	time.Sleep(time.Second)
	leader := d.leader()
	d.stops[leader]()
	delete(d.stops, leader)
	calls.Wait()
	d.eventually(20*time.Second, "requests below the limit are served by the next lender", settled)
}
