package catalog

import (
	"time"

	"parsleyport/core"
)

// AuditEntry is one line of the audit trail; entries are appended and never change.
type AuditEntry struct {
	Index      core.LogIndex     `json:"index" msgpack:"index"`
	At         time.Time         `json:"at" msgpack:"at"`
	Operator   core.Operator     `json:"operator,omitempty" msgpack:"operator"` // empty for the steps of a move
	Action     Action            `json:"action" msgpack:"action"`
	What       []string          `json:"what" msgpack:"what"`
	Submission core.SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Move       core.MoveID       `json:"move-id,omitempty" msgpack:"move-id"`
	Result     Result            `json:"result" msgpack:"result"`
	Cause      Cause             `json:"cause,omitempty" msgpack:"cause"`
	Detail     string            `json:"detail,omitempty" msgpack:"detail"`
	Revision   core.Revision     `json:"revision" msgpack:"revision"`
}

// AuditFilter selects entries of the audit trail; zero fields select all.
type AuditFilter struct {
	Operator   core.Operator
	Submission core.SubmissionID
	Move       core.MoveID
	Since      time.Time
	Limit      int // the latest entries up to this number
}

func (f AuditFilter) matches(e AuditEntry) bool {
	if f.Operator != "" && f.Operator != e.Operator {
		return false
	}
	if f.Submission != "" && f.Submission != e.Submission {
		return false
	}
	if f.Move != "" && f.Move != e.Move {
		return false
	}
	return !e.At.Before(f.Since)
}

// Audit returns the matching entries of the audit trail, oldest first.
func (c *Catalog) Audit(filter AuditFilter) []AuditEntry {
	c.mu.RLock()
	trail := c.audit // entries below its length never change
	c.mu.RUnlock()
	found := make([]AuditEntry, 0)
	for i := len(trail) - 1; i >= 0 && (filter.Limit == 0 || len(found) < filter.Limit); i-- {
		if filter.matches(trail[i]) {
			found = append(found, trail[i])
		}
	}
	for i, j := 0, len(found)-1; i < j; i, j = i+1, j-1 {
		found[i], found[j] = found[j], found[i]
	}
	return found
}
