package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

// SequentialDecider decides the steps of one move by sequential tests. After a leader change, a new one takes the state, the share
// and the deadline from the replicated move. The first counts that it sees become its baseline, so it loses the evidence from before
// the change, except that of node runs that began within the move. It is not safe for concurrent use.
type SequentialDecider struct {
	service                  core.ServiceName
	from, to                 core.Release
	firstDecisionAt          time.Time
	baselineUntil            time.Time
	step                     uint64    // latest step seen
	passedUnderEarlierLeader bool      // the replicated share shows that the evidence passed before a leader change
	rateMeasuredFrom         time.Time // start of the measurement of the rate of calls
	rateBaseCalls            float64   // calls before rateMeasuredFrom
	deltas                   *counterDeltas
	routes                   map[core.RouteName]*group
	latency                  map[core.RouteName]*[core.LatencyBuckets]float64 // of the old release
	pooled                   *group                                           // the routes with little traffic
	all                      *group                                           // all routes together
	fleet                    fleet
	evidenceDelay            time.Duration // beyond evidenceArrivalTime
}

// NewSequentialDecider returns a decider for one move between two releases.
func NewSequentialDecider(move core.Move, from, to core.Release) *SequentialDecider {
	return &SequentialDecider{
		service: move.Request.Service,
		from:    from,
		to:      to,
		deltas:  newCounterDeltas(),
		routes:  make(map[core.RouteName]*group),
		latency: make(map[core.RouteName]*[core.LatencyBuckets]float64),
		pooled:  newGroup("routes with little traffic", false),
		all:     newGroup("all routes", true),
	}
}

// ObserveEndpoints sets the current endpoints of all services. They tell in which data centres nodes run, which backend servers are
// cold and how much capacity the new release has. Without a call, the decider assumes full capacity and no cold backend servers.
func (d *SequentialDecider) ObserveEndpoints(now time.Time, endpoints []core.Endpoint) {
	d.fleet.observe(now, endpoints, d.service, d.from, d.to)
}

// ObserveLateness sets by how much evidence arrives later than usual; without a call, by nothing. Evidence that arrives within that
// additional time after a step is left out too, and no share grows by time alone before its evidence can have arrived.
func (d *SequentialDecider) ObserveLateness(late time.Duration) {
	d.evidenceDelay = late
}

// Decide adds the evidence and returns the next step if one is due. The evidence may repeat earlier counts. Until move includes
// the returned step, Decide proposes a step with the same number again.
func (d *SequentialDecider) Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool) {
	if IsFinal(move.State) {
		return core.MoveStep{}, false
	}
	d.trackStep(now, move)
	d.addEvidence(now, move, evidence)
	if move.State == core.MoveProposed {
		return d.begin(now, move)
	}
	timeUp := !now.Before(move.Request.Deadline)
	if cause, text, worse := d.worse(timeUp); worse {
		return step(now, move, eventFail, 0, cause, d.describe(now, move)+"; "+text)
	}
	if timeUp {
		return step(now, move, eventTimeUp, 0, d.expiryCause(now, move), d.describe(now, move))
	}
	return d.grow(now, move)
}

func (d *SequentialDecider) trackStep(now time.Time, move core.Move) {
	if d.firstDecisionAt.IsZero() {
		d.firstDecisionAt = now
		d.baselineUntil = now.Add(baselineDuration)
		d.deltas.newReleaseUnseen = move.State == core.MoveProposed
		d.step = move.Step
		d.passedUnderEarlierLeader = move.Share > riskShare(move)
	}
	if d.step != move.Step {
		d.step = move.Step
		for _, g := range d.groups() {
			g.startStep(now)
		}
	}
}

func (d *SequentialDecider) begin(now time.Time, move core.Move) (core.MoveStep, bool) {
	if !now.Before(move.Request.Deadline) {
		return step(now, move, eventTimeUp, 0, "the time was reached before the move began", "no evidence")
	}
	if now.Before(d.baselineUntil) {
		return core.MoveStep{}, false
	}
	share := min(probePerMille, riskShare(move))
	return step(now, move, eventBegin, share, "", fmt.Sprintf("probing with %d per mille", share))
}

// groups returns all groups in a fixed order: routes by name, then the pooled routes, then all routes.
func (d *SequentialDecider) groups() []*group {
	names := lo.Keys(d.routes)
	slices.Sort(names)
	groups := make([]*group, 0, len(names)+2)
	for _, name := range names {
		groups = append(groups, d.routes[name])
	}
	return append(groups, d.pooled, d.all)
}

func (d *SequentialDecider) worse(atDeadline bool) (cause, evidence string, found bool) {
	return d.verdict(func(c *comparison) bool {
		return c.worse(len(d.groups())*len(d.all.comparisons())) || atDeadline && c.worseAtDeadline()
	})
}

// verdict returns the first group and measure in which the new release is worse.
func (d *SequentialDecider) verdict(worse func(*comparison) bool) (cause, evidence string, found bool) {
	for _, g := range d.groups() {
		if cause, evidence, found = g.verdict(worse); found {
			return cause, evidence, true
		}
	}
	return "", "", false
}

// isOld reports whether a move takes traffic away from a release.
func isOld(release, from, to core.Release) bool {
	return release == from || from == core.OtherReleases && release != to
}

type sampleKey struct {
	route      core.RouteName
	dataCentre core.DataCentre
}

func (d *SequentialDecider) addEvidence(now time.Time, move core.Move, evidence []core.EvidenceCount) {
	samples := make(map[sampleKey]*sample)
	var order []sampleKey
	baseline := now.Before(d.baselineUntil)
	for _, c := range evidence {
		if c.Service != d.service || !isOld(c.Release, d.from, d.to) && c.Release != d.to {
			continue
		}
		if baseline && c.Release == d.to && move.State == core.MoveProposed && c.Calls > 0 {
			d.deltas.newReleaseUnseen = false
		}
		added, counted := d.deltas.add(c, c.Release == d.to, baseline, move.StartedAt)
		if !counted || d.mayPrecedeMove(now, move, c.Release) {
			continue
		}
		at := sampleKey{
			route:      c.Route,
			dataCentre: lo.CoalesceOrEmpty(c.DataCentre, d.fleet.dataCentreOf(c.Node)),
		}
		if samples[at] == nil {
			samples[at] = &sample{}
			order = append(order, at)
		}
		d.addTo(samples[at], added)
	}
	for _, at := range order {
		d.addSample(now, move, at, *samples[at])
	}
	if d.rateMeasuredFrom.IsZero() && move.State != core.MoveProposed && !now.Before(d.shareSince(move).Add(evidenceArrivalTime)) {
		d.rateMeasuredFrom, d.rateBaseCalls = now, d.all.calls()
	}
	early := now.Before(move.SteppedAt.Add(staleEvidenceDuration + d.evidenceDelay))
	for _, g := range d.groups() {
		g.closeWindows(now)
		if early {
			g.startStep(now)
		}
	}
}

// mayPrecedeMove reports whether a count may include calls from before the move. Nodes report a service every second only while its
// move has a share, so the first reports after the first step still include such calls.
func (d *SequentialDecider) mayPrecedeMove(now time.Time, move core.Move, release core.Release) bool {
	if move.State == core.MoveProposed {
		return release == d.to
	}
	return move.State == core.MoveProbing && now.Before(move.SteppedAt.Add(evidenceArrivalTime)) && !(release == d.to && d.deltas.newReleaseUnseen)
}

// addTo adds a difference to a sample. Which calls are slow is determined by earlier calls of the old release.
func (d *SequentialDecider) addTo(s *sample, added core.EvidenceCount) {
	side := func(p *releaseCounts) *callCount {
		if added.Release != d.to {
			return &p.old
		}
		return &p.new
	}
	calls := float64(added.Calls)
	side(&s.failures).add(callCount{calls: calls, bad: float64(added.Failures)})
	side(&s.crashes).add(callCount{calls: calls, bad: float64(added.Crashes)})
	if boundary, known := d.slowBoundary(added.Route); known {
		side(&s.slow).add(callCount{calls: float64(added.Answered()), bad: callsAbove(added.Latency, boundary)})
	}
	if added.Release == d.to {
		return
	}
	histogram := d.latency[added.Route]
	if histogram == nil {
		histogram = new([core.LatencyBuckets]float64)
		d.latency[added.Route] = histogram
	}
	for i, n := range added.Latency {
		histogram[i] += float64(n)
	}
}

// slowBoundary returns the lowest bucket with at most slowCallsRatio of the old release's calls above it.
func (d *SequentialDecider) slowBoundary(route core.RouteName) (int, bool) {
	histogram := d.latency[route]
	if histogram == nil {
		return 0, false
	}
	calls := lo.Sum(histogram[:])
	if calls < windowCalls {
		return 0, false
	}
	rest := 0.0
	for i := core.LatencyBuckets - 1; i > 0; i-- {
		rest += histogram[i]
		if rest > slowCallsRatio*calls {
			return i, true
		}
	}
	return 0, true
}

func callsAbove(latency [core.LatencyBuckets]uint64, boundary int) float64 {
	return float64(lo.Sum(latency[boundary+1:]))
}

func (d *SequentialDecider) addSample(now time.Time, move core.Move, at sampleKey, s sample) {
	if !d.fleet.comparable(at.dataCentre) {
		return
	}
	g := d.routes[at.route]
	if g == nil {
		g = newGroup(fmt.Sprintf("route %q", at.route), true)
		d.routes[at.route] = g
	}
	groups := []*group{g, d.all}
	if !d.enoughTraffic(now, move, g) {
		groups = append(groups, d.pooled)
	}
	for _, g := range groups {
		g.add(now, at.dataCentre, s, d.fleet.latencyUsable(now))
	}
}

// describe returns the share and the evidence since the last step as text for operators.
func (d *SequentialDecider) describe(now time.Time, move core.Move) string {
	judged, unjudged, little := d.classifyRoutes(now, move)
	parts := []string{
		fmt.Sprintf("%d per mille for %s", move.Share, now.Sub(move.SteppedAt).Round(time.Second)),
		d.all.failures.text("failed"),
		d.all.slow.text("slow"),
	}
	if d.all.crashes.total.new.bad+d.all.crashes.total.old.bad > 0 {
		parts = append(parts, d.all.crashes.text("crashed"))
	}
	if d.fleet.latencyAbandoned() {
		parts = append(parts, "latency judged only while no backend server was cold")
	}
	for _, list := range []struct {
		title string
		names []string
	}{
		{title: "routes judged", names: judged},
		{title: "routes not judged yet", names: unjudged},
		{title: "routes with little traffic", names: little},
	} {
		if len(list.names) > 0 {
			parts = append(parts, list.title+": "+strings.Join(list.names, ", "))
		}
	}
	return strings.Join(parts, "; ")
}
