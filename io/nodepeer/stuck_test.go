package nodepeer

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// Guards against a notice of a stuck call that is lost, repeated, or ends the call, and against one that reaches a dialer which takes it
// for a violation of the protocol.
func TestStuckNoticeReachesDialersThatReceiveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newTestPair(t, 1)
		listens := make(chan bool, 10)
		pair.backend.handle = func(_ context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
			listens <- call.OnStuck != nil
			if call.OnStuck != nil {
				call.OnStuck()
				call.OnStuck()
				time.Sleep(time.Second)
			}
			return answerWith(nil), core.OutcomeAnswered, nil
		}
		notices := make(chan time.Time, 10)
		call := callFor("x", nil)
		call.Idempotent, call.OnStuck = true, func() { notices <- time.Now() }
		began := time.Now()
		answer, outcome, err := pair.call(call)
		c.Assert(err, qt.IsNil)
		c.Assert([]any{outcome, answer.Status}, qt.DeepEquals, []any{core.OutcomeAnswered, http.StatusOK})
		c.Assert(time.Since(began), qt.Equals, time.Second)
		c.Assert(<-listens, qt.IsTrue)
		c.Assert(notices, qt.HasLen, 1)
		c.Assert(<-notices, qt.Equals, began)

		unrepeatable := callFor("y", nil)
		_, _, err = pair.call(unrepeatable)
		c.Assert(err, qt.IsNil)
		c.Assert(<-listens, qt.IsFalse)

		conn, err := pair.network.dial(t.Context(), "b")
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		frames := frame.New(conn, nil)
		received := make(chan frame.Type, 10)
		pair.network.tasks.Go(func() {
			for {
				message, err := frames.Receive(time.Time{})
				if err != nil {
					return
				}
				received <- message.Type
			}
		})
		c.Assert(frames.Send(time.Time{}, typeHello, helloMessage{Connection: 1}), qt.IsNil) // as of an earlier build
		c.Assert(frames.Send(time.Time{}, typeOpen, openMessage{Sequence: 1, Idempotent: true, RemainingUS: 1e6, Checksum: xxhash.Sum64(nil)}), qt.IsNil)
		c.Assert(<-listens, qt.IsFalse)
		c.Assert([]frame.Type{<-received, <-received}, qt.DeepEquals, []frame.Type{typeWelcome, typeHead})
	})
}
