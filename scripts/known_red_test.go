package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func runKnownRed(c *qt.C, entries string, args ...string) (string, error) {
	file := filepath.Join(c.TempDir(), "KNOWN-RED.txt")
	c.Assert(os.WriteFile(file, []byte(entries), 0o600), qt.IsNil)
	command := exec.Command("./known-red", args...)
	command.Env = append(os.Environ(), "KNOWN_RED_FILE="+file)
	output, err := command.Output()
	return strings.TrimSpace(string(output)), err
}

const oneEntry = "# comment\nparsleyport/core/a | TestOne | go test ./core/a | 7 | times out | 4\n"

// Guards against CI skipping tests that KNOWN-RED.txt does not list.
func TestKnownRedSkipsExactlyTheNamedTests(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		args []string
		want string
	}{
		{args: []string{"skip", "parsleyport/core/a"}, want: "^(TestOne)$"},
		{args: []string{"skip", "parsleyport/core/ab"}, want: ""},
		{args: []string{"clean", "parsleyport/core/a", "parsleyport/core/ab"}, want: "parsleyport/core/ab"},
		{args: []string{"list"}, want: "known red, not run: parsleyport/core/a TestOne: times out (issue 4)"},
	} {
		got, err := runKnownRed(c, oneEntry, test.args...)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, test.want)
	}
}

// Guards against an entry that skips all tests or none without an error because it has a pattern for a name or lacks a field.
func TestKnownRedRefusesMalformedEntries(t *testing.T) {
	c := qt.New(t)
	for _, entry := range []string{
		"parsleyport/core/a | .* | go test | 7 | times out | 4",
		"parsleyport/core/a | TestOne | go test | 7 | times out |",
		"TestOne",
	} {
		_, err := runKnownRed(c, entry+"\n", "list")
		c.Assert(err, qt.IsNotNil, qt.Commentf("entry %q", entry))
	}
}
