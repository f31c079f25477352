package nodepeer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

// testCluster is a core.EndpointSource of nodes that can be restarted.
type testCluster struct {
	mu        sync.Mutex
	endpoints [4]core.Endpoint
	networks  map[string]*fakeNetwork // by the address of a run
	accepted  time.Time               // when the service's record was accepted
}

func (cluster *testCluster) dial(ctx context.Context, address string) (net.Conn, error) {
	cluster.mu.Lock()
	n, started := cluster.networks[address]
	cluster.mu.Unlock()
	if !started {
		return nil, net.ErrClosed
	}
	select {
	case <-n.closed:
		return nil, net.ErrClosed
	default:
		return n.dial(ctx, address)
	}
}

func (cluster *testCluster) Endpoints(core.ServiceName) []core.Endpoint {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return slices.Clone(cluster.endpoints[:3])
}

// startNode starts a run of a node. The last node of the cluster is an entry node that holds no keys.
func (cluster *testCluster) startNode(c *qt.C, i int, incarnation core.Incarnation) (*Server, *Claims, func()) {
	address, n := fmt.Sprint(i, "-", incarnation), newFakeNetwork()
	server, stopServer, err := NewServer(ServerOptions{Listener: n})
	c.Assert(err, qt.IsNil)
	dialer, stopDialer, err := NewDialer(DialerOptions{Dial: cluster.dial})
	c.Assert(err, qt.IsNil)
	cluster.mu.Lock()
	cluster.networks[address] = n
	cluster.endpoints[i] = core.Endpoint{Node: core.NodeID(fmt.Sprint(i)), Service: "orders", Address: address, Incarnation: incarnation}
	cluster.mu.Unlock()
	if i < 3 {
		server.SetAnnounced("orders", true)
	}
	claims, stopClaims, err := NewClaims(ClaimsOptions{
		Self: core.NodeID(fmt.Sprint(i)), Incarnation: incarnation, Server: server, Dialer: dialer, Endpoints: cluster,
		Services:     func() []core.ServiceName { return nil }, // claims observe the service
		ServiceSince: func(core.ServiceName) (time.Time, bool) { return cluster.accepted, true },
	})
	c.Assert(err, qt.IsNil)
	stop := sync.OnceFunc(func() { stopClaims(); stopDialer(); stopServer(); n.tasks.Wait() })
	c.Cleanup(stop)
	return server, claims, stop
}

// Guards against a rolling restart after which every holder has lost its keys, so that a resend runs again, waits for stopped
// nodes, or is answered with unknown.
func TestKeysSurviveRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rollingRestart(qt.New(t)) }) // transfers take no time here and so lose none of the ages
}

func rollingRestart(c *qt.C) {
	cluster := &testCluster{networks: make(map[string]*fakeNetwork)}
	var claims [4]*Claims
	var stops [4]func()
	for i := range 4 {
		_, claims[i], stops[i] = cluster.startNode(c, i, 1)
	}
	cluster.accepted = time.Now()
	time.Sleep(time.Second) // nodes that start at the time of a claim do not know whether it was made before
	entry := claims[3]
	first := keyedCall(1)
	verdict, _ := entry.Claim(context.Background(), first)
	c.Assert(verdict, qt.Equals, idempotency.VerdictGranted)
	entry.Settle(context.Background(), first, idempotency.VerdictAnswered, &idempotency.RecordedAnswer{Status: 200, Body: []byte("ok")})

	for i := range 3 {
		c.Assert(claims[i].HandOver(context.Background()), qt.IsNil)
		handedOver := keyedCall(10 + i)
		verdict, _ = entry.Claim(context.Background(), handedOver) // the two other holders are a majority
		c.Assert(verdict, qt.Equals, idempotency.VerdictGranted)
		entry.Settle(context.Background(), handedOver, idempotency.VerdictGranted, nil)
		stops[i]()
		var server *Server
		server, claims[i], stops[i] = cluster.startNode(c, i, 2)
		end := time.Now().Add(restoreTimeout)
		for restored := false; !restored; time.Sleep(restoreRetryInterval) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("node %d has not restored its keys", i))
			server.mu.Lock()
			member, _ := server.membershipAges(time.Now(), "orders")
			restored = !time.Now().Add(-member).After(cluster.accepted)
			server.mu.Unlock()
		}
	}
	resend := keyedCall(1)
	resend.ID = "resend"
	began := time.Now()
	verdict, answer := entry.Claim(context.Background(), resend)
	c.Assert(verdict, qt.Equals, idempotency.VerdictAnswered)
	c.Assert(string(answer.Body), qt.Equals, "ok")
	c.Assert(time.Since(began) < holderTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	verdict, _ = entry.Claim(context.Background(), keyedCall(2))
	c.Assert(verdict, qt.Equals, idempotency.VerdictGranted)
}

// Guards against a newly started entry node that answers keyed calls with unknown, because it treats restarted holders as newly
// joined.
func TestStartedEntryNodeAdoptsHolderAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := &testCluster{networks: make(map[string]*fakeNetwork)}
		var claims [4]*Claims
		var stops [4]func()
		for i := range 4 {
			_, claims[i], stops[i] = cluster.startNode(c, i, 1)
		}
		cluster.accepted = time.Now()
		time.Sleep(time.Second)
		verdict, _ := claims[2].Claim(context.Background(), keyedCall(1)) // node 2 observes the other nodes from now on
		c.Assert(verdict, qt.Equals, idempotency.VerdictGranted)
		time.Sleep(time.Minute)
		for _, i := range []int{0, 1, 3} {
			stops[i]()
			_, claims[i], _ = cluster.startNode(c, i, 2)
		}
		time.Sleep(time.Second)
		verdict, _ = claims[3].Claim(context.Background(), keyedCall(2))
		c.Assert(verdict, qt.Equals, idempotency.VerdictGranted)
	})
}

// Guards against a snapshot that is given to two runs of a node, of which the second would lack the keys granted by the first,
// and against one that is incomplete or too old.
func TestSnapshotIsFetchedByOneRun(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	held := make(heldSnapshots)
	ask := func(r handoverRequest) int {
		r.Node = "n"
		return held.handle(now, &r, false).Parts
	}
	fetch := func(incarnation core.Incarnation) int {
		return ask(handoverRequest{Incarnation: incarnation, Fetch: true})
	}
	c.Assert(ask(handoverRequest{Incarnation: 1, Part: 0, Parts: 2}), qt.Equals, 2)
	c.Assert(fetch(2), qt.Equals, 0) // the second part is missing
	c.Assert(ask(handoverRequest{Incarnation: 1, Part: 1, Parts: 2}), qt.Equals, 2)
	c.Assert(fetch(1), qt.Equals, 0)
	c.Assert(fetch(2), qt.Equals, 2)
	c.Assert(fetch(3), qt.Equals, 0)
	c.Assert(fetch(2), qt.Equals, 2)
	c.Assert(ask(handoverRequest{Incarnation: 2, Part: 0, Parts: 1}), qt.Equals, 1)
	now = now.Add(idempotency.Window + 1)
	c.Assert(fetch(3), qt.Equals, 0)
	c.Assert(held, qt.HasLen, 0)
	c.Assert(held.handle(now, &handoverRequest{Node: "n", Parts: 1}, true).Parts, qt.Equals, 0) // this node is leaving too
	c.Assert(ask(handoverRequest{Parts: 1, Entries: []idempotency.Entry{{Answer: &idempotency.RecordedAnswer{Body: make([]byte, maxSnapshotBytes)}}}}), qt.Equals, 0)
}
