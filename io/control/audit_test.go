package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/disk"
	"parsleyport/io/disk/disktest"
)

func newTestBackfill(c *qt.C) *backfill {
	archive, err := disk.OpenArchive(disktest.NewMemory())
	c.Assert(err, qt.IsNil)
	b := newBackfill()
	b.archive, b.catalog = archive, catalog.NewWithArchive(archive)
	return b
}

// Guards against an audit trail whose older entries are gone once every instance has been replaced in turn.
func TestBackfillCompletesANewDisk(t *testing.T) {
	c := qt.New(t)
	full, fresh := newTestBackfill(c), newTestBackfill(c)
	const total = 12_500
	for i := range total {
		command, err := catalog.EncodeAbort(time.Unix(0, 0), catalog.Abort{ID: core.SubmissionID(fmt.Sprint(i)), Operator: "amina", MoveID: "m9"})
		c.Assert(err, qt.IsNil)
		_, _ = full.catalog.Apply(core.LogIndex(i+1), command)
	}
	snapshot, err := full.catalog.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(fresh.catalog.Restore(snapshot), qt.IsNil)

	messages := 0
	connect := func(from *backfill, to *backfill) {
		from.send = func(_ core.ControlID, topic string, payload []byte) bool {
			messages++
			to.receive("peer", topic, payload)
			if messages == 2 { // the first entries
				to.receive("peer", topic, payload) // delivered twice
			}
			return true
		}
	}
	connect(full, fresh)
	connect(fresh, full)
	fresh.request("peer")
	for full.inbox.Len()+fresh.inbox.Len() > 0 {
		for _, b := range []*backfill{full, fresh} {
			for b.inbox.Len() > 0 {
				b.handle(<-b.inbox.Items())
			}
		}
	}
	want, err := full.catalog.AuditAll(catalog.AuditFilter{})
	c.Assert(err, qt.IsNil)
	got, err := fresh.catalog.AuditAll(catalog.AuditFilter{})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, total)
	c.Assert(got, qt.DeepEquals, want)
}
