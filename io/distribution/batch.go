package distribution

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/lease"
)

const (
	// endpointBytesPerSecond is the long-term rate, in bytes a second, at which a link may send endpoint changes, and
	// endpointBurstBytes the size of its token bucket. While the bucket is not exhausted, changes wait for batchInterval at most. It
	// covers the start of 60 nodes: with 512 bytes, the endpoints of 40 nodes that started together were not known to all
	// within 3 s.
	endpointBytesPerSecond = 30
	endpointBurstBytes     = 4 << 10
	// throttledUrgentInterval and throttledInterval apply to a link over its budget. A change crosses up to 7 links: 3 up, 1
	// between control instances and 3 down. Over all of them, a change that takes a backend server out of use waits for at most
	// 2.1 s of the 3 s allowed for it, and any other change for at most 10.5 s of 14 s.
	throttledUrgentInterval = 300 * time.Millisecond
	throttledInterval       = 1500 * time.Millisecond
	// Approximate sizes in bytes of a message without changes, of an endpoint, and of a state change.
	messageOverheadBytes = 16
	endpointChangeBytes  = 65
	stateChangeBytes     = 15
)

// batcher paces the endpoint changes of one link. A link over its budget waits longer, so that more changes share a message and
// successive changes of one endpoint are merged.
type batcher struct {
	nextUrgent  time.Time // when urgent changes may be sent
	nextRegular time.Time // when other changes may be sent
	debtBytes   float64   // bytes sent over the budget as of debtAt
	debtAt      time.Time
}

func (b *batcher) sent(now time.Time, changes, states int) {
	b.debtBytes = max(0, b.debtBytes-endpointBytesPerSecond*now.Sub(b.debtAt).Seconds())
	b.debtBytes += float64(messageOverheadBytes + endpointChangeBytes*changes + stateChangeBytes*states)
	b.debtAt = now
	b.nextUrgent, b.nextRegular = now.Add(batchInterval), now.Add(batchInterval)
	if b.debtBytes > endpointBurstBytes {
		b.nextUrgent, b.nextRegular = now.Add(throttledUrgentInterval), now.Add(throttledInterval)
	}
}

// dueAt returns the earliest time at which the changes may be sent.
func (b *batcher) dueAt(changes lease.ChangeSet) time.Time {
	if len(changes.Removals) > 0 {
		return b.nextUrgent
	}
	for _, endpoint := range changes.Upserts {
		if endpoint.State == core.EndpointLeaving {
			return b.nextUrgent
		}
	}
	return b.nextRegular
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
