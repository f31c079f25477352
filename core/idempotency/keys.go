package idempotency

import (
	"net/http"
	"time"

	"parsleyport/core"
	"parsleyport/core/memory"
)

const (
	maxKeys = 131_072 // allows 218 keys a second over the window
	// maxKeyBytes bounds the text of all keys and of the call ids that go with them. It leaves 128 bytes for each of maxKeys.
	maxKeyBytes = maxKeys * 128
	// MaxRecordedBytes limits the body of one recorded answer.
	MaxRecordedBytes      = 64 << 10
	maxTotalRecordedBytes = 16 << 20 // bodies and heads of all recorded answers
)

// Key identifies a request that must run at most once.
type Key struct {
	Tenant  core.TenantID       `msgpack:"tenant"`
	Service core.ServiceName    `msgpack:"service"`
	Name    core.IdempotencyKey `msgpack:"name"`
}

// KeyOf returns the key of a call.
func KeyOf(call *core.Call) Key {
	return Key{
		Tenant:  call.Tenant,
		Service: call.Service,
		Name:    call.IdempotencyKey,
	}
}

// RecordedAnswer is the answer that a resend of its request gets.
type RecordedAnswer struct {
	Status  int          `msgpack:"status"`
	Header  http.Header  `msgpack:"header"`
	Body    []byte       `msgpack:"body"`
	Release core.Release `msgpack:"release"`
}

// Verdict is a holder's answer to a claim, or the combined answer of several holders.
type Verdict string

// The verdicts on a claim.
const (
	// VerdictGranted means that the claiming call may run.
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another call with the key is running.
	VerdictRunning Verdict = "running"
	// VerdictAnswered means that a call with the key was answered and the answer is recorded.
	VerdictAnswered Verdict = "answered"
	// VerdictUnknown means that a call with the key may have run, or that no holder can tell.
	VerdictUnknown Verdict = "unknown"
	// VerdictConflict means that the key was used for a different request.
	VerdictConflict Verdict = "conflict"
	// VerdictFull means that the holder cannot store more keys.
	VerdictFull Verdict = "full"
)

// KeyStore holds the idempotency keys of one holder. An entry is kept for the window; a full store refuses new keys instead of
// evicting one.
type KeyStore struct {
	entries       map[Key]*keyEntry
	byAge         []keyAge // oldest first
	keyBytes      int      // total size of the text in byAge
	recordedBytes int      // total size of the recorded answers
}

type keyEntry struct {
	owner     core.CallID
	content   Fingerprint
	verdict   Verdict // running, answered or unknown
	settleBy  time.Time
	claimedAt time.Time
	answer    *RecordedAnswer
}

type keyAge struct {
	key       Key
	claimedAt time.Time
	bytes     int // of the text of the key and of its owner
}

// bytes returns the memory of a recorded answer.
func (a *RecordedAnswer) bytes() int {
	return len(a.Body) + int(memory.HeaderBytes(a.Header))
}

// add remembers the age of a key. It returns false and changes nothing if the store is full.
func (k *KeyStore) add(key Key, owner core.CallID, claimedAt time.Time) bool {
	bytes := len(key.Tenant) + len(key.Service) + len(key.Name) + len(owner)
	if len(k.byAge) >= maxKeys || k.keyBytes+bytes > maxKeyBytes {
		return false
	}
	k.byAge = append(k.byAge, keyAge{
		key:       key,
		claimedAt: claimedAt,
		bytes:     bytes,
	})
	k.keyBytes += bytes
	return true
}

// NewKeyStore returns an empty store.
func NewKeyStore() *KeyStore {
	return &KeyStore{
		entries: make(map[Key]*keyEntry),
	}
}

// Claim assigns the key to a call, which must settle it by settleBy, or returns the state of the call that has the key and its
// recorded answer. A repeated claim of the same call is granted again.
func (k *KeyStore) Claim(now time.Time, key Key, owner core.CallID, content Fingerprint, settleBy time.Time) (Verdict, *RecordedAnswer) {
	k.expire(now)
	entry := k.entries[key]
	switch {
	case entry == nil && !k.add(key, owner, now):
		return VerdictFull, nil
	case entry == nil:
		k.entries[key] = &keyEntry{
			owner:     owner,
			content:   content,
			verdict:   VerdictRunning,
			settleBy:  settleBy,
			claimedAt: now,
		}
		return VerdictGranted, nil
	case entry.content != content:
		return VerdictConflict, nil
	case entry.verdict == VerdictRunning && entry.owner == owner:
		return VerdictGranted, nil
	case entry.verdict == VerdictRunning && now.After(entry.settleBy):
		entry.verdict = VerdictUnknown // the entry node of the call has not settled it in time
	}
	return entry.verdict, entry.answer
}

// Settle records the outcome of the owner's call. VerdictGranted means that the call has not run and releases the key.
func (k *KeyStore) Settle(now time.Time, key Key, owner core.CallID, verdict Verdict, answer *RecordedAnswer) {
	k.expire(now)
	entry := k.entries[key]
	if entry == nil || entry.owner != owner || entry.verdict == VerdictAnswered {
		return
	}
	switch {
	case verdict == VerdictGranted && entry.verdict == VerdictRunning:
		delete(k.entries, key)
	case verdict == VerdictAnswered && answer != nil && len(answer.Body) <= MaxRecordedBytes && k.recordedBytes+answer.bytes() <= maxTotalRecordedBytes:
		entry.verdict = VerdictAnswered
		entry.answer = answer
		k.recordedBytes += answer.bytes()
	default:
		entry.verdict = VerdictUnknown
	}
}

func (k *KeyStore) expire(now time.Time) {
	expired := 0
	for expired < len(k.byAge) && now.Sub(k.byAge[expired].claimedAt) > Window {
		age := k.byAge[expired]
		expired++
		k.keyBytes -= age.bytes
		entry := k.entries[age.key]
		if entry == nil || !entry.claimedAt.Equal(age.claimedAt) {
			continue // released, and possibly claimed again later
		}
		if entry.answer != nil {
			k.recordedBytes -= entry.answer.bytes()
		}
		delete(k.entries, age.key)
	}
	k.byAge = k.byAge[expired:]
}
