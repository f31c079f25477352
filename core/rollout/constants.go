package rollout

import "time"

// Error probabilities of the sequential tests (design 7.2). The false alarm probabilities hold for all tests of a move together.
const (
	falseAlarmProbability = 0.001
	missProbability       = 0.01
	// cusumFalseAlarmProbability holds for one excursion of the CUSUM test. It is lower than falseAlarmProbability because the test
	// begins a new excursion every few windows.
	cusumFalseAlarmProbability = 0.0001
	// deadlineFalseAlarmProbability only decides whether a move ends as taken back or as expired; both restore the original weights.
	deadlineFalseAlarmProbability = 0.01
)

// Effect sizes of the tests, as differences between the rates of the new and the old release.
const (
	failureRateDelta = 0.02
	// cusumFailureRateDelta is smaller than failureRateDelta, so that a release that fails 1 call in 100 is found as well.
	cusumFailureRateDelta = 0.01
	slowRateDelta         = 0.10
	crashRateDelta        = 0.002
	// Lower bounds of the old release's rates: a release without a single failure does not prove a rate of zero.
	minFailureRate = 0.001
	minSlowRate    = 0.01
	minCrashRate   = 0.00001
	// rateSmoothingCalls is the number of calls at which an observed rate weighs as much as its lower bound.
	rateSmoothingCalls = 1000
	// slowCallsRatio bounds the part of the old release's calls that count as slow.
	slowCallsRatio = 0.05
	// priorFailures is the weight of the stable rate in the prior of a window, in expected failures. With a weight of 2000 calls, good
	// releases were taken back after their usual rate had changed.
	priorFailures = 1
	// A window belongs to a burst of failures with burstProbability. The failure rate in a burst may be anything, so its prior is wide.
	burstProbability   = 0.02
	burstPriorFailures = 0.5
	burstPriorCalls    = 5
	// maxAcceptanceLLR bounds by how much one burst of failures can set the acceptance test back.
	maxAcceptanceLLR = 2
	// minBadCalls is the least number of bad calls that may take a move back, so that one unlucky call does not.
	minBadCalls = 2
)

// Sizes of the windows of calls that the tests compare.
const (
	windowCalls       = 100 // of each release
	windowMinCalls    = 20  // of each release, once the window is windowMinCallsAge old
	windowMinCallsAge = 10 * time.Second
	windowMaxAge      = 60 * time.Second
)

// Shares and times of the steps of a move.
const (
	probePerMille       = 5
	defaultRiskPerMille = 15  // largest share before the evidence passes, if the request names none
	equalPerMille       = 500 // the comparison is most sensitive while both releases get the same traffic
	lastPartialPerMille = 800 // the old release keeps enough traffic for a comparison under load
	// A move without time for all steps skips shares. It skips at most to the share at which a bad release gets maxBadCallsRatio of the
	// move's calls before its evidence arrives, and finishes only after rushedMinCalls of the new release have been reported. With ten
	// calls, a release that fails 1 call in 5 was let through.
	maxBadCallsRatio = 0.02
	rushedMinCalls   = 20
	// From missingEvidenceMinCalls expected calls on, evidence is missing if less than 1/missingEvidenceDivisor of them was reported.
	missingEvidenceDivisor  = 4
	missingEvidenceMinCalls = 20
	// baselineDuration is how long a move stays proposed, so that reports about earlier calls arrive before its first share.
	baselineDuration = 3 * time.Second
	// staleEvidenceDuration is the time after a step whose evidence is left out, since reports from before the step still arrive.
	staleEvidenceDuration = 2 * time.Second
	// evidenceArrivalTime is how long counts of a new share take to arrive: the nodes get the share and report every second, and
	// a relay or another control instance passes the report on within a second. A share grows only after this time. Without the limit,
	// a move that had run out of time raised its share every 0.2 s, and a bad release got all traffic before its failures were reported.
	evidenceArrivalTime = 3 * time.Second
	minStepDuration     = 4 * time.Second
	maxStepDuration     = 2 * time.Minute
	// slowStartDuration is the time over which the balancer raises the weight of a new backend server (design 6.7).
	slowStartDuration = 10 * time.Second
	// maxSlowStartHold bounds how long slow start delays a move; after it, the move proceeds on failures alone.
	maxSlowStartHold = 60 * time.Second
	// A move has little traffic if the calls expected at its risk share until its deadline are fewer than littleTrafficFactor times the
	// calls that a verdict needs.
	littleTrafficFactor = 3
)
