package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

const (
	// localLoadHalfLife is the half-life of the reported load of other nodes' calls, about the duration of a few calls.
	localLoadHalfLife = 500 * time.Millisecond
	// remoteLoadHalfLife is longer, because few calls go to another data centre, and each one refused there has used bandwidth.
	remoteLoadHalfLife = 10 * time.Second
	// maxSampledMembers is the number of randomly chosen endpoints that are compared. All nodes see the same reports and would
	// otherwise all choose the best endpoint.
	maxSampledMembers = 6
	// responseTimeExponent makes an endpoint with twice the response time eight times less likely to be chosen.
	responseTimeExponent = 3
	// minResponseTime keeps the weights finite.
	minResponseTime = 100 * time.Microsecond
	// slowStartServiceTimeRatio is the assumed factor by which calls take longer during the slow start of a backend server.
	slowStartServiceTimeRatio = 2.0
	// fullSlowdownRatio is the assumed increase of the service time, as a ratio, at a backend server without a free slot.
	fullSlowdownRatio = 0.5
	// spareCapacityRatio is the utilisation up to which an endpoint takes calls of other data centres. It is below 1 because
	// reports from other data centres are older than local ones.
	spareCapacityRatio = 0.75
	// defaultServiceTime is assumed if no endpoint of a service has reported its service time.
	defaultServiceTime = 50 * time.Millisecond
)

// reportedLoad is the latest load report of an endpoint's node.
type reportedLoad struct {
	core.Load
	reportedAt        time.Time
	outstanding       int // this node's outstanding attempts at the time of the report
	halfLife          time.Duration
	routeServiceTimes map[core.RouteName]time.Duration
}

// maxRoutesPerEndpoint limits the routes for which an endpoint's service time is kept.
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

// inFlight estimates the calls at the endpoint: this node's outstanding attempts, and a decaying count of the reported others.
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

// estimate is the estimated response time of one more call at an endpoint.
type estimate struct {
	wait        time.Duration // queueing time
	serviceTime time.Duration
	utilisation float64 // ratio of the slots in use, including this call
}

// hasSpareCapacity reports whether the endpoint can take a call of another data centre without displacing local calls.
func (e estimate) hasSpareCapacity() bool {
	return e.wait == 0 && e.utilisation <= spareCapacityRatio
}

func (e estimate) responseTime() time.Duration { return e.wait + e.serviceTime }

// estimateResponse estimates the response time of one more call. Calls in excess of the slots are queued; the service time grows
// with the utilisation and the failure rate, and is longer during the slow start. The fallback is the service time of an endpoint
// without a report.
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

// sampler chooses one of the members, nil if there are none, and returns its estimate.
type sampler func(now time.Time, route core.RouteName, members []*member, fallback time.Duration, onTime func(estimate) bool) (*member, estimate)

// choosePreferringLocal implements PolicyExpected and PolicyLeastCompletion, which differ in the sampler. A call stays in the local data centre if it is expected on time there, since
// links between data centres are expensive. Otherwise it goes to another data centre that has spare capacity and where it is
// expected on time. If there is none, the call stays local, because elsewhere it would only displace other calls. Without a usable
// local endpoint, the call goes to another data centre, but after a refusal for lack of capacity only to an endpoint with spare
// capacity.
func (b *Balancer) choosePreferringLocal(now time.Time, request core.PickRequest, usable []*member, sample sampler) *member {
	fallback := averageServiceTime(usable)
	local, remote := lo.FilterReject(usable, func(m *member, _ int) bool {
		return m.endpoint.DataCentre == b.options.DataCentre
	})
	onTime := func(e estimate) bool { return isOnTime(now, request, e) }
	localChoice, localEstimate := sample(now, request.Route, local, fallback, onTime)
	if localChoice != nil && onTime(localEstimate) {
		return localChoice
	}
	remoteChoice, remoteEstimate := sample(now, request.Route, remote, fallback, onTime)
	switch {
	case localChoice == nil && request.CapacityRefused && !remoteEstimate.hasSpareCapacity():
		return nil
	case localChoice == nil:
		return remoteChoice
	case remoteChoice != nil && remoteEstimate.hasSpareCapacity() && onTime(remoteEstimate) && b.worthCrossing(request, localEstimate, remoteEstimate):
		return remoteChoice
	}
	return localChoice
}

// isOnTime reports whether a call is expected to be answered by its soft deadline or, once that has passed, by its deadline.
func isOnTime(now time.Time, request core.PickRequest, e estimate) bool {
	dueBy := request.SoftDeadline
	if dueBy.IsZero() || now.After(dueBy) {
		dueBy = request.Deadline
	}
	return dueBy.IsZero() || !now.Add(e.responseTime()).After(dueBy)
}

// sampleByResponseTime chooses one of a few members at random; members with a lower estimated response time are more likely.
// A deterministic choice would make all nodes, which see the same reports, choose the same endpoint, and a slightly slower endpoint
// would get no calls until the others are full. If the chosen member would be late, the member with the lowest estimate is used.
func (b *Balancer) sampleByResponseTime(now time.Time, route core.RouteName, members []*member, fallback time.Duration, onTime func(estimate) bool) (*member, estimate) {
	if len(members) == 0 {
		return nil, estimate{}
	}
	if len(members) > maxSampledMembers {
		members = b.sample(members, maxSampledMembers)
	}
	estimates := make([]estimate, len(members))
	for i, m := range members {
		estimates[i] = m.estimateResponse(now, route, fallback)
	}
	drawn := b.drawByResponseTime(estimates, responseTimeExponent, onTime)
	return members[drawn], estimates[drawn]
}

// drawByResponseTime draws one of the estimates, with weights that fall with the response time to the power of an exponent.
func (b *Balancer) drawByResponseTime(estimates []estimate, exponent float64, onTime func(estimate) bool) int {
	weights, sum := make([]float64, len(estimates)), 0.0
	for i, e := range estimates {
		weights[i] = math.Pow(1/max(e.responseTime().Seconds(), minResponseTime.Seconds()), exponent)
		sum += weights[i]
	}
	drawn := len(estimates) - 1
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
	return drawn
}

func (b *Balancer) sample(members []*member, n int) []*member {
	drawn := make([]*member, 0, n)
	for _, i := range b.random.Perm(len(members))[:n] {
		drawn = append(drawn, members[i])
	}
	return drawn
}

// averageServiceTime returns the average of the reported service times, or defaultServiceTime if there are none.
func averageServiceTime(members []*member) time.Duration {
	known := lo.Filter(members, func(m *member, _ int) bool { return m.load.ServiceTime > 0 })
	if len(known) == 0 {
		return defaultServiceTime
	}
	return lo.SumBy(known, func(m *member) time.Duration { return m.load.ServiceTime }) / time.Duration(len(known))
}
