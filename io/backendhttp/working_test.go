package backendhttp

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against a call that is given up, or holds no slot any more, because of what is announced about its backend server, or is
// not announced, while the backend server works on it.
func TestWorkingCallOutlastsAnnouncements(t *testing.T) {
	change := func(change func(*Announcement)) func(*fixture) {
		return func(f *fixture) {
			a := readyAnnouncement("1")
			change(&a)
			f.announce(time.Now(), a)
		}
	}
	for name, event := range map[string]func(*fixture){
		"lease expires":   func(*fixture) { time.Sleep(DefaultLease + time.Second) },
		"withdrawn":       func(f *fixture) { f.endLease(time.Now(), "withdrawn") },
		"leaving":         change(func(a *Announcement) { a.State = core.EndpointLeaving }),
		"next run":        change(func(a *Announcement) { a.Run = "2" }),
		"other service":   change(func(a *Announcement) { a.Run, a.Service = "2", "looms" }),
		"other release":   change(func(a *Announcement) { a.Run, a.Release = "2", "v2" }),
		"other address":   change(func(a *Announcement) { a.Run, a.Address = "2", "127.0.0.1:2" }),
		"broken neighbor": breakNeighbor,
		"drain":           func(f *fixture) { go func() { _ = f.Drain(context.Background()) }() },
	} {
		for _, streams := range []bool{false, true} { // the event comes before the answer, or within its body
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFixture(t)
				a := readyAnnouncement("1")
				a.Slots = 2
				f.announce(time.Now(), a)
				finish := make(chan struct{})
				f.backend.respond = func(conn net.Conn, request *http.Request) {
					if request.URL.Path == "/broken" {
						conn.Close()
						return
					}
					if streams {
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
						<-finish
						fmt.Fprint(conn, "k")
						return
					}
					<-finish
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
				ended := make(chan error, 1)
				go func() {
					call := newTestCall("")
					call.Idempotent, call.Deadline = true, time.Now().Add(time.Minute)
					body, outcome, err := f.handleCall(c, call)
					c.Check(outcome, qt.Equals, core.OutcomeAnswered, qt.Commentf("case %q", name))
					c.Check(body, qt.Equals, "ok")
					ended <- err
				}()
				synctest.Wait()
				event(f)
				time.Sleep(20 * time.Second)
				c.Assert(ended, qt.HasLen, 0, qt.Commentf("case %q", name))
				c.Assert(f.admission.Load("").Running, qt.Equals, 1)
				close(finish)
				c.Assert(<-ended, qt.IsNil)
				synctest.Wait()
				c.Assert(f.admission.Load("").Running, qt.Equals, 0)
			})
		}
	}
}

// breakNeighbor runs a call whose connection the backend server closes.
func breakNeighbor(f *fixture) {
	call := newTestCall("")
	call.Target = "/broken"
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	_, _, _ = f.Handle(ctx, call)
}
