package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Guards against audit entries older than those in the replicated state that are lost after the disk of each control instance
// has been lost and replaced, one after another.
func TestAuditTrailSurvivesLostDisks(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	d.startControls()
	d.leader()
	const entries = 12_000 // the replicated state keeps only the latest 10,000
	client := d.client()
	var nextVersion, failed atomic.Int64
	var submitters sync.WaitGroup
	for range 32 {
		submitters.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			for i := nextVersion.Add(1); i <= entries; i = nextVersion.Add(1) {
				// Concurrent submitters may deliver versions out of order. A stale version is refused, which is an audit entry too.
				if _, err := client.Submit(ctx, serviceSubmission("busy", core.RecordVersion(i))); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	submitters.Wait()
	c.Assert(failed.Load(), qt.Equals, int64(0))
	for i := 1; i <= controlCount; i++ {
		d.wipe(i)
		d.startControl(i)
		d.repair(i)
		d.awaitCondition(fmt.Sprintf("c%d holds the whole audit trail", i), 20*time.Second, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			entries, err := d.client(i).Audit(ctx, catalog.AuditFilter{Submission: "busy-1"})
			return err == nil && len(entries) == 1
		})
	}
}
