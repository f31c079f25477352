package callerhttp

import (
	"context"
	"time"

	"parsleyport/core"
	"parsleyport/core/retry"
)

const (
	// maxWaitingCalls bounds the calls that wait for an endpoint to half of maxActiveRequests, and maxWaitingCallsPerService those of
	// one service, so that a service without backend servers can't block the others. A node gets about 144 calls a second at the
	// planned size.
	maxWaitingCalls           = maxActiveRequests / 2
	maxWaitingCallsPerService = maxWaitingCalls / 2
	// A call waits for at most maxWaitNumerator/maxWaitDenominator of its time, which leaves the rest to run it.
	maxWaitNumerator   = 3
	maxWaitDenominator = 4
	// probeInterval is how often a waiting call retries an endpoint that accepted no calls. A backend server that restarts within
	// its lease causes no new announcement that would wake the call.
	probeInterval = 250 * time.Millisecond
)

// waitingCalls counts the calls that wait for an endpoint.
type waitingCalls struct {
	total     int
	byService map[core.ServiceName]int
}

// beginWait returns false if too many calls are waiting. A call is counted until it ends, so that it keeps its place between two
// waits.
func (s *Server) beginWait(req *request) bool {
	if req.countedAsWaiting {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	service := req.route.Service
	if s.waiting.total >= maxWaitingCalls || s.waiting.byService[service] >= maxWaitingCallsPerService {
		return false
	}
	req.countedAsWaiting = true
	s.waiting.total++
	s.waiting.byService[service]++
	s.waits.Inc()
	return true
}

func (s *Server) endWait(req *request) {
	if !req.countedAsWaiting {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	req.countedAsWaiting = false
	s.waiting.total--
	if s.waiting.byService[req.route.Service]--; s.waiting.byService[req.route.Service] == 0 {
		delete(s.waiting.byService, req.route.Service)
	}
}

// waitDeadline returns the time at which a call that has found no endpoint is refused.
func (req *request) waitDeadline() time.Time {
	deadline := req.arrivedAt.Add(req.call.Deadline.Sub(req.arrivedAt) / maxWaitDenominator * maxWaitNumerator)
	if req.call.StartBy.IsZero() {
		return deadline
	}
	return earliest(deadline, req.call.StartBy)
}

// mayWait reports whether a call may wait for an endpoint after its last attempt. After a capacity refusal it may not: it would only
// be refused later.
func mayWait(last attemptResult) bool {
	return last.outcome == "" || (last.outcome == core.OutcomeNotRun && retry.NodeUnavailable(causeOf(last.err)))
}

// awaitEndpoint waits until an endpoint is usable, and returns false if the call is to be refused. When all nodes or backend servers
// of a service restart at once, its endpoints are unknown for about a second.
func (s *Server) awaitEndpoint(ctx context.Context, req *request, history *attemptHistory) bool {
	if s.options.EndpointsChanged == nil || len(s.releaseShares(req)) == 0 || !s.beginWait(req) {
		return false
	}
	for ctx.Err() == nil && time.Now().Before(req.waitDeadline()) {
		s.options.SubscribeEndpoints(req.route.Service) // the subscription may have expired since the call began
		changed := s.options.EndpointsChanged(req.route.Service)
		if s.hasUsableEndpoint(req, *history) {
			req.attempts.RestoreFreeRetry()
			return true
		}
		expired, changedInTime := waitForChange(ctx, req, changed)
		if expired {
			return false
		}
		if !changedInTime {
			history.forgetOldestUnusable()
		}
	}
	return false
}

// awaitAllEndpoints waits until all endpoints of the call's service are known. A node that lacks some would ask the wrong holders of
// an idempotency key, and the call could run twice.
func (s *Server) awaitAllEndpoints(ctx context.Context, req *request) bool {
	service := req.route.Service
	if s.options.EndpointsKnown(service) {
		return true
	}
	if s.options.EndpointsChanged == nil || !s.beginWait(req) {
		return false
	}
	for {
		s.options.SubscribeEndpoints(service)
		changed := s.options.EndpointsChanged(service)
		if s.options.EndpointsKnown(service) {
			return true
		}
		if expired, _ := waitForChange(ctx, req, changed); expired {
			return false
		}
	}
}

// waitForChange waits for a change of the endpoints, for at most probeInterval. The result expired means that the call may wait no
// longer.
func waitForChange(ctx context.Context, req *request, changed <-chan struct{}) (expired, changedInTime bool) {
	remaining := time.Until(req.waitDeadline())
	if remaining <= 0 {
		return true, false
	}
	timer := time.NewTimer(min(remaining, probeInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true, false
	case <-changed:
		return false, true
	case <-timer.C:
		return false, false
	}
}

// allowRetry reports whether another attempt may be made. A call that has used up its free retries on nodes that accept no calls
// makes one more attempt after each probeInterval.
func (s *Server) allowRetry(ctx context.Context, req *request, class retry.Class) bool {
	takeBudget := func() bool { return s.takeRetryBudget(req.route.Service) }
	if req.attempts.AllowRetry(class, takeBudget) {
		return true
	}
	if class != retry.RetryFree || s.options.EndpointsChanged == nil || !s.beginWait(req) {
		return false
	}
	if expired, _ := waitForChange(ctx, req, nil); expired {
		return false
	}
	req.attempts.RestoreFreeRetry()
	return req.attempts.AllowRetry(class, takeBudget)
}
