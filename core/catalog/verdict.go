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

// Result is the outcome of a command.
type Result string

// The results of a command.
const (
	Accepted Result = "accepted"
	Refused  Result = "refused"
	// Requested is the result of a membership change that has not been decided yet; it occurs in the audit trail only.
	Requested Result = "requested"
)

// Cause is the machine-readable reason of a refusal.
type Cause string

// The causes of a refusal. Refusals marked as not stored do not enter the verdict history: the same submission may be accepted
// later.
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

	CauseSubmissionLimit Cause = "submission-limit" // too many or too large submissions of the token's tenants in 24 h; not stored
	CauseRecordLimit     Cause = "record-limit"     // a tenant would have too many records or too large ones

	CauseExpectation Cause = "expectation"      // an expected version is not in force; not stored
	CauseRules       Cause = "rules-not-raised" // needs a newer rules version; not stored
)

// Winner identifies the earlier submission because of which another one is refused.
type Winner struct {
	Submission core.SubmissionID  `json:"submission-id" msgpack:"submission-id"`
	Operator   core.Operator      `json:"operator" msgpack:"operator"`
	Version    core.RecordVersion `json:"version,omitempty" msgpack:"version"`
	Hash       string             `json:"hash,omitempty" msgpack:"hash"` // xxhash64 of the content in hexadecimal digits
	Deleted    bool               `json:"deleted,omitempty" msgpack:"deleted,omitempty"`
}

// Verdict is the result of a command; resends of a submission get the same verdict.
type Verdict struct {
	Submission core.SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Result     Result            `json:"result" msgpack:"result"`
	Unchanged  bool              `json:"unchanged,omitempty" msgpack:"unchanged"` // accepted, but already in force
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

func (v Verdict) withWinner(earlier lastChange) Verdict {
	v.Winner = &Winner{
		Submission: earlier.Submission,
		Operator:   earlier.Operator,
		Version:    earlier.Version,
		Deleted:    earlier.Deleted,
	}
	if !earlier.Deleted { // a deletion has no content
		v.Winner.Hash = formatHash(earlier.Hash)
	}
	return v
}

func formatHash(hash core.Hash) string {
	return fmt.Sprintf("%016x", uint64(hash))
}

// maxVerdicts is the number of submissions whose verdicts are stored; verdictHistory.add says which ones are evicted.
const maxVerdicts = 100_000

// pastVerdict is a stored verdict with what identifies the content of its submission.
type pastVerdict struct {
	Verdict  Verdict       `msgpack:"verdict"`
	Operator core.Operator `msgpack:"operator"`
	Hash     core.Hash     `msgpack:"hash"`
	Scope    string        `msgpack:"scope,omitempty"`

	sequence uint64 // position in the order of all verdicts
}

func (past pastVerdict) key() submissionKey {
	return submissionKey{
		scope: past.Scope,
		id:    past.Verdict.Submission,
	}
}

// submissionKey identifies a submission; each scope has its own submission ids.
type submissionKey struct {
	scope string
	id    core.SubmissionID
}

// verdictHistory holds the latest verdicts, with which resends are answered.
type verdictHistory struct {
	byID    map[submissionKey]pastVerdict
	byScope map[string][]submissionKey // oldest first
	count   uint64                     // number of verdicts ever added
	limit   int
}

func newVerdictHistory() verdictHistory {
	return verdictHistory{
		byID:    make(map[submissionKey]pastVerdict),
		byScope: make(map[string][]submissionKey),
		limit:   maxVerdicts,
	}
}

// add stores a verdict. If the history is full, fair eviction removes the oldest verdict of the scope with the most verdicts, so
// that no scope below its share loses one. Commands from before limits existed evict the oldest verdict of all.
func (h *verdictHistory) add(past pastVerdict, fair bool) {
	h.count++
	past.sequence = h.count
	h.byID[past.key()] = past
	h.byScope[past.Scope] = append(h.byScope[past.Scope], past.key())
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
