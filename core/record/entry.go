package record

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"parsleyport/core"
)

// entry is a record with its decoded body. Entries are never changed, and all configurations with the same record share its entry.
type entry struct {
	record core.Record
	body   any   // *Route for a route, *tenant for a tenant; nil for kinds and schema versions that this program does not know
	err    error // of decoding the body
}

func newEntry(r core.Record) *entry {
	e := &entry{
		record: r,
	}
	if r.SchemaVersion <= NewestSchema {
		e.body, e.err = decodeBody(r)
	}
	return e
}

func compareKeys(a, b core.RecordKey) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.SchemaVersion, b.SchemaVersion))
}

func findEntry(sorted []*entry, key core.RecordKey) (int, bool) {
	return slices.BinarySearchFunc(sorted, key, func(e *entry, key core.RecordKey) int { return compareKeys(e.record.Key(), key) })
}

// patchEntries returns the sorted entries after upserts and deletes, and the keys that changed, in order. Of several upserts with the
// same key, the last one counts.
func patchEntries(held []*entry, upserts []core.Record, deletes []core.RecordKey) ([]*entry, []core.RecordKey) {
	patches := make([]*entry, 0, len(upserts)+len(deletes)) // without a decoded body; Version 0 stands for a deletion
	for _, key := range deletes {
		patches = append(patches, &entry{
			record: core.Record{
				Kind:          key.Kind,
				Name:          key.Name,
				SchemaVersion: key.SchemaVersion,
			},
			err: errDeleted,
		})
	}
	for _, r := range upserts {
		patches = append(patches, newEntry(r))
	}
	slices.SortStableFunc(patches, func(a, b *entry) int { return compareKeys(a.record.Key(), b.record.Key()) })
	merged := make([]*entry, 0, len(held)+len(upserts))
	changed := make([]core.RecordKey, 0, len(patches))
	for i, patch := range patches {
		key := patch.record.Key()
		if i+1 < len(patches) && patches[i+1].record.Key() == key {
			continue
		}
		at, exists := findEntry(held, key)
		merged = append(merged, held[:at]...)
		held = held[at:]
		if exists {
			held = held[1:]
		}
		if patch.err != errDeleted {
			merged = append(merged, patch)
		}
		changed = append(changed, key)
	}
	return append(merged, held...), changed
}

// errDeleted marks an entry that stands for a deletion.
const errDeleted = errors.ConstError("deleted")

// usedEntry returns the entry of the highest schema version that this program knows among those with a key's kind and name, or nil.
func usedEntry(sorted []*entry, key core.RecordKey) *entry {
	key.SchemaVersion = NewestSchema + 1
	at, _ := findEntry(sorted, key)
	if at == 0 {
		return nil
	}
	if e := sorted[at-1]; e.record.Kind == key.Kind && e.record.Name == key.Name {
		return e
	}
	return nil
}

// isUsed reports whether the entry at a position has the highest schema version that this program knows of its kind and name.
func isUsed(sorted []*entry, at int) bool {
	r := &sorted[at].record
	if r.SchemaVersion > NewestSchema {
		return false
	}
	if at+1 == len(sorted) {
		return true
	}
	next := &sorted[at+1].record
	return next.SchemaVersion > NewestSchema || next.Kind != r.Kind || next.Name != r.Name
}

// changedBodies returns the bodies of a kind that the changes of some keys take out of use and bring into use.
func changedBodies[T any](kind core.Kind, before, after []*entry, changed []core.RecordKey) (removed map[*T]bool, added []*T) {
	removed = make(map[*T]bool)
	for i, key := range changed {
		if key.Kind != kind || i > 0 && changed[i-1].Kind == key.Kind && changed[i-1].Name == key.Name {
			continue
		}
		if e := usedEntry(before, key); e != nil {
			removed[e.body.(*T)] = true
		}
		if e := usedEntry(after, key); e != nil {
			added = append(added, e.body.(*T))
		}
	}
	return removed, added
}

// patchSorted returns a sorted list without some elements and with others, which it sorts; the list itself is unchanged.
func patchSorted[T any](sorted []*T, removed map[*T]bool, added []*T, compare func(a, b *T) int) []*T {
	slices.SortFunc(added, compare)
	patched := make([]*T, 0, len(sorted)-len(removed)+len(added))
	for _, element := range sorted {
		if removed[element] {
			continue
		}
		for len(added) > 0 && compare(added[0], element) < 0 {
			patched = append(patched, added[0])
			added = added[1:]
		}
		patched = append(patched, element)
	}
	return append(patched, added...)
}

// indexEntries decides which lookup tables the changes concern and makes those anew. Records of kinds that a later program version
// added are only forwarded.
func (c *Configuration) indexEntries(changed []core.RecordKey) error {
	concerns := func(kind core.Kind) bool {
		return slices.ContainsFunc(changed, func(key core.RecordKey) bool { return key.Kind == kind })
	}
	services, upstreams, policies := concerns(core.KindService), concerns(core.KindUpstream), concerns(core.KindPolicy)
	if services {
		c.services = make(map[core.ServiceName]core.ServiceBody)
	}
	if upstreams {
		c.upstreams = make(map[core.UpstreamName]core.UpstreamBody)
	}
	if policies {
		c.policies = make(map[core.ServiceName]core.PolicyBody)
	}
	if concerns(core.KindDeclaration) {
		c.declaration = core.DeclarationBody{}
	}
	for at, e := range c.entries {
		if !isUsed(c.entries, at) {
			continue
		}
		r := &e.record
		if e.err != nil {
			return errors.Annotatef(e.err, "%s record %q", r.Kind, r.Name)
		}
		switch body := e.body.(type) {
		case core.ServiceBody:
			if services {
				c.services[core.ServiceName(r.Name)] = body
			}
		case core.UpstreamBody:
			if upstreams {
				c.upstreams[core.UpstreamName(r.Name)] = body
			}
		case core.PolicyBody:
			if !policies {
				continue
			}
			if existing, exists := c.policies[body.Service]; exists && existing.Service != "" {
				return errors.Annotatef(errors.Errorf("service %q has two policies", body.Service), "%s record %q", r.Kind, r.Name)
			}
			c.policies[body.Service] = body
		case core.DeclarationBody:
			c.declaration = body
		}
	}
	return nil
}

// decodeBody returns the decoded body of a record, or nil if this program does not know the kind.
func decodeBody(r core.Record) (any, error) {
	switch r.Kind {
	case core.KindService:
		return decode[core.ServiceBody](r)
	case core.KindUpstream:
		return decode[core.UpstreamBody](r)
	case core.KindPolicy:
		return decode[core.PolicyBody](r)
	case core.KindRoute:
		body, err := decode[core.RouteBody](r)
		return newRoute(core.RouteName(r.Name), body), err
	case core.KindDeclaration:
		return decode[core.DeclarationBody](r)
	case core.KindTenant:
		body, err := decode[core.TenantBody](r)
		return newTenant(r.Name, body), err
	}
	return nil, nil
}

// decode accepts unknown fields, since a later program version may have added fields to a schema version.
func decode[T any](r core.Record) (body T, err error) {
	err = json.Unmarshal(r.Body, &body)
	return body, err
}
