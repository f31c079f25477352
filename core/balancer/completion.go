package balancer

import (
	"time"

	"parsleyport/core"
)

// The rules of this file are made for services whose backend servers differ in speed by three times and stall now and then, and whose
// callers are spread over many nodes: a report of one endpoint's load is then about a second old when the next call goes there
// (testdata/unequal-speeds.pattern, stalls.pattern and swinging-demand.pattern of core/callreplay).

const (
	// speedHalfLife is the half-life of the speed of an endpoint. Speeds follow from machines, which stay. Slowness of a second shows
	// in the reported time until a slot is free.
	speedHalfLife = 30 * time.Second
	// waitHalfLife is the half-life of the latest reported time until a slot is free, about the duration of a call. Then the usual
	// one of the endpoint counts, which has usualWaitHalfLife: many nodes send calls there in the meantime.
	waitHalfLife      = 200 * time.Millisecond
	usualWaitHalfLife = 3 * time.Second
	// unusedHalfLife is the half-life of what is known of an endpoint without reports, so that one that was slow or full, or whose
	// reports are lost, is tried again.
	unusedHalfLife = 10 * time.Second
	// routeMeanHalfLife is the half-life of the mean service time of a route over all endpoints.
	routeMeanHalfLife = 10 * time.Second
	// stallRatio is the multiple of its expected completion after which a call in flight makes its endpoint count as stalled, if
	// none has been completed there since it was sent.
	stallRatio = 2.0
	// maxTracked bounds the calls in flight of which the start is kept, for each endpoint.
	maxTracked = 64
	// crossingTimePerKB weighs the bytes of a body that crosses between data centres, as the time that they take on a link of 11
	// Mbit/s. A body of 60 KB costs as much there as twelve answers.
	crossingTimePerKB = 700 * time.Microsecond
	// completionExponent makes an endpoint with twice the expected completion 256 times less likely to be chosen of those that are
	// compared. Always the least one would get the calls of all nodes until their reports state it.
	completionExponent = 8
	// waitWeight is the weight of the time until a slot is free against the work. A call that waits may be overtaken by calls that
	// arrive later, since more than a few waiting calls are served last in, first out. Of weights of 1, 2, 4, 6, 8 and 12, weights
	// from 4 to 8 served most callers in time in replays.
	waitWeight = 6
	// negligibleWaitRatio is the part of the work up to which a wait counts as none, since it is an average of reports.
	negligibleWaitRatio = 0.1
)

// movingMean is a mean of samples that decay with time.
type movingMean struct {
	sum, weight float64
	at          time.Time
}

func (m *movingMean) observe(now time.Time, value float64, halfLife time.Duration) {
	kept := decay(now.Sub(m.at), halfLife)
	m.sum, m.weight, m.at = m.sum*kept+value, m.weight*kept+1, now
}

// mean returns the mean, or the fallback while there are no samples.
func (m *movingMean) mean(fallback float64) float64 {
	if m.weight == 0 {
		return fallback
	}
	return m.sum / m.weight
}

// completion is what PolicyLeastCompletion knows of an endpoint. Its speed, its load at present and stalls are kept apart: one average
// of them would send calls to a stalled endpoint that is usually fast, and none to a usually slow one that is idle.
type completion struct {
	speed      movingMean // service time as a ratio to the mean of all endpoints
	usualWait  movingMean // reported time until a slot is free, in seconds
	latestWait float64
	reportedAt time.Time
	sentAt     []time.Time // of calls in flight
	doneAt     time.Time   // latest end of a call
}

func (c *completion) sent(now time.Time) {
	if len(c.sentAt) < maxTracked {
		c.sentAt = append(c.sentAt, now)
	}
}

// done removes the call in flight that was sent closest to a time.
func (c *completion) done(now, sentAt time.Time) {
	c.doneAt = now
	closest := -1
	for i, at := range c.sentAt {
		if closest < 0 || at.Sub(sentAt).Abs() < c.sentAt[closest].Sub(sentAt).Abs() {
			closest = i
		}
	}
	if closest >= 0 {
		c.sentAt = append(c.sentAt[:closest], c.sentAt[closest+1:]...)
	}
}

// stalledFor returns for how long the oldest call that was sent after the latest end of a call has been in flight.
func (c *completion) stalledFor(now time.Time) time.Duration {
	for _, at := range c.sentAt { // in the order of time
		if at.After(c.doneAt) {
			return now.Sub(at)
		}
	}
	return 0
}

func (b *Balancer) observeCompletion(now time.Time, m *member, result core.PickResult) {
	c := &m.completion
	c.done(now, now.Add(-result.Latency))
	load := result.Load
	if load.Limit == 0 {
		return
	}
	c.reportedAt = now
	c.latestWait = load.FreeIn.Seconds()
	c.usualWait.observe(now, c.latestWait, usualWaitHalfLife)
	if load.RouteServiceTime <= 0 || result.Route == "" {
		return
	}
	routeMean := b.routeMeans[result.Route]
	if routeMean == nil {
		if len(b.routeMeans) >= maxRoutesPerEndpoint {
			clear(b.routeMeans)
		}
		routeMean = &movingMean{}
		b.routeMeans[result.Route] = routeMean
	}
	routeMean.observe(now, load.RouteServiceTime.Seconds(), routeMeanHalfLife)
	c.speed.observe(now, load.RouteServiceTime.Seconds()/routeMean.mean(1), speedHalfLife)
}

// estimateCompletion estimates the completion of one more call: the expected time until a slot is free, and the work by the speed of
// the endpoint.
func (b *Balancer) estimateCompletion(now time.Time, m *member, route core.RouteName, fallback time.Duration) estimate {
	c := &m.completion
	base := fallback.Seconds()
	if routeMean := b.routeMeans[route]; routeMean != nil {
		base = routeMean.mean(base)
	}
	age := now.Sub(c.reportedAt)
	work := base * (1 + (c.speed.mean(1)-1)*decay(age, unusedHalfLife))
	work *= 1 + failureCostRatio*m.failureRate()
	if now.Before(m.slowStartEnd) {
		work *= slowStartServiceTimeRatio
	}
	usual := c.usualWait.mean(0) * decay(age, unusedHalfLife)
	wait := usual + (c.latestWait-usual)*decay(age, waitHalfLife)
	slots, inFlight := m.slots(), m.inFlight(now)
	if sinceReport := float64(m.outstanding - m.load.outstanding); sinceReport > 0 {
		wait += min(sinceReport, max(0, inFlight+1-slots)) * work / slots
	}
	if stalled := c.stalledFor(now).Seconds(); stalled > stallRatio*(wait+work) {
		wait += stalled // the longer it has lasted, the longer it is expected to last
	}
	if wait < negligibleWaitRatio*work {
		wait = 0
	}
	return estimate{
		wait:        time.Duration(wait * waitWeight * float64(time.Second)),
		serviceTime: time.Duration(work * float64(time.Second)),
		utilisation: min(1, (inFlight+1)/slots),
	}
}

// sampleByCompletion chooses one of a few members at random, mostly the one with the least expected completion, which it is in any
// case if the drawn one would be late.
func (b *Balancer) sampleByCompletion(now time.Time, route core.RouteName, members []*member, fallback time.Duration, onTime func(estimate) bool) (*member, estimate) {
	if len(members) == 0 {
		return nil, estimate{}
	}
	if len(members) > maxSampledMembers {
		members = b.sample(members, maxSampledMembers)
	}
	estimates := make([]estimate, len(members))
	for i, m := range members {
		estimates[i] = b.estimateCompletion(now, m, route, fallback)
	}
	drawn := b.drawByResponseTime(estimates, completionExponent, onTime)
	return members[drawn], estimates[drawn]
}

// worthCrossing reports whether a call should go to another data centre although its body uses the links between them.
func (b *Balancer) worthCrossing(request core.PickRequest, local, remote estimate) bool {
	if b.options.Policy != PolicyLeastCompletion {
		return true
	}
	crossing := time.Duration(float64(request.BodyBytes) / 1024 * float64(crossingTimePerKB))
	return remote.responseTime()+crossing < local.responseTime()
}
