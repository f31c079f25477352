package retry

import (
	"math"
	"time"
)

const (
	// latencyWindow is half the time for which latencies count.
	latencyWindow = 5 * time.Second
	// minLatencySamples is how many a 95th percentile needs.
	minLatencySamples = 100
	// hedgedPerMille of the attempts take longer than the delay of a hedge. It bounds the hedges to 5% of the calls.
	hedgedPerMille = 50
	// hedgePauseAfterOverload follows a refusal or an answer of overload: a service that sheds calls needs no further ones.
	hedgePauseAfterOverload = time.Second
	// minHedgeDelay is about twice what the way through two nodes adds at the 99th percentile (0.9 ms in the demo): an
	// attempt that begins earlier has little to win.
	minHedgeDelay = 2 * time.Millisecond

	minBucketLatency   = 100 * time.Microsecond
	latencyBucketRatio = 1.25 // ratio of the upper bounds of two buckets
	latencyBucketCount = 64   // up to 127 s
)

// Hedging decides for one service when a second attempt may begin beside a first that has not been answered. It is not
// safe for concurrent use.
type Hedging struct {
	counts      [2][latencyBucketCount]int // of this span and the one before
	totals      [2]int
	windowEnd   time.Time // end of this span
	pausedUntil time.Time
}

// Answered counts the latency of one answered attempt.
func (h *Hedging) RecordLatency(now time.Time, took time.Duration) {
	h.advance(now)
	bucket := 0
	if took > minBucketLatency {
		bucket = int(math.Ceil(math.Log(float64(took)/float64(minBucketLatency)) / math.Log(latencyBucketRatio)))
	}
	h.counts[0][min(bucket, latencyBucketCount-1)]++
	h.totals[0]++
}

// Shed notes that an attempt was refused or that its answer said that the backend server is overloaded.
func (h *Hedging) RecordOverload(now time.Time) {
	h.pausedUntil = now.Add(hedgePauseAfterOverload)
}

// Allowed reports whether the service has shed no attempt lately.
func (h *Hedging) Allowed(now time.Time) bool {
	return !now.Before(h.pausedUntil)
}

// Delay returns the 95th percentile of the latencies of the last 5 s to 10 s, rounded up by a quarter at most, and at
// least 2 ms; it is false if they are too few.
func (h *Hedging) Delay(now time.Time) (time.Duration, bool) {
	h.advance(now)
	total := h.totals[0] + h.totals[1]
	if total < minLatencySamples {
		return 0, false
	}
	slower, bucket := 0, latencyBucketCount-1
	for ; bucket > 0; bucket-- {
		slower += h.counts[0][bucket] + h.counts[1][bucket]
		if slower*1000 > total*hedgedPerMille {
			break
		}
	}
	delay := time.Duration(float64(minBucketLatency) * math.Pow(latencyBucketRatio, float64(bucket)))
	return max(delay, minHedgeDelay), true
}

func (h *Hedging) advance(now time.Time) {
	if now.Before(h.windowEnd) {
		return
	}
	h.counts[1], h.totals[1] = h.counts[0], h.totals[0]
	if !now.Before(h.windowEnd.Add(latencyWindow)) {
		h.counts[1], h.totals[1] = [latencyBucketCount]int{}, 0
	}
	h.counts[0], h.totals[0] = [latencyBucketCount]int{}, 0
	h.windowEnd = now.Add(latencyWindow)
}
