package idempotency

import (
	"net/http"
	"time"

	"parsleyport/core"
)

const (
	maxKeys = 131_072 // 218 keys a second over the window
	// MaxRecordedBytes bounds the body of one recorded answer.
	MaxRecordedBytes      = 64 << 10
	maxTotalRecordedBytes = 16 << 20
)

// Key identifies what a caller wants to happen at most once.
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

// Recorded is an answer that a resend of its request gets.
type RecordedAnswer struct {
	Status  int          `msgpack:"status"`
	Header  http.Header  `msgpack:"header"`
	Body    []byte       `msgpack:"body"`
	Release core.Release `msgpack:"release"`
}

// Verdict is a holder's answer to a claim, or what several holders' answers come to.
type Verdict string

// The verdicts on a claim.
const (
	// VerdictGranted means that the claiming call may run.
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another call with the key is running.
	VerdictRunning Verdict = "running"
	// VerdictAnswered means that a call with the key was answered and the answer is recorded.
	VerdictAnswered Verdict = "answered"
	// VerdictUnknown means that a call with the key may have run, or that nobody remembers.
	VerdictUnknown Verdict = "unknown"
	// VerdictConflict means that the key belongs to another request.
	VerdictConflict Verdict = "conflict"
	// VerdictFull means that the holder can remember no more keys.
	VerdictFull Verdict = "full"
)

// Keys is one holder's memory of idempotency keys. An entry stays for the window; a full memory refuses new keys rather
// than forget one.
type KeyStore struct {
	entries       map[Key]*keyEntry
	byAge         []keyAge // oldest first
	recordedBytes int      // bytes of bodies
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
}

// NewKeyStore returns an empty memory.
func NewKeyStore() *KeyStore {
	return &KeyStore{
		entries: make(map[Key]*keyEntry),
	}
}

// Claim gives the key to a call, which must settle it by the given time, or says who has it. A repeated claim of the
// same call is granted again.
func (k *KeyStore) Claim(now time.Time, key Key, owner core.CallID, content Fingerprint, settleBy time.Time) (Verdict, *RecordedAnswer) {
	k.expire(now)
	entry := k.entries[key]
	switch {
	case entry == nil && len(k.byAge) >= maxKeys:
		return VerdictFull, nil
	case entry == nil:
		k.entries[key] = &keyEntry{
			owner:     owner,
			content:   content,
			verdict:   VerdictRunning,
			settleBy:  settleBy,
			claimedAt: now,
		}
		k.byAge = append(k.byAge, keyAge{
			key:       key,
			claimedAt: now,
		})
		return VerdictGranted, nil
	case entry.content != content:
		return VerdictConflict, nil
	case entry.verdict == VerdictRunning && entry.owner == owner:
		return VerdictGranted, nil
	case entry.verdict == VerdictRunning && now.After(entry.settleBy):
		entry.verdict = VerdictUnknown // its entry node has not settled it
	}
	return entry.verdict, entry.answer
}

// Settle records what became of the owner's call: granted means that it has not run and gives the key back.
func (k *KeyStore) Settle(now time.Time, key Key, owner core.CallID, verdict Verdict, answer *RecordedAnswer) {
	k.expire(now)
	entry := k.entries[key]
	if entry == nil || entry.owner != owner || entry.verdict == VerdictAnswered {
		return
	}
	switch {
	case verdict == VerdictGranted && entry.verdict == VerdictRunning:
		delete(k.entries, key)
	case verdict == VerdictAnswered && answer != nil && len(answer.Body) <= MaxRecordedBytes && k.recordedBytes+len(answer.Body) <= maxTotalRecordedBytes:
		entry.verdict = VerdictAnswered
		entry.answer = answer
		k.recordedBytes += len(answer.Body)
	default:
		entry.verdict = VerdictUnknown
	}
}

func (k *KeyStore) expire(now time.Time) {
	expired := 0
	for expired < len(k.byAge) && now.Sub(k.byAge[expired].claimedAt) > Window {
		age := k.byAge[expired]
		expired++
		entry := k.entries[age.key]
		if entry == nil || !entry.claimedAt.Equal(age.claimedAt) {
			continue // given back, and perhaps claimed again later
		}
		if entry.answer != nil {
			k.recordedBytes -= len(entry.answer.Body)
		}
		delete(k.entries, age.key)
	}
	k.byAge = k.byAge[expired:]
}
