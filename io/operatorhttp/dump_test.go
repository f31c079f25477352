package operatorhttp_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
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
