package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

// Options configure a Balancer.
type Options struct {
	DataCentre core.DataCentre
	Policy     Policy // empty for PolicyPowerOfTwo
	Seed       uint64 // seed of the random choices; equal seeds give equal choices
}

// Balancer implements core.Picker. It is safe for concurrent use.
type Balancer struct {
	options         Options
	mu              sync.Mutex // guards all fields below
	random          *rand.Rand
	members         map[core.NodeID]*member
	sessions        sessionTable
	roundRobinIndex int
	nextRemovalAt   time.Time
	firstUsedAt     time.Time
	routeMeans      map[core.RouteName]*movingMean // service times over all endpoints, with PolicyLeastCompletion
}

var _ core.Picker = (*Balancer)(nil)

// New returns a balancer. An unknown policy is treated as PolicyPowerOfTwo.
func New(options Options) *Balancer {
	return &Balancer{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		members:  make(map[core.NodeID]*member),
		sessions: newSessionTable(),

		routeMeans: make(map[core.RouteName]*movingMean),
	}
}

// Pick implements core.Picker. Endpoints that were tried or are leaving are never chosen, ejected ones only above the panic
// threshold.
func (b *Balancer) Pick(now time.Time, request core.PickRequest, candidates []core.Endpoint) (core.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, request, candidates)
	if len(usable) == 0 {
		return core.Endpoint{}, false
	}
	chosen := b.choose(now, request, usable)
	if chosen == nil {
		return core.Endpoint{}, false
	}
	chosen.outstanding++
	if b.options.Policy == PolicyLeastCompletion {
		chosen.completion.sent(now)
	}
	return chosen.endpoint, true
}

// usable returns the members to choose from after outlier ejection and the panic threshold.
func (b *Balancer) usable(now time.Time, request core.PickRequest, candidates []core.Endpoint) []*member {
	all := make([]*member, 0, len(candidates))
	for _, endpoint := range candidates {
		m := b.member(now, endpoint)
		if endpoint.State == core.EndpointReady && !lo.Contains(request.Tried, endpoint.Node) {
			all = append(all, m)
		}
	}
	b.removeStale(now)
	return preferred(now, all)
}

// preferred leaves out ejected members, up to the panic threshold, and avoided ones unless all are.
func preferred(now time.Time, all []*member) []*member {
	healthy := lo.Filter(all, func(m *member, _ int) bool { return !m.ejected(now) })
	if float64(len(all)-len(healthy)) > panicThresholdRatio*float64(len(all)) {
		healthy = all
	}
	if unavoided := lo.Filter(healthy, func(m *member, _ int) bool { return !m.avoided(now) }); len(unavoided) > 0 {
		return unavoided
	}
	return healthy
}

// member returns the statistics of an endpoint. A new incarnation or release starts with empty statistics.
func (b *Balancer) member(now time.Time, endpoint core.Endpoint) *member {
	if b.firstUsedAt.IsZero() {
		b.firstUsedAt = now
	}
	m, exists := b.members[endpoint.Node]
	if !exists || m.endpoint.Incarnation != endpoint.Incarnation || m.endpoint.Release != endpoint.Release {
		// Endpoints that are known when this node starts were already running, so they skip the slow start.
		skipSlowStart := now.Sub(b.firstUsedAt) < time.Second
		m = newMember(now, endpoint, skipSlowStart)
		b.members[endpoint.Node] = m
	}
	m.endpoint = endpoint
	m.lastCandidateAt = now
	return m
}

func (b *Balancer) removeStale(now time.Time) {
	if now.Before(b.nextRemovalAt) {
		return
	}
	b.nextRemovalAt = now.Add(memberRetention / 10)
	for id, m := range b.members {
		if m.outstanding == 0 && now.Sub(m.lastCandidateAt) > memberRetention {
			delete(b.members, id)
		}
	}
	b.sessions.expire(now, b.members)
}

// Done implements core.Picker.
func (b *Balancer) Done(now time.Time, result core.PickResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, exists := b.members[result.Endpoint.Node]
	if !exists || m.endpoint.Incarnation != result.Endpoint.Incarnation {
		return // an attempt at an earlier incarnation says nothing about this one
	}
	m.outstanding = max(0, m.outstanding-1)
	halfLife := localLoadHalfLife
	if m.endpoint.DataCentre != b.options.DataCentre {
		halfLife = remoteLoadHalfLife
	}
	m.observeLoad(now, result.Route, result.Load, halfLife)
	if b.options.Policy == PolicyLeastCompletion {
		b.observeCompletion(now, m, result)
	}
	if result.Discarded {
		if result.Latency.Seconds() > m.latencySeconds {
			m.observeLatency(now, result.Latency) // a lower bound: the cancelled attempt would have taken longer
		}
		return
	}
	if result.Outcome == core.OutcomeNotRun && !result.Failed {
		m.avoidUntil = now.Add(refusalAvoidance)
		return
	}
	m.observeAttempt(now, result.Latency, result.Failed)
	if result.Failed && b.isOutlier(m) {
		m.eject(now)
	}
}

func (b *Balancer) isOutlier(m *member) bool {
	if m.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if m.recentCalls < minEjectionCalls {
		return false
	}
	rate := m.recentFailures / m.recentCalls
	return rate >= minEjectionFailureRatio && rate >= ejectionFailureRateRatio*b.failureRateOfOthers(m)
}

func (b *Balancer) failureRateOfOthers(m *member) float64 {
	calls, failures := 0.0, 0.0
	for _, other := range b.members {
		if other != m && other.endpoint.Service == m.endpoint.Service {
			calls += other.recentCalls
			failures += other.recentFailures
		}
	}
	if calls == 0 {
		return 0
	}
	return failures / calls
}

// EndpointStatus is this node's view of an endpoint.
type EndpointStatus struct {
	Node        core.NodeID `json:"node"`
	Outstanding int         `json:"outstanding"`
	LatencyMS   float64     `json:"latency-ms"`
	FailureRate float64     `json:"failure-rate"`
	Ejected     bool        `json:"ejected"`
	// WaitMS is the usual reported time until a slot is free, and ServiceTimeRatio the service time as a ratio to that of all endpoints; both with
	// PolicyLeastCompletion only.
	WaitMS           float64 `json:"wait-ms,omitempty"`
	ServiceTimeRatio float64 `json:"service-time-ratio,omitempty"`
}

// Status returns the status of all known endpoints for a state dump.
func (b *Balancer) Status(now time.Time) []EndpointStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.MapToSlice(b.members, func(id core.NodeID, m *member) EndpointStatus {
		return EndpointStatus{
			Node:             id,
			Outstanding:      m.outstanding,
			LatencyMS:        m.latencySeconds * 1000,
			FailureRate:      m.failureRate(),
			Ejected:          m.ejected(now),
			WaitMS:           m.completion.usualWait.mean(0) * 1000,
			ServiceTimeRatio: m.completion.speed.mean(0),
		}
	})
}
