package retry

import "time"

const bucketCount = 20

// BudgetOptions bound the repeated attempts of a node: in each Window at most Share of the calls, or Minimum if that is more.
// With Added, the minimum comes on top of the share.
type BudgetOptions struct {
	Window  time.Duration
	Share   float64
	Minimum float64
	Added   bool
}

// DefaultBudget is a tenth of the calls of the last second, or 3 if that is more.
var DefaultBudget = BudgetOptions{
	Window:  time.Second,
	Share:   0.1,
	Minimum: 3,
}

// hedgeDivisor is the part of the budget that hedges may use.
const hedgeDivisor = 2

// Budget bounds the repeated attempts of a node. It is not safe for concurrent use.
type Budget struct {
	options BudgetOptions
	span    int64 // of one bucket, in nanoseconds
	calls   [bucketCount]int
	repeats [bucketCount]int
	newest  int64 // number of the newest bucket, in spans since the Unix epoch
}

// NewBudget returns a budget with no calls; the zero options stand for DefaultBudget.
func NewBudget(options BudgetOptions) *Budget {
	if options == (BudgetOptions{}) {
		options = DefaultBudget
	}
	return &Budget{
		options: options,
		span:    int64(options.Window) / bucketCount,
	}
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
	if float64((repeats+1)*divisor) > b.allowed(calls) {
		return false
	}
	b.repeats[at]++
	return true
}

func (b *Budget) allowed(calls int) float64 {
	share := b.options.Share * float64(calls)
	if b.options.Added {
		return share + b.options.Minimum
	}
	return max(share, b.options.Minimum)
}

// advance clears the buckets that have aged out and returns the index of the current one.
func (b *Budget) advance(now time.Time) int64 {
	current := now.UnixNano() / b.span
	if current-b.newest >= bucketCount {
		b.newest = current - bucketCount
	}
	for b.newest < current {
		b.newest++
		b.calls[b.newest%bucketCount] = 0
		b.repeats[b.newest%bucketCount] = 0
	}
	return b.newest % bucketCount
}
