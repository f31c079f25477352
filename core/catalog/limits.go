package catalog

import (
	"slices"
	"strings"
	"time"

	"parsleyport/core"
	"parsleyport/core/record"
)

// limitWindow is the time over which submissions are counted; it starts with the first one.
const limitWindow = 24 * time.Hour

// Limits bound what limited tokens submit. They are part of a command, so that a replay decides each command as it was
// decided first, whatever the settings are by then. The first two are for each set of tenants to which a token is limited, the
// others for each tenant.
type Limits struct {
	Submissions  int   `msgpack:"submissions"`   // new submission ids in 24 h
	Bytes        int64 `msgpack:"bytes"`         // of their encoded content in 24 h
	Records      int   `msgpack:"records"`       // in force
	RecordBytes  int64 `msgpack:"record-bytes"`  // of their bodies
	DeletedNames int   `msgpack:"deleted-names"` // of records whose deletion is still remembered
}

// usage counts the submissions since the start of a window.
type usage struct {
	SinceMS     int64 `msgpack:"since-ms"`
	Submissions int   `msgpack:"submissions"`
	Bytes       int64 `msgpack:"bytes"`
}

type scopedUsage struct {
	Scope string `msgpack:"scope"`
	Usage usage  `msgpack:"usage"`
}

// bounded returns the limits that apply to the principal, or nil.
func (p Principal) bounded() *Limits {
	if !p.IsLimited() {
		return nil
	}
	return p.Limits
}

// charge counts a new submission, or refuses it. The refusal is neither remembered nor in the audit trail, both of which it
// protects; the same id can be sent again later.
func (c *Catalog) charge(e envelope, scope string, id core.SubmissionID) *Verdict {
	limits := e.principal().bounded()
	if limits == nil {
		return nil
	}
	after, refusal := c.usageWith(e, scope, *limits)
	if refusal != nil {
		refusal.Submission, refusal.At = id, e.At
		return refusal
	}
	c.usage[scope] = after
	return nil
}

func (c *Catalog) usageWith(e envelope, scope string, limits Limits) (usage, *Verdict) {
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

// OverLimit returns the refusal that a command would get now because its tenants have submitted too much, unless its id is
// remembered. It keeps such commands out of the log; the caller confirms that this state is current, or a resend might get
// the refusal.
func (c *Catalog) OverLimit(command []byte) (Verdict, bool) {
	var e envelope
	if err := decode(command, &e); err != nil || e.principal().bounded() == nil {
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
	if _, exists := c.verdicts.byID[memoryKey{scope: scope, id: body.ID}]; exists {
		return Verdict{}, false
	}
	_, refusal := c.usageWith(e, scope, *e.Limits)
	if refusal == nil {
		return Verdict{}, false
	}
	refusal.Submission, refusal.At = body.ID, e.At
	return c.complete(*refusal), true
}

func shortened(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// hasEnded also ends a window that a proposer whose clock was far ahead has started.
func (u usage) hasEnded(now time.Time) bool {
	return now.Sub(time.UnixMilli(u.SinceMS)).Abs() >= limitWindow
}

func (c *Catalog) forgetUsage(now time.Time) {
	for scope, u := range c.usage {
		if u.hasEnded(now) {
			delete(c.usage, scope)
		}
	}
}

func sortedUsage(all map[string]usage) []scopedUsage {
	var sorted []scopedUsage // nil is left out of a snapshot
	for scope, u := range all {
		sorted = append(sorted, scopedUsage{
			Scope: scope,
			Usage: u,
		})
	}
	slices.SortFunc(sorted, func(a, b scopedUsage) int { return strings.Compare(a.Scope, b.Scope) })
	return sorted
}

// holding is what a tenant has in the replicated state.
type holding struct {
	records      int
	bytes        int64
	deletedNames int
}

// checkLimits refuses a submission that would leave a tenant above a limit with more than it has now.
func (p *plan) checkLimits(next *record.Configuration) *Verdict {
	limits := p.by.bounded()
	if limits == nil {
		return nil
	}
	after := p.holdings(next, p.stamps)
	var before map[core.TenantID]*holding // is needed only above a limit
	for _, tenant := range p.by.Tenants {
		a := after[tenant]
		if a.records <= limits.Records && a.bytes <= limits.RecordBytes && a.deletedNames <= limits.DeletedNames {
			continue
		}
		if before == nil {
			before = p.holdings(p.catalog.configuration, nil)
		}
		b := before[tenant]
		var refusal Verdict
		switch {
		case a.records > max(limits.Records, b.records):
			refusal = refused(CauseRecordLimit, "tenant %q would have %d records, at most %d are allowed", tenant, a.records, limits.Records)
		case a.bytes > max(limits.RecordBytes, b.bytes):
			refusal = refused(CauseRecordLimit, "tenant %q would have record bodies of %d bytes, at most %d are allowed", tenant, a.bytes, limits.RecordBytes)
		case a.deletedNames > max(limits.DeletedNames, b.deletedNames):
			refusal = refused(CauseRecordLimit, "tenant %q would have %d remembered names of deleted records, at most %d are allowed; they are forgotten after %d days", tenant, a.deletedNames, limits.DeletedNames, StampAge/(24*time.Hour))
		default:
			continue
		}
		return &refusal
	}
	return nil
}

// holdings counts what the principal's tenants have in a configuration, with the stamps that the submission changes.
func (p *plan) holdings(configuration *record.Configuration, changed map[core.RecordKey]stamp) map[core.TenantID]*holding {
	c := p.catalog
	held := make(map[core.TenantID]*holding, len(p.by.Tenants))
	for _, tenant := range p.by.Tenants {
		held[tenant] = &holding{
			deletedNames: c.deletedNames[tenant],
		}
	}
	add := func(s stamp, count int) {
		if h, exists := held[s.Owner]; exists && s.Deleted {
			h.deletedNames += count
		}
	}
	for key, s := range changed {
		add(c.stamps[key], -1)
		add(s, 1)
	}
	o := newOwners(configuration, nil)
	for _, r := range configuration.Records() {
		key := r.Key()
		belongs := c.ownerships[key]
		if _, is := changed[key]; is {
			belongs = decodeOwner(r)
		}
		if h, exists := held[o.tenantOf(r, belongs)]; exists {
			h.records++
			h.bytes += int64(len(r.Body))
		}
	}
	return held
}

// setStamp replaces a stamp and counts the names of deleted records.
func (c *Catalog) setStamp(key core.RecordKey, s stamp) {
	c.dropStamp(key)
	c.stamps[key] = s
	if s.Deleted && s.Owner != "" {
		c.deletedNames[s.Owner]++
	}
}

func (c *Catalog) dropStamp(key core.RecordKey) {
	s := c.stamps[key]
	delete(c.stamps, key)
	if !s.Deleted || s.Owner == "" {
		return
	}
	c.deletedNames[s.Owner]--
	if c.deletedNames[s.Owner] == 0 {
		delete(c.deletedNames, s.Owner)
	}
}
