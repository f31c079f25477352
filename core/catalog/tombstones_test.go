package catalog_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Guards against tombstones that are kept forever, against an older version that is restored because its tombstone was purged
// while a resend was still allowed, and against replicas that purge at different entries.
func TestPurgedTombstonesDoNotRestoreRecords(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		c := qt.New(rapidTB{TB: outer, rapidT: t})
		one, other := newReplica(c), newReplica(c)
		verdicts := rapid.IntRange(1, 8).Draw(t, "verdicts")
		one.SetLimits(verdicts, 2)
		other.SetLimits(verdicts, 2)
		type sent struct {
			submission core.Submission
			at         time.Time
		}
		var history []sent
		highest := make(map[core.RecordKey]core.RecordVersion) // ever in force
		versions := make(map[string]core.RecordVersion)
		deletions := make(map[string]time.Time)
		now := start
		apply := func(s core.Submission) {
			command, err := catalog.EncodeSubmit(now, 1, s)
			before := observe(one)
			c.Assert(other.apply(c, command, nil), qt.DeepEquals, one.apply(c, command, err))
			for key, version := range observe(one).versions {
				if _, existedBefore := before.versions[key]; !existedBefore {
					c.Assert(version > highest[key], qt.IsTrue, qt.Commentf("version %d of %q came back after %d", version, key.Name, highest[key]))
				}
				highest[key] = max(highest[key], version)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "submissions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 14*24).Draw(t, "hours")) * time.Hour)
			name := fmt.Sprintf("extra-%d", rapid.IntRange(1, 3).Draw(t, "name"))
			s := core.Submission{ID: core.SubmissionID(fmt.Sprint("s", i)), Operator: "amina"}
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				versions[name]++
				s.Records = []core.Record{upstream(versions[name], name, "v9")}
			case 1:
				versions[name]++
				s.Deletes = []core.Deletion{{Kind: core.KindUpstream, Name: name, SchemaVersion: 1, Version: versions[name]}}
				deletions[name] = now
			case 2: // a resend, with the same or with another id
				recent := history
				for len(recent) > 0 && now.Sub(recent[0].at) > catalog.TombstoneRetention {
					recent = recent[1:]
				}
				if len(recent) == 0 {
					continue
				}
				s = recent[rapid.IntRange(0, len(recent)-1).Draw(t, "resent")].submission
				if rapid.Bool().Draw(t, "other id") {
					s.ID = core.SubmissionID(fmt.Sprint("again-", i))
				}
				apply(s)
				continue
			}
			apply(s)
			history = append(history, sent{submission: s, at: now})
			if rapid.Bool().Draw(t, "snapshot") {
				other = other.restored(c)
				other.SetLimits(verdicts, 2)
			}
		}
		c.Assert(other.TombstoneCount(), qt.Equals, one.TombstoneCount())
		now = now.Add(catalog.TombstoneRetention + time.Hour)
		for i := range verdicts + 2 {
			apply(core.Submission{ID: core.SubmissionID(fmt.Sprint("last-", i)), Operator: "amina", Deletes: []core.Deletion{{Kind: core.KindRoute, Name: "none", SchemaVersion: 1, Version: 1}}})
		}
		c.Assert(one.TombstoneCount(), qt.Equals, 0)
	})
}
