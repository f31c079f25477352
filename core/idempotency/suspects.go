package idempotency

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

const (
	// minSuspectCrashes is the number of crashes after which a fingerprint is refused.
	minSuspectCrashes        = 2
	maxFingerprints          = 4096
	maxCrashesPerFingerprint = 8 // remembered for each fingerprint
)

// Fingerprint identifies requests that are the same to a backend server.
type Fingerprint uint64

// FingerprintOf is the hash of tenant, route, method, path and body.
func FingerprintOf(call *core.Call) Fingerprint {
	path, _, _ := strings.Cut(call.Target, "?")
	return hashOf(call.Body, string(call.Tenant), string(call.Route), call.Method, path)
}

// ContentFingerprintOf identifies requests that are resends of each other; unlike FingerprintOf, it covers the query.
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

// CrashID names one end of a backend server's process: its node and the run that it had announced.
type CrashID struct {
	Node core.NodeID
	Run  string
}

// Suspects remembers which requests were running when backend servers crashed.
type Suspects struct {
	crashes map[Fingerprint]map[CrashID]time.Time
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{
		crashes: make(map[Fingerprint]map[CrashID]time.Time),
	}
}

// Crashed records that a request was running in a crash; a repeated report of the same crash counts once.
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

// Suspected reports whether a request was running in at least two crashes within the window.
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

// evict drops aged entries, or else one that is not suspected: a request that ran in one crash proves little.
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
