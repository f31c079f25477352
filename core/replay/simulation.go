package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// Constants of the replayed world.
const (
	tick = time.Second
	// spread is the sigma of the log-normal latency of one call.
	latencySigma         = 0.5
	coldLatencyFactor    = 3.0 // latency of a cold backend server on top of that of a warm one
	slowStartDuration    = 10 * time.Second
	minColdWeightRatio   = 0.1 // of a backend server at the beginning of its slow start
	crashRestartDuration = 2 * time.Second
	duplicateReportDelay = 5 * time.Second
)

// epoch is the time at which each replayed move is accepted.
var epoch = time.Unix(1_800_000_000, 0).UTC()

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
	arrives time.Time
	counts  []core.EvidenceCount
}

type fault struct {
	effect
	route string
	load  float64
}

// world is the state of a replay outside the decision modules.
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
	nextShare         core.PerMille // in force from the next tick on
	revision          core.Revision
	evidenceDelay     time.Duration
	reports           []evidenceReport
	lastCalls         map[core.Release]int // of the previous tick
	calls             map[core.Release]int // of this tick
	measures          *Measures
}

func newSimulation(trace *Trace, measures *Measures) *simulation {
	w := &simulation{
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
	w.now = epoch.Add(-time.Duration(trace.WarmSeconds) * time.Second)
	for i := range w.dataCentreEffects {
		w.dataCentreEffects[i] = neutralEffect
	}
	for _, release := range []core.Release{trace.From, trace.To} {
		for i := range trace.Instances {
			w.addBackend(release, i%trace.DataCentres)
		}
	}
	return w
}

func (w *simulation) addBackend(release core.Release, dataCentre int) {
	n := &node{
		id:         core.NodeID(fmt.Sprintf("n%d", len(w.nodes))),
		dataCentre: dataCentre,
	}
	w.startNode(n, w.now.Add(-time.Hour))
	w.backends[release] = append(w.backends[release], &backend{
		release:    release,
		dataCentre: dataCentre,
		node:       len(w.nodes),
		ready:      true,
		readyAt:    w.now.Add(-time.Hour),
	})
	w.nodes = append(w.nodes, n)
}

// start begins a run of a node, which has no counts and no decision of its guard.
func (w *simulation) startNode(n *node, at time.Time) {
	n.incarnation = core.Incarnation(at.UnixNano())
	n.recorder = rollout.NewRecorder(n.id, n.incarnation)
	n.breaker = rollout.NewCircuitBreaker()
	n.breaker.Watch(w.trace.Service, w.trace.From, w.trace.To, w.revision)
}

// apply changes the world by one event; leader losses are the caller's.
func (w *simulation) apply(e Event) {
	switch e.Kind {
	case "arrivals":
		for i := range w.arrivals {
			w.arrivals[i] = e.number(i)
		}
	case "leaving", "ready":
		release := w.trace.From
		if e.Args[0] == "new" {
			release = w.trace.To
		}
		b := w.backends[release][int(e.number(1))]
		b.ready = e.Kind == "ready"
		b.readyAt = w.now
	case "fault":
		w.faults = append(w.faults, fault{
			effect: effect{
				fail:  e.number(2),
				slow:  e.number(3),
				crash: e.number(4),
			},
			route: e.Args[0],
			load:  e.number(1),
		})
	case "shared":
		w.sharedEffect = effect{
			fail:  e.number(0),
			slow:  e.number(1),
			crash: e.number(2),
		}
	case "centre":
		w.dataCentreEffects[int(e.number(0))] = effect{
			fail: e.number(1),
			slow: e.number(2),
		}
	case "restart":
		w.startNode(w.nodes[int(e.number(0))], w.now)
	case "delay":
		w.evidenceDelay = time.Duration(e.number(0)) * time.Millisecond
	}
}

// setShare is a new revision of the configuration; it reaches the nodes within a tick.
func (w *simulation) setShare(share core.PerMille) {
	w.nextShare = share
	w.revision++
}

func (w *simulation) distribute() {
	w.share = w.nextShare
	for _, n := range w.nodes {
		n.breaker.Watch(w.trace.Service, w.trace.From, w.trace.To, w.revision)
	}
}

// run makes the calls of one tick and the evidence reports at its end.
func (w *simulation) runTick() {
	clear(w.calls)
	for route, rate := range w.arrivals {
		for range w.poisson(rate) {
			w.call(w.nodes[w.random.IntN(len(w.nodes))], route)
		}
	}
	w.lastCalls, w.calls = w.calls, w.lastCalls
	w.distribute()
	w.now = w.now.Add(tick)
	for _, n := range w.nodes {
		counts := n.recorder.Counts()
		sortCounts(counts)
		arrives := w.now.Add(w.evidenceDelay + time.Duration(w.random.IntN(300))*time.Millisecond)
		w.reports = append(w.reports, evidenceReport{
			arrives: arrives,
			counts:  counts,
		})
		if w.random.IntN(1000) < w.trace.RepeatedPerMille {
			w.reports = append(w.reports, evidenceReport{
				arrives: arrives.Add(duplicateReportDelay),
				counts:  counts,
			})
		}
	}
}

func (w *simulation) poisson(rate float64) int {
	if rate > 50 {
		return max(0, int(math.Round(rate+math.Sqrt(rate)*w.random.NormFloat64())))
	}
	n, product := 0, w.random.Float64()
	for limit := math.Exp(-rate); product > limit; n++ {
		product *= w.random.Float64()
	}
	return n
}

func (w *simulation) call(n *node, route int) {
	release := w.trace.From
	if core.PerMille(w.random.IntN(int(core.FullShare))) < n.breaker.Share(w.trace.Service, w.trace.To, w.share) {
		release = w.trace.To
	}
	b := w.choose(release, n.dataCentre)
	if b == nil {
		return // refused as not run, which is no evidence about a release
	}
	w.calls[release]++
	failed, crashed, latency, faulty := w.outcome(b, route)
	w.measures.call(w.now, release == w.trace.To, faulty)
	name := w.trace.Routes[route].Name
	n.recorder.Record(w.trace.Service, name, release, failed, crashed, latency)
	n.breaker.Observe(w.trace.Service, name, release, failed)
}

// choose picks a ready backend server, in the own data centre if there is one, with lower weights in slow start.
func (w *simulation) choose(release core.Release, dataCentre int) *backend {
	for _, local := range []bool{true, false} {
		var chosen *backend
		total := 0.0
		for _, b := range w.backends[release] {
			if !b.ready || w.now.Before(b.downUntil) || local && b.dataCentre != dataCentre {
				continue
			}
			weight := max(minColdWeightRatio, b.warmRatio(w.now))
			total += weight
			if w.random.Float64()*total < weight {
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

func (w *simulation) outcome(b *backend, route int) (failed, crashed bool, latency time.Duration, faulty bool) {
	r := w.trace.Routes[route]
	total := effect{
		fail:  r.FailuresPerMille/1000 + w.sharedEffect.fail + w.dataCentreEffects[b.dataCentre].fail,
		slow:  w.sharedEffect.slow * w.dataCentreEffects[b.dataCentre].slow * w.loadFactor(b.release) * (1 + coldLatencyFactor*(1-b.warmRatio(w.now))),
		crash: w.sharedEffect.crash,
	}
	for _, f := range w.faults {
		if b.release != w.trace.To || f.route != "*" && f.route != string(r.Name) || float64(w.lastCalls[w.trace.To]) < f.load {
			continue
		}
		faulty = true
		total.fail += f.fail
		total.slow *= f.slow
		total.crash += f.crash
	}
	milliseconds := r.LatencyMS * total.slow * math.Exp(latencySigma*w.random.NormFloat64())
	latency = time.Duration(min(milliseconds, 60_000) * float64(time.Millisecond))
	if w.random.Float64() < total.crash {
		b.downUntil = w.now.Add(crashRestartDuration)
		b.readyAt = b.downUntil
		return true, true, latency, faulty
	}
	return w.random.Float64() < total.fail, false, latency, faulty
}

// loadFactor is the growth of latency with the use of a release's slots.
func (w *simulation) loadFactor(release core.Release) float64 {
	slots := 0
	for _, b := range w.backends[release] {
		if b.ready {
			slots += w.trace.Slots
		}
	}
	busy := float64(w.lastCalls[release]) * w.trace.Routes[0].LatencyMS / 1000
	use := min(0.95, busy/float64(max(1, slots)))
	return 1 + math.Pow(use, 6)/(1-use)
}

// arrived removes and returns the evidence that has reached the leader.
func (w *simulation) takeArrivedEvidence() []core.EvidenceCount {
	var evidence []core.EvidenceCount
	rest := w.reports[:0]
	for _, r := range w.reports {
		if r.arrives.After(w.now) {
			rest = append(rest, r)
			continue
		}
		evidence = append(evidence, r.counts...)
	}
	w.reports = rest
	return evidence
}

func (w *simulation) endpoints() []core.Endpoint {
	var endpoints []core.Endpoint
	for _, release := range []core.Release{w.trace.From, w.trace.To} {
		for _, b := range w.backends[release] {
			state := core.EndpointReady
			if !b.ready || w.now.Before(b.downUntil) {
				state = core.EndpointLeaving
			}
			n := w.nodes[b.node]
			endpoints = append(endpoints, core.Endpoint{
				Node:        n.id,
				Incarnation: n.incarnation,
				DataCentre:  core.DataCentre(fmt.Sprintf("dc-%d", n.dataCentre)),
				Service:     w.trace.Service,
				Release:     release,
				Slots:       w.trace.Slots,
				State:       state,
			})
		}
	}
	return endpoints
}
