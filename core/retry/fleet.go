package retry

import "time"

// fleetWindow is the length of one of the two windows in which the greatest number of nodes is kept. Nodes that restart together
// are missing from the count for some seconds, and the others must not take over their shares meanwhile.
const fleetWindow = 30 * time.Second

// FleetSize estimates the number of nodes that share a budget from counts that may be too low for a while: it follows a growing
// fleet at once and a shrinking one after 30 s to 60 s. It answers restarts of most of a fleet at once. The zero value knows no nodes.
type FleetSize struct {
	greatest  [2]int // of the current and the previous window
	windowEnd time.Time
}

// Observe records a count; counts below 1 are ignored.
func (f *FleetSize) Observe(now time.Time, nodes int) {
	f.advance(now)
	f.greatest[0] = max(f.greatest[0], nodes)
}

// Nodes returns the estimate, or 0 if there was no count for 60 s.
func (f *FleetSize) Nodes(now time.Time) int {
	f.advance(now)
	return max(f.greatest[0], f.greatest[1])
}

func (f *FleetSize) advance(now time.Time) {
	if now.Before(f.windowEnd) {
		return
	}
	f.greatest[1] = f.greatest[0]
	if !now.Before(f.windowEnd.Add(fleetWindow)) {
		f.greatest[1] = 0
	}
	f.greatest[0], f.windowEnd = 0, now.Add(fleetWindow)
}
