package catalog

import (
	"slices"
	"strings"
	"time"

	"parsleyport/core"
	"parsleyport/core/record"
)

// limitWindow is the time over which submissions are counted; a window starts with its first submission.
const limitWindow = 24 * time.Hour

// Limits restrict what limited tokens submit. They are part of a command, so that a replay decides each command as it was
// decided at first, even if the settings have changed. Submissions and Bytes apply to each set of tenants to which a token is
// limited, the other fields to each tenant.
type Limits struct {
	Submissions  int   `msgpack:"submissions"`   // new submission ids in 24 h
	Bytes        int64 `msgpack:"bytes"`         // of their encoded content in 24 h
	Records      int   `msgpack:"records"`       // records in force
	RecordBytes  int64 `msgpack:"record-bytes"`  // total size of the bodies of the records in force
	DeletedNames int   `msgpack:"deleted-names"` // names of deleted records whose tombstones are still kept
}

// usage counts the submissions since the start of a window; SinceMS is in Unix milliseconds.
type usage struct {
	SinceMS     int64 `msgpack:"since-ms"`
	Submissions int   `msgpack:"submissions"`
	Bytes       int64 `msgpack:"bytes"`
}

type scopedUsage struct {
	Scope string `msgpack:"scope"`
	Usage usage  `msgpack:"usage"`
}

// effectiveLimits returns the limits that apply to the principal, or nil.
func (p Principal) effectiveLimits() *Limits {
	if !p.IsLimited() {
		return nil
	}
	return p.Limits
}

// chargeUsage counts a new submission, or refuses it. The refusal is stored neither in the verdict history nor in the audit
// trail, because the limit protects both from growing; the same id can be sent again later.
func (c *Catalog) chargeUsage(e envelope, scope string, id core.SubmissionID) *Verdict {
	limits := e.principal().effectiveLimits()
	if limits == nil {
		return nil
	}
	after, refusal := c.usageAfter(e, scope, *limits)
	if refusal != nil {
		refusal.Submission, refusal.At = id, e.At
		return refusal
	}
	c.usage[scope] = after
	return nil
}

func (c *Catalog) usageAfter(e envelope, scope string, limits Limits) (usage, *Verdict) {
	u := c.usage[scope]
	if u.hasEnded(e.At) {
		u = usage{
			SinceMS: e.At.UnixMilli(),
		}
	}
	end := time.UnixMilli(u.SinceMS).Add(limitWindow).UTC().Format(time.RFC3339)
	u.Submissions++
	u.Bytes += int64(len(e.Body))
	if u.Submissions > limits.Submissions {
		refusal := refused(CauseSubmissionLimit, "the tenants of this token have sent %d submissions in 24 h, at most %d are allowed; send it again after %s", u.Submissions-1, limits.Submissions, end)
		return u, &refusal
	}
	if u.Bytes > limits.Bytes {
		refusal := refused(CauseSubmissionLimit, "the tenants of this token would have sent %d bytes of submissions in 24 h, at most %d are allowed; send it again after %s", u.Bytes, limits.Bytes, end)
		return u, &refusal
	}
	return u, nil
}

// OverLimit returns the refusal that a command would get now because its tenants have submitted too much; it is false if the
// command is within the limits or its id is in the verdict history. Callers use it to keep such commands out of the log. They
// must confirm that this state is current, since otherwise a resend might get the refusal instead of its verdict.
func (c *Catalog) OverLimit(command []byte) (Verdict, bool) {
	var e envelope
	if err := decode(command, &e); err != nil || e.principal().effectiveLimits() == nil {
		return Verdict{}, false
	}
	var body struct {
		ID core.SubmissionID `msgpack:"submission-id"`
	}
	if err := decode(e.Body, &body); err != nil {
		return Verdict{}, false
	}
	scope := e.principal().Scope()
	c.mu.RLock()
	defer c.mu.RUnlock()
	if _, exists := c.verdicts.byID[submissionKey{scope: scope, id: body.ID}]; exists {
		return Verdict{}, false
	}
	_, refusal := c.usageAfter(e, scope, *e.Limits)
	if refusal == nil {
		return Verdict{}, false
	}
	refusal.Submission, refusal.At = body.ID, e.At
	return c.withRevision(*refusal), true
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// hasEnded is also true for a window that starts far in the future, as a proposer whose clock is far ahead may start one.
func (u usage) hasEnded(now time.Time) bool {
	return now.Sub(time.UnixMilli(u.SinceMS)).Abs() >= limitWindow
}

func (c *Catalog) purgeUsage(now time.Time) {
	for scope, u := range c.usage {
		if u.hasEnded(now) {
			delete(c.usage, scope)
		}
	}
}

func sortedUsage(all map[string]usage) []scopedUsage {
	var sorted []scopedUsage // stays nil if empty, so that snapshots omit it
	for scope, u := range all {
		sorted = append(sorted, scopedUsage{
			Scope: scope,
			Usage: u,
		})
	}
	slices.SortFunc(sorted, func(a, b scopedUsage) int { return strings.Compare(a.Scope, b.Scope) })
	return sorted
}

// tenantTotals counts what a tenant has in the replicated state.
type tenantTotals struct {
	records      int
	bytes        int64
	deletedNames int
}

// checkRecordLimits refuses a submission that leaves a tenant above a limit and with more than it has now.
func (cs *changeSet) checkRecordLimits(next *record.Configuration) *Verdict {
	limits := cs.principal.effectiveLimits()
	if limits == nil {
		return nil
	}
	after := cs.totalsByTenant(next, cs.lastChanges)
	var before map[core.TenantID]*tenantTotals // computed only if a limit is exceeded
	for _, tenant := range cs.principal.Tenants {
		a := after[tenant]
		if a.records <= limits.Records && a.bytes <= limits.RecordBytes && a.deletedNames <= limits.DeletedNames {
			continue
		}
		if before == nil {
			before = cs.totalsByTenant(cs.catalog.configuration, nil)
		}
		b := before[tenant]
		var refusal Verdict
		switch {
		case a.records > max(limits.Records, b.records):
			refusal = refused(CauseRecordLimit, "tenant %q would have %d records, at most %d are allowed", tenant, a.records, limits.Records)
		case a.bytes > max(limits.RecordBytes, b.bytes):
			refusal = refused(CauseRecordLimit, "tenant %q would have record bodies of %d bytes, at most %d are allowed", tenant, a.bytes, limits.RecordBytes)
		case a.deletedNames > max(limits.DeletedNames, b.deletedNames):
			refusal = refused(CauseRecordLimit, "tenant %q would have %d remembered names of deleted records, at most %d are allowed; they are forgotten after %d days", tenant, a.deletedNames, limits.DeletedNames, TombstoneRetention/(24*time.Hour))
		default:
			continue
		}
		return &refusal
	}
	return nil
}

// totalsByTenant counts what the principal's tenants have in a configuration, including the submission's last changes.
func (cs *changeSet) totalsByTenant(configuration *record.Configuration, changed map[core.RecordKey]lastChange) map[core.TenantID]*tenantTotals {
	c := cs.catalog
	totals := make(map[core.TenantID]*tenantTotals, len(cs.principal.Tenants))
	for _, tenant := range cs.principal.Tenants {
		totals[tenant] = &tenantTotals{
			deletedNames: c.deletedNames[tenant],
		}
	}
	add := func(change lastChange, count int) {
		if total, exists := totals[change.Owner]; exists && change.Deleted {
			total.deletedNames += count
		}
	}
	for key, change := range changed {
		add(c.lastChanges[key], -1)
		add(change, 1)
	}
	o := newOwnerLookup(configuration, nil)
	for _, r := range configuration.Records() {
		key := r.Key()
		owner := c.ownerships[key]
		if _, isChanged := changed[key]; isChanged {
			owner = decodeOwnership(r)
		}
		if total, exists := totals[o.tenantOfBody(r, owner)]; exists {
			total.records++
			total.bytes += int64(len(r.Body))
		}
	}
	return totals
}

// setLastChange replaces the last change of a record and updates the number of names of deleted records.
func (c *Catalog) setLastChange(key core.RecordKey, change lastChange) {
	c.dropLastChange(key)
	c.lastChanges[key] = change
	if change.Deleted && change.Owner != "" {
		c.deletedNames[change.Owner]++
	}
}

func (c *Catalog) dropLastChange(key core.RecordKey) {
	last := c.lastChanges[key]
	delete(c.lastChanges, key)
	if !last.Deleted || last.Owner == "" {
		return
	}
	c.deletedNames[last.Owner]--
	if c.deletedNames[last.Owner] == 0 {
		delete(c.deletedNames, last.Owner)
	}
}
