package retry

import (
	"math"
	"time"
)

const (
	// latencySpan is half the time for which latencies count.
	latencySpan = 5 * time.Second
	// minLatencies is how many a 95th percentile needs.
	minLatencies = 100
	// slowPerMille of the attempts take longer than the delay of a hedge. It bounds the hedges to 5% of the calls.
	slowPerMille = 50
	// hedgePause follows a refusal or an answer of overload: a service that sheds calls needs no further ones.
	hedgePause = time.Second
	// minHedgeDelay is about twice what the way through two nodes adds at the 99th percentile (0.9 ms in the demo): an
	// attempt that begins earlier has little to win.
	minHedgeDelay = 2 * time.Millisecond

	smallestLatency = 100 * time.Microsecond
	latencyStep     = 1.25 // ratio of the upper bounds of two buckets
	latencyBuckets  = 64   // up to 127 s
)

// Hedging decides for one service when a second attempt may begin beside a first that has not been answered. It is not
// safe for concurrent use.
type Hedging struct {
	counts [2][latencyBuckets]int // of this span and the one before
	totals [2]int
	until  time.Time // end of this span
	paused time.Time
}

// Answered counts the latency of one answered attempt.
func (h *Hedging) Answered(now time.Time, took time.Duration) {
	h.advance(now)
	bucket := 0
	if took > smallestLatency {
		bucket = int(math.Ceil(math.Log(float64(took)/float64(smallestLatency)) / math.Log(latencyStep)))
	}
	h.counts[0][min(bucket, latencyBuckets-1)]++
	h.totals[0]++
}

// Shed notes that an attempt was refused or that its answer said that the backend server is overloaded.
func (h *Hedging) Shed(now time.Time) {
	h.paused = now.Add(hedgePause)
}

// Allowed reports whether the service has shed no attempt lately.
func (h *Hedging) Allowed(now time.Time) bool {
	return !now.Before(h.paused)
}

// Delay returns the 95th percentile of the latencies of the last 5 s to 10 s, rounded up by a quarter at most, and at
// least 2 ms; it is false if they are too few.
func (h *Hedging) Delay(now time.Time) (time.Duration, bool) {
	h.advance(now)
	total := h.totals[0] + h.totals[1]
	if total < minLatencies {
		return 0, false
	}
	slower, bucket := 0, latencyBuckets-1
	for ; bucket > 0; bucket-- {
		slower += h.counts[0][bucket] + h.counts[1][bucket]
		if slower*1000 > total*slowPerMille {
			break
		}
	}
	delay := time.Duration(float64(smallestLatency) * math.Pow(latencyStep, float64(bucket)))
	return max(delay, minHedgeDelay), true
}

func (h *Hedging) advance(now time.Time) {
	if now.Before(h.until) {
		return
	}
	h.counts[1], h.totals[1] = h.counts[0], h.totals[0]
	if !now.Before(h.until.Add(latencySpan)) {
		h.counts[1], h.totals[1] = [latencyBuckets]int{}, 0
	}
	h.counts[0], h.totals[0] = [latencyBuckets]int{}, 0
	h.until = now.Add(latencySpan)
}
