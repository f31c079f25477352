package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/callerhttp"
)

// tenantConfiguration adds a tenant with a limit, one without, and a route that allows anonymous calls.
func tenantConfiguration(c *qt.C, keys string) *record.Configuration {
	add := func(kind core.Kind, name, body string) core.Record {
		return core.Record{Kind: kind, Name: name, SchemaVersion: 1, Version: 1, Body: []byte(body)}
	}
	next, err := configuration(c, allV1).Change([]core.Record{
		add(core.KindTenant, "limited", `{"id":"Firm/1","api-keys":[`+keys+`],"rate-per-s":5,"burst":5,"priority":7}`),
		add(core.KindTenant, "free", `{"api-keys":["key_free"]}`),
		add(core.KindRoute, "open", `{"path-prefix":"/orders/open","service":"orders","timeout-ms":60000,"priority":3,"allow-anonymous":true}`),
	}, nil, nil)
	c.Assert(err, qt.IsNil)
	return next
}

// fakeQuota refuses with a cause if it has one, and counts the units.
type fakeQuota struct {
	refusal     *core.Refusal
	taken, back atomic.Int64
}

func (q *fakeQuota) Take(_ context.Context, tenant core.TenantID) (core.QuotaUnit, *core.Refusal) {
	q.taken.Add(1)
	return core.QuotaUnit{Tenant: tenant}, q.refusal
}

func (q *fakeQuota) GiveBack(unit core.QuotaUnit) {
	if unit.Tenant == "Firm/1" {
		q.back.Add(1)
	}
}

// Guards against a request that is served for the wrong tenant or without one, against an API key that reaches a backend server or the
// log, and against a tenant that a caller or a backend server could state itself.
func TestTenantComesFromTheKey(t *testing.T) {
	c := qt.New(t)
	var heard atomic.Bool
	log := &lockedBuffer{}
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.Source = fixedSource{configuration: tenantConfiguration(c, `"key_limited"`)}
		o.KeyScheme = "Token"
		o.LeaderHeard = heard.Load
		o.Logger = zerolog.New(log)
	})
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		return answer(200, strings.NewReader("done"))
	}
	spoofed := []string{"Parsleyport-Tenant", "spoofed", "Parsleyport-Tenant-Id", "spoofed", "Connection", "x, parsleyport-tenant-id"}
	for _, test := range []struct {
		path, authorization string
		status              int
		cause               core.RefusalCause
		tenant              core.TenantID
		passedOn            string
		priority            core.Priority
	}{
		{path: "/orders", authorization: "Token key_limited", status: 200, tenant: "Firm/1", priority: 7},
		{path: "/orders", authorization: "tOkEn key_free", status: 200, tenant: "free"},
		{path: "/orders/open", authorization: "Token key_free", status: 200, tenant: "free", priority: 3},
		{path: "/orders/open", authorization: "Token key_wrong", status: 200, priority: 3},
		{path: "/orders/open", authorization: "Basic a-b", status: 200, passedOn: "Basic a-b", priority: 3},
		{path: "/orders", authorization: "Token key_wrong", status: 401, cause: core.CauseUnknownKey},
		{path: "/orders", authorization: "Bearer key_free", status: 401, cause: core.CauseUnknownKey},
		{path: "/orders", status: 401, cause: core.CauseUnknownKey},
		{path: "/none", status: 404, cause: core.CauseNoRoute},
	} {
		for _, recent := range []bool{true, false} {
			heard.Store(recent)
			comment := qt.Commentf("%+v %t", test, recent)
			status, cause := test.status, test.cause
			if status == 401 && !recent {
				status, cause = 503, core.CauseNotConfirmed
			}
			before := e.forwarder.attempts()
			response, _, err := e.send(c, "GET", test.path, append(spoofed, "Authorization", test.authorization)...)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, status, comment)
			c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(cause), comment)
			c.Assert(response.Header.Get("WWW-Authenticate") == "Token", qt.Equals, status == 401, comment)
			if status != 200 {
				c.Assert(e.forwarder.attempts(), qt.Equals, before, comment)
				continue
			}
			call := e.forwarder.calls[before]
			c.Assert(call.Header.Get("Parsleyport-Tenant-Id"), qt.Equals, string(test.tenant), comment)
			c.Assert(call.Tenant == test.tenant || test.tenant == "" && call.Tenant == "shops", qt.IsTrue, comment)
			c.Assert(call.Header.Get("Authorization"), qt.Equals, test.passedOn, comment)
			c.Assert(call.Priority, qt.Equals, test.priority, comment)
			c.Assert(fmt.Sprint(call.Header), qt.Not(qt.Contains), "key_", comment)
			if test.tenant != "" {
				c.Assert(call.Header.Get("Connection"), qt.Equals, "x", comment)
			}
		}
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	c.Assert(log.buffer.String(), qt.Contains, "unknown-key")
	c.Assert(log.buffer.String(), qt.Not(qt.Contains), "key_")
}

// Guards against headers that change where the configuration has no tenants.
func TestNothingChangesWithoutTenants(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.LeaderHeard = func() bool { return false } })
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		return answer(200, strings.NewReader("done"))
	}
	response, _, err := e.send(c, "GET", "/orders", "Authorization", "Bearer k", "Parsleyport-Tenant", "stated", "Parsleyport-Tenant-Id", "t")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 200)
	call := e.forwarder.calls[0]
	c.Assert(call.Tenant, qt.Equals, core.TenantID("stated"))
	c.Assert(call.Header.Get("Authorization"), qt.Equals, "Bearer k")
	c.Assert(call.Header.Get("Parsleyport-Tenant-Id"), qt.Equals, "t")
}

// Guards against a connection on which a key still works after its removal, or does not work after its addition.
func TestKeysChangeOnOpenConnections(t *testing.T) {
	c := qt.New(t)
	source := &swappedSource{fixedSource: fixedSource{configuration: tenantConfiguration(c, `"old"`)}, next: tenantConfiguration(c, `"new"`)}
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Source = source })
	e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
		return answer(200, strings.NewReader("done"))
	}
	connection, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	answers := bufio.NewReader(connection)
	status := func(key string) int {
		_, err := io.WriteString(connection, "GET /orders HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer "+key+"\r\n\r\n")
		c.Assert(err, qt.IsNil)
		return readStatus(c, answers)
	}
	c.Assert([]int{status("old"), status("new")}, qt.DeepEquals, []int{200, 401})
	source.swap.Store(true)
	c.Assert([]int{status("old"), status("new")}, qt.DeepEquals, []int{401, 200})
}

// Guards against quotas that count a request twice, or one that reached no backend server, and against an answer without the time at which
// a refused request may be sent again.
func TestQuotaUnits(t *testing.T) {
	c := qt.New(t)
	quota := &fakeQuota{}
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.Source = fixedSource{configuration: tenantConfiguration(c, `"k"`)}
		o.Quota = quota
	})
	var cause core.RefusalCause
	e.forwarder.forward = func(attempt int, _ core.Endpoint) (*core.Answer, core.Outcome, error) {
		if cause != "" {
			return notRun(cause)
		}
		if attempt == 1 {
			return notRun(core.CauseLeaving)
		}
		return answer(200, strings.NewReader("done"))
	}
	for _, test := range []struct {
		key, path   string
		cause       core.RefusalCause
		refusal     *core.Refusal
		status      int
		taken, back int64
	}{
		{key: "k", path: "/orders", status: 200, taken: 1}, // with a retry
		{key: "key_free", path: "/orders", status: 200},
		{key: "wrong", path: "/orders", status: 401},
		{key: "wrong", path: "/orders/open", status: 200},
		{key: "k", path: "/orders", cause: core.CauseQueueFull, status: 503, taken: 1, back: 1},
		{key: "k", path: "/orders", cause: core.CauseOverloaded, status: 503, taken: 1}, // a backend server has refused it
		{key: "k", path: "/orders", refusal: &core.Refusal{Cause: core.CauseQuotaUsed, RetryAfter: time.Now().Add(90 * time.Second)}, status: 429, taken: 1},
		{key: "k", path: "/orders", refusal: &core.Refusal{Cause: core.CauseQuotaUnavailable}, status: 503, taken: 1},
	} {
		comment := qt.Commentf("%+v", test)
		cause, quota.refusal = test.cause, test.refusal
		quota.taken.Store(0)
		quota.back.Store(0)
		response, _, err := e.send(c, "POST", test.path, "Authorization", "Bearer "+test.key)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, test.status, comment)
		c.Assert(quota.taken.Load(), qt.Equals, test.taken, comment)
		c.Assert(quota.back.Load(), qt.Equals, test.back, comment)
		if test.status == http.StatusTooManyRequests {
			c.Assert(response.Header.Get("Retry-After"), qt.Matches, "(89|90)")
		}
		if test.refusal != nil {
			c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(test.refusal.Cause), comment)
		}
	}
}
