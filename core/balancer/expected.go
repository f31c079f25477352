package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

const (
	// loadHalfLife is how fast a report of other nodes' calls loses weight: about the time of a few calls.
	loadHalfLife = 500 * time.Millisecond
	// remoteHalfLife is longer: few calls go to another data centre, and each one that finds it full has cost its bytes.
	remoteHalfLife = 10 * time.Second
	// expectedChoices are compared of more endpoints than that: all nodes see the same reports, and would all take the best one.
	expectedChoices = 6
	// expectedPower makes an endpoint that takes twice as long eight times less likely.
	expectedPower = 3
	// shortestTotal keeps a weight finite.
	shortestTotal = 100 * time.Microsecond
	// coldService is how many times longer calls are expected to take at a backend server in slow start.
	coldService = 2.0
	// fullPenalty is the part by which calls slow each other down at a backend server without a free slot.
	fullPenalty = 0.5
	// roomPart of the slots may be taken at an endpoint that gets calls of other data centres. What is known of it is older than
	// that of endpoints nearby.
	roomPart = 0.75
	// unknownService is assumed where no endpoint of a service has reported how long its calls take.
	unknownService = 50 * time.Millisecond
)

// reportedLoad is the latest report of an endpoint's node.
type reportedLoad struct {
	core.Load
	at          time.Time
	outstanding int // calls of this node in the report
	halfLife    time.Duration
	routes      map[core.RouteName]time.Duration // usual times in a slot
}

// maxRoutes bounds the routes whose times are known of one endpoint.
const maxRoutes = 256

func (m *member) observeLoad(now time.Time, route core.RouteName, load core.Load, halfLife time.Duration) {
	if load.Limit == 0 {
		return
	}
	routes := m.load.routes
	if routes == nil {
		routes = make(map[core.RouteName]time.Duration)
	}
	if len(routes) >= maxRoutes {
		clear(routes)
	}
	if load.RouteServiceTime > 0 && route != "" {
		routes[route] = load.RouteServiceTime
	}
	m.load = reportedLoad{
		Load:        load,
		at:          now,
		outstanding: m.outstanding,
		halfLife:    halfLife,
		routes:      routes,
	}
}

// inFlight estimates the calls at the endpoint: those of this node, and those of others as they were last reported.
func (m *member) inFlight(now time.Time) float64 {
	others := max(0, m.load.Running+m.load.Waiting-m.load.outstanding)
	return float64(m.outstanding) + float64(others)*decay(now.Sub(m.load.at), m.load.halfLife)
}

func (m *member) slots() float64 {
	if m.load.Limit > 0 {
		return float64(m.load.Limit)
	}
	return float64(max(m.endpoint.Slots, 1))
}

// expectation is when an answer to one more call is expected.
type expectation struct {
	wait    time.Duration // for a slot
	service time.Duration // in the slot
	filled  float64       // part of the slots that are taken, this call included
}

// hasRoom reports whether a call of another data centre takes no other call's place.
func (e expectation) hasRoom() bool {
	return e.wait == 0 && e.filled <= roomPart
}

func (e expectation) total() time.Duration { return e.wait + e.service }

// expect works out the time to an answer. A call waits for its turn among those that exceed the slots, and takes longer at a
// backend server that is nearly full, cold or failing.
func (m *member) expect(now time.Time, route core.RouteName, usual time.Duration) expectation {
	service := m.load.ServiceTime
	if service == 0 {
		service = usual
	}
	own := service
	if known, exists := m.load.routes[route]; exists {
		own = known
	}
	slots, before := m.slots(), m.inFlight(now)
	filled := min(1, (before+1)/slots)
	slowed := (1 + fullPenalty*math.Pow(filled, 3)) * (1 + failureCost*m.failureRate())
	if now.Before(m.warmAt) {
		slowed *= coldService
	}
	return expectation{
		wait:    time.Duration(max(0, before+1-slots) / slots * float64(service)),
		service: time.Duration(float64(own) * slowed),
		filled:  filled,
	}
}

// expected answers three load patterns: a data centre with free slots, whose calls stay there since links between data centres
// are dear; one that is full, whose calls go elsewhere if they would be late at home and there are free slots elsewhere; and an
// overload everywhere, in which calls stay at home, since elsewhere they would only take the place of others.
func (b *Balancer) expected(now time.Time, request core.PickRequest, usable []*member) *member {
	usual := usualService(usable)
	local, remote := lo.FilterReject(usable, func(m *member, _ int) bool {
		return m.endpoint.DataCentre == b.options.DataCentre
	})
	aim := request.SoftDeadline
	if aim.IsZero() || now.After(aim) {
		aim = request.Deadline
	}
	inTime := func(e expectation) bool { return aim.IsZero() || !now.Add(e.total()).After(aim) }
	near, nearAt := b.soonest(now, request.Route, local, usual, inTime)
	if near != nil && inTime(nearAt) {
		return near
	}
	far, farAt := b.soonest(now, request.Route, remote, usual, inTime)
	switch {
	case near == nil && request.CapacityRefused && !farAt.hasRoom():
		return nil
	case near == nil:
		return far
	case far != nil && farAt.hasRoom() && inTime(farAt):
		return far
	}
	return near
}

// soonest draws one of a few members, the more likely the sooner its answer is expected. Without chance, all nodes would see the
// same reports and take the same endpoint, and one that is a little slower would get no calls until the others are full.
// If the drawn one would be late, the best of them takes its place.
func (b *Balancer) soonest(now time.Time, route core.RouteName, members []*member, usual time.Duration, inTime func(expectation) bool) (*member, expectation) {
	if len(members) == 0 {
		return nil, expectation{}
	}
	if len(members) > expectedChoices {
		members = b.sample(members, expectedChoices)
	}
	times := make([]expectation, len(members))
	weights, sum := make([]float64, len(members)), 0.0
	for i, m := range members {
		times[i] = m.expect(now, route, usual)
		weights[i] = math.Pow(1/max(times[i].total().Seconds(), shortestTotal.Seconds()), expectedPower)
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
	if !inTime(times[drawn]) {
		drawn = slices.Index(weights, slices.Max(weights))
	}
	return members[drawn], times[drawn]
}

func (b *Balancer) sample(members []*member, n int) []*member {
	drawn := make([]*member, 0, n)
	for _, i := range b.random.Perm(len(members))[:n] {
		drawn = append(drawn, members[i])
	}
	return drawn
}

// usualService is the average of what the endpoints have reported.
func usualService(members []*member) time.Duration {
	known := lo.Filter(members, func(m *member, _ int) bool { return m.load.ServiceTime > 0 })
	if len(known) == 0 {
		return unknownService
	}
	return lo.SumBy(known, func(m *member) time.Duration { return m.load.ServiceTime }) / time.Duration(len(known))
}
