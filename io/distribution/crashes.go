package distribution

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

const (
	// maxCrashReports bounds the stored reports; the oldest are dropped first. A report takes about 60 bytes on a link.
	maxCrashReports    = 1024
	maxCrashNameBytes  = 256
	maxCrashesPerFrame = 256
)

// crashReport is a report in transit; AgeMS is the time since the crash in milliseconds, since clocks may differ.
type crashReport struct {
	Report core.CrashReport `msgpack:"report"`
	AgeMS  int64            `msgpack:"age-ms"`
}

// crashes carries crash reports over a link.
type crashes struct {
	Reports []crashReport `msgpack:"reports"`
}

// storedCrash is a report with the time of the crash by the local clock.
type storedCrash struct {
	report core.CrashReport
	at     time.Time
	from   crashOrigin
}

// crashOrigin identifies the link over which a report arrived, so that it is not sent back: parent for the parent, remote for
// another control instance, link for a child. It is zero for a report of this node.
type crashOrigin struct {
	parent bool
	remote bool
	link   uint64
}

// crashStore holds the reports of the last idempotency.Window. A report's position is its number among all reports ever added,
// so that each link remembers up to which position it has forwarded them.
type crashStore struct {
	items         []storedCrash // oldest first
	firstPosition uint64        // of items[0]
	known         map[core.CrashReport]bool
	onCrash       func(at time.Time, report core.CrashReport) // optional
}

func newCrashStore() *crashStore {
	return &crashStore{
		known: make(map[core.CrashReport]bool),
	}
}

// add stores a report and returns false if it is known, too old or has too long a name.
func (s *crashStore) add(now, at time.Time, report core.CrashReport, from crashOrigin) bool {
	s.expire(now)
	if s.known[report] || len(report.Node)+len(report.Run) > maxCrashNameBytes || now.Sub(at) > idempotency.Window {
		return false
	}
	if len(s.items) >= maxCrashReports {
		s.dropOldest()
	}
	s.known[report] = true
	s.items = append(s.items, storedCrash{
		report: report,
		at:     at,
		from:   from,
	})
	if s.onCrash != nil {
		s.onCrash(at, report)
	}
	return true
}

// expire drops old reports from the front. A report that arrived late and old stays until those before it have expired.
func (s *crashStore) expire(now time.Time) {
	for len(s.items) > 0 && now.Sub(s.items[0].at) > idempotency.Window {
		s.dropOldest()
	}
}

func (s *crashStore) dropOldest() {
	delete(s.known, s.items[0].report)
	s.items = s.items[1:]
	s.firstPosition++
}

func (s *crashStore) endPosition() uint64 {
	return s.firstPosition + uint64(len(s.items))
}

// since returns at most maxCrashesPerFrame reports from a position on whose origin passes, and the position after the last one.
func (s *crashStore) since(now time.Time, position uint64, wanted func(crashOrigin) bool) ([]crashReport, uint64) {
	position = max(position, s.firstPosition)
	var reports []crashReport
	for ; position < s.endPosition() && len(reports) < maxCrashesPerFrame; position++ {
		item := s.items[position-s.firstPosition]
		if !wanted(item.from) {
			continue
		}
		reports = append(reports, crashReport{
			Report: item.report,
			AgeMS:  now.Sub(item.at).Milliseconds(),
		})
	}
	return reports, position
}

// handleCrashes stores the reports that a link delivered; mu is held.
func (h *hub) handleCrashes(now time.Time, message crashes, from crashOrigin) {
	added := false
	for _, each := range message.Reports {
		at := now.Add(-time.Duration(max(each.AgeMS, 0)) * time.Millisecond)
		added = h.crashes.add(now, at, each.Report, from) || added
	}
	if added {
		h.publishAndWake()
	}
}

// crashesForParent returns the reports that the parent or another control instance has not been sent.
func (h *hub) crashesForParent(u *uplink, now time.Time) []outgoing {
	reports, position := h.crashes.since(now, u.crashesCursor, func(from crashOrigin) bool { return !from.parent && !from.remote })
	u.crashesCursor = position
	return crashMessages(reports)
}

// crashesForChild returns the reports that a child has not been sent.
func (h *hub) crashesForChild(c *child, now time.Time) []outgoing {
	reports, position := h.crashes.since(now, c.crashesCursor, func(from crashOrigin) bool { return from.link != c.id })
	c.crashesCursor = position
	return crashMessages(reports)
}

func crashMessages(reports []crashReport) []outgoing {
	if len(reports) == 0 {
		return nil
	}
	return []outgoing{{
		kind: typeCrashes,
		message: crashes{
			Reports: reports,
		},
	}}
}

// ReportCrash reports to all nodes that a request was running when a backend server's process ended.
func (s *Subscriber) ReportCrash(report core.CrashReport) {
	now := time.Now()
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.hub.crashes.add(now, now, report, crashOrigin{}) {
		s.hub.publishAndWake()
	}
}
