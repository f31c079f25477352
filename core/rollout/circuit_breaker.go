package rollout

import (
	"sync"

	"parsleyport/core"
)

// breakerFailures is the number of consecutive failures after which a node stops sending calls to a new release.
const breakerFailures = 5

// maxBreakerRoutes bounds the routes that a guard follows for one service.
const maxBreakerRoutes = 1024

// Guard is the part of a move that a node decides alone: it may set its own share of a new release to zero, and never
// raises a share. It is safe for concurrent use.
type CircuitBreaker struct {
	mutex    sync.Mutex
	services map[core.ServiceName]*breakerState
}

type breakerState struct {
	revision core.Revision
	from, to core.Release
	tripped  bool
	route    core.RouteName // that tripped the guard
	routes   map[core.RouteName]*failureStreak
}

type failureStreak struct {
	failures     int
	oldSucceeded bool // the old release's latest call since the streak began succeeded
}

// NewCircuitBreaker returns a guard that watches no service.
func NewCircuitBreaker() *CircuitBreaker {
	return &CircuitBreaker{services: make(map[core.ServiceName]*breakerState)}
}

// Watch names the releases of an open move; a newer revision clears an earlier decision, an equal or older one
// changes nothing.
func (g *CircuitBreaker) Watch(service core.ServiceName, from, to core.Release, revision core.Revision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known := g.services[service]; known != nil && revision <= known.revision {
		return
	}
	g.services[service] = &breakerState{
		revision: revision,
		from:     from,
		to:       to,
		routes:   make(map[core.RouteName]*failureStreak),
	}
}

// Forget ends the watch over a service that has no open move.
func (g *CircuitBreaker) Forget(service core.ServiceName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.services, service)
}

// Observe counts one finished call and reports whether it made the guard set the new release's share to zero.
func (g *CircuitBreaker) Observe(service core.ServiceName, route core.RouteName, release core.Release, failed bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	watched := g.services[service]
	if watched == nil || watched.tripped || !isOld(release, watched.from, watched.to) && release != watched.to {
		return false
	}
	s := watched.streakOfRoute(route)
	if s == nil {
		return false
	}
	switch {
	case release != watched.to:
		s.oldSucceeded = s.failures > 0 && !failed
	case failed:
		s.failures++
	default:
		*s = failureStreak{}
	}
	if s.failures < breakerFailures || !s.oldSucceeded {
		return false
	}
	watched.tripped = true
	watched.route = route
	return true
}

func (w *breakerState) streakOfRoute(route core.RouteName) *failureStreak {
	s := w.routes[route]
	if s == nil && len(w.routes) < maxBreakerRoutes {
		s = &failureStreak{}
		w.routes[route] = s
	}
	return s
}

// Share returns the share that this node gives a release: the configured one, or zero if the guard has tripped.
func (g *CircuitBreaker) Share(service core.ServiceName, release core.Release, configured core.PerMille) core.PerMille {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if watched := g.services[service]; watched != nil && watched.tripped && watched.to == release {
		return 0
	}
	return configured
}

// Tripped returns the route on which the guard of a service has tripped and the revision that it holds for.
func (g *CircuitBreaker) Tripped(service core.ServiceName) (core.RouteName, core.Revision, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	watched := g.services[service]
	if watched == nil || !watched.tripped {
		return "", 0, false
	}
	return watched.route, watched.revision, true
}
