package operatorhttp_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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
)

func get(c *qt.C, address, token string) (status int, body string) {
	c.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	content, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode, string(content)
}

const secretFormat = "secret-of-%s-0123456789"

// startTenants starts a server with a token for each of three tenants, and one with all rights.
func startTenants(c *qt.C, log io.Writer, change func(*operatorhttp.Options)) (address string, clients map[string]*operatorhttp.Client, records *catalog.Catalog) {
	replicator := &fakeReplicator{leader: "c1", catalog: catalog.New(), membership: &fakeMembership{members: []raft.Member{voter("c1")}}}
	tokens := []operatorhttp.Token{{Principal: catalog.Principal{Token: "platform"}, Secret: fmt.Sprintf(secretFormat, "all")}}
	for _, tenant := range []string{"a", "b", "c"} {
		tokens = append(tokens, operatorhttp.Token{
			Principal: catalog.Principal{Token: "token-" + tenant, Tenants: []core.TenantID{core.TenantID(tenant)}},
			Secret:    fmt.Sprintf(secretFormat, tenant),
		})
	}
	options := operatorhttp.Options{
		Listen: "127.0.0.1:0", Replicator: replicator, Membership: replicator.membership, Catalog: replicator.catalog,
		Tokens: tokens, Fleet: fakeFleet{}, Log: zerolog.New(log), Metrics: metrics.NewSet(),
	}
	change(&options)
	server, stop, err := operatorhttp.New(options)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	clients = make(map[string]*operatorhttp.Client)
	for _, name := range []string{"all", "a", "b", "c"} {
		clients[name] = operatorhttp.NewClient(operatorhttp.ClientOptions{Servers: []string{server.Address()}, Token: fmt.Sprintf(secretFormat, name)})
		c.Cleanup(clients[name].Close)
	}
	return server.Address(), clients, replicator.catalog
}

// Guards against a tenant that changes the records of another, or reads its counters, moves or audit trail, when rivals share one
// platform; and against a secret in the log or the audit trail.
func TestTokensOfTenants(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	address, clients, records := startTenants(c, &log, func(*operatorhttp.Options) {})
	ctx := withTimeout(c, 20*time.Second)
	for _, tenant := range []string{"a", "b", "c"} {
		submission := core.Submission{ID: "one", Operator: "amina"}
		for name, body := range map[string]string{
			"service/%s": `{"tenant": %q}`, "upstream/%s-v1": `{"service": %q, "release": "r1", "slots": 1}`, "upstream/%s-v2": `{"service": %q, "release": "r2", "slots": 1}`,
			"policy/%s": `{"service": %[1]q, "weights": [{"upstream": "%[1]s-v1", "per-mille": 1000}]}`,
		} {
			kind, rest, _ := bytes.Cut([]byte(name), []byte("/"))
			submission.Records = append(submission.Records, core.Record{
				Kind: core.Kind(kind), Name: fmt.Sprintf(string(rest), tenant), SchemaVersion: 1, Version: 1, Body: fmt.Appendf(nil, body, tenant),
			})
		}
		verdict, err := clients[tenant].Submit(ctx, submission)
		c.Assert(err, qt.IsNil)
		c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
		request := core.MoveRequest{ID: "move", Operator: "amina", Service: core.ServiceName(tenant), From: core.UpstreamName(tenant + "-v1"), To: core.UpstreamName(tenant + "-v2"), Deadline: time.Now().Add(time.Hour)}
		verdict, err = clients[tenant].Move(ctx, request)
		c.Assert(err, qt.IsNil)
		c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
	}
	verdict, err := clients["a"].Submit(ctx, core.Submission{ID: "steal", Operator: "amina", Records: []core.Record{{Kind: core.KindService, Name: "b", SchemaVersion: 1, Version: 2, Body: []byte(`{"tenant": "a"}`)}}})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Cause, qt.Equals, catalog.CauseNotPermitted)

	moves, err := clients["a"].Moves(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(moves, qt.HasLen, 1)
	_, err = clients["a"].ShowMove(ctx, "m2")
	c.Assert(errors.Is(err, operatorhttp.ErrRejected), qt.IsTrue)
	entries, err := clients["a"].Audit(ctx, catalog.AuditFilter{})
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 3)
	c.Assert(entries[2].Token, qt.Equals, "token-a")
	status, err := clients["a"].Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(status.OpenMoves, qt.DeepEquals, []core.MoveID{"m1"})
	c.Assert(status.Fleet.Nodes+len(status.Hash)+len(status.Replica.Voters), qt.Equals, 0)
	c.Assert(status.Fleet.Endpoints, qt.DeepEquals, map[core.ServiceName]int{"a": 1})
	_, err = clients["a"].Members(ctx)
	c.Assert(err, qt.ErrorMatches, ".*"+"needs a token with all rights")

	_, err = clients["a"].StatusWithNodes(ctx)
	c.Assert(err, qt.ErrorMatches, ".*needs a token with all rights")
	seen, err := clients["a"].Records(ctx, operatorhttp.RecordFilter{})
	c.Assert(err, qt.IsNil)
	c.Assert(seen.Records, qt.HasLen, 4)

	for name, want := range map[string]int{"": http.StatusUnauthorized, "a": http.StatusForbidden, "all": http.StatusOK} {
		for _, path := range []string{"/metrics", "/state"} {
			status, body := get(c, address+path, fmt.Sprintf(secretFormat, name))
			c.Assert(status, qt.Equals, want, qt.Commentf("%s for %q", path, name))
			c.Assert(body, qt.Not(qt.Contains), "secret-of")
		}
	}
	all, err := clients["all"].Audit(ctx, catalog.AuditFilter{})
	c.Assert(err, qt.IsNil)
	c.Assert(all, qt.HasLen, 7)
	snapshot, err := records.Snapshot()
	c.Assert(err, qt.IsNil)
	encoded, err := json.Marshal(all)
	c.Assert(err, qt.IsNil)
	c.Assert(log.String(), qt.Contains, `"token":"token-b"`)
	for _, text := range []string{log.String(), string(encoded), string(snapshot)} {
		c.Assert(text, qt.Not(qt.Contains), "secret-of")
	}
}
