package callreplay

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"parsleyport/core"
)

// Pattern describes a load on a whole fleet: services that call each other, the rates of their routes, and events that take capacity
// away. Each instance runs a backend server and the node beside it, at which calls enter.
type Pattern struct {
	Name        string           `json:"name"`
	Seconds     int              `json:"seconds"`
	DataCentres int              `json:"data-centres"`
	OneWayUS    int64            `json:"one-way-us"` // between data centres
	LocalUS     int64            `json:"local-us"`   // within one data centre, one way
	Services    []PatternService `json:"services"`
	Routes      []PatternRoute   `json:"routes"`
	Events      []PatternEvent   `json:"events"`
	// Tenants is the number of tenants of the callers; the rate of each falls with its number to the power of TenantExponent. The calls
	// that runs make have no tenant. None means one tenant.
	Tenants        int     `json:"tenants"`
	TenantExponent float64 `json:"tenant-exponent"`
}

// PatternService is a service whose instances are spread evenly over the data centres.
type PatternService struct {
	Name      core.ServiceName `json:"name"`
	Instances int              `json:"instances"`
	Slots     int              `json:"slots"`
	Speeds    []float64        `json:"speeds"` // factors of the durations of runs, used by the instances in turn; none means 1
}

// PatternRoute is a kind of call. Without PerSecond, only other routes call it.
type PatternRoute struct {
	Name           core.RouteName   `json:"name"`
	Service        core.ServiceName `json:"service"`
	PerSecond      float64          `json:"per-second"`
	WorkMS         float64          `json:"work-ms"`    // mean duration of a run
	Spread         float64          `json:"spread"`     // standard deviation of its logarithm
	TailShare      float64          `json:"tail-share"` // of the runs, which take TailFactor times as long
	TailFactor     float64          `json:"tail-factor"`
	BodyKB         float64          `json:"body-kb"`   // of a request
	AnswerKB       float64          `json:"answer-kb"` // of an answer
	SoftDeadlineMS float64          `json:"soft-deadline-ms"`
	CallerMS       float64          `json:"caller-ms"` // time that a caller waits, all of its attempts together
	TimeoutMS      float64          `json:"timeout-ms"`
	Priority       core.Priority    `json:"priority"`
	Idempotent     bool             `json:"idempotent"`
	Attempts       int              `json:"attempts"`
	CallerRetries  int              `json:"caller-retries"` // after refusals, and after any failure if idempotent
	LateWorth      float64          `json:"late-worth"`     // of an answer after the soft deadline; one before it is worth 1
	Calls          []PatternCall    `json:"calls"`
}

// PatternCall is a call that a part of the runs of a route makes; the run fails if the call fails.
type PatternCall struct {
	Route core.RouteName `json:"route"`
	Share float64        `json:"share"`
}

// PatternEvent changes a part of the backend servers of a service, or of all services, for a while.
type PatternEvent struct {
	AtMS  float64          `json:"at-ms"`
	ForMS float64          `json:"for-ms"`
	Kind  PatternEventKind `json:"kind"`
	// Service is the service concerned, empty for all.
	Service core.ServiceName `json:"service"`
	Share   float64          `json:"share"` // of the instances
	Value   float64          `json:"value"`
	// EveryMS repeats the event until the end of the pattern, with other instances each time. Zero means that it happens once.
	EveryMS float64 `json:"every-ms"`
	// Tenant is the number of the tenant of a tenant-burst, from 1.
	Tenant int `json:"tenant"`
}

// PatternEventKind is a kind of event of a pattern.
type PatternEventKind string

// The kinds of events of a pattern.
const (
	// PatternReject makes backend servers reject the part Value of the calls that reach them, however few they run.
	PatternReject PatternEventKind = "reject"
	// PatternSlow multiplies the durations of runs by Value.
	PatternSlow PatternEventKind = "slow"
	// PatternDown ends backend servers; their nodes refuse calls.
	PatternDown PatternEventKind = "down"
	// PatternBurst multiplies the rates of all routes by Value. Service and Share are ignored.
	PatternBurst PatternEventKind = "burst"
	// PatternTenantBurst multiplies the rates of one tenant by Value.
	PatternTenantBurst PatternEventKind = "tenant-burst"
)

// ReadPattern reads a pattern file, in JSON with comments. An error names the file and what is wrong.
func ReadPattern(path string) (Pattern, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Pattern{}, errors.Trace(err)
	}
	standard, err := hujson.Standardize(source)
	if err != nil {
		return Pattern{}, errors.Annotate(err, path)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var p Pattern
	if err := decoder.Decode(&p); err != nil {
		return Pattern{}, errors.Annotate(err, path)
	}
	return p, errors.Annotate(p.Check(), path)
}

const (
	maxPatternSeconds   = 600
	maxPatternInstances = 10_000
)

// Check returns an error that names the first setting that makes no sense.
func (p Pattern) Check() error {
	if p.Seconds < 1 || p.Seconds > maxPatternSeconds || p.DataCentres < 1 {
		return errors.Errorf("seconds is %d and data-centres is %d, expected 1 to %d and at least 1", p.Seconds, p.DataCentres, maxPatternSeconds)
	}
	services := make(map[core.ServiceName]bool)
	for _, s := range p.Services {
		if s.Instances < 1 || s.Instances > maxPatternInstances || s.Slots < 1 {
			return errors.Errorf("service %q has %d instances with %d slots, expected 1 to %d with at least 1", s.Name, s.Instances, s.Slots, maxPatternInstances)
		}
		services[s.Name] = true
	}
	routes := make(map[core.RouteName]bool)
	for _, r := range p.Routes {
		if !services[r.Service] {
			return errors.Errorf("route %q refers to service %q, which does not exist", r.Name, r.Service)
		}
		if r.WorkMS <= 0 || r.TimeoutMS <= 0 || r.CallerMS <= 0 {
			return errors.Errorf("route %q: work-ms, timeout-ms and caller-ms must be above 0", r.Name)
		}
		for _, call := range r.Calls {
			if !routes[call.Route] {
				return errors.Errorf("route %q calls %q, which is not among the routes before it", r.Name, call.Route)
			}
		}
		routes[r.Name] = true
	}
	for _, e := range p.Events {
		switch e.Kind {
		case PatternReject, PatternSlow, PatternDown, PatternBurst:
		case PatternTenantBurst:
			if e.Tenant < 1 || e.Tenant > p.Tenants {
				return errors.Errorf("event refers to tenant %d of %d", e.Tenant, p.Tenants)
			}
		default:
			return errors.Errorf("event kind is %q, expected reject, slow, down, burst or tenant-burst", e.Kind)
		}
		if e.EveryMS != 0 && e.EveryMS < e.ForMS {
			return errors.Errorf("event lasts for %g ms and is repeated every %g ms", e.ForMS, e.EveryMS)
		}
		if e.Service != "" && !services[e.Service] {
			return errors.Errorf("event refers to service %q, which does not exist", e.Service)
		}
	}
	return nil
}
