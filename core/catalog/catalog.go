package catalog

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/record"
)

var (
	_ core.StateMachine = (*Catalog)(nil)
	_ record.Source     = (*Catalog)(nil)
)

// Catalog is the replicated state. Apply and Restore must run on one goroutine; the other methods are safe on any.
type Catalog struct {
	mu                   sync.RWMutex // guards all fields
	configuration        *record.Configuration
	changed              chan struct{}
	lastChanges          map[core.RecordKey]lastChange
	verdicts             verdictHistory
	moves                map[core.MoveID]move
	moveOrder            []core.MoveID // oldest first
	openMoves            map[core.ServiceName]core.MoveID
	moveCount            uint64
	audit                []AuditEntry // the latest entries
	auditCount           uint64       // number of entries ever appended
	archive              Archive      // if nil, older entries are dropped
	rules                core.RulesVersion
	usage                map[string]usage
	deletedNames         map[core.TenantID]int
	ownerships           map[core.RecordKey]ownership // derived owner fields of the records in force; decoding all bodies takes milliseconds
	purgeIntervalEntries uint64                       // constant except in tests
	knownRules           core.RulesVersion            // constant except in tests
	departures           []core.Departure             // oldest first
}

// lastChange describes the newest version of a record. The lastChange of a deleted record is its tombstone: it is kept until
// purgeTombstones drops it, so that a late submission with an old version cannot restore the record.
type lastChange struct {
	Version    core.RecordVersion `msgpack:"version"`
	Submission core.SubmissionID  `msgpack:"submission-id"`
	Operator   core.Operator      `msgpack:"operator"`
	Hash       core.Hash          `msgpack:"hash"`
	Deleted    bool               `msgpack:"deleted"`
	Owner      core.TenantID      `msgpack:"owner,omitempty"`      // tenant that keeps the name, if a limited token deleted the record
	DeletedMS  int64              `msgpack:"deleted-ms,omitempty"` // time of the deletion in Unix milliseconds
}

// New returns a catalog with revision 0 and no records.
func New() *Catalog {
	return &Catalog{
		configuration:        record.Empty(),
		changed:              make(chan struct{}),
		lastChanges:          make(map[core.RecordKey]lastChange),
		verdicts:             newVerdictHistory(),
		moves:                make(map[core.MoveID]move),
		openMoves:            make(map[core.ServiceName]core.MoveID),
		rules:                firstRules,
		purgeIntervalEntries: defaultPurgeIntervalEntries,
		knownRules:           KnownRules,
		usage:                make(map[string]usage),
		deletedNames:         make(map[core.TenantID]int),
		ownerships:           make(map[core.RecordKey]ownership),
	}
}

// NewWithArchive returns a catalog that writes old entries of the audit trail to an archive.
func NewWithArchive(archive Archive) *Catalog {
	c := New()
	c.archive = archive
	return c
}

// Current returns the newest accepted configuration.
func (c *Catalog) Current() *record.Configuration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.configuration
}

// Changed returns a channel that is closed when the current configuration is replaced.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Apply applies one command and returns an encoded Verdict. A command that cannot be decoded changes nothing. Apply returns
// ErrRulesUnknown if the command puts a rules version into force that this program does not know.
func (c *Catalog) Apply(index core.LogIndex, command []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var e envelope
	if err := decode(command, &e); err != nil {
		return encodeVerdict(c.withRevision(refused(CauseMalformed, "command: %v", err)))
	}
	e.At = e.At.UTC()
	if e.Action != ActionRules {
		return encodeVerdict(c.dispatch(index, e))
	}
	verdict, err := c.raiseRules(index, e)
	if err != nil {
		return nil, err
	}
	return encodeVerdict(verdict)
}

func encodeVerdict(verdict Verdict) ([]byte, error) {
	encoded, err := msgpack.Marshal(verdict)
	return encoded, errors.Trace(err)
}

func (c *Catalog) dispatch(index core.LogIndex, e envelope) Verdict {
	switch e.Action {
	case ActionSubmit:
		return decodeAndRun(c, index, e, c.submit)
	case ActionMove:
		return decodeAndRun(c, index, e, c.startMove)
	case ActionAbort:
		return decodeAndRun(c, index, e, c.abortMove)
	case ActionMembers:
		return decodeAndRun(c, index, e, c.recordMembership)
	case ActionStep:
		return c.step(index, e)
	case ActionDepart:
		return c.withRevision(c.depart(e))
	}
	return c.withRevision(refused(CauseMalformed, "unknown action %q", e.Action))
}

// commandSummary identifies an operator's command and lists what it changes, for the audit trail.
type commandSummary struct {
	id       core.SubmissionID
	operator core.Operator
	changes  []string
	owners   []core.TenantID // tenant of each change; empty for changes to the whole deployment
}

type operatorCommand interface {
	core.Submission | core.MoveRequest | Abort | MembershipChange
}

// decodeAndRun answers a resend from the verdict history. Otherwise it runs the command and stores its verdict.
func decodeAndRun[T operatorCommand](c *Catalog, index core.LogIndex, e envelope, run func(envelope, T) Verdict) Verdict {
	var body T
	if err := decode(e.Body, &body); err != nil {
		return c.withRevision(refused(CauseMalformed, "%s: %v", e.Action, err))
	}
	principal := e.principal()
	summary := c.summarize(principal, body)
	if summary.id == "" || summary.operator == "" {
		return c.withRevision(refused(CauseMalformed, "%s: submission-id and operator are needed", e.Action))
	}
	hash := core.Hash(xxhash.Sum64(append([]byte(e.Action), e.Body...)))
	scope := scopeOf(principal, body)
	if earlier, exists := c.verdicts.byID[submissionKey{scope: scope, id: summary.id}]; exists {
		return c.resolveResend(e, earlier, summary, hash)
	}
	if refusal := c.checkPreconditions(e, summary.id, body); refusal != nil {
		return c.withRevision(*refusal)
	}
	if refusal := c.chargeUsage(e, scope, summary.id); refusal != nil {
		return c.withRevision(*refusal)
	}
	verdict := run(e, body)
	if e.Limits != nil { // the verdict history and the audit trail both store the detail
		verdict.Detail = truncate(verdict.Detail)
	}
	verdict.Submission = summary.id
	verdict.At = e.At
	verdict = c.withRevision(verdict)
	c.verdicts.add(pastVerdict{
		Verdict:  verdict,
		Operator: summary.operator,
		Hash:     hash,
		Scope:    scope,
	}, e.Limits != nil)
	// The changes may name another tenant's records, and that tenant must not learn of the attempt.
	if verdict.Cause == CauseNotPermitted {
		summary.owners = slices.Repeat(principal.Tenants[:1], len(summary.changes))
	}
	c.appendAudit(index, e, summary, verdict)
	c.purgeTombstones(e.At)
	return verdict
}

// resolveResend returns the stored verdict, or refuses different content under a used id, for which that verdict would be wrong.
func (c *Catalog) resolveResend(e envelope, earlier pastVerdict, summary commandSummary, hash core.Hash) Verdict {
	if earlier.Hash == hash {
		return earlier.Verdict
	}
	verdict := refused(CauseIDUsed, "submission-id %q was used for another content at %s", summary.id, earlier.Verdict.At.Format(time.RFC3339))
	verdict.Submission, verdict.At = summary.id, e.At
	return c.withRevision(verdict.withWinner(lastChange{
		Submission: summary.id,
		Operator:   earlier.Operator,
		Hash:       earlier.Hash,
	}))
}

func (c *Catalog) withRevision(verdict Verdict) Verdict {
	verdict.Revision = c.configuration.Revision()
	return verdict
}

func (c *Catalog) appendAudit(index core.LogIndex, e envelope, summary commandSummary, verdict Verdict) {
	c.auditCount++
	c.audit = append(c.audit, AuditEntry{
		Index:      index,
		At:         e.At,
		Operator:   summary.operator,
		Token:      e.Token,
		Action:     e.Action,
		Changes:    summary.changes,
		Owners:     summary.owners,
		Submission: summary.id,
		Move:       verdict.Move,
		Result:     verdict.Result,
		Cause:      verdict.Cause,
		Detail:     verdict.Detail,
		Revision:   verdict.Revision,
	})
}

func (c *Catalog) publish(next *record.Configuration) {
	c.configuration = next
	close(c.changed)
	c.changed = make(chan struct{})
}

// buildNext returns the configuration of the next revision, or a refusal.
func (c *Catalog) buildNext(upserts []core.Record, deletes []core.RecordKey, overrides []core.Override) (*record.Configuration, *Verdict) {
	next, err := c.configuration.Change(upserts, deletes, overrides)
	if err == nil {
		return next, nil
	}
	refusal := refused(CauseMalformed, "%v", err)
	if errors.Is(err, record.ErrDangling) {
		refusal.Cause = CauseDangling
	}
	return nil, &refusal
}

func (c *Catalog) summarize(principal Principal, body any) commandSummary {
	switch b := body.(type) {
	case core.Submission:
		return commandSummary{
			id:       b.ID,
			operator: b.Operator,
			changes:  c.describeSubmission(b),
			owners:   c.ownersOf(b),
		}
	case core.MoveRequest:
		return commandSummary{
			id:       b.ID,
			operator: b.Operator,
			changes:  []string{fmt.Sprintf("move service %s from %s to %s by %s", b.Service, b.From, b.To, b.Deadline.UTC().Format(time.RFC3339))},
			owners:   []core.TenantID{ServiceTenant(c.configuration, b.Service)},
		}
	case Abort:
		return commandSummary{
			id:       b.ID,
			operator: b.Operator,
			changes:  []string{fmt.Sprintf("abort %s", b.MoveID)},
			owners:   []core.TenantID{c.abortOwner(principal, b)},
		}
	case MembershipChange:
		return b.summary()
	}
	return commandSummary{}
}

// abortOwner assigns the audit entry to the limited token's own tenant if the token names a move that it must not see.
func (c *Catalog) abortOwner(principal Principal, abort Abort) core.TenantID {
	if owner := ServiceTenant(c.configuration, c.moves[abort.MoveID].Move.Request.Service); principal.CanAccess(owner) {
		return owner
	}
	return principal.Tenants[0]
}

// ownersOf returns the tenant of each line of describeSubmission, as of before the submission.
func (c *Catalog) ownersOf(s core.Submission) []core.TenantID {
	o := newOwnerLookup(c.configuration, s.Records)
	tenants := make([]core.TenantID, 0, len(s.Records)+len(s.Deletes))
	for _, r := range s.Records {
		tenants = append(tenants, o.tenantBefore(r.Kind, r.Name, &r))
	}
	for _, d := range s.Deletes {
		tenants = append(tenants, o.tenantBefore(d.Kind, d.Name, nil))
	}
	return tenants
}

func (c *Catalog) describeSubmission(s core.Submission) []string {
	changes := make([]string, 0, len(s.Records)+len(s.Deletes))
	for _, r := range s.Records {
		changes = append(changes, "set "+describe(r.Key(), r.Version)+c.describeKeyChanges(r.Key(), r.Body))
	}
	for _, d := range s.Deletes {
		changes = append(changes, "delete "+describe(deletionKey(d), d.Version)+c.describeKeyChanges(deletionKey(d), nil))
	}
	return changes
}

// describeKeyChanges states how many API keys a change of a tenant adds and removes. The audit trail holds no keys.
func (c *Catalog) describeKeyChanges(key core.RecordKey, body []byte) string {
	if key.Kind != core.KindTenant {
		return ""
	}
	current, _ := c.configuration.Record(key)
	added, removed := record.KeyChanges(current.Body, body)
	return fmt.Sprintf(", API keys: %d added, %d removed", added, removed)
}

func describe(key core.RecordKey, version core.RecordVersion) string {
	return fmt.Sprintf("%s %s schema %d version %d", key.Kind, key.Name, key.SchemaVersion, version)
}

func deletionKey(d core.Deletion) core.RecordKey {
	return core.RecordKey{
		Kind:          d.Kind,
		Name:          d.Name,
		SchemaVersion: d.SchemaVersion,
	}
}
