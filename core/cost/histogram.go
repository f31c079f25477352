package cost

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling gives buckets that are 19% wide. The forecast adds up many calls, so that finer buckets add nothing.
	bucketsPerDoubling = 4
	// minSeconds is the upper bound of the first bucket, and the last bucket begins at 32 s, above the time of any call that is not
	// long overdue.
	minSeconds = 0.001
	doublings  = 15
	buckets    = bucketsPerDoubling*doublings + 1
	// halfLife is the half-life of a sample. Work changes with the state of a backend server within minutes; a shorter half-life
	// would leave too few samples of tenants with few calls.
	halfLife = 30 * time.Second
	// maxWeightExponent bounds the weight of a new sample, which grows instead of the weights of earlier ones falling.
	maxWeightExponent = 40
)

// histogram is a distribution of durations in logarithmic buckets, with samples that decay.
type histogram struct {
	counts   [buckets]float32
	seconds  [buckets]float32 // sum of the samples in each bucket
	total    float64
	began    time.Time // when a sample had weight 1
	observed time.Time // latest sample
	tails    *tails    // derived from the counts, nil if it is outdated
	derived  time.Time
}

func bucketOf(seconds float64) int {
	if seconds <= minSeconds {
		return 0
	}
	return min(int(math.Log2(seconds/minSeconds)*bucketsPerDoubling)+1, buckets-1)
}

// lowerBounds holds the lower bound of each bucket in seconds.
var lowerBounds = func() (bounds [buckets]float64) {
	for i := 1; i < buckets; i++ {
		bounds[i] = minSeconds * math.Exp2(float64(i-1)/bucketsPerDoubling)
	}
	return bounds
}()

func (h *histogram) observe(now time.Time, seconds float64) {
	if h.began.IsZero() {
		h.began = now
	}
	exponent := now.Sub(h.began).Seconds() / halfLife.Seconds()
	if exponent > maxWeightExponent {
		h.rescale(math.Exp2(-exponent))
		h.began, exponent = now, 0
	}
	weight, bucket := math.Exp2(exponent), bucketOf(seconds)
	h.counts[bucket] += float32(weight)
	h.seconds[bucket] += float32(weight * seconds)
	h.total += weight
	h.observed = now
}

func (h *histogram) rescale(factor float64) {
	h.total = 0
	for i := range h.counts {
		h.counts[i] *= float32(factor)
		h.seconds[i] *= float32(factor)
		h.total += float64(h.counts[i])
	}
}

// samples returns the number of samples, each by its present weight.
func (h *histogram) samples(now time.Time) float64 {
	return h.total * math.Exp2(-now.Sub(h.began).Seconds()/halfLife.Seconds())
}

// tails holds, for the lower bound of each bucket, the part of the samples from there on and the sum of their seconds.
type tails struct {
	part, seconds [buckets + 1]float64
}

// derive returns the tails, which are computed again at most once in tailsLifetime.
func (h *histogram) derive(now time.Time) *tails {
	if h.tails != nil && now.Sub(h.derived) < tailsLifetime {
		return h.tails
	}
	if h.tails == nil {
		h.tails = new(tails)
	}
	t := h.tails
	for i := buckets - 1; i >= 0; i-- {
		t.part[i] = t.part[i+1] + float64(h.counts[i])/h.total
		t.seconds[i] = t.seconds[i+1] + float64(h.seconds[i])/h.total
	}
	h.derived = now
	return t
}

const tailsLifetime = 250 * time.Millisecond

// above returns the part of the samples above a time and the sum of their seconds. Within a bucket, samples are spread evenly.
func (t *tails) above(seconds float64) (part, sum float64) {
	bucket := bucketOf(seconds)
	low := lowerBounds[bucket]
	within := 0.0
	if bucket < buckets-1 {
		within = min(max((seconds-low)/(lowerBounds[bucket+1]-low), 0), 1)
	}
	part = t.part[bucket+1] + (t.part[bucket]-t.part[bucket+1])*(1-within)
	return part, t.seconds[bucket+1] + (t.seconds[bucket]-t.seconds[bucket+1])*(1-within)
}

// Work is the distribution of the time for which calls of a class hold a slot. The zero value knows nothing.
type Work struct {
	tails   *tails
	samples float64
}

// Samples returns the number of observed calls, each by its present weight.
func (w Work) Samples() float64 { return w.samples }

// Known reports whether any call was observed.
func (w Work) Known() bool { return w.tails != nil }

// Mean returns the expected time of a call that starts now, zero if nothing is known.
func (w Work) Mean() time.Duration {
	if w.tails == nil {
		return 0
	}
	return duration(w.tails.seconds[0])
}

// minTailPart is the part of the samples from which on the tail of a distribution is trusted. With fewer, a call has run longer than
// nearly all others, and the more it has run the more is expected.
const minTailPart = 0.005

// Remaining returns the expected further time of a call that has run for a time. For a call that has outrun nearly all others, it is
// the time for which it has run: it may be one of the rare long ones, or hang.
func (w Work) Remaining(ran time.Duration) time.Duration {
	if w.tails == nil || ran <= 0 {
		return w.Mean()
	}
	part, sum := w.tails.above(ran.Seconds())
	if part < minTailPart {
		return ran
	}
	return max(duration(sum/part)-ran, time.Duration(minSeconds*float64(time.Second)))
}

// Exceeds returns the probability that a call that has run for a time runs for a further time.
func (w Work) Exceeds(ran, further time.Duration) float64 {
	if w.tails == nil {
		return 0
	}
	now, _ := w.tails.above(ran.Seconds())
	if now < minTailPart {
		return math.Exp(-further.Seconds() / max(ran.Seconds(), minSeconds))
	}
	then, _ := w.tails.above((ran + further).Seconds())
	return then / now
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Quantile returns the time that a part of the calls does not exceed, to the lower bound of its bucket, zero if nothing is known.
func (w Work) Quantile(part float64) time.Duration {
	if w.tails == nil {
		return 0
	}
	bucket := 0
	for bucket < buckets-1 && w.tails.part[bucket+1] > 1-part {
		bucket++
	}
	return duration(lowerBounds[bucket])
}
