package retry

import (
	"math"
	"time"
)

const (
	// latencyWindow is the length of one of the two windows in which latencies are counted.
	latencyWindow = 5 * time.Second
	// minLatencySamples is the number of samples required to estimate the 95th percentile.
	minLatencySamples = 100
	// hedgedPerMille is the share of attempts that take longer than the hedging delay. It limits hedges to 5% of the calls.
	hedgedPerMille = 50
	// hedgePauseAfterOverload is how long no hedges start after a refusal or an overload answer, since they would add load.
	hedgePauseAfterOverload = time.Second
	// minHedgeDelay is about twice the latency that two nodes add to a call at the 99th percentile (0.9 ms in the demo). An
	// earlier hedge would gain little.
	minHedgeDelay = 2 * time.Millisecond

	minBucketLatency   = 100 * time.Microsecond
	latencyBucketRatio = 1.25 // ratio of the upper bounds of adjacent buckets
	latencyBucketCount = 64   // up to 127 s
)

// Hedging decides for one service when a hedged attempt may start while the first attempt is unanswered. It is not safe for
// concurrent use.
type Hedging struct {
	counts      [2][latencyBucketCount]int // of the current and the previous window
	totals      [2]int
	windowEnd   time.Time // end of the current window
	pausedUntil time.Time
}

// RecordLatency counts the latency of one answered attempt.
func (h *Hedging) RecordLatency(now time.Time, took time.Duration) {
	h.advance(now)
	bucket := 0
	if took > minBucketLatency {
		bucket = int(math.Ceil(math.Log(float64(took)/float64(minBucketLatency)) / math.Log(latencyBucketRatio)))
	}
	h.counts[0][min(bucket, latencyBucketCount-1)]++
	h.totals[0]++
}

// RecordOverload records that an attempt was refused or that its answer reported an overloaded backend server.
func (h *Hedging) RecordOverload(now time.Time) {
	h.pausedUntil = now.Add(hedgePauseAfterOverload)
}

// Allowed reports whether the pause after the last refusal or overload answer is over.
func (h *Hedging) Allowed(now time.Time) bool {
	return !now.Before(h.pausedUntil)
}

// Delay returns the 95th percentile of the latencies of the last 5 s to 10 s, at most a quarter too high, and at least 2 ms. It
// returns false if there are too few samples.
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
