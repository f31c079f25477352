package rollout

import "time"

// Error rates of the sequential tests (design 7.2), the false alarm rates for all tests of a move together.
const (
	falseAlarm = 0.001
	miss       = 0.01
	// restartAlarm is the false alarm rate of one excursion of the restarting test. It is lower than falseAlarm
	// because a restarting test begins a new excursion every few windows.
	restartAlarm = 0.0001
	// deadlineAlarm decides between taken back and expired, which both restore the old weights.
	deadlineAlarm = 0.01
)

// Effects that the tests look for, as differences between the rates of the new and the old release.
const (
	failureDelta = 0.02
	// restartDelta is smaller than failureDelta, so that a release that fails 1 call in 100 is found as well.
	restartDelta = 0.01
	slowDelta    = 0.10
	crashDelta   = 0.002
	// Floors of the old release's rates: a release without a single failure does not prove a rate of zero.
	failureFloor = 0.001
	slowFloor    = 0.01
	crashFloor   = 0.00001
	// rateWeight is the number of calls at which an observed rate weighs as much as its floor.
	rateWeight = 1000
	// slowQuantile is the share of the old release's calls that the latency boundary leaves above it.
	slowQuantile = 0.05
	// steadyFailures is the weight of the usual rate in a window, in expected failures. A weight of 2000 calls took good
	// releases back whose usual rate had changed.
	steadyFailures = 1
	// A burst may have any rate, with this probability of a window to be in one.
	burstProbability = 0.02
	burstFailures    = 0.5
	burstCalls       = 5
	// acceptCeiling bounds what one burst of failures adds to the accepting test.
	acceptCeiling = 2
	// minFailures keeps one or two unlucky calls from taking a move back.
	minFailures = 2
)

// Sizes of the windows of counter differences that the tests compare.
const (
	windowCalls    = 100 // of each release
	windowMinCalls = 20  // of each release, once windowAge is reached
	windowAge      = 10 * time.Second
	windowMaxAge   = 60 * time.Second
)

// Pacing.
const (
	probeShare   = 5
	defaultRisk  = 15  // per mille without evidence that passes, if the request names no share
	compareShare = 500 // the comparison is most sensitive while both releases get the same traffic
	lastShare    = 800 // the old release keeps enough traffic for a comparison under load
	// A move without time for all steps leaves shares out only up to the one that brings badShare of the move's calls to a
	// bad release until its evidence arrives, and is done only if rushCalls of the new release have been reported: ten good
	// calls had let a release through that fails 1 in 5.
	badShare  = 0.02
	rushCalls = 20
	// Evidence is missing if less than a missingPart-th of the expected calls have arrived, from missingCalls on.
	missingPart  = 4
	missingCalls = 20
	// baselineTime is how long a move stays proposed, so that reports from before it arrive first.
	baselineTime = 3 * time.Second
	// evidenceDelay is left out after a step, since reports from before the step still arrive.
	evidenceDelay = 2 * time.Second
	// evidenceTime is how long counts of a new share take to arrive: the nodes get the share and report every second, and
	// a relay or another control instance passes the report on within a second. A share grows only after this time; in a
	// move that had no time left, shares had followed each other every 0.2 s, and a bad release was done by time.
	evidenceTime = 3 * time.Second
	minDwell     = 4 * time.Second
	maxDwell     = 2 * time.Minute
	// slowStart is the time in which the balancer warms a backend server up (design 6.7).
	slowStart = 10 * time.Second
	// maxWarmup bounds the time for which slow start holds a move; after it, the move goes on by failures alone.
	maxWarmup = 60 * time.Second
	// littleFactor: traffic is little if a third of the time at the risk share does not give a verdict.
	littleFactor = 3
)
