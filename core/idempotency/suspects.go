package idempotency

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

const (
	// minSuspectCrashes is the number of crashes from which on a fingerprint is refused.
	minSuspectCrashes        = 2
	maxFingerprints          = 4096
	maxCrashesPerFingerprint = 8
)

// Fingerprint identifies requests that a backend server handles alike.
type Fingerprint uint64

// FingerprintOf hashes tenant, route, method, path and body.
func FingerprintOf(call *core.Call) Fingerprint {
	path, _, _ := strings.Cut(call.Target, "?")
	return hashOf(call.Body, string(call.Tenant), string(call.Route), call.Method, path)
}

// ContentFingerprintOf identifies resends of a request. It hashes tenant, service, method, path, query and body.
func ContentFingerprintOf(call *core.Call) Fingerprint {
	return hashOf(call.Body, string(call.Tenant), string(call.Service), call.Method, call.Target)
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

// Suspects records which requests were running when backend servers crashed.
type Suspects struct {
	crashes map[Fingerprint]map[CrashID]time.Time
}

// NewSuspects returns Suspects without crashes.
func NewSuspects() *Suspects {
	return &Suspects{
		crashes: make(map[Fingerprint]map[CrashID]time.Time),
	}
}

// RecordCrash records that a request was running during a crash. Repeated reports of the same crash count once.
func (s *Suspects) RecordCrash(now time.Time, crash CrashID, fingerprint Fingerprint) {
	crashes := s.crashes[fingerprint]
	if crashes == nil {
		if len(s.crashes) >= maxFingerprints && !s.evict(now) {
			return
		}
		crashes = make(map[CrashID]time.Time)
		s.crashes[fingerprint] = crashes
	}
	if _, known := crashes[crash]; known || len(crashes) >= maxCrashesPerFingerprint {
		return
	}
	crashes[crash] = now
}

// Suspected reports whether a request was running during at least two crashes within the window.
func (s *Suspects) Suspected(now time.Time, fingerprint Fingerprint) bool {
	return s.countRecentCrashes(now, fingerprint) >= minSuspectCrashes
}

func (s *Suspects) countRecentCrashes(now time.Time, fingerprint Fingerprint) int {
	for crash, at := range s.crashes[fingerprint] {
		if now.Sub(at) > Window {
			delete(s.crashes[fingerprint], crash)
		}
	}
	return len(s.crashes[fingerprint])
}

// evict removes expired fingerprints, or else one that is not suspected, since a single crash is weak evidence.
func (s *Suspects) evict(now time.Time) bool {
	var evictable Fingerprint
	found := false
	for fingerprint := range s.crashes {
		switch n := s.countRecentCrashes(now, fingerprint); {
		case n == 0:
			delete(s.crashes, fingerprint)
		case n < minSuspectCrashes:
			evictable, found = fingerprint, true
		}
	}
	if len(s.crashes) >= maxFingerprints && found {
		delete(s.crashes, evictable)
	}
	return len(s.crashes) < maxFingerprints
}
