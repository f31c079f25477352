package distribution

import (
	"slices"
	"time"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

const (
	// maxCrashReports bounds the stored reports; the oldest are dropped first. A report takes about 80 bytes on a link, and a crash
	// two of them for each request that was running.
	maxCrashReports    = 4096
	maxCrashNameBytes  = 256
	maxCrashesPerFrame = 256
)

// crashReport is a report in transit; AgeMS is the time since the crash in milliseconds, since clocks may differ.
type crashReport struct {
	Report core.CrashReport `msgpack:"report"`
	AgeMS  int64            `msgpack:"age-ms"`
}

// completionReport says that a request that was running at a crash has run to its end at another time, AgeMS milliseconds ago.
type completionReport struct {
	Fingerprint uint64 `msgpack:"fingerprint"`
	AgeMS       int64  `msgpack:"age-ms"`
}

// crashes carries reports of crashes and completions over a link.
type crashes struct {
	Reports     []crashReport      `msgpack:"reports"`
	Completions []completionReport `msgpack:"completions,omitempty"`
}

// storedCrash is a report with its time by the local clock. A completion has a fingerprint only.
type storedCrash struct {
	report     core.CrashReport
	completion bool
	at         time.Time
	from       crashOrigin
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
	fingerprints  map[uint64]*crashedRequest
	onCrash       func(at time.Time, report core.CrashReport) // optional
	onCompletion  func(at time.Time, fingerprint uint64)      // optional
}

// crashedRequest holds the times of the stored crashes of a request, oldest first, and of its latest stored completion.
type crashedRequest struct {
	crashedAt   []time.Time
	completedAt time.Time
}

func newCrashStore() *crashStore {
	return &crashStore{
		known:        make(map[core.CrashReport]bool),
		fingerprints: make(map[uint64]*crashedRequest),
	}
}

// add stores a report and returns false if it is known, too old or has too long a name.
func (s *crashStore) add(now, at time.Time, report core.CrashReport, from crashOrigin) bool {
	s.expire(now)
	if s.known[report] || len(report.Node)+len(report.Run) > maxCrashNameBytes || now.Sub(at) > idempotency.Window {
		return false
	}
	s.known[report] = true
	for _, fingerprint := range report.Fingerprints() {
		request := s.fingerprints[fingerprint]
		if request == nil {
			request = &crashedRequest{}
			s.fingerprints[fingerprint] = request
		}
		request.crashedAt = append(request.crashedAt, at)
	}
	s.append(storedCrash{
		report: report,
		at:     at,
		from:   from,
	})
	if s.onCrash != nil {
		s.onCrash(at, report)
	}
	return true
}

// addCompletion stores a completion if it is the first one of a request that was running at a stored crash, or the first one after
// such a crash. It returns false for others, which would change nothing: all nodes may report completions of the same request.
func (s *crashStore) addCompletion(now, at time.Time, fingerprint uint64, from crashOrigin) bool {
	s.expire(now)
	request := s.fingerprints[fingerprint]
	if request == nil || now.Sub(at) > idempotency.Window {
		return false
	}
	if !request.completedAt.IsZero() && !slices.ContainsFunc(request.crashedAt, func(crash time.Time) bool {
		return crash.After(request.completedAt) && crash.Before(at)
	}) {
		return false
	}
	request.completedAt = at
	s.append(storedCrash{
		report: core.CrashReport{
			Fingerprint: fingerprint,
		},
		completion: true,
		at:         at,
		from:       from,
	})
	if s.onCompletion != nil {
		s.onCompletion(at, fingerprint)
	}
	return true
}

func (s *crashStore) append(item storedCrash) {
	if len(s.items) >= maxCrashReports {
		s.dropOldest()
	}
	s.items = append(s.items, item)
}

// expire drops old reports from the front. A report that arrived late and old stays until those before it have expired.
func (s *crashStore) expire(now time.Time) {
	for len(s.items) > 0 && now.Sub(s.items[0].at) > idempotency.Window {
		s.dropOldest()
	}
}

func (s *crashStore) dropOldest() {
	oldest := s.items[0]
	s.items = s.items[1:]
	s.firstPosition++
	if oldest.completion {
		return
	}
	delete(s.known, oldest.report)
	for _, fingerprint := range oldest.report.Fingerprints() {
		request := s.fingerprints[fingerprint]
		if request.crashedAt = request.crashedAt[1:]; len(request.crashedAt) == 0 {
			delete(s.fingerprints, fingerprint)
		}
	}
}

// reports returns the number of stored reports of crashes.
func (s *crashStore) reports() int {
	return len(s.known)
}

func (s *crashStore) endPosition() uint64 {
	return s.firstPosition + uint64(len(s.items))
}

// since returns at most maxCrashesPerFrame reports from a position on whose origin passes, and the position after the last one.
func (s *crashStore) since(now time.Time, position uint64, wanted func(crashOrigin) bool) (crashes, uint64) {
	position = max(position, s.firstPosition)
	var message crashes
	for ; position < s.endPosition() && len(message.Reports)+len(message.Completions) < maxCrashesPerFrame; position++ {
		item := s.items[position-s.firstPosition]
		age := now.Sub(item.at).Milliseconds()
		switch {
		case !wanted(item.from):
		case item.completion:
			message.Completions = append(message.Completions, completionReport{
				Fingerprint: item.report.Fingerprint,
				AgeMS:       age,
			})
		default:
			message.Reports = append(message.Reports, crashReport{
				Report: item.report,
				AgeMS:  age,
			})
		}
	}
	return message, position
}

// handleCrashes stores the reports that a link delivered; mu is held.
func (h *hub) handleCrashes(now time.Time, message crashes, from crashOrigin) {
	added := false
	at := func(ageMS int64) time.Time { return now.Add(-time.Duration(max(ageMS, 0)) * time.Millisecond) }
	for _, each := range message.Reports {
		added = h.crashes.add(now, at(each.AgeMS), each.Report, from) || added
	}
	for _, each := range message.Completions {
		added = h.crashes.addCompletion(now, at(each.AgeMS), each.Fingerprint, from) || added
	}
	if added {
		h.publishAndWake()
	}
}

// crashesForParent returns the reports that the parent or another control instance has not been sent.
func (h *hub) crashesForParent(u *uplink, now time.Time) []outgoing {
	message, position := h.crashes.since(now, u.crashesCursor, func(from crashOrigin) bool { return !from.parent && !from.remote })
	u.crashesCursor = position
	return crashMessages(message)
}

// crashesForChild returns the reports that a child has not been sent.
func (h *hub) crashesForChild(c *child, now time.Time) []outgoing {
	message, position := h.crashes.since(now, c.crashesCursor, func(from crashOrigin) bool { return from.link != c.id })
	c.crashesCursor = position
	return crashMessages(message)
}

func crashMessages(message crashes) []outgoing {
	if len(message.Reports)+len(message.Completions) == 0 {
		return nil
	}
	return []outgoing{{
		kind:    typeCrashes,
		message: message,
	}}
}

// ReportCrash reports to all nodes that a request was running when a backend server's process ended.
func (s *Subscriber) ReportCrash(at time.Time, report core.CrashReport) {
	now := time.Now()
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.hub.crashes.add(now, at, report, crashOrigin{}) {
		s.hub.publishAndWake()
	}
}

// ReportCompletion reports to all nodes that a request, which was running at a crash that all know of, has run to its end.
func (s *Subscriber) ReportCompletion(at time.Time, fingerprint uint64) {
	now := time.Now()
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if s.hub.crashes.addCompletion(now, at, fingerprint, crashOrigin{}) {
		s.hub.publishAndWake()
	}
}
