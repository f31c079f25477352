package record

import (
	"bytes"
	"sort"

	"github.com/juju/errors"

	"parsleyport/core"
)

// DeltaFrom returns the delta from an older configuration to c.
func (c *Configuration) DeltaFrom(older *Configuration) Delta {
	delta := Delta{
		FromRevision: older.revision,
		FromHash:     older.hash,
		ToRevision:   c.revision,
		ToHash:       c.hash,
	}
	for _, r := range c.Records() {
		if previous, exists := older.records[r.Key()]; !exists || !recordsEqual(previous, r) {
			delta.Upserts = append(delta.Upserts, r)
		}
	}
	for key := range older.records {
		if _, exists := c.records[key]; !exists {
			delta.Deletes = append(delta.Deletes, key)
		}
	}
	sort.Slice(delta.Deletes, func(i, j int) bool { return keyLess(delta.Deletes[i], delta.Deletes[j]) })
	for _, o := range c.Overrides() {
		if previous, exists := older.overrides[o.Service]; !exists || !overridesEqual(previous, o) {
			delta.Overrides = append(delta.Overrides, o)
		}
	}
	for service := range older.overrides {
		if _, exists := c.overrides[service]; !exists {
			delta.DeleteOverrides = append(delta.DeleteOverrides, service)
		}
	}
	return delta
}

// Apply returns the configuration that results from a delta; c is unchanged. It returns ErrOlder, ErrWrongBase, ErrHashMismatch
// or the errors of New.
func (c *Configuration) Apply(delta Delta) (*Configuration, error) {
	if delta.ToRevision <= c.revision {
		return nil, errors.Annotatef(ErrOlder, "revision %d, the revision in force is %d", delta.ToRevision, c.revision)
	}
	if delta.FromRevision != c.revision || delta.FromHash != c.hash {
		return nil, errors.Annotatef(ErrWrongBase, "delta starts at revision %d, the revision in force is %d", delta.FromRevision, c.revision)
	}
	next, err := build(c, delta.ToRevision, c.patchedRecords(delta), c.patchedOverrides(delta))
	if err != nil {
		return nil, err
	}
	if next.hash != delta.ToHash {
		return nil, errors.Annotatef(ErrHashMismatch, "revision %d", delta.ToRevision)
	}
	return next, nil
}

func (c *Configuration) patchedRecords(delta Delta) map[core.RecordKey]core.Record {
	records := make(map[core.RecordKey]core.Record, len(c.records)+len(delta.Upserts))
	for key, r := range c.records {
		records[key] = r
	}
	for _, key := range delta.Deletes {
		delete(records, key)
	}
	for _, r := range delta.Upserts {
		records[r.Key()] = r
	}
	return records
}

func (c *Configuration) patchedOverrides(delta Delta) map[core.ServiceName]core.Override {
	overrides := make(map[core.ServiceName]core.Override, len(c.overrides)+len(delta.Overrides))
	for service, o := range c.overrides {
		overrides[service] = o
	}
	for _, service := range delta.DeleteOverrides {
		delete(overrides, service)
	}
	for _, o := range delta.Overrides {
		overrides[o.Service] = o
	}
	return overrides
}

func recordsEqual(a, b core.Record) bool {
	return a.Version == b.Version && bytes.Equal(a.Body, b.Body)
}

func overridesEqual(a, b core.Override) bool {
	if a.Move != b.Move || a.From != b.From || a.To != b.To || a.Open != b.Open || len(a.Weights) != len(b.Weights) {
		return false
	}
	for i := range a.Weights {
		if a.Weights[i] != b.Weights[i] {
			return false
		}
	}
	return true
}
