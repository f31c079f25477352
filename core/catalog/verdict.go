package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
)

// Result says whether a command was accepted.
type Result string

// The results of a command.
const (
	Accepted Result = "accepted"
	Refused  Result = "refused"
	// Requested is the result of a membership change in the audit trail before it is decided.
	Requested Result = "requested"
)

// Cause is the kind of a refusal.
type Cause string

// The causes of a refusal.
const (
	CauseMalformed    Cause = "malformed"
	CauseIDUsed       Cause = "submission-id-used"
	CauseEqualVersion Cause = "equal-version"
	CauseStaleVersion Cause = "stale-version"
	CauseNotFound     Cause = "not-found"
	CauseDangling     Cause = "dangling-reference"
	CauseSchemaFloor  Cause = "schema-floor"
	CauseMoveOpen     Cause = "move-open"
	CauseMoveEnded    Cause = "move-ended"
	CauseWrongStep    Cause = "wrong-step"
	CauseNotPermitted Cause = "not-permitted" // the token is limited to other tenants

	CauseSubmissionLimit Cause = "submission-limit" // too many or too long submissions of the token's tenants; not remembered
	CauseRecordLimit     Cause = "record-limit"     // too many or too long records of a tenant

	CauseExpectation Cause = "expectation"      // a record has another version than the submission builds on; not remembered
	CauseRules       Cause = "rules-not-raised" // a control instance does not know yet how to decide it; not remembered
)

// Winner names the submission that a refused one lost against.
type Winner struct {
	Submission core.SubmissionID  `json:"submission-id" msgpack:"submission-id"`
	Operator   core.Operator      `json:"operator" msgpack:"operator"`
	Version    core.RecordVersion `json:"version,omitempty" msgpack:"version"`
	Hash       string             `json:"hash,omitempty" msgpack:"hash"` // xxhash64 of the content in hexadecimal digits
	Deleted    bool               `json:"deleted,omitempty" msgpack:"deleted,omitempty"`
}

// Verdict is the result of a command; resends of a submission get the same one.
type Verdict struct {
	Submission core.SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Result     Result            `json:"result" msgpack:"result"`
	Unchanged  bool              `json:"unchanged,omitempty" msgpack:"unchanged"` // accepted, but it was in force already
	Revision   core.Revision     `json:"revision" msgpack:"revision"`             // newest revision after the command
	Cause      Cause             `json:"cause,omitempty" msgpack:"cause"`
	Detail     string            `json:"detail,omitempty" msgpack:"detail"`
	Winner     *Winner           `json:"winner,omitempty" msgpack:"winner"`
	Move       core.MoveID       `json:"move-id,omitempty" msgpack:"move-id"`
	At         time.Time         `json:"at" msgpack:"at"`
}

// DecodeVerdict decodes the result of Catalog.Apply; it returns a decoding error.
func DecodeVerdict(result []byte) (Verdict, error) {
	var verdict Verdict
	if err := decode(result, &verdict); err != nil {
		return Verdict{}, errors.Annotate(err, "decode verdict")
	}
	verdict.At = verdict.At.UTC()
	return verdict, nil
}

func refused(cause Cause, format string, args ...any) Verdict {
	return Verdict{
		Result: Refused,
		Cause:  cause,
		Detail: fmt.Sprintf(format, args...),
	}
}

func (v Verdict) withWinner(s lastChange) Verdict {
	v.Winner = &Winner{
		Submission: s.Submission,
		Operator:   s.Operator,
		Version:    s.Version,
		Deleted:    s.Deleted,
	}
	if !s.Deleted { // a deletion has no content
		v.Winner.Hash = formatHash(s.Hash)
	}
	return v
}

func formatHash(hash core.Hash) string {
	return fmt.Sprintf("%016x", uint64(hash))
}

// maxVerdicts is the number of latest submissions whose verdicts are remembered.
const maxVerdicts = 100_000

// remembered is a verdict with what identifies the content of its submission.
type pastVerdict struct {
	Verdict  Verdict       `msgpack:"verdict"`
	Operator core.Operator `msgpack:"operator"`
	Hash     core.Hash     `msgpack:"hash"`
	Scope    string        `msgpack:"scope,omitempty"`

	sequence uint64 // counts on in the order in which verdicts were given
}

func (r pastVerdict) key() submissionKey {
	return submissionKey{
		scope: r.Scope,
		id:    r.Verdict.Submission,
	}
}

// submissionKey identifies a submission; each set of tenants to which a token is limited has its own ids.
type submissionKey struct {
	scope string
	id    core.SubmissionID
}

// memory holds the latest verdicts.
type verdictHistory struct {
	byID    map[submissionKey]pastVerdict
	byScope map[string][]submissionKey // oldest first
	count   uint64                     // of all verdicts ever
	limit   int
}

func newVerdictHistory() verdictHistory {
	return verdictHistory{
		byID:    make(map[submissionKey]pastVerdict),
		byScope: make(map[string][]submissionKey),
		limit:   maxVerdicts,
	}
}

// add remembers a verdict. A full memory forgets the oldest one of the scope with the most if it is shared fairly, so that no
// scope loses one while it has less than its share; commands from before there were limits forget the oldest one of all.
func (h *verdictHistory) add(r pastVerdict, fair bool) {
	h.count++
	r.sequence = h.count
	h.byID[r.key()] = r
	h.byScope[r.Scope] = append(h.byScope[r.Scope], r.key())
	if len(h.byID) > h.limit {
		h.evictOldest(h.scopeToEvict(fair))
	}
}

func (h *verdictHistory) scopeToEvict(fair bool) string {
	var foundScope string
	for scope, keys := range h.byScope {
		foundKeys := h.byScope[foundScope]
		older := len(foundKeys) == 0 || h.byID[keys[0]].sequence < h.byID[foundKeys[0]].sequence
		if (!fair || len(keys) == len(foundKeys)) && older || fair && len(keys) > len(foundKeys) {
			foundScope = scope
		}
	}
	return foundScope
}

func (h *verdictHistory) evictOldest(scope string) {
	keys := h.byScope[scope]
	delete(h.byID, keys[0])
	h.byScope[scope] = keys[1:]
	if len(keys) == 1 {
		delete(h.byScope, scope)
	}
}

// all returns the verdicts, oldest first.
func (h *verdictHistory) all() []pastVerdict {
	return slices.SortedFunc(maps.Values(h.byID), func(a, b pastVerdict) int { return cmp.Compare(a.sequence, b.sequence) })
}
