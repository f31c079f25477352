package record_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/record"
)

func tenantRecord(name string, version core.RecordVersion, body string) core.Record {
	return core.Record{
		Kind:          core.KindTenant,
		Name:          name,
		SchemaVersion: 1,
		Version:       version,
		Body:          []byte(body),
	}
}

// Guards against a key that still works after its removal, that does not work after its addition, or that belongs to another tenant.
func TestTenantsAreFoundByKey(t *testing.T) {
	c := qt.New(t)
	c.Assert(record.Empty().HasTenants(), qt.IsFalse)
	first, err := record.New(1, []core.Record{
		tenantRecord("a", 1, `{"api-keys":["k1","k2"],"rate-per-s":5,"burst":2,"priority":0}`),
		tenantRecord("b", 1, `{"id":"Firm B/1","api-keys":["k3"]}`),
	}, nil)
	c.Assert(err, qt.IsNil)
	second, err := first.Change([]core.Record{tenantRecord("a", 2, `{"api-keys":["k2","k4"]}`)}, []core.RecordKey{tenantRecord("b", 1, "").Key()}, nil)
	c.Assert(err, qt.IsNil)
	for _, test := range []struct {
		key           string
		before, after core.TenantID
	}{
		{key: "k1", before: "a"},
		{key: "k2", before: "a", after: "a"},
		{key: "k3", before: "Firm B/1"},
		{key: "k4", after: "a"},
		{key: ""},
		{key: "K1"},
	} {
		tenant, known := first.TenantOfKey(test.key)
		c.Assert(tenant, qt.Equals, test.before, qt.Commentf(test.key))
		c.Assert(known, qt.Equals, test.before != "")
		tenant, known = second.TenantOfKey(test.key)
		c.Assert(tenant, qt.Equals, test.after, qt.Commentf(test.key))
		c.Assert(known, qt.Equals, test.after != "")
	}
	body, exists := first.Tenant("a")
	c.Assert(exists && first.HasTenants() && second.HasTenants(), qt.IsTrue)
	c.Assert(body.RatePerS == 5 && body.Burst == 2 && body.Limited() && *body.Priority == 0 && body.ID == "a", qt.IsTrue)
	c.Assert(body.APIKeys, qt.HasLen, 0) // callers of the lookup need none
	_, exists = second.Tenant("Firm B/1")
	c.Assert(exists, qt.IsFalse)
	empty, err := second.Change(nil, []core.RecordKey{tenantRecord("a", 1, "").Key()}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(empty.HasTenants(), qt.IsFalse)
}

// Guards against two tenants that cannot be told apart, and against an error that shows the key.
func TestTenantsShareNothing(t *testing.T) {
	c := qt.New(t)
	for range 20 { // map order must not determine the error
		_, err := record.New(1, []core.Record{
			tenantRecord("c", 1, `{"api-keys":["x-secret"]}`),
			tenantRecord("a", 1, `{"api-keys":["y","x-secret","y"]}`),
		}, nil)
		c.Assert(err, qt.ErrorMatches, `tenants "a" and "c" share an API key`)
	}
	_, err := record.New(1, []core.Record{tenantRecord("a", 1, `{}`), tenantRecord("b", 1, `{"id":"a"}`)}, nil)
	c.Assert(err, qt.ErrorMatches, `two tenant records have the id "a"`)
	var many []core.Record
	for i := range record.MaxTenants + 1 {
		many = append(many, tenantRecord(fmt.Sprintf("t%d", i), 1, `{}`))
	}
	_, err = record.New(1, many, nil)
	c.Assert(err, qt.ErrorMatches, `4097 tenants, at most 4096 are allowed`)
	full, err := record.New(1, many[1:], nil)
	c.Assert(err, qt.IsNil)
	_, err = full.Change(many[:1], nil, nil)
	c.Assert(err, qt.IsNotNil)
}

// Guards against wrong limits and keys that are accepted, and against a check whose error shows a key.
func TestTenantBodiesAreChecked(t *testing.T) {
	c := qt.New(t)
	keys := func(count int) string { return `"` + strings.Repeat(`secret","`, count-1) + `secret"` }
	for body, want := range map[string]string{
		`{}`:           "",
		`{"id":"a b"}`: "id has 3 bytes.*",
		`{"id":"` + strings.Repeat("x", 129) + `"}`: "id has 129 bytes.*",
		`{"api-keys":[` + keys(64) + `]}`:           "",
		`{"api-keys":[` + keys(65) + `]}`:           "api-keys has 65 entries.*",
		`{"api-keys":["secret",""]}`:                `api-keys\[1\] has 0 bytes.*`,
		`{"api-keys":["secret key"]}`:               `api-keys\[0\] has 10 bytes.*`,
		`{"api-keys":["secret\u00e9"]}`:             `api-keys\[0\].*`,
		`{"api-keys":"secret"}`:                     "body: .*",
		`{"api-keys":[17]}`:                         "body: .*",
		`{"rate-per-s":-1}`:                         "rate-per-s is -1.*",
		`{"rate-per-s":1.5}`:                        "body: .*1.5.*rate-per-s.*",
		`{"rate-per-s":1e400}`:                      "body: .*1e400.*rate-per-s.*",
		`{"rate-per-s":1000000001}`:                 "rate-per-s is 1000000001.*",
		`{"burst":-2}`:                              "burst is -2.*",
		`{"priority":10}`:                           "priority is 10.*",
		`{"priority":9,"rate-per-s":1000000000,"annotations":{"k":"v"}}`: "",
		`{"secret":1}`: "body: .*",
	} {
		err := record.CheckRecord(tenantRecord("a", 1, body))
		if want == "" {
			c.Assert(err, qt.IsNil, qt.Commentf(body))
			continue
		}
		c.Assert(err, qt.ErrorMatches, `tenant record "a": `+want, qt.Commentf(body))
		c.Assert(strings.Contains(body, `"api-keys"`) && strings.Contains(err.Error(), "secret"), qt.IsFalse, qt.Commentf("%v", err))
	}
}

// Guards against keys in a dump, under any spelling that the JSON decoder takes for the field, and against a redacted body that gives a
// tenant a key that everyone knows when it is submitted.
func TestRedactedRecordsHaveNoKeys(t *testing.T) {
	c := qt.New(t)
	records := []core.Record{
		tenantRecord("a", 1, `{"api-keys":["k-secret","m-secret"],"rate-per-s":5}`),
		tenantRecord("b", 1, `{"API-Keys":["k-secret"],"api-\u212aeys":["k-secret"],"api-keys":"k-secret"}`),
		tenantRecord("c", 1, `["k-secret"]`),
		{Kind: core.KindService, Name: "s", SchemaVersion: 1, Version: 1, Body: []byte(`{"tenant":"t"}`)},
	}
	redacted := record.Redact(records)
	for _, r := range redacted {
		c.Assert(string(r.Body), qt.Not(qt.Contains), "secret")
	}
	c.Assert(string(redacted[0].Body), qt.Contains, `"rate-per-s":5`)
	c.Assert(string(redacted[3].Body), qt.Equals, `{"tenant":"t"}`)
	c.Assert(record.CheckRecord(redacted[0]), qt.IsNotNil)
	c.Assert(string(records[0].Body), qt.Contains, "k-secret")
	c.Assert(fmt.Sprintf("%v %+v %s", core.TenantBody{ID: "a", APIKeys: []string{"k-secret"}}, core.TenantBody{APIKeys: []string{"k-secret"}}, core.TenantBody{APIKeys: []string{"k-secret"}}), qt.Not(qt.Contains), "secret")
}

// Guards against a change of one record that decodes or hashes the keys of all tenants again.
func TestChangeOfOneTenantSharesTheOthers(t *testing.T) {
	c := qt.New(t)
	const (
		tenants       = 85
		routes        = 1_600
		runs          = 20
		bytesPerEntry = 8 + 8 // an index entry, rounded up
	)
	records := routesOf(t, routes).Records()
	for i := range tenants {
		records = append(records, tenantRecord(fmt.Sprintf("t%02d", i), 1, fmt.Sprintf(`{"api-keys":["key-%d-1","key-%d-2"],"rate-per-s":%d}`, i, i, i)))
	}
	configuration, err := record.New(1, records, nil)
	c.Assert(err, qt.IsNil)
	const bound = 16<<10 + (routes+5*tenants)*bytesPerEntry
	for _, change := range []core.Record{routeRecord(7, 2), tenantRecord("t07", 2, `{"api-keys":["new"],"rate-per-s":1}`)} {
		next, err := configuration.Change([]core.Record{change}, nil, nil)
		c.Assert(err, qt.IsNil)
		delta := next.DeltaFrom(configuration)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range runs {
			_, err := configuration.Apply(delta)
			c.Assert(err, qt.IsNil)
		}
		runtime.ReadMemStats(&after)
		each := int((after.TotalAlloc - before.TotalAlloc) / runs)
		c.Logf("%d bytes a change of %s", each, change.Name)
		c.Assert(each <= bound, qt.IsTrue, qt.Commentf("%d bytes, at most %d", each, bound))
	}
}
