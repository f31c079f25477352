package rollout

import (
	"time"

	"parsleyport/core"
)

// fleet summarises the endpoints that concern a move: where nodes run, and which backend servers of both releases are ready.
type fleet struct {
	dataCentres          map[core.NodeID]core.DataCentre
	readySince           map[nodeRun]time.Time // of both releases
	isNew                map[nodeRun]bool
	readyOld             map[core.DataCentre]int
	readyNew             map[core.DataCentre]int
	slotsOld             int
	slotsNew             int
	observedAt           time.Time
	slowStartHoldTime    time.Duration // total time for which slow start held the move
	latencyUnusableTime  time.Duration // total time for which latencies were not compared
	latencyUnusableUntil time.Time     // when all answers of cold backend servers have been reported
}

func (f *fleet) observe(now time.Time, endpoints []core.Endpoint, service core.ServiceName, from, to core.Release) {
	if f.inSlowStart(now) {
		f.slowStartHoldTime += now.Sub(f.observedAt)
	}
	if !f.latencyUsable(now) {
		f.latencyUnusableTime += now.Sub(f.observedAt)
	}
	previous := f.readySince
	*f = fleet{
		dataCentres:          make(map[core.NodeID]core.DataCentre, len(endpoints)),
		readySince:           make(map[nodeRun]time.Time),
		isNew:                make(map[nodeRun]bool),
		readyOld:             make(map[core.DataCentre]int),
		readyNew:             make(map[core.DataCentre]int),
		observedAt:           now,
		slowStartHoldTime:    f.slowStartHoldTime,
		latencyUnusableTime:  f.latencyUnusableTime,
		latencyUnusableUntil: f.latencyUnusableUntil,
	}
	for _, e := range endpoints {
		f.dataCentres[e.Node] = e.DataCentre
		if e.Service != service || e.State != core.EndpointReady {
			continue
		}
		switch {
		case isOld(e.Release, from, to):
			f.readyOld[e.DataCentre]++
			f.slotsOld += e.Slots
		case e.Release == to:
			f.readyNew[e.DataCentre]++
			f.slotsNew += e.Slots
		default:
			continue
		}
		key := nodeRun{
			node:        e.Node,
			incarnation: e.Incarnation,
		}
		f.isNew[key] = e.Release == to
		f.readySince[key] = now
		if since, known := previous[key]; known {
			f.readySince[key] = since
		}
	}
	if since := now.Add(-slowStartDuration); 10*max(f.coldRatio(true, since), f.coldRatio(false, since)) >= 1 {
		f.latencyUnusableUntil = now.Add(staleEvidenceDuration + time.Second)
	}
}

func (f *fleet) dataCentreOf(node core.NodeID) core.DataCentre {
	return f.dataCentres[node]
}

// comparable reports whether the calls that enter in a data centre can be used to compare the releases. Where only one of them
// runs, a difference may be one between data centres. If the releases share no data centre, all evidence is used.
func (f *fleet) comparable(dataCentre core.DataCentre) bool {
	if f.readyOld[dataCentre] > 0 && f.readyNew[dataCentre] > 0 {
		return true
	}
	for shared, n := range f.readyNew {
		if n > 0 && f.readyOld[shared] > 0 {
			return false
		}
	}
	return true
}

// inSlowStart reports whether the share must not grow because at least a third of the new release's backend servers are in slow start.
func (f *fleet) inSlowStart(now time.Time) bool {
	return f.slowStartHoldTime < maxSlowStartHold && 3*f.coldRatio(true, now.Add(-slowStartDuration)) >= 1
}

// latencyAbandoned reports whether backend servers were cold for so long that the move proceeds without a verdict on latency.
func (f *fleet) latencyAbandoned() bool {
	return f.latencyUnusableTime >= maxSlowStartHold
}

// latencyUsable reports whether latencies can be compared. They cannot while at least a tenth of either release's backend servers is
// cold, since cold ones are slow whatever their release, nor until the answers of these have been reported, even if the backend servers
// have left by then.
func (f *fleet) latencyUsable(now time.Time) bool {
	return !now.Before(f.latencyUnusableUntil)
}

// coldRatio returns the part of a release's ready backend servers that became ready after since.
func (f *fleet) coldRatio(isNew bool, since time.Time) float64 {
	cold, all := 0.0, 0.0
	for key, readyAt := range f.readySince {
		if f.isNew[key] != isNew {
			continue
		}
		all++
		if readyAt.After(since) {
			cold++
		}
	}
	return cold / max(1, all)
}

// capacityPerMille returns the share that the new release's ready slots can carry, if the old release's slots carry all traffic.
func (f *fleet) capacityPerMille() core.PerMille {
	if f.observedAt.IsZero() || f.slotsNew >= f.slotsOld {
		return core.FullShare
	}
	return core.FullShare * core.PerMille(f.slotsNew) / core.PerMille(f.slotsOld)
}
