package limiter

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/cost"
)

const (
	// maxWaitingPerSlot limits the queue length: most calls at the end of a longer queue would miss their deadlines.
	maxWaitingPerSlot = 20
	// decreaseRatio and minDecreaseInterval control the multiplicative decrease of the limit on overload. The interval keeps
	// answers of calls that started under the old limit from lowering the new one.
	decreaseRatio       = 0.8
	minDecreaseInterval = 100 * time.Millisecond
	// noIncreaseAfterShed is how long the limit stays after it fell to the served concurrency. Each increase above what the
	// backend server can run costs a shed call.
	noIncreaseAfterShed = time.Second
	// servedWindow is the length of one of the two windows in which the greatest served concurrency is kept. With 1 s, the limit
	// stayed for 2 s at its old value after a backend server had lost slots (docs/measurements.md).
	servedWindow = 200 * time.Millisecond
	// overloadLatencyRatio is the ratio of average to minimum latency above which a backend server counts as overloaded.
	overloadLatencyRatio = 4.0
	// minLatencyGrowthRatio raises the minimum latency with each sample, so that it follows a permanent slowdown.
	minLatencyGrowthRatio = 1.001
	// latencySampleWeight is the weight of one sample in the moving average of the latency.
	latencySampleWeight = 0.1
)

// Ticket identifies a call within a limiter.
type Ticket uint64

// Request describes an arriving call.
type Request struct {
	Tenant       core.TenantID
	Weight       float64 // of the tenant against others when they share the slots; 0 means 1
	Priority     core.Priority
	SoftDeadline time.Time // an answer after it counts as late; zero if none is set
	Deadline     time.Time
	StartBy      time.Time      // a call still queued at this time is refused; zero means Deadline
	NoWait       bool           // refuse the call unless it can start at once
	Class        core.RouteName // calls of one class have similar service times
	Cost         *cost.Class    // for the forecast; nil without LearnCosts
}

// Result describes how a started call ended.
type Result struct {
	Latency    time.Duration
	Overloaded bool // the backend server shed the call or said that it is overloaded
	Failed     bool // the latency is ignored, since failures are often fast
}

// Shed is a call that will not be run.
type Shed struct {
	Ticket Ticket
	Cause  core.RefusalCause
}

// Change is the effect of an event: the calls to start and the calls to refuse.
type Change struct {
	Start []Ticket
	Shed  []Shed
}

type entry struct {
	ticket  Ticket
	request Request
	work    time.Duration // expected when it arrived; zero without LearnCosts
}

// tenant holds the running and waiting calls of one tenant. It is removed when it has none.
type tenant struct {
	weight  float64
	running int
	waiting []entry // ordered by priority (highest first), deadline and arrival
	onTime  int     // waiting calls that can meet their soft deadline, set by countWaitingOnTime
}

// Limiter holds the running and waiting calls of one backend server. It is not safe for concurrent use.
type Limiter struct {
	options               Options
	slots                 int
	limit                 float64
	running               map[Ticket]runningCall
	tenants               map[core.TenantID]*tenant
	waiting               int
	tenantsWith           []int           // scratch of countWaitingOnTime
	costs                 *cost.Estimator // nil without LearnCosts
	lastTicket            Ticket
	averageLatencySeconds float64
	minLatencySeconds     float64 // uncongested latency, 0 before the first sample
	decreasedAt           time.Time
	noIncreaseBefore      time.Time
	classes               map[core.RouteName]*classServiceTime
	queueCheckedAt        time.Time // last search of the queue, with SoftDeadlineFirst
	longestSeconds        float64   // longest service time of a class, at longestCheckedAt
	longestCheckedAt      time.Time
	servedConcurrency     [2]int    // greatest concurrency of a served call in the current and the previous window
	servedWindowEnd       time.Time // end of the current window
}

// runningCall is a call that holds a slot.
type runningCall struct {
	tenant      core.TenantID
	class       core.RouteName
	concurrency int // running calls when it started, including itself
	startedAt   time.Time
	cost        *cost.Class
}

// Options configure a Limiter.
type Options struct {
	// TrustSlots keeps the limit at the announced number of slots. Without it, slow answers and shed calls lower the limit, so
	// that calls of very different lengths and a faulty backend server are mistaken for overload.
	TrustSlots bool
	// SoftDeadlineFirst serves calls that can still meet their soft deadline before calls that will be late, and refuses a call
	// at once if it would miss its deadline behind the calls ahead of it (see softdeadline.go).
	SoftDeadlineFirst bool
	// ShortClassesFirst serves, within a priority, calls of classes that take at most a third of the time of the longest class before all
	// others. It needs SoftDeadlineFirst.
	ShortClassesFirst bool
	// LearnCosts learns the work of calls by what distinguishes them, refuses calls by a forecast from it, and reports when a slot
	// is expected to be free (see forecast.go).
	LearnCosts bool
}

// New returns a limiter whose limit starts at the announced number of slots. Values below 1 count as 1.
func New(slots int) *Limiter {
	return NewWithOptions(slots, Options{})
}

// NewWithOptions is like New, with options.
func NewWithOptions(slots int, options Options) *Limiter {
	slots = max(slots, 1)
	var costs *cost.Estimator
	if options.LearnCosts {
		costs = cost.NewEstimator()
	}
	return &Limiter{
		costs:   costs,
		options: options,
		slots:   slots,
		limit:   float64(slots),
		running: make(map[Ticket]runningCall),
		classes: make(map[core.RouteName]*classServiceTime),
		tenants: make(map[core.TenantID]*tenant),
	}
}

// Resize sets the announced number of slots and resets the limit if the number has changed.
func (l *Limiter) Resize(now time.Time, slots int) Change {
	if slots = max(slots, 1); slots != l.slots {
		l.slots = slots
		l.limit = float64(slots)
	}
	return l.dispatch(now)
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() int {
	return max(1, int(l.limit))
}

// Load reports the running and waiting calls, the average service times of all calls and of a class, and, with LearnCosts, the
// expected time until a new call of the class gets a slot.
func (l *Limiter) Load(now time.Time, class core.RouteName) core.Load {
	return core.Load{
		Running:          len(l.running),
		Waiting:          l.waiting,
		Limit:            l.Limit(),
		ServiceTime:      time.Duration(l.averageLatencySeconds * float64(time.Second)),
		RouteServiceTime: time.Duration(l.serviceTimeSeconds(class) * float64(time.Second)),
		FreeIn:           l.freeIn(now, class),
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

// Arrive adds a call. The call is among those to start, among those shed, or waits.
func (l *Limiter) Arrive(now time.Time, request Request) (Ticket, Change) {
	l.lastTicket++
	added := entry{
		ticket:  l.lastTicket,
		request: request,
		work:    l.expectedWork(now, request),
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
	t := l.tenant(request.Tenant)
	t.weight = weightOf(request)
	t.insert(added)
	l.waiting++
	change := l.dispatch(now)
	if l.waiting > l.slots*maxWaitingPerSlot {
		change.Shed = append(change.Shed, l.shedFromFullQueue(added))
	}
	return added.ticket, change
}

// Finish ends a started call and adapts the limit to its result.
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
		l.observeClassServiceTime(now, ended.class, result.Latency)
		l.observeCost(now, ended.cost, result.Latency)
	}
	return l.dispatch(now)
}

// Cancel removes a waiting call. It returns false if the call is not waiting; it may then have run.
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

// missesDeadline reports whether a call would miss its deadline even if it started now, or is past its StartBy.
func (l *Limiter) missesDeadline(now time.Time, request Request) bool {
	if !request.StartBy.IsZero() && now.After(request.StartBy) {
		return true
	}
	remaining := request.Deadline.Sub(now)
	if l.options.SoftDeadlineFirst {
		return remaining <= 0 || remaining.Seconds() < minServiceTimeRatio*l.serviceTimeSeconds(request.Class)
	}
	return remaining <= 0 || remaining.Seconds() < l.minLatencySeconds
}

// dispatch starts waiting calls while slots are free.
func (l *Limiter) dispatch(now time.Time) Change {
	var change Change
	for len(l.running) < l.Limit() && l.waiting > 0 {
		name, position := l.next(now)
		t := l.tenants[name]
		next := t.removeAt(position)
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
			startedAt:   now,
			cost:        next.request.Cost,
		}
		change.Start = append(change.Start, next.ticket)
	}
	return change
}

// shedFromFullQueue removes the last call of the lowest waiting priority. Among the tenants with calls of that priority, the one with
// the most waiting calls loses it: the longest queue alone may hold only calls that matter more than those of other tenants.
func (l *Limiter) shedFromFullQueue(added entry) Shed {
	name := added.request.Tenant
	for other, t := range l.tenants {
		if len(t.waiting) > 0 && l.shedsBefore(added.request.Tenant, other, name) {
			name = other
		}
	}
	t := l.tenants[name]
	last := t.removeAt(len(t.waiting) - 1)
	l.waiting--
	cause := core.CauseQueueFull
	if len(l.tenants) > 1 {
		cause = core.CauseTenantShare
	}
	l.removeIfIdle(name)
	return Shed{
		Ticket: last.ticket,
		Cause:  cause,
	}
}

// shedsBefore reports whether tenant a loses a waiting call before tenant b. The tenant of the arriving call breaks ties.
func (l *Limiter) shedsBefore(arriving, a, b core.TenantID) bool {
	first, second := l.tenants[a], l.tenants[b]
	if len(second.waiting) == 0 {
		return true
	}
	if lowest, other := first.lowestPriority(), second.lowestPriority(); lowest != other {
		return lowest < other
	}
	if len(first.waiting) != len(second.waiting) {
		return len(first.waiting) > len(second.waiting)
	}
	return b != arriving && (a == arriving || a < b)
}

// lowestPriority returns the lowest priority of the waiting calls, of which there must be one.
func (t *tenant) lowestPriority() core.Priority {
	return t.waiting[len(t.waiting)-1].request.Priority
}

// adaptLimit applies additive increase, by about one for each Limit calls that end while all slots of the limit are in use, and
// multiplicative decrease on overload.
func (l *Limiter) adaptLimit(now time.Time, result Result, concurrency int, full bool) {
	l.rotateServedWindows(now)
	if result.Overloaded {
		if !l.options.TrustSlots { // with TrustSlots, the call ran within the slots, so concurrency is not the cause
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

// lowerAfterShed lowers the limit after the backend server has shed a call. If no call was served at such a concurrency
// recently, the limit falls at once to the calls that ran beside the shed one, or to the greatest served concurrency if that is
// greater. Otherwise the answer says little about concurrency (a broken dependency also causes a 503), and the limit falls in
// proportion as for slow answers.
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

// removeAt removes and returns the entry at a position.
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
