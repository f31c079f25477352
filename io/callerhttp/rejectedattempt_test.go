package callerhttp_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/callerhttp"
)

// rejectingForwarder answers all attempts at once until slow is set. It then works for a second on one attempt of a call, the hedge or the
// one before it, and rejects the other after 100 ms.
type rejectingForwarder struct {
	slow          bool
	status        int
	rejectsHedges bool
}

func (f *rejectingForwarder) Forward(ctx context.Context, _ core.Endpoint, call *core.Call) (*core.Answer, core.Outcome, error) {
	if !f.slow {
		return answer(http.StatusOK, strings.NewReader("done"))
	}
	status, body, work := http.StatusOK, "done", time.Second
	if call.Hedge == f.rejectsHedges {
		status, body, work = f.status, "rejected", 100*time.Millisecond
	}
	select {
	case <-time.After(work):
		return answer(status, strings.NewReader(body))
	case <-ctx.Done():
		return nil, core.OutcomeUnknown, ctx.Err()
	}
}

// Guards against a working attempt that is given up because a backend server rejects the other attempt of its call.
func TestRejectedAttemptLeavesTheWorkingOne(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway} {
		for _, rejectsHedges := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, hedge %t", status, rejectsHedges), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					listener := &blockingListener{closed: make(chan struct{})}
					listener.close = sync.OnceFunc(func() { close(listener.closed) })
					f := &rejectingForwarder{status: status, rejectsHedges: rejectsHedges}
					e := newEntry(c, allV1, func(o *callerhttp.Options) { o.Listener, o.Forwarder = listener, f })
					get := func() string {
						recorder := httptest.NewRecorder()
						e.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/orders", nil))
						return fmt.Sprint(recorder.Code, " ", recorder.Body)
					}
					for range 150 { // latencies after which attempts are hedged
						c.Assert(get(), qt.Equals, "200 done")
					}
					f.slow = true
					c.Assert(get(), qt.Equals, "200 done")
				})
			})
		}
	}
}
