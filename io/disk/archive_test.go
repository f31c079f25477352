package disk_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/disk"
	"parsleyport/io/disk/disktest"
)

// fill applies commands with the numbers from first to before end; each one makes an entry of the audit trail.
func fill(c *qt.C, records *catalog.Catalog, first, end int) {
	for i := first; i < end; i++ {
		command, err := catalog.EncodeAbort(time.Unix(0, 0), catalog.Abort{
			ID:       core.SubmissionID(fmt.Sprint(i)),
			Operator: "amina",
			MoveID:   "m9",
		})
		c.Assert(err, qt.IsNil)
		_, _ = records.Apply(core.LogIndex(i+1), command)
	}
}

func openArchive(c *qt.C, folder disk.Folder) *disk.Archive {
	archive, err := disk.OpenArchive(folder)
	c.Assert(err, qt.IsNil)
	return archive
}

func restored(c *qt.C, folder disk.Folder, snapshot []byte) *catalog.Catalog {
	records := catalog.NewWithArchive(openArchive(c, folder))
	c.Assert(records.Restore(snapshot), qt.IsNil)
	return records
}

// Guards against snapshots that grow with the whole history, and against entries of the audit trail that are lost on the
// way from the replicated state to the archive, also over a crash.
func TestAuditTrailMovesToTheArchive(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	records := catalog.NewWithArchive(openArchive(c, folder))
	const kept, total = 10_000, 12_345
	var snapshot []byte
	for first := 0; first < total; first += 2_500 {
		fill(c, records, first, min(first+2_500, total))
		var err error
		snapshot, err = records.Snapshot()
		c.Assert(err, qt.IsNil)
	}
	folder.Crash(rand.New(rand.NewPCG(1, 1)))
	records = restored(c, folder, snapshot)
	c.Assert(records.Audit(catalog.AuditFilter{}), qt.HasLen, kept)
	all, err := records.AuditAll(catalog.AuditFilter{})
	c.Assert(err, qt.IsNil)
	c.Assert(all, qt.HasLen, total)
	for i, entry := range all {
		c.Assert(entry.Index, qt.Equals, core.LogIndex(i+1))
	}
	latest, err := records.AuditAll(catalog.AuditFilter{Limit: kept + 1})
	c.Assert(err, qt.IsNil)
	c.Assert(latest, qt.DeepEquals, all[total-kept-1:])

	// A new disk holds what the snapshot holds, and says so instead of passing it for everything.
	fresh := restored(c, disktest.NewMemory(), snapshot)
	_, err = fresh.AuditAll(catalog.AuditFilter{})
	c.Assert(errors.Is(err, catalog.ErrAuditIncomplete), qt.IsTrue)
	first, end := fresh.MissingAudit()
	c.Assert([]uint64{first, end}, qt.DeepEquals, []uint64{0, total - kept})
}

// Guards against entries that neither the archive nor the replicated state holds, because a snapshot of the leader that
// is far ahead replaced them.
func TestInstalledSnapshotLosesNoEntries(t *testing.T) {
	c := qt.New(t)
	leader := catalog.New()
	fill(c, leader, 0, 11_000)
	snapshot, err := leader.Snapshot()
	c.Assert(err, qt.IsNil)
	late := catalog.NewWithArchive(openArchive(c, disktest.NewMemory()))
	fill(c, late, 0, 400)
	c.Assert(late.Restore(snapshot), qt.IsNil)
	first, end := late.MissingAudit()
	c.Assert([]uint64{first, end}, qt.DeepEquals, []uint64{400, 1_000})
}

// Guards against a snapshot that drops entries which the archive has failed to store, and against a failed sync that is
// tried again.
func TestFailedArchiveFailsTheSnapshot(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	archive := openArchive(c, folder)
	records := catalog.NewWithArchive(archive)
	fill(c, records, 0, 10_500)
	folder.FailSyncs(true)
	_, err := records.Snapshot()
	c.Assert(errors.Is(err, disk.ErrFailed), qt.IsTrue)
	folder.FailSyncs(false)
	_, err = records.Snapshot()
	c.Assert(errors.Is(err, disk.ErrFailed), qt.IsTrue)
	c.Assert(records.Audit(catalog.AuditFilter{}), qt.HasLen, 10_500)
}

// Guards against entries that are stored twice or changed, against gaps that are not seen, and against damage that
// passes for content.
func TestArchiveKeepsBatches(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	archive := openArchive(c, folder)
	batch := [][]byte{[]byte("a"), []byte("b"), []byte("c")}
	c.Assert(archive.Append(10, batch), qt.IsNil)
	c.Assert(archive.Append(4, batch), qt.IsNil) // a batch from another instance may come later
	for _, overlapping := range []uint64{2, 4, 6, 8, 10, 12} {
		c.Assert(errors.Is(archive.Append(overlapping, batch), errors.AlreadyExists), qt.IsTrue)
	}
	archive = openArchive(c, folder)
	for _, expect := range [][4]uint64{{0, 20, 0, 4}, {4, 20, 7, 10}, {5, 8, 7, 8}, {11, 20, 13, 20}, {10, 13, 13, 13}, {4, 6, 6, 6}} {
		first, end := archive.Missing(expect[0], expect[1])
		c.Assert([]uint64{first, end}, qt.DeepEquals, expect[2:], qt.Commentf("%v", expect))
	}
	first, entries, err := archive.Batch(11)
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.Equals, uint64(10))
	c.Assert(entries, qt.DeepEquals, batch)
	_, _, err = archive.Batch(8)
	c.Assert(errors.Is(err, errors.NotFound), qt.IsTrue)

	folder.Corrupt("audit-00000000000000000010-00000000000000000013", 20)
	_, _, err = archive.Batch(11)
	c.Assert(errors.Is(err, disk.ErrCorrupt), qt.IsTrue)
}
