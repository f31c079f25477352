package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"parsleyport/core"
)

// fleet simulates a deployment of many nodes with usual load over one lender. Messages take 1 to 5 ms.
type fleet struct {
	random    *rand.Rand
	now       time.Duration
	settings  Settings
	lender    *Lender
	nodes     []*fleetNode
	tenants   []fleetTenant
	packets   []fleetPacket
	requests  []int // in each second
	refused   []int
	small     [2]int // requests of the last tenants, and refused ones
	first     [2]int // requests of the first tenant, and refused ones
	waited    int    // requests of the first tenant that waited for units
	exchanges int
	reports   int
}

type fleetTenant struct {
	name  core.TenantID
	rate  float64
	bound int
	share []float64 // of each node, cumulative
}

type fleetNode struct {
	*Holder
	dead    bool
	waiting []fleetWait
	calls   []fleetCall
}

// fleetCall is a request that a backend server answers.
type fleetCall struct {
	tenant  int
	takenAt time.Duration
}

type fleetWait struct {
	tenant int
	until  time.Duration
}

type fleetPacket struct {
	at      time.Duration
	node    *fleetNode
	request *Request
	answer  Answer
}

func newFleet(seed uint64, nodes, tenants int, perSecond float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), now: time.Minute, settings: DefaultSettings()}
	weights := 0.0
	for i := range tenants {
		weights += math.Pow(float64(i+1), -1.2)
	}
	bounds := make(map[core.TenantID]int)
	for i := range tenants {
		t := fleetTenant{name: core.TenantID(fmt.Sprintf("tenant-%02d", i)), rate: perSecond * math.Pow(float64(i+1), -1.2) / weights}
		limit := int64(math.Round(1.6 * t.rate))
		t.bound = f.settings.Units(max(limit, 1), limit)
		bounds[t.name] = t.bound
		t.share = f.shares(nodes, t.rate)
		f.tenants = append(f.tenants, t)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &fleetNode{Holder: NewHolder(f.settings, core.NodeID(fmt.Sprint(i)), 1)})
	}
	f.lender = NewLender(Time{}, 1, f.settings.Span(), Limits{})
	f.lender.takeover.Bound = func(name core.TenantID) int { return bounds[name] }
	return f
}

// shares returns uneven shares of the nodes. The callers of a small tenant use one or two nodes.
func (f *fleet) shares(nodes int, rate float64) []float64 {
	share, sum := make([]float64, nodes), 0.0
	few := rate < 4
	for i := range share {
		share[i] = math.Pow(f.random.Float64(), 2)
		if few {
			share[i] = 0
		}
	}
	if few {
		share[f.random.IntN(nodes)]++
		share[f.random.IntN(nodes)] += 0.5
	}
	for i := range share {
		sum += share[i]
		share[i] = sum
	}
	for i := range share {
		share[i] /= sum
	}
	return share
}

func (f *fleet) choose(share []float64) *fleetNode {
	for {
		pick := f.random.Float64()
		for i, limit := range share {
			if pick < limit && !f.nodes[i].dead {
				return f.nodes[i]
			}
			if pick < limit {
				break
			}
		}
		if n := f.nodes[f.random.IntN(len(f.nodes))]; !n.dead { // the callers of a dead node connect to any other one
			return n
		}
	}
}

func (f *fleet) run(length time.Duration) {
	const step = time.Millisecond
	for end := f.now + length; f.now < end; f.now += step {
		clock := Time{Steady: f.now, Wall: f.now}
		f.deliver(clock)
		if f.now%time.Second == 0 {
			f.requests, f.refused = append(f.requests, 0), append(f.refused, 0)
		}
		for i, t := range f.tenants {
			for arrivals := poisson(f.random, t.rate*step.Seconds()); arrivals > 0; arrivals-- {
				f.call(f.choose(t.share), clock, i)
			}
		}
		for _, n := range f.nodes {
			f.stepNode(n, clock)
		}
	}
}

func (f *fleet) call(n *fleetNode, clock Time, i int) {
	f.requests[len(f.requests)-1]++
	if i >= len(f.tenants)/2 {
		f.small[0]++
	}
	if i == 0 {
		f.first[0]++
	}
	verdict, _ := n.Take(clock, f.tenants[i].name, f.tenants[i].bound)
	switch verdict {
	case Admitted:
		n.calls = append(n.calls, fleetCall{tenant: i, takenAt: f.now})
	case Used:
		f.refuse(i)
	case Missing:
		if i == 0 {
			f.waited++
		}
		n.Wait(f.tenants[i].name)
		n.waiting = append(n.waiting, fleetWait{tenant: i, until: f.now + 300*time.Millisecond})
	}
}

func (f *fleet) refuse(i int) {
	f.refused[len(f.refused)-1]++
	if i >= len(f.tenants)/2 {
		f.small[1]++
	}
	if i == 0 {
		f.first[1]++
	}
}

func (f *fleet) retry(n *fleetNode, clock Time) {
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		verdict, _ := n.Take(clock, f.tenants[w.tenant].name, f.tenants[w.tenant].bound)
		if verdict == Missing && f.now < w.until {
			n.waiting = append(n.waiting, w)
			continue
		}
		n.Leave(clock, f.tenants[w.tenant].name, verdict == Missing)
		if verdict != Admitted {
			f.refuse(w.tenant)
			continue
		}
		n.calls = append(n.calls, fleetCall{tenant: w.tenant, takenAt: f.now})
	}
}

func (f *fleet) stepNode(n *fleetNode, clock Time) {
	if n.dead {
		return
	}
	for len(n.calls) > 0 && f.now >= n.calls[0].takenAt+200*time.Millisecond {
		n.Settle(clock, f.tenants[n.calls[0].tenant].name, n.calls[0].takenAt)
		n.calls = n.calls[1:]
	}
	if len(n.waiting) > 0 && f.now >= n.waiting[0].until {
		f.retry(n, clock)
	}
	if due, needed := n.Due(clock); needed && due <= f.now {
		request := n.Request(clock)
		f.exchanges++
		f.reports += len(request.Reports)
		f.packets = append(f.packets, fleetPacket{at: f.now + time.Duration(1+f.random.IntN(4))*time.Millisecond, node: n, request: &request})
	}
}

func (f *fleet) deliver(clock Time) {
	due := f.packets
	f.packets = nil
	for _, p := range due {
		switch {
		case p.at > f.now:
			f.packets = append(f.packets, p)
		case p.request != nil:
			if answer, answered := f.lender.Exchange(clock, *p.request, Limits{Bound: f.lender.takeover.Bound}); answered {
				f.packets = append(f.packets, fleetPacket{at: f.now + time.Duration(1+f.random.IntN(4))*time.Millisecond, node: p.node, answer: answer})
			}
		case !p.node.dead:
			p.node.Answer(clock, p.answer)
			f.retry(p.node, clock)
		}
	}
}

func (f *fleet) shareRefused(from int) float64 {
	requests, refused := 0, 0
	for i := from; i < len(f.requests); i++ {
		requests += f.requests[i]
		refused += f.refused[i]
	}
	return float64(refused) / float64(requests)
}

// Guards against refusals of tenants that stay below their limits: units must be where the demand is, also after the loss of half the
// nodes, and exchanges must be few.
func TestTenantsBelowTheirLimitsAreServed(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(seed, 85, 85, 1826)
		f.run(20 * time.Second)
		steady, exchanges, reports := f.shareRefused(0), f.exchanges, f.reports
		t.Logf("seed %d: %.4f refused, %.1f exchanges and %.1f reports a second for each node, small tenants: %.4f refused", seed, steady,
			float64(exchanges)/85/20, float64(reports)/85/20, float64(f.small[1])/float64(f.small[0]))
		if steady > 0.005 {
			t.Errorf("seed %d: %.4f of the requests refused", seed, steady)
		}
		for i := range f.nodes {
			f.nodes[i].dead = i%2 == 0
		}
		f.run(12 * time.Second)
		for i := range 12 {
			if share := float64(f.refused[20+i]) / float64(f.requests[20+i]); share > 0.05 {
				t.Errorf("seed %d: %.4f refused in second %d after the loss of half the nodes", seed, share, i)
			}
		}
		t.Logf("seed %d: %.4f refused in the 12 s after the loss of half the nodes, %v in each second", seed, f.shareRefused(20), f.refused[20:])
	}
}

// Guards against a tenant over its limit that takes units or processor time from others, whose requests wait although its limit is
// used up, or that is not served up to its limit.
func TestTenantOverItsLimitIsRefusedAtOnce(t *testing.T) {
	const seconds = 6
	for seed := range uint64(3) {
		f := newFleet(seed, 85, 85, 1826)
		f.run(10 * time.Second)
		waited, exchanges := f.waited, f.exchanges
		f.requests, f.refused, f.first = nil, nil, [2]int{}
		f.tenants[0].rate *= 7.5
		f.run(seconds * time.Second)
		f.tenants[0].rate /= 7.5
		hot, served := f.first[0], f.first[0]-f.first[1]
		othersRefused := 1 - f.shareServed()
		atLimit := float64(f.tenants[0].bound) * (seconds / f.settings.Window.Seconds())
		t.Logf("seed %d: %d of %d requests over %d s served, %.2f of the bound, %d waited; others: %.4f refused; %.1f exchanges a second for each node",
			seed, served, hot, seconds, float64(served)/atLimit, f.waited-waited, othersRefused, float64(f.exchanges-exchanges)/85/seconds)
		if float64(served) < 0.85*atLimit || othersRefused > 0.005 || f.waited-waited > hot/10 {
			t.Errorf("seed %d: served too few, too many others refused, or too many waited", seed)
		}
		f.requests, f.refused = nil, nil
		f.run(12 * time.Second)
		t.Logf("seed %d: refused in each second after it: %v", seed, f.refused)
		for i, n := range f.refused[6:] {
			if float64(n) > 0.01*float64(f.requests[6+i]) {
				t.Errorf("seed %d: %d refused in second %d after the end", seed, n, 6+i)
			}
		}
	}
}

// shareServed returns the share of the requests of all tenants but the first that were served.
func (f *fleet) shareServed() float64 {
	requests, refused := 0, 0
	for i := range f.requests {
		requests += f.requests[i]
		refused += f.refused[i]
	}
	return 1 - float64(refused-f.first[1])/float64(requests-f.first[0])
}
