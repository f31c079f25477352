package nodepeer

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// loseSender opens calls over a connection on which nothing arrives afterwards and which stays open, as that of a machine without power.
func loseSender(t *testing.T, pair *testPair, opens ...openMessage) {
	c := qt.New(t)
	conn, err := pair.network.dial(t.Context(), "b")
	c.Assert(err, qt.IsNil)
	pair.network.tasks.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	frames := frame.New(conn, nil)
	send := func(kind frame.Type, message any) {
		c.Assert(frames.Send(time.Now().Add(time.Second), kind, message), qt.IsNil)
	}
	send(typeHello, helloMessage{Connection: rand.Uint64() | 1})
	for i, open := range opens {
		open.Sequence = uint64(i + 1)
		send(typeOpen, open)
	}
	t.Cleanup(func() { _ = conn.Close() })
}

func lostOpen(timeout time.Duration) openMessage {
	return openMessage{
		CallID:      "lost",
		Method:      "POST",
		Target:      "/",
		RemainingUS: timeout.Microseconds(),
		Length:      360_000,
	}
}

// Guards against bodies of lost machines that keep the credit of a link, so that uploads of other machines wait for minutes.
func TestBodiesOfLostSendersDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newPacedPair(t, 1, 1_375_000)
		for range 2 {
			loseSender(t, pair, lostOpen(time.Minute), lostOpen(time.Minute), lostOpen(time.Minute))
		}
		synctest.Wait()
		for i := range 20 {
			call := callFor("upload", longBody("abc"))
			call.Deadline = time.Now().Add(time.Second)
			answer, outcome, err := pair.call(call)
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered, qt.Commentf("upload %d: %v", i, err))
			c.Assert(answer.Body.Close(), qt.IsNil)
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Guards against calls of lost machines that keep memory and places at a server after their deadline, with and without pacing.
func TestCallsOfLostSendersEndAtTheirDeadline(t *testing.T) {
	for _, linkBytesPerSecond := range []int64{0, 1_375_000} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			pair := newPacedPair(t, 1, linkBytesPerSecond)
			loseSender(t, pair, lostOpen(2*time.Second), lostOpen(3*time.Second))
			held := func() (calls, bytes int) {
				pair.server.mu.Lock()
				defer pair.server.mu.Unlock()
				return len(pair.server.calls), pair.server.bodyBytes
			}
			synctest.Wait()
			calls, bytes := held()
			c.Assert(calls == 2 && bytes == 720_000, qt.IsTrue, qt.Commentf("%d calls, %d bytes", calls, bytes))
			time.Sleep(3100 * time.Millisecond)
			calls, bytes = held()
			c.Assert(calls == 0 && bytes == 0, qt.IsTrue, qt.Commentf("%d calls, %d bytes", calls, bytes))
		})
	}
}

// Guards against a lost machine in the middle of a streamed body that keeps a slot of the backend until a deadline minutes away, and
// against a sender that only waits for its caller and is taken for lost.
func TestStreamOfALostSenderEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newTestPair(t, 1)
		type result struct {
			err   error
			after time.Duration
		}
		results := make(chan result, 1)
		pair.backend.handle = func(_ context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
			start := time.Now()
			_, err := io.Copy(io.Discard, call.Source)
			results <- result{err, time.Since(start)}
			return nil, core.OutcomeUnknown, err
		}
		open := lostOpen(10 * time.Minute)
		open.Length, open.Streamed, open.StreamLength = 0, true, 4<<20
		loseSender(t, pair, open)
		lost := <-results
		c.Assert(lost.err, qt.ErrorIs, errSenderSilent)
		c.Assert(lost.after <= streamSilenceTimeout+checkInterval, qt.IsTrue, qt.Commentf("%v", lost.after))

		slow, writer := io.Pipe()
		time.AfterFunc(30*time.Second, func() { _ = writer.Close() })
		call, _ := streamedCall("slow", slow, core.UnknownLength)
		call.Deadline = time.Now().Add(time.Minute)
		_, _, _ = pair.call(call)
		c.Assert((<-results).err, qt.IsNil)
	})
}
