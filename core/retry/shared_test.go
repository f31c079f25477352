package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/retry"
)

// Guards against nodes that keep their own budgets but together exceed the shared budget in some window of its length, because
// their windows begin at different times and bursts of calls arrive at different nodes.
//
// Simulates 100 nodes. Every call fails and is retried three times, and the rate of calls changes every few seconds.
func TestNodesStayWithinTheSharedBudget(t *testing.T) {
	c := qt.New(t)
	const (
		nodes      = 100
		window     = 10 * time.Second
		retryRatio = 0.2
		slack      = 62.0
		nodeRatio  = 0.7 // part of the shared budget that is divided among the nodes
		step       = 100 * time.Millisecond
		steps      = 900
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*retry.Budget, nodes)
		for i := range budgets {
			budgets[i] = retry.NewBudget(retry.BudgetOptions{
				Window:     window,
				Ratio:      retryRatio * nodeRatio,
				MinRetries: slack * nodeRatio / nodes,
				Additive:   true,
			})
		}
		var calls, retries [steps]int
		rate, busy := 0, 1
		start := time.Unix(1_700_000_000, random.Int64N(int64(window)))
		for at := range steps {
			if at%30 == 0 {
				rate, busy = random.IntN(60), 1+random.IntN(nodes)
			}
			for range rate {
				budget := budgets[random.IntN(busy)]
				now := start.Add(time.Duration(at)*step + time.Duration(random.Int64N(int64(step))))
				budget.RecordCall(now)
				calls[at]++
				for range 3 {
					if budget.Take(now) {
						retries[at]++
					}
				}
			}
		}
		const length = int(window / step)
		total := func(counts [steps]int, from int) (sum int) {
			for at := max(0, from); at < from+length; at++ {
				sum += counts[at]
			}
			return sum
		}
		for from := range steps - length {
			asked := max(total(calls, from), total(calls, from-length), total(calls, from-length/2))
			allowed := retryRatio*float64(asked) + slack
			c.Assert(float64(total(retries, from)) <= allowed, qt.IsTrue, qt.Commentf("seed %d, from %d: %d of %.0f", seed, from, total(retries, from), allowed))
		}
	}
}
