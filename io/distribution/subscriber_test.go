package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyport/core"
)

// Guards against a fresh node that accepts callers before it knows the endpoints, and so refuses calls that others could serve.
func TestEndpointsSignalWaitsForTheEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t)
		defer w.close()
		w.source("c1", w.catalog)
		first := w.subscriber("n1", "c1")
		first.Announce(endpoint("service-0", core.EndpointReady))
		w.eventually(5*time.Second, "attached", first.Confirmed)
		time.Sleep(startupGrace)

		fresh := w.subscriber("n2", "c1")
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
