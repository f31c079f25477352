package cost

import (
	"math"
	"time"

	"parsleyport/core"
)

// Class is what distinguishes calls of different work.
type Class struct {
	Route  core.RouteName
	Method string
	Size   SizeClass
	Caller core.ServiceName // the calling service, empty for callers outside
	Tenant core.TenantID
}

// SizeClass is a class of body sizes. Its upper bound grows by four from class to class.
type SizeClass uint8

// SizeClassOf returns the class of a body size.
func SizeClassOf(bytes int) SizeClass {
	class := SizeClass(0)
	for limit := 1 << 10; bytes > limit && class < 12; limit <<= 2 {
		class++
	}
	if bytes > 0 {
		class++
	}
	return class
}

// level is the number of attributes of a class that are ignored, from the last one.
type level uint8

const levels = 6 // the widest one is for all calls

// narrow returns the attributes that count at a level.
func (c Class) narrow(l level) Class {
	switch l {
	case 0:
		return c
	case 1:
		c.Tenant = ""
	case 2:
		c.Tenant, c.Caller = "", ""
	case 3:
		return Class{Route: c.Route, Method: c.Method}
	case 4:
		return Class{Route: c.Route}
	default:
		return Class{}
	}
	return c
}

type key struct {
	level level
	class Class
}

const (
	// minSamples is the number of samples from which on a class is preferred to a wider one. The mean of 20 calls whose times spread
	// by half of their mean is right to about a tenth.
	minSamples = 20
	// maxKeys bounds the memory to about 1 MB. Keys are made of routes and tenants of the configuration, and of methods, which
	// callers choose.
	maxKeys = 1024
	// keyLifetime is how long after its latest sample a class makes room for another one when there are too many.
	keyLifetime = time.Minute
	// evictionInterval is the minimum time between searches for such classes.
	evictionInterval = time.Second
)

// Estimator learns the work of calls. The work of calls of different classes can differ by ten times and more, and a mean over all of
// them is wrong for each. It is not safe for concurrent use.
type Estimator struct {
	histograms map[key]*histogram
	evictedAt  time.Time
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{
		histograms: make(map[key]*histogram),
	}
}

// Observe adds the time for which a call held a slot of a backend server with a speed. The speed is 1 where all calls run at one
// backend server.
func (e *Estimator) Observe(now time.Time, class Class, held time.Duration, speed float64) {
	if held < 0 || !(speed > 0) || math.IsInf(speed, 1) {
		return
	}
	for l := range level(levels) {
		if h := e.histogram(now, key{level: l, class: class.narrow(l)}); h != nil {
			h.observe(now, held.Seconds()*speed)
		}
	}
}

// histogram returns the histogram of a key, or nil if there is no room for it.
func (e *Estimator) histogram(now time.Time, k key) *histogram {
	if h := e.histograms[k]; h != nil {
		return h
	}
	if len(e.histograms) >= maxKeys && k.level != levels-1 {
		if now.Sub(e.evictedAt) < evictionInterval {
			return nil
		}
		e.evict(now)
		if len(e.histograms) >= maxKeys {
			return nil
		}
	}
	h := &histogram{}
	e.histograms[k] = h
	return h
}

func (e *Estimator) evict(now time.Time) {
	e.evictedAt = now
	for k, h := range e.histograms {
		if now.Sub(h.observed) > keyLifetime {
			delete(e.histograms, k)
		}
	}
}

// Work returns the distribution of the narrowest class with enough samples, or else of all calls. It is valid until the next event.
func (e *Estimator) Work(now time.Time, class Class) Work {
	for l := range level(levels) {
		h := e.histograms[key{level: l, class: class.narrow(l)}]
		if h == nil {
			continue
		}
		if samples := h.samples(now); samples >= minSamples || l == levels-1 && h.total > 0 {
			return Work{
				tails:   h.derive(now),
				samples: samples,
			}
		}
	}
	return Work{}
}

// Keys returns the number of classes, narrow and wide, that have samples.
func (e *Estimator) Keys() int { return len(e.histograms) }
