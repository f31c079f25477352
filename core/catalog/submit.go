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

// plan collects what a submission changes before anything is changed.
type plan struct {
	catalog  *Catalog
	author   core.Submission
	by       Principal
	at       time.Time
	upserts  map[core.RecordKey]core.Record
	deletes  map[core.RecordKey]bool
	stamps   map[core.RecordKey]stamp
	policies map[core.ServiceName]bool // services whose policy changes
}

func (c *Catalog) submit(e envelope, s core.Submission) Verdict {
	if err := checkKeys(s); err != nil {
		return refused(CauseMalformed, "%v", err)
	}
	if refusal := c.permit(e.principal(), s); refusal != nil {
		return *refusal
	}
	p := &plan{
		catalog:  c,
		author:   s,
		by:       e.principal(),
		at:       e.At,
		upserts:  make(map[core.RecordKey]core.Record),
		deletes:  make(map[core.RecordKey]bool),
		stamps:   make(map[core.RecordKey]stamp),
		policies: make(map[core.ServiceName]bool),
	}
	if refusal := p.collect(); refusal != nil {
		return *refusal
	}
	if len(p.stamps) == 0 {
		return Verdict{
			Result:    Accepted,
			Unchanged: true,
		}
	}
	return p.commit(e.Floor)
}

func (p *plan) collect() *Verdict {
	for _, r := range p.author.Records {
		if refusal := p.upsert(r); refusal != nil {
			return refusal
		}
	}
	for _, d := range p.author.Deletes {
		if refusal := p.delete(d); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (p *plan) upsert(r core.Record) *Verdict {
	key := r.Key()
	held, exists := p.catalog.configuration.Record(key)
	if exists && held.Version == r.Version && bytes.Equal(held.Body, r.Body) {
		return nil
	}
	if refusal := p.checkVersion(key, r.Version); refusal != nil {
		return refusal
	}
	r.SinceMS = p.since(key)
	p.upserts[key] = r
	p.stamp(key, r.Version, core.Hash(xxhash.Sum64(r.Body)), false)
	p.notePolicy(r)
	p.notePolicy(held)
	return nil
}

// since returns the time of the first acceptance for the record's SinceMS.
func (p *plan) since(key core.RecordKey) int64 {
	seen := false
	for key.SchemaVersion = 1; key.SchemaVersion <= record.NewestSchema; key.SchemaVersion++ {
		if held, exists := p.catalog.configuration.Record(key); exists {
			return held.SinceMS
		}
		_, deleted := p.catalog.stamps[key]
		seen = seen || deleted
	}
	if seen {
		return 0
	}
	return p.at.UnixMilli()
}

func (p *plan) delete(d core.Deletion) *Verdict {
	key := deletionKey(d)
	s, exists := p.catalog.stamps[key]
	if !exists {
		refusal := refused(CauseNotFound, "%s: there is no such record", describe(key, d.Version))
		return &refusal
	}
	if s.Deleted && s.Version == d.Version {
		return nil
	}
	if refusal := p.checkVersion(key, d.Version); refusal != nil {
		return refusal
	}
	p.deletes[key] = true
	p.stamp(key, d.Version, 0, true)
	held, _ := p.catalog.configuration.Record(key)
	p.keepName(key, held)
	p.notePolicy(held)
	return nil
}

func (p *plan) checkVersion(key core.RecordKey, version core.RecordVersion) *Verdict {
	s, exists := p.catalog.stamps[key]
	if !exists || version > s.Version {
		return nil
	}
	refusal := refused(CauseStaleVersion, "%s: version %d is newer", describe(key, version), s.Version)
	if version == s.Version {
		refusal = refused(CauseEqualVersion, "%s: submission %q by %q set this version first with other content", describe(key, version), s.Submission, s.Operator)
		if s.Deleted {
			refusal = refused(CauseEqualVersion, "%s: submission %q by %q deleted the record with this version", describe(key, version), s.Submission, s.Operator)
		}
	}
	refusal = refusal.against(s)
	return &refusal
}

func (p *plan) stamp(key core.RecordKey, version core.RecordVersion, hash core.Hash, deleted bool) {
	s := stamp{
		Version:    version,
		Submission: p.author.ID,
		Operator:   p.author.Operator,
		Hash:       hash,
		Deleted:    deleted,
	}
	if deleted {
		s.DeletedMS = p.at.UnixMilli()
	}
	p.stamps[key] = s
}

// keepName leaves the name of a deleted record to its tenant. It does so only for limited tokens, which are in use once all
// control instances know owners, so that their states stay equal while the program is being upgraded.
func (p *plan) keepName(key core.RecordKey, held core.Record) {
	if !p.by.IsLimited() {
		return
	}
	s := p.stamps[key]
	s.Owner = newOwners(p.catalog.configuration, nil).record(held)
	if held.Body == nil {
		s.Owner = p.catalog.stamps[key].Owner
	}
	p.stamps[key] = s
}

func (p *plan) notePolicy(r core.Record) {
	if r.Kind != core.KindPolicy {
		return
	}
	var body struct {
		Service core.ServiceName `json:"service"`
	}
	if err := json.Unmarshal(r.Body, &body); err == nil { // record.New reports a broken body
		p.policies[body.Service] = true
	}
}

func (p *plan) commit(floor core.SchemaVersion) Verdict {
	c := p.catalog
	services := lo.Keys(p.policies)
	slices.Sort(services) // so that all replicas name the same move
	for _, service := range services {
		if id, open := c.openMoves[service]; open {
			return moveOpen(id, "move %s of service %q is open; its policy cannot change before the move ends", id, service)
		}
	}
	records := lo.Reject(c.configuration.Records(), func(r core.Record, _ int) bool {
		_, replaced := p.upserts[r.Key()]
		return replaced || p.deletes[r.Key()]
	})
	records = append(records, lo.Values(p.upserts)...)
	overrides := lo.Reject(c.configuration.Overrides(), func(o core.Override, _ int) bool {
		return p.policies[o.Service] || p.endsService(o.Service)
	})
	if err := record.CheckSchemaFloor(records, p.touched, floor); err != nil {
		return refused(CauseSchemaFloor, "%v", err)
	}
	next, refusal := c.build(records, overrides)
	if refusal != nil {
		return *refusal
	}
	if refusal := p.checkMoveTargets(next); refusal != nil {
		return *refusal
	}
	if refusal := p.checkLimits(next); refusal != nil {
		return *refusal
	}
	for key, s := range p.stamps {
		c.setStamp(key, s)
		delete(c.ownerships, key)
	}
	for key, r := range p.upserts {
		c.ownerships[key] = decodeOwner(r)
	}
	c.publish(next)
	return Verdict{
		Result: Accepted,
	}
}

// endsService reports whether the submission deletes a service that has no open move.
func (p *plan) endsService(service core.ServiceName) bool {
	_, open := p.catalog.openMoves[service]
	return !open && p.deletes[core.RecordKey{
		Kind:          core.KindService,
		Name:          string(service),
		SchemaVersion: record.NewestSchema,
	}]
}

// touched reports whether the submission changes any schema version of a kind and name.
func (p *plan) touched(kind core.Kind, name string) bool {
	for key := range p.stamps {
		if key.Kind == kind && key.Name == name {
			return true
		}
	}
	return false
}

// checkMoveTargets keeps both upstreams of an open move, since each of its steps refers to them.
func (p *plan) checkMoveTargets(next *record.Configuration) *Verdict {
	c := p.catalog
	services := lo.Keys(c.openMoves)
	slices.Sort(services) // so that all replicas name the same move
	for _, service := range services {
		id := c.openMoves[service]
		request := c.moves[id].Move.Request
		for _, name := range []core.UpstreamName{request.From, request.To} {
			before, _ := c.configuration.UpstreamOf(service, name)
			after, exists := next.UpstreamOf(service, name)
			if !exists || before.Service != after.Service || before.Release != after.Release {
				refusal := moveOpen(id, "move %s needs upstream %q as it is until the move ends", id, name)
				return &refusal
			}
		}
	}
	return nil
}

func moveOpen(id core.MoveID, format string, args ...any) Verdict {
	refusal := refused(CauseMoveOpen, format, args...)
	refusal.Move = id
	return refusal
}
