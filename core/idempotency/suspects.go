package idempotency

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

const (
	// suspectCrashes is the number of crashes after which a fingerprint is refused.
	suspectCrashes = 2
	maxSuspects    = 4096
	maxCrashes     = 8 // remembered for each fingerprint
)

// Fingerprint identifies requests that are the same to a backend server.
type Fingerprint uint64

// FingerprintOf is the hash of tenant, route, method, path and body.
func FingerprintOf(call *core.Call) Fingerprint {
	path, _, _ := strings.Cut(call.Target, "?")
	return hashOf(call.Body, string(call.Tenant), string(call.Route), call.Method, path)
}

// ContentOf identifies requests that are resends of each other; unlike FingerprintOf, it covers the query.
func ContentOf(call *core.Call) Fingerprint {
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
func (s *Suspects) Crashed(now time.Time, crash CrashID, fingerprint Fingerprint) {
	crashes := s.crashes[fingerprint]
	if crashes == nil {
		if len(s.crashes) >= maxSuspects && !s.makeRoom(now) {
			return
		}
		crashes = make(map[CrashID]time.Time)
		s.crashes[fingerprint] = crashes
	}
	if _, known := crashes[crash]; known || len(crashes) >= maxCrashes {
		return
	}
	crashes[crash] = now
}

// Suspected reports whether a request was running in at least two crashes within the window.
func (s *Suspects) Suspected(now time.Time, fingerprint Fingerprint) bool {
	return s.recent(now, fingerprint) >= suspectCrashes
}

func (s *Suspects) recent(now time.Time, fingerprint Fingerprint) int {
	for crash, at := range s.crashes[fingerprint] {
		if now.Sub(at) > Window {
			delete(s.crashes[fingerprint], crash)
		}
	}
	return len(s.crashes[fingerprint])
}

// makeRoom drops aged entries, or else one that is not suspected: a request that ran in one crash proves little.
func (s *Suspects) makeRoom(now time.Time) bool {
	var spare Fingerprint
	found := false
	for fingerprint := range s.crashes {
		switch n := s.recent(now, fingerprint); {
		case n == 0:
			delete(s.crashes, fingerprint)
		case n < suspectCrashes:
			spare, found = fingerprint, true
		}
	}
	if len(s.crashes) >= maxSuspects && found {
		delete(s.crashes, spare)
	}
	return len(s.crashes) < maxSuspects
}
