package balancer

import "time"

const (
	// latencyHalfLife is the half-life of the average latency when a new sample arrives. While an endpoint is not used, its average
	// decays to initialLatency with five times this half-life.
	latencyHalfLife = 2 * time.Second
	// initialLatency is the assumed latency of an endpoint that has not answered yet.
	initialLatency = time.Millisecond
	// remoteCostRatio is how many times lower the cost of an endpoint in another data centre must be for it to be preferred.
	remoteCostRatio = 2.0
	// slowStartDuration is how long a new incarnation of an endpoint takes to reach its full share of the calls.
	slowStartDuration = 10 * time.Second
	// minSlowStartRatio is the minimum weight during the slow start: an endpoint without any calls would never warm up.
	minSlowStartRatio = 0.05
	// failureCostRatio scales the cost of an endpoint with its failure rate, so that failing fast does not attract calls.
	failureCostRatio = 10.0
	// refusalAvoidance is how long an endpoint that refused a call is chosen only if all others are avoided too.
	refusalAvoidance = 200 * time.Millisecond

	// maxConsecutiveFailures is the number of consecutive failures that eject an endpoint.
	maxConsecutiveFailures = 5
	// minEjectionCalls is the number of recent calls required for an ejection by failure rate.
	minEjectionCalls = 20
	// ejectionFailureRateRatio is the multiple of the other endpoints' failure rate at which an endpoint is ejected.
	ejectionFailureRateRatio = 3.0
	// minEjectionFailureRatio is the minimum failure rate for an ejection, so that single failures among healthy endpoints do
	// not suffice.
	minEjectionFailureRatio = 0.1
	// baseEjectionDuration is the length of the first ejection. The length grows linearly with repeated ejections, up to
	// maxEjectionDuration.
	baseEjectionDuration = 5 * time.Second
	maxEjectionDuration  = 60 * time.Second
	// panicThresholdRatio is the ratio of ejected endpoints above which ejections are ignored: when most endpoints look bad, the
	// measurement is more likely wrong than the endpoints.
	panicThresholdRatio = 0.5

	// countHalfLife is the half-life of the counts of recent calls and failures.
	countHalfLife = 5 * time.Second
	// memberRetention is how long the statistics of an endpoint are kept after it was last a candidate.
	memberRetention = 10 * time.Minute

	// sessionIdleTimeout is how long the reservation of an unused sticky session is kept.
	sessionIdleTimeout = 2 * time.Minute
	// maxSessions limits the reservations of sticky sessions. Sessions beyond the limit are placed without a reservation.
	maxSessions = 100_000
)
