package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/backendhttp"
)

// Guards against a call that waits beyond its deadline because nothing wakes the queue, and against a call that is refused although
// it may start.
func TestWaitingCallsStartOrExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a, stop := newAdmission(admissionOptions{})
		defer stop()
		a.SetSlots(1)
		call := func(left time.Duration) *core.Call {
			return &core.Call{
				Tenant:   "t",
				Deadline: time.Now().Add(left),
			}
		}
		release, refusal := a.Acquire(context.Background(), call(time.Minute))
		c.Assert(refusal == nil, qt.IsTrue)

		began := time.Now()
		_, refusal = a.Acquire(context.Background(), call(time.Second))
		c.Assert(refusal.Cause, qt.Equals, core.CauseDeadline)
		c.Assert(time.Since(began) < time.Second+2*expireInterval, qt.IsTrue)

		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		_, refusal = a.Acquire(ctx, call(time.Minute))
		c.Assert(refusal.Cause, qt.Equals, core.CauseRevoked)

		time.AfterFunc(time.Second, func() { release(backendhttp.ResultServed) })
		second, refusal := a.Acquire(context.Background(), call(time.Minute))
		c.Assert(refusal == nil, qt.IsTrue)
		second(backendhttp.ResultServed)
	})
}
