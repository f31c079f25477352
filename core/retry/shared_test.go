package retry_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/retry"
)

const (
	sharedWindow  = 10 * time.Second
	sharedRatio   = 0.2
	usedRatio     = 0.7 // part of the shared budget that the nodes divide among them
	sharedStep    = 100 * time.Millisecond
	sharedSteps   = 900
	sharedPerSpan = int(sharedWindow / sharedStep)
)

// spendSharedBudget lets all calls of a fleet fail and retries each of them three times, at rates that change every few seconds. It
// returns the greatest number of retries in a window above what the shared budget allows. maxRate bounds the calls of one step;
// knownNodes returns the number of nodes that a node believes the fleet to have.
func spendSharedBudget(seed uint64, nodes int, slack float64, maxRate int, knownNodes func(node, step int) int) (excess float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	budgets := make([]*retry.Budget, nodes)
	for i := range budgets {
		budgets[i] = retry.NewBudget(retry.BudgetOptions{
			Window:        sharedWindow,
			Ratio:         sharedRatio * usedRatio,
			SharedRetries: slack * usedRatio,
		})
	}
	var calls, retries [sharedSteps]int
	rate, busy := 0, 1
	start := time.Unix(1_700_000_000, random.Int64N(int64(sharedWindow)))
	for at := range sharedSteps {
		if at%30 == 0 {
			rate, busy = random.IntN(maxRate), 1+random.IntN(nodes)
		}
		for range rate {
			node := random.IntN(busy)
			now := start.Add(time.Duration(at)*sharedStep + time.Duration(random.Int64N(int64(sharedStep))))
			budgets[node].SetNodes(knownNodes(node, at))
			budgets[node].RecordCall(now)
			calls[at]++
			for range 3 {
				if budgets[node].Take(now) {
					retries[at]++
				}
			}
		}
	}
	total := func(counts [sharedSteps]int, from int) (sum int) {
		for at := max(0, from); at < from+sharedPerSpan; at++ {
			sum += counts[at]
		}
		return sum
	}
	excess = -slack
	for from := range sharedSteps - sharedPerSpan {
		asked := max(total(calls, from), total(calls, from-sharedPerSpan), total(calls, from-sharedPerSpan/2))
		excess = max(excess, float64(total(retries, from))-sharedRatio*float64(asked)-slack)
	}
	return excess
}

// Guards against nodes that keep their own budgets but together exceed the shared budget in some window of its length, because
// their windows begin at different times, bursts of calls arrive at different nodes, or their shares hold for another fleet.
func TestNodesStayWithinTheSharedBudget(t *testing.T) {
	for _, nodes := range []int{1, 30, 100, 253, 2_700} {
		t.Run(strconv.Itoa(nodes), func(t *testing.T) {
			c := qt.New(t)
			for name, known := range map[string]func(node, step int) int{
				"exact":                 func(int, int) int { return nodes },
				"unknown":               func(int, int) int { return 0 },
				"unknown to some":       func(node, _ int) int { return node % 2 * nodes },
				"not known for a while": func(_, step int) int { return step / (sharedSteps / 2) * nodes },
				"too high":              func(int, int) int { return 3 * nodes },
				"an eighth too low":     func(int, int) int { return nodes - nodes/8 },
			} {
				for seed := range uint64(3) {
					excess := spendSharedBudget(seed, nodes, 430, 200, known)
					c.Assert(excess <= 0, qt.IsTrue, qt.Commentf("%s, seed %d: %.0f too many", name, seed, excess))
				}
			}
		})
	}
	c := qt.New(t)
	for seed := range uint64(20) { // the slack and the rates of a small deployment
		excess := spendSharedBudget(seed, 100, 62, 60, func(int, int) int { return 100 })
		c.Assert(excess <= 0, qt.IsTrue, qt.Commentf("seed %d: %.0f too many", seed, excess))
	}
	c.Assert(spendSharedBudget(1, 2_700, 430, 200, func(int, int) int { return 100 }) > 0, qt.IsTrue) // the load shows shares for too few nodes
}

// Guards against a node that alone meets the trouble and may not retry at all, because the fleet is large.
func TestNodeOfALargeFleetRetriesAPartOfItsCalls(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(retry.BudgetOptions{
		Window:        sharedWindow,
		Ratio:         sharedRatio * usedRatio,
		SharedRetries: 430 * usedRatio,
	})
	budget.SetNodes(2_700)
	now, retries := time.Unix(1_700_000_000, 0), 0
	for range 100 {
		now = now.Add(sharedStep)
		budget.RecordCall(now)
		if budget.Take(now) {
			retries++
		}
	}
	c.Assert(retries >= 13, qt.IsTrue, qt.Commentf("%d retries of 100 calls", retries))
}

// Guards against nodes that take over the shares of those that restart, and against shares that never grow again after nodes have left.
func TestFleetSizeFollowsLossesSlowly(t *testing.T) {
	c := qt.New(t)
	var size retry.FleetSize
	now := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	c.Assert(size.Nodes(at(0)), qt.Equals, 0)
	size.Observe(at(0), -5)
	c.Assert(size.Nodes(at(0)), qt.Equals, 0)
	size.Observe(at(1), 253)
	c.Assert(size.Nodes(at(1)), qt.Equals, 253)
	for second := 2; second < 30; second++ {
		size.Observe(at(second), 100) // most of the fleet restarts
		c.Assert(size.Nodes(at(second)), qt.Equals, 253)
	}
	size.Observe(at(31), 300)
	c.Assert(size.Nodes(at(31)), qt.Equals, 300)
	for second := 32; second < 100; second++ {
		size.Observe(at(second), 100)
	}
	c.Assert(size.Nodes(at(100)), qt.Equals, 100)
	c.Assert(size.Nodes(at(300)), qt.Equals, 0)
}
