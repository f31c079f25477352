package backendhttp

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyport/core/stuck"
)

// stuckReleaseDelay is the time from the close of the connection of a call that was reported as stuck to the release of its slot. Backend
// servers cancel the work of a call within half a second after its connection was closed; before, it might run beside as many calls as
// there are slots.
const stuckReleaseDelay = 500 * time.Millisecond

// stuckCalls reports the calls that a stuck.Detector finds to their callers' nodes. A nil stuckCalls reports none.
type stuckCalls struct {
	reported *metrics.Counter
	log      zerolog.Logger

	mu        sync.Mutex // guards the fields below
	detector  *stuck.Detector
	exchanges map[stuck.ID]*exchange
}

func newStuckCalls(enabled bool, set *metrics.Set, log zerolog.Logger) *stuckCalls {
	if !enabled {
		return nil
	}
	return &stuckCalls{
		reported:  set.GetOrCreateCounter("parsleyport_backend_stuck_calls_total"),
		log:       log,
		detector:  stuck.NewDetector(),
		exchanges: make(map[stuck.ID]*exchange),
	}
}

// begin adds a call that is about to be sent.
func (s *stuckCalls) begin(x *exchange) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x.stuckID = s.detector.Begin(x.startedAt, x.call.Route, x.call.OnStuck != nil)
	s.exchanges[x.stuckID] = x
}

// answered notes that an answer has begun.
func (s *stuckCalls) answered(x *exchange) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Answered(x.stuckID)
	delete(s.exchanges, x.stuckID)
}

// isReported reports whether a call was reported as stuck.
func (s *stuckCalls) isReported(x *exchange) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.stuckReported
}

// end removes a call, and reports those that look stuck if it was served.
func (s *stuckCalls) end(now time.Time, x *exchange, result CallResult) {
	if s == nil || x.stuckID == 0 {
		return
	}
	for _, each := range s.remove(now, x, result) {
		s.reported.Inc()
		s.logFinding(each.exchange, each.Finding)
		each.exchange.call.OnStuck()
	}
}

// stuckCall is a call that looks stuck, and why.
type stuckCall struct {
	stuck.Finding
	exchange *exchange
}

// remove removes a call and returns those that look stuck after it.
func (s *stuckCalls) remove(now time.Time, x *exchange, result CallResult) []stuckCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x.stuckID)
	if result != ResultServed {
		s.detector.Abandon(x.stuckID)
		return nil
	}
	var found []stuckCall
	for _, finding := range s.detector.Complete(now, x.stuckID) {
		if other := s.exchanges[finding.ID]; other != nil {
			other.stuckReported = true
			found = append(found, stuckCall{
				Finding:  finding,
				exchange: other,
			})
		}
	}
	return found
}

// logFinding logs a call that looks stuck, and why. The line is subject to no limit: there is one for each call at most, after three
// other calls have been completed.
func (s *stuckCalls) logFinding(x *exchange, finding stuck.Finding) {
	s.log.Warn().Str("event", "call-stuck").Str("call", string(x.call.ID)).Str("route", string(x.call.Route)).Str("run", x.processRun).
		Int64("ran-ms", finding.Ran.Milliseconds()).Int("later-calls", finding.Later).Float64("known-runs", math.Round(finding.KnownRuns)).
		Int64("usual-ms", finding.Usual.Milliseconds()).Int64("longest-ms", finding.Longest.Milliseconds()).
		Int64("left-ms", time.Until(x.call.Deadline).Milliseconds()).Msg("backend server answers later calls and not this one")
}

// endAfterWork ends a call that was reported as stuck and then cancelled when it cannot be running any more.
func (x *exchange) endAfterWork() {
	time.AfterFunc(stuckReleaseDelay, func() { x.end(ResultFailed) })
}
