package distribution

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/lease"
)

const (
	// endpointBytesPerSecond is how many bytes a second a link may spend on changes of endpoints for long; endpointBurstBytes may go beyond.
	// With a burst left, changes wait batchInterval at most. It covers the start of 60 nodes: with 512 bytes, the endpoints
	// of 40 nodes that started together were not known to all within 3 s.
	endpointBytesPerSecond = 30
	endpointBurstBytes     = 4 << 10
	// A change passes up to 7 links: 3 up, 1 between control instances and 3 down. On all of them together, one that takes a
	// backend server out of use waits 2.1 s at most of the 3 s that it has, and any other 10.5 s of 14 s.
	throttledUrgentInterval = 300 * time.Millisecond
	throttledInterval       = 1500 * time.Millisecond
	// What a message and a change cost, about.
	messageOverheadBytes = 16
	endpointChangeBytes  = 65
	stateChangeBytes     = 15
)

// batcher spaces the messages about changed endpoints of one link. A link that exceeds its budget waits longer, so that
// more changes share a message and changes that follow each other at one endpoint become one.
type batcher struct {
	nextUrgent  time.Time // when changes that must not wait may be sent
	nextRegular time.Time // when all others may be
	debtBytes   float64   // bytes at the time below
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

// wait returns when changes may be sent that are not due yet.
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
