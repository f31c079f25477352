package record

import (
	"bytes"
	"slices"

	"github.com/juju/errors"

	"parsleyport/core"
)

// Changes names what differs between two configurations; both lists are sorted.
type Changes struct {
	// Records lists the records that were added, replaced or deleted.
	Records []core.RecordKey
	// Overrides lists the services whose override was added, replaced or deleted.
	Overrides []core.ServiceName
}

// Merge returns what differs after both changes.
func (c Changes) Merge(later Changes) Changes {
	records := append(slices.Clone(c.Records), later.Records...)
	slices.SortFunc(records, compareKeys)
	overrides := append(slices.Clone(c.Overrides), later.Overrides...)
	slices.Sort(overrides)
	return Changes{
		Records:   slices.Compact(records),
		Overrides: slices.Compact(overrides),
	}
}

// ChangesFrom returns what differs between an older configuration and c.
func (c *Configuration) ChangesFrom(older *Configuration) Changes {
	var changes Changes
	before, after := older.entries, c.entries
	for len(before) > 0 || len(after) > 0 {
		order := 0
		switch {
		case len(before) == 0:
			order = 1
		case len(after) == 0:
			order = -1
		case before[0] != after[0]: // configurations share the entries of unchanged records
			order = compareKeys(before[0].record.Key(), after[0].record.Key())
		}
		switch {
		case order < 0:
			changes.Records = append(changes.Records, before[0].record.Key())
			before = before[1:]
		case order > 0:
			changes.Records = append(changes.Records, after[0].record.Key())
			after = after[1:]
		default:
			if before[0] != after[0] && !recordsEqual(before[0].record, after[0].record) {
				changes.Records = append(changes.Records, after[0].record.Key())
			}
			before, after = before[1:], after[1:]
		}
	}
	for service, o := range c.overrides {
		if previous, exists := older.overrides[service]; !exists || !overridesEqual(previous, o) {
			changes.Overrides = append(changes.Overrides, service)
		}
	}
	for service := range older.overrides {
		if _, exists := c.overrides[service]; !exists {
			changes.Overrides = append(changes.Overrides, service)
		}
	}
	slices.Sort(changes.Overrides)
	return changes
}

// DeltaFrom returns the delta from an older configuration to c.
func (c *Configuration) DeltaFrom(older *Configuration) Delta {
	return c.DeltaSince(older.revision, older.hash, c.ChangesFrom(older))
}

// DeltaSince returns the delta from an older configuration with the given revision and hash to c. The changes must name all that
// differs; what they name besides is harmless.
func (c *Configuration) DeltaSince(revision core.Revision, hash core.Hash, changes Changes) Delta {
	delta := Delta{
		FromRevision: revision,
		FromHash:     hash,
		ToRevision:   c.revision,
		ToHash:       c.hash,
	}
	for _, key := range changes.Records {
		if r, exists := c.Record(key); exists {
			delta.Upserts = append(delta.Upserts, r)
		} else {
			delta.Deletes = append(delta.Deletes, key)
		}
	}
	for _, service := range changes.Overrides {
		if o, exists := c.overrides[service]; exists {
			delta.Overrides = append(delta.Overrides, o)
		} else {
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
	next, err := build(c, delta.ToRevision, delta.Upserts, delta.Deletes, c.patchedOverrides(delta))
	if err != nil {
		return nil, err
	}
	if next.hash != delta.ToHash {
		return nil, errors.Annotatef(ErrHashMismatch, "revision %d", delta.ToRevision)
	}
	return next, nil
}

func (c *Configuration) patchedOverrides(delta Delta) map[core.ServiceName]core.Override {
	if len(delta.Overrides) == 0 && len(delta.DeleteOverrides) == 0 {
		return c.overrides
	}
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
	return a.Version == b.Version && a.SinceMS == b.SinceMS && bytes.Equal(a.Body, b.Body)
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
