package node

import (
	"context"
	"time"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/core/rollout"
)

const (
	// defaultEvidenceInterval is how often a node reports the counts of services with an open move. A move reacts to a fault within
	// a few intervals.
	defaultEvidenceInterval = time.Second
)

// evidenceRecorder counts the outcomes of this node's calls and passes them to the circuit breaker.
type evidenceRecorder struct {
	recorder       *rollout.Recorder
	circuitBreaker *rollout.CircuitBreaker
	onTrip         func(core.ServiceName, core.RouteName, core.Release)
}

// Record implements core.EvidenceRecorder.
func (e *evidenceRecorder) Record(service core.ServiceName, route core.RouteName, release core.Release, failed, crashed bool, latency time.Duration) {
	e.recorder.Record(service, route, release, failed, crashed, latency)
	if e.circuitBreaker.Observe(service, route, release, failed || crashed) {
		e.onTrip(service, route, release)
	}
}

// RecordRejected implements core.EvidenceRecorder.
func (e *evidenceRecorder) RecordRejected(service core.ServiceName, route core.RouteName, release core.Release) {
	e.recorder.RecordRejected(service, route, release)
}

// releaseAllowed reports whether this node still sends calls to a release.
func (e *evidenceRecorder) releaseAllowed(service core.ServiceName, release core.Release) bool {
	return e.circuitBreaker.Share(service, release, core.FullShare) > 0
}

// watchMoves keeps the circuit breaker up to date with the open moves of the configuration in force.
func watchMoves(ctx context.Context, source record.Source, circuitBreaker *rollout.CircuitBreaker) {
	watched := make(map[core.ServiceName]bool)
	for {
		changed := source.Changed()
		configuration := source.Current()
		open := make(map[core.ServiceName]bool)
		for _, override := range configuration.Overrides() {
			if !override.Open {
				continue
			}
			from, _ := configuration.UpstreamOf(override.Service, override.From)
			to, _ := configuration.UpstreamOf(override.Service, override.To)
			circuitBreaker.Watch(override.Service, from.Release, to.Release, configuration.Revision())
			open[override.Service] = true
		}
		for service := range watched {
			if !open[service] {
				circuitBreaker.Forget(service)
			}
		}
		watched = open
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// reportEvidence reports what was counted during open moves at each interval, and once more when the context ends.
func reportEvidence(ctx context.Context, source record.Source, recorder *rollout.Recorder, interval time.Duration, report func([]core.MoveID, []core.EvidenceCount)) {
	evidence := &moveEvidence{}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			report(evidence.since(source.Current(), recorder.Counts()))
			return
		case <-ticker.C:
			report(evidence.since(source.Current(), recorder.Counts()))
		}
	}
}

// moveEvidence derives what a node has counted during each open move from its cumulative counts. It leaves out calls from before the
// node knew of the move, so that reports need no baseline and late reports hold no calls from before the move.
type moveEvidence struct {
	last map[evidenceSeries]core.EvidenceCount
	open map[core.ServiceName]core.MoveID
}

type evidenceSeries struct {
	service core.ServiceName
	route   core.RouteName
	release core.Release
}

// since returns the open moves and what was added to the cumulative counts of their services since the last call.
func (m *moveEvidence) since(configuration *record.Configuration, counts []core.EvidenceCount) ([]core.MoveID, []core.EvidenceCount) {
	openBefore := m.open
	m.open = make(map[core.ServiceName]core.MoveID)
	var moves []core.MoveID
	for _, override := range configuration.Overrides() {
		if override.Open {
			m.open[override.Service] = override.Move
			moves = append(moves, override.Move)
		}
	}
	last := m.last
	m.last = make(map[evidenceSeries]core.EvidenceCount, len(counts))
	var added []core.EvidenceCount
	for _, count := range counts {
		key := evidenceSeries{
			service: count.Service,
			route:   count.Route,
			release: count.Release,
		}
		m.last[key] = count
		move, open := m.open[count.Service]
		if !open || openBefore[count.Service] != move || count == last[key] {
			continue
		}
		count = addedSince(count, last[key])
		count.Move = move
		added = append(added, count)
	}
	return moves, added
}

func addedSince(count, last core.EvidenceCount) core.EvidenceCount {
	count.Calls -= last.Calls
	count.Failures -= last.Failures
	count.Crashes -= last.Crashes
	for i := range count.Latency {
		count.Latency[i] -= last.Latency[i]
	}
	return count
}
