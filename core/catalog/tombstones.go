package catalog

import (
	"time"

	"parsleyport/core"
)

const (
	// TombstoneRetention is how long the stamp of a deleted record is kept at least. A submission must not be sent again, or for the
	// first time with an old version, after a longer time.
	TombstoneRetention = 30 * 24 * time.Hour
	// defaultPurgeIntervalEntries is the number of audit entries between two searches for stamps to forget. They are counted and not timed, so
	// that all replicas forget at the same entry.
	defaultPurgeIntervalEntries = 1000
)

// purgeTombstones drops the stamps of deleted records once no resend can bring an older version back: the deletion is older
// than TombstoneRetention, and its verdict has left the memory, as have those of its tenant's submissions before it. Until then, a resend
// is answered from memory or refused by the stamp. The memory also protects against a proposer whose clock is far ahead.
func (c *Catalog) purgeTombstones(now time.Time) {
	if c.auditCount%c.purgeIntervalEntries != 0 {
		return
	}
	c.purgeUsage(now)
	remembered := make(map[core.SubmissionID]bool, len(c.verdicts.byID))
	for key := range c.verdicts.byID {
		remembered[key.id] = true
	}
	for key, s := range c.lastChanges {
		if !s.Deleted {
			continue
		}
		if s.DeletedMS == 0 { // of a snapshot from before this rule
			s.DeletedMS = now.UnixMilli()
			c.lastChanges[key] = s
		}
		if !remembered[s.Submission] && now.Sub(time.UnixMilli(s.DeletedMS)) > TombstoneRetention {
			c.dropLastChange(key)
		}
	}
}
