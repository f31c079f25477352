package distribution

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a control instance that is back without nodes and still counts with the nodes and the revision that it
// reported before its restart, so that no configuration would be shown as in force everywhere again.
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
		w.eventually(5*time.Second, "no node is counted any more", func() bool { return first.Fleet().Nodes == 0 })
	})
}
