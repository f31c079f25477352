package limiter

import (
	"slices"
	"time"

	"parsleyport/core"
)

// The load pattern behind the rules of this file is an overload of seconds to minutes, as a burst, the loss of backend servers
// or callers that repeat at once. Served in order of arrival or of deadlines, every call then gets its slot after the time at
// which its answer is of full use. So calls that can still be in time go first, and calls that cannot even meet their
// deadlines behind the others are refused while there is time to try elsewhere.

const (
	// hopelessPart of the usual time is the least that a call needs to be started: calls of one route differ in length.
	hopelessPart = 0.8
	// inTimePart of the usual time has to be left until the aim of a call that can still be in time.
	inTimePart = 1.25
	// lifoPart of the slots may be waited for by calls that can be in time before the newest of them go first: the oldest ones
	// would start with too little time, one after the other, and all would be late.
	lifoPart = 0.5
	// crowdedPart of the slots may be waited for by calls that can be in time before all others are refused: as long as more
	// such calls come, the others would be held until their deadlines.
	crowdedPart = 1.0
	// crowdedEvery is how often the waiting calls are looked at for those that later, more important ones leave no time.
	crowdedEvery = 50 * time.Millisecond
	// classWeight is the weight of one sample in the usual time of a class, and classSamples how many it needs.
	classWeight  = 0.1
	classSamples = 5
	maxClasses   = 1024
)

// classTime is the usual time in a slot of a class of calls, in seconds.
type classTime struct {
	average float64
	samples int
}

func (l *Limiter) observeClass(class core.RouteName, latency time.Duration) {
	known := l.classes[class]
	if known == nil {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		known = &classTime{
			average: latency.Seconds(),
		}
		l.classes[class] = known
	}
	known.samples++
	known.average += (latency.Seconds() - known.average) * classWeight
}

// serviceOf returns the usual time in seconds, zero if nothing is known.
func (l *Limiter) serviceOf(class core.RouteName) float64 {
	if known := l.classes[class]; known != nil && known.samples >= classSamples {
		return known.average
	}
	return l.average
}

// inTime reports whether a call that starts now can be expected to be answered by its aim.
func (l *Limiter) inTime(now time.Time, r Request) bool {
	return !r.Aim.IsZero() && r.Aim.Sub(now).Seconds() >= inTimePart*l.serviceOf(r.Class)
}

// latestStart is when a call has to start to be answered by its aim.
func (l *Limiter) latestStart(r Request) time.Time {
	return r.Aim.Add(-time.Duration(l.serviceOf(r.Class) * float64(time.Second)))
}

// sooner orders calls: more important ones, those that can be in time, and of these the ones with the least time to spare or,
// with newest, the newest ones; calls of short and long routes get the same part of the slots then.
func (l *Limiter) sooner(now time.Time, newest bool, a, b entry) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	inTime := l.inTime(now, a.request)
	if inTime != l.inTime(now, b.request) {
		return inTime
	}
	switch {
	case inTime && newest:
		return a.ticket > b.ticket
	case inTime:
		return l.latestStart(a.request).Before(l.latestStart(b.request))
	}
	return before(a, b)
}

// nextOf returns the position of the call that a tenant's next slot goes to.
func (l *Limiter) nextOf(now time.Time, t *tenant) int {
	best := 0
	if !l.options.AimFirst {
		return best
	}
	newest := l.newestFirst(now)
	for i := 1; i < len(t.waiting); i++ {
		if l.sooner(now, newest, t.waiting[i], t.waiting[best]) {
			best = i
		}
	}
	return best
}

// newestFirst reports whether more calls wait that can be in time than will be.
func (l *Limiter) newestFirst(now time.Time) bool {
	return float64(l.waitingInTime(now)) > lifoPart*float64(l.Limit())
}

func (l *Limiter) waitingInTime(now time.Time) int {
	inTime := 0
	for _, t := range l.tenants {
		for _, waiting := range t.waiting {
			if l.inTime(now, waiting.request) {
				inTime++
			}
		}
	}
	return inTime
}

// crowdedOut reports whether the calls that would be served before an arriving one leave it no time.
func (l *Limiter) crowdedOut(now time.Time, added entry) bool {
	if l.isCrowded(now) && !l.inTime(now, added.request) {
		return true
	}
	ahead, newest := 0, l.newestFirst(now)
	for _, t := range l.tenants {
		for _, waiting := range t.waiting {
			if l.sooner(now, newest, waiting, added) {
				ahead++
			}
		}
	}
	return l.startsTooLate(now, added.request, ahead)
}

// isCrowded reports whether calls that can be in time are enough for all slots.
func (l *Limiter) isCrowded(now time.Time) bool {
	return float64(l.waitingInTime(now)) > crowdedPart*float64(l.Limit())
}

// startsTooLate reports whether a call with so many others ahead is hopeless by the time it gets its slot.
func (l *Limiter) startsTooLate(now time.Time, r Request, ahead int) bool {
	if len(l.running) < l.Limit() {
		return false
	}
	wait := float64(ahead+1) / float64(l.Limit()) * l.average
	return l.hopeless(now.Add(time.Duration(wait*float64(time.Second))), r)
}

// crowdedOutNow returns the waiting calls that the others have come to leave no time.
func (l *Limiter) crowdedOutNow(now time.Time) map[Ticket]bool {
	if !l.options.AimFirst || now.Before(l.checkedAt.Add(crowdedEvery)) {
		return nil
	}
	l.checkedAt = now
	waiting := make([]entry, 0, l.waiting)
	for _, t := range l.tenants {
		waiting = append(waiting, t.waiting...)
	}
	newest := l.newestFirst(now)
	slices.SortFunc(waiting, func(a, b entry) int {
		if l.sooner(now, newest, a, b) {
			return -1
		}
		return 1
	})
	crowded, full := make(map[Ticket]bool), l.isCrowded(now)
	ahead := 0
	for _, e := range waiting {
		if full && !l.inTime(now, e.request) || l.startsTooLate(now, e.request, ahead) {
			crowded[e.ticket] = true
		} else {
			ahead++
		}
	}
	return crowded
}
