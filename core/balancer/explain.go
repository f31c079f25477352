package balancer

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

// EndpointExplanation is what a choice of an endpoint is based on.
type EndpointExplanation struct {
	Node        core.NodeID     `json:"node"`
	DataCentre  core.DataCentre `json:"data-centre"`
	Local       bool            `json:"local"`
	Excluded    string          `json:"excluded,omitempty"` // why it is not chosen from, empty if it is
	Outstanding int             `json:"outstanding"`
	WaitMS      float64         `json:"wait-ms"` // weighed, with PolicyLeastCompletion
	WorkMS      float64         `json:"work-ms"`
	OnTime      bool            `json:"on-time"`
}

// Explanation is the choice that Pick would probably make.
type Explanation struct {
	Policy    Policy                `json:"policy"`
	Likely    core.NodeID           `json:"likely,omitempty"`
	Why       string                `json:"why"`
	Endpoints []EndpointExplanation `json:"endpoints"`
}

// Explain says which endpoint Pick would probably choose, and why. It changes no state. Only PolicyExpected and PolicyLeastCompletion
// estimate the wait and the work; the other policies compare outstanding calls and latencies.
func (b *Balancer) Explain(now time.Time, request core.PickRequest, candidates []core.Endpoint) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	members := lo.Map(candidates, func(e core.Endpoint, _ int) *member { return b.knownMember(now, e) })
	usable := preferred(now, lo.Filter(members, func(m *member, _ int) bool {
		return m.endpoint.State == core.EndpointReady && !lo.Contains(request.Tried, m.endpoint.Node)
	}))
	explanation := Explanation{
		Policy: b.options.Policy,
	}
	if len(usable) == 0 {
		explanation.Why = "no endpoint is usable"
	}
	fallback := averageServiceTime(usable)
	estimates := make(map[*member]estimate, len(members))
	for _, m := range members {
		if b.options.Policy == PolicyLeastCompletion {
			estimates[m] = b.estimateCompletion(now, m, request.Route, fallback)
		} else {
			estimates[m] = m.estimateResponse(now, request.Route, fallback)
		}
		explanation.Endpoints = append(explanation.Endpoints, EndpointExplanation{
			Node:        m.endpoint.Node,
			DataCentre:  m.endpoint.DataCentre,
			Local:       m.endpoint.DataCentre == b.options.DataCentre,
			Excluded:    exclusion(now, m, usable),
			Outstanding: m.outstanding,
			WaitMS:      estimates[m].wait.Seconds() * 1000,
			WorkMS:      estimates[m].serviceTime.Seconds() * 1000,
			OnTime:      isOnTime(now, request, estimates[m]),
		})
	}
	if len(usable) > 0 {
		likely, why := b.likely(now, request, usable, estimates)
		explanation.Likely, explanation.Why = likely.endpoint.Node, why
	}
	return explanation
}

// knownMember returns a copy of the statistics of an endpoint as it is announced now, or those of a new one.
func (b *Balancer) knownMember(now time.Time, endpoint core.Endpoint) *member {
	m := b.members[endpoint.Node]
	if m == nil || m.endpoint.Incarnation != endpoint.Incarnation || m.endpoint.Release != endpoint.Release {
		return newMember(now, endpoint, true)
	}
	known := *m
	known.endpoint = endpoint
	return &known
}

func exclusion(now time.Time, m *member, usable []*member) string {
	switch {
	case slices.Contains(usable, m):
		return ""
	case m.endpoint.State != core.EndpointReady:
		return "state " + string(m.endpoint.State)
	case m.ejected(now):
		return "ejected after failures"
	case m.avoided(now):
		return "refused a call just now"
	}
	return "was tried before"
}

// likely returns the endpoint with the least estimate by the rules of choosePreferringLocal.
func (b *Balancer) likely(now time.Time, request core.PickRequest, usable []*member, estimates map[*member]estimate) (*member, string) {
	if b.options.Policy != PolicyExpected && b.options.Policy != PolicyLeastCompletion {
		return lo.MinBy(usable, func(a, b *member) bool { return a.cost(now) < b.cost(now) }), "least outstanding calls and latency"
	}
	least := func(local bool) *member {
		return lo.MinBy(lo.Filter(usable, func(m *member, _ int) bool {
			return (m.endpoint.DataCentre == b.options.DataCentre) == local
		}), func(x, y *member) bool { return estimates[x].responseTime() < estimates[y].responseTime() })
	}
	local, remote := least(true), least(false)
	switch {
	case local == nil:
		return remote, "no endpoint in this data centre"
	case isOnTime(now, request, estimates[local]):
		return local, "on time in this data centre"
	case remote == nil:
		return local, "late, and no endpoint in another data centre"
	case !estimates[remote].hasSpareCapacity() || !isOnTime(now, request, estimates[remote]):
		return local, "late here, and no free slot in time in another data centre"
	case !b.worthCrossing(request, estimates[local], estimates[remote]):
		return local, "late here, but the body takes longer between data centres than is gained"
	}
	return remote, "late here, on time in another data centre"
}
