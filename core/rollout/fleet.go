package rollout

import (
	"time"

	"parsleyport/core"
)

// fleet is what the endpoints tell about a move.
type fleet struct {
	dataCentres map[core.NodeID]core.DataCentre
	readySince  map[run]time.Time // of the new release
	readyOld    map[core.DataCentre]int
	readyNew    map[core.DataCentre]int
	slotsOld    int
	slotsNew    int
	observedAt  time.Time
	warmed      time.Duration // total time in which backend servers of the new release were cold
}

func (f *fleet) observe(now time.Time, endpoints []core.Endpoint, service core.ServiceName, from, to core.Release) {
	if f.warming(now) {
		f.warmed += now.Sub(f.observedAt)
	}
	previous := f.readySince
	*f = fleet{
		dataCentres: make(map[core.NodeID]core.DataCentre, len(endpoints)),
		readySince:  make(map[run]time.Time),
		readyOld:    make(map[core.DataCentre]int),
		readyNew:    make(map[core.DataCentre]int),
		observedAt:  now,
		warmed:      f.warmed,
	}
	for _, e := range endpoints {
		f.dataCentres[e.Node] = e.DataCentre
		if e.Service != service || e.State != core.EndpointReady {
			continue
		}
		switch e.Release {
		case from:
			f.readyOld[e.DataCentre]++
			f.slotsOld += e.Slots
		case to:
			f.readyNew[e.DataCentre]++
			f.slotsNew += e.Slots
			key := run{
				node:        e.Node,
				incarnation: e.Incarnation,
			}
			since, known := previous[key]
			if !known {
				since = now
			}
			f.readySince[key] = since
		}
	}
}

func (f *fleet) dataCentreOf(node core.NodeID) core.DataCentre {
	return f.dataCentres[node]
}

// comparable reports whether calls that enter in a data centre show a difference between the releases. Where only one
// of them runs, the data centre itself would be compared. If they share none, all evidence has to do.
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

// warming reports whether a tenth or more of the new release's ready backend servers are in slow start.
func (f *fleet) warming(now time.Time) bool {
	if f.warmed >= maxWarmup {
		return false
	}
	cold := 0
	for _, since := range f.readySince {
		if now.Sub(since) < slowStart {
			cold++
		}
	}
	return cold > 0 && 10*cold >= len(f.readySince)
}

// capacity is the share that the new release's ready slots can carry if the old release's slots carry all traffic.
func (f *fleet) capacity() core.PerMille {
	if f.observedAt.IsZero() || f.slotsNew >= f.slotsOld {
		return core.FullShare
	}
	return core.FullShare * core.PerMille(f.slotsNew) / core.PerMille(f.slotsOld)
}
