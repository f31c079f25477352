package distribution

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/lease"
)

const (
	// endpointsBudget is how many bytes a second a link may spend on changes of endpoints for long; endpointsBurst may go beyond.
	// With a burst left, changes wait batchInterval at most. It covers the start of 60 nodes: with 512 bytes, the endpoints
	// of 40 nodes that started together were not known to all within 3 s.
	endpointsBudget = 30
	endpointsBurst  = 4 << 10
	// A change passes up to 7 links: 3 up, 1 between control instances and 3 down. On all of them together, one that takes a
	// backend server out of use waits 2.1 s at most of the 3 s that it has, and any other 10.5 s of 14 s.
	urgentInterval = 300 * time.Millisecond
	calmInterval   = 1500 * time.Millisecond
	// What a message and a change cost, about.
	batchOverhead = 16
	changeBytes   = 65
	stateBytes    = 15
)

// batcher spaces the messages about changed endpoints of one link. A link that exceeds its budget waits longer, so that
// more changes share a message and changes that follow each other at one endpoint become one.
type batcher struct {
	urgent time.Time // when changes that must not wait may be sent
	calm   time.Time // when all others may be
	debt   float64   // bytes at the time below
	at     time.Time
}

func (b *batcher) sent(now time.Time, changes, states int) {
	b.debt = max(0, b.debt-endpointsBudget*now.Sub(b.at).Seconds())
	b.debt += float64(batchOverhead + changeBytes*changes + stateBytes*states)
	b.at = now
	b.urgent, b.calm = now.Add(batchInterval), now.Add(batchInterval)
	if b.debt > endpointsBurst {
		b.urgent, b.calm = now.Add(urgentInterval), now.Add(calmInterval)
	}
}

// wait returns when changes may be sent that are not due yet.
func (b *batcher) wait(changes lease.ChangeSet) time.Time {
	if len(changes.Removals) > 0 {
		return b.urgent
	}
	for _, endpoint := range changes.Upserts {
		if endpoint.State == core.EndpointLeaving {
			return b.urgent
		}
	}
	return b.calm
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
