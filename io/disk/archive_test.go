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

// applyAborts applies commands numbered from first to before end. Each one adds one audit entry.
func applyAborts(c *qt.C, records *catalog.Catalog, first, end int) {
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

func restoreCatalog(c *qt.C, folder disk.Folder, snapshot []byte) *catalog.Catalog {
	records := catalog.NewWithArchive(openArchive(c, folder))
	c.Assert(records.Restore(snapshot), qt.IsNil)
	return records
}

// Guards against snapshots that grow with the whole audit history, and against audit entries that are lost when they move
// from the replicated state to the archive, also when the process crashes.
func TestAuditTrailMovesToTheArchive(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	records := catalog.NewWithArchive(openArchive(c, folder))
	const kept, total = 10_000, 12_345
	var snapshot []byte
	for first := 0; first < total; first += 2_500 {
		applyAborts(c, records, first, min(first+2_500, total))
		var err error
		snapshot, err = records.Snapshot()
		c.Assert(err, qt.IsNil)
	}
	folder.Crash(rand.New(rand.NewPCG(1, 1)))
	records = restoreCatalog(c, folder, snapshot)
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

	// An instance with a new disk has only the entries in the snapshot, and reports that older ones are missing.
	fresh := restoreCatalog(c, disktest.NewMemory(), snapshot)
	_, err = fresh.AuditAll(catalog.AuditFilter{})
	c.Assert(errors.Is(err, catalog.ErrAuditIncomplete), qt.IsTrue)
	first, end := fresh.MissingAudit()
	c.Assert([]uint64{first, end}, qt.DeepEquals, []uint64{0, total - kept})
}

// Guards against audit entries that are neither in the archive nor in the replicated state, because a snapshot installed from
// a leader that is far ahead has replaced them.
func TestInstalledSnapshotLosesNoEntries(t *testing.T) {
	c := qt.New(t)
	leader := catalog.New()
	applyAborts(c, leader, 0, 11_000)
	snapshot, err := leader.Snapshot()
	c.Assert(err, qt.IsNil)
	lagging := catalog.NewWithArchive(openArchive(c, disktest.NewMemory()))
	applyAborts(c, lagging, 0, 400)
	c.Assert(lagging.Restore(snapshot), qt.IsNil)
	first, end := lagging.MissingAudit()
	c.Assert([]uint64{first, end}, qt.DeepEquals, []uint64{400, 1_000})
}

// Guards against a snapshot that drops audit entries which the archive has failed to store, and against retrying a failed
// sync.
func TestFailedArchiveWriteFailsTheSnapshot(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	archive := openArchive(c, folder)
	records := catalog.NewWithArchive(archive)
	applyAborts(c, records, 0, 10_500)
	folder.FailSyncs(true)
	_, err := records.Snapshot()
	c.Assert(errors.Is(err, disk.ErrFailed), qt.IsTrue)
	folder.FailSyncs(false)
	_, err = records.Snapshot()
	c.Assert(errors.Is(err, disk.ErrFailed), qt.IsTrue)
	c.Assert(records.Audit(catalog.AuditFilter{}), qt.HasLen, 10_500)
}

// Guards against entries that are stored twice or changed, against gaps that are not reported, and against damaged files that
// are read as valid.
func TestArchiveRefusesOverlapsAndReportsGaps(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	archive := openArchive(c, folder)
	batch := [][]byte{[]byte("a"), []byte("b"), []byte("c")}
	c.Assert(archive.Append(10, batch), qt.IsNil)
	c.Assert(archive.Append(4, batch), qt.IsNil) // batches fetched from another instance may arrive out of order
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
