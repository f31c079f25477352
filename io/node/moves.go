package node

import (
	"context"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/core/rollout"
)

const (
	// evidenceEvery is how often a node reports its counts of services with an open move; a move reacts to a fault within a
	// few of these periods.
	evidenceEvery = time.Second
	// quietEvidenceEvery is how often it reports all counts. They are the baseline of the next move, and every second they
	// would use most of a relay's control traffic.
	quietEvidenceEvery = 30 * time.Second
)

// evidence counts the calls of this node and lets the guard see them.
type evidence struct {
	recorder *rollout.Recorder
	guard    *rollout.Guard
	tripped  func(core.ServiceName, core.RouteName, core.Release)
}

// Record implements core.EvidenceRecorder.
func (e *evidence) Record(service core.ServiceName, route core.RouteName, release core.Release, failed, crashed bool, latency time.Duration) {
	e.recorder.Record(service, route, release, failed, crashed, latency)
	if e.guard.Observe(service, route, release, failed || crashed) {
		e.tripped(service, route, release)
	}
}

// releaseAllowed reports whether this node still sends calls to a release.
func (e *evidence) releaseAllowed(service core.ServiceName, release core.Release) bool {
	return e.guard.Share(service, release, core.FullShare) > 0
}

// watchMoves keeps the guard up to date with the open moves of the configuration in force.
func watchMoves(ctx context.Context, source record.Source, guard *rollout.Guard) {
	watched := make(map[core.ServiceName]bool)
	for {
		changed := source.Changed()
		configuration := source.Current()
		open := make(map[core.ServiceName]bool)
		for _, override := range configuration.Overrides() {
			if !override.Open {
				continue
			}
			from, _ := configuration.Upstream(override.From)
			to, _ := configuration.Upstream(override.To)
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

// reportEvidence passes the counts towards the control instances, also once at the end.
func reportEvidence(ctx context.Context, source record.Source, recorder *rollout.Recorder, report func([]core.EvidenceCount)) {
	ticker := time.NewTicker(evidenceEvery)
	defer ticker.Stop()
	var quietUntil time.Time
	for {
		select {
		case <-ctx.Done():
			report(recorder.Counts())
			return
		case now := <-ticker.C:
			counts := recorder.Counts()
			if now.Before(quietUntil) {
				counts = countsOfMoves(source.Current(), counts)
			} else {
				quietUntil = now.Add(quietEvidenceEvery)
			}
			report(counts)
		}
	}
}

// countsOfMoves keeps the counts of services with an open move.
func countsOfMoves(configuration *record.Configuration, counts []core.EvidenceCount) []core.EvidenceCount {
	open := make(map[core.ServiceName]bool)
	for _, override := range configuration.Overrides() {
		open[override.Service] = override.Open
	}
	return lo.Filter(counts, func(count core.EvidenceCount, _ int) bool { return open[count.Service] })
}
