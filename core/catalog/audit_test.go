package catalog_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// countingArchive holds batches in memory and counts the reads.
type countingArchive struct {
	firsts  []uint64
	batches [][][]byte
	end     uint64
	reads   int
}

func (a *countingArchive) Append(first uint64, entries [][]byte) error {
	a.firsts, a.batches, a.end = append(a.firsts, first), append(a.batches, entries), first+uint64(len(entries))
	return nil
}

func (a *countingArchive) Missing(_, to uint64) (first, end uint64) { return min(a.end, to), to }

func (a *countingArchive) Batch(number uint64) (first uint64, entries [][]byte, err error) {
	a.reads++
	index := len(a.firsts) - 1
	for a.firsts[index] > number {
		index--
	}
	return a.firsts[index], a.batches[index], nil
}

// Guards against a query with few matches that reads the whole archive at once, and against a cursor that skips or repeats
// entries.
func TestAuditPagesAreBounded(t *testing.T) {
	c := qt.New(t)
	archive := &countingArchive{}
	r := &replica{Catalog: catalog.NewWithArchive(archive)}
	const total = 23_500 // of which the latest 10,000 are in the replicated state
	for i := range total {
		operator := core.Operator("lars")
		if i%10_000 == 7 || i%10_000 == 8 {
			operator = "amina"
		}
		r.submit(c, core.Submission{ID: core.SubmissionID(fmt.Sprint(i)), Operator: operator, Records: []core.Record{newRecord(core.KindService, "orders", core.RecordVersion(i+1), `{"tenant": "a"}`)}})
	}
	_, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	filter := catalog.AuditFilter{Operator: "amina", Limit: 3}
	var found []core.SubmissionID
	for pages := 1; ; pages++ {
		archive.reads = 0
		page, err := r.AuditPage(filter)
		c.Assert(err, qt.IsNil)
		c.Assert(archive.reads <= 10, qt.IsTrue, qt.Commentf("%d batches for one page", archive.reads))
		for _, entry := range page.Entries {
			found = append(found, entry.Submission)
		}
		filter.Before = page.Next
		if page.Next == 0 {
			c.Assert(pages, qt.Equals, 3) // the limit ends the first page, the tenth batch the second one
			break
		}
	}
	c.Assert(found, qt.DeepEquals, []core.SubmissionID{"10008", "20007", "20008", "10007", "7", "8"})
}
