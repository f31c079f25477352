package limiter

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/cost"
)

// The rules of this file are made for calls of very different work side by side, such as orders of 160 ms and the short calls of
// 30 ms that other work makes. With the mean of all calls, long queues of short calls look too long and short queues of long calls
// too short.

// backlog counts waiting calls.
type backlog struct {
	calls int
	work  time.Duration // zero without LearnCosts
}

func (b *backlog) add(e entry) {
	b.calls++
	b.work += e.work
}

func (b backlog) plus(other backlog) backlog {
	return backlog{
		calls: b.calls + other.calls,
		work:  b.work + other.work,
	}
}

// first returns the part of a backlog that is n calls, or all of it if it has fewer.
func (b backlog) first(n int) backlog {
	if n >= b.calls {
		return b
	}
	return backlog{
		calls: n,
		work:  b.work / time.Duration(b.calls) * time.Duration(n),
	}
}

func (l *Limiter) observeCost(now time.Time, class *cost.Class, held time.Duration) {
	if l.costs != nil {
		l.costs.Observe(now, lo.FromPtr(class), held, 1) // all calls run at one backend server
	}
}

// expectedWork returns the expected time in a slot of an arriving call, zero without LearnCosts.
func (l *Limiter) expectedWork(now time.Time, r Request) time.Duration {
	if l.costs == nil {
		return 0
	}
	if class := l.classes[r.Class]; class != nil {
		class.priority = r.Priority
	}
	return l.costs.Work(now, lo.FromPtr(r.Cost)).Mean()
}

// forecast returns when slots are expected to become free, or nil if no costs are known.
func (l *Limiter) forecast(now time.Time) *cost.Forecast {
	if l.costs == nil || !l.costs.Work(now, cost.Class{}).Known() {
		return nil
	}
	running := make([]cost.Running, 0, len(l.running))
	if len(l.running) >= l.Limit() || l.waiting > 0 {
		for _, ticket := range slices.Sorted(maps.Keys(l.running)) {
			call := l.running[ticket]
			running = append(running, cost.Running{
				Work: l.costs.Work(now, lo.FromPtr(call.cost)),
				Ran:  now.Sub(call.startedAt),
			})
		}
	}
	f := cost.NewForecast(running, l.Limit())
	return &f
}

// freeIn returns the expected time until a new call of a class gets a slot, at least 1 us, or zero without a forecast. Calls that
// cannot meet their soft deadline are not ahead of it.
func (l *Limiter) freeIn(now time.Time, class core.RouteName) time.Duration {
	if l.costs == nil {
		return 0
	}
	if len(l.running) < l.Limit() && l.waiting == 0 {
		return time.Microsecond
	}
	forecast := l.forecast(now)
	if forecast == nil {
		return 0
	}
	var ahead backlog
	known, short := l.classes[class], l.isShort(now, class)
	for _, t := range l.tenants {
		for _, e := range t.waiting {
			if known == nil || e.request.Priority > known.priority || e.request.Priority == known.priority && l.waitsAhead(now, e.request, short) {
				ahead.add(e)
			}
		}
	}
	return max(forecast.FreeIn(ahead.calls, ahead.work), time.Microsecond)
}

func (l *Limiter) waitsAhead(now time.Time, r Request, short bool) bool {
	if other := l.isShort(now, r.Class); other != short {
		return other
	}
	return !l.options.SoftDeadlineFirst || l.meetsSoftDeadline(now, r)
}
