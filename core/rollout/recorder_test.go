package rollout_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

var _ core.EvidenceRecorder = (*rollout.Recorder)(nil)

// Guards against calls that are lost or counted twice when many goroutines record at once, and against a wrong latency bucket.
func TestRecorderCountsEachCallOnce(t *testing.T) {
	c := qt.New(t)
	r := rollout.NewRecorder("n1", 5)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 500 {
				r.Record("s", "read", "v1", i%10 == 0, worker == 0, time.Duration(i)*time.Millisecond)
				if i%100 == 0 {
					for _, count := range r.Counts() {
						c.Check(count.Failures <= count.Calls, qt.IsTrue)
					}
				}
			}
		})
	}
	group.Wait()
	counts := r.Counts()
	c.Assert(counts, qt.HasLen, 1)
	c.Assert(counts[0].Node == "n1" && counts[0].Incarnation == 5, qt.IsTrue)
	c.Assert([]uint64{counts[0].Calls, counts[0].Failures, counts[0].Crashes}, qt.DeepEquals, []uint64{4000, 400, 500})
	// Bucket i holds answers below 2^i ms: 0 ms, then 1, 2 to 3, 4 to 7 and so on.
	c.Assert(counts[0].Latency, qt.Equals, [core.LatencyBuckets]uint64{8, 8, 16, 32, 64, 128, 256, 512, 1024, 1952})
}

// Guards against memory use that grows with the number of route names.
func TestRecorderIsBounded(t *testing.T) {
	c := qt.New(t)
	r := rollout.NewRecorder("n1", 5)
	for i := range 6000 {
		r.Record("s", core.RouteName(fmt.Sprint(i)), "v1", false, false, 0)
	}
	c.Assert(len(r.Counts()), qt.Equals, 4096)
	c.Assert(r.Dropped(), qt.Equals, uint64(6000-4096))
	r.Record("s", "0", "v1", false, false, 100*time.Hour)
	c.Assert(r.Dropped(), qt.Equals, uint64(6000-4096))
}
