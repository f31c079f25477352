package record

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

func recordOf(kind core.Kind, name, body string) core.Record {
	return core.Record{Kind: kind, Name: name, SchemaVersion: 1, Version: 1, Body: []byte(body)}
}

// Guards against routes to services that do not exist, and against splits that match no service for any call.
func TestSplitRoutes(t *testing.T) {
	c := qt.New(t)
	for body, valid := range map[string]bool{
		`{"path-prefix":"/a/","timeout-ms":1,"split":[{"service":"x","weight":9},{"service":"y","weight":1}]}`:                   true,
		`{"path-prefix":"/a/","timeout-ms":1,"service":"x","split":[{"service":"x","weight":1}]}`:                                false,
		`{"path-prefix":"/a/","timeout-ms":1,"split":[{"service":"x","weight":0},{"service":"y","weight":0}]}`:                   false,
		`{"path-prefix":"/a/","timeout-ms":1,"split":[{"service":"x","weight":1},{"service":"x","weight":1}]}`:                   false,
		`{"path-prefix":"/a/","timeout-ms":1,"split":[{"service":"x","weight":-1},{"service":"y","weight":2}]}`:                  false,
		`{"path-prefix":"/a/","timeout-ms":1,"split":[{"service":"x","weight":9223372036854775807},{"service":"y","weight":1}]}`: false,
	} {
		err := CheckRecord(recordOf(core.KindRoute, "r", body))
		c.Assert(err == nil, qt.Equals, valid, qt.Commentf("%s: %v", body, err))
	}
	_, err := New(1, []core.Record{
		recordOf(core.KindService, "x", `{"tenant":"t","any-release":true}`),
		recordOf(core.KindRoute, "r", `{"path-prefix":"/a/","timeout-ms":1,"split":[{"service":"x","weight":1},{"service":"y","weight":1}]}`),
	}, nil)
	c.Assert(err, qt.ErrorIs, ErrDangling)
}

// Guards against a route index that finds other routes than a search through all routes.
func TestRouteIndexFindsTheLongestPrefix(t *testing.T) {
	c := qt.New(t)
	records := []core.Record{recordOf(core.KindService, "x", `{"tenant":"t","any-release":true}`)}
	for i, route := range []string{
		`"path-prefix":"/"`, `"path-prefix":"/a"`, `"path-prefix":"/a/"`, `"path-prefix":"/a/b/"`, `"path-prefix":"/a/b/","host":"H.example"`,
		`"path-prefix":"/a/b/c","methods":["PUT"]`,
	} {
		records = append(records, recordOf(core.KindRoute, fmt.Sprintf("r%d", i), `{`+route+`,"timeout-ms":1,"service":"x"}`))
	}
	configuration, err := New(1, records, nil)
	c.Assert(err, qt.IsNil)
	for _, test := range []struct{ host, method, path, want string }{
		{path: "/", want: "r0"},
		{path: "/ab", want: "r0"},
		{path: "/a", want: "r1"},
		{path: "/a/x", want: "r2"},
		{path: "/a/b", want: "r2"},
		{path: "/a/b/x", want: "r3"},
		{host: "h.EXAMPLE:80", path: "/a/b/x", want: "r4"},
		{method: "PUT", path: "/a/b/c/d", want: "r5"},
		{method: "PUT", path: "/a/b/cd", want: "r3"},
		{path: "/a/b/c", want: "r3"},
		{path: "", want: ""},
	} {
		route, _ := configuration.Match(test.host, test.method, test.path)
		c.Assert(string(route.Name), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
