package idempotency

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

// Fingerprint identifies requests that a backend server handles alike.
type Fingerprint = core.Fingerprint

// FingerprintOf hashes tenant, route, method, path and body.
func FingerprintOf(call *core.Call) Fingerprint {
	path, _, _ := strings.Cut(call.Target, "?")
	return hashOf(identifyingBody(call), string(call.Tenant), string(call.Route), call.Method, path)
}

// ExactFingerprintOf refines the result of FingerprintOf by the query and the service that the caller belongs to, so that a request
// that crashes backend servers can be told from others with its path.
func ExactFingerprintOf(fingerprint Fingerprint, call *core.Call, callerService string) Fingerprint {
	_, query, _ := strings.Cut(call.Target, "?")
	if query == "" && callerService == "" {
		return fingerprint
	}
	var body [8]byte
	binary.BigEndian.PutUint64(body[:], uint64(fingerprint))
	return hashOf(body[:], query, callerService)
}

// ContentFingerprintOf identifies resends of a request. It hashes tenant, service, method, path, query and body.
func ContentFingerprintOf(call *core.Call) Fingerprint {
	return hashOf(identifyingBody(call), string(call.Tenant), string(call.Service), call.Method, call.Target)
}

// identifyingBody returns the body of a call, or the length of one that is passed on while it arrives.
func identifyingBody(call *core.Call) []byte {
	if call.Source == nil {
		return call.Body
	}
	return binary.BigEndian.AppendUint64(nil, uint64(call.Source.Length()))
}

func hashOf(body []byte, texts ...string) Fingerprint {
	digest := xxhash.New()
	for _, text := range texts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = digest.Write(length[:]) // a Digest never fails
		_, _ = digest.WriteString(text)
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// CrashID identifies one crash of a backend server by its node and the run that it had announced.
type CrashID struct {
	Node core.NodeID
	Run  string
}

// Crash says that a request was running when a backend server crashed.
type Crash struct {
	ID          CrashID
	Fingerprint Fingerprint
	StartedAt   time.Time // when the request was handed to the backend server
	At          time.Time
	Alone       bool // no request with another fingerprint was running
}

const (
	// minCrashes is the number of crashes, one after the other, from which on a fingerprint is suspected. Requests that crash nothing
	// are running at some crashes too.
	minCrashes = 3
	// minCrashesAlone is the same for crashes at which nothing else was running, if the request has not run to its end before.
	minCrashesAlone = 2
	// sequenceTolerance is how much the times of two reports may differ by the way that they have taken.
	sequenceTolerance = 20 * time.Millisecond
)

const (
	maxFingerprints          = 4096
	maxCrashesPerFingerprint = 8
	maxCompletions           = 8192 // of each of two generations
)

// suspect is what is known about a fingerprint that was running at a crash.
type suspect struct {
	crashes     []Crash   // by time
	completedAt time.Time // latest known run to the end, zero if none
	reportedAt  time.Time // when the latest report of a crash arrived
	suspectedAt time.Time // the crash since which the fingerprint is suspected, zero if it is not; it may have left crashes
}

// Suspects decides which requests crash backend servers. Such a request never runs to its end, at whatever backend server. Requests
// that other causes have cut off do: a run to the end takes back all suspicion of earlier crashes. Crashes at the same time, as with a
// rack, count once, since a request that crashes backend servers is sent to the next one only after it has crashed the one before.
type Suspects struct {
	suspects map[Fingerprint]*suspect
	running  map[CrashID]map[Fingerprint]bool // the suspects that were running at each crash
	// recent and older hold the latest runs to the end, so that they are known when a crash is reported later.
	recent, older map[Fingerprint]time.Time
	recentSince   time.Time
}

// NewSuspects returns Suspects without crashes.
func NewSuspects() *Suspects {
	return &Suspects{
		suspects: make(map[Fingerprint]*suspect),
		running:  make(map[CrashID]map[Fingerprint]bool),
		recent:   make(map[Fingerprint]time.Time),
	}
}

// RecordCrash records that a request was running during a crash. Repeated reports of the same crash count once. It returns the latest
// known run of such a request to its end, which other nodes may not know, or zero.
func (s *Suspects) RecordCrash(now time.Time, crash Crash) time.Time {
	held := s.suspects[crash.Fingerprint]
	if held == nil {
		if len(s.suspects) >= maxFingerprints {
			s.evict(now)
		}
		held = &suspect{
			completedAt: s.completedAt(now, crash.Fingerprint),
		}
		s.suspects[crash.Fingerprint] = held
	}
	if slices.ContainsFunc(held.crashes, func(known Crash) bool { return known.ID == crash.ID }) {
		return held.completedAt
	}
	held.reportedAt = now
	at, _ := slices.BinarySearchFunc(held.crashes, crash.At, func(known Crash, at time.Time) int { return known.At.Compare(at) })
	held.crashes = slices.Insert(held.crashes, at, crash)
	if s.running[crash.ID] == nil {
		s.running[crash.ID] = make(map[Fingerprint]bool)
	}
	s.running[crash.ID][crash.Fingerprint] = true
	held.updateSuspectedAt(now)
	if len(held.crashes) > maxCrashesPerFingerprint {
		s.forget(held.crashes[0])
		held.crashes = slices.Delete(held.crashes, 0, 1)
	}
	return held.completedAt
}

func (s *Suspects) forget(crash Crash) {
	running := s.running[crash.ID]
	if delete(running, crash.Fingerprint); len(running) == 0 {
		delete(s.running, crash.ID)
	}
}

func (s *Suspects) remove(fingerprint Fingerprint) {
	for _, crash := range s.suspects[fingerprint].crashes {
		s.forget(crash)
	}
	delete(s.suspects, fingerprint)
}

// RecordCompletion records that a request ran to its end. It returns true if that takes back suspicion, so that other nodes must know.
func (s *Suspects) RecordCompletion(at time.Time, fingerprint Fingerprint) bool {
	if len(s.recent) >= maxCompletions || at.Sub(s.recentSince) >= Window {
		s.recent, s.older, s.recentSince = make(map[Fingerprint]time.Time), s.recent, at
	}
	if at.After(s.recent[fingerprint]) {
		s.recent[fingerprint] = at
	}
	held := s.suspects[fingerprint]
	if held == nil || !at.After(held.completedAt) {
		return false
	}
	cleared := slices.ContainsFunc(held.crashes, func(crash Crash) bool {
		return crash.At.After(held.completedAt) && crash.At.Before(at)
	})
	held.completedAt = at
	return cleared
}

func (s *Suspects) completedAt(now time.Time, fingerprint Fingerprint) time.Time {
	at, exists := s.recent[fingerprint]
	if !exists {
		at = s.older[fingerprint]
	}
	if now.Sub(at) > Window {
		return time.Time{}
	}
	return at
}

// Suspected reports whether a request is to be refused.
func (s *Suspects) Suspected(now time.Time, fingerprint Fingerprint) bool {
	held := s.suspects[fingerprint]
	if held == nil || !held.isSuspected(now, countAll) {
		return false
	}
	return held.isSuspected(now, func(crash Crash) bool { return !s.isExplained(now, crash, held) })
}

func countAll(Crash) bool { return true }

// isExplained reports whether a crash has a likelier cause: another suspected request that was running at more crashes or, at as many,
// for a shorter time, since a request that crashes backend servers does so soon after it has begun to run.
func (s *Suspects) isExplained(now time.Time, crash Crash, held *suspect) bool {
	if crash.Alone {
		return false
	}
	for fingerprint := range s.running[crash.ID] {
		other := s.suspects[fingerprint]
		if other == nil || other == held || !other.isSuspected(now, countAll) {
			continue
		}
		count, otherCount := held.countSequential(now, countAll), other.countSequential(now, countAll)
		if otherCount > count || otherCount == count && other.ranFor(now) < held.ranFor(now) {
			return true
		}
	}
	return false
}

// ranFor returns the total time for which the request had been running at the crashes that countSequential considers.
func (s *suspect) ranFor(now time.Time) time.Duration {
	total := time.Duration(0)
	for _, crash := range s.crashes {
		if s.isRecent(now, crash) {
			total += crash.At.Sub(crash.StartedAt)
		}
	}
	return total
}

func (s *suspect) isRecent(now time.Time, crash Crash) bool {
	return now.Sub(crash.At) <= Window && crash.At.After(s.completedAt)
}

// isSuspected applies the numbers of crashes to those that count.
func (s *suspect) isSuspected(now time.Time, counts func(Crash) bool) bool {
	if s.countSequential(now, counts) >= minCrashes {
		return true
	}
	completedBefore := !s.completedAt.IsZero() && now.Sub(s.completedAt) <= Window
	return !completedBefore && s.countSequential(now, func(crash Crash) bool { return crash.Alone && counts(crash) }) >= minCrashesAlone
}

// countSequential counts the crashes since the latest run to the end in which the request began to run after the crash before.
func (s *suspect) countSequential(now time.Time, counts func(Crash) bool) int {
	count, last := 0, time.Time{}
	for _, crash := range s.crashes {
		if !s.isRecent(now, crash) || !counts(crash) {
			continue
		}
		if count == 0 || !crash.StartedAt.Before(last.Add(-sequenceTolerance)) {
			count, last = count+1, crash.At
		}
	}
	return count
}

// evict removes the fingerprints without a crash within the window, or else the one with the fewest crashes in sequence, and of these
// the one whose latest crash is the oldest.
func (s *Suspects) evict(now time.Time) {
	var weakest Fingerprint
	fewest, oldest := 0, time.Time{}
	for fingerprint, held := range s.suspects {
		latest := held.crashes[len(held.crashes)-1].At
		if now.Sub(latest) > Window {
			s.remove(fingerprint)
			continue
		}
		count := held.countSequential(now, countAll)
		if oldest.IsZero() || count < fewest || count == fewest && latest.Before(oldest) {
			weakest, fewest, oldest = fingerprint, count, latest
		}
	}
	if len(s.suspects) >= maxFingerprints {
		s.remove(weakest)
	}
}
