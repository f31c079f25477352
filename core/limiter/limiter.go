package limiter

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

const (
	// waitingPerSlot bounds the queue: a longer one holds only calls whose deadlines most likely pass in it.
	waitingPerSlot = 20
	// decreaseFactor and decreasePause lower the limit after overload, at most once per pause, so that the answers of
	// calls that began under the old limit are not counted against the new one.
	decreaseFactor = 0.8
	decreasePause  = 100 * time.Millisecond
	// shedPause is how long the limit does not rise after it fell to what the backend server can run; each rise above that
	// costs a call that is shed.
	shedPause = time.Second
	// servedSpan is half the time for which the concurrency of a served call counts as possible. With 1 s instead, the
	// limit stayed for 2 s at what the backend server could run before it lost slots (docs/measurements.md).
	servedSpan = 200 * time.Millisecond
	// overloadRatio is how many times the uncongested latency counts as overload.
	overloadRatio = 4.0
	// fastestDecay lets the uncongested latency rise slowly when a backend server has become slower for good.
	fastestDecay = 1.001
	// latencyWeight is the weight of one sample in the average latency.
	latencyWeight = 0.1
)

// Ticket identifies a call in the limiter.
type Ticket uint64

// Request describes a call that arrives.
type Request struct {
	Tenant   core.TenantID
	Priority core.Priority
	Aim      time.Time // by which an answer is of full use, zero if not stated
	Deadline time.Time
	StartBy  time.Time      // after which it is refused unless it has started, zero for its deadline
	NoWait   bool           // it is refused unless it can start at once
	Class    core.RouteName // whose calls take about the same time
}

// Result describes how a started call ended.
type Result struct {
	Latency    time.Duration
	Overloaded bool // the backend server shed the call or said that it is overloaded
	Failed     bool // the latency says nothing, since failures are often fast
}

// Shed is a waiting call that will not be run.
type Shed struct {
	Ticket Ticket
	Cause  core.RefusalCause
}

// Change is what an event leads to: calls to start now and calls to refuse.
type Change struct {
	Start []Ticket
	Shed  []Shed
}

type entry struct {
	ticket  Ticket
	request Request
}

// tenant holds the calls of one tenant that run or wait; it is forgotten when it has none.
type tenant struct {
	running int
	waiting []entry // best first: higher priority, then earlier deadline, then earlier arrival
}

// Limiter holds the running and waiting calls of one backend server; it must not be used by several goroutines at once.
type Limiter struct {
	options     Options
	slots       int
	limit       float64
	running     map[Ticket]started
	tenants     map[core.TenantID]*tenant
	waiting     int
	lastTicket  Ticket
	average     float64 // seconds
	fastest     float64 // seconds, 0 before the first sample
	decreasedAt time.Time
	holdUntil   time.Time // the limit does not rise before
	classes     map[core.RouteName]*classTime
	checkedAt   time.Time // of the waiting calls, with AimFirst
	served      [2]int    // greatest concurrency of a served call, in this span and the one before
	servedUntil time.Time // end of this span
}

// started is a running call.
type started struct {
	tenant core.TenantID
	class  core.RouteName
	beside int // calls that ran when it started, itself included
}

// Options configure a Limiter.
type Options struct {
	// TrustSlots keeps the limit at the announced slots. Without it, slow answers and calls that the backend server sheds lower
	// the limit, which takes calls of very different lengths and a backend server with a fault for overload.
	TrustSlots bool
	// AimFirst serves calls that can still be answered by their aim before those that will be late, and refuses a call at once
	// if the calls before it leave it no time (see aim.go).
	AimFirst bool
}

// New returns a limiter that starts at the announced number of slots; slots below 1 count as 1.
func New(slots int) *Limiter {
	return NewWith(slots, Options{})
}

// NewWith is New with options.
func NewWith(slots int, options Options) *Limiter {
	slots = max(slots, 1)
	return &Limiter{
		options: options,
		slots:   slots,
		limit:   float64(slots),
		running: make(map[Ticket]started),
		classes: make(map[core.RouteName]*classTime),
		tenants: make(map[core.TenantID]*tenant),
	}
}

// Resize follows a new announcement of slots.
func (l *Limiter) Resize(now time.Time, slots int) Change {
	if slots = max(slots, 1); slots != l.slots {
		l.slots = slots
		l.limit = float64(slots)
	}
	return l.dispatch(now)
}

// Limit returns the present limit of running calls.
func (l *Limiter) Limit() int {
	return max(1, int(l.limit))
}

// Load describes the running and waiting calls, and how long calls of a class usually take.
func (l *Limiter) Load(class core.RouteName) core.Load {
	return core.Load{
		Running:          len(l.running),
		Waiting:          l.waiting,
		Limit:            l.Limit(),
		ServiceTime:      time.Duration(l.average * float64(time.Second)),
		RouteServiceTime: time.Duration(l.serviceOf(class) * float64(time.Second)),
	}
}

// Running returns the number of running calls.
func (l *Limiter) Running() int {
	return len(l.running)
}

// Waiting returns the number of waiting calls.
func (l *Limiter) Waiting() int {
	return l.waiting
}

// Arrive adds a call; it is in Start, in Shed, or waits.
func (l *Limiter) Arrive(now time.Time, request Request) (Ticket, Change) {
	l.lastTicket++
	added := entry{
		ticket:  l.lastTicket,
		request: request,
	}
	if l.hopeless(now, request) || l.options.AimFirst && l.crowdedOut(now, added) {
		return added.ticket, Change{
			Shed: []Shed{{Ticket: added.ticket, Cause: core.CauseDeadline}},
		}
	}
	if request.NoWait && (l.waiting > 0 || len(l.running) >= l.Limit()) {
		return added.ticket, Change{
			Shed: []Shed{{Ticket: added.ticket, Cause: core.CauseQueueFull}},
		}
	}
	l.tenant(request.Tenant).insert(added)
	l.waiting++
	change := l.dispatch(now)
	if l.waiting > l.slots*waitingPerSlot {
		change.Shed = append(change.Shed, l.shedOne(added))
	}
	return added.ticket, change
}

// Finish ends a started call.
func (l *Limiter) Finish(now time.Time, ticket Ticket, result Result) Change {
	ended, exists := l.running[ticket]
	if !exists {
		return Change{}
	}
	name := ended.tenant
	full := len(l.running) >= l.Limit()
	delete(l.running, ticket)
	l.tenants[name].running--
	l.forgetIdle(name)
	l.adapt(now, result, ended.beside, full)
	if !result.Failed && !result.Overloaded {
		l.observeClass(ended.class, result.Latency)
	}
	return l.dispatch(now)
}

// Cancel removes a waiting call and returns false if it is not waiting, so that it can no longer be called "not run".
func (l *Limiter) Cancel(ticket Ticket) bool {
	for name, t := range l.tenants {
		if t.remove(ticket) {
			l.waiting--
			l.forgetIdle(name)
			return true
		}
	}
	return false
}

// Expire sheds the waiting calls that can no longer meet their deadlines.
func (l *Limiter) Expire(now time.Time) Change {
	var change Change
	crowded := l.crowdedOutNow(now)
	for name, t := range l.tenants {
		late, kept := lo.FilterReject(t.waiting, func(e entry, _ int) bool { return crowded[e.ticket] || l.hopeless(now, e.request) })
		t.waiting = kept
		l.waiting -= len(late)
		for _, e := range late {
			change.Shed = append(change.Shed, Shed{Ticket: e.ticket, Cause: core.CauseDeadline})
		}
		l.forgetIdle(name)
	}
	sort.Slice(change.Shed, func(i, j int) bool { return change.Shed[i].Ticket < change.Shed[j].Ticket })
	return change
}

// hopeless reports whether not even an uncongested run would meet the deadline.
func (l *Limiter) hopeless(now time.Time, request Request) bool {
	if !request.StartBy.IsZero() && now.After(request.StartBy) {
		return true
	}
	left := request.Deadline.Sub(now)
	if l.options.AimFirst {
		return left <= 0 || left.Seconds() < hopelessPart*l.serviceOf(request.Class)
	}
	return left <= 0 || left.Seconds() < l.fastest
}

// dispatch starts waiting calls while there is room, for the tenant with the fewest running calls first.
func (l *Limiter) dispatch(now time.Time) Change {
	var change Change
	for len(l.running) < l.Limit() && l.waiting > 0 {
		name, t := l.neediest()
		next := t.take(l.nextOf(now, t))
		l.waiting--
		if l.hopeless(now, next.request) {
			change.Shed = append(change.Shed, Shed{Ticket: next.ticket, Cause: core.CauseDeadline})
			l.forgetIdle(name)
			continue
		}
		t.running++
		l.running[next.ticket] = started{
			tenant: name,
			class:  next.request.Class,
			beside: len(l.running) + 1,
		}
		change.Start = append(change.Start, next.ticket)
	}
	return change
}

// neediest returns the tenant with waiting calls that has the fewest running ones, then the best waiting call.
func (l *Limiter) neediest() (core.TenantID, *tenant) {
	var bestName core.TenantID
	var best *tenant
	for name, t := range l.tenants {
		if len(t.waiting) == 0 {
			continue
		}
		if best == nil || t.running < best.running || t.running == best.running && before(t.waiting[0], best.waiting[0]) {
			bestName, best = name, t
		}
	}
	return bestName, best
}

// shedOne makes room in a full queue at the cost of the tenant that has the most waiting calls.
func (l *Limiter) shedOne(added entry) Shed {
	name := added.request.Tenant
	for other, t := range l.tenants {
		longer := len(t.waiting) - len(l.tenants[name].waiting)
		if longer > 0 || longer == 0 && name != added.request.Tenant && other < name {
			name = other
		}
	}
	t := l.tenants[name]
	worst := t.waiting[len(t.waiting)-1]
	t.waiting = t.waiting[:len(t.waiting)-1]
	l.waiting--
	cause := core.CauseQueueFull
	if len(l.tenants) > 1 {
		cause = core.CauseTenantShare
	}
	l.forgetIdle(name)
	return Shed{
		Ticket: worst.ticket,
		Cause:  cause,
	}
}

// adapt lowers the limit in proportion on overload and raises it by about one for each round of a full limit.
func (l *Limiter) adapt(now time.Time, result Result, beside int, full bool) {
	l.advanceServed(now)
	if result.Overloaded {
		if !l.options.TrustSlots { // else it had a slot, so that its load is not the reason
			l.shed(now, beside)
		}
		return
	}
	if result.Failed {
		return
	}
	l.served[0] = max(l.served[0], beside)
	latency := result.Latency.Seconds()
	if l.fastest == 0 {
		l.fastest, l.average = latency, latency
	}
	l.fastest = min(l.fastest*fastestDecay, latency)
	l.average += (latency - l.average) * latencyWeight
	if !l.options.TrustSlots && l.average > overloadRatio*l.fastest && full {
		l.decrease(now)
		return
	}
	if full && !now.Before(l.holdUntil) {
		l.limit = min(l.limit+1/l.limit, float64(l.slots))
	}
}

// shed follows a call that the backend server shed. If no call was served at such a concurrency lately, the limit falls at
// once to the calls that ran beside it or to the greatest concurrency that was served. Otherwise the answer says little
// about concurrency (a broken dependency also answers 503), and the limit falls in proportion as for slow answers.
func (l *Limiter) shed(now time.Time, beside int) {
	possible := max(l.served[0], l.served[1])
	if beside <= max(possible, 1) {
		l.decrease(now)
		return
	}
	l.limit = max(1, min(l.limit, float64(max(possible, beside-1))))
	l.holdUntil = now.Add(shedPause)
}

func (l *Limiter) advanceServed(now time.Time) {
	if now.Before(l.servedUntil) {
		return
	}
	l.served[1] = l.served[0]
	if !now.Before(l.servedUntil.Add(servedSpan)) {
		l.served[1] = 0
	}
	l.served[0] = 0
	l.servedUntil = now.Add(servedSpan)
}

func (l *Limiter) decrease(now time.Time) {
	if now.Sub(l.decreasedAt) < decreasePause {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, l.limit*decreaseFactor)
}

func (l *Limiter) tenant(name core.TenantID) *tenant {
	t, exists := l.tenants[name]
	if !exists {
		t = &tenant{}
		l.tenants[name] = t
	}
	return t
}

func (l *Limiter) forgetIdle(name core.TenantID) {
	if t := l.tenants[name]; t != nil && t.running == 0 && len(t.waiting) == 0 {
		delete(l.tenants, name)
	}
}

func (t *tenant) insert(added entry) {
	at := len(t.waiting)
	for at > 0 && before(added, t.waiting[at-1]) {
		at--
	}
	t.waiting = append(t.waiting, entry{})
	copy(t.waiting[at+1:], t.waiting[at:])
	t.waiting[at] = added
}

// take removes the entry at a position.
func (t *tenant) take(at int) entry {
	taken := t.waiting[at]
	t.waiting = append(t.waiting[:at:at], t.waiting[at+1:]...)
	return taken
}

func (t *tenant) remove(ticket Ticket) bool {
	for i, e := range t.waiting {
		if e.ticket == ticket {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func before(a, b entry) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.ticket < b.ticket
}
