package limiter

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"parsleyport/core"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// earlierRules decide as the limiter did before tenants shared by weight. They hold for one tenant only.
type earlierRules struct{ *Limiter }

func (l earlierRules) onTime(now time.Time, waiting []entry) (n int) {
	for _, e := range waiting {
		if l.meetsSoftDeadline(now, e.request) {
			n++
		}
	}
	return n
}

func (l earlierRules) nextPosition(now time.Time, waiting []entry) int {
	best, lifo := 0, float64(l.onTime(now, waiting)) > lifoQueueRatio*float64(l.Limit())
	for i := 1; i < len(waiting) && l.options.SoftDeadlineFirst; i++ {
		if l.servedBefore(now, lifo, waiting[i], waiting[best]) {
			best = i
		}
	}
	return best
}

func (l earlierRules) mustShedOnArrival(now time.Time, waiting []entry, added entry) bool {
	onTime := float64(l.onTime(now, waiting))
	if onTime > saturatedQueueRatio*float64(l.Limit()) && l.yieldsToOnTimeCalls(now, added.request) {
		return true
	}
	var ahead backlog
	for _, e := range waiting {
		if l.servedBefore(now, onTime > lifoQueueRatio*float64(l.Limit()), e, added) {
			ahead.calls++
		}
	}
	return l.startsTooLate(now, nil, added.request, ahead)
}

func (l earlierRules) collectUnservable(now time.Time, waiting []entry) map[Ticket]bool {
	onTime, sorted := float64(l.onTime(now, waiting)), slices.Clone(waiting)
	slices.SortFunc(sorted, func(a, b entry) int {
		return order(l.servedBefore(now, onTime > lifoQueueRatio*float64(l.Limit()), a, b))
	})
	unservable, ahead := make(map[Ticket]bool), backlog{}
	for _, e := range sorted {
		if onTime > saturatedQueueRatio*float64(l.Limit()) && l.yieldsToOnTimeCalls(now, e.request) || l.startsTooLate(now, nil, e.request, ahead) {
			unservable[e.ticket] = true
		} else {
			ahead.calls++
		}
	}
	return unservable
}

// Guards against another order of calls, or other refusals, in deployments without tenants.
func TestOneTenantIsServedAsBefore(t *testing.T) {
	decisions, shed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		l := NewWithOptions(rapid.IntRange(1, 4).Draw(t, "slots"), Options{
			TrustSlots:        true,
			SoftDeadlineFirst: rapid.IntRange(0, 3).Draw(t, "soft") > 0,
			ShortClassesFirst: true,
		})
		before, now := earlierRules{l}, began
		var running []Ticket
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			var waiting []entry
			if only := l.tenants["a"]; only != nil {
				waiting = slices.Clone(only.waiting)
			}
			if len(waiting) > 0 {
				_, position := l.next(now)
				if want := before.nextPosition(now, waiting); position != want {
					t.Fatalf("position %d is next, it was %d", position, want)
				}
				decisions++
			}
			if rapid.IntRange(0, 2).Draw(t, "arrive") > 0 {
				class := rapid.IntRange(0, 2).Draw(t, "class")
				request := Request{
					Tenant:       "a",
					Class:        core.RouteName(fmt.Sprint(class)),
					Priority:     core.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					SoftDeadline: now.Add(time.Duration(rapid.IntRange(-50, 400).Draw(t, "soft left")) * time.Millisecond),
					Deadline:     now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "left")) * time.Millisecond),
				}
				added := entry{ticket: l.lastTicket + 1, request: request}
				if l.options.SoftDeadlineFirst && l.mustShedOnArrival(now, added) != before.mustShedOnArrival(now, waiting, added) {
					t.Fatalf("refused on arrival: %v", l.mustShedOnArrival(now, added))
				}
				full := slices.Clone(waiting)
				_, change := l.Arrive(now, request)
				running = append(running, change.Start...)
				if len(change.Shed) > 0 && change.Shed[0].Cause == core.CauseQueueFull {
					only := tenant{waiting: full}
					only.insert(added)
					if last := only.waiting[len(only.waiting)-1].ticket; change.Shed[0].Ticket != last {
						t.Fatalf("ticket %d was shed from the full queue, not the last one %d", change.Shed[0].Ticket, last)
					}
					shed++
				}
				continue
			}
			if got, want := l.collectUnservable(now), before.collectUnservable(now, waiting); got != nil && !maps.Equal(got, want) {
				t.Fatalf("unservable: %v, before %v", got, want)
			}
			if len(running) > 0 {
				class := l.running[running[0]].class
				change := l.Finish(now, running[0], Result{Latency: map[core.RouteName]time.Duration{"0": 20, "1": 90, "2": 150}[class] * time.Millisecond})
				running = append(running[1:], change.Start...)
			}
		}
	})
	t.Logf("%d decisions, %d sheds of a full queue", decisions, shed)
}

// serve runs a minute of calls of many tenants at six slots, 150 ms each, and returns the calls that were started by tenant.
func serve(rates map[core.TenantID]float64, request func(core.TenantID) Request) (arrived, started map[core.TenantID]int) {
	random := rand.New(rand.NewPCG(1, 2))
	l := NewWithOptions(6, Options{TrustSlots: true, SoftDeadlineFirst: true, ShortClassesFirst: true})
	arrived, started = make(map[core.TenantID]int), make(map[core.TenantID]int)
	owners, ends := make(map[Ticket]core.TenantID), make(map[Ticket]time.Time)
	names := slices.Sorted(maps.Keys(rates))
	for now := began; now.Before(began.Add(time.Minute)); now = now.Add(time.Millisecond) {
		begin := func(change Change) {
			for _, ticket := range change.Start {
				started[owners[ticket]]++
				ends[ticket] = now.Add(150 * time.Millisecond)
			}
		}
		for _, ticket := range slices.Sorted(maps.Keys(ends)) {
			if !now.Before(ends[ticket]) {
				delete(ends, ticket)
				begin(l.Finish(now, ticket, Result{Latency: 150 * time.Millisecond}))
			}
		}
		for _, name := range names {
			if random.Float64()*1000 < rates[name] {
				r := request(name)
				r.Tenant, r.SoftDeadline, r.Deadline = name, now.Add(500*time.Millisecond), now.Add(2*time.Second)
				owners[l.lastTicket+1] = name
				arrived[name]++
				_, change := l.Arrive(now, r)
				begin(change)
			}
		}
		if now.Sub(began)%(10*time.Millisecond) == 0 {
			begin(l.Expire(now))
		}
	}
	return arrived, started
}

// Guards against a tenant far above its usual rate that takes the slots of the others, and against its own starvation. The slots run
// 40 calls a second; 40 tenants send 30 and the busy one 45.
func TestBurstOfOneTenantLeavesTheOthersServed(t *testing.T) {
	c := qt.New(t)
	rates := map[core.TenantID]float64{"busy": 45}
	for i := range 40 {
		rates[core.TenantID(fmt.Sprintf("t%d", i))] = 0.75
	}
	arrived, started := serve(rates, func(core.TenantID) Request { return Request{} })
	others, otherStarts := 0, 0
	for name := range rates {
		if name != "busy" {
			others += arrived[name]
			otherStarts += started[name]
		}
	}
	t.Logf("busy: %d of %d, others: %d of %d", started["busy"], arrived["busy"], otherStarts, others)
	c.Assert(otherStarts*100 >= others*97, qt.IsTrue, qt.Commentf("%d of %d calls of the others were served", otherStarts, others))
	share := float64(started["busy"]) / float64(arrived["busy"])
	all := float64(otherStarts+started["busy"]) / float64(others+arrived["busy"])
	c.Assert(share >= all/4, qt.IsTrue, qt.Commentf("busy %.2f, all %.2f", share, all))
}

// Guards against priorities that count for nothing among tenants: before, the tenant with the fewest running calls came first.
func TestPriorityComesBeforeShares(t *testing.T) {
	c := qt.New(t)
	rates := map[core.TenantID]float64{"high": 20, "low1": 15, "low2": 15, "low3": 15, "low4": 15}
	arrived, started := serve(rates, func(name core.TenantID) Request {
		return Request{Priority: map[bool]core.Priority{true: 5, false: 1}[name == "high"]}
	})
	c.Assert(started["high"]*100 >= arrived["high"]*99, qt.IsTrue, qt.Commentf("%d of %d", started["high"], arrived["high"]))
}

// Guards against weights that are ignored: of two tenants that send more than fits, one has three times the weight of the other.
func TestWeightsDivideTheSlots(t *testing.T) {
	c := qt.New(t)
	_, started := serve(map[core.TenantID]float64{"a": 80, "b": 80}, func(name core.TenantID) Request {
		return Request{Weight: map[core.TenantID]float64{"a": 3, "b": 1}[name]}
	})
	ratio := float64(started["a"]) / float64(started["b"])
	c.Assert(ratio > 1.8 && ratio < 3.5, qt.IsTrue, qt.Commentf("%v", started))
}

// Guards against a short call of running work that waits for its turn among the tenants while runs hold slots for it.
func TestShortClassesComeBeforeShares(t *testing.T) {
	c := qt.New(t)
	l := NewWithOptions(1, Options{TrustSlots: true, SoftDeadlineFirst: true, ShortClassesFirst: true})
	now := began
	arrive := func(name core.TenantID, class core.RouteName) (Ticket, Change) {
		return l.Arrive(now, Request{Tenant: name, Class: class, SoftDeadline: now.Add(5 * time.Second), Deadline: now.Add(10 * time.Second)})
	}
	for class, latency := range map[core.RouteName]time.Duration{"long": 160, "short": 30} {
		for range minClassSamples {
			ticket, _ := arrive("service", class)
			now = now.Add(time.Second)
			l.Finish(now, ticket, Result{Latency: latency * time.Millisecond})
		}
	}
	running, _ := arrive("service", "short")
	arrive("a", "long")
	short, _ := arrive("service", "short")
	c.Assert(l.Finish(now, running, Result{Failed: true}).Start, qt.DeepEquals, []Ticket{short})
}

// Guards against a full queue that loses calls of a high priority because their tenant has the longest queue.
func TestFullQueueShedsTheLowestPriority(t *testing.T) {
	c := qt.New(t)
	l := New(1)
	arrive := func(name core.TenantID, priority core.Priority) (Ticket, Change) {
		return l.Arrive(began, Request{Tenant: name, Priority: priority, Deadline: began.Add(time.Minute)})
	}
	arrive("a", 9)
	for range 15 {
		arrive("a", 9)
	}
	arrive("b", 1)
	arrive("c", 1)
	last, _ := arrive("b", 1)
	for range 2 {
		arrive("a", 9)
	}
	_, change := arrive("a", 9)
	c.Assert(change.Shed, qt.DeepEquals, []Shed{{Ticket: last, Cause: core.CauseTenantShare}})
}

// Guards against an event that costs more the more tenants were ever seen.
func TestIdleTenantsAreForgotten(t *testing.T) {
	c := qt.New(t)
	l := New(1)
	for i := range 4096 {
		ticket, _ := l.Arrive(began, Request{Tenant: core.TenantID(fmt.Sprint(i)), Deadline: began.Add(time.Minute)})
		l.Finish(began, ticket, Result{Latency: time.Millisecond})
	}
	c.Assert(l.tenants, qt.HasLen, 0)
}

func BenchmarkArriveAndFinish(b *testing.B) {
	for _, test := range []struct {
		waiting int
		learn   bool
	}{{0, false}, {24, false}, {0, true}, {24, true}} {
		waiting := test.waiting
		b.Run(fmt.Sprintf("%d waiting, learned %t", waiting, test.learn), func(b *testing.B) {
			l := NewWithOptions(6, Options{TrustSlots: true, SoftDeadlineFirst: true, ShortClassesFirst: true, LearnCosts: test.learn})
			var running []Ticket
			for i := 0; b.Loop(); i++ {
				_, change := l.Arrive(began, Request{Tenant: "a", SoftDeadline: began.Add(time.Hour), Deadline: began.Add(time.Hour)})
				running = append(running, change.Start...)
				if i >= waiting {
					change = l.Finish(began, running[0], Result{Latency: time.Microsecond})
					running = append(running[1:], change.Start...)
				}
				l.Load(began, "")
			}
		})
	}
}
