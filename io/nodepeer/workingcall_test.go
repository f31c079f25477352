package nodepeer

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/frame"
)

const workingTime = 4 * time.Second

type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("unexpected") }

// Guards against a call that is ended while the backend works on it, because of something that happens to another call or connection, or
// because nothing is heard for a time in which the work goes on.
func TestWorkingCallSurvives(t *testing.T) {
	type setting struct {
		*testPair
		hold *atomic.Bool // delays messages to the dialer on the first connection until the network's release is closed
	}
	for name, happen := range map[string]func(t *testing.T, s setting){
		"peer is suspected to be silent": func(t *testing.T, s setting) {
			conn, err := s.dialer.connection(t.Context(), "b")
			qt.Assert(t, err, qt.IsNil)
			s.hold.Store(true)
			time.Sleep(suspectSilence + checkInterval)
			qt.Assert(t, conn.usable(time.Now()), qt.IsFalse)
			s.hold.Store(false)
			close(s.network.release)
		},
		"peer drains": func(t *testing.T, s setting) {
			go func() { _ = s.server.Drain(t.Context()) }()
		},
		"another call panics": func(_ *testing.T, s setting) {
			_, _, _ = s.call(callFor("broken", nil))
		},
		"answer of another call panics": func(_ *testing.T, s setting) {
			for _, id := range []core.CallID{"broken body", "broken short body"} {
				answer, _, err := s.call(callFor(string(id), nil))
				if answer != nil {
					_, err = io.ReadAll(answer.Body)
				}
				qt.Assert(t, err, qt.ErrorMatches, ".*panicked: unexpected.*")
			}
		},
		"another call is cancelled": func(t *testing.T, s setting) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, _ = s.dialer.Forward(ctx, core.Endpoint{Node: "b", Address: "b"}, callFor("queued", nil))
		},
		"another attempt is revoked": func(t *testing.T, s setting) {
			conn, err := s.dialer.connection(t.Context(), "b")
			qt.Assert(t, err, qt.IsNil)
			revoked, err := conn.revoke(t.Context(), &stream{
				conn:     conn,
				sequence: 1000,
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, revoked, qt.IsTrue)
		},
		"body of another call does not arrive": func(t *testing.T, s setting) {
			loseSender(t, s.testPair, lostOpen(time.Second))
		},
		"another connection is lost": func(t *testing.T, s setting) {
			conn, err := s.network.dial(t.Context(), "b")
			qt.Assert(t, err, qt.IsNil)
			err = frame.New(conn, nil).Send(time.Time{}, typeHello, helloMessage{Connection: 1})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.Close(), qt.IsNil)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := setting{
				testPair: newPacedPair(t, 1, 1_000_000),
				hold:     &atomic.Bool{},
			}
			s.network.actionFor = func(number int, direction bool, _ frame.Type) frameAction {
				if number == 1 && direction == toDialer && s.hold.Load() {
					return delay
				}
				return pass
			}
			s.backend.handle = func(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
				switch call.ID {
				case "queued":
					return queueUntilCancelled(ctx, call)
				case "broken":
					panic("unexpected")
				case "broken body", "broken short body":
					answer := answerWith(nil)
					answer.Body = io.NopCloser(panickingReader{})
					if call.ID == "broken short body" {
						answer.Header.Set("Content-Length", "1")
					}
					return answer, core.OutcomeAnswered, nil
				}
				select {
				case <-time.After(workingTime):
					return answerWith([]byte("done")), core.OutcomeAnswered, nil
				case <-ctx.Done():
					return nil, core.OutcomeUnknown, context.Cause(ctx)
				}
			}
			working := make(chan error, 1)
			go func() {
				answer, _, err := s.call(callFor("working", nil))
				if err == nil {
					_, err = io.ReadAll(answer.Body)
				}
				working <- err
			}()
			synctest.Wait()
			happen(t, s)
			c.Assert(<-working, qt.IsNil, qt.Commentf("%s", name))
		})
	}
}

// Guards against a running call that is ended because its dialer, which has been paused, sends no pings.
func TestCallOfAPausedDialerGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newTestPair(t, 1)
		pair.backend.handle = func(context.Context, *core.Call) (*core.Answer, core.Outcome, error) {
			time.Sleep(10 * time.Second)
			return answerWith(nil), core.OutcomeAnswered, nil
		}
		conn, err := pair.network.dial(t.Context(), "b")
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		frames := frame.New(conn, nil)
		c.Assert(frames.Send(time.Time{}, typeHello, helloMessage{Connection: 1}), qt.IsNil)
		welcome, err := frames.Receive(time.Time{})
		c.Assert(err, qt.IsNil)
		c.Assert(welcome.Type, qt.Equals, typeWelcome)
		c.Assert(frames.Send(time.Time{}, typeOpen, openMessage{
			Sequence:    1,
			RemainingUS: time.Minute.Microseconds(),
			Checksum:    xxhash.Sum64(nil),
		}), qt.IsNil)
		head, err := frames.Receive(time.Time{})
		c.Assert(err, qt.IsNil)
		c.Assert(head.Type, qt.Equals, typeHead)
	})
}
