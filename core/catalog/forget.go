package catalog

import (
	"time"

	"parsleyport/core"
)

const (
	// StampAge is how long the stamp of a deleted record is kept at least. A submission must not be sent again, or for the
	// first time with an old version, after a longer time.
	StampAge = 30 * 24 * time.Hour
	// forgetEvery is the number of audit entries between two searches for stamps to forget. They are counted and not timed, so
	// that all replicas forget at the same entry.
	forgetEvery = 1000
)

// forgetStamps drops the stamps of deleted records once no resend can bring an older version back: the deletion is older
// than StampAge, and its verdict has left the memory, as have those of its tenant's submissions before it. Until then, a resend
// is answered from memory or refused by the stamp. The memory also protects against a proposer whose clock is far ahead.
func (c *Catalog) forgetStamps(now time.Time) {
	if c.auditCount%c.forgetEvery != 0 {
		return
	}
	c.forgetUsage(now)
	remembered := make(map[core.SubmissionID]bool, len(c.verdicts.byID))
	for key := range c.verdicts.byID {
		remembered[key.id] = true
	}
	for key, s := range c.stamps {
		if !s.Deleted {
			continue
		}
		if s.DeletedMS == 0 { // of a snapshot from before this rule
			s.DeletedMS = now.UnixMilli()
			c.stamps[key] = s
		}
		if !remembered[s.Submission] && now.Sub(time.UnixMilli(s.DeletedMS)) > StampAge {
			c.dropStamp(key)
		}
	}
}
