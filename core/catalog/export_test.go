package catalog

import "parsleyport/core"

// SetKnownRules replaces the version of the rules that the program knows.
func (c *Catalog) SetKnownRules(known core.RulesVersion) { c.known = known }

// SetLimits replaces the number of remembered verdicts and of audit entries between two searches for stamps to forget.
func (c *Catalog) SetLimits(verdicts int, forgetEvery uint64) {
	c.verdicts.limit, c.forgetEvery = verdicts, forgetEvery
}

// DeletedStamps returns the number of stamps of deleted records.
func (c *Catalog) DeletedStamps() int {
	count := 0
	for _, s := range c.stamps {
		if s.Deleted {
			count++
		}
	}
	return count
}
