package settings_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/settings"
)

const tokens = `{
  // Each tenant has its own token.
  "tokens": [
    {"name": "platform", "secret": "0123456789abcdef", "all-rights": true},
    {"name": "firm", "secret": "123456789abcdef0", "tenants": ["a", "b"]},
  ],
}`

// Guards against a token that gets all rights by mistake, and against faults that show a secret.
func TestParseTokens(t *testing.T) {
	c := qt.New(t)
	parsed, err := settings.ParseTokens("f", []byte(tokens))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.DeepEquals, []settings.Token{
		{Name: "platform", Secret: "0123456789abcdef"},
		{Name: "firm", Secret: "123456789abcdef0", Tenants: []core.TenantID{"a", "b"}},
	})
	parsed, err = settings.ParseTokens("f", []byte(" short\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.DeepEquals, []settings.Token{{Name: "default", Secret: "short"}})

	for _, test := range []struct{ old, new, key string }{
		{`"all-rights": true`, `"all-rights": false`, "tokens[0].tenants"},
		{`"tenants"`, `"tenant"`, "tokens[1].tenants"},
		{`["a", "b"]`, `[]`, "tokens[1].tenants"},
		{`["a", "b"]`, `["a"], "all-rights": true`, "tokens[1].tenants"},
		{`"b"]`, `""]`, "tokens[1].tenants[1]"},
		{`"firm"`, `"platform"`, "tokens[1].name"},
		{`"123456789abcdef0"`, `"0123456789abcdef"`, "tokens[1].secret"},
		{`"123456789abcdef0"`, `"0123456789"`, "tokens[1].secret"},
		{`"123456789abcdef0"`, `"0123456789 abcdef"`, "tokens[1].secret"},
		{`{"name": "firm", "secret": "123456789abcdef0", "tenants": ["a", "b"]}`, `"0123456789abcdef0"`, "tokens[1]"},
		{`"123456789abcdef0"`, `0123456789`, ""},
		{`"tokens"`, `"token"`, "tokens"},
		{`{`, `0123456789`, ""},
	} {
		_, err := settings.ParseTokens("f", []byte(strings.Replace(tokens, test.old, test.new, 1)))
		var faults *settings.Error
		c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%s", test.new))
		c.Assert(faults.Faults[0].Key, qt.Equals, test.key, qt.Commentf("%v", err))
		c.Assert(err.Error(), qt.Not(qt.Contains), "0123456789", qt.Commentf("%s", test.new))
	}
}
