package operatorhttp_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/catalog"
	"parsleyport/core/raft"
)

// Guards against a dump or an error answer that shows an API key, and against a tenant in the log before all control instances know the
// rules for it.
func TestKeysStayInTheRecords(t *testing.T) {
	c := qt.New(t)
	replicator := &fakeReplicator{membership: &fakeMembership{members: []raft.Member{voter("c1")}}}
	f := start(c, "", replicator)
	post := func(body string) (int, string) {
		response, err := http.Post("http://"+f.address+"/v1/submissions", "application/json", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		return response.StatusCode, string(content)
	}
	const good = `{"submission-id":"a","operator":"o","records":[{"kind":"tenant","name":"firm","schema-version":1,"version":1,"body":{"api-keys":["k-secret"]}}]}`
	status, body := post(good)
	c.Assert(status, qt.Equals, http.StatusConflict)
	c.Assert(body, qt.Contains, `"rules-not-raised"`)
	c.Assert(replicator.proposals, qt.Equals, 0)
	command, err := catalog.EncodeRules(time.Now(), catalog.TenantRules)
	c.Assert(err, qt.IsNil)
	_, err = replicator.Propose(t.Context(), command)
	c.Assert(err, qt.IsNil)
	for _, wrong := range []string{
		strings.Replace(good, `"version":1,`, "", 1),
		strings.Replace(good, `"operator":"o"`, `"operator":{"api-keys":["k-secret"]}`, 1),
		strings.Replace(good, `"body":`, `"colour":`, 1),
		strings.Replace(good, `["k-secret"]`, `["k-secret", "k-secret 2"]`, 1),
		strings.Replace(good, `["k-secret"]`, `{"k-secret": 1}`, 1),
		good[:len(good)-5],
	} {
		status, body := post(wrong)
		c.Assert(status >= 400 && status < 500, qt.IsTrue, qt.Commentf("%d %s", status, body))
		c.Assert(body, qt.Not(qt.Contains), "k-secret")
	}
	status, body = post(good)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(body))
	_, body = get(c, f.address+"/state", "")
	c.Assert(body, qt.Contains, "redacted key")
	c.Assert(body, qt.Not(qt.Contains), "k-secret")
	_, body = get(c, f.address+"/v1/records", "")
	c.Assert(body, qt.Contains, "k-secret")
}
