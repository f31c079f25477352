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
	return core.Record{Kind: core.KindTenant, Name: name, SchemaVersion: 1, Version: version, Body: []byte(body)}
}

// Guards against a key that still works after its removal, that does not work after its addition, or that belongs to another tenant.
func TestTenantsAreFoundByKey(t *testing.T) {
	c := qt.New(t)
	first, err := record.New(1, []core.Record{
		tenantRecord("a", 1, `{"api-keys":["k1","k2"],"rate-per-s":5,"burst":2,"priority":0}`),
		tenantRecord("b", 1, `{"id":"Firm B/1","api-keys":["k3"]}`),
	}, nil)
	c.Assert(err, qt.IsNil)
	second, err := first.Change([]core.Record{tenantRecord("a", 2, `{"api-keys":["k2","k4"]}`)}, []core.RecordKey{tenantRecord("b", 1, "").Key()}, nil)
	c.Assert(err, qt.IsNil)
	for key, want := range map[string][2]core.TenantID{"k1": {"a", ""}, "k2": {"a", "a"}, "k3": {"Firm B/1", ""}, "k4": {"", "a"}, "": {}, "K1": {}} {
		for i, configuration := range []*record.Configuration{first, second} {
			tenant, known := configuration.TenantOfKey(key)
			c.Assert(tenant, qt.Equals, want[i], qt.Commentf("%s %d", key, i))
			c.Assert(known, qt.Equals, want[i] != "")
		}
	}
	body, _ := first.Tenant("a")
	c.Assert(body.RatePerS == 5 && body.Burst == 2 && body.Limited() && *body.Priority == 0 && body.ID == "a" && body.APIKeys == nil, qt.IsTrue)
	_, exists := second.Tenant("Firm B/1")
	c.Assert(exists, qt.IsFalse)
	empty, err := second.Change(nil, []core.RecordKey{tenantRecord("a", 1, "").Key()}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(first.HasTenants() && second.HasTenants() && !empty.HasTenants() && !record.Empty().HasTenants(), qt.IsTrue)
}

// Guards against two tenants that cannot be told apart, against replicas that report different errors, and against one that shows a key.
func TestTenantsShareNothing(t *testing.T) {
	c := qt.New(t)
	var many []core.Record
	for i := range record.MaxTenants + 1 {
		many = append(many, tenantRecord(fmt.Sprintf("t%d", i), 1, `{}`))
	}
	for want, records := range map[string][]core.Record{
		`tenants "a" and "c" share an API key`:   {tenantRecord("c", 1, `{"api-keys":["secret"]}`), tenantRecord("a", 1, `{"api-keys":["y","secret","y"]}`)},
		`two tenant records have the id "a"`:     {tenantRecord("a", 1, `{}`), tenantRecord("b", 1, `{"id":"a"}`)},
		`4097 tenants, at most 4096 are allowed`: many,
	} {
		_, err := record.New(1, records, nil)
		c.Assert(err, qt.ErrorMatches, want)
		earlier, err := record.New(1, records[1:], nil)
		c.Assert(err, qt.IsNil)
		_, err = earlier.Change(records[:1], nil, nil)
		c.Assert(err, qt.ErrorMatches, want)
	}
}

// Guards against wrong limits and keys that are accepted, and against a check whose error shows a key.
func TestTenantBodiesAreChecked(t *testing.T) {
	c := qt.New(t)
	keys := func(count int) string { return `{"api-keys":["secret"` + strings.Repeat(`,"secret"`, count-1) + `]}` }
	for body, want := range map[string]string{
		`{}`:                            "",
		`{"id":"a b"}`:                  "id has 3 bytes.*",
		keys(64):                        "",
		keys(65):                        "api-keys has 65 entries.*",
		`{"api-keys":["secret",""]}`:    `api-keys\[1\] has 0 bytes.*`,
		`{"api-keys":["secret key"]}`:   `api-keys\[0\] has 10 bytes.*`,
		`{"api-keys":["secret\u00e9"]}`: `api-keys\[0\].*`,
		`{"rate-per-s":-1}`:             "rate-per-s is -1.*",
		`{"rate-per-s":1.5}`:            "body: .*1.5.*rate-per-s.*",
		`{"rate-per-s":1000000001}`:     "rate-per-s is 1000000001.*",
		`{"burst":-2}`:                  "burst is -2.*",
		`{"priority":10}`:               "priority is 10.*",
		`{"priority":9,"rate-per-s":1000000000,"annotations":{"k":"v"}}`: "",
	} {
		err := record.CheckRecord(tenantRecord("a", 1, body))
		if want == "" {
			c.Assert(err, qt.IsNil, qt.Commentf(body))
			continue
		}
		c.Assert(err, qt.ErrorMatches, `tenant record "a": `+want, qt.Commentf(body))
		c.Assert(err.Error(), qt.Not(qt.Contains), "secret")
	}
}

// Guards against keys in a dump, under any spelling that the JSON decoder takes for the field, and against a redacted body that gives a
// tenant a key that everyone knows when it is submitted.
func TestRedactedRecordsHaveNoKeys(t *testing.T) {
	c := qt.New(t)
	redacted := record.Redact([]core.Record{
		tenantRecord("a", 1, `{"api-keys":["k-secret","m-secret"],"rate-per-s":5}`),
		tenantRecord("b", 1, `{"API-Keys":["k-secret"],"api-\u212aeys":["k-secret"],"api-keys":"k-secret"}`),
		tenantRecord("c", 1, `["k-secret"]`),
		{Kind: core.KindService, Name: "s", Body: []byte(`{"tenant":"t"}`)},
	})
	for _, r := range redacted {
		c.Assert(string(r.Body), qt.Not(qt.Contains), "secret")
	}
	c.Assert(string(redacted[0].Body), qt.Contains, `"rate-per-s":5`)
	c.Assert(string(redacted[3].Body), qt.Equals, `{"tenant":"t"}`)
	c.Assert(record.CheckRecord(redacted[0]), qt.IsNotNil)
	c.Assert(fmt.Sprintf("%v %[1]s %+[1]v", core.TenantBody{APIKeys: []string{"k-secret"}}), qt.Not(qt.Contains), "secret")
}

// Guards against a change of one record that decodes or hashes the keys of all tenants again.
func TestChangeOfOneTenantSharesTheOthers(t *testing.T) {
	c := qt.New(t)
	const (
		tenants = 85
		routes  = 1_600
		runs    = 20
		bound   = 16<<10 + (routes+5*tenants)*2*8 // index entries, rounded up
	)
	records := routesOf(t, routes).Records()
	for i := range tenants {
		records = append(records, tenantRecord(fmt.Sprintf("t%02d", i), 1, fmt.Sprintf(`{"api-keys":["key-%d-1","key-%d-2"],"rate-per-s":%d}`, i, i, i)))
	}
	configuration, err := record.New(1, records, nil)
	c.Assert(err, qt.IsNil)
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
		c.Assert(each <= bound, qt.IsTrue, qt.Commentf("%d bytes for %s, at most %d", each, change.Name, bound))
	}
}
