package catalog

import (
	"sort"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/record"
)

// snapshotFormat is the version of the snapshot format; Restore refuses others.
const snapshotFormat = 1

type snapshot struct {
	Format      int           `msgpack:"format"`
	Full        record.Full   `msgpack:"configuration"`
	LastChanges []keyedChange `msgpack:"stamps"`
	Verdicts    []pastVerdict `msgpack:"verdicts"`
	Moves       []move        `msgpack:"moves"`
	MoveCount   uint64        `msgpack:"move-count"`
	Audit       []AuditEntry  `msgpack:"audit"` // the latest maxAuditEntries entries

	AuditCount uint64            `msgpack:"audit-count"`     // zero in older snapshots, which hold all entries
	Rules      core.RulesVersion `msgpack:"rules,omitempty"` // zero for the first version and in older snapshots
	Usage      []scopedUsage     `msgpack:"usage,omitempty"`
	Departures []core.Departure  `msgpack:"departures,omitempty"`
}

type keyedChange struct {
	Kind          core.Kind          `msgpack:"kind"`
	Name          string             `msgpack:"name"`
	SchemaVersion core.SchemaVersion `msgpack:"schema-version"`
	Change        lastChange         `msgpack:"stamp"`
}

// Snapshot encodes the whole state; equal states have equal bytes. It archives the audit entries that it leaves out first, and
// returns an error if that fails.
func (c *Catalog) Snapshot() ([]byte, error) {
	if err := c.archiveAudit(); err != nil {
		return nil, errors.Annotate(err, "archive audit trail")
	}
	c.trimAudit()
	c.mu.RLock()
	defer c.mu.RUnlock()
	encoded, err := msgpack.Marshal(snapshot{
		Format:      snapshotFormat,
		Full:        c.configuration.Full(),
		LastChanges: sortedLastChanges(c.lastChanges),
		Verdicts:    c.verdicts.all(),
		Moves:       lo.Map(c.moveOrder, func(id core.MoveID, _ int) move { return c.moves[id] }),
		MoveCount:   c.moveCount,
		Audit:       c.audit,

		AuditCount: c.auditCount,
		Rules:      lo.Ternary(c.rules > firstRules, c.rules, 0),
		Usage:      sortedUsage(c.usage),
		Departures: c.departures,
	})
	return encoded, errors.Trace(err)
}

// Restore replaces the whole state. If it returns an error, the state is unchanged.
func (c *Catalog) Restore(encoded []byte) error {
	var s snapshot
	if err := decode(encoded, &s); err != nil {
		return errors.Annotate(err, "decode snapshot")
	}
	if s.Format != snapshotFormat {
		return errors.Errorf("snapshot has format %d, expected %d", s.Format, snapshotFormat)
	}
	if err := c.checkRules(s.Rules); err != nil {
		return errors.Annotate(err, "snapshot")
	}
	configuration, err := record.FromFull(s.Full)
	if err != nil {
		return errors.Annotate(err, "snapshot")
	}
	restored := New()
	restored.moveCount = s.MoveCount
	restored.rules = max(s.Rules, firstRules)
	for _, k := range s.LastChanges {
		restored.setLastChange(core.RecordKey{
			Kind:          k.Kind,
			Name:          k.Name,
			SchemaVersion: k.SchemaVersion,
		}, k.Change)
	}
	for _, r := range configuration.Records() {
		restored.ownerships[r.Key()] = decodeOwnership(r)
	}
	for _, u := range s.Usage {
		restored.usage[u.Scope] = u.Usage
	}
	for _, r := range s.Verdicts {
		r.Verdict.At = r.Verdict.At.UTC()
		restored.verdicts.add(r, false)
	}
	for _, m := range s.Moves {
		restored.restoreMove(m)
	}
	for _, entry := range s.Audit {
		entry.At = entry.At.UTC()
		restored.audit = append(restored.audit, entry)
	}
	restored.departures = s.Departures
	restored.auditCount = max(s.AuditCount, uint64(len(s.Audit)))
	if err := c.archiveAudit(); err != nil { // the snapshot may start after entries that are only in the state it replaces
		return errors.Annotate(err, "archive audit trail")
	}
	c.replace(restored, configuration)
	return nil
}

func (c *Catalog) restoreMove(m move) {
	m.Move.StartedAt, m.Move.SteppedAt = m.Move.StartedAt.UTC(), m.Move.SteppedAt.UTC()
	m.Move.Request.Deadline = m.Move.Request.Deadline.UTC()
	c.moves[m.Move.MoveID] = m
	c.moveOrder = append(c.moveOrder, m.Move.MoveID)
	if !Ended(m.Move.State) {
		c.openMoves[m.Move.Request.Service] = m.Move.MoveID
	}
}

func (c *Catalog) replace(restored *Catalog, configuration *record.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastChanges, c.verdicts, c.rules = restored.lastChanges, restored.verdicts, restored.rules
	c.deletedNames, c.ownerships, c.usage = restored.deletedNames, restored.ownerships, restored.usage
	c.audit, c.auditCount = restored.audit, restored.auditCount
	c.departures = restored.departures
	c.moves, c.moveOrder, c.openMoves, c.moveCount = restored.moves, restored.moveOrder, restored.openMoves, restored.moveCount
	c.publish(configuration)
}

func sortedLastChanges(changes map[core.RecordKey]lastChange) []keyedChange {
	sorted := make([]keyedChange, 0, len(changes))
	for key, change := range changes {
		sorted = append(sorted, keyedChange{
			Kind:          key.Kind,
			Name:          key.Name,
			SchemaVersion: key.SchemaVersion,
			Change:        change,
		})
	}
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		if a.Name != b.Name {
			return a.Name < b.Name
		}
		return a.SchemaVersion < b.SchemaVersion
	})
	return sorted
}
