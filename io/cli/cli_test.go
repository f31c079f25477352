package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
	"parsleyport/io/operatorhttp"
	"parsleyport/io/settings"
)

// fakeReplicator applies proposals at once, and applies the next of the given move steps at each confirmed read.
type fakeReplicator struct {
	catalog *catalog.Catalog
	index   core.LogIndex
	steps   []core.MoveState
	step    uint64
	err     error

	leader     core.ControlID
	members    []raft.Member
	nonMembers []raft.Peer
}

func (f *fakeReplicator) Propose(_ context.Context, command []byte) ([]byte, error) {
	f.index++
	result, _ := f.catalog.Apply(f.index, command)
	return result, f.err
}

func (f *fakeReplicator) ConfirmRead(ctx context.Context) error {
	if len(f.steps) == 0 {
		return nil
	}
	f.step++
	command, err := catalog.EncodeStep(core.MoveStep{
		MoveID: "m1",
		Step:   f.step,
		State:  f.steps[0],
		Share:  5,
	})
	f.steps = f.steps[1:]
	_, _ = f.Propose(ctx, command)
	return err
}

func (f *fakeReplicator) Status() core.ReplicatorStatus {
	return core.ReplicatorStatus{
		Self:   "c1",
		Leader: f.leader,
	}
}

func (f *fakeReplicator) CatchUp() []operatorhttp.CatchUp { return nil }

func (f *fakeReplicator) Members() []raft.Member { return f.members }

func (f *fakeReplicator) NonMembers() []raft.Peer { return f.nonMembers }

// Change replaces and promotes members as raft does.
func (f *fakeReplicator) Change(_ context.Context, change raft.Change) error {
	for i, member := range f.members {
		if member.Peer.ID == change.Peer.ID && (change.Kind == raft.ChangePromote) == (member.Peer == change.Peer) && !(change.Kind == raft.ChangePromote && member.Voter) {
			f.members[i].Peer, f.members[i].Voter, f.nonMembers = change.Peer, change.Kind == raft.ChangePromote, nil
			return f.err
		}
	}
	return errors.NotValidf("change")
}

func (f *fakeReplicator) Endpoints(core.ServiceName) []core.Endpoint { return nil }

func (f *fakeReplicator) Nodes() []operatorhttp.NodeStatus {
	return []operatorhttp.NodeStatus{{Node: "n1", DataCentre: "dc-a", Revision: 7, Schema: 1, LastReport: time.Unix(0, 0).UTC()}}
}

func (f *fakeReplicator) Fleet() operatorhttp.FleetStatus { return operatorhttp.FleetStatus{} }

const records = `{
  // Everything that one service needs.
  "operator": "amina",
  "records": [
    {"kind": "service", "name": "orders", "schema-version": 1, "version": 1, "body": {"tenant": "a"}},
    {"kind": "upstream", "name": "v1", "schema-version": 1, "version": 1, "body": {"service": "orders", "release": "r1", "slots": 9}},
    {"kind": "upstream", "name": "v2", "schema-version": 1, "version": 1, "body": {"service": "orders", "release": "r2", "slots": 9}},
    {"kind": "policy", "name": "orders", "schema-version": 1, "version": 1, "body": {"service": "orders", "weights": [{"upstream": "v1", "per-mille": 1000}]}},
  ],
}`

const node = `{"id": "n1", "data-centre": "a", "caller-address": "127.0.0.1:1", "peer-address": "127.0.0.1:2", "relay-address": "127.0.0.1:3",
"backend-address": "127.0.0.1:4", "admin-address": "127.0.0.1:5", "control-addresses": ["127.0.0.1:6"]}`

type fixture struct {
	c          *qt.C
	replicator *fakeReplicator
	folder     string
}

func newFixture(t *testing.T) fixture {
	c := qt.New(t)
	f := fixture{
		c: c,
		replicator: &fakeReplicator{
			catalog: catalog.New(),
		},
		folder: c.TempDir(),
	}
	server, stop, err := operatorhttp.New(operatorhttp.Options{
		Listen:     "127.0.0.1:0",
		Replicator: f.replicator,
		Membership: f.replicator,
		Catalog:    f.replicator.catalog,
		Fleet:      f.replicator,
		Log:        zerolog.Nop(),
		Metrics:    metrics.NewSet(),
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	c.Setenv(serversVariable, server.Address())
	c.Setenv(operatorVariable, "")
	return f
}

func (f fixture) file(name, content string) string {
	path := filepath.Join(f.folder, name)
	f.c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

// run checks the exit status and returns standard output followed by standard error.
func (f fixture) run(want int, args ...string) string {
	f.c.Helper()
	var stdout, stderr bytes.Buffer
	status := Run(args, &stdout, &stderr)
	f.c.Assert(status, qt.Equals, want, qt.Commentf("%v: %s%s", args, &stdout, &stderr))
	return stdout.String() + stderr.String()
}

// Guards against misleading exit statuses: refused for an unknown outcome, or success for an invalid option.
func TestExitStatuses(t *testing.T) {
	f := newFixture(t)
	good := f.file("good.jsonc", records)
	equal := f.file("equal.jsonc", strings.Replace(records, `"tenant": "a"`, `"tenant": "b"`, 1))
	f.c.Assert(f.run(StatusOK, "apply", good), qt.Contains, "accepted, revision 1, submission content-")
	f.c.Assert(f.run(StatusOK, "apply", "--submission-id", "x", good), qt.Contains, "unchanged")
	f.c.Assert(f.run(StatusRefused, "apply", equal), qt.Matches, `(?s)refused \(equal-version\): .* by amina won, content hash .*another --submission-id.*`)
	f.run(StatusOK, "version")
	f.run(StatusOK, "--help")
	f.run(StatusOK, "audit", "--limit", "5")
	f.run(StatusOK, "status")
	f.run(StatusRefused, "abort", "--operator", "amina", "m7")
	f.run(StatusRefused, "moves", "m7")

	move := func(last ...string) []string {
		return append([]string{"move", "--operator", "amina", "--service", "orders", "--from", "v1", "--to", "v2"}, last...)
	}
	missing := filepath.Join(f.folder, "missing")
	withoutOperator := f.file("nobody.jsonc", strings.Replace(records, `"operator": "amina",`, "", 1))
	for _, test := range []struct {
		want string
		args []string
	}{
		{"a command is needed", nil},
		{"expected command", []string{"fly"}},
		{"records: expected one of", []string{"control", "--settings", good}},
		{"required argument 'file'", []string{"apply"}},
		{`server is "localhost:1"`, []string{"apply", "--server", "localhost:1", good}},
		{"--timeout is 0s", []string{"apply", "--timeout", "0s", good}},
		{"unknown long flag", []string{"apply", "--colour", good}},
		{"cut.jsonc:6: ", []string{"apply", f.file("cut.jsonc", records[:200])}},
		{"no such file", []string{"apply", missing}},
		{"--submission-id fits one file", []string{"apply", "--submission-id", "x", good, equal}},
		{"operator is missing", []string{"apply", withoutOperator}},
		{"--operator or PARSLEYPORT_OPERATOR is needed", []string{"abort", "m1"}},
		{"must be one of text,json", []string{"status", "--output", "xml"}},
		{"token file", []string{"status", "--token-file", missing}},
		{"--limit is 0", []string{"audit", "--limit", "0"}},
		{`--since is "noon"`, []string{"audit", "--since", "noon"}},
		{`--by is "noon"`, move("--by", "noon")},
		{`expected a time in the future`, move("--by=-1m")},
		{`--max-risk is 1001`, move("--by", "10m", "--max-risk", "1001")},
	} {
		f.c.Assert(f.run(StatusUsage, test.args...), qt.Contains, test.want)
	}

	f.replicator.err = core.ErrOutcomeUnknown
	f.run(StatusUnknown, "apply", "--timeout", "300ms", "--submission-id", "y", good)
	f.run(StatusUnknown, "status", "--timeout", "300ms", "--server", "127.0.0.1:1") // nothing listens at this address
	f.c.Setenv(serversVariable, "")
	f.c.Assert(f.run(StatusUsage, "status"), qt.Contains, "--server or PARSLEYPORT_SERVERS is needed")
}

// Guards against submitting a file although a later one is malformed, and against continuing after a refusal.
func TestApplyStopsAtFirstError(t *testing.T) {
	f := newFixture(t)
	good := f.file("good.jsonc", records)
	equal := f.file("equal.jsonc", strings.Replace(records, `"tenant": "a"`, `"tenant": "b"`, 1))
	later := f.file("later.jsonc", `{"operator": "a", "records": [{"kind": "service", "name": "x", "schema-version": 1, "version": 1, "body": {"tenant": "a"}}]}`)
	f.run(StatusUsage, "apply", good, f.file("bad.jsonc", "{}"))
	f.c.Assert(f.replicator.index, qt.Equals, core.LogIndex(0))
	f.run(StatusRefused, "apply", good, equal, later)
	f.c.Assert(f.replicator.index, qt.Equals, core.LogIndex(2))
}

// Guards against a resend of a file that counts as another submission, and against one id for two different contents.
func TestDerivedSubmissionID(t *testing.T) {
	f := newFixture(t)
	load := func(content, operator string) core.SubmissionID {
		submission, derived, err := loadSubmission(f.file("records.jsonc", content), options{
			operator:        core.Operator(operator),
			defaultOperator: core.Operator(os.Getenv(operatorVariable)),
		})
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(derived, qt.IsTrue)
		return submission.ID
	}
	f.c.Assert(load(records, ""), qt.Equals, load(strings.ReplaceAll(records, "  ", "\t"), ""))
	f.c.Assert(load(records, ""), qt.Not(qt.Equals), load(records, "lars"))
	f.c.Setenv(operatorVariable, "lars")
	f.c.Assert(load(records, ""), qt.Equals, load(records, "amina"), qt.Commentf("the environment must not override the file"))
	f.c.Assert(load(records, ""), qt.Not(qt.Equals), load(strings.Replace(records, `"slots": 9`, `"slots": 8`, 1), ""))
}

// Guards against filters of records that show too many or too few records, and against a status without the nodes.
func TestRecordsAndNodes(t *testing.T) {
	f := newFixture(t)
	f.run(StatusOK, "apply", f.file("records.jsonc", records))
	f.run(StatusOK, "apply", f.file("other.jsonc", `{"operator": "a", "records": [{"kind": "service", "name": "v1", "schema-version": 1, "version": 1, "body": {"tenant": "b"}}]}`))
	for _, test := range []struct {
		want int
		args []string
	}{
		{5, nil},
		{2, []string{"v1"}},
		{1, []string{"v1", "--kind", "upstream"}},
		{4, []string{"--service", "orders"}},
		{0, []string{"--service", "none"}},
	} {
		var answer operatorhttp.Records
		f.c.Assert(json.Unmarshal([]byte(f.run(StatusOK, append([]string{"records", "--output", "json"}, test.args...)...)), &answer), qt.IsNil)
		f.c.Assert(answer.Records, qt.HasLen, test.want, qt.Commentf("%v", test.args))
		f.c.Assert(answer.Revision, qt.Equals, core.Revision(2))
	}
	f.c.Assert(f.run(StatusOK, "records", "--kind", "policy"), qt.Matches, `(?s)KIND .*policy +orders +1 +1 +\{"service":"orders",.*revision: 2\n`)
	f.run(StatusUsage, "records", "--kind", "colour")
	f.c.Assert(f.run(StatusOK, "status", "--nodes"), qt.Matches, `(?s).*n1 +dc-a +7 +1 +1970-01-01T00:00:00Z\n`)
	f.c.Assert(f.run(StatusOK, "status"), qt.Not(qt.Contains), "n1")
}

// Guards against an exit status that reports a move as done while it is open or after it was taken back.
func TestWaitForMoves(t *testing.T) {
	for end, want := range map[core.MoveState]int{
		core.MoveDone:      StatusOK,
		core.MoveTakenBack: StatusRefused,
		core.MoveExpired:   StatusRefused,
	} {
		f := newFixture(t)
		f.run(StatusOK, "apply", f.file("records.jsonc", records))
		f.run(StatusOK, "move", "--operator", "amina", "--service", "orders", "--from", "v1", "--to", "v2", "--by", "10m")
		f.replicator.steps = []core.MoveState{core.MoveProbing, end}
		output := f.run(want, "moves", "--wait", "--output", "json")
		var moves []core.Move
		f.c.Assert(json.Unmarshal([]byte(output), &moves), qt.IsNil)
		f.c.Assert(moves[0].State, qt.Equals, end)
		f.run(StatusOK, "moves")
		f.run(want, "moves", "--wait", "m1")
	}
}

// Guards against a check that accepts a faulty file or reports only the first of several faults.
func TestCheck(t *testing.T) {
	f := newFixture(t)
	good, goodNode := f.file("good.jsonc", records), f.file("node.jsonc", node)
	f.run(StatusOK, "check", "--complete", good, goodNode)
	f.run(StatusUsage, "check", "--as", "node", good)
	route := `{"records": [{"kind": "route", "name": "read", "schema-version": 1, "version": 1, "body": {"path-prefix": "/", "service": "none", "timeout-ms": 1}}]}`
	f.run(StatusOK, "check", f.file("route.jsonc", route))
	f.c.Assert(f.run(StatusUsage, "check", "--complete", good, f.file("route.jsonc", route)), qt.Contains, `refers to service "none"`)

	bad := f.file("bad.jsonc", strings.NewReplacer(`"tenant": "a"`, `"colour": 1`, `"slots": 9`, `"slots": 0`).Replace(records))
	output := f.run(StatusUsage, "check", bad, f.file("node.jsonc", strings.Replace(node, "127.0.0.1:6", "x", 1)))
	f.c.Assert(output, qt.Matches, `(?s).*bad.jsonc:5: service record.*bad.jsonc:6: upstream.*bad.jsonc:7: .*node.jsonc:2: control-addresses\[0\].*`)
	f.c.Assert(f.run(StatusUsage, "check", f.file("twice.jsonc", strings.Replace(records, "],\n}", `], "records": [],}`, 1))), qt.Matches, `.*twice.jsonc:9: key "records" is there twice\n`)
	f.c.Assert(f.run(StatusUsage, "check", f.file("cut.jsonc", records[:300])), qt.Matches, `.*cut.jsonc:6: .*\n`)
	f.c.Assert(f.run(StatusUsage, "check", f.file("type.jsonc", strings.Replace(records, `"version": 1`, `"version": "1"`, 1))), qt.Matches, `.*type.jsonc:5: .*\n`)
	var result checkResult
	f.c.Assert(json.Unmarshal([]byte(f.run(StatusUsage, "check", "--output", "json", bad)), &result), qt.IsNil)
	f.c.Assert(result.Faults, qt.HasLen, 3)
}

// Guards against offering the command of a process that the program cannot run, and against starting a process with invalid settings.
func TestProcessCommands(t *testing.T) {
	f := newFixture(t)
	path := f.file("node.jsonc", node)
	f.c.Patch(&runNode, nil)
	f.c.Assert(f.run(StatusUsage, "node", "--settings", path), qt.Contains, "expected command")

	var started []core.NodeID
	f.c.Patch(&runNode, func(_ context.Context, loaded settings.Node, _ zerolog.Logger) error {
		started = append(started, loaded.ID)
		return errors.New("port in use")
	})
	f.c.Assert(f.run(StatusRefused, "node", "--settings", path), qt.Contains, "port in use")
	f.run(StatusUsage, "node", "--settings", f.file("bad.jsonc", "{}"))
	f.c.Assert(started, qt.DeepEquals, []core.NodeID{"n1"})
}

// Guards against help of a command without an example.
func TestHelpHasAnExampleOfEachCommand(t *testing.T) {
	f := newFixture(t)
	f.c.Patch(&runNode, func(context.Context, settings.Node, zerolog.Logger) error { return nil })
	f.c.Patch(&runControl, func(context.Context, settings.Control, zerolog.Logger) error { return nil })
	for _, command := range []string{commandControl, commandNode, commandApply, commandMove, commandMoves, commandAbort, commandStatus, commandAudit, commandRecords, commandCheck, commandReplay, commandVersion} {
		f.c.Assert(f.run(StatusOK, command, "--help"), qt.Contains, "Example: parsleyport "+command)
	}
}

// Guards against help that prints the usage twice.
func TestHelpIsPrintedOnce(t *testing.T) {
	f := newFixture(t)
	for _, args := range [][]string{{"--help"}, {"status", "--help"}, {"help", "status"}} {
		f.c.Assert(strings.Count(f.run(StatusOK, args...), "usage: "), qt.Equals, 1, qt.Commentf("%v", args))
	}
}

// Guards against a completion script that is followed by the usage, which a shell cannot load, and against completions without
// candidates.
func TestCompletion(t *testing.T) {
	f := newFixture(t)
	printed := func(args ...string) string {
		stdoutFile, err := os.Create(filepath.Join(f.folder, "stdout")) // kingpin writes completions to os.Stdout
		f.c.Assert(err, qt.IsNil)
		defer stdoutFile.Close()
		f.c.Patch(&os.Stdout, stdoutFile)
		f.c.Assert(f.run(StatusOK, args...), qt.Equals, "")
		content, err := os.ReadFile(stdoutFile.Name())
		f.c.Assert(err, qt.IsNil)
		return string(content)
	}
	f.c.Assert(printed("--completion-script-bash"), qt.Matches, `(?s).*complete -F _parsleyport_bash_autocomplete -o default parsleyport\s*`)
	f.c.Assert(printed("--completion-script-zsh"), qt.Matches, `(?s)#compdef parsleyport.*`)
	f.c.Assert(strings.Fields(printed("--completion-bash", "rec")), qt.Contains, "records")
	f.c.Assert(strings.Fields(printed("--completion-bash", "status", "--")), qt.Contains, "--nodes")
}

// Guards against a version that is the same for two different builds.
func TestVersionNamesTheRevision(t *testing.T) {
	c := qt.New(t)
	info := &debug.BuildInfo{GoVersion: "go1", Main: debug.Module{Version: "v1.2.3"}}
	c.Assert(describeBuild(info), qt.Equals, "parsleyport v1.2.3 (go1)")
	info.Main.Version = "(devel)"
	c.Assert(describeBuild(info), qt.Equals, "parsleyport without version or revision (go1)")
	info.Settings = []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.time", Value: "2026-12-04T10:00:00Z"}, {Key: "vcs.modified", Value: "true"}}
	c.Assert(describeBuild(info), qt.Equals, "parsleyport revision abc of 2026-12-04T10:00:00Z, changed (go1)")
}

// Guards against a second move when a command with a relative deadline is repeated after a lost answer.
func TestResendOfMoveWithRelativeDeadline(t *testing.T) {
	f := newFixture(t)
	f.run(StatusOK, "apply", f.file("records.jsonc", records))
	move := []string{"move", "--operator", "amina", "--service", "orders", "--from", "v1", "--to", "v2"}
	f.replicator.err = core.ErrOutcomeUnknown
	output := f.run(StatusUnknown, append(move, "--by", "10m", "--timeout", "100ms")...)
	resendArgs := regexp.MustCompile(`--submission-id \S+ --by \S+`).FindString(output)
	f.c.Assert(resendArgs, qt.Not(qt.Equals), "", qt.Commentf("%s", output))
	f.replicator.err = nil
	f.c.Assert(f.run(StatusOK, append(move, strings.Fields(resendArgs)...)...), qt.Contains, "move m1")
	f.c.Assert(f.replicator.catalog.Moves(), qt.HasLen, 1)
}

func FuzzParseRecords(f *testing.F) {
	f.Add([]byte(records))
	f.Add([]byte(`{"records": [{"kind": "service", "body": {"tenant": }}]}`))
	f.Add([]byte(`{"deletes": [{"kind": "route", "name": "a", "schema-version": 1, "version": 2}], "records": null,}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		submission, err := parseRecords("f", source)
		if faults, is := errors.AsType[fileError](err); err != nil && (!is || len(faults) == 0) {
			t.Fatalf("error without faults: %v", err)
		}
		if err != nil {
			return
		}
		submission.ID, submission.Operator = "a", "b"
		if _, err := catalog.EncodeSubmit(time.Unix(0, 0), 1, submission); err != nil && !errors.Is(err, catalog.ErrMalformed) {
			t.Fatal(fmt.Errorf("unexpected error: %w", err))
		}
	})
}

const tenantRecords = `{
  "operator": "amina",
  "records": [
    {"kind": "tenant", "name": "firm", "schema-version": 1, "version": 1, "body": {
      "api-keys": [
        "k-secret-1", "k-secret-2"
      ],
      "rate-per-s": 20
    }},
    {"kind": "tenant", "name": "bureau", "schema-version": 1, "version": 1, "body": {
      "api-keys": ["k-secret-3"]
    }}
  ]
}`

// Guards against a fault of a tenant that is reported without its line and key, and against an API key in a fault.
func TestCheckOfTenants(t *testing.T) {
	f := newFixture(t)
	good := f.file("good.jsonc", tenantRecords)
	f.run(StatusOK, "check", "--complete", good)
	for _, test := range []struct{ old, with, want string }{
		{`"rate-per-s": 20`, `"rate-per-s": -4`, `:8: tenant record "firm": rate-per-s is -4, .*`},
		{`"rate-per-s": 20`, `"rate-per-s": 2.5`, `:8: .*2.5.*rate-per-s.*`},
		{`"k-secret-2"`, `"k-secret 2"`, `:6: tenant record "firm": api-keys\[1\] has 10 bytes, .*`},
		{`"k-secret-2"`, `k-secret-2`, `:6: .*invalid literal`},
		{`"k-secret-3"`, `"x", "k-secret-2"`, `:11: tenant record "bureau": api-keys/1 is the same as one of tenant record "firm"`},
		{`"api-keys": ["k-secret-3"]`, `"id": "firm"`, `:11: tenant record "bureau": id is the same as one of tenant record "firm"`},
	} {
		output := f.run(StatusUsage, "check", f.file("bad.jsonc", strings.Replace(tenantRecords, test.old, test.with, 1)))
		f.c.Assert(output, qt.Matches, `.*bad.jsonc`+test.want+`\n`)
		f.c.Assert(output, qt.Not(qt.Contains), "k-secret")
	}
	second := f.file("second.jsonc", strings.Replace(tenantRecords, `"firm"`, `"other"`, 1))
	f.c.Assert(f.run(StatusUsage, "check", "--complete", good, second), qt.Matches, `(?s).*tenants "firm" and "other" share an API key\n.*`)
}

// Guards against API keys in the output of any command but the one that reads the whole configuration as it was submitted.
func TestCommandsShowNoKeys(t *testing.T) {
	f := newFixture(t)
	file := f.file("tenants.jsonc", tenantRecords)
	output := f.run(StatusRefused, "apply", file)
	f.c.Assert(output, qt.Contains, "rules-not-raised")
	command, err := catalog.EncodeRules(time.Now(), catalog.TenantRules)
	f.c.Assert(err, qt.IsNil)
	_, err = f.replicator.Propose(t.Context(), command)
	f.c.Assert(err, qt.IsNil)
	for _, args := range []string{"apply " + file, "records", "records --kind tenant --output json", "records firm --output json", "audit", "audit --output json"} {
		output += f.run(StatusOK, strings.Fields(args)...)
	}
	f.c.Assert(output, qt.Contains, "set tenant firm schema 1 version 1, API keys: 2 added, 0 removed")
	f.c.Assert(output, qt.Contains, "redacted key")
	f.c.Assert(output, qt.Not(qt.Contains), "k-secret")
	f.c.Assert(f.run(StatusOK, "records", "--output", "json"), qt.Contains, "k-secret-3")
}
