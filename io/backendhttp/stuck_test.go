package backendhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
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

// Guards against a call that is broken off because it looks stuck, a report that is repeated or made for a call without a listener, a slot
// that is free while the call may still be running, and a hang that counts as a crash.
func TestStuckCallIsReportedAndGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFixture(t)
		var lines bytes.Buffer
		f.stuckCalls = newStuckCalls(true, f.options.Metrics, zerolog.New(&lines))
		answer := func(conn net.Conn) { fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }
		f.backend.respond = func(conn net.Conn, request *http.Request) {
			switch request.URL.Path {
			case "/dropped":
				return // and no later call on the connection is answered, since none is sent
			case "/long":
				time.Sleep(time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			answer(conn)
		}
		closedAt := make(chan time.Time, 100)
		f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := f.backend.dial(ctx, address)
			return &closeRecorder{Conn: conn, closed: func() { closedAt <- time.Now() }}, err
		}
		announcement := readyAnnouncement("1")
		announcement.Slots = 4
		f.announce(time.Now(), announcement)
		serve := func(n int) {
			for range n {
				f.announce(time.Now(), announcement)
				_, outcome, err := f.handleCall(c, newTestCall(""))
				c.Assert(outcome, qt.Equals, core.OutcomeAnswered, qt.Commentf("%v", err))
			}
		}
		serve(50)
		reports := make(chan string, 10)
		begin := func(path string, listens bool) (<-chan core.Outcome, func()) {
			ended := make(chan core.Outcome, 1)
			call := newTestCall("")
			call.Target = path
			if listens {
				call.OnStuck = func() { reports <- path }
			}
			ctx, cancel := context.WithDeadline(t.Context(), call.Deadline)
			go func() {
				answer, outcome, _ := f.Handle(ctx, call)
				if outcome == core.OutcomeAnswered {
					_, err := io.ReadAll(answer.Body)
					c.Check(err, qt.IsNil)
				}
				ended <- outcome
			}()
			synctest.Wait()
			return ended, cancel
		}
		dropped, cancelDropped := begin("/dropped", true)
		long, cancelLong := begin("/long", true)
		silent, cancelSilent := begin("/dropped", false)
		defer cancelSilent()
		defer cancelLong()
		time.Sleep(time.Millisecond)
		serve(2)
		c.Assert(reports, qt.HasLen, 0)
		serve(3)
		c.Assert(reports, qt.HasLen, 2) // at the third of them, and not again
		c.Assert([]string{<-reports, <-reports}, qt.ContentEquals, []string{"/dropped", "/long"})
		c.Assert(lines.String(), qt.Matches, `(?s).*"event":"call-stuck","call":"x".*"ran-ms":301,"later-calls":3,"known-runs":(49|5\d),"usual-ms":\d+,"longest-ms":\d+,.*`)
		c.Assert(strings.Count(lines.String(), "\n"), qt.Equals, 2)
		c.Assert(closedAt, qt.HasLen, 0)
		c.Assert(<-long, qt.Equals, core.OutcomeAnswered)

		c.Assert(f.admission.Load("").Running, qt.Equals, 2)
		cancelDropped() // as the caller's node does once it has another answer
		c.Assert(<-dropped, qt.Equals, core.OutcomeUnknown)
		c.Assert(closedAt, qt.HasLen, 1)
		time.Sleep(400 * time.Millisecond)
		c.Assert(f.admission.Load("").Running, qt.Equals, 2)
		time.Sleep(150 * time.Millisecond)
		c.Assert(f.admission.Load("").Running, qt.Equals, 1)

		c.Assert(<-silent, qt.Equals, core.OutcomeUnknown)
		synctest.Wait()
		c.Assert(reports, qt.HasLen, 0)
		c.Assert(f.admission.Load("").Running, qt.Equals, 0)
		c.Assert(f.activeCalls, qt.Equals, 0)
		serve(1)
		f.mu.Lock()
		defer f.mu.Unlock()
		c.Assert(f.crashes, qt.HasLen, 0)
		c.Assert(f.stuckCalls.exchanges, qt.HasLen, 0)
	})
}
