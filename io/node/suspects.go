package node

import (
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
)

// clockMargin is the greatest difference between the clocks of two instances that serviceSince allows for.
const clockMargin = time.Second

// suspects makes an idempotency.Suspects safe for concurrent use.
type suspects struct {
	mu       sync.Mutex // guards detector
	detector *idempotency.Suspects
}

func newSuspects() *suspects {
	return &suspects{
		detector: idempotency.NewSuspects(),
	}
}

func (s *suspects) recordCrash(at time.Time, report core.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.RecordCrash(at, idempotency.CrashID{
		Node: report.Node,
		Run:  report.Run,
	}, idempotency.Fingerprint(report.Fingerprint))
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
