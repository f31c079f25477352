package distribution

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/quota"
)

// fakeLender answers each request with the units that it asks for. It leads unless it has no term.
type fakeLender struct {
	term     core.Term
	requests []quota.Request
}

func (f *fakeLender) Exchange(_ context.Context, request quota.Request) (quota.Answer, error) {
	f.requests = append(f.requests, request)
	if f.term == 0 {
		return quota.Answer{}, core.ErrNoLeader
	}
	answer := quota.Answer{Sequence: request.Sequence, Term: f.term, Allotments: []quota.Allotment{{Tenant: "of an earlier connection"}}}
	for _, each := range request.Reports {
		answer.Allotments = append(answer.Allotments, quota.Allotment{Tenant: each.Tenant, Units: each.Demand, Base: 99, Free: 7, Used: time.Second})
	}
	return answer, nil
}

// Guards against requests for units that lose a field on the way, name each tenant each time, or are answered by a control instance
// that does not lead.
func TestQuotaLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newCluster(t)
		defer tc.close()
		leading, following := &fakeLender{term: 5}, &fakeLender{}
		for id, lender := range map[core.ControlID]*fakeLender{"c1": leading, "c2": following} {
			tc.sourceWith(id, func(o *SourceOptions) {
				o.Quotas = lender
				if id == "c2" {
					o.Peers = []Peer{{ID: "c1", Address: "c1"}}
				}
			})
		}
		s := tc.subscriberWith("n1", func(o *SubscriberOptions) { o.ControlAddresses = []string{"c2", "c1"} })
		tc.eventually(5*time.Second, "attached", s.Confirmed)
		c.Assert(s.QuotaTargets(), qt.HasLen, 2)

		exchange := func(link *QuotaLink, sequence uint64, tenants ...core.TenantID) (quota.Request, quota.Answer, error) {
			request := quota.Request{
				Node: "n1", Incarnation: s.options.Incarnation, Sequence: sequence, Term: 4, Span: 5500 * time.Millisecond, Full: sequence == 1,
				Reports: []quota.Report{},
			}
			for i, tenant := range tenants {
				request.Reports = append(request.Reports, quota.Report{
					Tenant: tenant, Held: 1 + i, Allotted: 2 + i, Demand: 3 + i, Ahead: 4 + i, Next: time.Duration(5+i) * 100 * time.Millisecond, Base: 6 + i, Free: lo.Ternary(sequence == 1, 7+i, 0),
				})
			}
			answer, err := link.Exchange(context.Background(), request)
			return request, answer, err
		}
		link, err := s.OpenQuotaLink(context.Background(), "c2", 5500*time.Millisecond)
		c.Assert(err, qt.IsNil)
		_, _, err = exchange(link, 1, "a")
		var redirected *NotLenderError
		c.Assert(errors.As(err, &redirected), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(redirected.Lender, qt.Equals, "c1")
		c.Assert(link.Close(), qt.IsNil)

		link, err = s.OpenQuotaLink(context.Background(), redirected.Lender, 5500*time.Millisecond)
		c.Assert(err, qt.IsNil)
		defer link.Close()
		for i, tenants := range [][]core.TenantID{{"a", "b"}, {"b"}, {}, {"c", "a"}} {
			request, answer, err := exchange(link, uint64(i+1), tenants...)
			c.Assert(err, qt.IsNil)
			c.Assert(leading.requests[i], qt.DeepEquals, request)
			c.Assert(answer.Term == 5 && answer.Sequence == request.Sequence && len(answer.Allotments) == len(tenants), qt.IsTrue)
			for j, allotment := range answer.Allotments {
				c.Assert(allotment, qt.Equals, quota.Allotment{Tenant: tenants[j], Units: 3 + j, Base: 99, Free: 7, Used: time.Second})
			}
		}
		c.Assert(link.names, qt.DeepEquals, []core.TenantID{"a", "b", "c"})
	})
}

// Guards against a request that makes a control instance panic or that is taken as one of another node.
func TestInvalidQuotaRequestsEndTheConnection(t *testing.T) {
	c := qt.New(t)
	valid := &quotaHello{Node: "n1", SpanMS: 5500}
	for name, message := range map[string]quotaRequest{
		"no hello":                  {Sequence: 1},
		"no node":                   {Hello: &quotaHello{SpanMS: 5500}},
		"no span":                   {Hello: &quotaHello{Node: "n1"}},
		"number that is not named":  {Hello: valid, Names: []core.TenantID{"a"}, Reports: []quotaReport{{Tenant: 1}}},
		"negative number":           {Hello: valid, Names: []core.TenantID{"a"}, Reports: []quotaReport{{Tenant: -1}}},
		"more names than are known": {Hello: valid, Names: make([]core.TenantID, maxQuotaNames+1)},
	} {
		body, err := msgpack.Marshal(message)
		c.Assert(err, qt.IsNil)
		received, err := newFrame(typeQuotaRequest, body)
		c.Assert(err, qt.IsNil)
		_, err = (&quotaServerLink{numbers: make(map[core.TenantID]int)}).decode(received)
		c.Assert(err, qt.Not(qt.IsNil), qt.Commentf("%s", name))
	}
}
