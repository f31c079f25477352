package limiter

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

const (
	// maxWaitingPerSlot bounds the queue: a longer one holds only calls whose deadlines most likely pass in it.
	maxWaitingPerSlot = 20
	// decreaseRatio and minDecreaseInterval lower the limit after overload, at most once per pause, so that the answers of
	// calls that began under the old limit are not counted against the new one.
	decreaseRatio       = 0.8
	minDecreaseInterval = 100 * time.Millisecond
	// noIncreaseAfterShed is how long the limit does not rise after it fell to what the backend server can run; each rise above that
	// costs a call that is shed.
	noIncreaseAfterShed = time.Second
	// servedWindow is half the time for which the concurrency of a served call counts as possible. With 1 s instead, the
	// limit stayed for 2 s at what the backend server could run before it lost slots (docs/measurements.md).
	servedWindow = 200 * time.Millisecond
	// overloadLatencyRatio is how many times the uncongested latency counts as overload.
	overloadLatencyRatio = 4.0
	// minLatencyGrowthRatio lets the uncongested latency rise slowly when a backend server has become slower for good.
	minLatencyGrowthRatio = 1.001
	// latencySampleWeight is the weight of one sample in the average latency.
	latencySampleWeight = 0.1
)

// Ticket identifies a call in the limiter.
type Ticket uint64

// Request describes a call that arrives.
type Request struct {
	Tenant       core.TenantID
	Priority     core.Priority
	SoftDeadline time.Time // by which an answer is of full use, zero if not stated
	Deadline     time.Time
	StartBy      time.Time      // after which it is refused unless it has started, zero for its deadline
	NoWait       bool           // it is refused unless it can start at once
	Class        core.RouteName // whose calls take about the same time
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
	options               Options
	slots                 int
	limit                 float64
	running               map[Ticket]runningCall
	tenants               map[core.TenantID]*tenant
	waiting               int
	lastTicket            Ticket
	averageLatencySeconds float64 // seconds
	minLatencySeconds     float64 // seconds, 0 before the first sample
	decreasedAt           time.Time
	noIncreaseBefore      time.Time // the limit does not rise before
	classes               map[core.RouteName]*classServiceTime
	queueCheckedAt        time.Time // of the waiting calls, with SoftDeadlineFirst
	servedConcurrency     [2]int    // greatest concurrency of a served call, in this span and the one before
	servedWindowEnd       time.Time // end of this span
}

// started is a running call.
type runningCall struct {
	tenant      core.TenantID
	class       core.RouteName
	concurrency int // calls that ran when it started, itself included
}

// Options configure a Limiter.
type Options struct {
	// TrustSlots keeps the limit at the announced slots. Without it, slow answers and calls that the backend server sheds lower
	// the limit, which takes calls of very different lengths and a backend server with a fault for overload.
	TrustSlots bool
	// SoftDeadlineFirst serves calls that can still be answered by their aim before those that will be late, and refuses a call at once
	// if the calls before it leave it no time (see aim.go).
	SoftDeadlineFirst bool
}

// New returns a limiter that starts at the announced number of slots; slots below 1 count as 1.
func New(slots int) *Limiter {
	return NewWithOptions(slots, Options{})
}

// NewWithOptions is New with options.
func NewWithOptions(slots int, options Options) *Limiter {
	slots = max(slots, 1)
	return &Limiter{
		options: options,
		slots:   slots,
		limit:   float64(slots),
		running: make(map[Ticket]runningCall),
		classes: make(map[core.RouteName]*classServiceTime),
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
		ServiceTime:      time.Duration(l.averageLatencySeconds * float64(time.Second)),
		RouteServiceTime: time.Duration(l.serviceTimeSeconds(class) * float64(time.Second)),
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
	if l.missesDeadline(now, request) || l.options.SoftDeadlineFirst && l.mustShedOnArrival(now, added) {
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
	if l.waiting > l.slots*maxWaitingPerSlot {
		change.Shed = append(change.Shed, l.shedFromLongestQueue(added))
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
	l.removeIfIdle(name)
	l.adaptLimit(now, result, ended.concurrency, full)
	if !result.Failed && !result.Overloaded {
		l.observeClassServiceTime(ended.class, result.Latency)
	}
	return l.dispatch(now)
}

// Cancel removes a waiting call and returns false if it is not waiting, so that it can no longer be called "not run".
func (l *Limiter) Cancel(ticket Ticket) bool {
	for name, t := range l.tenants {
		if t.remove(ticket) {
			l.waiting--
			l.removeIfIdle(name)
			return true
		}
	}
	return false
}

// Expire sheds the waiting calls that can no longer meet their deadlines.
func (l *Limiter) Expire(now time.Time) Change {
	var change Change
	unservable := l.collectUnservable(now)
	for name, t := range l.tenants {
		expired, kept := lo.FilterReject(t.waiting, func(e entry, _ int) bool { return unservable[e.ticket] || l.missesDeadline(now, e.request) })
		t.waiting = kept
		l.waiting -= len(expired)
		for _, e := range expired {
			change.Shed = append(change.Shed, Shed{Ticket: e.ticket, Cause: core.CauseDeadline})
		}
		l.removeIfIdle(name)
	}
	sort.Slice(change.Shed, func(i, j int) bool { return change.Shed[i].Ticket < change.Shed[j].Ticket })
	return change
}

// hopeless reports whether not even an uncongested run would meet the deadline.
func (l *Limiter) missesDeadline(now time.Time, request Request) bool {
	if !request.StartBy.IsZero() && now.After(request.StartBy) {
		return true
	}
	left := request.Deadline.Sub(now)
	if l.options.SoftDeadlineFirst {
		return left <= 0 || left.Seconds() < minServiceTimeRatio*l.serviceTimeSeconds(request.Class)
	}
	return left <= 0 || left.Seconds() < l.minLatencySeconds
}

// dispatch starts waiting calls while there is room, for the tenant with the fewest running calls first.
func (l *Limiter) dispatch(now time.Time) Change {
	var change Change
	for len(l.running) < l.Limit() && l.waiting > 0 {
		name, t := l.nextTenant()
		next := t.removeAt(l.nextPosition(now, t))
		l.waiting--
		if l.missesDeadline(now, next.request) {
			change.Shed = append(change.Shed, Shed{Ticket: next.ticket, Cause: core.CauseDeadline})
			l.removeIfIdle(name)
			continue
		}
		t.running++
		l.running[next.ticket] = runningCall{
			tenant:      name,
			class:       next.request.Class,
			concurrency: len(l.running) + 1,
		}
		change.Start = append(change.Start, next.ticket)
	}
	return change
}

// neediest returns the tenant with waiting calls that has the fewest running ones, then the best waiting call.
func (l *Limiter) nextTenant() (core.TenantID, *tenant) {
	var bestName core.TenantID
	var best *tenant
	for name, t := range l.tenants {
		if len(t.waiting) == 0 {
			continue
		}
		if best == nil || t.running < best.running || t.running == best.running && precedes(t.waiting[0], best.waiting[0]) {
			bestName, best = name, t
		}
	}
	return bestName, best
}

// shedFromLongestQueue makes room in a full queue at the cost of the tenant that has the most waiting calls.
func (l *Limiter) shedFromLongestQueue(added entry) Shed {
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
	l.removeIfIdle(name)
	return Shed{
		Ticket: worst.ticket,
		Cause:  cause,
	}
}

// adapt lowers the limit in proportion on overload and raises it by about one for each round of a full limit.
func (l *Limiter) adaptLimit(now time.Time, result Result, concurrency int, full bool) {
	l.rotateServedWindows(now)
	if result.Overloaded {
		if !l.options.TrustSlots { // else it had a slot, so that its load is not the reason
			l.lowerAfterShed(now, concurrency)
		}
		return
	}
	if result.Failed {
		return
	}
	l.servedConcurrency[0] = max(l.servedConcurrency[0], concurrency)
	latency := result.Latency.Seconds()
	if l.minLatencySeconds == 0 {
		l.minLatencySeconds, l.averageLatencySeconds = latency, latency
	}
	l.minLatencySeconds = min(l.minLatencySeconds*minLatencyGrowthRatio, latency)
	l.averageLatencySeconds += (latency - l.averageLatencySeconds) * latencySampleWeight
	if !l.options.TrustSlots && l.averageLatencySeconds > overloadLatencyRatio*l.minLatencySeconds && full {
		l.decrease(now)
		return
	}
	if full && !now.Before(l.noIncreaseBefore) {
		l.limit = min(l.limit+1/l.limit, float64(l.slots))
	}
}

// shed follows a call that the backend server shed. If no call was served at such a concurrency lately, the limit falls at
// once to the calls that ran beside it or to the greatest concurrency that was served. Otherwise the answer says little
// about concurrency (a broken dependency also answers 503), and the limit falls in proportion as for slow answers.
func (l *Limiter) lowerAfterShed(now time.Time, concurrency int) {
	served := max(l.servedConcurrency[0], l.servedConcurrency[1])
	if concurrency <= max(served, 1) {
		l.decrease(now)
		return
	}
	l.limit = max(1, min(l.limit, float64(max(served, concurrency-1))))
	l.noIncreaseBefore = now.Add(noIncreaseAfterShed)
}

func (l *Limiter) rotateServedWindows(now time.Time) {
	if now.Before(l.servedWindowEnd) {
		return
	}
	l.servedConcurrency[1] = l.servedConcurrency[0]
	if !now.Before(l.servedWindowEnd.Add(servedWindow)) {
		l.servedConcurrency[1] = 0
	}
	l.servedConcurrency[0] = 0
	l.servedWindowEnd = now.Add(servedWindow)
}

func (l *Limiter) decrease(now time.Time) {
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, l.limit*decreaseRatio)
}

func (l *Limiter) tenant(name core.TenantID) *tenant {
	t, exists := l.tenants[name]
	if !exists {
		t = &tenant{}
		l.tenants[name] = t
	}
	return t
}

func (l *Limiter) removeIfIdle(name core.TenantID) {
	if t := l.tenants[name]; t != nil && t.running == 0 && len(t.waiting) == 0 {
		delete(l.tenants, name)
	}
}

func (t *tenant) insert(added entry) {
	at := len(t.waiting)
	for at > 0 && precedes(added, t.waiting[at-1]) {
		at--
	}
	t.waiting = append(t.waiting, entry{})
	copy(t.waiting[at+1:], t.waiting[at:])
	t.waiting[at] = added
}

// take removes the entry at a position.
func (t *tenant) removeAt(at int) entry {
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

func precedes(a, b entry) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.ticket < b.ticket
}
