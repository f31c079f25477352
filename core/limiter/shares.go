package limiter

import (
	"math"
	"slices"
	"time"

	"parsleyport/core"
)

// The rules of this file are made for many tenants of which one sends several times its usual rate. Priorities come before shares:
// with 85 tenants, each of which has few calls at a backend server, the tenant with the fewest running calls would otherwise decide
// alone. Short classes come next, since most of their calls are parts of running work and carry the tenant of their service.
// Within a priority and kind, the tenant with the fewest running calls for its weight gets the slot (max-min fairness). An unused
// share is thus used by others at once, and is returned as their calls end.

// weightOf returns the weight of the request's tenant.
func weightOf(r Request) float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// share returns the running calls of a tenant for its weight after it has started the given number of its waiting calls.
func (t *tenant) share(started int) float64 {
	return float64(t.running+started) / t.weight
}

// next returns the tenant and the queue position of the call that gets the next slot. A call must be waiting.
func (l *Limiter) next(now time.Time) (core.TenantID, int) {
	lifoFrom := l.backlogThreshold(now, lifoQueueRatio)
	var bestName core.TenantID
	var best entry
	bestPosition := -1
	for name, t := range l.tenants {
		if len(t.waiting) == 0 {
			continue
		}
		position := l.nextPosition(now, lifoFrom, t)
		candidate := t.waiting[position]
		if bestPosition < 0 || l.tenantServedBefore(now, lifoFrom, candidate, best, t.share(0), l.tenants[bestName].share(0)) {
			bestName, best, bestPosition = name, candidate, position
		}
	}
	return bestName, bestPosition
}

// tenantServedBefore reports whether a is served before b, a call of another tenant. The shares are those of the tenants when the
// calls are next in their queues.
func (l *Limiter) tenantServedBefore(now time.Time, lifoFrom int, a, b entry, shareOfA, shareOfB float64) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	if short := l.isShort(now, a.request.Class); short != l.isShort(now, b.request.Class) {
		return short
	}
	if shareOfA != shareOfB {
		return shareOfA < shareOfB
	}
	if l.options.SoftDeadlineFirst {
		lifo := lifoFrom <= 1
		if before := l.servedBefore(now, lifo, a, b); before != l.servedBefore(now, lifo, b, a) {
			return before
		}
	}
	return precedes(a, b)
}

// nextPosition returns the queue position of the call that gets the tenant's next slot.
func (l *Limiter) nextPosition(now time.Time, lifoFrom int, t *tenant) int {
	best := 0
	if !l.options.SoftDeadlineFirst {
		return best
	}
	lifo := t.isBacklogged(lifoFrom)
	for i := 1; i < len(t.waiting); i++ {
		if l.servedBefore(now, lifo, t.waiting[i], t.waiting[best]) {
			best = i
		}
	}
	return best
}

// backlogThreshold returns the smallest number of waiting on-time calls with which a tenant has a backlog of more than the given
// number of calls per slot. On-time calls of other tenants count up to the tenant's own number only, since the others share the
// slots with it: a burst of one tenant is no backlog of the others.
func (l *Limiter) backlogThreshold(now time.Time, ratio float64) int {
	if !l.options.SoftDeadlineFirst {
		return math.MaxInt
	}
	tenantsWith := l.countWaitingOnTime(now)
	limit, backlog, atLeast := ratio*float64(l.Limit()), 0, 0
	for _, n := range tenantsWith {
		atLeast += n
	}
	for count := 1; count < len(tenantsWith); count++ {
		atLeast -= tenantsWith[count-1]
		backlog += atLeast
		if float64(backlog) > limit {
			return count
		}
	}
	return math.MaxInt
}

// countWaitingOnTime sets the number of waiting on-time calls of each tenant, and returns how many tenants have each number.
func (l *Limiter) countWaitingOnTime(now time.Time) []int {
	tenantsWith := append(l.tenantsWith[:0], 0)
	for _, t := range l.tenants {
		t.onTime = 0
		for _, waiting := range t.waiting {
			if l.meetsSoftDeadline(now, waiting.request) {
				t.onTime++
			}
		}
		for len(tenantsWith) <= t.onTime {
			tenantsWith = append(tenantsWith, 0)
		}
		tenantsWith[t.onTime]++
	}
	l.tenantsWith = tenantsWith
	return tenantsWith
}

// isBacklogged reports whether a tenant, which may be nil, has a backlog by a threshold of backlogThreshold.
func (t *tenant) isBacklogged(threshold int) bool {
	return t != nil && max(t.onTime, 1) >= threshold || t == nil && threshold <= 1
}

func (l *Limiter) isBacklogged(now time.Time, t *tenant, ratio float64) bool {
	return t.isBacklogged(l.backlogThreshold(now, ratio))
}

// countAhead estimates the waiting calls that are served before an arriving one.
func (l *Limiter) countAhead(now time.Time, added entry) backlog {
	lifoFrom := l.backlogThreshold(now, lifoQueueRatio)
	own := l.tenants[added.request.Tenant]
	var ahead backlog
	if own != nil {
		lifo := own.isBacklogged(lifoFrom)
		for _, waiting := range own.waiting {
			if l.servedBefore(now, lifo, waiting, added) {
				ahead.add(waiting)
			}
		}
	} else {
		own = &tenant{}
	}
	share := float64(own.running+ahead.calls) / weightOf(added.request)
	for name, t := range l.tenants {
		if name != added.request.Tenant {
			ahead = ahead.plus(l.countAheadOf(now, lifoFrom, t, added, share))
		}
	}
	return ahead
}

// countAheadOf estimates the waiting calls of another tenant that are served before a call whose tenant has the given share when
// the call is next: all of a higher rank, and those of the same rank that start before their tenant's share is as great.
func (l *Limiter) countAheadOf(now time.Time, lifoFrom int, t *tenant, added entry, share float64) backlog {
	var higher, same backlog
	short := l.isShort(now, added.request.Class)
	for _, waiting := range t.waiting {
		waitingShort := l.isShort(now, waiting.request.Class)
		switch {
		case waiting.request.Priority > added.request.Priority, waiting.request.Priority == added.request.Priority && waitingShort && !short:
			higher.add(waiting)
		case waiting.request.Priority == added.request.Priority && waitingShort == short:
			same.add(waiting)
		}
	}
	before := share*t.weight - float64(t.running+higher.calls)
	if lifoFrom > 1 {
		before = math.Floor(before) + 1 // among equal shares, the call that waits is served first
	}
	return higher.plus(same.first(int(max(math.Ceil(before), 0))))
}

// servingOrder returns the waiting calls in the order in which they will probably be served if no others arrive.
func (l *Limiter) servingOrder(now time.Time) []entry {
	type ranked struct {
		entry
		share float64
	}
	lifoFrom := l.backlogThreshold(now, lifoQueueRatio)
	waiting := make([]ranked, 0, l.waiting)
	for _, t := range l.tenants {
		ofTenant, lifo := slices.Clone(t.waiting), t.isBacklogged(lifoFrom)
		slices.SortFunc(ofTenant, func(a, b entry) int { return order(l.servedBefore(now, lifo, a, b)) })
		for i, e := range ofTenant {
			waiting = append(waiting, ranked{entry: e, share: t.share(i)})
		}
	}
	slices.SortFunc(waiting, func(a, b ranked) int {
		return order(l.tenantServedBefore(now, lifoFrom, a.entry, b.entry, a.share, b.share))
	})
	entries := make([]entry, 0, len(waiting))
	for _, r := range waiting {
		entries = append(entries, r.entry)
	}
	return entries
}

func order(before bool) int {
	if before {
		return -1
	}
	return 1
}
