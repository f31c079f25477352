package nodepeer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/io/frame"
)

// fixedEndpoints is a core.EndpointSource with the same endpoints for all services.
type fixedEndpoints []core.Endpoint

func (l fixedEndpoints) Endpoints(core.ServiceName) []core.Endpoint { return l }

// newTestClaims returns the claims of an entry node that is itself a holder.
func newTestClaims(t *testing.T, pair *testPair, endpoints fixedEndpoints) *Claims {
	own := newFakeNetwork()
	server, stop, err := NewServer(ServerOptions{Listener: own, Backend: pair.backend})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	server.SetAnnounced("orders", true)
	claims, stopClaims, err := NewClaims(ClaimsOptions{
		Self: "entry", Server: server, Dialer: pair.dialer, Endpoints: endpoints,
		Services:     func() []core.ServiceName { return []core.ServiceName{"orders"} },
		ServiceSince: func(core.ServiceName) (time.Time, bool) { return time.Now(), true },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopClaims)
	return claims
}

func keyedCall(i int) *core.Call {
	call := callFor(fmt.Sprint(i), nil)
	call.Service, call.IdempotencyKey = "orders", core.IdempotencyKey(fmt.Sprint("key-", i))
	return call
}

// Guards against every keyed call waiting for a holder that does not reply, and against a holder that is never asked again
// although it replies again.
func TestOnlyFirstClaimWaitsForUnresponsiveHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newTestPair(t, 1)
		pair.server.SetAnnounced("orders", true)
		var silent, asked atomic.Int64
		pair.network.actionFor = func(_ int, direction bool, kind frame.Type) frameAction {
			if direction == toServer && kind == typeKey {
				asked.Add(1)
			}
			if direction == toDialer && silent.Load() > 0 {
				return blackhole
			}
			return pass
		}
		claims := newTestClaims(t, pair, fixedEndpoints{{Node: "entry", Service: "orders"}, {Node: "b", Address: "b", Service: "orders"}})
		claim := func(n int) time.Duration {
			began := time.Now()
			_, _ = claims.Claim(context.Background(), keyedCall(n))
			return time.Since(began)
		}
		time.Sleep(time.Second)
		c.Assert(claim(0), qt.Equals, time.Duration(0))
		silent.Store(1)
		c.Assert(claim(1) >= holderTimeout, qt.IsTrue)
		for n := range 20 {
			c.Assert(claim(2+n), qt.Equals, time.Duration(0))
			time.Sleep(300 * time.Millisecond) // the holder is probed meanwhile
		}
		silent.Store(0)
		time.Sleep(5 * time.Second)
		before := asked.Load()
		c.Assert(claim(30), qt.Equals, time.Duration(0))
		c.Assert(asked.Load() > before, qt.IsTrue)
	})
}

// Guards against an entry node that treats a holder as newly joined because it saw it a moment after the service was accepted.
// After a crash of that holder, another node would take its place.
func TestInitialNodeOfServiceCountsAsRestarted(t *testing.T) {
	c := qt.New(t)
	began := time.Now().Add(-time.Minute)
	claims := &Claims{options: ClaimsOptions{ServiceSince: func(core.ServiceName) (time.Time, bool) { return began, true }}}
	restarted := holderReply{keyReply: keyReply{MembershipUS: 1}, reached: true, receivedAt: time.Now()}
	for _, late := range []time.Duration{0, 1} {
		holder := idempotency.Holder{FirstSeen: began.Add(idempotency.JoinLag + late), RecentlyJoined: true}
		reply := claims.interpret(restarted, holder, "orders")
		c.Assert(reply.Restarted, qt.Equals, late == 0)
		c.Assert(reply.RecentlyJoined, qt.Equals, late != 0)
	}
}
