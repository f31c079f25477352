package distribution

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"parsleyport/core"
	"parsleyport/core/record"
)

// fleet is a source and a number of nodes in this process, connected over loopback TCP.
type fleet struct {
	*cluster
	source *Source
	nodes  []*Subscriber
}

func newFleet(t testing.TB, count int) *fleet {
	tc := newCluster(t)
	tc.loopback()
	tc.catalog.set(plannedConfiguration(1))
	f := &fleet{cluster: tc, source: tc.source("c1", tc.catalog), nodes: tc.startNodes(count, withControlAddresses("c1"))}
	tc.eventually(time.Minute, "attached", func() bool { return allAtRevision(f.nodes, 1)() && allHaveEndpoints(f.nodes, count)() })
	return f
}

// plannedConfiguration returns a configuration of the planned size of 170 services.
func plannedConfiguration(number core.Revision) *record.Configuration {
	return configuration(number, testRecords(170, number))
}

// bytes returns the bytes sent by all processes, so that each byte is counted once.
func (f *fleet) bytes() (total uint64) {
	total, _ = f.source.Bytes()
	for _, n := range f.nodes {
		sent, _ := n.Bytes()
		total += sent
	}
	return total
}

// BenchmarkChange measures the time from a change at the source until the change is in force on all nodes.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			defer f.close()
			var times []time.Duration
			before, number := f.bytes(), core.Revision(1)
			for b.Loop() {
				number++
				next := plannedConfiguration(number)
				began := time.Now()
				f.catalog.set(next)
				for !allAtRevision(f.nodes, number)() {
					time.Sleep(time.Millisecond)
				}
				times = append(times, time.Since(began))
				f.eventually(convergenceTimeout, "acknowledged", func() bool { return f.source.Fleet().Lowest == number })
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-max")
			b.ReportMetric(float64(f.bytes()-before)/float64(len(times)), "B/change")
		})
	}
}

// BenchmarkControlTraffic measures the control bytes per node without changes, with one endpoint change a second and with ten. Run
// it with -benchtime=1x.
func BenchmarkControlTraffic(b *testing.B) {
	const seconds = 10
	states := []core.EndpointState{core.EndpointLeaving, core.EndpointStarting, core.EndpointReady}
	for _, count := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			defer f.close()
			time.Sleep(startupGrace) // the digests at the end of the grace period are not idle traffic
			for b.Loop() {
				for _, rate := range []int{0, 1, 10} {
					before := f.bytes()
					ticker := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
					for i := range seconds * max(rate, 1) {
						<-ticker.C
						if rate > 0 { // the backend servers restart one after another
							f.nodes[i/len(states)%count].Announce(endpoint("service-0", states[i%len(states)]))
						}
					}
					b.ReportMetric(float64(f.bytes()-before)/float64(count*seconds), fmt.Sprintf("B/s-churn%d", rate))
				}
			}
		})
	}
}

// BenchmarkEvidence measures the control bytes a second that a first-level relay sends and receives while each node counts calls of
// two routes and two releases of each service with an open move, and the lateness of the counts that arrive. The first 5 s, in which
// the series are named, are measured separately. Run it with -benchtime=1x.
func BenchmarkEvidence(b *testing.B) {
	const seconds = 30 // the interval of the node reports
	for _, size := range [][2]int{{10, 1}, {30, 1}, {60, 1}, {150, 1}, {150, 3}, {150, 6}, {150, 12}, {150, 24}} {
		b.Run(fmt.Sprintf("nodes=%d/moves=%d", size[0], size[1]), func(b *testing.B) {
			f := newFleet(b, size[0])
			defer f.close()
			time.Sleep(startupGrace) // the digests at the end of the grace period are not evidence
			relay := slices.MaxFunc(f.nodes, func(a, b *Subscriber) int { return a.Status().SubtreeNodes - b.Status().SubtreeNodes })
			measure := func(name string, seconds int, each func(*Subscriber)) {
				sent, received := relay.Bytes()
				for range seconds {
					for _, n := range f.nodes {
						each(n)
					}
					time.Sleep(time.Second)
				}
				sentAfter, receivedAfter := relay.Bytes()
				b.ReportMetric(float64(sentAfter+receivedAfter-sent-received)/float64(seconds), name)
			}
			calls := make(map[core.MoveID]uint64)
			for b.Loop() {
				measure("idle-B/s", seconds, func(*Subscriber) {})
				measure("first-B/s", 5, func(n *Subscriber) { reportMoves(n, size[1], calls) })
				measure("move-B/s", seconds, func(n *Subscriber) { reportMoves(n, size[1], calls) })
				b.ReportMetric(float64(relay.Status().SubtreeNodes), "subtree-nodes")
				b.ReportMetric(f.source.EvidenceLateness("move-0").Seconds(), "s-late")
			}
		})
	}
}

// reportMoves reports 36 calls on average for each series, with latencies of up to 32 ms, and adds them to calls by move.
func reportMoves(n *Subscriber, moves int, calls map[core.MoveID]uint64) {
	var ids []core.MoveID
	var counts []core.EvidenceCount
	for move := range moves {
		id := core.MoveID(fmt.Sprintf("move-%d", move))
		ids = append(ids, id)
		for _, route := range []core.RouteName{"read-transcripts", "lodge-copies"} {
			for _, release := range []core.Release{"v1", "v2"} {
				count := core.EvidenceCount{Move: id, Service: core.ServiceName(fmt.Sprintf("transcripts-%d", move)), Route: route, Release: release}
				for range 28 + rand.IntN(17) {
					count.Calls++
					count.Latency[rand.IntN(6)]++
				}
				count.Failures = uint64(rand.IntN(3))
				calls[id] += count.Calls
				counts = append(counts, count)
			}
		}
	}
	n.ReportEvidence(ids, counts)
}

const (
	servicesPerNode = 10 // of the planned services, by each node
	dataCentres     = 18
)

// newPlannedFleet spreads the nodes over the planned data centres and their backend servers over the planned services. With onDemand,
// each node uses servicesPerNode services; otherwise it receives all endpoints.
func newPlannedFleet(b *testing.B, count int, onDemand bool) *fleet {
	tc := newCluster(b)
	tc.loopback()
	tc.catalog.set(plannedConfiguration(1))
	f := &fleet{cluster: tc, source: tc.source("c1", tc.catalog)}
	services := plannedConfiguration(1).Services()
	f.nodes = tc.startNodes(count, func(i int, o *SubscriberOptions) {
		o.OnDemandEndpoints, o.DataCentre = onDemand, core.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres))
	})
	for i, n := range f.nodes {
		n.Announce(endpoint(services[i%len(services)], core.EndpointReady))
		for use := range servicesPerNode {
			n.Subscribe(services[(i*7+use*17)%len(services)])
		}
	}
	endpointsKnown := func(n *Subscriber) bool { return n.Confirmed() && n.Status().Endpoints == count }
	if onDemand {
		endpointsKnown = func(n *Subscriber) bool {
			return n.Confirmed() && n.EndpointsKnown(services[0]) == n.hub.services[services[0]]
		}
	}
	tc.eventually(5*time.Minute, "endpoints known", func() bool { return f.source.Fleet().Nodes == count && every(f.nodes, endpointsKnown)() })
	return f
}

// BenchmarkControlTrafficByUse measures the control bytes of the average node and of the busiest relay at the planned size for several
// rates of endpoint changes in the whole fleet, with the endpoints of all services and with those of 10 of 170. Run it with
// -benchtime=1x.
func BenchmarkControlTrafficByUse(b *testing.B) {
	const seconds = 30              // the interval of the node reports
	const secondsBetweenChanges = 5 // seconds between two changes of a node
	states := []core.EndpointState{core.EndpointLeaving, core.EndpointStarting, core.EndpointReady}
	for _, count := range []int{450, 900, 2700} {
		for _, onDemand := range []bool{false, true} {
			if count > 900 && !onDemand {
				continue // 2,700 tables of 2,700 endpoints in one process need more than 13 GB
			}
			b.Run(fmt.Sprintf("nodes=%d/by-use=%t", count, onDemand), func(b *testing.B) {
				f := newPlannedFleet(b, count, onDemand)
				defer f.close()
				time.Sleep(startupGrace) // the digests at the end of the grace period are not idle traffic
				services := plannedConfiguration(1).Services()
				for b.Loop() {
					for _, rate := range []int{0, 1, 5, 10, 20, 30} {
						before := bytesOf(f.nodes)
						ticker := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
						for i := range seconds * max(rate, 1) {
							<-ticker.C
							if rate > 0 { // the backend servers of a group of nodes restart together
								group := secondsBetweenChanges * rate
								node := (i/group/len(states)*group + i%group) * 37 % count
								f.nodes[node].Announce(endpoint(services[node%len(services)], states[i/group%len(states)]))
							}
						}
						time.Sleep(time.Second) // until the last change has reached all nodes
						f.report(b, rate, seconds+1, before)
					}
				}
			})
		}
	}
}

func bytesOf(nodes []*Subscriber) (list []uint64) {
	for _, n := range nodes {
		sent, received := n.Bytes()
		list = append(list, sent+received)
	}
	return list
}

func (f *fleet) report(b *testing.B, rate, seconds int, before []uint64) {
	sum, busiest := uint64(0), uint64(0)
	for i, after := range bytesOf(f.nodes) {
		sum += after - before[i]
		busiest = max(busiest, after-before[i])
	}
	b.ReportMetric(float64(sum)/float64(len(before)*seconds), fmt.Sprintf("B/s-mean-churn%d", rate))
	b.ReportMetric(float64(busiest)/float64(seconds), fmt.Sprintf("B/s-busiest-churn%d", rate))
}
