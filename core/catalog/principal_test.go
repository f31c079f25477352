package catalog_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

func (r *replica) submitBy(c *qt.C, id core.SubmissionID, tenants []core.TenantID, records []core.Record, deletes ...core.Deletion) catalog.Verdict {
	c.Helper()
	command, err := catalog.EncodeSubmit(start.Add(r.elapsed), 1, core.Submission{ID: id, Operator: "amina", Records: records, Deletes: deletes})
	c.Assert(err, qt.IsNil)
	command, err = catalog.WithPrincipal(command, catalog.Principal{Token: "t", Tenants: tenants, Limits: r.limits})
	return r.apply(c, command, err)
}

// tenantRecords returns all records of one service, which is named for its tenant.
func tenantRecords(tenant string) []core.Record {
	return []core.Record{
		newRecord(core.KindService, tenant, 1, `{"tenant": %q}`, tenant),
		newRecord(core.KindUpstream, tenant+"-v1", 1, `{"service": %q, "release": "v1", "slots": 1}`, tenant),
		newRecord(core.KindUpstream, tenant+"-v2", 1, `{"service": %q, "release": "v2", "slots": 1}`, tenant),
		newRecord(core.KindPolicy, tenant, 1, `{"service": %q, "weights": [{"upstream": "%s-v1", "per-mille": 1000}]}`, tenant, tenant),
		newRecord(core.KindRoute, tenant, 1, `{"path-prefix": "/%s", "service": %q, "timeout-ms": 1}`, tenant, tenant),
	}
}

// Guards against a tenant that changes or takes over another tenant's records, or takes its calls.
func TestLimitedPrincipalChangesOnlyOwnRecords(t *testing.T) {
	c := qt.New(t)
	r := &replica{Catalog: catalog.New()}
	a, b := []core.TenantID{"a"}, []core.TenantID{"b"}
	for _, tenant := range []string{"a", "b"} {
		verdict := r.submitBy(c, "same id", []core.TenantID{core.TenantID(tenant)}, tenantRecords(tenant))
		c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
	}
	for i, record := range []core.Record{
		newRecord(core.KindService, "b", 2, `{"tenant": "a"}`),
		newRecord(core.KindService, "a", 2, `{"tenant": "b"}`),
		newRecord(core.KindService, "new", 1, `{"tenant": "b"}`),
		newRecord(core.KindUpstream, "b-v1", 2, `{"service": "a", "release": "v1", "slots": 1}`),
		newRecord(core.KindUpstream, "new", 1, `{"service": "b", "release": "v1", "slots": 1}`),
		newRecord(core.KindPolicy, "a", 2, `{"service": "a", "weights": [{"upstream": "b-v1", "per-mille": 1000}]}`),
		newRecord(core.KindRoute, "a", 2, `{"path-prefix": "/b", "service": "a", "timeout-ms": 1}`),
		newRecord(core.KindRoute, "new", 1, `{"path-prefix": "/b/x", "methods": ["GET"], "service": "a", "timeout-ms": 1}`),
		newRecord(core.KindRoute, "last", 1, `{"path-prefix": "/b", "service": "a", "timeout-ms": 1}`),
		newRecord(core.KindRoute, "last", 1, `{"path-prefix": "/", "service": "a", "timeout-ms": 1}`),
	} {
		verdict := r.submitBy(c, core.SubmissionID(fmt.Sprint(i)), a, []core.Record{record})
		c.Assert(verdict.Cause, qt.Equals, catalog.CauseNotPermitted, qt.Commentf("%d: %+v", i, verdict))
	}
	shared := newRecord(core.KindRoute, "divided", 1, `{"path-prefix": "/b/x", "service": "a", "timeout-ms": 1}`)
	c.Assert(r.submitBy(c, "divide", nil, []core.Record{shared}).Result, qt.Equals, catalog.Accepted)
	shared.Version, shared.Body = 2, []byte(`{"path-prefix": "/b/x", "service": "a", "timeout-ms": 2}`)
	c.Assert(r.submitBy(c, "keep", a, []core.Record{shared}).Result, qt.Equals, catalog.Accepted)
	shared.Version, shared.Body = 3, []byte(`{"path-prefix": "/b/xy", "service": "a", "timeout-ms": 2}`)
	c.Assert(r.submitBy(c, "widen", a, []core.Record{shared}).Cause, qt.Equals, catalog.CauseNotPermitted)
	deletion := core.Deletion{Kind: core.KindRoute, Name: "b", SchemaVersion: 1, Version: 2}
	c.Assert(r.submitBy(c, "delete", a, nil, deletion).Cause, qt.Equals, catalog.CauseNotPermitted)
	c.Assert(r.submitBy(c, "delete", b, nil, deletion).Result, qt.Equals, catalog.Accepted)
	recreated := []core.Record{newRecord(core.KindRoute, "b", 3, `{"path-prefix": "/c", "service": "a", "timeout-ms": 1}`)}
	c.Assert(r.submitBy(c, "take over", a, recreated).Cause, qt.Equals, catalog.CauseNotPermitted)
	recreated[0].Body = []byte(`{"path-prefix": "/c", "service": "b", "timeout-ms": 1}`)
	c.Assert(r.submitBy(c, "take over", b, recreated).Result, qt.Equals, catalog.Accepted)
}

// Guards against a tenant that moves another tenant's traffic, or learns of its moves, records or audit trail.
func TestLimitedPrincipalReadsOnlyOwnRecords(t *testing.T) {
	c := qt.New(t)
	r := &replica{Catalog: catalog.New()}
	r.submitBy(c, "first", nil, append(tenantRecords("a"), tenantRecords("b")...))
	command, err := catalog.EncodeMove(start, core.MoveRequest{ID: "move", Operator: "lars", Service: "b", From: "b-v1", To: "b-v2", Deadline: start.AddDate(1, 0, 0)})
	c.Assert(err, qt.IsNil)
	applyAs := func(command []byte, tenant core.TenantID) catalog.Verdict {
		command, err := catalog.WithPrincipal(command, catalog.Principal{Token: "t", Tenants: []core.TenantID{tenant}})
		return r.apply(c, command, err)
	}
	c.Assert(applyAs(command, "a").Cause, qt.Equals, catalog.CauseNotPermitted)
	c.Assert(applyAs(command, "b").Move, qt.Equals, core.MoveID("m1"))
	r.step(c, "m1", 1, core.MoveProbing, 5)
	command, err = catalog.EncodeAbort(start, catalog.Abort{ID: "abort", Operator: "lars", MoveID: "m1"})
	c.Assert(err, qt.IsNil)
	c.Assert(applyAs(command, "a").Cause, qt.Equals, catalog.CauseNotFound)
	c.Assert(applyAs(command, "b").Result, qt.Equals, catalog.Accepted)

	limited := catalog.Principal{Tenants: []core.TenantID{"a"}}
	trail := r.Audit(catalog.AuditFilter{Viewer: limited})
	c.Assert(trail, qt.HasLen, 3, qt.Commentf("%+v", trail)) // its lines of the first submission and its two refused commands
	c.Assert(trail[0].Changes, qt.HasLen, 5)
	c.Assert(trail[0].Submission, qt.Equals, core.SubmissionID(""))
	c.Assert(trail[1].Token, qt.Equals, "t")
	c.Assert(r.Audit(catalog.AuditFilter{Viewer: limited, Submission: "first"}), qt.HasLen, 0)
	c.Assert(r.Audit(catalog.AuditFilter{}), qt.HasLen, 6)
	c.Assert(catalog.Records(r.Current(), limited), qt.HasLen, 5)
}
