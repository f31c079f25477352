package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

const (
	// localLoadHalfLife is how fast a report of other nodes' calls loses weight: about the time of a few calls.
	localLoadHalfLife = 500 * time.Millisecond
	// remoteLoadHalfLife is longer: few calls go to another data centre, and each one that finds it full has cost its bytes.
	remoteLoadHalfLife = 10 * time.Second
	// maxSampledMembers are compared of more endpoints than that: all nodes see the same reports, and would all take the best one.
	maxSampledMembers = 6
	// responseTimeExponent makes an endpoint that takes twice as long eight times less likely.
	responseTimeExponent = 3
	// minResponseTime keeps a weight finite.
	minResponseTime = 100 * time.Microsecond
	// slowStartServiceTimeRatio is how many times longer calls are expected to take at a backend server in slow start.
	slowStartServiceTimeRatio = 2.0
	// fullSlowdownRatio is the part by which calls slow each other down at a backend server without a free slot.
	fullSlowdownRatio = 0.5
	// spareCapacityRatio of the slots may be taken at an endpoint that gets calls of other data centres. What is known of it is older than
	// that of endpoints nearby.
	spareCapacityRatio = 0.75
	// defaultServiceTime is assumed where no endpoint of a service has reported how long its calls take.
	defaultServiceTime = 50 * time.Millisecond
)

// reportedLoad is the latest report of an endpoint's node.
type reportedLoad struct {
	core.Load
	reportedAt        time.Time
	outstanding       int // calls of this node in the report
	halfLife          time.Duration
	routeServiceTimes map[core.RouteName]time.Duration // usual times in a slot
}

// maxRoutesPerEndpoint bounds the routes whose times are known of one endpoint.
const maxRoutesPerEndpoint = 256

func (m *member) observeLoad(now time.Time, route core.RouteName, load core.Load, halfLife time.Duration) {
	if load.Limit == 0 {
		return
	}
	routeServiceTimes := m.load.routeServiceTimes
	if routeServiceTimes == nil {
		routeServiceTimes = make(map[core.RouteName]time.Duration)
	}
	if len(routeServiceTimes) >= maxRoutesPerEndpoint {
		clear(routeServiceTimes)
	}
	if load.RouteServiceTime > 0 && route != "" {
		routeServiceTimes[route] = load.RouteServiceTime
	}
	m.load = reportedLoad{
		Load:              load,
		reportedAt:        now,
		outstanding:       m.outstanding,
		halfLife:          halfLife,
		routeServiceTimes: routeServiceTimes,
	}
}

// inFlight estimates the calls at the endpoint: those of this node, and those of others as they were last reported.
func (m *member) inFlight(now time.Time) float64 {
	others := max(0, m.load.Running+m.load.Waiting-m.load.outstanding)
	return float64(m.outstanding) + float64(others)*decay(now.Sub(m.load.reportedAt), m.load.halfLife)
}

func (m *member) slots() float64 {
	if m.load.Limit > 0 {
		return float64(m.load.Limit)
	}
	return float64(max(m.endpoint.Slots, 1))
}

// expectation is when an answer to one more call is expected.
type estimate struct {
	wait        time.Duration // for a slot
	serviceTime time.Duration // in the slot
	utilisation float64       // part of the slots that are taken, this call included
}

// hasSpareCapacity reports whether a call of another data centre takes no other call's place.
func (e estimate) hasSpareCapacity() bool {
	return e.wait == 0 && e.utilisation <= spareCapacityRatio
}

func (e estimate) responseTime() time.Duration { return e.wait + e.serviceTime }

// expect works out the time to an answer. A call waits for its turn among those that exceed the slots, and takes longer at a
// backend server that is nearly full, cold or failing.
func (m *member) estimateResponse(now time.Time, route core.RouteName, fallback time.Duration) estimate {
	serviceTime := m.load.ServiceTime
	if serviceTime == 0 {
		serviceTime = fallback
	}
	routeServiceTime := serviceTime
	if known, exists := m.load.routeServiceTimes[route]; exists {
		routeServiceTime = known
	}
	slots, inFlight := m.slots(), m.inFlight(now)
	utilisation := min(1, (inFlight+1)/slots)
	slowdown := (1 + fullSlowdownRatio*math.Pow(utilisation, 3)) * (1 + failureCostRatio*m.failureRate())
	if now.Before(m.slowStartEnd) {
		slowdown *= slowStartServiceTimeRatio
	}
	return estimate{
		wait:        time.Duration(max(0, inFlight+1-slots) / slots * float64(serviceTime)),
		serviceTime: time.Duration(float64(routeServiceTime) * slowdown),
		utilisation: utilisation,
	}
}

// expected answers three load patterns: a data centre with free slots, whose calls stay there since links between data centres
// are dear; one that is full, whose calls go elsewhere if they would be late at home and there are free slots elsewhere; and an
// overload everywhere, in which calls stay at home, since elsewhere they would only take the place of others.
func (b *Balancer) choosePreferringLocal(now time.Time, request core.PickRequest, usable []*member) *member {
	fallback := averageServiceTime(usable)
	local, remote := lo.FilterReject(usable, func(m *member, _ int) bool {
		return m.endpoint.DataCentre == b.options.DataCentre
	})
	softDeadline := request.SoftDeadline
	if softDeadline.IsZero() || now.After(softDeadline) {
		softDeadline = request.Deadline
	}
	onTime := func(e estimate) bool { return softDeadline.IsZero() || !now.Add(e.responseTime()).After(softDeadline) }
	localChoice, localEstimate := b.sampleByResponseTime(now, request.Route, local, fallback, onTime)
	if localChoice != nil && onTime(localEstimate) {
		return localChoice
	}
	remoteChoice, remoteEstimate := b.sampleByResponseTime(now, request.Route, remote, fallback, onTime)
	switch {
	case localChoice == nil && request.CapacityRefused && !remoteEstimate.hasSpareCapacity():
		return nil
	case localChoice == nil:
		return remoteChoice
	case remoteChoice != nil && remoteEstimate.hasSpareCapacity() && onTime(remoteEstimate):
		return remoteChoice
	}
	return localChoice
}

// soonest draws one of a few members, the more likely the sooner its answer is expected. Without chance, all nodes would see the
// same reports and take the same endpoint, and one that is a little slower would get no calls until the others are full.
// If the drawn one would be late, the best of them takes its place.
func (b *Balancer) sampleByResponseTime(now time.Time, route core.RouteName, members []*member, fallback time.Duration, onTime func(estimate) bool) (*member, estimate) {
	if len(members) == 0 {
		return nil, estimate{}
	}
	if len(members) > maxSampledMembers {
		members = b.sample(members, maxSampledMembers)
	}
	estimates := make([]estimate, len(members))
	weights, sum := make([]float64, len(members)), 0.0
	for i, m := range members {
		estimates[i] = m.estimateResponse(now, route, fallback)
		weights[i] = math.Pow(1/max(estimates[i].responseTime().Seconds(), minResponseTime.Seconds()), responseTimeExponent)
		sum += weights[i]
	}
	drawn := len(members) - 1
	point := b.random.Float64() * sum
	for i, weight := range weights[:drawn] {
		if point -= weight; point < 0 {
			drawn = i
			break
		}
	}
	if !onTime(estimates[drawn]) {
		drawn = slices.Index(weights, slices.Max(weights))
	}
	return members[drawn], estimates[drawn]
}

func (b *Balancer) sample(members []*member, n int) []*member {
	drawn := make([]*member, 0, n)
	for _, i := range b.random.Perm(len(members))[:n] {
		drawn = append(drawn, members[i])
	}
	return drawn
}

// averageServiceTime is the average of what the endpoints have reported.
func averageServiceTime(members []*member) time.Duration {
	known := lo.Filter(members, func(m *member, _ int) bool { return m.load.ServiceTime > 0 })
	if len(known) == 0 {
		return defaultServiceTime
	}
	return lo.SumBy(known, func(m *member) time.Duration { return m.load.ServiceTime }) / time.Duration(len(known))
}
