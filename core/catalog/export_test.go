package catalog

import "parsleyport/core"

// SetKnownRules replaces the version of the rules that the program knows.
func (c *Catalog) SetKnownRules(known core.RulesVersion) { c.knownRules = known }

// SetLimits replaces the number of remembered verdicts and of audit entries between two searches for stamps to forget.
func (c *Catalog) SetLimits(verdicts int, forgetEvery uint64) {
	c.verdicts.limit, c.purgeIntervalEntries = verdicts, forgetEvery
}

// TombstoneCount returns the number of stamps of deleted records.
func (c *Catalog) TombstoneCount() int {
	count := 0
	for _, s := range c.lastChanges {
		if s.Deleted {
			count++
		}
	}
	return count
}
