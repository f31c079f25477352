package rollout

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"parsleyport/core"
)

// maxCounters bounds a recorder's memory to about 600 KB. The names in the keys come from the configuration, not from callers.
const maxCounters = 4096

type recordKey struct {
	service core.ServiceName
	route   core.RouteName
	release core.Release
}

type counter struct {
	calls, failures, crashes atomic.Uint64
	latency                  [core.LatencyBuckets]atomic.Uint64
}

// Recorder implements core.EvidenceRecorder with cumulative counts for one run of a node. It is safe for concurrent use.
type Recorder struct {
	node        core.NodeID
	incarnation core.Incarnation
	mutex       sync.RWMutex
	counters    map[recordKey]*counter
	dropped     atomic.Uint64
}

// NewRecorder returns an empty recorder for one run of a node.
func NewRecorder(node core.NodeID, incarnation core.Incarnation) *Recorder {
	return &Recorder{
		node:        node,
		incarnation: incarnation,
		counters:    make(map[recordKey]*counter),
	}
}

// Record counts one call that was answered or failed. It implements core.EvidenceRecorder.
func (r *Recorder) Record(service core.ServiceName, route core.RouteName, release core.Release, failed, crashed bool, latency time.Duration) {
	c := r.counter(recordKey{
		service: service,
		route:   route,
		release: release,
	})
	if c == nil {
		r.dropped.Add(1)
		return
	}
	// Calls are counted first, so that a concurrent call of Counts never reads more failures than calls.
	c.calls.Add(1)
	if failed {
		c.failures.Add(1)
	}
	if crashed {
		c.crashes.Add(1)
	}
	c.latency[bucket(latency)].Add(1)
}

// RecordRejected counts one call whose first attempt a backend server had no capacity for. It implements core.EvidenceRecorder.
func (r *Recorder) RecordRejected(service core.ServiceName, route core.RouteName, release core.Release) {
	c := r.counter(recordKey{
		service: service,
		route:   route,
		release: release,
	})
	if c == nil {
		r.dropped.Add(1)
		return
	}
	c.calls.Add(1)
}

// bucket returns the first latency bucket whose bound of 2^i milliseconds is above the latency.
func bucket(latency time.Duration) int {
	milliseconds := uint64(max(0, latency) / time.Millisecond)
	return min(bits.Len64(milliseconds), core.LatencyBuckets-1)
}

func (r *Recorder) counter(key recordKey) *counter {
	r.mutex.RLock()
	c := r.counters[key]
	r.mutex.RUnlock()
	if c != nil {
		return c
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if c = r.counters[key]; c != nil || len(r.counters) >= maxCounters {
		return c
	}
	c = &counter{}
	r.counters[key] = c
	return c
}

// Counts returns all cumulative counts, in no particular order.
func (r *Recorder) Counts() []core.EvidenceCount {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	counts := make([]core.EvidenceCount, 0, len(r.counters))
	for key, c := range r.counters {
		count := core.EvidenceCount{
			Node:        r.node,
			Incarnation: r.incarnation,
			Service:     key.service,
			Route:       key.route,
			Release:     key.release,
			Failures:    c.failures.Load(),
			Crashes:     c.crashes.Load(),
		}
		for i := range c.latency {
			count.Latency[i] = c.latency[i].Load()
		}
		count.Calls = c.calls.Load()
		counts = append(counts, count)
	}
	return counts
}

// Dropped returns the number of calls that were not counted because the recorder was full.
func (r *Recorder) Dropped() uint64 {
	return r.dropped.Load()
}
