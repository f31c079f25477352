package stuck

import (
	"slices"
	"time"

	"parsleyport/core"
	"parsleyport/core/cost"
)

// The rule of this package is made for backend servers that never answer a call that they had no room for, nor later calls on its
// connection. Such a call holds its slot and its caller until its deadline, although another endpoint could serve it.

const (
	// minLaterCalls is the number of calls that began after a call and were completed before it counts as stuck. Each alone may have
	// overtaken it on a backend server that works on several calls.
	minLaterCalls = 3
	// usualPart is the part of the runs of a route that are shorter than usual. Answers that come faster, such as refusals, do not
	// show that the backend server works.
	usualPart = 0.5
	// longestPart and longestRatio define the time from which on a call has run far longer than its route's known runs: twice the
	// time that one run in 100 exceeds.
	longestPart  = 0.99
	longestRatio = 2
)

// ID identifies a call within a Detector.
type ID uint64

type call struct {
	route      core.RouteName
	startedAt  time.Time
	repeatable bool
	answered   bool // its answer has begun
	reported   bool
	later      int // calls that began after it and were completed
}

// Detector finds the stuck calls of one backend server. It is not safe for concurrent use.
type Detector struct {
	calls  map[ID]*call
	lastID ID
	runs   *cost.Estimator
}

// NewDetector returns a detector that knows no runs.
func NewDetector() *Detector {
	return &Detector{
		calls: make(map[ID]*call),
		runs:  cost.NewEstimator(),
	}
}

// Begin adds a call that was sent to the backend server. Only repeatable calls are ever reported as stuck: others may be running.
func (d *Detector) Begin(now time.Time, route core.RouteName, repeatable bool) ID {
	d.lastID++
	d.calls[d.lastID] = &call{
		route:      route,
		startedAt:  now,
		repeatable: repeatable,
	}
	return d.lastID
}

// Answered notes that the answer to a call has begun. It returns false if the call was reported as stuck before.
func (d *Detector) Answered(id ID) bool {
	c := d.calls[id]
	if c == nil || c.reported {
		return false
	}
	c.answered = true
	return true
}

// Abandon removes a call that ended without a complete answer.
func (d *Detector) Abandon(id ID) { delete(d.calls, id) }

// Complete removes a call that was served completely, and returns the calls that are stuck as it shows, each once.
func (d *Detector) Complete(now time.Time, id ID) []ID {
	completed := d.calls[id]
	if completed == nil {
		return nil
	}
	delete(d.calls, id)
	ran := now.Sub(completed.startedAt)
	usual := ran >= d.quantile(now, completed.route, usualPart)
	d.runs.Observe(now, cost.Class{Route: completed.route}, ran, 1)
	if !usual {
		return nil
	}
	var stuck []ID
	for id, c := range d.calls {
		if c.answered || !completed.startedAt.After(c.startedAt) {
			continue
		}
		c.later++
		if d.isStuck(now, c) {
			c.reported = true
			stuck = append(stuck, id)
		}
	}
	slices.Sort(stuck)
	return stuck
}

func (d *Detector) isStuck(now time.Time, c *call) bool {
	if !c.repeatable || c.reported || c.later < minLaterCalls {
		return false
	}
	longest := d.quantile(now, c.route, longestPart)
	return longest > 0 && now.Sub(c.startedAt) > longestRatio*longest
}

// quantile returns the time that a part of the runs of a route does not exceed, zero if nothing is known of the route.
func (d *Detector) quantile(now time.Time, route core.RouteName, part float64) time.Duration {
	return d.runs.Work(now, cost.Class{Route: route}).Quantile(part)
}
