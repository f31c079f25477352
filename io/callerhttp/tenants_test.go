package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/callerhttp"
)

// tenantConfiguration adds a tenant with a limit, one without, and a route that allows anonymous calls.
func tenantConfiguration(c *qt.C, key string) *record.Configuration {
	add := func(kind core.Kind, name, body string) core.Record {
		return core.Record{Kind: kind, Name: name, SchemaVersion: 1, Version: 1, Body: []byte(body)}
	}
	next, err := configuration(c, allV1).Change([]core.Record{
		add(core.KindTenant, "limited", `{"id":"Firm/1","api-keys":["`+key+`"],"rate-per-s":5,"burst":5,"priority":7}`),
		add(core.KindTenant, "free", `{"api-keys":["key_free"]}`),
		add(core.KindRoute, "open", `{"path-prefix":"/orders/open","service":"orders","timeout-ms":60000,"priority":3,"allow-anonymous":true}`),
	}, nil, nil)
	c.Assert(err, qt.IsNil)
	return next
}

func answerDone(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
	return answer(200, strings.NewReader("done"))
}

// Guards against a request that is served for the wrong tenant or without one, against an API key that reaches a backend server or the
// log, against a tenant that a caller could state itself, and against any change where there are no tenants.
func TestTenantComesFromTheKey(t *testing.T) {
	c := qt.New(t)
	heard, log := true, &lockedBuffer{}
	spoofed := []string{"Parsleyport-Tenant", "spoofed", "Parsleyport-Tenant-Id", "spoofed", "Connection", "x, parsleyport-tenant-id"}
	with, without := tenantConfiguration(c, "key_limited"), configuration(c, allV1)
	for _, test := range []struct {
		configuration       *record.Configuration
		path, authorization string
		status              int
		cause               core.RefusalCause
		call                string // tenant, header with the tenant, Authorization, Connection and priority of the call that is passed on
	}{
		{with, "/orders", "Token key_limited", 200, "", "Firm/1,Firm/1,,x,7"},
		{with, "/orders/open", "tOkEn key_free", 200, "", "free,free,,x,3"},
		{with, "/orders/open", "Token key_wrong", 200, "", "shops,,,x, parsleyport-tenant-id,3"},
		{with, "/orders/open", "Basic a-b", 200, "", "shops,,Basic a-b,x, parsleyport-tenant-id,3"},
		{with, "/orders", "Token key_wrong", 401, core.CauseUnknownKey, ""},
		{with, "/orders", "Token key_wrong", 503, core.CauseNotConfirmed, ""},
		{with, "/none", "", 404, core.CauseNoRoute, ""},
		{without, "/orders", "Token x", 200, "", "spoofed,spoofed,Token x,x, parsleyport-tenant-id,0"},
	} {
		e := newEntry(c, allV1, func(o *callerhttp.Options) {
			o.Source, o.KeyScheme, o.Logger = fixedSource{configuration: test.configuration}, "Token", zerolog.New(log)
			o.LeaderHeard = func() bool { return heard }
		})
		e.forwarder.forward = answerDone
		heard = test.status != 503
		response, _, err := e.send(c, "GET", test.path, append(spoofed, "Authorization", test.authorization)...)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, test.status, qt.Commentf("%+v", test))
		c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(test.cause))
		c.Assert(response.Header.Get("WWW-Authenticate") == "Token", qt.Equals, test.status == 401)
		c.Assert(e.forwarder.attempts() == 1, qt.Equals, test.status == 200)
		for _, call := range e.forwarder.calls {
			h := call.Header
			c.Assert(fmt.Sprintf("%s,%s,%s,%s,%d", call.Tenant, h.Get("Parsleyport-Tenant-Id"), h.Get("Authorization"), h.Get("Connection"), call.Priority), qt.Equals, test.call)
			c.Assert(fmt.Sprint(h), qt.Not(qt.Contains), "key_")
		}
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	c.Assert(log.buffer.String(), qt.Contains, "unknown-key")
	c.Assert(log.buffer.String(), qt.Not(qt.Contains), "key_")
}

// Guards against a connection on which a key still works after its removal, or does not work after its addition.
func TestKeysChangeOnOpenConnections(t *testing.T) {
	c := qt.New(t)
	source := &swappedSource{fixedSource: fixedSource{configuration: tenantConfiguration(c, "old")}, next: tenantConfiguration(c, "new")}
	e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Source = source })
	e.forwarder.forward = answerDone
	connection, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	answers := bufio.NewReader(connection)
	for i, key := range []string{"old", "new", "new", "old"} {
		source.swap.Store(i >= 2)
		_, err := io.WriteString(connection, "GET /orders HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer "+key+"\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert(readStatus(c, answers), qt.Equals, []int{200, 401}[i%2])
	}
}

// fakeQuota refuses if it has a refusal, and counts the units.
type fakeQuota struct {
	refusal              *core.Refusal
	taken, back, settled int
}

func (q *fakeQuota) Take(_ context.Context, tenant core.TenantID) (core.QuotaUnit, *core.Refusal) {
	q.taken++
	return core.QuotaUnit{Tenant: tenant}, q.refusal
}

func (q *fakeQuota) GiveBack(core.QuotaUnit) { q.back++ }
func (q *fakeQuota) Settle(core.QuotaUnit)   { q.settled++ }

// Guards against quotas that count a request twice, or one that reached no backend server, and against an answer without the time at which
// a refused request may be sent again.
func TestQuotaUnits(t *testing.T) {
	c := qt.New(t)
	quota := &fakeQuota{}
	e := newEntry(c, allV1, func(o *callerhttp.Options) {
		o.Source, o.Quota = fixedSource{configuration: tenantConfiguration(c, "key")}, quota
	})
	for _, test := range []struct {
		key, path   string
		causes      []core.RefusalCause // of the attempts; the last one is repeated
		refusal     *core.Refusal
		status      int
		taken, back int
	}{
		{key: "key", path: "/orders", causes: []core.RefusalCause{core.CauseLeaving, ""}, status: 200, taken: 1},
		{key: "key_free", path: "/orders", status: 200},
		{key: "wrong", path: "/orders", status: 401},
		{key: "wrong", path: "/orders/open", status: 200},
		{key: "key", path: "/orders", causes: []core.RefusalCause{core.CauseQueueFull}, status: 503, taken: 1, back: 1},
		{key: "key", path: "/orders", causes: []core.RefusalCause{core.CauseOverloaded}, status: 503, taken: 1}, // a backend server has refused it
		{key: "key", path: "/orders", refusal: &core.Refusal{Cause: core.CauseQuotaUsed, RetryAfter: time.Now().Add(90 * time.Second)}, status: 429, taken: 1},
		{key: "key", path: "/orders", refusal: &core.Refusal{Cause: core.CauseQuotaUnavailable}, status: 503, taken: 1},
	} {
		first := e.forwarder.attempts() + 1
		e.forwarder.forward = func(attempt int, to core.Endpoint) (*core.Answer, core.Outcome, error) {
			if len(test.causes) > 0 {
				if cause := test.causes[min(attempt-first, len(test.causes)-1)]; cause != "" {
					return notRun(cause)
				}
			}
			return answerDone(attempt, to)
		}
		*quota = fakeQuota{refusal: test.refusal}
		response, _, err := e.send(c, "POST", test.path, "Authorization", "Bearer "+test.key)
		c.Assert(err, qt.IsNil)
		c.Assert([]int{response.StatusCode, quota.taken, quota.back}, qt.DeepEquals, []int{test.status, test.taken, test.back}, qt.Commentf("%+v", test))
		if quota.refusal == nil {
			c.Assert(quota.settled, qt.Equals, test.taken-test.back, qt.Commentf("%+v", test))
		}
		if test.refusal != nil {
			c.Assert(response.Header.Get("Parsleyport-Cause"), qt.Equals, string(test.refusal.Cause))
			c.Assert(response.Header.Get("Retry-After"), qt.Matches, map[int]string{429: "(89|90)"}[test.status])
		}
	}
}
