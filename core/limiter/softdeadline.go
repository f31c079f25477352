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
	// minServiceTimeRatio of the usual time is the least that a call needs to be started: calls of one route differ in length.
	minServiceTimeRatio = 0.8
	// onTimeServiceTimeRatio of the usual time has to be left until the aim of a call that can still be in time.
	onTimeServiceTimeRatio = 1.25
	// lifoQueueRatio of the slots may be waited for by calls that can be in time before the newest of them go first: the oldest ones
	// would start with too little time, one after the other, and all would be late.
	lifoQueueRatio = 0.5
	// saturatedQueueRatio of the slots may be waited for by calls that can be in time before all others are refused: as long as more
	// such calls come, the others would be held until their deadlines.
	saturatedQueueRatio = 1.0
	// queueCheckInterval is how often the waiting calls are looked at for those that later, more important ones leave no time.
	queueCheckInterval = 50 * time.Millisecond
	// classSampleWeight is the weight of one sample in the usual time of a class, and minClassSamples how many it needs.
	classSampleWeight = 0.1
	minClassSamples   = 5
	maxClasses        = 1024
)

// classServiceTime is the usual time in a slot of a class of calls, in seconds.
type classServiceTime struct {
	averageSeconds float64
	samples        int
}

func (l *Limiter) observeClassServiceTime(class core.RouteName, latency time.Duration) {
	known := l.classes[class]
	if known == nil {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		known = &classServiceTime{
			averageSeconds: latency.Seconds(),
		}
		l.classes[class] = known
	}
	known.samples++
	known.averageSeconds += (latency.Seconds() - known.averageSeconds) * classSampleWeight
}

// serviceTimeSeconds returns the usual time in seconds, zero if nothing is known.
func (l *Limiter) serviceTimeSeconds(class core.RouteName) float64 {
	if known := l.classes[class]; known != nil && known.samples >= minClassSamples {
		return known.averageSeconds
	}
	return l.averageLatencySeconds
}

// meetsSoftDeadline reports whether a call that starts now can be expected to be answered by its aim.
func (l *Limiter) meetsSoftDeadline(now time.Time, r Request) bool {
	return !r.SoftDeadline.IsZero() && r.SoftDeadline.Sub(now).Seconds() >= onTimeServiceTimeRatio*l.serviceTimeSeconds(r.Class)
}

// latestStart is when a call has to start to be answered by its aim.
func (l *Limiter) latestStart(r Request) time.Time {
	return r.SoftDeadline.Add(-time.Duration(l.serviceTimeSeconds(r.Class) * float64(time.Second)))
}

// sooner orders calls: more important ones, those that can be in time, and of these the ones with the least time to spare or,
// with newest, the newest ones; calls of short and long routes get the same part of the slots then.
func (l *Limiter) servedBefore(now time.Time, lifo bool, a, b entry) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	onTime := l.meetsSoftDeadline(now, a.request)
	if onTime != l.meetsSoftDeadline(now, b.request) {
		return onTime
	}
	switch {
	case onTime && lifo:
		return a.ticket > b.ticket
	case onTime:
		return l.latestStart(a.request).Before(l.latestStart(b.request))
	}
	return precedes(a, b)
}

// nextPosition returns the position of the call that a tenant's next slot goes to.
func (l *Limiter) nextPosition(now time.Time, t *tenant) int {
	best := 0
	if !l.options.SoftDeadlineFirst {
		return best
	}
	lifo := l.isLIFO(now)
	for i := 1; i < len(t.waiting); i++ {
		if l.servedBefore(now, lifo, t.waiting[i], t.waiting[best]) {
			best = i
		}
	}
	return best
}

// isLIFO reports whether more calls wait that can be in time than will be.
func (l *Limiter) isLIFO(now time.Time) bool {
	return float64(l.countWaitingOnTime(now)) > lifoQueueRatio*float64(l.Limit())
}

func (l *Limiter) countWaitingOnTime(now time.Time) int {
	onTime := 0
	for _, t := range l.tenants {
		for _, waiting := range t.waiting {
			if l.meetsSoftDeadline(now, waiting.request) {
				onTime++
			}
		}
	}
	return onTime
}

// mustShedOnArrival reports whether the calls that would be served before an arriving one leave it no time.
func (l *Limiter) mustShedOnArrival(now time.Time, added entry) bool {
	if l.isSaturated(now) && !l.meetsSoftDeadline(now, added.request) {
		return true
	}
	ahead, lifo := 0, l.isLIFO(now)
	for _, t := range l.tenants {
		for _, waiting := range t.waiting {
			if l.servedBefore(now, lifo, waiting, added) {
				ahead++
			}
		}
	}
	return l.startsTooLate(now, added.request, ahead)
}

// isSaturated reports whether calls that can be in time are enough for all slots.
func (l *Limiter) isSaturated(now time.Time) bool {
	return float64(l.countWaitingOnTime(now)) > saturatedQueueRatio*float64(l.Limit())
}

// startsTooLate reports whether a call with so many others ahead is hopeless by the time it gets its slot.
func (l *Limiter) startsTooLate(now time.Time, r Request, ahead int) bool {
	if len(l.running) < l.Limit() {
		return false
	}
	wait := float64(ahead+1) / float64(l.Limit()) * l.averageLatencySeconds
	return l.missesDeadline(now.Add(time.Duration(wait*float64(time.Second))), r)
}

// collectUnservable returns the waiting calls that the others have come to leave no time.
func (l *Limiter) collectUnservable(now time.Time) map[Ticket]bool {
	if !l.options.SoftDeadlineFirst || now.Before(l.queueCheckedAt.Add(queueCheckInterval)) {
		return nil
	}
	l.queueCheckedAt = now
	waiting := make([]entry, 0, l.waiting)
	for _, t := range l.tenants {
		waiting = append(waiting, t.waiting...)
	}
	lifo := l.isLIFO(now)
	slices.SortFunc(waiting, func(a, b entry) int {
		if l.servedBefore(now, lifo, a, b) {
			return -1
		}
		return 1
	})
	unservable, saturated := make(map[Ticket]bool), l.isSaturated(now)
	ahead := 0
	for _, e := range waiting {
		if saturated && !l.meetsSoftDeadline(now, e.request) || l.startsTooLate(now, e.request, ahead) {
			unservable[e.ticket] = true
		} else {
			ahead++
		}
	}
	return unservable
}
