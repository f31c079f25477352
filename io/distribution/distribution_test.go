package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a pair that does not pass configuration, endpoints and acknowledgements on at all.
func TestSourceAndSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t)
		defer w.close()
		source := w.source("c1", w.catalog)
		nodes := w.subscribers(40, "c1")
		w.eventually(14*time.Second, "first revision in force", allAt(nodes, 1))
		w.catalog.set(revision(2))
		w.eventually(time.Second, "second revision in force", allAt(nodes, 2))
		w.eventually(time.Second, "acknowledged", func() bool { return source.Fleet().Lowest == 2 && source.Fleet().Nodes == 40 })
		for _, n := range nodes {
			n.Announce(endpoint("service-0", "ready"))
		}
		w.eventually(3*time.Second, "endpoints at all nodes", func() bool {
			for _, n := range nodes {
				if len(n.Endpoints("service-0")) != 40 {
					return false
				}
			}
			return true
		})
		w.stop("n003")
		w.eventually(3*time.Second, "withdrawn endpoint gone from the source", func() bool { return len(source.Endpoints("service-0")) == 39 })
		for _, n := range nodes {
			c.Check(n.Confirmed(), qt.IsTrue)
		}
	})
}
