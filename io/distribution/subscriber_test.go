package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyport/core"
)

// Guards against a new node that accepts callers before it knows the endpoints, and so refuses calls that others could serve.
func TestEndpointsSignalWaitsForTheEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newCluster(t)
		defer tc.close()
		tc.source("c1", tc.catalog)
		first := tc.subscriber("n1", "c1")
		first.Announce(endpoint("service-0", core.EndpointReady))
		tc.eventually(5*time.Second, "attached", first.Confirmed)
		time.Sleep(startupGrace)

		fresh := tc.subscriber("n2", "c1")
		<-fresh.EndpointsSignal()
		if len(fresh.Endpoints("service-0")) != 1 {
			t.Fatalf("endpoints %v", fresh.Endpoints("service-0"))
		}

		empty := newCluster(t)
		defer empty.close()
		empty.source("c1", empty.catalog)
		<-empty.subscriber("n1", "c1").EndpointsSignal() // is closed even if there are no endpoints
	})
}
