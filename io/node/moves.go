package node

import (
	"context"
	"time"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/core/rollout"
)

const (
	// evidenceEvery is how often a node reports its counts of services with an open move; a move reacts to a fault within a
	// few of these periods.
	evidenceEvery = time.Second
)

// evidence counts the calls of this node and lets the guard see them.
type evidence struct {
	recorder *rollout.Recorder
	guard    *rollout.CircuitBreaker
	tripped  func(core.ServiceName, core.RouteName, core.Release)
}

// Record implements core.EvidenceRecorder.
func (e *evidence) Record(service core.ServiceName, route core.RouteName, release core.Release, failed, crashed bool, latency time.Duration) {
	e.recorder.Record(service, route, release, failed, crashed, latency)
	if e.guard.Observe(service, route, release, failed || crashed) {
		e.tripped(service, route, release)
	}
}

// RecordTurnedAway implements core.EvidenceRecorder.
func (e *evidence) RecordRejected(service core.ServiceName, route core.RouteName, release core.Release) {
	e.recorder.RecordRejected(service, route, release)
}

// releaseAllowed reports whether this node still sends calls to a release.
func (e *evidence) releaseAllowed(service core.ServiceName, release core.Release) bool {
	return e.guard.Share(service, release, core.FullShare) > 0
}

// watchMoves keeps the guard up to date with the open moves of the configuration in force.
func watchMoves(ctx context.Context, source record.Source, guard *rollout.CircuitBreaker) {
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
			guard.Watch(override.Service, from.Release, to.Release, configuration.Revision())
			open[override.Service] = true
		}
		for service := range watched {
			if !open[service] {
				guard.Forget(service)
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

// reportEvidence passes what was counted during open moves towards the control instances, also once at the end.
func reportEvidence(ctx context.Context, source record.Source, recorder *rollout.Recorder, every time.Duration, report func([]core.MoveID, []core.EvidenceCount)) {
	during := &moveEvidence{}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			report(during.since(source.Current(), recorder.Counts()))
			return
		case <-ticker.C:
			report(during.since(source.Current(), recorder.Counts()))
		}
	}
}

// moveEvidence separates what a node counts during each open move. Calls from before the node knew of the move are left
// out here, so that no baseline has to travel and a late report cannot pass for calls of the move.
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
	known := m.open
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
		if !open || known[count.Service] != move || count == last[key] {
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
