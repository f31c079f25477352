package nodepeer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

// Guards against a node that passes an invalid status on to its caller because another node sent it.
func TestOddStatusFromANodeIsAFailure(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 199, 200, 599, 600, 999, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pair := newTestPair(t, 1)
				odd := true
				pair.backend.handle = func(context.Context, *core.Call) (*core.Answer, core.Outcome, error) {
					answer := answerWith([]byte("x"))
					if odd {
						answer.Status = status
					}
					return answer, core.OutcomeAnswered, nil
				}
				answer, outcome, err := pair.call(callFor("x", nil))
				if status >= 200 && status <= 599 {
					c.Assert(err, qt.IsNil)
					c.Assert(answer.Status, qt.Equals, status)
					c.Assert(answer.Body.Close(), qt.IsNil)
					return
				}
				c.Assert(outcome, qt.Equals, core.OutcomeUnknown)
				c.Assert(err, qt.IsNotNil)
				odd = false
				answer, _, err = pair.call(callFor("y", nil))
				c.Assert(err, qt.IsNil)
				c.Assert(answer.Body.Close(), qt.IsNil)
				pair.network.mu.Lock()
				c.Assert(pair.network.dials, qt.Equals, 2) // the connection was closed
				pair.network.mu.Unlock()
			})
		})
	}
}

// Guards against a recorded answer of another node whose status no caller may get.
func TestOddStatusOfARecordedAnswerIsUnknown(t *testing.T) {
	for status, want := range map[int]idempotency.Verdict{0: idempotency.VerdictUnknown, 199: idempotency.VerdictUnknown, 200: idempotency.VerdictAnswered, 600: idempotency.VerdictUnknown} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pair := newTestPair(t, 1)
				pair.server.SetAnnounced("orders", true)
				claims := newTestClaims(t, pair, fixedEndpoints{{Node: "b", Address: "b", Service: "orders", State: core.EndpointReady}})
				call := keyedCall(1)
				message := keyMessage{Key: idempotency.KeyOf(call), Owner: "first", Content: idempotency.ContentFingerprintOf(call), RemainingUS: time.Second.Microseconds()}
				c.Assert(pair.server.handleKey(message).Verdict, qt.Equals, idempotency.VerdictGranted)
				message.Verdict, message.Answer = idempotency.VerdictAnswered, &idempotency.RecordedAnswer{Status: status}
				pair.server.handleKey(message)
				verdict, answer := claims.Claim(t.Context(), call)
				c.Assert(verdict, qt.Equals, want)
				c.Assert(answer != nil, qt.Equals, want == idempotency.VerdictAnswered)
			})
		})
	}
}
