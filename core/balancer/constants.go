package balancer

import "time"

const (
	// latencyHalfLife is how fast old latency samples lose weight, both to new samples and while an endpoint is not used.
	latencyHalfLife = 2 * time.Second
	// initialLatency is assumed of an endpoint that has not answered yet.
	initialLatency = time.Millisecond
	// remoteAdvantage is how many times better an endpoint in another data centre must look to be preferred.
	remoteAdvantage = 2.0
	// slowStart is how long a new run of an endpoint takes to reach its full share of the calls.
	slowStart = 10 * time.Second
	// slowStartFloor keeps some calls going to a starting endpoint, since without any it would never warm up.
	slowStartFloor = 0.05
	// failureCost multiplies the cost of an endpoint in proportion to its failure rate; failing fast must not look attractive.
	failureCost = 10.0
	// avoidAfterRefusal is how long an endpoint that refused a call is chosen only if all others are avoided too.
	avoidAfterRefusal = 200 * time.Millisecond

	// ejectAfterFailures is the number of consecutive failures that eject an endpoint.
	ejectAfterFailures = 5
	// ejectMinCalls is the number of recent calls that a judgement by failure rate needs.
	ejectMinCalls = 20
	// ejectRateRatio is how many times the failure rate of the other endpoints ejects an endpoint.
	ejectRateRatio = 3.0
	// ejectRateFloor keeps endpoints with single failures among flawless ones from being ejected.
	ejectRateFloor = 0.1
	// ejectFor is the length of the first ejection; repeated ones grow in proportion up to ejectAtMost.
	ejectFor    = 5 * time.Second
	ejectAtMost = 60 * time.Second
	// panicShare is the share of ejected endpoints above which ejections are ignored: when most look bad, the
	// measurement is more likely wrong than the fleet.
	panicShare = 0.5

	// countHalfLife is how fast recent calls and failures lose weight.
	countHalfLife = 5 * time.Second
	// forgetAfter removes the statistics of an endpoint that was not a candidate for this long.
	forgetAfter = 10 * time.Minute

	// sessionIdle ends the reservation of a sticky session that was not used.
	sessionIdle = 2 * time.Minute
	// maxSessions bounds the sticky reservations; a session above the bound is placed without a reservation.
	maxSessions = 100_000
)
