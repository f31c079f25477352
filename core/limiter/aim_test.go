package limiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/limiter"
)

// overload replays calls of an average of 200 ms at 9 slots for a minute, 60 a second, of which 45 a second fit. Each call is of
// full use within 600 ms and of some use within 4 s. It returns the parts that were answered in time and late.
func overload(options limiter.Options) (inTime, late float64) {
	type run struct {
		ticket limiter.Ticket
		ends   time.Time
		began  time.Time
	}
	random := rand.New(rand.NewPCG(1, 1))
	l := limiter.NewWith(9, options)
	aims, deadlines := map[limiter.Ticket]time.Time{}, map[limiter.Ticket]time.Time{}
	var running []run
	calls, good, slow := 0, 0, 0
	now := start
	follow := func(change limiter.Change) {
		for _, ticket := range change.Start {
			work := time.Duration(float64(200*time.Millisecond) * (0.4 + 1.2*random.Float64()))
			running = append(running, run{ticket: ticket, began: now, ends: now.Add(work)})
		}
	}
	for ; now.Before(start.Add(time.Minute)); now = now.Add(time.Millisecond) {
		for i := 0; i < len(running); i++ {
			r := running[i]
			if now.Before(r.ends) {
				continue
			}
			running = append(running[:i], running[i+1:]...)
			i--
			switch {
			case !now.After(aims[r.ticket]):
				good++
			case !now.After(deadlines[r.ticket]):
				slow++
			}
			follow(l.Finish(now, r.ticket, limiter.Result{Latency: now.Sub(r.began)}))
		}
		if random.Float64() < 0.060 {
			calls++
			aim, deadline := now.Add(600*time.Millisecond), now.Add(4*time.Second)
			ticket, change := l.Arrive(now, limiter.Request{Tenant: "a", Class: "r", Aim: aim, Deadline: deadline})
			aims[ticket], deadlines[ticket] = aim, deadline
			follow(change)
		}
		if now.Sub(start)%(25*time.Millisecond) == 0 {
			follow(l.Expire(now))
		}
	}
	return float64(good) / float64(calls), float64(slow) / float64(calls)
}

// Guards against an overload in which every call is answered, but too late to be of full use. 75% of the calls fit.
func TestOverloadLeavesCallsInTime(t *testing.T) {
	c := qt.New(t)
	arrival, _ := overload(limiter.Options{TrustSlots: true})
	aim, late := overload(limiter.Options{TrustSlots: true, AimFirst: true})
	t.Logf("in time: %.2f by deadline, %.2f by aim (%.2f late)", arrival, aim, late)
	c.Assert(aim >= 0.65, qt.IsTrue, qt.Commentf("%.2f in time", aim))
	c.Assert(arrival < 0.3, qt.IsTrue, qt.Commentf("%.2f in time by deadline: the load does not show the fault", arrival))
}

// Guards against a call that is held until its deadline although the calls ahead of it leave it no time.
func TestCallsWithoutTimeAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	l := limiter.NewWith(1, limiter.Options{TrustSlots: true, AimFirst: true})
	first, _ := l.Arrive(start, limiter.Request{Class: "r", Deadline: start.Add(time.Minute)})
	l.Finish(start, first, limiter.Result{Latency: time.Second})
	l.Arrive(start, limiter.Request{Class: "r", Deadline: start.Add(time.Minute)})
	for range 3 {
		_, change := l.Arrive(start, limiter.Request{Class: "r", Deadline: start.Add(10 * time.Second)})
		c.Assert(change.Shed, qt.HasLen, 0)
	}
	_, change := l.Arrive(start, limiter.Request{Class: "r", Deadline: start.Add(4 * time.Second)})
	c.Assert(change.Shed, qt.HasLen, 0)
	_, change = l.Arrive(start, limiter.Request{Class: "r", Deadline: start.Add(11 * time.Second)})
	c.Assert(change.Shed, qt.HasLen, 0)
	_, change = l.Arrive(start, limiter.Request{Class: "r", Deadline: start.Add(1200 * time.Millisecond)})
	c.Assert(change.Shed, qt.HasLen, 1)
	c.Assert(change.Shed[0].Cause, qt.Equals, core.CauseDeadline)
}

// Guards against a backend server with a fault that is taken for one without room.
func TestShedCallsDoNotLowerTrustedSlots(t *testing.T) {
	c := qt.New(t)
	l := limiter.NewWith(4, limiter.Options{TrustSlots: true})
	for range 50 {
		ticket, _ := l.Arrive(start, limiter.Request{Deadline: start.Add(time.Minute)})
		l.Finish(start, ticket, limiter.Result{Overloaded: true})
	}
	c.Assert(l.Limit(), qt.Equals, 4)
}

// Guards against a call that waits for a slot for so long that the node at which its caller waits stops before it is answered.
func TestCallsAreRefusedAfterTheirStartLimit(t *testing.T) {
	c := qt.New(t)
	l := limiter.NewWith(1, limiter.Options{TrustSlots: true, AimFirst: true})
	l.Arrive(start, limiter.Request{Deadline: start.Add(time.Minute)})
	ticket, change := l.Arrive(start, limiter.Request{Deadline: start.Add(time.Minute), StartBy: start.Add(time.Second)})
	c.Assert(change.Shed, qt.HasLen, 0)
	c.Assert(l.Expire(start.Add(time.Second)).Shed, qt.HasLen, 0)
	c.Assert(l.Expire(start.Add(1100*time.Millisecond)).Shed, qt.DeepEquals, []limiter.Shed{{Ticket: ticket, Cause: core.CauseDeadline}})
}
