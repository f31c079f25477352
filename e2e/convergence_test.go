package e2e

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
)

// Guards against an accepted change that takes longer than 1 s, the stated limit, to be in force on 50 nodes.
func TestConfigurationIsInForceOnFiftyNodes(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	const nodes = 50
	d.startControls()
	client := d.client(d.leader())
	for i := 1; i <= nodes; i++ {
		d.startNode(i)
	}
	names := lo.Map(lo.RangeFrom(1, nodes), func(i, _ int) string { return fmt.Sprintf("n%d", i) })
	d.awaitCondition("all nodes are ready", 30*time.Second, func() bool { return lo.EveryBy(names, d.ready) })
	for version := 1; version <= 5; version++ {
		verdict := d.submit(client, transcriptsSubmission(1))
		if version > 1 {
			verdict = d.submit(client, serviceSubmission("extra", core.RecordVersion(version)))
		}
		took := d.awaitCondition("the revision is in force on all nodes", time.Second, func() bool {
			status, err := d.status(client)
			return err == nil && status.Fleet.Nodes == nodes && status.Fleet.LowestInForce >= verdict.Revision
		})
		c.Logf("revision %d in force on %d nodes after %v", verdict.Revision, nodes, took)
	}
}
