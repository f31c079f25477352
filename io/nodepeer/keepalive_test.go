package nodepeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/io/frame"
)

// Guards against calls that wait for their deadline on a silent connection, against queued calls reported as unknown, and
// against running calls reported as not run.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, running := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			pair := newTestPair(t, 1)
			pair.backend.handle = func(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
				if call.ID != "first" {
					return answerWith(nil), core.OutcomeAnswered, nil
				}
				if !running {
					return queueUntilCancelled(ctx, call)
				}
				<-ctx.Done()
				return nil, core.OutcomeUnknown, ctx.Err()
			}
			pair.network.actionFor = func(number int, direction bool, kind frame.Type) frameAction {
				if number == 1 && (kind == typePing || kind == typePong) {
					return blackhole
				}
				return pass
			}
			began := time.Now()
			_, outcome, _ := pair.call(callFor("first", nil))
			c.Assert(time.Since(began) <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			if running {
				c.Assert(outcome, qt.Equals, core.OutcomeUnknown)
			} else {
				c.Assert(outcome, qt.Equals, core.OutcomeNotRun)
			}
			_, outcome, _ = pair.call(callFor("second", nil))
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
		})
	}
}

// slowConn receives 10 KiB in a second.
type slowConn struct{ net.Conn }

func (c slowConn) Read(target []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return c.Conn.Read(target[:min(len(target), 1<<10)])
}

// Guards against a message that takes longer than silenceTimeout to arrive on a slow connection and passes for silence, which ends the
// calls at which backend servers work.
func TestArrivingMessageIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newTestPair(t, 1)
		dialer, stop, err := NewDialer(DialerOptions{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := pair.network.dial(ctx, address)
			return slowConn{conn}, err
		}, ConnectionsPerPeer: 1})
		c.Assert(err, qt.IsNil)
		defer stop()
		pair.dialer = dialer
		pair.backend.handle = func(_ context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
			time.Sleep(time.Second)
			answer := answerWith(call.Body)
			if call.ID == "working" {
				time.Sleep(7 * time.Second)
			} else {
				answer = answerWith(longBody("abc")[:30_000])
				answer.Header.Set("Content-Length", "30000")
			}
			return answer, core.OutcomeAnswered, nil
		}
		var callers sync.WaitGroup
		for _, id := range []string{"long", "working"} {
			callers.Go(func() {
				answer, outcome, err := pair.call(callFor(id, nil))
				c.Check(outcome, qt.Equals, core.OutcomeAnswered, qt.Commentf("%s: %v", id, err))
				if answer != nil {
					_ = answer.Body.Close()
				}
			})
		}
		callers.Wait()
		c.Assert(pair.network.dials, qt.Equals, 1)
	})
}

// Guards against a pause of this process that is counted as silence of the peer, so that running calls become unknown.
func TestProcessPauseIsNotCountedAsSilence(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	dialer, stop, err := NewDialer(DialerOptions{})
	c.Assert(err, qt.IsNil)
	defer stop()
	conn := newClientConn(dialer, &peerPool{}, near, time.Now(), 1)
	_, err = conn.register(context.Background(), func() {})
	c.Assert(err, qt.IsNil)
	began := time.Now()
	now := began.Add(5 * time.Second)
	for conn.check(now); !conn.lost && now.Before(began.Add(10*time.Second)); conn.check(now) {
		now = now.Add(checkInterval)
	}
	c.Assert(dialer.silentConnections.Get(), qt.Equals, uint64(1))
	c.Assert(now.Sub(began), qt.Equals, 5*time.Second+silenceTimeout) // the pause takes 5 s
}

// Guards against a call or claim that starts on a connection while it is closed as idle, and so becomes unknown.
func TestNothingStartsOnClosingConnection(t *testing.T) {
	c := qt.New(t)
	pair := newTestPair(t, 1)
	claims := &Claims{options: ClaimsOptions{Dialer: pair.dialer}, unresponsive: make(map[string]time.Time)}
	for i := range 1000 {
		conn, err := pair.dialer.connectionAfter(context.Background(), "b", 0)
		c.Assert(err, qt.IsNil)
		conn.mu.Lock()
		conn.idleUntil = time.Now()
		conn.mu.Unlock()
		var users sync.WaitGroup
		users.Go(func() { conn.check(time.Now()) })
		for range 4 {
			users.Go(func() {
				if i%2 == 0 {
					_, err := claims.askRemote(context.Background(), "b", keyMessage{Verdict: idempotency.VerdictUnknown}, probeTimeout)
					c.Check(err, qt.IsNil)
					return
				}
				answer, outcome, err := pair.call(callFor(fmt.Sprint(i), nil))
				c.Check(outcome, qt.Equals, core.OutcomeAnswered, qt.Commentf("error %v", err))
				if answer != nil {
					_, err = io.ReadAll(answer.Body)
					c.Check(err, qt.IsNil)
				}
			})
		}
		users.Wait()
	}
}
