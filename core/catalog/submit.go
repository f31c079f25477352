package catalog

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/record"
)

// changeSet collects what a submission changes, so that the submission can be refused before the state changes.
type changeSet struct {
	catalog        *Catalog
	submission     core.Submission
	principal      Principal
	at             time.Time
	upserts        map[core.RecordKey]core.Record
	deletes        map[core.RecordKey]bool
	lastChanges    map[core.RecordKey]lastChange
	policyServices map[core.ServiceName]bool // services whose policy changes
}

func (c *Catalog) submit(e envelope, s core.Submission) Verdict {
	if err := checkKeys(s); err != nil {
		return refused(CauseMalformed, "%v", err)
	}
	if refusal := c.checkPermissions(e.principal(), s); refusal != nil {
		return *refusal
	}
	cs := &changeSet{
		catalog:        c,
		submission:     s,
		principal:      e.principal(),
		at:             e.At,
		upserts:        make(map[core.RecordKey]core.Record),
		deletes:        make(map[core.RecordKey]bool),
		lastChanges:    make(map[core.RecordKey]lastChange),
		policyServices: make(map[core.ServiceName]bool),
	}
	if refusal := cs.collect(); refusal != nil {
		return *refusal
	}
	if len(cs.lastChanges) == 0 {
		return Verdict{
			Result:    Accepted,
			Unchanged: true,
		}
	}
	return cs.commit(e.SchemaFloor)
}

func (cs *changeSet) collect() *Verdict {
	for _, r := range cs.submission.Records {
		if refusal := cs.upsert(r); refusal != nil {
			return refusal
		}
	}
	for _, d := range cs.submission.Deletes {
		if refusal := cs.delete(d); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (cs *changeSet) upsert(r core.Record) *Verdict {
	key := r.Key()
	current, exists := cs.catalog.configuration.Record(key)
	if exists && current.Version == r.Version && bytes.Equal(current.Body, r.Body) {
		return nil
	}
	if refusal := cs.checkVersion(key, r.Version); refusal != nil {
		return refusal
	}
	r.SinceMS = cs.firstAcceptedMS(key)
	cs.upserts[key] = r
	cs.setLastChange(key, r.Version, core.Hash(xxhash.Sum64(r.Body)), false)
	cs.addPolicyService(r)
	cs.addPolicyService(current)
	return nil
}

// firstAcceptedMS returns the record's SinceMS: the time of its first acceptance in Unix milliseconds, or zero if a record of
// this name was deleted before.
func (cs *changeSet) firstAcceptedMS(key core.RecordKey) int64 {
	deletedBefore := false
	for key.SchemaVersion = 1; key.SchemaVersion <= record.NewestSchema; key.SchemaVersion++ {
		if current, exists := cs.catalog.configuration.Record(key); exists {
			return current.SinceMS
		}
		_, deleted := cs.catalog.lastChanges[key]
		deletedBefore = deletedBefore || deleted
	}
	if deletedBefore {
		return 0
	}
	return cs.at.UnixMilli()
}

func (cs *changeSet) delete(d core.Deletion) *Verdict {
	key := deletionKey(d)
	last, exists := cs.catalog.lastChanges[key]
	if !exists {
		refusal := refused(CauseNotFound, "%s: there is no such record", describe(key, d.Version))
		return &refusal
	}
	if last.Deleted && last.Version == d.Version {
		return nil
	}
	if refusal := cs.checkVersion(key, d.Version); refusal != nil {
		return refusal
	}
	cs.deletes[key] = true
	cs.setLastChange(key, d.Version, 0, true)
	current, _ := cs.catalog.configuration.Record(key)
	cs.reserveName(key, current)
	cs.addPolicyService(current)
	return nil
}

func (cs *changeSet) checkVersion(key core.RecordKey, version core.RecordVersion) *Verdict {
	last, exists := cs.catalog.lastChanges[key]
	if !exists || version > last.Version {
		return nil
	}
	refusal := refused(CauseStaleVersion, "%s: version %d is newer", describe(key, version), last.Version)
	if version == last.Version {
		refusal = refused(CauseEqualVersion, "%s: submission %q by %q set this version first with other content", describe(key, version), last.Submission, last.Operator)
		if last.Deleted {
			refusal = refused(CauseEqualVersion, "%s: submission %q by %q deleted the record with this version", describe(key, version), last.Submission, last.Operator)
		}
	}
	refusal = refusal.withWinner(last)
	return &refusal
}

func (cs *changeSet) setLastChange(key core.RecordKey, version core.RecordVersion, hash core.Hash, deleted bool) {
	change := lastChange{
		Version:    version,
		Submission: cs.submission.ID,
		Operator:   cs.submission.Operator,
		Hash:       hash,
		Deleted:    deleted,
	}
	if deleted {
		change.DeletedMS = cs.at.UnixMilli()
	}
	cs.lastChanges[key] = change
}

// reserveName keeps the name of a deleted record for its tenant. It does so only for limited tokens, which come into use once
// all control instances know owners, so that their states stay equal during an upgrade.
func (cs *changeSet) reserveName(key core.RecordKey, current core.Record) {
	if !cs.principal.IsLimited() {
		return
	}
	change := cs.lastChanges[key]
	change.Owner = newOwnerLookup(cs.catalog.configuration, nil).tenantOfRecord(current)
	if current.Body == nil {
		change.Owner = cs.catalog.lastChanges[key].Owner
	}
	cs.lastChanges[key] = change
}

func (cs *changeSet) addPolicyService(r core.Record) {
	if r.Kind != core.KindPolicy {
		return
	}
	var body struct {
		Service core.ServiceName `json:"service"`
	}
	if err := json.Unmarshal(r.Body, &body); err == nil { // record.New reports malformed bodies
		cs.policyServices[body.Service] = true
	}
}

func (cs *changeSet) commit(floor core.SchemaVersion) Verdict {
	c := cs.catalog
	services := lo.Keys(cs.policyServices)
	slices.Sort(services) // so that all replicas name the same move
	for _, service := range services {
		if id, open := c.openMoves[service]; open {
			return moveOpenRefusal(id, "move %s of service %q is open; its policy cannot change before the move ends", id, service)
		}
	}
	overrides := lo.Reject(c.configuration.Overrides(), func(o core.Override, _ int) bool {
		return cs.policyServices[o.Service] || cs.deletesIdleService(o.Service)
	})
	if err := record.CheckSchemaFloor(cs.recordsOfChangedNames(), cs.changes, floor); err != nil {
		return refused(CauseSchemaFloor, "%v", err)
	}
	next, refusal := c.buildNext(lo.Values(cs.upserts), lo.Keys(cs.deletes), overrides)
	if refusal != nil {
		return *refusal
	}
	if refusal := cs.checkOpenMoves(next); refusal != nil {
		return *refusal
	}
	if refusal := cs.checkRecordLimits(next); refusal != nil {
		return *refusal
	}
	for key, change := range cs.lastChanges {
		c.setLastChange(key, change)
		delete(c.ownerships, key)
	}
	for key, r := range cs.upserts {
		c.ownerships[key] = decodeOwnership(r)
	}
	c.publish(next)
	return Verdict{
		Result: Accepted,
	}
}

// recordsOfChangedNames returns the records of all schema versions whose kind and name the submission changes, as they are after it.
func (cs *changeSet) recordsOfChangedNames() []core.Record {
	records := lo.Values(cs.upserts)
	seen := make(map[core.RecordKey]bool, len(cs.lastChanges))
	for key := range cs.lastChanges {
		name := core.RecordKey{
			Kind: key.Kind,
			Name: key.Name,
		}
		if seen[name] {
			continue
		}
		seen[name] = true
		for _, r := range cs.catalog.configuration.RecordsNamed(key.Kind, key.Name) {
			if _, replaced := cs.upserts[r.Key()]; !replaced && !cs.deletes[r.Key()] {
				records = append(records, r)
			}
		}
	}
	return records
}

// deletesIdleService reports whether the submission deletes a service without an open move.
func (cs *changeSet) deletesIdleService(service core.ServiceName) bool {
	_, open := cs.catalog.openMoves[service]
	return !open && cs.deletes[core.RecordKey{
		Kind:          core.KindService,
		Name:          string(service),
		SchemaVersion: record.NewestSchema,
	}]
}

// changes reports whether the submission changes any schema version of a kind and name.
func (cs *changeSet) changes(kind core.Kind, name string) bool {
	for key := range cs.lastChanges {
		if key.Kind == kind && key.Name == name {
			return true
		}
	}
	return false
}

// checkOpenMoves refuses a change to an upstream of an open move, since each step of the move refers to both.
func (cs *changeSet) checkOpenMoves(next *record.Configuration) *Verdict {
	c := cs.catalog
	services := lo.Keys(c.openMoves)
	slices.Sort(services) // so that all replicas name the same move
	for _, service := range services {
		id := c.openMoves[service]
		request := c.moves[id].Move.Request
		for _, name := range []core.UpstreamName{request.From, request.To} {
			before, _ := c.configuration.UpstreamOf(service, name)
			after, exists := next.UpstreamOf(service, name)
			if !exists || before.Service != after.Service || before.Release != after.Release {
				refusal := moveOpenRefusal(id, "move %s needs upstream %q as it is until the move ends", id, name)
				return &refusal
			}
		}
	}
	return nil
}

func moveOpenRefusal(id core.MoveID, format string, args ...any) Verdict {
	refusal := refused(CauseMoveOpen, format, args...)
	refusal.Move = id
	return refusal
}
