package callerauth_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/callerauth"
	"parsleyport/core/record"
)

func newConfiguration(c *qt.C, tenants ...core.Record) *record.Configuration {
	configuration, err := record.New(1, append(tenants,
		core.Record{Kind: core.KindService, Name: "desk", SchemaVersion: 1, Version: 1, Body: []byte(`{"tenant":"platform","any-release":true}`)},
		core.Record{Kind: core.KindRoute, Name: "open", SchemaVersion: 1, Version: 1, Body: []byte(`{"path-prefix":"/open","service":"desk","timeout-ms":1,"allow-anonymous":true}`)},
		core.Record{Kind: core.KindRoute, Name: "closed", SchemaVersion: 1, Version: 1, Body: []byte(`{"path-prefix":"/closed","service":"desk","timeout-ms":1}`)},
	), nil)
	c.Assert(err, qt.IsNil)
	return configuration
}

var firm = core.Record{Kind: core.KindTenant, Name: "firm", SchemaVersion: 1, Version: 1, Body: []byte(`{"id":"F/1","api-keys":["k1"]}`)}

// Guards against a request that is admitted without the key of a tenant or refused with it, and against a status 401 for a key that is
// newer than the configuration.
func TestAdmit(t *testing.T) {
	c := qt.New(t)
	with, without := newConfiguration(c, firm), newConfiguration(c)
	right := [][]string{{"Token k1"}, {"tOKEN \t k1 "}, {"Basic k1", "Token k1"}}
	wrong := [][]string{nil, {""}, {"Token"}, {"Token "}, {"Token k2"}, {"Token k1 k1"}, {"Token k1", "Token k1"}, {"Token", "Token k1"}, {"Tokenk1"}, {"Bearer k1"}, {"k1"}}
	for i, authorization := range append(right, wrong...) {
		for _, heard := range []bool{false, true} {
			for path, refusal := range map[string]core.RefusalCause{"/open": "", "/closed": map[bool]core.RefusalCause{false: core.CauseNotConfirmed, true: core.CauseUnknownKey}[heard]} {
				route, _ := with.Match("", "GET", path)
				leaderHeard := func() bool { return heard }
				got, known := callerauth.Admit(with, route, authorization, "Token", leaderHeard), i < len(right)
				c.Assert(got.Known, qt.Equals, known, qt.Commentf("%q", authorization))
				c.Assert(got.Tenant.ID == "F/1", qt.Equals, known)
				c.Assert(got.Refusal, qt.Equals, map[bool]core.RefusalCause{false: refusal}[known], qt.Commentf("%q %s", authorization, path))
				c.Assert(callerauth.Admit(without, route, authorization, "Token", leaderHeard), qt.DeepEquals, callerauth.Admission{})
			}
		}
	}
}

// Guards against keys that reach a backend server, and against credentials of other schemes that do not.
func TestWithoutCredentials(t *testing.T) {
	values := []string{"Token k1", "Basic k1", " token\tk1", "Token", "TOKEN  k2", "Tokens k1", "", "k1"}
	qt.Assert(t, callerauth.WithoutCredentials(values, "Token"), qt.DeepEquals, []string{"Basic k1", "Tokens k1", "", "k1"})
}

// Measures the admission of a request by its key.
func BenchmarkAdmit(b *testing.B) {
	configuration := newConfiguration(qt.New(b), firm)
	route, _ := configuration.Match("", "GET", "/closed")
	authorization := []string{"Bearer k1"}
	b.ReportAllocs()
	for b.Loop() {
		callerauth.Admit(configuration, route, authorization, callerauth.DefaultScheme, func() bool { return true })
	}
}
