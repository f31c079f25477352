package callerhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
	"parsleyport/io/callerhttp"
)

// workingForwarder answers the first attempt of a call with a status unless that is zero, and works on the next one until finish is
// closed or the attempt is cancelled.
type workingForwarder struct {
	rejected int
	finish   chan struct{}
}

func (f *workingForwarder) Forward(ctx context.Context, _ core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	if f.rejected != 0 && call.AttemptsLeft > 1 {
		return answer(f.rejected, strings.NewReader("rejected"))
	}
	select {
	case <-f.finish:
		return answer(http.StatusOK, strings.NewReader("done"))
	case <-ctx.Done():
		return nil, core.OutcomeUnknown, ctx.Err()
	}
}

func (f *fixedEndpoints) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = nil
}

// Guards against a call that is given up by its entry node while a backend server works on it, because what was required to begin the
// call does not hold any more.
func TestWorkingCallOutlastsChangesAtItsEntryNode(t *testing.T) {
	type entryState struct {
		entry
		source               *swappedSource
		quota                *fakeQuota
		suspected, forbidden atomic.Bool
		drains               sync.WaitGroup
	}
	drain := func(c *qt.C, s *entryState) {
		s.drains.Go(func() { c.Check(s.Drain(context.Background()), qt.IsNil) })
	}
	for name, event := range map[string]func(*qt.C, *entryState){
		"route dropped": func(c *qt.C, s *entryState) { s.source.swap.Store(true) },
		"key revoked": func(c *qt.C, s *entryState) {
			s.source.next = tenantConfiguration(c, "new")
			s.source.swap.Store(true)
		},
		"quota used":        func(_ *qt.C, s *entryState) { s.quota.refusal = &core.Refusal{Cause: core.CauseQuotaUsed} },
		"endpoints gone":    func(_ *qt.C, s *entryState) { s.endpoints.clear() },
		"release forbidden": func(_ *qt.C, s *entryState) { s.forbidden.Store(true) },
		"suspected":         func(_ *qt.C, s *entryState) { s.suspected.Store(true) },
		"drain":             drain,
		"drain without the route": func(c *qt.C, s *entryState) {
			s.source.swap.Store(true)
			drain(c, s)
		},
	} {
		for _, rejected := range []int{0, http.StatusServiceUnavailable, http.StatusBadGateway} { // the first attempt
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				listener := &pipeListener{blockingListener: blockingListener{closed: make(chan struct{})}, accepted: make(chan net.Conn)}
				listener.close = sync.OnceFunc(func() { close(listener.closed) })
				s := &entryState{
					source: &swappedSource{fixedSource: fixedSource{configuration: tenantConfiguration(c, "old")}, next: record.Empty()},
					quota:  &fakeQuota{},
				}
				f := &workingForwarder{rejected: rejected, finish: make(chan struct{})}
				s.entry = newEntry(c, allV1, func(o *callerhttp.Options) {
					o.Listener, o.Source, o.Quota, o.Forwarder = listener, s.source, s.quota, f
					o.DrainPeriod, o.RefusalPeriod = 2*time.Second, time.Second
					o.CrashSuspected = func(idempotency.Fingerprint) bool { return s.suspected.Load() }
					o.ReleaseAllowed = func(core.ServiceName, core.Release) bool { return !s.forbidden.Load() }
				})
				caller, accepted := net.Pipe()
				defer caller.Close()
				listener.accepted <- accepted
				_, err := io.WriteString(caller, "GET /orders HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer old\r\n\r\n")
				c.Assert(err, qt.IsNil)
				answers := make(chan string, 1)
				go func() {
					response, err := http.ReadResponse(bufio.NewReader(caller), nil)
					if err != nil {
						answers <- err.Error()
						return
					}
					body, _ := io.ReadAll(response.Body)
					answers <- response.Status + " " + string(body)
				}()
				synctest.Wait()
				event(c, s)
				time.Sleep(40 * time.Second)
				c.Assert(answers, qt.HasLen, 0, qt.Commentf("case %q", name))
				close(f.finish)
				c.Assert(<-answers, qt.Equals, "200 OK done", qt.Commentf("case %q", name))
				s.drains.Wait()
			})
		}
	}
}
