package callreplay

import (
	"math"
	"slices"

	"parsleyport/core"
)

// BoundPerMille returns an upper bound of the share of the callers' requests that any rules can have answered in time, per mille. In
// each second, a service runs at most the work for which its slots suffice, in the order of the shortest work, and the bound of the
// pattern is that of its scarcest service. It leaves out that work waits, and that a second's work may run in the next one.
func (p Pattern) BoundPerMille() int {
	asked, served := 0.0, 0.0
	for second := range p.Seconds {
		rate := p.burstAt(second)
		best := math.Inf(1)
		total := 0.0
		for _, route := range p.Routes {
			total += route.PerSecond * rate
		}
		for _, service := range p.Services {
			best = min(best, p.servedWith(service, second, rate))
		}
		asked += total
		served += min(best, total)
	}
	if asked == 0 {
		return 0
	}
	return int(math.Ceil(served / asked * 1000))
}

// servedWith returns the requests of one second that the slots of one service allow.
func (p Pattern) servedWith(service PatternService, second int, rate float64) float64 {
	type demand struct{ perSecond, slotSeconds float64 }
	var demands []demand
	served := 0.0
	for _, route := range p.Routes {
		work := p.slotSeconds(route, service.Name)
		if work == 0 {
			served += route.PerSecond * rate
			continue
		}
		demands = append(demands, demand{
			perSecond:   route.PerSecond * rate,
			slotSeconds: work,
		})
	}
	slices.SortFunc(demands, func(a, b demand) int {
		if a.slotSeconds < b.slotSeconds {
			return -1
		}
		return 1
	})
	free := p.capacityAt(service, second)
	for _, d := range demands {
		fits := min(d.perSecond, free/d.slotSeconds)
		served += fits
		free -= fits * d.slotSeconds
	}
	return served
}

// slotSeconds returns for how long one call of a route holds slots of a service, its own calls included.
func (p Pattern) slotSeconds(route PatternRoute, service core.ServiceName) float64 {
	held := 0.0
	if route.Service == service {
		held = p.duration(route)
	}
	for _, call := range route.Calls {
		held += call.Share * p.slotSeconds(p.route(call.Route), service)
	}
	return held
}

// duration returns the mean time of one call, its own calls included, if nothing waits.
func (p Pattern) duration(route PatternRoute) float64 {
	seconds := route.WorkMS / 1000 * (1 + route.TailShare*(route.TailFactor-1))
	for _, call := range route.Calls {
		seconds += call.Share * p.duration(p.route(call.Route))
	}
	return seconds
}

func (p Pattern) route(name core.RouteName) PatternRoute {
	at := slices.IndexFunc(p.Routes, func(r PatternRoute) bool { return r.Name == name })
	return p.Routes[at]
}

func (p Pattern) burstAt(second int) float64 {
	for _, event := range p.Events {
		switch {
		case !event.coversSecond(second):
		case event.Kind == PatternBurst:
			return event.Value
		case event.Kind == PatternTenantBurst:
			return 1 + (event.Value-1)*p.tenantShares()[event.Tenant-1]
		}
	}
	return 1
}

// tenantShares returns the part of the callers' requests of each tenant.
func (p Pattern) tenantShares() []float64 {
	shares, sum := make([]float64, max(p.Tenants, 1)), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -p.TenantExponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// coversSecond reports whether an event lasts for the whole of a second, so that the bound is never too low.
func (e PatternEvent) coversSecond(second int) bool {
	return float64(second)*1000 >= e.AtMS && float64(second+1)*1000 <= e.AtMS+e.ForMS
}

// capacityAt returns the seconds of work at speed 1 that the slots of a service do in one second.
func (p Pattern) capacityAt(service PatternService, second int) float64 {
	capacity := 0.0
	for i := range service.Instances {
		speed := 1.0
		if len(service.Speeds) > 0 {
			speed = service.Speeds[i%len(service.Speeds)]
		}
		capacity += float64(service.Slots) / speed
	}
	for _, event := range p.Events {
		if event.Service != "" && event.Service != service.Name || !event.coversSecond(second) || event.EveryMS > 0 {
			continue
		}
		switch event.Kind {
		case PatternDown:
			capacity *= 1 - event.Share
		case PatternSlow:
			capacity *= 1 - event.Share + event.Share/max(event.Value, 1)
		}
	}
	return capacity
}
