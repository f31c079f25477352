package rollout

import "time"

// Error rates of the sequential tests (design 7.2), the false alarm rates for all tests of a move together.
const (
	falseAlarmProbability = 0.001
	missProbability       = 0.01
	// cusumFalseAlarmProbability is the false alarm rate of one excursion of the restarting test. It is lower than falseAlarmProbability
	// because a restarting test begins a new excursion every few windows.
	cusumFalseAlarmProbability = 0.0001
	// deadlineFalseAlarmProbability decides between taken back and expired, which both restore the old weights.
	deadlineFalseAlarmProbability = 0.01
)

// Effects that the tests look for, as differences between the rates of the new and the old release.
const (
	failureRateDelta = 0.02
	// cusumDelta is smaller than failureRateDelta, so that a release that fails 1 call in 100 is found as well.
	cusumFailureRateDelta = 0.01
	slowRateDelta         = 0.10
	crashRateDelta        = 0.002
	// Floors of the old release's rates: a release without a single failure does not prove a rate of zero.
	minFailureRate = 0.001
	minSlowRate    = 0.01
	minCrashRate   = 0.00001
	// minRateWeightCalls is the number of calls at which an observed rate weighs as much as its floor.
	minRateWeightCalls = 1000
	// slowCallsRatio is the share of the old release's calls that the latency boundary leaves above it.
	slowCallsRatio = 0.05
	// priorFailures is the weight of the usual rate in a window, in expected failures. A weight of 2000 calls took good
	// releases back whose usual rate had changed.
	priorFailures = 1
	// A burst may have any rate, with this probability of a window to be in one.
	burstProbability   = 0.02
	burstPriorFailures = 0.5
	burstPriorCalls    = 5
	// maxAcceptanceLLR bounds what one burst of failures adds to the accepting test.
	maxAcceptanceLLR = 2
	// minBadCalls keeps one or two unlucky calls from taking a move back.
	minBadCalls = 2
)

// Sizes of the windows of counter differences that the tests compare.
const (
	windowCalls       = 100 // of each release
	windowMinCalls    = 20  // of each release, once windowMinCallsAge is reached
	windowMinCallsAge = 10 * time.Second
	windowMaxAge      = 60 * time.Second
)

// Pacing.
const (
	probePerMille       = 5
	defaultRiskPerMille = 15  // per mille without evidence that passes, if the request names no share
	equalPerMille       = 500 // the comparison is most sensitive while both releases get the same traffic
	lastPartialPerMille = 800 // the old release keeps enough traffic for a comparison under load
	// A move without time for all steps leaves shares out only up to the one that brings maxBadCallsRatio of the move's calls to a
	// bad release until its evidence arrives, and is done only if rushedMinCalls of the new release have been reported: ten good
	// calls had let a release through that fails 1 in 5.
	maxBadCallsRatio = 0.02
	rushedMinCalls   = 20
	// Evidence is missing if less than a missingEvidenceDivisor-th of the expected calls have arrived, from missingEvidenceMinCalls on.
	missingEvidenceDivisor  = 4
	missingEvidenceMinCalls = 20
	// baselineDuration is how long a move stays proposed, so that reports from before it arrive first.
	baselineDuration = 3 * time.Second
	// evidenceDelay is left out after a step, since reports from before the step still arrive.
	evidenceDelay = 2 * time.Second
	// evidenceArrivalTime is how long counts of a new share take to arrive: the nodes get the share and report every second, and
	// a relay or another control instance passes the report on within a second. A share grows only after this time; in a
	// move that had no time left, shares had followed each other every 0.2 s, and a bad release was done by time.
	evidenceArrivalTime = 3 * time.Second
	minStepDuration     = 4 * time.Second
	maxStepDuration     = 2 * time.Minute
	// slowStartDuration is the time in which the balancer warms a backend server up (design 6.7).
	slowStartDuration = 10 * time.Second
	// maxSlowStartHold bounds the time for which slow start holds a move; after it, the move goes on by failures alone.
	maxSlowStartHold = 60 * time.Second
	// littleTrafficFactor: traffic is little if a third of the time at the risk share does not give a verdict.
	littleTrafficFactor = 3
)
