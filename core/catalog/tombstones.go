package catalog

import (
	"time"

	"parsleyport/core"
)

const (
	// TombstoneRetention is the minimum time for which the tombstone of a deleted record is kept. A submission must not be sent
	// again after a longer time, nor be sent for the first time if its version is that old.
	TombstoneRetention = 30 * 24 * time.Hour
	// defaultPurgeIntervalEntries is the number of audit entries between two purges of tombstones. Counting entries instead of
	// time makes all replicas purge at the same entry.
	defaultPurgeIntervalEntries = 1000
)

// purgeTombstones drops the tombstones that no resend can depend on: the deletion is older than TombstoneRetention, and its
// verdict has left the verdict history, as have the verdicts of earlier submissions of its tenant. Until then, a resend is
// answered from the history or refused because of the tombstone. The second condition also protects against a proposer whose
// clock is far ahead.
func (c *Catalog) purgeTombstones(now time.Time) {
	if c.auditCount%c.purgeIntervalEntries != 0 {
		return
	}
	c.purgeUsage(now)
	stored := make(map[core.SubmissionID]bool, len(c.verdicts.byID))
	for key := range c.verdicts.byID {
		stored[key.id] = true
	}
	for key, last := range c.lastChanges {
		if !last.Deleted {
			continue
		}
		if last.DeletedMS == 0 { // restored from a snapshot without deletion times
			last.DeletedMS = now.UnixMilli()
			c.lastChanges[key] = last
		}
		if !stored[last.Submission] && now.Sub(time.UnixMilli(last.DeletedMS)) > TombstoneRetention {
			c.dropLastChange(key)
		}
	}
}
