package nodepeer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// previewingBackend refuses calls in its previews only.
type previewingBackend struct {
	*countingBackend
	refusal *core.Refusal
}

func (b previewingBackend) Preview(*core.Call) (core.Load, *core.Refusal) {
	return core.Load{Limit: 1, RouteServiceTime: 100 * time.Millisecond}, b.refusal
}

// Guards against a body that crosses the link for a call that is refused anyway, and against credit that such a call keeps.
func TestBodyOfARefusedCallIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newPacedPair(t, 1, 1_000_000)
		var bodies atomic.Int64
		pair.network.actionFor = func(_ int, _ bool, seen frame.Type) frameAction {
			if seen == typeBody {
				bodies.Add(1)
			}
			return pass
		}
		pair.server.options.Backend = previewingBackend{countingBackend: pair.backend, refusal: newRefusal(core.CauseDeadline)}
		for range 20 {
			_, outcome, err := pair.call(callFor("refused", longBody("abc")))
			c.Assert(outcome, qt.Equals, core.OutcomeNotRun, qt.Commentf("%v", err))
		}
		c.Assert(bodies.Load(), qt.Equals, int64(0))
		pair.server.options.Backend = previewingBackend{countingBackend: pair.backend}
		answer, outcome, _ := pair.call(callFor("served", longBody("abc")))
		c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
		c.Assert(answer.Body.Close(), qt.IsNil)
		c.Assert(pair.server.bodies.Waiting(), qt.Equals, 0)
	})
}

func newRefusal(cause core.RefusalCause) *core.Refusal {
	return &core.Refusal{
		Cause: cause,
	}
}

// Guards against bodies that exceed the credit together, and against calls that wait for credit for ever after others were cancelled.
func TestBodiesShareTheCreditOfALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newPacedPair(t, 1, 1_000_000)
		var callers sync.WaitGroup
		answered := atomic.Int64{}
		for i := range 30 {
			callers.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i%3 == 0 {
					time.AfterFunc(time.Duration(i)*time.Millisecond, cancel)
				}
				answer, outcome, _ := pair.dialer.Forward(ctx, core.Endpoint{Node: "b", Address: "b"}, callFor("many", longBody("abc")))
				if outcome == core.OutcomeAnswered {
					body, err := io.ReadAll(answer.Body)
					if err == nil && len(body) == len(longBody("abc")) {
						answered.Add(1)
					}
					_ = answer.Body.Close()
				}
			})
		}
		callers.Wait()
		c.Assert(answered.Load() >= 20, qt.IsTrue, qt.Commentf("%d of 20 calls answered", answered.Load()))
		c.Assert(pair.server.bodies.Waiting(), qt.Equals, 0)
	})
}
