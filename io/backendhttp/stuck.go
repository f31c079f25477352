package backendhttp

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core/stuck"
)

// ErrStuck means that the backend server has answered later calls and probably never answers this one.
const ErrStuck = errors.ConstError("backend server does not answer the call")

const (
	// stuckCloseDelay is the time from the end of a stuck call to the close of its connection, so that the caller's node knows the
	// outcome before the backend server can.
	stuckCloseDelay = 10 * time.Millisecond
	// stuckReleaseDelay is the time from the close of its connection to the release of its slot. Backend servers cancel the work of
	// a call within half a second after its connection was closed; before, it might run beside as many calls as there are slots.
	stuckReleaseDelay = 500 * time.Millisecond
)

// stuckCalls ends the calls that a stuck.Detector reports. A nil stuckCalls ends none.
type stuckCalls struct {
	ended *metrics.Counter
	log   zerolog.Logger

	mu        sync.Mutex // guards the fields below
	detector  *stuck.Detector
	exchanges map[stuck.ID]*exchange
}

func newStuckCalls(enabled bool, set *metrics.Set, log zerolog.Logger) *stuckCalls {
	if !enabled {
		return nil
	}
	return &stuckCalls{
		ended:     set.GetOrCreateCounter("parsleyport_backend_stuck_calls_total"),
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
	x.stuckID = s.detector.Begin(x.startedAt, x.call.Route, x.call.Idempotent)
	s.exchanges[x.stuckID] = x
}

// answered notes that an answer has begun, and takes back the interruption of a call whose answer has arrived after all.
func (s *stuckCalls) answered(x *exchange) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.detector.Answered(x.stuckID) {
		_ = x.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	delete(s.exchanges, x.stuckID)
}

// isInterrupted reports whether a call whose answer could not be read was interrupted as stuck, and counts it then.
func (s *stuckCalls) isInterrupted(x *exchange) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !x.interrupted {
		return false
	}
	s.ended.Inc()
	return true
}

// end removes a call, and interrupts those that turn out to be stuck if it was served.
func (s *stuckCalls) end(now time.Time, x *exchange, result CallResult) {
	if s == nil || x.stuckID == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x.stuckID)
	if result != ResultServed {
		s.detector.Abandon(x.stuckID)
		return
	}
	for _, finding := range s.detector.Complete(now, x.stuckID) {
		if other := s.exchanges[finding.ID]; other != nil {
			s.logFinding(other, finding)
			other.interrupted = true
			_ = other.conn.SetReadDeadline(now) // ends the wait for the answer; fails only on a closed connection
		}
	}
}

// logFinding logs a stuck call and what shows it. The line is subject to no limit: there is one for each call at most, after three other
// calls have been completed.
func (s *stuckCalls) logFinding(x *exchange, finding stuck.Finding) {
	s.log.Warn().Str("event", "call-stuck").Str("call", string(x.call.ID)).Str("route", string(x.call.Route)).Str("run", x.processRun).
		Int64("ran-ms", finding.Ran.Milliseconds()).Int("later-calls", finding.Later).Float64("known-runs", math.Round(finding.KnownRuns)).
		Int64("usual-ms", finding.Usual.Milliseconds()).Int64("longest-ms", finding.Longest.Milliseconds()).
		Int64("left-ms", time.Until(x.call.Deadline).Milliseconds()).Msg("backend server answers later calls and not this one")
}

// settleStuck ends a stuck call. Its connection is closed after its caller's node knows the outcome, and its slot is released when
// the call cannot be running any more. It is no sign that the backend server has crashed.
func (x *exchange) settleStuck() {
	x.stopCancelling() // the context of the call ends as soon as its outcome is reported
	time.AfterFunc(stuckCloseDelay, func() {
		_ = x.conn.Close()
		time.AfterFunc(stuckReleaseDelay, func() { x.end(ResultFailed) })
	})
}
