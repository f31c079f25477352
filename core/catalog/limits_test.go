package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

var tenantA, tenantB = []core.TenantID{"a"}, []core.TenantID{"b"}

// Guards against a tenant that fills the verdict history or the audit trail, against a resend that is refused or loses its
// verdict because of a limit, and against replicas that decide differently after a snapshot.
func TestSubmissionLimitIsPerTenant(t *testing.T) {
	c := qt.New(t)
	r := &replica{Catalog: catalog.New(), limits: &catalog.Limits{Submissions: 5, Bytes: 1 << 20, Records: 9, RecordBytes: 1 << 20}}
	r.SetLimits(6, 1000)
	verdictB := r.submitBy(c, "same id", tenantB, tenantRecords("b"))
	verdictA := r.submitBy(c, "same id", tenantA, tenantRecords("a"))
	for i := range 12 {
		r.elapsed += time.Hour
		if i == 3 {
			restored := r.restored(c)
			restored.SetLimits(6, 1000)
			r.Catalog = restored.Catalog
		}
		verdict := r.submitBy(c, core.SubmissionID(fmt.Sprint(i)), tenantA, tenantRecords("a"))
		c.Assert(verdict.Cause == catalog.CauseSubmissionLimit, qt.Equals, i >= 4, qt.Commentf("%d: %+v", i, verdict))
	}
	c.Assert(r.Audit(catalog.AuditFilter{}), qt.HasLen, 6) // refusals because of the limit are not recorded
	c.Assert(r.submitBy(c, "same id", tenantA, tenantRecords("a")), qt.DeepEquals, verdictA)
	r.elapsed += 24 * time.Hour
	for i := range 5 { // more verdicts than the history has room for
		c.Assert(r.submitBy(c, core.SubmissionID(fmt.Sprint("next", i)), tenantA, tenantRecords("a")).Result, qt.Equals, catalog.Accepted)
	}
	c.Assert(r.submitBy(c, "same id", tenantB, tenantRecords("b")), qt.DeepEquals, verdictB)
	r.elapsed, r.limits.Bytes = r.elapsed+24*time.Hour, 1
	c.Assert(r.submitBy(c, "long", tenantA, tenantRecords("a")).Detail, qt.Matches, "the tenants of this token would have sent .* bytes of submissions in 24 h, at most 1 .*")
	c.Assert(r.submitBy(c, "platform", nil, tenantRecords("a")).Result, qt.Equals, catalog.Accepted)
}

// Guards against a tenant that fills the configuration, which every node holds, with records or with names of deleted ones.
func TestRecordLimitIsPerTenant(t *testing.T) {
	c := qt.New(t)
	r := &replica{Catalog: catalog.New(), limits: &catalog.Limits{Submissions: 99, Bytes: 1 << 20, Records: 6, RecordBytes: 1000, DeletedNames: 1}}
	r.submitBy(c, "a", tenantA, tenantRecords("a"))
	r.submitBy(c, "b", tenantB, tenantRecords("b"))
	count := 0
	check := func(want string, record core.Record, deletes ...core.Deletion) {
		c.Helper()
		count++
		verdict := r.submitBy(c, core.SubmissionID(fmt.Sprint(count)), tenantA, []core.Record{record}, deletes...)
		c.Assert(verdict.Detail, qt.Matches, want)
		c.Assert(verdict.Cause == catalog.CauseRecordLimit, qt.Equals, want != "", qt.Commentf("%+v", verdict))
	}
	route := func(version core.RecordVersion, name, rest string) core.Record {
		return newRecord(core.KindRoute, name, version, `{"path-prefix": "/a/%s", "service": "a", "timeout-ms": 1%s}`, name, rest)
	}
	deletion := func(name string) core.Deletion {
		return core.Deletion{Kind: core.KindRoute, Name: name, SchemaVersion: 1, Version: 9}
	}
	check("", route(1, "x", ""))
	check(`tenant "a" would have 7 records, at most 6 are allowed`, route(1, "y", ""))
	check("", route(1, "y", ""), deletion("x"))
	r = r.restored(c)
	check(`tenant "a" would have 2 remembered names .*, at most 1 are allowed; .* 30 days`, route(1, "z", ""), deletion("y"))
	check(`tenant "a" would have record bodies of .* bytes, at most 1000 are allowed`, route(2, "y", fmt.Sprintf(`, "host": "%01000d"`, 0)))
	r.limits.Records = 2
	check("", route(3, "y", "")) // above the limit, but not more than before
}

// Guards against a tenant whose moves evict the ended moves of another tenant from the list.
func TestEndedMovesAreEvictedFairly(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	r.limits = &catalog.Limits{Submissions: 9, Bytes: 1 << 20, Records: 9, RecordBytes: 1 << 20}
	c.Assert(r.submitBy(c, "b", tenantB, tenantRecords("b")).Result, qt.Equals, catalog.Accepted)
	command, err := catalog.EncodeMove(start, core.MoveRequest{ID: "b", Operator: "lars", Service: "b", From: "b-v1", To: "b-v2", Deadline: start.Add(time.Hour)})
	c.Assert(err, qt.IsNil)
	command, err = catalog.WithPrincipal(command, catalog.Principal{Limits: r.limits})
	moveB := r.apply(c, command, err).Move
	r.abort(c, "abort", moveB)
	for i := range 1001 {
		r.abort(c, core.SubmissionID(fmt.Sprint("abort", i)), r.move(c, core.SubmissionID(fmt.Sprint("move", i)), "v1", "v2").Move)
	}
	c.Assert(r.Moves(), qt.HasLen, 1000)
	c.Assert(r.Moves()[0].MoveID, qt.Equals, moveB)
}

// Guards against a change in how commands from before limits existed are decided: an old log or snapshot would give another
// state in a new program. The expected hash was computed by the last program without limits.
func TestLogWithoutLimitsReplaysUnchanged(t *testing.T) {
	c := qt.New(t)
	r := &replica{Catalog: catalog.New()}
	r.SetLimits(5, 4)
	for i, tenants := range [][]core.TenantID{tenantA, tenantB, nil, tenantA, tenantA, nil, tenantA, tenantA, tenantA, tenantB} {
		r.submitBy(c, core.SubmissionID(fmt.Sprint(i/2)), tenants, tenantRecords([]string{"a", "b"}[i%2]))
		r.submitBy(c, core.SubmissionID(fmt.Sprint("x", i)), tenants, nil, core.Deletion{Kind: core.KindRoute, Name: "a", SchemaVersion: 1, Version: core.RecordVersion(i + 1)})
	}
	snapshot, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(xxhash.Sum64(snapshot), qt.Equals, uint64(9873541360857132575))
}
