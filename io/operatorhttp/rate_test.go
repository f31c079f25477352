package operatorhttp_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/operatorhttp"
)

// Guards against a tenant whose requests keep a control instance busy or cause requests of other tenants to be rejected, and against
// a rejection that a client takes for a verdict or an unknown outcome.
func TestTenantsHaveSeparateRateLimits(t *testing.T) {
	c := qt.New(t)
	var replicator *fakeReplicator
	address, clients, _ := startTenants(c, io.Discard, func(o *operatorhttp.Options) {
		replicator = o.Replicator.(*fakeReplicator)
		o.Submissions = operatorhttp.Rate{PerSecond: 0.001, Burst: 3}
		o.Queries = operatorhttp.Rate{PerSecond: 0.001, Burst: operatorhttp.AuditCost}
		o.Limits = func() *catalog.Limits {
			return &catalog.Limits{Submissions: 1, Bytes: 1 << 20, Records: 9, RecordBytes: 1 << 20}
		}
	})
	ctx := withTimeout(c, 20*time.Second)
	submit := func(tenant string, id core.SubmissionID, deletes ...core.Deletion) (catalog.Verdict, error) {
		s := serviceSubmission(id, 1, tenant)
		s.Records[0].Name, s.Deletes = tenant, deletes
		return clients[tenant].Submit(ctx, s)
	}
	for _, tenant := range []string{"a", "b"} {
		first, err := submit(tenant, "1")
		c.Assert(err, qt.IsNil)
		c.Assert(first.Result, qt.Equals, catalog.Accepted)
		second, err := submit(tenant, "2")
		c.Assert(err, qt.IsNil)
		c.Assert(second.Cause, qt.Equals, catalog.CauseSubmissionLimit)
		resent, err := submit(tenant, "1")
		c.Assert(err, qt.IsNil)
		c.Assert(resent, qt.DeepEquals, first)
		_, err = submit(tenant, "3", make([]core.Deletion, 40_000)...) // 2 MB that the server does not read
		c.Assert(errors.Is(err, operatorhttp.ErrLimited), qt.IsTrue)
		c.Assert(err, qt.ErrorMatches, `.*more than 0.001 submissions a second with token "token-`+tenant+`".* nothing was changed, try again in \d+ s`)
	}
	c.Assert(replicator.proposals, qt.Equals, 4) // a submission above the limit does not reach the log
	_, err := clients["a"].Audit(ctx, catalog.AuditFilter{})
	c.Assert(err, qt.IsNil)
	_, err = clients["a"].Moves(ctx)
	c.Assert(errors.Is(err, operatorhttp.ErrLimited), qt.IsTrue)
	_, err = clients["b"].Moves(ctx)
	c.Assert(err, qt.IsNil)
	status, _ := get(c, address+"/ready", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	status, text := get(c, address+"/metrics", fmt.Sprintf(secretFormat, "all"))
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(text, qt.Contains, `parsleyport_operator_limited_total{token="token-a",kind="queries"} 1`)
	c.Assert(text, qt.Contains, "parsleyport_rules_version 1\n")
}

// Guards against a tenant that occupies a control instance with requests whose bodies it does not finish.
func TestTenantsHaveSeparateConcurrencyLimits(t *testing.T) {
	c := qt.New(t)
	address, clients, _ := startTenants(c, io.Discard, func(*operatorhttp.Options) {})
	for range 64 {
		connection, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = connection.Close() })
		_, err = fmt.Fprintf(connection, "POST /v1/submissions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+secretFormat+"\r\nContent-Length: 9\r\n\r\n", "a")
		c.Assert(err, qt.IsNil)
	}
	ctx, status, text := withTimeout(c, 20*time.Second), 0, ""
	for status != http.StatusTooManyRequests && ctx.Err() == nil {
		status, text = get(c, address+"/v1/moves", fmt.Sprintf(secretFormat, "a"))
	}
	c.Assert(text, qt.Contains, "more than 16 requests at the same time")
	_, err := clients["b"].Moves(ctx)
	c.Assert(err, qt.IsNil)
}

// Guards against a client that gives up after the first rejection by a rate limit although it has time to wait.
func TestRateLimitedRequestIsRetried(t *testing.T) {
	c := qt.New(t)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests == 1 {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write([]byte("[]"))
	}))
	c.Cleanup(server.Close)
	client := operatorhttp.NewClient(operatorhttp.ClientOptions{Servers: []string{server.Listener.Addr().String()}})
	c.Cleanup(client.Close)
	_, err := client.Moves(withTimeout(c, 20*time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(requests, qt.Equals, 2)
}
