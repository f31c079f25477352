package rollout

import (
	"time"

	"parsleyport/core"
)

type nodeRun struct {
	node        core.NodeID
	incarnation core.Incarnation
}

type counterKey struct {
	nodeRun
	route   core.RouteName
	release core.Release
}

// counterDeltas turns cumulative counts into differences. Counts from before the move serve as the baseline.
type counterDeltas struct {
	last map[counterKey]core.EvidenceCount // latest cumulative counts
	runs map[nodeRun]bool                  // node runs that have reported any counts
	// newReleaseUnseen means that the new release had no counts while the move was proposed, so all its counts belong to the move.
	newReleaseUnseen bool
}

func newCounterDeltas() *counterDeltas {
	return &counterDeltas{
		last: make(map[counterKey]core.EvidenceCount),
		runs: make(map[nodeRun]bool),
	}
}

// add returns the difference between count and the latest count of its node run, route and release, or false for a repeated or
// older count. The first count of a key is a baseline, unless all its calls are known to belong to the move.
func (d *counterDeltas) add(count core.EvidenceCount, isNew, baseline bool, startedAt time.Time) (core.EvidenceCount, bool) {
	key := counterKey{
		nodeRun: nodeRun{
			node:        count.Node,
			incarnation: count.Incarnation,
		},
		route:   count.Route,
		release: count.Release,
	}
	last, known := d.last[key]
	if known && count.Calls <= last.Calls {
		return core.EvidenceCount{}, false
	}
	d.last[key] = count
	knownRun := d.runs[key.nodeRun]
	if !known {
		d.runs[key.nodeRun] = true
		withinMove := count.Incarnation > core.Incarnation(max(0, startedAt.UnixNano()))
		if !withinMove && (baseline || !knownRun && !(isNew && d.newReleaseUnseen)) {
			return core.EvidenceCount{}, false
		}
	}
	return difference(count, last), true
}

func difference(count, last core.EvidenceCount) core.EvidenceCount {
	count.Calls = saturatingSub(count.Calls, last.Calls)
	count.Failures = saturatingSub(count.Failures, last.Failures)
	count.Crashes = saturatingSub(count.Crashes, last.Crashes)
	for i := range count.Latency {
		count.Latency[i] = saturatingSub(count.Latency[i], last.Latency[i])
	}
	return count
}

func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
