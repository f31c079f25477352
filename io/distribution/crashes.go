package distribution

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

const (
	// maxCrashReports bounds the reports held; the oldest are dropped first. A report is about 60 bytes on a link.
	maxCrashReports   = 1024
	maxCrashName      = 256
	maxCrashesInFrame = 256
)

// crashReport is a report on its way; AgeMS is the time since the crash, since clocks differ.
type crashReport struct {
	Report core.CrashReport `msgpack:"report"`
	AgeMS  int64            `msgpack:"age-ms"`
}

type crashes struct {
	Reports []crashReport `msgpack:"reports"`
}

type storedCrash struct {
	report core.CrashReport
	at     time.Time
	from   crashOrigin
}

// crashOrigin says over which link a report came, so that it is not sent back: above for the parent, remote for another
// control instance, link for a child.
type crashOrigin struct {
	parent bool
	remote bool
	link   uint64
}

// crashStore holds the reports of the last idempotency.Window. Positions count all reports ever added, so that a link
// can tell which ones it has passed on.
type crashStore struct {
	items         []storedCrash // oldest first
	firstPosition uint64        // position of items[0]
	known         map[core.CrashReport]bool
	onCrash       func(at time.Time, report core.CrashReport) // optional
}

func newCrashStore() *crashStore {
	return &crashStore{
		known: make(map[core.CrashReport]bool),
	}
}

// add returns false if the report is known or malformed.
func (s *crashStore) add(now, at time.Time, report core.CrashReport, from crashOrigin) bool {
	s.expire(now)
	if s.known[report] || len(report.Node)+len(report.Run) > maxCrashName || now.Sub(at) > idempotency.Window {
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

// forget drops reports from the front; a late report with an old age waits there until those before it are gone.
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

// since returns the reports behind a position that pass, at most maxCrashesInFrame, and the position behind them.
func (s *crashStore) since(now time.Time, at uint64, pass func(crashOrigin) bool) ([]crashReport, uint64) {
	at = max(at, s.firstPosition)
	var reports []crashReport
	for ; at < s.endPosition() && len(reports) < maxCrashesInFrame; at++ {
		item := s.items[at-s.firstPosition]
		if !pass(item.from) {
			continue
		}
		reports = append(reports, crashReport{
			Report: item.report,
			AgeMS:  now.Sub(item.at).Milliseconds(),
		})
	}
	return reports, at
}

// crashed adds what a link brought; mu is held.
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

// crashesForParent collects what the parent or another control instance has not heard from here.
func (h *hub) crashesForParent(u *uplink, now time.Time) []outgoing {
	reports, at := h.crashes.since(now, u.crashesAt, func(from crashOrigin) bool { return !from.parent && !from.remote })
	u.crashesAt = at
	return crashMessages(reports)
}

// crashesForChild collects what a child has not heard.
func (h *hub) crashesForChild(c *child, now time.Time) []outgoing {
	reports, at := h.crashes.since(now, c.crashesAt, func(from crashOrigin) bool { return from.link != c.id })
	c.crashesAt = at
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

// ReportCrash tells the whole fleet that a request was running when a backend server's process ended.
func (s *Subscriber) ReportCrash(report core.CrashReport) {
	now := time.Now()
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.hub.crashes.add(now, now, report, crashOrigin{}) {
		s.hub.publishAndWake()
	}
}
