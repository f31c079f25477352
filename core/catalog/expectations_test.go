package catalog_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

func (r *replica) enableDeclarations(c *qt.C) {
	command, err := catalog.EncodeRules(time.Now(), catalog.DeclarationRules)
	r.apply(c, command, err)
}

func expecting(s core.Submission, version core.RecordVersion) core.Submission {
	s.Expect = []core.Expectation{{Kind: core.KindService, Name: "looms", SchemaVersion: 1, Version: version}}
	return s
}

// Guards against two changes of the same version that are both accepted, and against a refusal that is repeated after the reason
// for it has gone.
func TestExpectations(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	version1 := newRecord(core.KindService, "looms", 1, `{"tenant":"t"}`)
	version2 := newRecord(core.KindService, "looms", 2, `{"tenant":"t","priority":2}`)
	c.Assert(r.submit(c, expecting(submission("a", version1), 0)).Cause, qt.Equals, catalog.CauseRules)
	r.enableDeclarations(c)
	early := expecting(submission("b", version2), 1)
	c.Assert(r.submit(c, early).Cause, qt.Equals, catalog.CauseExpectation)
	c.Assert(r.submit(c, expecting(submission("a", version1), 0)).Result, qt.Equals, catalog.Accepted)
	r = r.restored(c)
	rival := expecting(submission("c", newRecord(core.KindService, "looms", 3, `{"tenant":"t","priority":3}`)), 1)
	c.Assert(r.submit(c, early).Result, qt.Equals, catalog.Accepted)
	refusal := r.submit(c, rival)
	c.Assert(refusal.Cause, qt.Equals, catalog.CauseExpectation)
	c.Assert(refusal.Winner.Submission, qt.Equals, core.SubmissionID("b"))
	c.Assert(r.submit(c, early).Result, qt.Equals, catalog.Accepted) // a resend is accepted although version 2 is now in force
	known, exists := r.Verdict("b")
	c.Assert(exists && known.Result == catalog.Accepted, qt.IsTrue)
	_, exists = r.Verdict("c")
	c.Assert(exists, qt.IsFalse)
}

// Guards against a new release that gets calls before its move gives it a share, or after the move was taken back, when its
// service takes any release.
func TestMovesOfServicesWithAnyRelease(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	r.enableDeclarations(c)
	c.Assert(r.submit(c, submission("a",
		newRecord(core.KindService, "looms", 1, `{"tenant":"t","any-release":true}`),
		newRecord(core.KindRoute, "read", 1, `{"path-prefix":"/looms/","service":"looms","timeout-ms":100}`),
	)).Result, qt.Equals, catalog.Accepted)
	weights := func() []core.Weight { return r.Current().Weights("looms") }
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 1000}})
	command, err := catalog.EncodeMove(time.Now(), core.MoveRequest{ID: "m", Operator: "o", Service: "looms", From: "*", To: "v2", Deadline: time.Now().Add(time.Minute)})
	id := r.apply(c, command, err).Move
	c.Assert(id, qt.Not(qt.Equals), core.MoveID(""))
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 1000}, {Upstream: "v2", PerMille: 0}})
	r.step(c, id, 1, core.MoveProbing, 60)
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 940}, {Upstream: "v2", PerMille: 60}})
	r.step(c, id, 2, core.MoveTakenBack, 0)
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 1000}, {Upstream: "v2", PerMille: 0}})
	command, err = catalog.EncodeMove(time.Now(), core.MoveRequest{ID: "m2", Operator: "o", Service: "looms", From: "*", To: "v2", Deadline: time.Now().Add(time.Minute)})
	id = r.apply(c, command, err).Move
	r.step(c, id, 1, core.MoveProbing, 60)
	r.step(c, id, 2, core.MoveDone, 1000)
	c.Assert(weights(), qt.DeepEquals, []core.Weight{{Upstream: "*", PerMille: 0}, {Upstream: "v2", PerMille: 1000}})
}

// Guards against tenants that are accepted while some control instance would decide otherwise, against a refusal that a resend gets once
// the rules are in force, and against a change of keys that the audit trail does not count or whose keys it shows.
func TestTenants(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	first := submission("a", newRecord(core.KindTenant, "firm", 1, `{"api-keys":["secret-1","secret-2"]}`))
	for _, rules := range []core.RulesVersion{1, catalog.DeclarationRules, catalog.TenantRules - 1} {
		r.raiseRules(c, rules)
		refusal := r.submit(c, first)
		early, refused := r.RulesRefusal(start, first)
		c.Assert(refused && refusal.Cause == catalog.CauseRules && early.Cause == refusal.Cause && early.Detail == refusal.Detail, qt.IsTrue)
	}
	r.raiseRules(c, catalog.TenantRules)
	_, refused := r.RulesRefusal(start, first)
	c.Assert(refused, qt.IsFalse)
	c.Assert(r.submit(c, first).Result, qt.Equals, catalog.Accepted)
	r = r.restored(c)
	tenant, _ := r.Current().TenantOfKey("secret-1")
	c.Assert(tenant, qt.Equals, core.TenantID("firm"))

	c.Assert(r.submit(c, submission("b", newRecord(core.KindTenant, "firm", 2, `{"api-keys":["secret-2","secret-3","secret-4"]}`))).Result, qt.Equals, catalog.Accepted)
	refusal := r.submit(c, submission("c", newRecord(core.KindTenant, "other", 1, `{"api-keys":["secret-4"]}`)))
	c.Assert(refusal.Detail, qt.Equals, `tenants "firm" and "other" share an API key`)
	removal := submission("d")
	removal.Deletes = []core.Deletion{{Kind: core.KindTenant, Name: "firm", SchemaVersion: 1, Version: 3}}
	c.Assert(r.submit(c, removal).Result, qt.Equals, catalog.Accepted)
	var lines []string
	for _, entry := range r.Audit(catalog.AuditFilter{Limit: 4}) {
		lines = append(lines, entry.Changes...)
	}
	c.Assert(lines, qt.DeepEquals, []string{
		"set tenant firm schema 1 version 1, API keys: 2 added, 0 removed",
		"set tenant firm schema 1 version 2, API keys: 2 added, 1 removed",
		"set tenant other schema 1 version 1, API keys: 1 added, 0 removed",
		"delete tenant firm schema 1 version 3, API keys: 0 added, 3 removed",
	})
	c.Assert(fmt.Sprintf("%+v", r.Audit(catalog.AuditFilter{})), qt.Not(qt.Contains), "secret")
}
