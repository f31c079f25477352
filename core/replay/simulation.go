package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// Constants of the simulation.
const (
	tick = time.Second
	// latencySigma is the standard deviation of the logarithm of the latency, which is log-normal.
	latencySigma         = 0.5
	coldLatencyFactor    = 3.0 // added to the factor 1 for a backend server that has just become ready
	slowStartDuration    = 10 * time.Second
	minColdWeightRatio   = 0.1 // weight at the beginning of the slow start
	crashRestartDuration = 2 * time.Second
	duplicateReportDelay = 5 * time.Second
)

// epoch is the time at which each replayed move is accepted.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// effect changes the calls of a backend server. fail and crash are probabilities, slow is a factor of the latency.
type effect struct {
	fail, slow, crash float64
}

var neutralEffect = effect{slow: 1}

type backend struct {
	release    core.Release
	dataCentre int
	node       int
	ready      bool
	readyAt    time.Time
	downUntil  time.Time // after a crash
}

type node struct {
	id          core.NodeID
	dataCentre  int
	incarnation core.Incarnation
	recorder    *rollout.Recorder
	breaker     *rollout.CircuitBreaker
}

type evidenceReport struct {
	arrivesAt time.Time
	counts    []core.EvidenceCount
}

// fault affects the new release's calls on a route, "*" for all routes, while the release gets at least minCallsPerSecond.
type fault struct {
	effect
	route             string
	minCallsPerSecond float64
}

// simulation holds everything that a replay simulates: nodes, backend servers, calls, faults and reports.
type simulation struct {
	trace             *Trace
	random            *rand.Rand
	now               time.Time
	nodes             []*node
	backends          map[core.Release][]*backend
	arrivals          []float64
	sharedEffect      effect
	dataCentreEffects []effect
	faults            []fault
	share             core.PerMille // in force on the nodes
	nextShare         core.PerMille // in force after this tick
	revision          core.Revision
	evidenceDelay     time.Duration
	reports           []evidenceReport
	lastCalls         map[core.Release]int // of the previous tick
	calls             map[core.Release]int // of this tick
	measures          *Measures
}

func newSimulation(trace *Trace, measures *Measures) *simulation {
	s := &simulation{
		trace:             trace,
		random:            rand.New(rand.NewPCG(trace.Seed, 1)),
		backends:          make(map[core.Release][]*backend),
		arrivals:          make([]float64, len(trace.Routes)),
		sharedEffect:      neutralEffect,
		dataCentreEffects: make([]effect, trace.DataCentres),
		evidenceDelay:     time.Duration(trace.EvidenceDelayMS) * time.Millisecond,
		lastCalls:         make(map[core.Release]int),
		calls:             make(map[core.Release]int),
		measures:          measures,
	}
	s.now = epoch.Add(-time.Duration(trace.WarmSeconds) * time.Second)
	for i := range s.dataCentreEffects {
		s.dataCentreEffects[i] = neutralEffect
	}
	for _, release := range []core.Release{trace.From, trace.To} {
		for i := range trace.Instances {
			s.addBackend(release, i%trace.DataCentres)
		}
	}
	return s
}

func (s *simulation) addBackend(release core.Release, dataCentre int) {
	n := &node{
		id:         core.NodeID(fmt.Sprintf("n%d", len(s.nodes))),
		dataCentre: dataCentre,
	}
	s.startNode(n, s.now.Add(-time.Hour))
	s.backends[release] = append(s.backends[release], &backend{
		release:    release,
		dataCentre: dataCentre,
		node:       len(s.nodes),
		ready:      true,
		readyAt:    s.now.Add(-time.Hour),
	})
	s.nodes = append(s.nodes, n)
}

// startNode starts a new run of a node, without counts and with a reset circuit breaker.
func (s *simulation) startNode(n *node, at time.Time) {
	n.incarnation = core.Incarnation(at.UnixNano())
	n.recorder = rollout.NewRecorder(n.id, n.incarnation)
	n.breaker = rollout.NewCircuitBreaker()
	n.breaker.Watch(s.trace.Service, s.trace.From, s.trace.To, s.revision)
}

// apply applies an event to the simulation. Replay handles the loss of a leader.
func (s *simulation) apply(e Event) {
	switch e.Kind {
	case "arrivals":
		for i := range s.arrivals {
			s.arrivals[i] = e.number(i)
		}
	case "leaving", "ready":
		release := s.trace.From
		if e.Args[0] == "new" {
			release = s.trace.To
		}
		b := s.backends[release][int(e.number(1))]
		b.ready = e.Kind == "ready"
		b.readyAt = s.now
	case "fault":
		s.faults = append(s.faults, fault{
			effect: effect{
				fail:  e.number(2),
				slow:  e.number(3),
				crash: e.number(4),
			},
			route:             e.Args[0],
			minCallsPerSecond: e.number(1),
		})
	case "shared":
		s.sharedEffect = effect{
			fail:  e.number(0),
			slow:  e.number(1),
			crash: e.number(2),
		}
	case "centre":
		s.dataCentreEffects[int(e.number(0))] = effect{
			fail: e.number(1),
			slow: e.number(2),
		}
	case "restart":
		s.startNode(s.nodes[int(e.number(0))], s.now)
	case "delay":
		s.evidenceDelay = time.Duration(e.number(0)) * time.Millisecond
	}
}

// setShare publishes a new revision of the configuration, which reaches the nodes within a tick.
func (s *simulation) setShare(share core.PerMille) {
	s.nextShare = share
	s.revision++
}

func (s *simulation) distribute() {
	s.share = s.nextShare
	for _, n := range s.nodes {
		n.breaker.Watch(s.trace.Service, s.trace.From, s.trace.To, s.revision)
	}
}

// runTick makes the calls of one tick and the evidence reports at its end.
func (s *simulation) runTick() {
	clear(s.calls)
	for route, rate := range s.arrivals {
		for range s.poisson(rate) {
			s.call(s.nodes[s.random.IntN(len(s.nodes))], route)
		}
	}
	s.lastCalls, s.calls = s.calls, s.lastCalls
	s.distribute()
	s.now = s.now.Add(tick)
	for _, n := range s.nodes {
		counts := n.recorder.Counts()
		sortCounts(counts)
		arrivesAt := s.now.Add(s.evidenceDelay + time.Duration(s.random.IntN(300))*time.Millisecond)
		s.reports = append(s.reports, evidenceReport{
			arrivesAt: arrivesAt,
			counts:    counts,
		})
		if s.random.IntN(1000) < s.trace.RepeatedPerMille {
			s.reports = append(s.reports, evidenceReport{
				arrivesAt: arrivesAt.Add(duplicateReportDelay),
				counts:    counts,
			})
		}
	}
}

func (s *simulation) poisson(rate float64) int {
	if rate > 50 {
		return max(0, int(math.Round(rate+math.Sqrt(rate)*s.random.NormFloat64())))
	}
	n, product := 0, s.random.Float64()
	for limit := math.Exp(-rate); product > limit; n++ {
		product *= s.random.Float64()
	}
	return n
}

func (s *simulation) call(n *node, route int) {
	release := s.trace.From
	if core.PerMille(s.random.IntN(int(core.FullShare))) < n.breaker.Share(s.trace.Service, s.trace.To, s.share) {
		release = s.trace.To
	}
	b := s.choose(release, n.dataCentre)
	if b == nil {
		return // the call is refused without being run, which is no evidence about a release
	}
	s.calls[release]++
	failed, crashed, latency, faulty := s.outcome(b, route)
	s.measures.recordCall(s.now, release == s.trace.To, faulty)
	name := s.trace.Routes[route].Name
	n.recorder.Record(s.trace.Service, name, release, failed, crashed, latency)
	n.breaker.Observe(s.trace.Service, name, release, failed)
}

// choose picks a ready backend server, in the same data centre if possible, and with a lower weight during slow start.
func (s *simulation) choose(release core.Release, dataCentre int) *backend {
	for _, local := range []bool{true, false} {
		var chosen *backend
		total := 0.0
		for _, b := range s.backends[release] {
			if !b.ready || s.now.Before(b.downUntil) || local && b.dataCentre != dataCentre {
				continue
			}
			weight := max(minColdWeightRatio, b.warmRatio(s.now))
			total += weight
			if s.random.Float64()*total < weight {
				chosen = b
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

func (b *backend) warmRatio(now time.Time) float64 {
	return min(1, float64(now.Sub(b.readyAt))/float64(slowStartDuration))
}

func (s *simulation) outcome(b *backend, route int) (failed, crashed bool, latency time.Duration, faulty bool) {
	load := s.trace.Routes[route]
	total := effect{
		fail:  load.FailuresPerMille/1000 + s.sharedEffect.fail + s.dataCentreEffects[b.dataCentre].fail,
		slow:  s.sharedEffect.slow * s.dataCentreEffects[b.dataCentre].slow * s.loadFactor(b.release) * (1 + coldLatencyFactor*(1-b.warmRatio(s.now))),
		crash: s.sharedEffect.crash,
	}
	for _, f := range s.faults {
		if b.release != s.trace.To || f.route != "*" && f.route != string(load.Name) || float64(s.lastCalls[s.trace.To]) < f.minCallsPerSecond {
			continue
		}
		faulty = true
		total.fail += f.fail
		total.slow *= f.slow
		total.crash += f.crash
	}
	milliseconds := load.LatencyMS * total.slow * math.Exp(latencySigma*s.random.NormFloat64())
	latency = time.Duration(min(milliseconds, 60_000) * float64(time.Millisecond))
	if s.random.Float64() < total.crash {
		b.downUntil = s.now.Add(crashRestartDuration)
		b.readyAt = b.downUntil
		return true, true, latency, faulty
	}
	return s.random.Float64() < total.fail, false, latency, faulty
}

// loadFactor returns the factor by which latency grows with the utilisation of a release's slots.
func (s *simulation) loadFactor(release core.Release) float64 {
	slots := 0
	for _, b := range s.backends[release] {
		if b.ready {
			slots += s.trace.Slots
		}
	}
	busy := float64(s.lastCalls[release]) * s.trace.Routes[0].LatencyMS / 1000
	utilisation := min(0.95, busy/float64(max(1, slots)))
	return 1 + math.Pow(utilisation, 6)/(1-utilisation)
}

// takeArrivedEvidence removes and returns the evidence that has reached the leader.
func (s *simulation) takeArrivedEvidence() []core.EvidenceCount {
	var evidence []core.EvidenceCount
	rest := s.reports[:0]
	for _, r := range s.reports {
		if r.arrivesAt.After(s.now) {
			rest = append(rest, r)
			continue
		}
		evidence = append(evidence, r.counts...)
	}
	s.reports = rest
	return evidence
}

func (s *simulation) endpoints() []core.Endpoint {
	var endpoints []core.Endpoint
	for _, release := range []core.Release{s.trace.From, s.trace.To} {
		for _, b := range s.backends[release] {
			state := core.EndpointReady
			if !b.ready || s.now.Before(b.downUntil) {
				state = core.EndpointLeaving
			}
			n := s.nodes[b.node]
			endpoints = append(endpoints, core.Endpoint{
				Node:        n.id,
				Incarnation: n.incarnation,
				DataCentre:  core.DataCentre(fmt.Sprintf("dc-%d", n.dataCentre)),
				Service:     s.trace.Service,
				Release:     release,
				Slots:       s.trace.Slots,
				State:       state,
			})
		}
	}
	return endpoints
}
