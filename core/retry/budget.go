package retry

import "time"

const bucketCount = 20

// BudgetOptions limit the retries of a node: in each Window to Ratio times the number of calls, or to MinRetries if that is more,
// and to the node's part of SharedRetries besides, which all nodes of the fleet divide among them.
type BudgetOptions struct {
	Window        time.Duration
	Ratio         float64
	MinRetries    float64
	SharedRetries float64
}

// DefaultBudget allows retries of a tenth of the calls of the last second, or 3 if that is more.
var DefaultBudget = BudgetOptions{
	Window:     time.Second,
	Ratio:      0.1,
	MinRetries: 3,
}

// hedgeBudgetDivisor is the divisor of the part of the budget that hedges may use.
const hedgeBudgetDivisor = 2

// Budget limits the retries of a node. It is not safe for concurrent use.
type Budget struct {
	options           BudgetOptions
	bucketNanoseconds int64 // length of one bucket
	calls             [bucketCount]int
	retries           [bucketCount]int
	newestBucket      int64 // number of the newest bucket, in bucket lengths since the Unix epoch
	nodes             int   // of the fleet, zero while unknown
}

// NewBudget returns an unused budget. Zero options stand for DefaultBudget.
func NewBudget(options BudgetOptions) *Budget {
	if options == (BudgetOptions{}) {
		options = DefaultBudget
	}
	return &Budget{
		options:           options,
		bucketNanoseconds: int64(options.Window) / bucketCount,
	}
}

// SetNodes sets the number of nodes among which SharedRetries are divided. While it is zero, the node takes none of them.
func (b *Budget) SetNodes(nodes int) {
	b.nodes = nodes
}

// RecordCall counts one call, without its retries.
func (b *Budget) RecordCall(now time.Time) {
	b.calls[b.advance(now)]++
}

// Take counts one retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, 1)
}

// TakeHedge is like Take, but leaves half of the budget to retries after a failure.
func (b *Budget) TakeHedge(now time.Time) bool {
	return b.take(now, hedgeBudgetDivisor)
}

func (b *Budget) take(now time.Time, divisor int) bool {
	at := b.advance(now)
	calls, retries := 0, 0
	for i := range bucketCount {
		calls += b.calls[i]
		retries += b.retries[i]
	}
	if float64((retries+1)*divisor) > b.maxRetries(calls) {
		return false
	}
	b.retries[at]++
	return true
}

func (b *Budget) maxRetries(calls int) float64 {
	limit := max(b.options.Ratio*float64(calls), b.options.MinRetries)
	if b.nodes > 0 {
		limit += b.options.SharedRetries / float64(b.nodes)
	}
	return limit
}

// advance clears the buckets that have left the window and returns the index of the current one.
func (b *Budget) advance(now time.Time) int64 {
	current := now.UnixNano() / b.bucketNanoseconds
	if current-b.newestBucket >= bucketCount {
		b.newestBucket = current - bucketCount
	}
	for b.newestBucket < current {
		b.newestBucket++
		b.calls[b.newestBucket%bucketCount] = 0
		b.retries[b.newestBucket%bucketCount] = 0
	}
	return b.newestBucket % bucketCount
}
