package node

import (
	"context"
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
	"parsleyport/core/ring"
)

// clockMargin is the greatest difference between the clocks of two instances that serviceSince allows for.
const clockMargin = time.Second

// maxQueuedCompletions bounds the completions that wait to be reported; those of a request that is sent often come again.
const maxQueuedCompletions = 256

// completion is a run of a request to its end.
type completion struct {
	fingerprint idempotency.Fingerprint
	at          time.Time
}

// suspects makes an idempotency.Suspects and its trials safe for concurrent use, and collects the completions that other nodes must know.
type suspects struct {
	unreported *ring.Ring[completion]

	mu            sync.Mutex // guards the fields below
	detector      *idempotency.Suspects
	callerTrials  *idempotency.Trials // of the requests of callers
	backendTrials *idempotency.Trials // of the calls to the local backend server
}

func newSuspects() *suspects {
	detector := idempotency.NewSuspects()
	return &suspects{
		unreported:    ring.New[completion](maxQueuedCompletions),
		detector:      detector,
		callerTrials:  idempotency.NewTrials(detector),
		backendTrials: idempotency.NewTrials(detector),
	}
}

// lockedTrials are trials that are safe for concurrent use.
type lockedTrials struct {
	mu     *sync.Mutex
	trials *idempotency.Trials
}

// ofCallers returns the trials of the requests of callers.
func (s *suspects) ofCallers() lockedTrials {
	return lockedTrials{
		mu:     &s.mu,
		trials: s.callerTrials,
	}
}

// ofBackend returns the trials of the calls to the local backend server.
func (s *suspects) ofBackend() lockedTrials {
	return lockedTrials{
		mu:     &s.mu,
		trials: s.backendTrials,
	}
}

// Begin implements core.CrashTrials.
func (t lockedTrials) Begin(fingerprint core.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trials.Begin(time.Now(), fingerprint)
}

// Cancel implements core.CrashTrials.
func (t lockedTrials) Cancel(fingerprint core.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trials.Cancel(fingerprint)
}

// recordCrash is called with a lock of the distribution held.
func (s *suspects) recordCrash(at time.Time, report core.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fingerprint := range report.Fingerprints() {
		completedAt := s.detector.RecordCrash(time.Now(), idempotency.Crash{
			ID: idempotency.CrashID{
				Node: report.Node,
				Run:  report.Run,
			},
			Fingerprint: idempotency.Fingerprint(fingerprint),
			StartedAt:   at.Add(-time.Duration(max(report.RanMS, 0)) * time.Millisecond),
			At:          at,
			Alone:       report.Beside == 0,
		})
		if !completedAt.IsZero() {
			s.unreported.TryPush(completion{
				fingerprint: idempotency.Fingerprint(fingerprint),
				at:          completedAt,
			})
		}
	}
}

// recordCompletion records that a request has run to its end, here or elsewhere.
func (s *suspects) recordCompletion(at time.Time, fingerprint idempotency.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.RecordCompletion(at, fingerprint) {
		s.unreported.TryPush(completion{
			fingerprint: fingerprint,
			at:          at,
		})
	}
}

// report reports completions to the other nodes until the context ends.
func (s *suspects) report(ctx context.Context, report func(at time.Time, fingerprint uint64)) {
	for {
		next, err := s.unreported.Pop(ctx)
		if err != nil {
			return
		}
		report(next.at, uint64(next.fingerprint))
	}
}

func (s *suspects) isSuspected(fingerprint idempotency.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Suspected(time.Now(), fingerprint)
}

// serviceSince returns a time before which no call of the service can have been made: the time at which its record was first
// accepted, since no route can lead to the service without the record.
func serviceSince(configuration *record.Configuration, service core.ServiceName) (time.Time, bool) {
	for schema := record.NewestSchema; schema >= 1; schema-- {
		held, exists := configuration.Record(core.RecordKey{
			Kind:          core.KindService,
			Name:          string(service),
			SchemaVersion: schema,
		})
		if exists && held.SinceMS > 0 {
			return time.UnixMilli(held.SinceMS).Add(-clockMargin), true
		}
	}
	return time.Time{}, false
}
