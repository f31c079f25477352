package stuck_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/stuck"
)

const ms = time.Millisecond

// later runs calls one after another and returns what they show to be stuck, and the time after them.
func later(d *stuck.Detector, now time.Time, n int, ran time.Duration) ([]stuck.ID, time.Time) {
	var found []stuck.ID
	for range n {
		id := d.Begin(now, "r", true)
		now = now.Add(ran)
		for _, each := range d.Complete(now, id) {
			found = append(found, each.ID)
		}
	}
	return found, now
}

// Guards against a call that waits until its deadline although it will never be answered, and against one that is reported only
// because it takes long, because answers that are no work overtake it, or although it must not be repeated.
func TestOnlyCallsThatOthersOvertookForLongAreReported(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	known := func() (*stuck.Detector, time.Time) {
		d := stuck.NewDetector()
		_, now := later(d, start, 50, 120*ms)
		_, now = later(d, now, 5, 300*ms)
		return d, now
	}

	d, now := known()
	hung, unrepeatable := d.Begin(now, "r", true), d.Begin(now, "r", false)
	answered := d.Begin(now, "r", true)
	d.Answered(answered)
	found, now := later(d, now.Add(ms), 3, 140*ms)
	c.Assert(found, qt.HasLen, 0) // 420 ms
	found, now = later(d, now, 4, 140*ms)
	c.Assert(found, qt.DeepEquals, []stuck.ID{hung})
	d.Answered(hung)
	d.Answered(unrepeatable)
	found, _ = later(d, now, 10, 140*ms)
	c.Assert(found, qt.HasLen, 0)

	d, now = known()
	d.Begin(now, "r", true)
	found, _ = later(d, now.Add(2*time.Second), 2, 140*ms)
	c.Assert(found, qt.HasLen, 0, qt.Commentf("two later calls"))

	d, now = known()
	d.Begin(now, "r", true)
	found, _ = later(d, now.Add(2*time.Second), 40, ms)
	c.Assert(found, qt.HasLen, 0, qt.Commentf("answers that are faster than usual"))

	d, now = known()
	before := d.Begin(now, "r", true)
	d.Begin(now.Add(ms), "r", true)
	c.Assert(d.Complete(now.Add(5*time.Second), before), qt.HasLen, 0, qt.Commentf("a call that began before"))

	d = stuck.NewDetector()
	d.Begin(start, "r", true)
	found, _ = later(d, start.Add(ms), 2, time.Second)
	c.Assert(found, qt.HasLen, 0, qt.Commentf("no known runs"))
}
