package limiter

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/cost"
)

// The rules of this file are made for overloads that last seconds to minutes, caused by a burst, a loss of backend servers or
// callers that retry at once. In order of arrival or of deadlines, every call then gets its slot only after its soft deadline
// has passed. Calls that can still meet their soft deadline therefore go first, and calls that would miss even their deadline
// behind them are refused early, while there is time to try another backend server.

const (
	// minServiceTimeRatio is the part of the average service time that must be left until a call's deadline. It is below 1
	// because calls of one route differ in length.
	minServiceTimeRatio = 0.8
	// onTimeServiceTimeRatio is the multiple of the average service time that must be left until a call's soft deadline for the
	// call to count as on time.
	onTimeServiceTimeRatio = 1.25
	// lifoQueueRatio is the number of waiting on-time calls per slot above which they are served last in, first out. In order of
	// their soft deadlines, the oldest calls would start with too little time, one after another, and all would be late.
	lifoQueueRatio = 0.5
	// saturatedQueueRatio is the number of waiting on-time calls per slot above which all other calls are refused. While more
	// on-time calls arrive, the others would only wait until their deadlines.
	saturatedQueueRatio = 1.0
	// shortServiceTimeRatio is the ratio of the service time of a class to that of the longest class up to which the class is short. The
	// average of all calls is no measure, since most of them may be short.
	shortServiceTimeRatio = 1.0 / 3
	// classLifetime is how long after its latest call a class counts for the longest service time.
	classLifetime = 10 * time.Second
	// queueCheckInterval is the minimum time between searches of the queue for calls that can no longer be served in time.
	queueCheckInterval = 50 * time.Millisecond
	// classSampleWeight is the weight of one sample in the moving average of a class, minClassSamples the number of samples
	// from which on the average is used.
	classSampleWeight = 0.1
	minClassSamples   = 5
	maxClasses        = 1024
)

// classServiceTime is the moving average of the service time of one class of calls.
type classServiceTime struct {
	averageSeconds float64
	samples        int
	observedAt     time.Time     // latest sample
	priority       core.Priority // of the latest call, for load reports
}

func (l *Limiter) observeClassServiceTime(now time.Time, class core.RouteName, latency time.Duration) {
	serviceTime := l.classes[class]
	if serviceTime == nil {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		serviceTime = &classServiceTime{
			averageSeconds: latency.Seconds(),
		}
		l.classes[class] = serviceTime
	}
	serviceTime.samples++
	serviceTime.observedAt = now
	serviceTime.averageSeconds += (latency.Seconds() - serviceTime.averageSeconds) * classSampleWeight
}

// serviceTimeSeconds returns the average service time of a class, or of all calls if the class has too few samples. It is zero
// if nothing is known.
func (l *Limiter) serviceTimeSeconds(class core.RouteName) float64 {
	if serviceTime := l.classes[class]; serviceTime != nil && serviceTime.samples >= minClassSamples {
		return serviceTime.averageSeconds
	}
	return l.averageLatencySeconds
}

// meetsSoftDeadline reports whether a call that starts now is expected to be answered by its soft deadline.
func (l *Limiter) meetsSoftDeadline(now time.Time, r Request) bool {
	return !r.SoftDeadline.IsZero() && r.SoftDeadline.Sub(now).Seconds() >= onTimeServiceTimeRatio*l.serviceTimeSeconds(r.Class)
}

// longestServiceTimeSeconds returns the average service time of the class with the longest one, or zero if none is known.
func (l *Limiter) longestServiceTimeSeconds(now time.Time) float64 {
	if now.Sub(l.longestCheckedAt) < queueCheckInterval {
		return l.longestSeconds
	}
	l.longestSeconds, l.longestCheckedAt = 0, now
	for _, serviceTime := range l.classes {
		if serviceTime.samples >= minClassSamples && now.Sub(serviceTime.observedAt) < classLifetime {
			l.longestSeconds = max(l.longestSeconds, serviceTime.averageSeconds)
		}
	}
	return l.longestSeconds
}

// isShort reports whether calls of a class take much less time than the others. They delay the others little, and many of them are
// parts of calls that hold a slot elsewhere and fail without them (testdata/persistent-overload.pattern of core/callreplay).
func (l *Limiter) isShort(now time.Time, class core.RouteName) bool {
	serviceTime := l.classes[class]
	return l.options.ShortClassesFirst && serviceTime != nil && serviceTime.samples >= minClassSamples &&
		serviceTime.averageSeconds <= shortServiceTimeRatio*l.longestServiceTimeSeconds(now)
}

// latestStart returns the time by which a call must start to meet its soft deadline.
func (l *Limiter) latestStart(r Request) time.Time {
	return r.SoftDeadline.Add(-time.Duration(l.serviceTimeSeconds(r.Class) * float64(time.Second)))
}

// servedBefore reports whether a is served before b. Higher priorities come first, then calls that meet their soft deadline.
// Among the latter, the one that must start first precedes, or with lifo the newest one; LIFO order gives calls of short and of
// long routes the same share of the slots.
func (l *Limiter) servedBefore(now time.Time, lifo bool, a, b entry) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	if short := l.isShort(now, a.request.Class); short != l.isShort(now, b.request.Class) {
		return short
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

// mustShedOnArrival reports whether an arriving call would miss its deadline behind the calls that are served before it.
func (l *Limiter) mustShedOnArrival(now time.Time, added entry) bool {
	if l.isBacklogged(now, l.tenants[added.request.Tenant], saturatedQueueRatio) && l.yieldsToOnTimeCalls(now, added.request) {
		return true
	}
	return l.startsTooLate(now, l.forecast(now), added.request, l.countAhead(now, added))
}

// yieldsToOnTimeCalls reports whether a call will be late and is not served before the on-time calls.
func (l *Limiter) yieldsToOnTimeCalls(now time.Time, r Request) bool {
	return !l.meetsSoftDeadline(now, r) && !l.isShort(now, r.Class)
}

// startsTooLate reports whether a call with the given calls ahead would get its slot too late for its deadline. The forecast is nil
// without LearnCosts, or while nothing is known.
func (l *Limiter) startsTooLate(now time.Time, forecast *cost.Forecast, r Request, ahead backlog) bool {
	if len(l.running) < l.Limit() {
		return false
	}
	if forecast != nil {
		return l.missesDeadline(now.Add(forecast.FreeIn(ahead.calls, ahead.work)), r)
	}
	wait := float64(ahead.calls+1) / float64(l.Limit()) * l.averageLatencySeconds
	return l.missesDeadline(now.Add(time.Duration(wait*float64(time.Second))), r)
}

// collectUnservable returns the waiting calls that would miss their deadlines behind calls that arrived after them.
func (l *Limiter) collectUnservable(now time.Time) map[Ticket]bool {
	if !l.options.SoftDeadlineFirst || now.Before(l.queueCheckedAt.Add(queueCheckInterval)) {
		return nil
	}
	l.queueCheckedAt = now
	saturatedFrom := l.backlogThreshold(now, saturatedQueueRatio)
	unservable := make(map[Ticket]bool)
	var ahead backlog
	forecast := l.forecast(now)
	for _, e := range l.servingOrder(now) {
		saturated := l.tenants[e.request.Tenant].isBacklogged(saturatedFrom)
		if saturated && l.yieldsToOnTimeCalls(now, e.request) || l.startsTooLate(now, forecast, e.request, ahead) {
			unservable[e.ticket] = true
		} else {
			ahead.add(e)
		}
	}
	return unservable
}
