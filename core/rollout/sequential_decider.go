package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

// Judge decides the steps of one move. A judge that is rebuilt from the replicated move after a leader change keeps
// the state, the share and the deadline; the counts that it sees first become its baseline, so the evidence from
// before the change is lost, except that of node runs that began within the move. It is not safe for concurrent use.
type SequentialDecider struct {
	service                  core.ServiceName
	from, to                 core.Release
	firstDecisionAt          time.Time // of the first decision
	baselineUntil            time.Time
	step                     uint64
	passedUnderEarlierLeader bool      // under an earlier leader, as the replicated share shows
	rateMeasuredFrom         time.Time // from which the rate of calls is measured
	rateBaseCalls            float64   // calls until then
	deltas                   *counterDeltas
	routes                   map[core.RouteName]*group
	latency                  map[core.RouteName]*[core.LatencyBuckets]float64 // of the old release
	pooled                   *group                                           // the routes with little traffic
	all                      *group
	fleet                    fleet
	evidenceDelay            time.Duration // beyond evidenceArrivalTime
}

// NewSequentialDecider returns a judge for one move between two releases.
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

// ObserveEndpoints tells the judge which endpoints exist, of this service and any other; it is optional. The judge
// learns from it where nodes run, which backend servers are cold and how much capacity the new release has.
func (j *SequentialDecider) ObserveEndpoints(now time.Time, endpoints []core.Endpoint) {
	j.fleet.observe(now, endpoints, j.service, j.from, j.to)
}

// ObserveLateness tells the judge how much longer than usual the evidence is on its way; it is optional. What arrives within that
// time after a step is left out as well, and the share does not grow by time alone before its evidence can have arrived.
func (j *SequentialDecider) ObserveLateness(late time.Duration) {
	j.evidenceDelay = late
}

// Decide counts the evidence and returns the next step if one is due; evidence may repeat counts. Until the move
// shows the step, Decide proposes a step with the same number again.
func (j *SequentialDecider) Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool) {
	if IsFinal(move.State) {
		return core.MoveStep{}, false
	}
	j.trackStep(now, move)
	j.addEvidence(now, move, evidence)
	if move.State == core.MoveProposed {
		return j.begin(now, move)
	}
	timeUp := !now.Before(move.Request.Deadline)
	if cause, text, worse := j.worse(timeUp); worse {
		return step(now, move, eventFail, 0, cause, j.describe(now, move)+"; "+text)
	}
	if timeUp {
		return step(now, move, eventTimeUp, 0, j.expiryCause(now, move), j.describe(now, move))
	}
	return j.grow(now, move)
}

func (j *SequentialDecider) trackStep(now time.Time, move core.Move) {
	if j.firstDecisionAt.IsZero() {
		j.firstDecisionAt = now
		j.baselineUntil = now.Add(baselineDuration)
		j.deltas.newReleaseUnseen = move.State == core.MoveProposed
		j.step = move.Step
		j.passedUnderEarlierLeader = move.Share > riskShare(move)
	}
	if j.step != move.Step {
		j.step = move.Step
		for _, g := range j.groups() {
			g.startStep(now)
		}
	}
}

func (j *SequentialDecider) begin(now time.Time, move core.Move) (core.MoveStep, bool) {
	if !now.Before(move.Request.Deadline) {
		return step(now, move, eventTimeUp, 0, "the time was reached before the move began", "no evidence")
	}
	if now.Before(j.baselineUntil) {
		return core.MoveStep{}, false
	}
	share := min(probePerMille, riskShare(move))
	return step(now, move, eventBegin, share, "", fmt.Sprintf("probing with %d per mille", share))
}

// groups returns all groups in a fixed order, the single routes first.
func (j *SequentialDecider) groups() []*group {
	names := lo.Keys(j.routes)
	slices.Sort(names)
	groups := make([]*group, 0, len(names)+2)
	for _, name := range names {
		groups = append(groups, j.routes[name])
	}
	return append(groups, j.pooled, j.all)
}

func (j *SequentialDecider) worse(atDeadline bool) (cause, evidence string, found bool) {
	return j.verdict(func(c *comparison) bool {
		return c.worse(len(j.groups())*len(j.all.comparisons())) || atDeadline && c.worseAtDeadline()
	})
}

// verdict names the first group and measure in which the new release is worse.
func (j *SequentialDecider) verdict(worse func(*comparison) bool) (cause, evidence string, found bool) {
	for _, g := range j.groups() {
		if cause, evidence, found = g.verdict(worse); found {
			return cause, evidence, true
		}
	}
	return "", "", false
}

// isOld reports whether a release is one that a move leads away from.
func isOld(release, from, to core.Release) bool {
	return release == from || from == core.OtherReleases && release != to
}

type sampleKey struct {
	route      core.RouteName
	dataCentre core.DataCentre
}

func (j *SequentialDecider) addEvidence(now time.Time, move core.Move, evidence []core.EvidenceCount) {
	samples := make(map[sampleKey]*sample)
	var order []sampleKey
	baseline := now.Before(j.baselineUntil)
	for _, c := range evidence {
		if c.Service != j.service || !isOld(c.Release, j.from, j.to) && c.Release != j.to {
			continue
		}
		if baseline && c.Release == j.to && move.State == core.MoveProposed && c.Calls > 0 {
			j.deltas.newReleaseUnseen = false
		}
		added, counted := j.deltas.add(c, c.Release == j.to, baseline, move.StartedAt)
		if !counted || j.mayPrecedeMove(now, move, c.Release) {
			continue
		}
		at := sampleKey{
			route:      c.Route,
			dataCentre: lo.CoalesceOrEmpty(c.DataCentre, j.fleet.dataCentreOf(c.Node)),
		}
		if samples[at] == nil {
			samples[at] = &sample{}
			order = append(order, at)
		}
		j.addTo(samples[at], added)
	}
	for _, at := range order {
		j.addSample(now, move, at, *samples[at])
	}
	if j.rateMeasuredFrom.IsZero() && move.State != core.MoveProposed && !now.Before(j.shareSince(move).Add(evidenceArrivalTime)) {
		j.rateMeasuredFrom, j.rateBaseCalls = now, j.all.calls()
	}
	early := now.Before(move.SteppedAt.Add(evidenceDelay + j.evidenceDelay))
	for _, g := range j.groups() {
		g.closeWindows(now)
		if early {
			g.startStep(now)
		}
	}
}

// late reports whether a count may hold calls from before the move. Nodes report a service every second only while its
// move has a share, so the first reports after the first step still hold such calls.
func (j *SequentialDecider) mayPrecedeMove(now time.Time, move core.Move, release core.Release) bool {
	if move.State == core.MoveProposed {
		return release == j.to
	}
	return move.State == core.MoveProbing && now.Before(move.SteppedAt.Add(evidenceArrivalTime)) && !(release == j.to && j.deltas.newReleaseUnseen)
}

// addTo adds a difference to a sample; the boundary of slow calls is set by the calls of the old release before it.
func (j *SequentialDecider) addTo(s *sample, added core.EvidenceCount) {
	side := func(p *releaseCounts) *callCount {
		if added.Release != j.to {
			return &p.old
		}
		return &p.new
	}
	calls := float64(added.Calls)
	side(&s.failures).add(callCount{calls: calls, bad: float64(added.Failures)})
	side(&s.crashes).add(callCount{calls: calls, bad: float64(added.Crashes)})
	if boundary, known := j.slowBoundary(added.Route); known {
		side(&s.slow).add(callCount{calls: float64(added.Answered()), bad: callsAbove(added.Latency, boundary)})
	}
	if added.Release == j.to {
		return
	}
	histogram := j.latency[added.Route]
	if histogram == nil {
		histogram = new([core.LatencyBuckets]float64)
		j.latency[added.Route] = histogram
	}
	for i, n := range added.Latency {
		histogram[i] += float64(n)
	}
}

// boundary returns the lowest bucket that leaves at most slowCallsRatio of the old release's calls above it.
func (j *SequentialDecider) slowBoundary(route core.RouteName) (int, bool) {
	histogram := j.latency[route]
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

func (j *SequentialDecider) addSample(now time.Time, move core.Move, at sampleKey, s sample) {
	if !j.fleet.comparable(at.dataCentre) {
		return
	}
	g := j.routes[at.route]
	if g == nil {
		g = newGroup(fmt.Sprintf("route %q", at.route), true)
		j.routes[at.route] = g
	}
	groups := []*group{g, j.all}
	if !j.enoughTraffic(now, move, g) {
		groups = append(groups, j.pooled)
	}
	for _, g := range groups {
		g.add(now, at.dataCentre, s, j.fleet.latencyUsable(now))
	}
}

// describe states the share and the evidence since the last step for an operator.
func (j *SequentialDecider) describe(now time.Time, move core.Move) string {
	judged, unjudged, little := j.classifyRoutes(now, move)
	parts := []string{
		fmt.Sprintf("%d per mille for %s", move.Share, now.Sub(move.SteppedAt).Round(time.Second)),
		j.all.failures.text("failed"),
		j.all.slow.text("slow"),
	}
	if j.all.crashes.total.new.bad+j.all.crashes.total.old.bad > 0 {
		parts = append(parts, j.all.crashes.text("crashed"))
	}
	if j.fleet.latencyAbandoned() {
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
