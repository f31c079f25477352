package catalog_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Guards against tenants that are accepted while some control instance would decide otherwise, and against a refusal that a resend gets
// once the rules are in force.
func TestTenantsNeedTheirRules(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	s := submission("a", newRecord(core.KindTenant, "firm", 1, `{"api-keys":["secret-1"]}`))
	for _, rules := range []core.RulesVersion{1, catalog.DeclarationRules, catalog.TenantRules - 1} {
		r.raiseRules(c, rules)
		refusal := r.submit(c, s)
		c.Assert(refusal.Cause, qt.Equals, catalog.CauseRules)
		early, refused := r.RulesRefusal(start, s)
		c.Assert(refused && early.Cause == refusal.Cause && early.Detail == refusal.Detail, qt.IsTrue)
	}
	r.raiseRules(c, catalog.TenantRules)
	_, refused := r.RulesRefusal(start, s)
	c.Assert(refused, qt.IsFalse)
	c.Assert(r.submit(c, s).Result, qt.Equals, catalog.Accepted)
	r = r.restored(c)
	tenant, known := r.Current().TenantOfKey("secret-1")
	c.Assert(known && tenant == "firm", qt.IsTrue)
}

// Guards against an audit trail, verdicts or replicas that show an API key, and against a change of keys that leaves no trace.
func TestAuditCountsKeys(t *testing.T) {
	c := qt.New(t)
	r := newReplica(c)
	r.raiseRules(c, catalog.TenantRules)
	c.Assert(r.submit(c, submission("a", newRecord(core.KindTenant, "firm", 1, `{"api-keys":["secret-1","secret-2"]}`))).Result, qt.Equals, catalog.Accepted)
	c.Assert(r.submit(c, submission("b", newRecord(core.KindTenant, "firm", 2, `{"api-keys":["secret-2","secret-3","secret-4"]}`))).Result, qt.Equals, catalog.Accepted)
	refusal := r.submit(c, submission("c", newRecord(core.KindTenant, "other", 1, `{"api-keys":["secret-4"]}`)))
	c.Assert(refusal.Detail, qt.Equals, `tenants "firm" and "other" share an API key`)
	removal := submission("d")
	removal.Deletes = []core.Deletion{{Kind: core.KindTenant, Name: "firm", SchemaVersion: 1, Version: 3}}
	c.Assert(r.submit(c, removal).Result, qt.Equals, catalog.Accepted)
	var lines []string
	for _, entry := range r.Audit(catalog.AuditFilter{}) {
		lines = append(lines, entry.Changes...)
	}
	c.Assert(lines[len(lines)-4:], qt.DeepEquals, []string{
		"set tenant firm schema 1 version 1, API keys: 2 added, 0 removed",
		"set tenant firm schema 1 version 2, API keys: 2 added, 1 removed",
		"set tenant other schema 1 version 1, API keys: 1 added, 0 removed",
		"delete tenant firm schema 1 version 3, API keys: 0 added, 3 removed",
	})
	c.Assert(strings.Contains(fmt.Sprintf("%+v", r.Audit(catalog.AuditFilter{})), "secret"), qt.IsFalse)
}
