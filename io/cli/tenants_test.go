package cli

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/catalog"
)

const tenantRecords = `{
  "operator": "amina",
  "records": [
    {"kind": "tenant", "name": "firm", "schema-version": 1, "version": 1, "body": {
      "api-keys": [
        "k-secret-1",
        "k-secret-2"
      ],
      "rate-per-s": 20,
      "burst": 10
    }},
    {"kind": "tenant", "name": "bureau", "schema-version": 1, "version": 1, "body": {
      "api-keys": ["k-secret-3"]
    }}
  ]
}`

// Guards against a fault of a tenant that is reported without its line and key, and against an API key in the output of a command.
func TestCheckOfTenants(t *testing.T) {
	f := newFixture(t)
	f.run(StatusOK, "check", "--complete", f.file("good.jsonc", tenantRecords))
	for _, test := range []struct{ old, with, want string }{
		{`"rate-per-s": 20`, `"rate-per-s": -4`, `bad.jsonc:9: tenant record "firm": rate-per-s is -4, .*`},
		{`"rate-per-s": 20`, `"rate-per-s": 2.5`, `bad.jsonc:9: .*2.5.*rate-per-s.*`},
		{`"burst": 10`, `"burst": 1e400`, `bad.jsonc:10: .*1e400.*burst.*`},
		{`"k-secret-2"`, `"k-secret 2"`, `bad.jsonc:7: tenant record "firm": api-keys\[1\] has 10 bytes, .*`},
		{`"k-secret-2"`, `k-secret-2`, `bad.jsonc:7: .*invalid literal`},
		{`"k-secret-3"`, `"x", "k-secret-2"`, `bad.jsonc:13: tenant record "bureau": api-keys/1 is the same as one of tenant record "firm"`},
		{`"api-keys": ["k-secret-3"]`, `"id": "firm"`, `bad.jsonc:13: tenant record "bureau": id is the same as one of tenant record "firm"`},
	} {
		output := f.run(StatusUsage, "check", f.file("bad.jsonc", strings.Replace(tenantRecords, test.old, test.with, 1)))
		f.c.Assert(output, qt.Matches, `.*`+test.want+`\n`)
		f.c.Assert(output, qt.Not(qt.Contains), "k-secret")
	}
	second := f.file("second.jsonc", `{"records": [{"kind": "tenant", "name": "c", "schema-version": 1, "version": 1, "body": {"api-keys": ["k-secret-1"]}}]}`)
	output := f.run(StatusUsage, "check", "--complete", f.file("good.jsonc", tenantRecords), second)
	f.c.Assert(output, qt.Contains, `tenants "c" and "firm" share an API key`)
	f.c.Assert(output, qt.Not(qt.Contains), "k-secret")
}

// Guards against API keys in the output of any command but the one that reads the whole configuration as it was submitted.
func TestCommandsShowNoKeys(t *testing.T) {
	f := newFixture(t)
	file := f.file("tenants.jsonc", tenantRecords)
	refusal := f.run(StatusRefused, "apply", file)
	f.c.Assert(refusal, qt.Contains, "rules-not-raised")
	command, err := catalog.EncodeRules(time.Now(), catalog.TenantRules)
	f.c.Assert(err, qt.IsNil)
	_, err = f.replicator.Propose(t.Context(), command)
	f.c.Assert(err, qt.IsNil)
	output := refusal + f.run(StatusOK, "apply", file)
	for _, args := range [][]string{
		{"records"},
		{"records", "--kind", "tenant"},
		{"records", "--kind", "tenant", "--output", "json"},
		{"records", "firm", "--output", "json"},
		{"audit"},
		{"audit", "--output", "json"},
		{"status"},
	} {
		output += f.run(StatusOK, args...)
	}
	f.c.Assert(output, qt.Contains, "set tenant firm schema 1 version 1, API keys: 2 added, 0 removed")
	f.c.Assert(output, qt.Contains, "redacted key")
	f.c.Assert(output, qt.Not(qt.Contains), "k-secret")
	f.c.Assert(f.run(StatusOK, "records", "--output", "json"), qt.Contains, "k-secret-3")
}
