package node

import (
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
)

// clockMargin is the greatest difference between the clocks of two instances that is allowed for.
const clockMargin = time.Second

// suspects lets the goroutines of a node share an idempotency.Suspects.
type suspects struct {
	mu     sync.Mutex // guards memory
	memory *idempotency.Suspects
}

func newSuspects() *suspects {
	return &suspects{
		memory: idempotency.NewSuspects(),
	}
}

func (s *suspects) crashed(at time.Time, report core.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.RecordCrash(at, idempotency.CrashID{
		Node: report.Node,
		Run:  report.Run,
	}, idempotency.Fingerprint(report.Fingerprint))
}

func (s *suspects) suspected(fingerprint idempotency.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Suspected(time.Now(), fingerprint)
}

// serviceSince returns a time before which no call of the service can have been made: that of the first acceptance of
// its record, without which no route can lead to it.
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
