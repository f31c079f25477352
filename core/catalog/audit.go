package catalog

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
)

// AuditEntry is one entry of the audit trail. Entries are append-only and never change.
type AuditEntry struct {
	Index      core.LogIndex     `json:"index" msgpack:"index"`
	At         time.Time         `json:"at" msgpack:"at"`
	Operator   core.Operator     `json:"operator,omitempty" msgpack:"operator"`     // empty for the steps of a move
	Token      string            `json:"token,omitempty" msgpack:"token,omitempty"` // name of the operators' token
	Action     Action            `json:"action" msgpack:"action"`
	Changes    []string          `json:"what" msgpack:"what"`
	Owners     []core.TenantID   `json:"tenants,omitempty" msgpack:"owners,omitempty"` // tenant of each of Changes
	Submission core.SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Move       core.MoveID       `json:"move-id,omitempty" msgpack:"move-id"`
	Result     Result            `json:"result" msgpack:"result"`
	Cause      Cause             `json:"cause,omitempty" msgpack:"cause"`
	Detail     string            `json:"detail,omitempty" msgpack:"detail"`
	Revision   core.Revision     `json:"revision" msgpack:"revision"`
}

// AuditFilter selects entries of the audit trail; a zero field does not restrict the selection.
type AuditFilter struct {
	Operator   core.Operator
	Submission core.SubmissionID
	Move       core.MoveID
	Since      time.Time
	Limit      int // maximum number of entries, zero for all; the latest ones are returned
	Viewer     Principal
	Before     uint64 // only entries with a lower number, zero for all
}

// visiblePart returns the entry without the lines that the viewer must not see; it is false if no line is left.
func (f AuditFilter) visiblePart(e AuditEntry) (AuditEntry, bool) {
	if !f.Viewer.IsLimited() || len(e.Owners) != len(e.Changes) {
		return e, !f.Viewer.IsLimited() // entries from before owners were recorded are visible to unlimited tokens only
	}
	changes, owners := make([]string, 0, len(e.Changes)), make([]core.TenantID, 0, len(e.Changes))
	for i, owner := range e.Owners {
		if f.Viewer.CanAccess(owner) {
			changes, owners = append(changes, e.Changes[i]), append(owners, owner)
		}
	}
	if len(changes) < len(e.Changes) {
		e.Detail, e.Submission = "", "" // both may mention the removed lines
	}
	e.Changes, e.Owners = changes, owners
	return e, len(changes) > 0
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

// Archive stores encoded entries of the audit trail permanently, by their number; the first entry ever has number 0.
type Archive interface {
	// Append stores entries, the first of which has the given number, and returns once they are durable.
	Append(first uint64, entries [][]byte) error
	// Missing returns the lowest range of numbers between from and to that is not stored; end is exclusive.
	Missing(from, to uint64) (first, end uint64)
	// Batch returns the stored batch that contains the entry with a number, and the number of the batch's first entry. It
	// returns a NotFound error if the entry is not stored.
	Batch(number uint64) (first uint64, entries [][]byte, err error)
}

const (
	// maxAuditEntries limits the entries in the replicated state and in snapshots; older ones are in the archives only.
	maxAuditEntries = 10_000
	maxBatchEntries = 1_000
	maxBatchBytes   = 1 << 20 // a batch may exceed it by its last entry
	// maxBatchesPerPage limits what one query reads from the archive: at most 10,000 entries, about 10 MB.
	maxBatchesPerPage = 10
)

// ErrAuditIncomplete means that this instance does not hold all older entries of the audit trail, perhaps not yet.
const ErrAuditIncomplete = errors.ConstError("older entries of the audit trail are not on this instance")

// Audit returns the matching entries among those in the replicated state, oldest first.
func (c *Catalog) Audit(filter AuditFilter) []AuditEntry {
	trail, number := c.latestAudit()
	found, _ := filter.collect(make([]AuditEntry, 0), trail, number)
	slices.Reverse(found)
	return found
}

// AuditPage is the result of one query, oldest entry first. Next is the value of AuditFilter.Before for the next page of older
// entries, or zero if there are none. A page may be empty although there is a next one.
type AuditPage struct {
	Entries []AuditEntry `json:"entries"`
	Next    uint64       `json:"next,omitempty"`
}

// AuditAll returns the matching entries among all, oldest first, or ErrAuditIncomplete. It reads without a limit.
func (c *Catalog) AuditAll(filter AuditFilter) ([]AuditEntry, error) {
	limit := filter.Limit
	var found []AuditEntry
	for {
		page, err := c.AuditPage(filter)
		if err != nil {
			return nil, err
		}
		found = append(page.Entries, found...)
		filter.Before, filter.Limit = page.Next, limit-len(found)
		if page.Next == 0 || (limit > 0 && filter.Limit == 0) {
			return found, nil
		}
		filter.Limit = max(filter.Limit, 0) // without a limit the difference is negative; zero means no limit
	}
}

// AuditPage searches from the newest entry backwards, until it has found the filter's limit or has read maxBatchesPerPage
// batches of the archive. It returns ErrAuditIncomplete.
func (c *Catalog) AuditPage(filter AuditFilter) (AuditPage, error) {
	entries, first := c.latestAudit()
	last := first + uint64(len(entries))
	if filter.Before > 0 {
		last = min(last, filter.Before)
	}
	found, next := make([]AuditEntry, 0), last
	if last > first {
		found, next = filter.collect(found, entries[:last-first], first)
	}
	for range maxBatchesPerPage {
		if next == 0 || filter.isFull(found) {
			break
		}
		first, entries, err := c.archivedAudit(next - 1)
		if err != nil {
			return AuditPage{}, err
		}
		found, next = filter.collect(found, entries[:next-first], first)
	}
	slices.Reverse(found)
	return AuditPage{
		Entries: found,
		Next:    next,
	}, nil
}

// latestAudit returns the entries in memory and the number of the first one.
func (c *Catalog) latestAudit() ([]AuditEntry, uint64) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.audit, c.auditCount - uint64(len(c.audit)) // entries below this length never change
}

func (c *Catalog) archivedAudit(number uint64) (uint64, []AuditEntry, error) {
	if c.archive == nil {
		return 0, nil, errors.Annotatef(ErrAuditIncomplete, "entry %d", number)
	}
	first, encoded, err := c.archive.Batch(number)
	if errors.Is(err, errors.NotFound) {
		return 0, nil, errors.Annotatef(ErrAuditIncomplete, "entry %d", number)
	}
	if err != nil {
		return 0, nil, err
	}
	entries := make([]AuditEntry, len(encoded))
	for i := range encoded {
		if err := decode(encoded[i], &entries[i]); err != nil {
			return 0, nil, errors.Annotatef(err, "archived entry %d", first+uint64(i))
		}
		entries[i].At = entries[i].At.UTC()
	}
	return first, entries, nil
}

func (f AuditFilter) isFull(found []AuditEntry) bool {
	return f.Limit > 0 && len(found) >= f.Limit
}

// collect appends the matching entries of trail, newest first, and returns the number of the last entry that it examined. The
// first entry of trail has the number first.
func (f AuditFilter) collect(found, trail []AuditEntry, first uint64) ([]AuditEntry, uint64) {
	for i := len(trail) - 1; i >= 0; i-- {
		if f.isFull(found) {
			return found, first + uint64(i) + 1
		}
		if entry, visible := f.visiblePart(trail[i]); visible && f.matches(entry) {
			found = append(found, entry)
		}
	}
	return found, first
}

// MissingAudit returns the lowest range of entry numbers that this instance does not hold; end is exclusive.
func (c *Catalog) MissingAudit() (first, end uint64) {
	_, number := c.latestAudit()
	if c.archive == nil {
		return number, number
	}
	return c.archive.Missing(0, number)
}

// archiveAudit stores those of the latest entries that the archive does not hold. It runs on the goroutine of Apply.
func (c *Catalog) archiveAudit() error {
	if c.archive == nil {
		return nil
	}
	trail, number := c.latestAudit()
	for {
		first, end := c.archive.Missing(number, number+uint64(len(trail)))
		if first >= end {
			return nil
		}
		batch, err := encodeAudit(trail[first-number : end-number])
		if err != nil {
			return err
		}
		if err := c.archive.Append(first, batch); err != nil {
			return err
		}
	}
}

// encodeAudit encodes entries until a batch is full.
func encodeAudit(entries []AuditEntry) ([][]byte, error) {
	var batch [][]byte
	size := 0
	for _, entry := range entries {
		if len(batch) == maxBatchEntries || size > maxBatchBytes {
			break
		}
		encoded, err := msgpack.Marshal(entry)
		if err != nil {
			return nil, errors.Trace(err)
		}
		batch = append(batch, encoded)
		size += len(encoded)
	}
	return batch, nil
}

func (c *Catalog) trimAudit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if excess := len(c.audit) - maxAuditEntries; excess > 0 {
		c.audit = slices.Clone(c.audit[excess:]) // releases the memory of the older entries
	}
}
