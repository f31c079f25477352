package nodepeer

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// streamedCall returns a call with a streamed body of a length, and the counter of the bytes that were read of it.
func streamedCall(id string, body io.Reader, length int64) (*core.Call, *atomic.Int64) {
	read := &atomic.Int64{}
	call := callFor(id, nil)
	call.Source = core.NewBodySource(io.TeeReader(body, writerFunc(func(p []byte) (int, error) {
		read.Add(int64(len(p)))
		return len(p), nil
	})), length)
	return call, read
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against a streamed body that arrives in part or in another order, and against one that is sent faster than the backend reads.
func TestStreamedBodyArrivesAsItIsRead(t *testing.T) {
	for _, linkBytesPerSecond := range []int64{0, 1_000_000} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			pair := newPacedPair(t, 1, linkBytesPerSecond)
			text := strings.Repeat("abcdefg", 300_000)
			call, read := streamedCall("x", iotest.HalfReader(strings.NewReader(text)), int64(len(text)))
			pair.backend.handle = func(_ context.Context, received *core.Call) (*core.Answer, core.Outcome, error) {
				c.Check(received.BodyBytes(), qt.Equals, int64(len(text)))
				time.Sleep(time.Second)
				c.Check(read.Load(), qt.Equals, int64(0))
				got, buffer := strings.Builder{}, make([]byte, 1000)
				for {
					n, err := received.Source.Read(buffer)
					got.Write(buffer[:n])
					if got.Len() < 100_000 {
						time.Sleep(time.Millisecond)
						c.Check(read.Load() <= int64(got.Len()+streamWindowBytes), qt.IsTrue, qt.Commentf("%d bytes sent, %d read", read.Load(), got.Len()))
					}
					if err != nil {
						c.Check(err, qt.Equals, io.EOF)
						break
					}
				}
				c.Check(got.String() == text, qt.IsTrue)
				return answerWith([]byte("done")), core.OutcomeAnswered, nil
			}
			answer, outcome, err := pair.call(call)
			c.Assert(err, qt.IsNil)
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
			c.Assert(answer.Body.Close(), qt.IsNil)
		})
	}
}

// Guards against a refused call that has lost a part of its body, so that it cannot be offered elsewhere, and against one that waits for
// a body which cannot arrive in time.
func TestRefusedStreamIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newPacedPair(t, 1, 1_000_000)
		pair.backend.handle = func(context.Context, *core.Call) (*core.Answer, core.Outcome, error) {
			return nil, core.OutcomeNotRun, &core.Refusal{Cause: core.CauseQueueFull}
		}
		for length, cause := range map[int64]core.RefusalCause{1 << 20: core.CauseQueueFull, 100 << 20: core.CauseDeadline, core.UnknownLength: core.CauseQueueFull} {
			call, _ := streamedCall("x", strings.NewReader("body"), length)
			begun := time.Now()
			_, outcome, err := pair.call(call)
			c.Assert(outcome, qt.Equals, core.OutcomeNotRun)
			var refusal *core.Refusal
			c.Assert(errors.As(err, &refusal), qt.IsTrue)
			c.Assert(refusal.Cause, qt.Equals, cause)
			c.Assert(call.Source.Taken(), qt.IsFalse)
			c.Assert(time.Since(begun) < time.Second, qt.IsTrue)
		}
	})
}

// Guards against a part of a body that passes for the whole when its caller leaves, a message is changed or the connection is cut.
func TestBrokenStreamIsAnError(t *testing.T) {
	for name, action := range map[string]frameAction{"caller leaves": pass, "corrupted": corrupt, "connection is cut": closeBefore} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			pair := newTestPair(t, 1)
			body, bodies := io.Reader(strings.NewReader(strings.Repeat("x", 200_000))), 0
			if action == pass {
				body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			pair.network.actionFor = func(_ int, _ bool, kind frame.Type) frameAction {
				if kind != typeBody {
					return pass
				}
				if bodies++; bodies == 3 {
					return action
				}
				return pass
			}
			readErr := make(chan error, 1)
			pair.backend.handle = func(_ context.Context, received *core.Call) (*core.Answer, core.Outcome, error) {
				_, err := io.Copy(io.Discard, received.Source)
				readErr <- err
				if err == nil {
					return answerWith(nil), core.OutcomeAnswered, nil
				}
				return nil, core.OutcomeUnknown, err
			}
			call, _ := streamedCall("x", body, 200_000)
			_, outcome, err := pair.call(call)
			comment := qt.Commentf("%s", name)
			c.Assert(outcome, qt.Equals, core.OutcomeUnknown, comment)
			c.Assert(err, qt.IsNotNil, comment)
			c.Assert(<-readErr, qt.IsNotNil, comment)
		})
	}
}
