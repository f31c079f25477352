package idempotency

import "time"

const (
	// firstTrialDelay is the time without a report of a crash after which a suspected request may be tested. It is longer than the lease
	// of a backend server, within which a crash is reported at the latest.
	firstTrialDelay = 5 * time.Second
	// trialDelayGrowth is the factor by which the delay grows with each trial that ends in a crash.
	trialDelayGrowth = 3
	// knownAfter is the time after the crash that makes a request suspected from which on its runs count as trials. Runs before it began
	// while not all nodes knew of the crash; later ones count although a late report may have let them through, since they use up the
	// same bound.
	knownAfter = 3 * time.Second
	// maxTrials is the number of trials that may end in a crash until the crashes before them are forgotten. It is part of the bound on
	// the backend servers that a request may take down.
	maxTrials = 2
)

// Trials decides which suspected requests run as tests, since only a run to the end takes suspicion back. A node has one instance for the
// requests of its callers, and one for the backend server beside it: as all nodes send the tests of a request to the same backend server,
// only one of them runs there at a time. It is not safe for concurrent use.
type Trials struct {
	suspects *Suspects
	begun    map[Fingerprint]time.Time // start of the latest trial
}

// NewTrials returns Trials of the requests that suspects has seen at crashes.
func NewTrials(suspects *Suspects) *Trials {
	return &Trials{
		suspects: suspects,
		begun:    make(map[Fingerprint]time.Time),
	}
}

// Begin reports whether a request may run as a test now, and begins the test if so.
func (t *Trials) Begin(now time.Time, fingerprint Fingerprint) bool {
	trials, reportedAt := t.suspects.failedTrials(now, fingerprint)
	if trials >= maxTrials {
		return false
	}
	delay := trialDelay(trials)
	begun, exists := t.begun[fingerprint]
	if now.Sub(reportedAt) < delay || exists && now.Sub(begun) < delay {
		return false
	}
	if !exists && len(t.begun) >= maxFingerprints {
		t.forgetEnded(now)
	}
	if !exists && len(t.begun) >= maxFingerprints {
		return false
	}
	t.begun[fingerprint] = now
	return true
}

// Cancel takes back a test that has not run, so that another request can be the test.
func (t *Trials) Cancel(fingerprint Fingerprint) {
	delete(t.begun, fingerprint)
}

func (t *Trials) forgetEnded(now time.Time) {
	for fingerprint, begun := range t.begun {
		if now.Sub(begun) >= trialDelay(maxTrials-1) {
			delete(t.begun, fingerprint)
		}
	}
}

func trialDelay(failed int) time.Duration {
	delay := firstTrialDelay
	for range failed {
		delay *= trialDelayGrowth
	}
	return delay
}

// failedTrials returns the number of crashes at which a test of the request was running, and when the latest crash was reported, zero if
// there is none. It counts the runs that began later than knownAfter, so that all nodes that have the same reports get the same number.
func (s *Suspects) failedTrials(now time.Time, fingerprint Fingerprint) (trials int, reportedAt time.Time) {
	held := s.suspects[fingerprint]
	if held == nil {
		return 0, time.Time{}
	}
	if held.suspectedAt.IsZero() {
		return 0, held.reportedAt
	}
	firstTrial := held.suspectedAt.Add(knownAfter - sequenceTolerance)
	for _, crash := range held.crashes {
		if held.isRecent(now, crash) && !crash.StartedAt.Before(firstTrial) {
			trials++
		}
	}
	return trials, held.reportedAt
}

// updateSuspectedAt finds the first crash that makes the fingerprint suspected. An earlier result stays while it is recent, since only the
// latest crashes are kept.
func (s *suspect) updateSuspectedAt(now time.Time) {
	if !s.suspectedAt.After(s.completedAt) || now.Sub(s.suspectedAt) > Window {
		s.suspectedAt = time.Time{}
	}
	for i, crash := range s.crashes {
		before := suspect{
			crashes:     s.crashes[:i+1],
			completedAt: s.completedAt,
		}
		if before.isSuspected(now, countAll) {
			if s.suspectedAt.IsZero() || crash.At.Before(s.suspectedAt) {
				s.suspectedAt = crash.At
			}
			return
		}
	}
}
