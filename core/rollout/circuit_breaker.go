package rollout

import (
	"sync"

	"parsleyport/core"
)

// breakerFailures is the number of consecutive failures on one route after which the breaker may trip.
const breakerFailures = 5

// maxBreakerRoutes bounds the routes that a circuit breaker tracks for one service.
const maxBreakerRoutes = 1024

// CircuitBreaker stops a node's own calls to a new release that fails on it, without waiting for the control instances. It only sets
// the node's share of the new release to zero, and never raises a share. It is safe for concurrent use.
type CircuitBreaker struct {
	mutex    sync.Mutex
	services map[core.ServiceName]*breakerState
}

type breakerState struct {
	revision core.Revision
	from, to core.Release
	tripped  bool
	route    core.RouteName // on which the breaker tripped
	routes   map[core.RouteName]*failureStreak
}

type failureStreak struct {
	failures     int
	oldSucceeded bool // the latest call of the old release since the streak began was successful
}

// NewCircuitBreaker returns a circuit breaker that watches no service.
func NewCircuitBreaker() *CircuitBreaker {
	return &CircuitBreaker{services: make(map[core.ServiceName]*breakerState)}
}

// Watch sets the releases of a service's open move. A newer revision resets a tripped breaker; an equal or older one has no effect.
func (b *CircuitBreaker) Watch(service core.ServiceName, from, to core.Release, revision core.Revision) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.services[service]; known != nil && revision <= known.revision {
		return
	}
	b.services[service] = &breakerState{
		revision: revision,
		from:     from,
		to:       to,
		routes:   make(map[core.RouteName]*failureStreak),
	}
}

// Forget stops watching a service that has no open move.
func (b *CircuitBreaker) Forget(service core.ServiceName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.services, service)
}

// Observe counts one finished call and reports whether it tripped the breaker, which sets the new release's share to zero. The breaker
// trips after breakerFailures failures in a row on one route, unless the old release has had no call there since the first of them or
// has failed the latest one.
func (b *CircuitBreaker) Observe(service core.ServiceName, route core.RouteName, release core.Release, failed bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	watched := b.services[service]
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

func (b *breakerState) streakOfRoute(route core.RouteName) *failureStreak {
	s := b.routes[route]
	if s == nil && len(b.routes) < maxBreakerRoutes {
		s = &failureStreak{}
		b.routes[route] = s
	}
	return s
}

// Share returns the share of a release on this node: the configured one, or zero if the breaker has tripped for the release.
func (b *CircuitBreaker) Share(service core.ServiceName, release core.Release, configured core.PerMille) core.PerMille {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if watched := b.services[service]; watched != nil && watched.tripped && watched.to == release {
		return 0
	}
	return configured
}

// Tripped returns the route on which the breaker of a service tripped and the revision for which it did, or false if it has not.
func (b *CircuitBreaker) Tripped(service core.ServiceName) (core.RouteName, core.Revision, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	watched := b.services[service]
	if watched == nil || !watched.tripped {
		return "", 0, false
	}
	return watched.route, watched.revision, true
}
