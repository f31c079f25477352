package balancer

import (
	"math"
	"time"

	"parsleyport/core"
)

// member holds this node's statistics of one incarnation of an endpoint.
type member struct {
	endpoint    core.Endpoint
	outstanding int
	load        reportedLoad
	sessions    int // reserved sticky sessions
	completion  completion

	latencySeconds float64 // moving average
	sampledAt      time.Time

	consecutiveFailures int
	recentCalls         float64
	recentFailures      float64
	countedAt           time.Time
	ejections           int
	ejectedUntil        time.Time
	avoidUntil          time.Time

	slowStartEnd    time.Time
	lastCandidateAt time.Time
}

func newMember(now time.Time, endpoint core.Endpoint, skipSlowStart bool) *member {
	m := &member{
		endpoint:       endpoint,
		latencySeconds: initialLatency.Seconds(),
		sampledAt:      now,
		countedAt:      now,
		slowStartEnd:   now,
	}
	if !skipSlowStart {
		m.slowStartEnd = now.Add(slowStartDuration)
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

// cost estimates the relative cost of one more call from outstanding attempts, latency and failures. Lower is better.
func (m *member) cost(now time.Time) float64 {
	// The latency of an unused endpoint decays to the initial latency, so that an endpoint is tried again after a slowdown.
	kept := decay(now.Sub(m.sampledAt), 5*latencyHalfLife)
	latency := m.latencySeconds*kept + initialLatency.Seconds()*(1-kept)
	return float64(m.outstanding+1) * latency * (1 + failureCostRatio*m.failureRate()) / m.slowStartRatio(now)
}

func (m *member) slowStartRatio(now time.Time) float64 {
	remaining := m.slowStartEnd.Sub(now)
	if remaining <= 0 {
		return 1
	}
	return max(minSlowStartRatio, 1-float64(remaining)/float64(slowStartDuration))
}

func (m *member) failureRate() float64 {
	return m.recentFailures / max(m.recentCalls, minEjectionCalls)
}

// observeAttempt counts one finished attempt.
func (m *member) observeAttempt(now time.Time, latency time.Duration, failed bool) {
	kept := decay(now.Sub(m.countedAt), countHalfLife)
	m.recentCalls = m.recentCalls*kept + 1
	m.recentFailures *= kept
	m.countedAt = now
	if failed {
		m.recentFailures++
		m.consecutiveFailures++
		return
	}
	m.consecutiveFailures = 0
	m.observeLatency(now, latency)
}

// observeLatency weights a sample by the time since the previous one, with a minimum weight so that samples of a burst count.
func (m *member) observeLatency(now time.Time, latency time.Duration) {
	weight := max(0.05, 1-decay(now.Sub(m.sampledAt), latencyHalfLife))
	m.latencySeconds += (latency.Seconds() - m.latencySeconds) * weight
	m.sampledAt = now
}

func (m *member) eject(now time.Time) {
	m.ejections++
	m.ejectedUntil = now.Add(min(time.Duration(m.ejections)*baseEjectionDuration, maxEjectionDuration))
	m.consecutiveFailures = 0
	m.recentCalls = 0
	m.recentFailures = 0
}
