package quota

import (
	"math"
	"time"
)

const (
	// Lease is how long the units of a holder are valid after it sent the last request that the lender answered.
	Lease = 4 * time.Second
	// ConfirmationValidity is how long a lender may serve after the start of a confirmation that it leads.
	ConfirmationValidity = 500 * time.Millisecond

	// reclaimMargin covers clocks that run at slightly different speeds.
	reclaimMargin = 500 * time.Millisecond
	// takeoverOverlap is how long an earlier lender may serve after the next one has begun. It exceeds ConfirmationValidity.
	takeoverOverlap = time.Second
	// bucketsPerWindow is the resolution with which uses leave the window.
	bucketsPerWindow = 50
	// maxTravel is the time between the admission of a request and its arrival at a backend server that reclaiming allows for.
	maxTravel = time.Second
	maxBound  = 1 << 40
	// lentRatio is the part of the bound that is lent. The rest covers what a new lender, which does not know what was lent, may lend
	// too much (docs/design/quota.md).
	lentRatio = 0.97
)

// Time is one point in time on two clocks. The monotonic clock of a suspended machine stops, while the wall clock may be set.
type Time struct {
	Steady time.Duration // monotonic, since the start of the process
	Wall   time.Duration // since the Unix epoch
}

// Within reports whether less than the period has passed since an earlier time, by both clocks.
func (t Time) Within(period time.Duration, since Time) bool {
	return t.Steady-since.Steady < period && t.Wall-since.Wall < period
}

// Settings define the bound of a tenant: in any Window, at most (rate x Window + burst) x (1 + Overshoot) + Slack requests.
type Settings struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// DefaultSettings returns the settings that apply if none are given.
func DefaultSettings() Settings {
	return Settings{
		Window:    5 * time.Second,
		Overshoot: 0.1,
		Slack:     20,
	}
}

// Bound returns the highest number of requests in any window, or zero for a tenant without a limit.
func (s Settings) Bound(ratePerSecond, burst int64) int {
	if ratePerSecond <= 0 {
		return 0
	}
	bound := (float64(ratePerSecond)*s.Window.Seconds()+float64(burst))*(1+s.Overshoot) + s.Slack
	return int(math.Max(1, math.Min(bound, maxBound)))
}

// Units returns the number of units that are lent for a bound: less than Bound, but enough for a tenant at its rate and burst.
func (s Settings) Units(ratePerSecond, burst int64) int {
	bound := s.Bound(ratePerSecond, burst)
	usual := float64(ratePerSecond)*s.Window.Seconds() + float64(burst)
	return min(bound, max(int(lentRatio*float64(bound)), int(min(usual, maxBound)), min(bound, 1)))
}

func (s Settings) bucket() time.Duration {
	return max(s.Window/bucketsPerWindow, time.Millisecond)
}

// Span is how long after its admission a request may still be in a window at its backend server.
func (s Settings) Span() time.Duration {
	return s.Window + maxTravel
}
