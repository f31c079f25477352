package bodycredit

import (
	"math"
	"slices"
	"time"

	"parsleyport/core"
)

const (
	// windowTime is the time that the link takes for the bytes that may be in flight. It keeps the link busy over a round trip
	// between data centres, and bounds the time for which short messages wait behind bodies.
	windowTime = 25 * time.Millisecond
	// leaseTime is how long granted bytes count as in flight after the time that the link takes for them. It covers the way of the grant
	// to a sender in another data centre and that of the bytes.
	leaseTime = 250 * time.Millisecond
	// minWindowChunks lets one chunk be in flight while the credit for the next one is on its way.
	minWindowChunks = 2
)

// ChunkBytes is the greatest number of bytes that one grant allows.
const ChunkBytes = 16 << 10

// Ticket identifies a call within a Scheduler.
type Ticket uint64

// SenderID identifies a connection on which bodies arrive.
type SenderID uint64

// Request describes a call whose body is to be received.
type Request struct {
	Sender       SenderID
	Bytes        int
	Priority     core.Priority
	SoftDeadline time.Time     // an answer after it counts as late; zero if none is set
	Deadline     time.Time     // an answer after it is useless
	Work         time.Duration // expected time from the end of the body until the answer
}

// Grant allows the sender of a body to send more bytes.
type Grant struct {
	Ticket Ticket
	Bytes  int
}

type transfer struct {
	ticket  Ticket
	request Request
	toGrant int // bytes that have not been granted
	granted int // bytes that were granted and have not arrived

	leaseEnd time.Time // at which granted bytes no longer count as in flight; valid if granted is positive
	stalled  bool      // the lease has ended, and nothing has arrived since
}

// latestStart returns the time at which the rest of the body must begin to cross an idle link for an answer at the given time.
func (t *transfer) latestStart(bytesPerSecond float64, answerBy time.Time) time.Time {
	return answerBy.Add(-t.request.Work - sendTime(t.toGrant, bytesPerSecond))
}

// Scheduler paces the bodies that a node receives to the rate of its link. It is made for uploads that arrive at more than that
// rate: sent at once, they would delay all other messages of the node by their whole backlog, and calls that are refused later would
// have used the link for nothing. A body that has begun is finished first. Next come higher priorities, then the bodies of calls that
// can still be answered by their soft deadline, the most urgent one first. It is not safe for concurrent use.
type Scheduler struct {
	bytesPerSecond float64
	window         int
	inFlight       int // bytes that were granted and have not arrived
	lastTicket     Ticket
	transfers      map[Ticket]*transfer
	waiting        []*transfer          // those with bytes to grant, in order of arrival
	senders        map[SenderID]*sender // those with transfers
}

type sender struct {
	transfers int
	silent    bool // a lease of the sender has ended, and nothing has arrived from it since
}

// New returns a scheduler for a link with a rate in bytes per second, which must be positive.
func New(bytesPerSecond int64) *Scheduler {
	window := int(float64(bytesPerSecond) * windowTime.Seconds())
	return &Scheduler{
		bytesPerSecond: float64(bytesPerSecond),
		window:         max(window, minWindowChunks*ChunkBytes),
		transfers:      make(map[Ticket]*transfer),
		senders:        make(map[SenderID]*sender),
	}
}

// Waiting returns the number of calls whose bodies have not arrived.
func (s *Scheduler) Waiting() int {
	return len(s.transfers)
}

// Arrive adds a call. It returns false if its answer would miss the deadline behind the bodies that come before its own.
func (s *Scheduler) Arrive(now time.Time, request Request) (Ticket, bool) {
	s.Heard(request.Sender)
	added := &transfer{
		ticket:  s.lastTicket + 1,
		request: request,
		toGrant: request.Bytes,
	}
	if s.missesDeadline(now, added, s.bytesBefore(now, added)) {
		return 0, false
	}
	s.lastTicket++
	s.transfers[added.ticket] = added
	s.waiting = append(s.waiting, added)
	if s.senders[request.Sender] == nil {
		s.senders[request.Sender] = &sender{}
	}
	s.senders[request.Sender].transfers++
	return added.ticket, true
}

// Heard notes that something has arrived from a sender, which may get grants again. It reports whether the sender was silent.
func (s *Scheduler) Heard(id SenderID) bool {
	known := s.senders[id]
	if known == nil || !known.silent {
		return false
	}
	known.silent = false
	return true
}

// CanArrive reports whether a body that is not scheduled could cross the link by a deadline if nothing else did.
func (s *Scheduler) CanArrive(now time.Time, bytes int64, deadline time.Time) bool {
	return !now.Add(time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))).After(deadline)
}

// Grants returns the bytes that may be sent now.
func (s *Scheduler) Grants(now time.Time) []Grant {
	s.endLeases(now)
	var grants []Grant
	for s.inFlight < s.window {
		next := s.next(now)
		if next == nil {
			break
		}
		bytes := min(next.toGrant, ChunkBytes)
		next.toGrant -= bytes
		s.inFlight += bytes
		if next.granted == 0 {
			s.renewLease(now, next)
		}
		next.granted += bytes
		if next.toGrant == 0 {
			s.removeWaiting(next)
		}
		grants = append(grants, Grant{
			Ticket: next.ticket,
			Bytes:  bytes,
		})
	}
	return grants
}

// next returns the transfer that gets the next grant, or nil if there is none.
func (s *Scheduler) next(now time.Time) *transfer {
	var best *transfer
	for _, t := range s.waiting {
		if s.isGrantable(t) && (best == nil || s.compare(now, t, best) < 0) {
			best = t
		}
	}
	return best
}

func (s *Scheduler) isGrantable(t *transfer) bool {
	return !t.stalled && !s.senders[t.request.Sender].silent
}

func (s *Scheduler) renewLease(now time.Time, t *transfer) {
	t.leaseEnd = now.Add(sendTime(s.inFlight, s.bytesPerSecond) + leaseTime)
}

func (s *Scheduler) endLeases(now time.Time) {
	for _, t := range s.transfers {
		if t.isLeased() && !now.Before(t.leaseEnd) {
			t.stalled = true
			s.inFlight -= t.granted
			s.senders[t.request.Sender].silent = true
		}
	}
}

func (t *transfer) isLeased() bool {
	return t.granted > 0 && !t.stalled
}

// NextLeaseEnd returns the earliest time at which a lease ends, or zero if nothing is in flight.
func (s *Scheduler) NextLeaseEnd() time.Time {
	var next time.Time
	for _, t := range s.transfers {
		if t.isLeased() && (next.IsZero() || t.leaseEnd.Before(next)) {
			next = t.leaseEnd
		}
	}
	return next
}

// Received notes that bytes of a body have arrived.
func (s *Scheduler) Received(now time.Time, ticket Ticket, bytes int) {
	t := s.transfers[ticket]
	if t == nil {
		return
	}
	if t.stalled {
		t.stalled = false
		s.inFlight += t.granted
	}
	bytes = min(bytes, t.granted)
	t.granted -= bytes
	s.inFlight -= bytes
	s.renewLease(now, t)
	s.Heard(t.request.Sender)
}

// End removes a call whose body has arrived or will not be sent.
func (s *Scheduler) End(ticket Ticket) {
	t := s.transfers[ticket]
	if t == nil {
		return
	}
	if t.isLeased() {
		s.inFlight -= t.granted
	}
	delete(s.transfers, ticket)
	s.removeWaiting(t)
	from := s.senders[t.request.Sender]
	if from.transfers--; from.transfers == 0 {
		delete(s.senders, t.request.Sender)
	}
}

// Overdue returns the calls that have been granted nothing and whose answers would miss their deadlines.
func (s *Scheduler) Overdue(now time.Time) []Ticket {
	var overdue []Ticket
	for _, t := range s.waiting {
		if t.toGrant == t.request.Bytes && s.missesDeadline(now, t, s.bytesBefore(now, t)) {
			overdue = append(overdue, t.ticket)
		}
	}
	return overdue
}

func (s *Scheduler) removeWaiting(t *transfer) {
	s.waiting = slices.DeleteFunc(s.waiting, func(each *transfer) bool { return each == t })
}

// bytesBefore returns the number of bytes that cross the link before the body of a call.
func (s *Scheduler) bytesBefore(now time.Time, t *transfer) int {
	bytes := s.inFlight
	for _, other := range s.waiting {
		if other != t && s.isGrantable(other) && s.compare(now, other, t) < 0 {
			bytes += other.toGrant
		}
	}
	return bytes
}

func (s *Scheduler) missesDeadline(now time.Time, t *transfer, bytesBefore int) bool {
	return now.Add(sendTime(bytesBefore, s.bytesPerSecond)).After(t.latestStart(s.bytesPerSecond, t.request.Deadline))
}

// compare orders transfers by when they get the link.
func (s *Scheduler) compare(now time.Time, a, b *transfer) int {
	if begunA, begunB := a.toGrant < a.request.Bytes, b.toGrant < b.request.Bytes; begunA != begunB {
		return trueFirst(begunA)
	}
	if a.request.Priority != b.request.Priority {
		return trueFirst(a.request.Priority > b.request.Priority)
	}
	startA, startB := s.latestOnTimeStart(a), s.latestOnTimeStart(b)
	free := now.Add(sendTime(s.inFlight, s.bytesPerSecond))
	if onTimeA, onTimeB := !free.After(startA), !free.After(startB); onTimeA != onTimeB {
		return trueFirst(onTimeA)
	}
	if order := startA.Compare(startB); order != 0 {
		return order
	}
	return int(math.Copysign(1, float64(a.ticket)-float64(b.ticket)))
}

func (s *Scheduler) latestOnTimeStart(t *transfer) time.Time {
	answerBy := t.request.SoftDeadline
	if answerBy.IsZero() {
		answerBy = t.request.Deadline
	}
	return t.latestStart(s.bytesPerSecond, answerBy)
}

func trueFirst(isTrue bool) int {
	if isTrue {
		return -1
	}
	return 1
}

func sendTime(bytes int, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}
