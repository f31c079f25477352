package stuck

import (
	"cmp"
	"slices"
	"time"

	"parsleyport/core"
	"parsleyport/core/cost"
)

// The rule of this package is made for backend servers that never answer a call that they had no room for, nor later calls on its
// connection. Such a call holds its slot and its caller until its deadline, although another endpoint could serve it. Calls that work for
// long are overtaken in the same way, so that only another answer shows that a call is not needed any more.

const (
	// minLaterCalls is the number of calls that began after a call and were completed before it is reported. Each alone may have
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

// Finding is a call that looks stuck, and why.
type Finding struct {
	ID ID
	// Later is the number of calls that began after it and were completed.
	Later int
	// Ran is the time since it was sent.
	Ran time.Duration
	// Usual and Longest are the times that half of the known runs and one run in 100 exceed.
	Usual, Longest time.Duration
	// KnownRuns is the number of runs that these times are taken from, each by its present weight.
	KnownRuns float64
}

// Detector finds the calls of one backend server that look stuck. It is not safe for concurrent use.
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

// Begin adds a call that was sent to the backend server. Calls that must not be repeated are never reported, since no second attempt could
// replace them.
func (d *Detector) Begin(now time.Time, route core.RouteName, repeatable bool) ID {
	d.lastID++
	d.calls[d.lastID] = &call{
		route:      route,
		startedAt:  now,
		repeatable: repeatable,
	}
	return d.lastID
}

// Answered notes that the answer to a call has begun.
func (d *Detector) Answered(id ID) {
	if c := d.calls[id]; c != nil {
		c.answered = true
	}
}

// Abandon removes a call that ended without a complete answer.
func (d *Detector) Abandon(id ID) { delete(d.calls, id) }

// Complete removes a call that was served completely, and returns the calls that look stuck after it, each once.
func (d *Detector) Complete(now time.Time, id ID) []Finding {
	completed := d.calls[id]
	if completed == nil {
		return nil
	}
	delete(d.calls, id)
	ran := now.Sub(completed.startedAt)
	usual := ran >= d.work(now, completed.route).Quantile(usualPart)
	d.runs.Observe(now, cost.Class{Route: completed.route}, ran, 1)
	if !usual {
		return nil
	}
	var stuck []Finding
	for id, c := range d.calls {
		if c.answered || !completed.startedAt.After(c.startedAt) {
			continue
		}
		c.later++
		if finding, isStuck := d.judge(now, id, c); isStuck {
			c.reported = true
			stuck = append(stuck, finding)
		}
	}
	slices.SortFunc(stuck, func(a, b Finding) int { return cmp.Compare(a.ID, b.ID) })
	return stuck
}

func (d *Detector) judge(now time.Time, id ID, c *call) (Finding, bool) {
	if !c.repeatable || c.reported || c.later < minLaterCalls {
		return Finding{}, false
	}
	work := d.work(now, c.route)
	finding := Finding{
		ID:        id,
		Later:     c.later,
		Ran:       now.Sub(c.startedAt),
		Usual:     work.Quantile(usualPart),
		Longest:   work.Quantile(longestPart),
		KnownRuns: work.Samples(),
	}
	return finding, finding.Longest > 0 && finding.Ran > longestRatio*finding.Longest
}

// work returns the distribution of the runs of a route.
func (d *Detector) work(now time.Time, route core.RouteName) cost.Work {
	return d.runs.Work(now, cost.Class{Route: route})
}
