package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/io/pipelinehttp"
	"parsleyport/io/settings"
)

const control = `{
  "id": "c1", "data-centre": "dc-a", "data-folder": "/data",
  "operator-address": "127.0.0.1:7101", // operators
  "peer-address": "127.0.0.1:7102",
  "node-address": "127.0.0.1:7103",
  "bootstrap": true,
  "members": [
    {"id": "c1", "data-centre": "dc-a", "operator-address": "127.0.0.1:7101", "peer-address": "127.0.0.1:7102", "node-address": "127.0.0.1:7103"},
    {"id": "c2", "data-centre": "dc-b", "operator-address": "127.0.0.1:7111", "peer-address": "127.0.0.1:7112", "node-address": "127.0.0.1:7113"},
    {"id": "c3", "data-centre": "dc-c", "operator-address": "127.0.0.1:7121", "peer-address": "127.0.0.1:7122", "node-address": "127.0.0.1:7123"},
  ],
}`

const node = `{
  "id": "n1", "data-centre": "dc-a",
  "caller-address": "127.0.0.1:7201", "peer-address": "127.0.0.1:7202", "relay-address": "127.0.0.1:7203",
  "backend-address": "127.0.0.1:7204", "admin-address": "[::1]:7205",
  "control-addresses": ["127.0.0.1:7103"], "log-level": "debug",
}`

// Guards against settings that are read into the wrong field or lose their default values.
func TestLoad(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "control.jsonc")
	c.Assert(os.WriteFile(path, []byte(control), 0o600), qt.IsNil)
	loaded, err := settings.LoadControl(path)
	c.Assert(err, qt.IsNil)
	c.Assert(loaded.Bootstrap, qt.IsTrue)
	c.Assert(loaded.Limits.SubmissionsPerSecond, qt.Equals, 20)
	c.Assert(loaded.Limits.TenantSubmissions > 1400, qt.IsTrue)
	c.Assert(loaded.LogLevel, qt.Equals, zerolog.InfoLevel)
	c.Assert(loaded.Members[2].NodeAddress, qt.Equals, "127.0.0.1:7123")
	c.Assert(loaded.PeerAddress, qt.Equals, "127.0.0.1:7102")

	parsed, err := settings.ParseNode("node.jsonc", []byte(node))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.AdminAddress, qt.Equals, "[::1]:7205")
	c.Assert(parsed.LogLevel, qt.Equals, zerolog.DebugLevel)

	_, err = settings.LoadNode(filepath.Join(c.TempDir(), "missing.jsonc"))
	c.Assert(err, qt.ErrorMatches, `.*missing.jsonc:0: expected a readable file.*`)
}

// Guards against a faulty file that is accepted, or whose error does not name the file, line and key.
func TestParseControlNamesEachFault(t *testing.T) {
	c := qt.New(t)
	c3 := control[strings.Index(control, `    {"id": "c3"`):strings.Index(control, "  ],")]
	for _, test := range []struct{ old, new, want string }{
		{`"bootstrap"`, `"boot"`, `f:6: boot: expected one of id, .*log-level, members, found an unknown key`},
		{`true`, `"yes"`, `f:6: bootstrap: expected true or false, found "yes"`},
		{`"/data"`, `7`, `f:2: data-folder: expected path of a folder, found 7`},
		{`127.0.0.1:7101", // operators`, `localhost:7101", //`, `f:3: operator-address: expected an IP address and port .*, found "localhost:7101"`},
		{`127.0.0.1:7112`, `127.0.0.1:0`, `f:9: members\[1\].peer-address: expected an IP address .*`},
		{`127.0.0.1:7112`, `0.0.0.0:7112`, `f:9: members\[1\].peer-address: expected an IP address .*`},
		{`127.0.0.1:7112`, `127.0.0.1:7102`, `f:9: members\[1\].peer-address: expected an address that is unique, found 127.0.0.1:7102 as in members\[0\]`},
		{`127.0.0.1:7112`, `127.0.0.1:7111`, `f:9: members\[1\].peer-address: expected another address than operator-address, .*`},
		{`"c3"`, `"c2"`, `f:10: members\[2\].id: expected an id that is unique, found "c2" as in members\[1\]`},
		{`"id": "c1", "data-centre": "dc-a", "data-folder"`, `"id": "c9", "data-centre": "dc-a", "data-folder"`, `f:2: id: expected one of the ids in members, found "c9"`},
		{`"data-centre": "dc-a", "data-folder"`, `"data-centre": "dc-b", "data-folder"`, `f:2: data-centre: expected "dc-a" as in members, found "dc-b"`},
		{`"node-address": "127.0.0.1:7103",`, `"node-address": "127.0.0.1:7109",`, `f:5: node-address: expected 127.0.0.1:7103 as in members, found 127.0.0.1:7109`},
		{`"dc-c"`, `"dc-b"`, `f:7: members: expected no majority in one of several data centres, found 2 of 3 in "dc-b"`},
		{c3, ``, `f:7: members: expected an odd number of control instances, at most 7, found 2`},
		{`"bootstrap": true`, `"bootstrap": true, "bootstrap": false`, `f:6: bootstrap: expected each key once, found a second one`},
		{`"bootstrap": true`, `"log-level": "loud"`, `f:6: log-level: expected trace, .*, found "loud"`},
		{`"data-folder": "/data",`, ``, `f:1: data-folder: expected path of a folder, found nothing`},
		{`"bootstrap": true`, `"limits": {"submissions-per-second": 0}`, `f:6: limits.submissions-per-second: expected a whole number from 1 to 10000, found 0`},
		{`"bootstrap": true`, `"limits": {"queries-burst": 9.5}`, `f:6: limits.queries-burst: expected a whole number from 20 to 10000, found 9.5`},
		{`"bootstrap": true`, `"limits": {"per-second": 1}`, `f:6: limits.per-second: expected one of submissions-per-second, .*, found an unknown key`},
		{`"bootstrap": true`, `"limits": 7`, `f:6: limits: expected an object, found 7`},
		{control, `[]`, `f:1: expected an object, found \[\]`},
		{control, "{\n}}", `f:2: expected JSON with comments, found .*`},
	} {
		c.Assert(strings.Contains(control, test.old), qt.IsTrue, qt.Commentf("%s", test.old))
		_, err := settings.ParseControl("f", []byte(strings.Replace(control, test.old, test.new, 1)))
		c.Assert(err, qt.ErrorMatches, test.want, qt.Commentf("%s -> %s", test.old, test.new))
	}
}

// Guards against limits for callers that are read into the wrong field, are not checked, or lose their default values.
func TestCallerLimits(t *testing.T) {
	c := qt.New(t)
	with := func(keys string) string { return strings.Replace(node, `"log-level"`, keys+`, "log-level"`, 1) }
	parsed, err := settings.ParseNode("f", []byte(node))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.CallerLimits, qt.Equals, pipelinehttp.Limits{})
	parsed, err = settings.ParseNode("f", []byte(with(`"memory-limit-bytes": 268435456, "caller-limits": {
		"head-bytes": 4096, "head-lines": 50, "empty-lines": 2, "chunk-extra-bytes": 100, "head-timeout-ms": 3000, "request-timeout-ms": 4000,
		"idle-timeout-ms": 5000, "write-timeout-ms": 6000, "concurrent-requests": 8, "connection-waiting-bytes": 65536,
		"waiting-bytes": 1048576, "connections": 500}`)))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.CallerLimits, qt.Equals, pipelinehttp.Limits{
		HeadBytes: 4096, HeadLines: 50, EmptyLines: 2, ChunkExtraBytes: 100, HeadTimeout: 3 * time.Second, RequestTimeout: 4 * time.Second,
		IdleTimeout: 5 * time.Second, WriteTimeout: 6 * time.Second, ConcurrentRequests: 8, ConnectionWaitingBytes: 64 << 10,
		WaitingBytes: 1 << 20, AccountBytes: 64 << 20, Connections: 500,
	})
	parsed, err = settings.ParseNode("f", []byte(with(`"memory-limit-bytes": 268435456, "caller-limits": {"account-bytes": 2097152}`)))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.CallerLimits.AccountBytes, qt.Equals, int64(2<<20))
	for _, test := range []struct{ keys, want string }{
		{`"memory-limit-bytes": 1000`, `f:5: memory-limit-bytes: expected a whole number from 16777216 to .*, found 1000`},
		{`"caller-limits": []`, `f:5: caller-limits: expected an object, found \[\]`},
		{`"caller-limits": {"head-lines": 0}`, `f:5: caller-limits.head-lines: expected a whole number from 16 to 10000, found 0`},
		{`"caller-limits": {"connections": 1.5}`, `f:5: caller-limits.connections: expected a whole number .*, found 1.5`},
		{`"caller-limits": {"idle-timeout-ms": -1}`, `f:5: caller-limits.idle-timeout-ms: expected a whole number .*, found -1`},
		{`"caller-limits": {"heads": 1}`, `f:5: caller-limits.heads: expected one of head-bytes, .*, found an unknown key`},
	} {
		_, err := settings.ParseNode("f", []byte(with(test.keys)))
		c.Assert(err, qt.ErrorMatches, test.want, qt.Commentf("%s", test.keys))
	}
}

// Guards against a check that stops at the first fault, so that operators find the faults one at a time.
func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	c := qt.New(t)
	broken := strings.NewReplacer(`"id": "n1"`, `"id": "N 1"`, "7202", "7201", "7103", "x", "debug", "or", `"admin-address"`, `"admin"`).Replace(node)
	_, err := settings.ParseNode("f", []byte(broken))
	var faults *settings.Error
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	keys := make([]string, 0, len(faults.Faults))
	for _, fault := range faults.Faults {
		keys = append(keys, fault.Key)
	}
	c.Assert(keys, qt.ContentEquals, []string{"id", "peer-address", "control-addresses[0]", "log-level", "admin", "admin-address"})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(control))
	f.Add([]byte(node))
	f.Add([]byte(`{"members": [1, {"id": "\ud800"}], "control-addresses": "x", "id": 1e999,}`))
	f.Add([]byte(`{"a": /* cut`))
	f.Add([]byte(tokens))
	f.Fuzz(func(t *testing.T, source []byte) {
		_, controlErr := settings.ParseControl("f", source)
		_, nodeErr := settings.ParseNode("f", source)
		_, tokenErr := settings.ParseTokens("f", source)
		for _, err := range []error{controlErr, nodeErr, tokenErr} {
			var faults *settings.Error
			if err != nil && (!errors.As(err, &faults) || len(faults.Faults) == 0) {
				t.Fatalf("error without faults: %v", err)
			}
		}
		if controlErr == nil && nodeErr == nil {
			t.Fatal("one file passes as both kinds of settings")
		}
	})
}
