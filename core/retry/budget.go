package retry

import "time"

const (
	bucketSpan     = 100 * time.Millisecond
	bucketCount    = 10 // one second
	budgetDivisor  = 10 // repetitions are at most a tenth of the calls
	budgetMinimum  = 3  // repetitions a second that are always allowed
	hedgeDivisor   = 2  // hedges are at most this part of the budget
	bucketsPerTurn = int64(bucketCount)
)

// Budget bounds the repeated attempts of a node to a tenth of its calls of the last second, or 3 if that is more. It is
// not safe for concurrent use.
type Budget struct {
	calls   [bucketCount]int
	repeats [bucketCount]int
	newest  int64 // number of the newest bucket, in bucketSpan since the Unix epoch
}

// Call counts one call of a caller.
func (b *Budget) Call(now time.Time) {
	b.calls[b.advance(now)]++
}

// Take counts one repetition and returns true, or returns false if the budget is used up.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, 1)
}

// TakeHedge is like Take, but leaves half of the budget to attempts that follow a failure.
func (b *Budget) TakeHedge(now time.Time) bool {
	return b.take(now, hedgeDivisor)
}

func (b *Budget) take(now time.Time, divisor int) bool {
	at := b.advance(now)
	calls, repeats := 0, 0
	for i := range bucketCount {
		calls += b.calls[i]
		repeats += b.repeats[i]
	}
	if repeats*divisor >= max(calls/budgetDivisor, budgetMinimum) {
		return false
	}
	b.repeats[at]++
	return true
}

// advance clears the buckets that have aged out and returns the index of the current one.
func (b *Budget) advance(now time.Time) int64 {
	current := now.UnixNano() / int64(bucketSpan)
	if current-b.newest >= bucketsPerTurn {
		b.newest = current - bucketsPerTurn
	}
	for b.newest < current {
		b.newest++
		b.calls[b.newest%bucketsPerTurn] = 0
		b.repeats[b.newest%bucketsPerTurn] = 0
	}
	return b.newest % bucketsPerTurn
}
