package catalog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// replica applies commands and checks that a refused command leaves the configuration unchanged.
type replica struct {
	*catalog.Catalog
	index   core.LogIndex
	limits  *catalog.Limits // for submitBy and move
	elapsed time.Duration   // time since start, for submitBy
}

func (r *replica) apply(c *qt.C, command []byte, err error) catalog.Verdict {
	c.Helper()
	c.Assert(err, qt.IsNil)
	before := r.Current()
	r.index++
	result, err := r.Apply(r.index, command)
	c.Assert(err, qt.IsNil)
	verdict, err := catalog.DecodeVerdict(result)
	c.Assert(err, qt.IsNil)
	if verdict.Result == catalog.Refused {
		c.Assert(r.Current(), qt.Equals, before, qt.Commentf("a refused command changed the configuration"))
	}
	return verdict
}

func (r *replica) submit(c *qt.C, s core.Submission) catalog.Verdict {
	c.Helper()
	command, err := catalog.EncodeSubmit(start, 1, s)
	return r.apply(c, command, err)
}

func (r *replica) step(c *qt.C, id core.MoveID, number uint64, state core.MoveState, share core.PerMille) catalog.Verdict {
	c.Helper()
	command, err := catalog.EncodeStep(core.MoveStep{
		MoveID: id,
		Step:   number,
		State:  state,
		Share:  share,
		At:     start.Add(time.Duration(number) * time.Second),
	})
	return r.apply(c, command, err)
}

func (r *replica) move(c *qt.C, id core.SubmissionID, from, to core.UpstreamName) catalog.Verdict {
	c.Helper()
	command, err := catalog.EncodeMove(start, core.MoveRequest{
		ID:       id,
		Operator: "amina",
		Service:  "orders",
		From:     from,
		To:       to,
		Deadline: start.Add(time.Hour),
	})
	if err == nil && r.limits != nil {
		command, err = catalog.WithPrincipal(command, catalog.Principal{Limits: r.limits})
	}
	return r.apply(c, command, err)
}

func (r *replica) abort(c *qt.C, id core.SubmissionID, move core.MoveID) catalog.Verdict {
	c.Helper()
	command, err := catalog.EncodeAbort(start, catalog.Abort{
		ID:       id,
		Operator: "amina",
		MoveID:   move,
	})
	return r.apply(c, command, err)
}

// restored returns a replica that starts from the snapshot of r.
func (r *replica) restored(c *qt.C) *replica {
	c.Helper()
	snapshot, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	other := &replica{
		Catalog: catalog.New(),
		index:   r.index,
		limits:  r.limits,
		elapsed: r.elapsed,
	}
	c.Assert(other.Restore(snapshot), qt.IsNil)
	return other
}

func newRecord(kind core.Kind, name string, version core.RecordVersion, body string, args ...any) core.Record {
	return core.Record{
		Kind:          kind,
		Name:          name,
		SchemaVersion: 1,
		Version:       version,
		Body:          fmt.Appendf(nil, body, args...),
	}
}

func policy(version core.RecordVersion, upstream string) core.Record {
	return newRecord(core.KindPolicy, "orders", version, `{"service": "orders", "weights": [{"upstream": %q, "per-mille": 1000}]}`, upstream)
}

func upstream(version core.RecordVersion, name, release string) core.Record {
	return newRecord(core.KindUpstream, name, version, `{"service": "orders", "release": %q, "slots": 9}`, release)
}

func submission(id core.SubmissionID, records ...core.Record) core.Submission {
	return core.Submission{
		ID:       id,
		Operator: "amina",
		Records:  records,
	}
}

func newReplica(c *qt.C) *replica {
	c.Helper()
	r := &replica{
		Catalog: catalog.New(),
	}
	verdict := r.submit(c, submission("first",
		newRecord(core.KindService, "orders", 1, `{"tenant": "a"}`),
		upstream(1, "v1", "r1"), upstream(1, "v2", "r2"), upstream(1, "v3", "r3"), policy(1, "v1"),
	))
	c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%s", verdict.Detail))
	c.Assert(verdict.Revision, qt.Equals, core.Revision(1))
	return r
}

func (r *replica) weights() string {
	var parts []string
	for _, weight := range r.Current().Weights("orders") {
		parts = append(parts, fmt.Sprintf("%s=%d", weight.Upstream, weight.PerMille))
	}
	return strings.Join(parts, " ")
}

// Guards against a submission that runs again, or gets another verdict, when it is resent after a lost answer, also after a
// snapshot (design 4.1).
func TestResendGetsTheFirstVerdict(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	second := submission("second", policy(2, "v2"))
	stale := submission("stale", policy(1, "v3"))
	accepted, refused := r.submit(c, second), r.submit(c, stale)
	c.Assert(accepted.Result, qt.Equals, catalog.Accepted)
	c.Assert(refused.Cause, qt.Equals, catalog.CauseStaleVersion)
	c.Assert(r.submit(c, submission("third", policy(3, "v1"))).Revision, qt.Equals, core.Revision(3))

	for _, each := range []*replica{r, r.restored(c)} {
		auditCount := len(each.Audit(catalog.AuditFilter{}))
		c.Assert(each.submit(c, second), qt.DeepEquals, accepted)
		second.Deletes = []core.Deletion{}
		c.Assert(each.submit(c, second), qt.DeepEquals, accepted)
		c.Assert(each.submit(c, stale), qt.DeepEquals, refused)
		c.Assert(each.weights(), qt.Equals, "v1=1000")
		c.Assert(each.Audit(catalog.AuditFilter{}), qt.HasLen, auditCount)

		verdict := each.submit(c, submission("second", policy(4, "v3")))
		c.Assert(verdict.Cause, qt.Equals, catalog.CauseIDUsed)
		c.Assert(verdict.At, qt.Equals, start)
		c.Assert(verdict.Winner.Operator, qt.Equals, core.Operator("amina"))
	}
}

// Guards against verdicts that are evicted too early, or never, so that memory and snapshots grow without limit (4.1).
func TestLatestVerdictsAreRemembered(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	oldest := r.abort(c, "0", "m9")
	for i := 1; i < 100_000; i++ {
		command, err := catalog.EncodeAbort(start, catalog.Abort{
			ID:       core.SubmissionID(fmt.Sprint(i)),
			Operator: "amina",
			MoveID:   "m9",
		})
		c.Assert(err, qt.IsNil)
		_, _ = r.Apply(1, command)
	}
	r = r.restored(c)
	auditCount := len(r.Audit(catalog.AuditFilter{}))
	c.Assert(r.abort(c, "0", "m9"), qt.DeepEquals, oldest)
	c.Assert(r.Audit(catalog.AuditFilter{}), qt.HasLen, auditCount, qt.Commentf("the 100,000th latest verdict was evicted"))

	r.abort(c, "100000", "m9")
	r.abort(c, "0", "m9")
	c.Assert(r.Audit(catalog.AuditFilter{}), qt.HasLen, auditCount+2, qt.Commentf("the 100,001st latest verdict is still stored"))
}

// Guards against two operators who are both told that their content was accepted under the same version (design 4.2).
func TestVersionsAreDecidedByLogOrder(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	c.Assert(r.submit(c, submission("a", policy(5, "v2"))).Revision, qt.Equals, core.Revision(2))

	for _, each := range []*replica{r, r.restored(c)} {
		lost := each.submit(c, submission("b", policy(5, "v3")))
		c.Assert(lost.Cause, qt.Equals, catalog.CauseEqualVersion)
		c.Assert(lost.Winner.Submission, qt.Equals, core.SubmissionID("a"))
		c.Assert(lost.Winner.Operator, qt.Equals, core.Operator("amina"))
		c.Assert(lost.Winner.Hash, qt.HasLen, 16)

		same := policy(5, "v2")
		same.Body = []byte(strings.Replace(string(same.Body), `"service": "orders", `, "", 1))
		same.Body = []byte(strings.Replace(string(same.Body), `]}`, `],`+"\n"+`"service":"orders"}`, 1))
		equal := each.submit(c, submission("c", same))
		c.Assert(equal.Result, qt.Equals, catalog.Accepted)
		c.Assert(equal.Unchanged, qt.IsTrue)
		c.Assert(equal.Revision, qt.Equals, core.Revision(2))

		stale := each.submit(c, submission("d", policy(4, "v3")))
		c.Assert(stale.Cause, qt.Equals, catalog.CauseStaleVersion)
		c.Assert(stale.Winner.Version, qt.Equals, core.RecordVersion(5))
		c.Assert(each.submit(c, submission("e", policy(6, "v3"))).Revision, qt.Equals, core.Revision(3))
	}
}

// Guards against a submission that is applied partially when one of its records is refused (invariants 2 and 3).
func TestSubmissionIsAtomic(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	for name, test := range map[string]struct {
		bad   core.Record
		cause catalog.Cause
	}{
		"dangling": {newRecord(core.KindRoute, "read", 1, `{"path-prefix": "/", "service": "none", "timeout-ms": 1}`), catalog.CauseDangling},
		"stale":    {upstream(1, "v1", "r9"), catalog.CauseEqualVersion},
	} {
		verdict := r.submit(c, submission(core.SubmissionID(name), policy(2, "v2"), test.bad))
		c.Assert(verdict.Cause, qt.Equals, test.cause)
		c.Assert(r.weights(), qt.Equals, "v1=1000")
	}
	c.Assert(r.submit(c, submission("good", policy(2, "v2"))).Result, qt.Equals, catalog.Accepted)
}

// Guards against a deleted record that a late submission with an old version restores (invariant 10).
func TestDeletion(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	deletion := func(id core.SubmissionID, name string, version core.RecordVersion) catalog.Verdict {
		return r.submit(c, core.Submission{
			ID:       id,
			Operator: "amina",
			Deletes: []core.Deletion{{
				Kind:          core.KindUpstream,
				Name:          name,
				SchemaVersion: 1,
				Version:       version,
			}},
		})
	}
	c.Assert(deletion("a", "v1", 2).Cause, qt.Equals, catalog.CauseDangling)
	c.Assert(deletion("b", "v9", 2).Cause, qt.Equals, catalog.CauseNotFound)
	c.Assert(deletion("c", "v3", 1).Cause, qt.Equals, catalog.CauseEqualVersion)
	c.Assert(deletion("d", "v3", 3).Result, qt.Equals, catalog.Accepted)
	r = r.restored(c)
	c.Assert(deletion("e", "v3", 3).Unchanged, qt.IsTrue)
	equal := r.submit(c, submission("equal", upstream(3, "v3", "r3")))
	c.Assert(equal.Cause, qt.Equals, catalog.CauseEqualVersion)
	c.Assert(*equal.Winner, qt.Equals, catalog.Winner{Submission: "d", Operator: "amina", Version: 3, Deleted: true}) // a deletion has no content to hash
	c.Assert(r.submit(c, submission("f", upstream(2, "v3", "r3"))).Cause, qt.Equals, catalog.CauseStaleVersion)
	c.Assert(r.submit(c, submission("g", upstream(4, "v3", "r3"))).Result, qt.Equals, catalog.Accepted)
}

// Guards against a record that some attached node cannot read in any schema version (design 5.4).
func TestSchemaFloor(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	newer := policy(1, "v2")
	newer.SchemaVersion = 2
	later := func(id core.SubmissionID, floor core.SchemaVersion, s core.Submission) catalog.Verdict {
		s.ID, s.Operator = id, "amina"
		body, err := msgpack.Marshal(s) // as a later program version would encode it
		c.Assert(err, qt.IsNil)
		command, err := msgpack.Marshal(map[string]any{"action": "submit", "at": start, "floor": floor, "body": body})
		return r.apply(c, command, err)
	}
	c.Assert(later("a", 1, submission("", newer)).Result, qt.Equals, catalog.Accepted)
	without := core.Submission{
		Deletes: []core.Deletion{{
			Kind:          core.KindPolicy,
			Name:          "orders",
			SchemaVersion: 1,
			Version:       2,
		}},
	}
	verdict := later("b", 1, without)
	c.Assert(verdict.Cause, qt.Equals, catalog.CauseSchemaFloor)
	c.Assert(verdict.Detail, qt.Matches, `policy "orders" needs schema version 1 or lower.*`)
	c.Assert(later("c", 2, without).Cause, qt.Not(qt.Equals), catalog.CauseSchemaFloor)
}

// Guards against a malformed record or command that reaches the log or changes the state.
func TestMalformedInputChangesNothing(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	for _, s := range []core.Submission{
		submission("", policy(2, "v2")),
		submission("a"),
		submission("a", policy(0, "v2")),
		submission("a", policy(2, "v2"), policy(3, "v2")),
		submission("a", newRecord(core.KindService, "x", 1, `{"tenant": "a", "colour": 1}`)),
		submission("a", newRecord(core.KindService, "x", 1, `{"tenant": `)),
		submission("a", newRecord("planet", "x", 1, `{}`)),
		submission(core.SubmissionID(strings.Repeat("a", 200)), policy(2, "v2")),
		{ID: "a", Operator: "b", Deletes: []core.Deletion{{Kind: core.KindRoute, Name: strings.Repeat("a", 200), SchemaVersion: 1, Version: 1}}},
	} {
		_, err := catalog.EncodeSubmit(start, 1, s)
		c.Assert(errors.Is(err, catalog.ErrMalformed), qt.IsTrue, qt.Commentf("%v", s))
	}
	trail := r.Audit(catalog.AuditFilter{})
	for _, command := range [][]byte{nil, {0xc1}, []byte("\x81\xa6action\xa4step"), []byte("\x81\xa6action\xa3fly")} {
		c.Assert(r.apply(c, command, nil).Cause, qt.Equals, catalog.CauseMalformed)
	}
	c.Assert(r.Restore([]byte("junk")), qt.IsNotNil)
	c.Assert(r.Audit(catalog.AuditFilter{}), qt.DeepEquals, trail)
	c.Assert(r.weights(), qt.Equals, "v1=1000")
}

// Guards against an audit trail that loses or changes entries over later commands and snapshots.
func TestAuditTrail(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	r.submit(c, submission("second", policy(1, "v2")))
	id := r.move(c, "third", "v1", "v2").Move
	trail := r.Audit(catalog.AuditFilter{})
	r.step(c, id, 1, core.MoveProbing, 5)
	r.step(c, id, 1, core.MoveGrowing, 10) // refused, not in the trail

	for _, each := range []*replica{r, r.restored(c)} {
		all := each.Audit(catalog.AuditFilter{})
		c.Assert(all, qt.HasLen, 4)
		c.Assert(all[:3], qt.DeepEquals, trail)
		c.Assert(all[1].Cause, qt.Equals, catalog.CauseEqualVersion)
		c.Assert(all[1].Changes, qt.DeepEquals, []string{"set policy orders schema 1 version 1"})
		c.Assert(each.Audit(catalog.AuditFilter{Move: id}), qt.DeepEquals, all[2:])
		c.Assert(each.Audit(catalog.AuditFilter{Limit: 1}), qt.DeepEquals, all[3:])
		c.Assert(each.Audit(catalog.AuditFilter{Submission: "second", Operator: "amina", Since: start}), qt.DeepEquals, all[1:2])
		c.Assert(each.Audit(catalog.AuditFilter{Since: start.Add(time.Minute)}), qt.HasLen, 0)
	}
}

// Guards against a reader that misses a new configuration.
func TestChangedIsClosedByTheNextConfiguration(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	isClosed := func(changed <-chan struct{}) bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	changed := r.Changed()
	r.submit(c, submission("same", policy(1, "v1")))
	c.Assert(isClosed(changed), qt.IsFalse)
	r.submit(c, submission("second", policy(2, "v2")))
	c.Assert(isClosed(changed), qt.IsTrue)
}

// Guards against control instances of two program versions that decide a command differently: an instance must stop when it
// meets newer rules than it knows, in the log or in a snapshot.
func TestUnknownRulesStopTheInstance(t *testing.T) {
	c := qt.New(t)
	r, older := newReplica(c), newReplica(c)
	r.SetKnownRules(catalog.KnownRules + 1)
	command, err := catalog.EncodeRules(start, catalog.KnownRules+1)
	c.Assert(err, qt.IsNil)
	for range 2 { // a repeated proposal changes nothing
		r.apply(c, command, err)
	}
	c.Assert(r.Rules(), qt.Equals, catalog.KnownRules+1)
	c.Assert(r.Audit(catalog.AuditFilter{})[1:], qt.HasLen, 1)
	_, err = older.Apply(2, command)
	c.Assert(errors.Is(err, catalog.ErrRulesUnknown), qt.IsTrue)
	snapshot, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(errors.Is(older.Restore(snapshot), catalog.ErrRulesUnknown), qt.IsTrue)
	c.Assert(older.Rules(), qt.Equals, core.RulesVersion(1))
	older.SetKnownRules(catalog.KnownRules + 1)
	c.Assert(older.Restore(snapshot), qt.IsNil)
	c.Assert(older.Rules(), qt.Equals, r.Rules())
}
