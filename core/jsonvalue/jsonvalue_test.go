package jsonvalue

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a message that is taken for complete although bytes follow it, a field is missing or it has two meanings.
func TestMessagesMustBeComplete(t *testing.T) {
	c := qt.New(t)
	shape := Shape{
		Required: []string{"a", "list"},
		Fields: map[string]Shape{
			"list": {
				Required: []string{"b"},
			},
		},
	}
	for text, fault := range map[string]string{
		`{"a":1,"list":[{"b":2},{"b":0}],"new":{"x":[null]}}`: "",
		`{"a":1,"list":[]}`:                         "",
		`{"a":1,"list":[]}}`:                        ".*after top-level value.*",
		`{"a":1}`:                                   "list is missing",
		`{"a":null,"list":[]}`:                      "a is missing",
		`{"a":1,"list":[{"b":2},{}]}`:               "list: b is missing",
		`{"a":1,"list":[null]}`:                     "list: null in a list of objects",
		`{"a":1,"list":[],"A":2}`:                   `key "A" stands twice`,
		`{"a":1,"list":[{"b":1,"b":1}]}`:            `list: key "b" stands twice`,
		"{\"a\":\"\xff\",\"list\":[]}":              "text is not UTF-8",
		strings.Repeat("[", 20_000):                 ".*exceeded max depth.*",
		`{"a":1,"list":[],"deep":` + nested(20_000): ".*exceeded max depth.*",
	} {
		var target any
		err := Unmarshal([]byte(text), &target, shape)
		if fault == "" {
			c.Check(err, qt.IsNil, qt.Commentf("%.80s", text))
			continue
		}
		c.Check(err, qt.ErrorMatches, fault, qt.Commentf("%.80s", text))
	}
}

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}" }

// Guards against bytes after a value that begin with a closing bracket, which Decoder.More does not report.
func TestDecodeOnlyReadsToTheEnd(t *testing.T) {
	c := qt.New(t)
	for _, tail := range []string{"}", "]", "{}", "x", ",", "1"} {
		var target any
		c.Check(DecodeOnly(json.NewDecoder(strings.NewReader(`{"a":1}`+tail)), &target), qt.IsNotNil, qt.Commentf("%q", tail))
	}
	var target any
	c.Check(DecodeOnly(json.NewDecoder(strings.NewReader(" {\"a\":1}\n ")), &target), qt.IsNil)
}
