package cost

import "time"

// Running is a call that holds a slot.
type Running struct {
	Work Work
	Ran  time.Duration
}

const (
	// firstStep and stepRatio are the steps in which the time until the first running call ends is integrated.
	firstStep = 2 * time.Millisecond
	stepRatio = 1.25
	maxSteps  = 40
	// minSurvival ends the integration: it adds less than a hundredth from there on.
	minSurvival = 0.01
	// slowSlotRatio is the multiple of the mean work of waiting calls from which on the remainder of a running call makes its slot
	// count for less: a slot whose call may hang serves no others meanwhile.
	slowSlotRatio = 2.0
)

// Forecast is the expected time until slots become free. The mean time of all calls, over the slots, is wrong in both directions where
// short and long calls run side by side.
type Forecast struct {
	free       int           // slots that are free now
	firstEnd   time.Duration // expected time until a slot is free
	remainders []time.Duration
}

// NewForecast returns the forecast for slots with running calls.
func NewForecast(running []Running, slots int) Forecast {
	f := Forecast{
		free:       max(slots-len(running), 0),
		remainders: make([]time.Duration, 0, len(running)),
	}
	if f.free == 0 {
		f.firstEnd = firstEnd(running)
	}
	for _, r := range running {
		f.remainders = append(f.remainders, r.Work.Remaining(r.Ran))
	}
	return f
}

// FreeIn returns the expected time until a new call gets a slot behind the waiting calls ahead of it, whose work is added up. It is
// the expected time until the first running call ends, and then the work ahead divided by the slots that serve it.
func (f Forecast) FreeIn(ahead int, workAhead time.Duration) time.Duration {
	if ahead == 0 {
		return f.firstEnd
	}
	mean := float64(workAhead) / float64(ahead)
	serving := float64(f.free)
	for _, remaining := range f.remainders {
		serving += min(1, slowSlotRatio*mean/max(float64(remaining), 1))
	}
	return f.firstEnd + time.Duration(float64(workAhead)/max(serving, minServingSlots))
}

// minServingSlots keeps the forecast finite if all calls seem to hang.
const minServingSlots = 0.1

// firstEnd returns the expected time until the first of the running calls ends: the integral of the probability that all still run.
func firstEnd(running []Running) time.Duration {
	at, step, survival := time.Duration(0), firstStep, 1.0
	sum := 0.0
	for range maxSteps {
		next := 1.0
		for _, r := range running {
			next *= r.Work.Exceeds(r.Ran, at+step)
		}
		sum += float64(step) * (survival + next) / 2
		at += step
		survival = next
		if survival < minSurvival {
			break
		}
		step = time.Duration(float64(step) * stepRatio)
	}
	return time.Duration(sum)
}
