package balancer

import (
	"math"
	"time"

	"parsleyport/core"
)

// member holds what this node has seen of one run of an endpoint.
type member struct {
	endpoint    core.Endpoint
	outstanding int
	load        reportedLoad
	sessions    int // sticky reservations

	latency   float64 // seconds, weighted average
	sampledAt time.Time

	consecutive  int
	calls        float64
	failures     float64
	countedAt    time.Time
	ejections    int
	ejectedUntil time.Time
	avoidUntil   time.Time

	warmAt time.Time // end of the slow start
	seenAt time.Time
}

func newMember(now time.Time, endpoint core.Endpoint, warm bool) *member {
	m := &member{
		endpoint:  endpoint,
		latency:   initialLatency.Seconds(),
		sampledAt: now,
		countedAt: now,
		warmAt:    now,
	}
	if !warm {
		m.warmAt = now.Add(slowStart)
	}
	return m
}

func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

func (m *member) ejected(now time.Time) bool {
	return now.Before(m.ejectedUntil)
}

func (m *member) avoided(now time.Time) bool {
	return now.Before(m.avoidUntil)
}

// cost is the expected time until an answer, in arbitrary units; lower is better.
func (m *member) cost(now time.Time) float64 {
	// An endpoint that is not used drifts back to the initial latency, so that one slow spell is not held against it for good.
	kept := decay(now.Sub(m.sampledAt), 5*latencyHalfLife)
	latency := m.latency*kept + initialLatency.Seconds()*(1-kept)
	return float64(m.outstanding+1) * latency * (1 + failureCost*m.failureRate()) / m.warmth(now)
}

func (m *member) warmth(now time.Time) float64 {
	left := m.warmAt.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(slowStartFloor, 1-float64(left)/float64(slowStart))
}

func (m *member) failureRate() float64 {
	return m.failures / max(m.calls, ejectMinCalls)
}

// observe adds one finished attempt.
func (m *member) observe(now time.Time, latency time.Duration, failed bool) {
	kept := decay(now.Sub(m.countedAt), countHalfLife)
	m.calls = m.calls*kept + 1
	m.failures *= kept
	m.countedAt = now
	if failed {
		m.failures++
		m.consecutive++
		return
	}
	m.consecutive = 0
	m.observeLatency(now, latency)
}

// observeLatency weights a sample by the time since the last one, with a floor so that a burst still counts.
func (m *member) observeLatency(now time.Time, latency time.Duration) {
	weight := max(0.05, 1-decay(now.Sub(m.sampledAt), latencyHalfLife))
	m.latency += (latency.Seconds() - m.latency) * weight
	m.sampledAt = now
}

func (m *member) eject(now time.Time) {
	m.ejections++
	m.ejectedUntil = now.Add(min(time.Duration(m.ejections)*ejectFor, ejectAtMost))
	m.consecutive = 0
	m.calls = 0
	m.failures = 0
}
