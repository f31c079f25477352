package e2e

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// secretPrefix starts all secrets of the test, which must appear in no log, data folder or dump.
const secretPrefix = "never-to-be-shown-"

// runWithToken runs a command of the operators with the named token and returns its output and exit status.
func (d *deployment) runWithToken(token string, args ...string) (string, int) {
	args = append(args, "--token-file", d.writeFile(token+".token", secretPrefix+token+"\n"))
	for i := 1; i <= controlCount; i++ {
		args = append(args, "--server", d.operatorAddress(i))
	}
	command := exec.Command(programs.parsleyport, args...)
	command.Env = append(os.Environ(), "PARSLEYPORT_OPERATOR=e2e")
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

func (d *deployment) writeFile(name, content string) string {
	path := filepath.Join(d.folder, name)
	d.c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

// Guards against a tenant's token that gives access to another tenant's records or to the deployment, a membership change that
// is missing from the audit trail after the instance that accepted it has failed, limits that never apply or apply to another
// tenant, and secrets in logs, data folders or dumps.
func TestTokensIsolateTenants(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	d.tokenFile = d.writeFile("tokens.jsonc", fmt.Sprintf(`{"tokens": [
  {"name": "platform", "secret": "%[1]splatform", "all-rights": true}, // the operators of the platform
  {"name": "token-a", "secret": "%[1]sa", "tenants": ["a"]}, {"name": "token-b", "secret": "%[1]sb", "tenants": ["b"]},
]}`, secretPrefix))
	d.limits = map[string]int{"tenant-submissions-per-day": 3}
	d.startControls()
	d.startNode(1)
	run := func(want int, token string, args ...string) string {
		output, status := d.runWithToken(token, args...)
		c.Assert(status, qt.Equals, want, qt.Commentf("%s %v: %s", token, args, output))
		return output
	}
	submission := func(version int, tenant string) string {
		return d.writeFile(fmt.Sprintf("%s-%d.jsonc", tenant, version), fmt.Sprintf(`{"records": [{"kind": "service", "name": "orders", "schema-version": 1, "version": %d, "body": {"tenant": %q}}]}`, version, tenant))
	}
	run(0, "a", "apply", submission(1, "a"))
	c.Assert(run(1, "b", "apply", submission(2, "b")), qt.Contains, "not-permitted")
	c.Assert(run(0, "b", "records"), qt.Not(qt.Contains), "orders")
	c.Assert(run(0, "b", "status"), qt.Not(qt.Contains), "endpoints")
	run(1, "b", "members")
	submissions := 0
	d.awaitCondition("a tenant has used up its submissions", 20*time.Second, func() bool {
		submissions++
		output, _ := d.runWithToken("b", "apply", "--submission-id", fmt.Sprint("flood", submissions), submission(2, "b"))
		return strings.Contains(output, "submission-limit")
	})
	run(0, "a", "apply", submission(3, "a"))
	run(1, "wrong", "status")
	d.awaitCondition("the node is listed", 20*time.Second, func() bool { return strings.Contains(run(0, "platform", "status", "--nodes"), "n1 ") })

	leader := regexp.MustCompile(`(c\d) +voter, leader`).FindStringSubmatch(run(0, "platform", "members"))[1]
	run(0, "platform", "members", "promote", "--submission-id", "repeated", leader) // succeeds because it is in force already
	d.kill(leader)
	entries := run(0, "platform", "audit", "--submission-id", "repeated")
	c.Assert(entries, qt.Matches, `(?s).* e2e +platform +members +requested .* members +accepted .*promote member `+leader+` .*`)
	c.Assert(run(0, "b", "audit"), qt.Not(qt.Contains), "platform")
	c.Assert(d.filesContaining(secretPrefix), qt.DeepEquals, []string{"a.token", "b.token", "platform.token", "tokens.jsonc", "wrong.token"})
}

// filesContaining returns the names of the files in the deployment's folder whose content contains the text.
func (d *deployment) filesContaining(text string) (names []string) {
	d.c.Assert(filepath.WalkDir(d.folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := os.ReadFile(path)
		if strings.Contains(string(content), text) {
			names = append(names, entry.Name())
		}
		return err
	}), qt.IsNil)
	return names
}
