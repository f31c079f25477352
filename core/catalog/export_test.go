package catalog

import "parsleyport/core"

// SetKnownRules replaces the newest rules version that the program knows.
func (c *Catalog) SetKnownRules(known core.RulesVersion) { c.knownRules = known }

// SetLimits replaces the number of stored verdicts and the number of audit entries between two purges of tombstones.
func (c *Catalog) SetLimits(verdicts int, purgeIntervalEntries uint64) {
	c.verdicts.limit, c.purgeIntervalEntries = verdicts, purgeIntervalEntries
}

// TombstoneCount returns the number of tombstones.
func (c *Catalog) TombstoneCount() int {
	count := 0
	for _, last := range c.lastChanges {
		if last.Deleted {
			count++
		}
	}
	return count
}
