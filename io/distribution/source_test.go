package distribution

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a control instance that has restarted without nodes and still counts with the nodes and the revision that it reported
// before: no further configuration would be reported as in force on all nodes.
func TestRestartedControlInstanceReplacesItsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t)
		defer w.close()
		first := w.source("c1", w.catalog, "c2")
		w.source("c2", w.catalog, "c1")
		node := w.subscriber("n1", "c2")
		w.eventually(5*time.Second, "the node is attached", node.Confirmed)
		w.eventually(5*time.Second, "the node is counted at c1", func() bool { return first.Fleet().Nodes == 1 })
		w.stop("n1")
		w.stop("c2")
		w.source("c2", w.catalog, "c1")
		w.eventually(5*time.Second, "the node is no longer counted", func() bool { return first.Fleet().Nodes == 0 })
	})
}
