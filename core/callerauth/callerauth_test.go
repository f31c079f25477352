package callerauth_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/callerauth"
	"parsleyport/core/record"
)

func newConfiguration(c *qt.C, tenants bool) *record.Configuration {
	records := []core.Record{
		{Kind: core.KindService, Name: "desk", SchemaVersion: 1, Version: 1, Body: []byte(`{"tenant":"platform","any-release":true}`)},
		{Kind: core.KindRoute, Name: "open", SchemaVersion: 1, Version: 1, Body: []byte(`{"path-prefix":"/open","service":"desk","timeout-ms":1,"allow-anonymous":true}`)},
		{Kind: core.KindRoute, Name: "closed", SchemaVersion: 1, Version: 1, Body: []byte(`{"path-prefix":"/closed","service":"desk","timeout-ms":1}`)},
	}
	if tenants {
		records = append(records, core.Record{Kind: core.KindTenant, Name: "firm", SchemaVersion: 1, Version: 1, Body: []byte(`{"id":"F/1","api-keys":["k1"]}`)})
	}
	configuration, err := record.New(1, records, nil)
	c.Assert(err, qt.IsNil)
	return configuration
}

// Guards against a request that is admitted without the key of a tenant or refused with it, and against a status 401 for a key that is
// newer than the configuration.
func TestAdmit(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		authorization []string
		tenant        core.TenantID
	}{
		{authorization: []string{"Token k1"}, tenant: "F/1"},
		{authorization: []string{"tOKEN \t k1 "}, tenant: "F/1"},
		{authorization: []string{"Basic k1", "Token k1"}, tenant: "F/1"},
		{},
		{authorization: []string{""}},
		{authorization: []string{"Token"}},
		{authorization: []string{"Token "}},
		{authorization: []string{"Token k2"}},
		{authorization: []string{"Token k1 k1"}},
		{authorization: []string{"Token k1", "Token k1"}},
		{authorization: []string{"Token", "Token k1"}},
		{authorization: []string{"Tokenk1"}},
		{authorization: []string{"Bearer k1"}},
		{authorization: []string{"k1"}},
	} {
		for _, path := range []string{"/open", "/closed"} {
			for _, heard := range []bool{false, true} {
				configuration := newConfiguration(c, true)
				route, _ := configuration.Match("", "GET", path)
				got := callerauth.Admit(configuration, route, test.authorization, "Token", func() bool { return heard })
				comment := qt.Commentf("%q %s %t", test.authorization, path, heard)
				c.Assert(got.Tenant.ID, qt.Equals, test.tenant, comment)
				c.Assert(got.Known, qt.Equals, test.tenant != "", comment)
				want := core.RefusalCause("")
				if test.tenant == "" && path == "/closed" {
					want = core.CauseUnknownKey
					if !heard {
						want = core.CauseNotConfirmed
					}
				}
				c.Assert(got.Refusal, qt.Equals, want, comment)
			}
		}
	}
	without := newConfiguration(c, false)
	route, _ := without.Match("", "GET", "/closed")
	c.Assert(callerauth.Admit(without, route, nil, "Token", func() bool { return false }), qt.DeepEquals, callerauth.Admission{})
}

// Guards against keys that reach a backend server, and against credentials of other schemes that do not.
func TestWithoutCredentials(t *testing.T) {
	c := qt.New(t)
	values := []string{"Token k1", "Basic k1", " token\tk1", "Token", "TOKEN  k2", "Tokens k1", "", "k1"}
	c.Assert(callerauth.WithoutCredentials(values, "Token"), qt.DeepEquals, []string{"Basic k1", "Tokens k1", "", "k1"})
	c.Assert(values[0], qt.Equals, "Token k1")
}

// Measures the admission of a request by its key.
func BenchmarkAdmit(b *testing.B) {
	configuration := newConfiguration(qt.New(b), true)
	route, _ := configuration.Match("", "GET", "/closed")
	authorization := []string{"Bearer k1"}
	b.ReportAllocs()
	for b.Loop() {
		callerauth.Admit(configuration, route, authorization, callerauth.DefaultScheme, func() bool { return true })
	}
}
