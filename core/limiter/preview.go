package limiter

import "time"

// WouldShed reports whether a call that arrives now would be shed at once. Nothing changes.
func (l *Limiter) WouldShed(now time.Time, request Request) bool {
	added := entry{
		ticket:  l.lastTicket + 1,
		request: request,
	}
	return l.missesDeadline(now, request) || l.options.SoftDeadlineFirst && l.mustShedOnArrival(now, added)
}
