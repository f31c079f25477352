package operatorhttp_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
)

// Guards against a control instance that reports itself ready without a leader, and against a dump or a metrics page that
// lacks what a fault report needs.
func TestReadinessMetricsAndStateDump(t *testing.T) {
	c := qt.New(t)
	replicator := &fakeReplicator{membership: &fakeMembership{members: []raft.Member{voter("c1")}}}
	f := start(c, "", replicator)
	status, _ := get(c, f.address+"/ready", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	replicator.readError = core.ErrNoLeader
	status, _ = get(c, f.address+"/ready", "")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)

	_, body := get(c, f.address+"/metrics", "")
	for _, name := range []string{"process_resident_memory_bytes", "process_cpu_seconds_total", "go_goroutines", "process_open_fds"} {
		c.Assert(body, qt.Contains, name+" ")
	}
	status, body = get(c, f.address+"/state", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	var dump map[string]any
	c.Assert(json.Unmarshal([]byte(body), &dump), qt.IsNil)
	for _, key := range []string{"replica", "members", "non-members", "fleet", "nodes", "endpoints", "moves", "revision", "hash", "records"} {
		c.Assert(dump[key], qt.IsNotNil, qt.Commentf("%s", key))
	}
}

// Guards against a dump or an error answer that shows an API key, and against a tenant in the log before all control instances know the
// rules for it.
func TestKeysStayInTheRecords(t *testing.T) {
	c := qt.New(t)
	replicator := &fakeReplicator{membership: &fakeMembership{members: []raft.Member{voter("c1")}}}
	f := start(c, "", replicator)
	post := func(want int, old, with string) string {
		const good = `{"submission-id":"a","operator":"o","records":[{"kind":"tenant","name":"firm","schema-version":1,"version":1,"body":{"api-keys":["k-secret"]}}]}`
		response, err := http.Post("http://"+f.address+"/v1/submissions", "application/json", strings.NewReader(strings.Replace(good, old, with, 1)))
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, want, qt.Commentf("%s", content))
		c.Assert(string(content), qt.Not(qt.Contains), "k-secret")
		return string(content)
	}
	c.Assert(post(http.StatusConflict, "", ""), qt.Contains, `"rules-not-raised"`)
	c.Assert(replicator.proposals, qt.Equals, 0)
	command, err := catalog.EncodeRules(time.Now(), catalog.TenantRules)
	c.Assert(err, qt.IsNil)
	_, err = replicator.Propose(t.Context(), command)
	c.Assert(err, qt.IsNil)
	post(422, `"version":1,`, "")
	post(422, `"operator":"o"`, `"operator":["k-secret"]`)
	post(422, `["k-secret"]`, `["k-secret", "k-secret 2"]`)
	post(422, `["k-secret"]`, `{"k-secret": 1}`)
	post(400, `}]}`, "")
	post(http.StatusOK, "", "")
	_, body := get(c, f.address+"/state", "")
	c.Assert(body, qt.Contains, "redacted key")
	c.Assert(body, qt.Not(qt.Contains), "k-secret")
	_, body = get(c, f.address+"/v1/records", "")
	c.Assert(body, qt.Contains, "k-secret")
}
