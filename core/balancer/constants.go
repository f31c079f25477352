package balancer

import "time"

const (
	// latencyHalfLife is how fast old latency samples lose weight, both to new samples and while an endpoint is not used.
	latencyHalfLife = 2 * time.Second
	// initialLatency is assumed of an endpoint that has not answered yet.
	initialLatency = time.Millisecond
	// remoteCostRatio is how many times better an endpoint in another data centre must look to be preferred.
	remoteCostRatio = 2.0
	// slowStartDuration is how long a new run of an endpoint takes to reach its full share of the calls.
	slowStartDuration = 10 * time.Second
	// minSlowStartRatio keeps some calls going to a starting endpoint, since without any it would never warm up.
	minSlowStartRatio = 0.05
	// failureCostRatio multiplies the cost of an endpoint in proportion to its failure rate; failing fast must not look attractive.
	failureCostRatio = 10.0
	// refusalAvoidance is how long an endpoint that refused a call is chosen only if all others are avoided too.
	refusalAvoidance = 200 * time.Millisecond

	// maxConsecutiveFailures is the number of consecutive failures that eject an endpoint.
	maxConsecutiveFailures = 5
	// minEjectionCalls is the number of recent calls that a judgement by failure rate needs.
	minEjectionCalls = 20
	// ejectionFailureRateRatio is how many times the failure rate of the other endpoints ejects an endpoint.
	ejectionFailureRateRatio = 3.0
	// minEjectionFailureRatio keeps endpoints with single failures among flawless ones from being ejected.
	minEjectionFailureRatio = 0.1
	// baseEjectionDuration is the length of the first ejection; repeated ones grow in proportion up to maxEjectionDuration.
	baseEjectionDuration = 5 * time.Second
	maxEjectionDuration  = 60 * time.Second
	// panicThresholdRatio is the share of ejected endpoints above which ejections are ignored: when most look bad, the
	// measurement is more likely wrong than the fleet.
	panicThresholdRatio = 0.5

	// countHalfLife is how fast recent calls and failures lose weight.
	countHalfLife = 5 * time.Second
	// memberRetention removes the statistics of an endpoint that was not a candidate for this long.
	memberRetention = 10 * time.Minute

	// sessionIdleTimeout ends the reservation of a sticky session that was not used.
	sessionIdleTimeout = 2 * time.Minute
	// maxSessions bounds the sticky reservations; a session above the bound is placed without a reservation.
	maxSessions = 100_000
)
