package limiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/limiter"
)

// simulateOverload runs one minute of 60 calls a second, of which 45 a second fit: 9 slots, 200 ms on average per call. Each call
// has a soft deadline of 600 ms and a deadline of 4 s. It returns the ratios of calls answered on time and late.
func simulateOverload(options limiter.Options) (onTime, late float64) {
	type run struct {
		ticket limiter.Ticket
		ends   time.Time
		began  time.Time
	}
	random := rand.New(rand.NewPCG(1, 1))
	l := limiter.NewWithOptions(9, options)
	softDeadlines, deadlines := map[limiter.Ticket]time.Time{}, map[limiter.Ticket]time.Time{}
	var running []run
	calls, onTimeCalls, lateCalls := 0, 0, 0
	now := start
	startCalls := func(change limiter.Change) {
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
			case !now.After(softDeadlines[r.ticket]):
				onTimeCalls++
			case !now.After(deadlines[r.ticket]):
				lateCalls++
			}
			startCalls(l.Finish(now, r.ticket, limiter.Result{Latency: now.Sub(r.began)}))
		}
		if random.Float64() < 0.060 {
			calls++
			softDeadline, deadline := now.Add(600*time.Millisecond), now.Add(4*time.Second)
			ticket, change := l.Arrive(now, limiter.Request{Tenant: "a", Class: "r", SoftDeadline: softDeadline, Deadline: deadline})
			softDeadlines[ticket], deadlines[ticket] = softDeadline, deadline
			startCalls(change)
		}
		if now.Sub(start)%(25*time.Millisecond) == 0 {
			startCalls(l.Expire(now))
		}
	}
	return float64(onTimeCalls) / float64(calls), float64(lateCalls) / float64(calls)
}

// Guards against an overload in which every call is answered, but after its soft deadline. 75% of the calls fit.
func TestOverloadKeepsCallsWithinSoftDeadline(t *testing.T) {
	c := qt.New(t)
	byDeadline, _ := simulateOverload(limiter.Options{TrustSlots: true})
	bySoftDeadline, late := simulateOverload(limiter.Options{TrustSlots: true, SoftDeadlineFirst: true})
	t.Logf("on time: %.2f in order of deadlines, %.2f in order of soft deadlines (%.2f late)", byDeadline, bySoftDeadline, late)
	c.Assert(bySoftDeadline >= 0.65, qt.IsTrue, qt.Commentf("%.2f on time", bySoftDeadline))
	c.Assert(byDeadline < 0.3, qt.IsTrue, qt.Commentf("%.2f on time in order of deadlines: the load does not reproduce the overload", byDeadline))
}

// Guards against a call that is held until its deadline although the calls ahead of it leave it too little time.
func TestCallsThatWouldMissTheirDeadlineAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	l := limiter.NewWithOptions(1, limiter.Options{TrustSlots: true, SoftDeadlineFirst: true})
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

// Guards against a faulty backend server that is mistaken for an overloaded one.
func TestShedCallsDoNotLowerTrustedSlots(t *testing.T) {
	c := qt.New(t)
	l := limiter.NewWithOptions(4, limiter.Options{TrustSlots: true})
	for range 50 {
		ticket, _ := l.Arrive(start, limiter.Request{Deadline: start.Add(time.Minute)})
		l.Finish(start, ticket, limiter.Result{Overloaded: true})
	}
	c.Assert(l.Limit(), qt.Equals, 4)
}

// Guards against a call that waits so long for a slot that its entry node stops before the answer arrives.
func TestCallsAreRefusedAfterTheirStartLimit(t *testing.T) {
	c := qt.New(t)
	l := limiter.NewWithOptions(1, limiter.Options{TrustSlots: true, SoftDeadlineFirst: true})
	l.Arrive(start, limiter.Request{Deadline: start.Add(time.Minute)})
	ticket, change := l.Arrive(start, limiter.Request{Deadline: start.Add(time.Minute), StartBy: start.Add(time.Second)})
	c.Assert(change.Shed, qt.HasLen, 0)
	c.Assert(l.Expire(start.Add(time.Second)).Shed, qt.HasLen, 0)
	c.Assert(l.Expire(start.Add(1100*time.Millisecond)).Shed, qt.DeepEquals, []limiter.Shed{{Ticket: ticket, Cause: core.CauseDeadline}})
}
