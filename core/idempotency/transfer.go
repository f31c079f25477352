package idempotency

import (
	"cmp"
	"slices"
	"time"

	"parsleyport/core"
)

// Entry is a stored key in transfer to another node. It holds ages instead of times because clocks differ.
type Entry struct {
	Key       Key             `msgpack:"key"`
	Owner     core.CallID     `msgpack:"owner"`
	Content   Fingerprint     `msgpack:"content"`
	Verdict   Verdict         `msgpack:"verdict"`
	Age       time.Duration   `msgpack:"age"`  // since the claim
	Remaining time.Duration   `msgpack:"left"` // until the call must be settled
	Answer    *RecordedAnswer `msgpack:"answer"`
}

// Bytes returns the approximate encoded size of an entry.
func (e Entry) Bytes() int {
	size := 256 + len(e.Key.Tenant) + len(e.Key.Service) + len(e.Key.Name)
	if e.Answer != nil {
		size += len(e.Answer.Body)
		for name, values := range e.Answer.Header {
			size += len(name)
			for _, value := range values {
				size += len(value)
			}
		}
	}
	return size
}

// Export returns all entries, oldest first.
func (k *KeyStore) Export(now time.Time) []Entry {
	k.expire(now)
	entries := make([]Entry, 0, len(k.entries))
	for _, age := range k.byAge {
		entry := k.entries[age.key]
		if entry == nil || !entry.claimedAt.Equal(age.claimedAt) {
			continue // released, and possibly claimed again later
		}
		entries = append(entries, Entry{
			Key:       age.key,
			Owner:     entry.owner,
			Content:   entry.content,
			Verdict:   entry.verdict,
			Age:       now.Sub(entry.claimedAt),
			Remaining: entry.settleBy.Sub(now),
			Answer:    entry.answer,
		})
	}
	return entries
}

// Restore adds entries that were exported the given duration ago. A key that has been claimed here since then keeps its new entry,
// whose call was granted by the other holders.
func (k *KeyStore) Restore(now time.Time, sinceExport time.Duration, entries []Entry) {
	for _, e := range entries {
		claimedAt := now.Add(-e.Age - sinceExport)
		if k.entries[e.Key] != nil || !k.add(e.Key, e.Owner, claimedAt) {
			continue
		}
		entry := &keyEntry{
			owner:     e.Owner,
			content:   e.Content,
			verdict:   e.Verdict,
			settleBy:  now.Add(e.Remaining - sinceExport),
			claimedAt: claimedAt,
			answer:    e.Answer,
		}
		if entry.answer != nil {
			k.recordedBytes += entry.answer.bytes()
		}
		k.entries[e.Key] = entry
	}
	slices.SortStableFunc(k.byAge, func(a, b keyAge) int { return cmp.Compare(a.claimedAt.UnixNano(), b.claimedAt.UnixNano()) })
	k.expire(now)
}
