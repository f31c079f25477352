package backendhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against calls that are blamed for the end of a process that they have not ended, and against crashes that become known only
// with the next announcement.
func TestCallsThatRanAtTheCrashAreReportedSoon(t *testing.T) {
	for name, test := range map[string]struct {
		play    func(c *qt.C, f *fixture, ended *atomic.Bool)
		crashes int
		calls   int
	}{
		"process ends": {play: func(c *qt.C, f *fixture, ended *atomic.Bool) {
			f.breakCall(c, "deadly", func() { ended.Store(true) })
			time.Sleep(200 * time.Millisecond)
		}, crashes: 1, calls: 1},
		"process ends, the next call finds out": {play: func(c *qt.C, f *fixture, ended *atomic.Bool) {
			f.breakCall(c, "deadly", func() { ended.Store(true) })
			_, outcome, _ := f.handleCall(c, newTestCall("next"))
			c.Assert(outcome, qt.Equals, core.OutcomeNotRun)
		}, crashes: 1, calls: 1},
		"process breaks a connection and listens on": {play: func(c *qt.C, f *fixture, _ *atomic.Bool) {
			f.breakCall(c, "harmless", func() {})
			time.Sleep(2 * time.Second)
		}},
		"full process refuses connections while calls run": {play: func(c *qt.C, f *fixture, ended *atomic.Bool) {
			f.admission.SetSlots(2)
			f.backend.respond = func(net.Conn, *http.Request) {}
			var running sync.WaitGroup
			running.Go(func() { _, _, _ = f.handleCall(c, newTestCall("long")) })
			synctest.Wait()
			f.breakCall(c, "refused", func() { ended.Store(true) })
			time.Sleep(time.Second)
			f.backend.kill()
			running.Wait()
		}},
		"call broken long before the crash": {play: func(c *qt.C, f *fixture, ended *atomic.Bool) {
			f.breakCall(c, "harmless", func() {})
			time.Sleep(2 * time.Second)
			f.breakCall(c, "deadly", func() { ended.Store(true) })
			time.Sleep(200 * time.Millisecond)
		}, crashes: 1, calls: 1},
		"call broken before an answer of the same process": {play: func(c *qt.C, f *fixture, ended *atomic.Bool) {
			f.breakCall(c, "harmless", func() {})
			f.backend.respond = nil
			time.Sleep(time.Second)
			_, outcome, _ := f.handleCall(c, newTestCall("next"))
			c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
			f.announce(time.Now(), readyAnnouncement("2"))
		}},
		"process that leaves ends with calls running": {play: func(c *qt.C, f *fixture, ended *atomic.Bool) {
			f.breakCall(c, "slow", func() {})
			leaving := readyAnnouncement("1")
			leaving.State = core.EndpointLeaving
			f.announce(time.Now(), leaving)
			f.announce(time.Now(), readyAnnouncement("2"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFixture(t)
				var ended atomic.Bool
				dial := f.pool.dial
				f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
					if ended.Load() {
						return nil, &net.OpError{
							Op:  "dial",
							Err: syscall.ECONNREFUSED,
						}
					}
					return dial(ctx, address)
				}
				f.announce(time.Now(), readyAnnouncement("1"))
				test.play(c, f, &ended)
				synctest.Wait()
				f.mu.Lock()
				defer f.mu.Unlock()
				c.Assert(f.crashes, qt.HasLen, test.crashes)
				if test.crashes > 0 {
					c.Assert(f.crashes[0].Calls, qt.HasLen, test.calls)
				}
			})
		})
	}
}

// breakCall makes a call whose connection breaks after a function has run.
func (f *fixture) breakCall(c *qt.C, body string, before func()) {
	f.backend.respond = func(conn net.Conn, _ *http.Request) { before(); conn.Close() }
	_, outcome, _ := f.handleCall(c, newTestCall(body))
	c.Assert(outcome, qt.Equals, core.OutcomeUnknown)
}
