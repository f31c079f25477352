package limiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"parsleyport/core"
	"parsleyport/core/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(tenant core.TenantID, priority core.Priority, left time.Duration) limiter.Request {
	return limiter.Request{
		Tenant:   tenant,
		Priority: priority,
		Deadline: start.Add(left),
	}
}

// Guards against a burst of one tenant for which the calls of another tenant have to wait.
func TestTenantsShareTheSlots(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(2)
	var started []limiter.Ticket
	for range 10 {
		ticket, change := l.Arrive(start, request("busy", 0, time.Second))
		if len(change.Start) > 0 {
			started = append(started, ticket)
		}
	}
	c.Assert(started, qt.HasLen, 2)
	quiet, change := l.Arrive(start, request("quiet", 0, time.Second))
	c.Assert(change.Start, qt.HasLen, 0)
	change = l.Finish(start, started[0], limiter.Result{Latency: time.Millisecond})
	c.Assert(change.Start, qt.DeepEquals, []limiter.Ticket{quiet})
}

// Guards against a queue full of one tenant's calls in which the calls of another tenant are refused.
func TestFullQueueShedsFromTheLongestTenantQueue(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(1)
	for range 21 {
		_, change := l.Arrive(start, request("busy", 0, time.Second))
		c.Assert(change.Shed, qt.HasLen, 0)
	}
	quiet, change := l.Arrive(start, request("quiet", 0, time.Second))
	c.Assert(change.Shed, qt.HasLen, 1)
	c.Assert(change.Shed[0].Ticket, qt.Not(qt.Equals), quiet)
	c.Assert(change.Shed[0].Cause, qt.Equals, core.CauseTenantShare)
}

// Guards against high priorities that wait behind low ones, and against late deadlines before early ones.
func TestOrderIsPriorityThenDeadline(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(1)
	running, _ := l.Arrive(start, request("a", 0, time.Second))
	late, _ := l.Arrive(start, request("a", 1, 900*time.Millisecond))
	early, _ := l.Arrive(start, request("a", 1, 500*time.Millisecond))
	important, _ := l.Arrive(start, request("a", 5, time.Second))
	for _, want := range []limiter.Ticket{important, early, late} {
		change := l.Finish(start, running, limiter.Result{Latency: time.Millisecond})
		c.Assert(change.Start, qt.DeepEquals, []limiter.Ticket{want})
		running = want
	}
}

// Guards against running calls whose callers have given up, and against shedding a call that could still be served in time.
func TestOnlyCallsThatMissTheirDeadlineAreShed(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(1)
	running, _ := l.Arrive(start, request("a", 0, time.Second))
	l.Finish(start, running, limiter.Result{Latency: 10 * time.Millisecond})

	running, _ = l.Arrive(start, request("a", 0, time.Second))
	waiting, change := l.Arrive(start, request("a", 0, 50*time.Millisecond))
	c.Assert(change.Shed, qt.HasLen, 0)
	c.Assert(l.Expire(start.Add(39*time.Millisecond)).Shed, qt.HasLen, 0)
	c.Assert(l.Expire(start.Add(41*time.Millisecond)).Shed, qt.DeepEquals, []limiter.Shed{{Ticket: waiting, Cause: core.CauseDeadline}})
	c.Assert(l.Running(), qt.Equals, 1)
	c.Assert(l.Cancel(running), qt.IsFalse)
}

// Guards against a limit that stays high while the backend server sheds calls, or that never recovers.
func TestLimitFollowsOverload(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(10)
	now := start
	cycle := func(overloaded bool) {
		ticket, _ := l.Arrive(now, limiter.Request{Tenant: "a", Deadline: now.Add(time.Second)})
		now = now.Add(time.Second)
		l.Finish(now, ticket, limiter.Result{Latency: time.Millisecond, Overloaded: overloaded})
	}
	for range 20 {
		cycle(true)
	}
	c.Assert(l.Limit(), qt.Equals, 1)
	for range 200 {
		var tickets []limiter.Ticket
		for range 10 {
			ticket, change := l.Arrive(now, limiter.Request{Tenant: "a", Deadline: now.Add(time.Minute)})
			_ = ticket
			tickets = append(tickets, change.Start...)
		}
		for len(tickets) > 0 {
			change := l.Finish(now, tickets[0], limiter.Result{Latency: time.Millisecond})
			tickets = append(tickets[1:], change.Start...)
		}
	}
	c.Assert(l.Limit(), qt.Equals, 10)
}

// Guards against a backend server with fewer slots than announced that keeps shedding calls, and against a limit that collapses
// because calls are shed for another reason than concurrency.
func TestLimitFallsAtOnceToServedConcurrency(t *testing.T) {
	c := qt.New(t)
	run := func(shed func(running, n int) bool) (limit, sheds int) {
		l := limiter.New(20)
		now := start
		var running []limiter.Ticket
		for n := range 2000 {
			now = now.Add(time.Millisecond)
			_, change := l.Arrive(now, limiter.Request{Deadline: now.Add(time.Minute)})
			starts := change.Start
			if n%3 == 0 && len(running) > 0 {
				starts = append(starts, l.Finish(now, running[0], limiter.Result{Latency: 10 * time.Millisecond}).Start...)
				running = running[1:]
			}
			for ; len(starts) > 0; starts = starts[1:] {
				if !shed(len(running)+1, n) {
					running = append(running, starts[0])
					continue
				}
				sheds++
				starts = append(starts, l.Finish(now, starts[0], limiter.Result{Overloaded: true}).Start...)
			}
		}
		return l.Limit(), sheds
	}
	limit, sheds := run(func(running, _ int) bool { return running > 5 })
	c.Assert(limit, qt.Equals, 5)
	c.Assert(sheds <= 3, qt.IsTrue, qt.Commentf("%d calls were shed", sheds))
	limit, _ = run(func(_, n int) bool { return n%100 == 0 })
	c.Assert(limit >= 15, qt.IsTrue, qt.Commentf("limit %d", limit))
}

// Guards against hedges that wait in the queues of a busy service and delay first attempts.
func TestNoWaitStartsAtOnceOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(2)
	hedge := request("a", 9, time.Second)
	hedge.NoWait = true
	_, change := l.Arrive(start, hedge)
	c.Assert(change.Start, qt.HasLen, 1)
	l.Arrive(start, request("a", 0, time.Second))
	_, change = l.Arrive(start, hedge)
	c.Assert(change.Shed, qt.HasLen, 1)
	c.Assert(change.Shed[0].Cause, qt.Equals, core.CauseQueueFull)
	c.Assert(l.Waiting(), qt.Equals, 0)
}

// Guards against a call that is lost in the limiter, started twice, or started beyond the slots.
func TestEachCallEndsExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		l := limiter.New(slots)
		now := start
		arrived := make(map[limiter.Ticket]bool)
		ended := make(map[limiter.Ticket]bool)
		var running []limiter.Ticket
		end := func(ticket limiter.Ticket) {
			if !arrived[ticket] || ended[ticket] {
				t.Fatalf("ticket %d ended twice or before it arrived", ticket)
			}
			ended[ticket] = true
		}
		apply := func(change limiter.Change) {
			running = append(running, change.Start...)
			for _, shed := range change.Shed {
				end(shed.Ticket)
			}
			if len(change.Start) > 0 && l.Running() > slots || l.Running() != len(running) {
				t.Fatalf("%d calls run, %d were started, %d slots", l.Running(), len(running), slots)
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch {
			case rapid.Bool().Draw(t, "arrive"):
				ticket, change := l.Arrive(now, limiter.Request{
					Tenant:   core.TenantID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")),
					Priority: core.Priority(rapid.IntRange(0, 9).Draw(t, "priority")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "left")) * time.Millisecond),
					NoWait:   rapid.IntRange(0, 9).Draw(t, "no wait") == 0,
				})
				arrived[ticket] = true
				apply(change)
			case rapid.IntRange(0, 9).Draw(t, "cancel") == 0:
				if ticket := limiter.Ticket(rapid.IntRange(1, 100).Draw(t, "ticket")); l.Cancel(ticket) {
					end(ticket)
				}
			case rapid.IntRange(0, 19).Draw(t, "resize") == 0:
				slots = rapid.IntRange(1, 6).Draw(t, "resized")
				apply(l.Resize(now, slots))
			case len(running) > 0:
				ticket := running[0]
				running = running[1:]
				end(ticket)
				apply(l.Finish(now, ticket, limiter.Result{Latency: 5 * time.Millisecond, Overloaded: rapid.Bool().Draw(t, "overloaded")}))
			default:
				apply(l.Expire(now))
			}
		}
		if len(arrived) != len(ended)+len(running)+l.Waiting() {
			t.Fatalf("%d arrived, %d ended, %d run, %d wait", len(arrived), len(ended), len(running), l.Waiting())
		}
	})
}
