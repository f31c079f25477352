package backendhttp

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

const (
	// brokenCallLifetime is how long a broken call is kept until a new run or the end of the lease proves a crash.
	brokenCallLifetime = 10 * time.Second
	maxBrokenCalls     = 1024
	maxQueuedCrashes   = 64
	// crashSpread is the longest time between the breaks of two connections by the same crash.
	crashSpread = 250 * time.Millisecond
	// probeTimeout bounds the dial that shows whether the backend server still listens.
	probeTimeout = 200 * time.Millisecond
	// minProbeInterval spaces these dials, since a backend server may also break connections without a crash.
	minProbeInterval = time.Second
)

// probeDelays are the waits before the dials after a break: a process that ends closes its connections shortly before or after its
// listener.
var probeDelays = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond}

// recordBrokenCall records a call whose connection broke while it ran. It is reported as a crash only if the process has ended.
func (s *Server) recordBrokenCall(now time.Time, x *exchange) {
	fingerprint := idempotency.FingerprintOf(x.call)
	broken := brokenCall{
		call: CrashedCall{
			Fingerprint: fingerprint,
			Exact:       idempotency.ExactFingerprintOf(fingerprint, x.call, headerValue(x.call.Header, s.options.Headers.CallerService)),
			StartedAt:   x.startedAt,
			BrokenAt:    now,
			Service:     x.call.Service,
			Route:       x.call.Route,
			Release:     x.call.Release,
		},
		run: x.processRun,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.brokenCalls) >= maxBrokenCalls {
		s.brokenCalls = s.brokenCalls[1:]
	}
	s.brokenCalls = append(s.brokenCalls, broken)
	if s.announced == nil || s.announced.Run != x.processRun {
		s.reportCrash(now, x.processRun)
		return
	}
	s.probes.TryPush(*s.announced)
}

// probeAfterBreaks dials the backend server after calls were broken, so that a crash is known before its next announcement or the end
// of its lease: a request that crashes backend servers may come again many times until then.
func (s *Server) probeAfterBreaks() {
	for {
		select {
		case <-s.done:
			return
		case announced := <-s.probes.Items():
			for _, delay := range probeDelays {
				if !s.wait(delay) {
					return
				}
				if s.exchanges.Load() > 0 || s.refusesConnections(announced) {
					break
				}
			}
			if !s.wait(minProbeInterval) {
				return
			}
		}
	}
}

// wait returns false if the server is closed first.
func (s *Server) wait(period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-s.done:
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) refusesConnections(announced Announcement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := s.pool.dial(ctx, announced.Address)
	if err != nil {
		return s.recordDialError(time.Now(), announced.Run, err)
	}
	_ = conn.Close()
	return false
}

// recordDialError reports the broken calls of a run as a crash if its address refuses connections, and returns whether it does. While
// other calls are running there, the backend server is only full.
func (s *Server) recordDialError(now time.Time, run string, cause error) bool {
	if !errors.Is(cause, syscall.ECONNREFUSED) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchanges.Load() > 0 || s.announced == nil || s.announced.Run != run {
		return false
	}
	s.reportCrash(now, run)
	return true
}

// reportCrash reports the broken calls of a run that has ended to OnCrash, without those that broke well before its end. A run that
// has announced that it leaves has not crashed. s.mu must be held.
func (s *Server) reportCrash(now time.Time, run string) {
	crash := Crash{
		Run: run,
	}
	latest := time.Time{}
	for _, each := range s.brokenCalls {
		if each.run == run && each.call.BrokenAt.After(latest) {
			latest = each.call.BrokenAt
		}
	}
	answeredAt := time.Unix(0, s.answeredAt.Load())
	hasLeft := s.latest.Run == run && s.latest.State == core.EndpointLeaving
	others := s.brokenCalls[:0]
	for _, each := range s.brokenCalls {
		switch brokenAt := each.call.BrokenAt; {
		case now.Sub(brokenAt) > brokenCallLifetime:
		case each.run != run:
			others = append(others, each)
		case hasLeft || latest.Sub(brokenAt) > crashSpread || answeredAt.Sub(brokenAt) > crashSpread:
		default:
			crash.Calls = append(crash.Calls, each.call)
		}
	}
	s.brokenCalls = others
	if len(crash.Calls) > 0 {
		s.crashedCalls.Add(len(crash.Calls))
		s.crashes.TryPush(crash)
	}
}
