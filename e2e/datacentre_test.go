package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/distribution"
)

// convergenceTarget is the longest time that an accepted change may take to be in force on all nodes.
const convergenceTarget = 14 * time.Second

// processesInDataCentre returns the names of the processes in the data centre of a control instance, in a deployment of six
// nodes.
func processesInDataCentre(control int) []string {
	names := []string{fmt.Sprintf("c%d", control)}
	for _, i := range []int{control, control + controlCount} {
		names = append(names, fmt.Sprintf("n%d", i), fmt.Sprintf("b%d", i))
	}
	return names
}

// Guards against a deployment that stops serving, stops accepting submissions or loses accepted ones when all processes in the
// data centre of the leading control instance are killed at once, and against an older configuration that is served after the
// data centre has recovered.
func TestDataCentreLoss(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	const nodes = 6
	d.startServing(nodes)
	lost := d.leader()
	var others []int
	for i := 1; i <= nodes; i++ {
		if i != lost && i != lost+controlCount {
			others = append(others, i)
		}
	}
	calls := d.startCaller("lost", 12*time.Second, 200, others)
	before := d.submit(d.client(), serviceSubmission("before", 1))
	calls.awaitMoreCalls(100)
	for _, name := range processesInDataCentre(lost) {
		d.signal(name, syscall.SIGKILL)
	}
	for _, name := range processesInDataCentre(lost) {
		d.kill(name)
	}

	after := d.submit(d.client(others[:2]...), serviceSubmission("after", 1))
	c.Assert(after.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", after))
	c.Assert(after.Revision > before.Revision, qt.IsTrue)
	d.awaitCondition("the revision is in force on all other nodes", convergenceTarget, func() bool {
		return lo.EveryBy(others, func(i int) bool { return d.hasInForce(fmt.Sprintf("n%d", i), after.Revision) })
	})

	d.startControl(lost)
	for _, i := range []int{lost, lost + controlCount} {
		d.startNode(i)
		d.startBackend(i, "v1")
	}
	d.awaitCondition("the revision is in force on all nodes", convergenceTarget, func() bool {
		status, err := d.status(d.client())
		return err == nil && status.Fleet.Nodes == nodes && status.Fleet.LowestInForce >= after.Revision
	})
	calls.verify()
	// Only the calls in the 9 slots of each of the two killed backend servers may stay unanswered.
	c.Assert(calls.summary()["ok"].(float64) >= calls.summary()["calls"].(float64)-2*9, qt.IsTrue, qt.Commentf("%v", calls.summary()))
	c.Assert(d.submit(d.client(), serviceSubmission("before", 1)).Revision, qt.Equals, before.Revision)
}

// hasInForce reports whether the given revision or a later one is in force on a node.
func (d *deployment) hasInForce(node string, revision core.Revision) bool {
	status, text := d.get("http://" + d.address(node+"-admin") + "/state")
	var dump struct {
		Distribution distribution.Status `json:"distribution"`
	}
	return status == http.StatusOK && json.Unmarshal(text, &dump) == nil && dump.Distribution.Revision >= revision
}
