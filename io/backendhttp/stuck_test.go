package backendhttp

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
)

// closeRecorder notes when the near end of a connection is closed.
type closeRecorder struct {
	net.Conn
	once   sync.Once
	closed func()
}

func (r *closeRecorder) Close() error {
	r.once.Do(r.closed)
	return r.Conn.Close()
}

// Guards against a repeatable call that waits until its deadline at a backend server that has dropped it, a connection that is closed
// before the call is settled, a call that must not be repeated and is given up early, more running calls than slots, and a hang that
// counts as a crash.
func TestStuckCallIsEndedAndItsSlotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		var lines bytes.Buffer
		f.stuckCalls = newStuckCalls(true, f.options.Metrics, zerolog.New(&lines))
		f.backend.respond = func(conn net.Conn, request *http.Request) {
			if request.URL.Path == "/dropped" {
				return // and no later call on the connection is answered, since none is sent
			}
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		closedAt := make(chan time.Time, 100)
		f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := f.backend.dial(ctx, address)
			return &closeRecorder{Conn: conn, closed: func() { closedAt <- time.Now() }}, err
		}
		announcement := readyAnnouncement("1")
		announcement.Slots = 3
		f.announce(time.Now(), announcement)
		serve := func(n int) {
			for range n {
				f.announce(time.Now(), announcement)
				call := newTestCall("")
				call.Idempotent = true
				_, outcome, err := f.handleCall(c, call)
				c.Assert(outcome, qt.Equals, core.OutcomeAnswered, qt.Commentf("%v", err))
			}
		}
		serve(50)
		began := time.Now()
		drop := func(repeatable bool) <-chan error {
			ended := make(chan error, 1)
			call := newTestCall("")
			call.Target, call.Idempotent = "/dropped", repeatable
			go func() {
				_, outcome, err := f.handleCall(c, call)
				c.Check(outcome, qt.Equals, core.OutcomeUnknown)
				ended <- err
			}()
			synctest.Wait()
			return ended
		}
		repeatable, unrepeatable := drop(true), drop(false)
		c.Assert(f.admission.Load("").Running, qt.Equals, 2)
		time.Sleep(time.Millisecond)
		serve(3)
		settled := <-repeatable
		c.Assert(errors.Is(settled, ErrStuck), qt.IsTrue, qt.Commentf("%v", settled))
		c.Assert(lines.String(), qt.Matches, `.*"event":"call-stuck","call":"x".*"ran-ms":301,"later-calls":3,"known-runs":(49|5\d),"usual-ms":\d+,"longest-ms":\d+,.*\n`)
		c.Assert(closedAt, qt.HasLen, 0)
		c.Assert(f.admission.Load("").Running, qt.Equals, 2)
		time.Sleep(400 * time.Millisecond)
		c.Assert(closedAt, qt.HasLen, 1)
		c.Assert(f.admission.Load("").Running, qt.Equals, 2)
		time.Sleep(150 * time.Millisecond)
		c.Assert(f.admission.Load("").Running, qt.Equals, 1)
		c.Assert(time.Since(began) < 1500*time.Millisecond, qt.IsTrue)

		serve(3)
		err := <-unrepeatable
		c.Assert(errors.Is(err, ErrStuck), qt.IsFalse)
		c.Assert(time.Since(began) >= 2*time.Second, qt.IsTrue)
		synctest.Wait()
		c.Assert(f.admission.Load("").Running, qt.Equals, 0)
		c.Assert(f.activeCalls, qt.Equals, 0)
		serve(1)
		f.mu.Lock()
		defer f.mu.Unlock()
		c.Assert(f.crashes, qt.HasLen, 0)
		c.Assert(f.stuckCalls.exchanges, qt.HasLen, 0)
	})
}

// Guards against an answer that is lost because it arrives while its call is being given up.
func TestAnswerAfterInterruptionIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		f.stuckCalls = newStuckCalls(true, f.options.Metrics, f.options.Logger)
		f.announce(time.Now(), readyAnnouncement("1"))
		x := &exchange{server: f.Server, call: newTestCall(""), startedAt: time.Now()}
		near, far := net.Pipe()
		defer far.Close()
		x.conn = &backendConn{Conn: near, pool: f.pool}
		x.call.Idempotent = true
		f.stuckCalls.begin(x)
		x.interrupted = true
		c.Assert(near.SetReadDeadline(time.Now()), qt.IsNil)
		f.stuckCalls.detector.Abandon(x.stuckID) // as for a call that was reported
		f.stuckCalls.answered(x)
		go func() { _, _ = far.Write([]byte("x")) }()
		_, err := near.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
	})
}
