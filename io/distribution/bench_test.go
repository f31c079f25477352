package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"parsleyport/core"
	"parsleyport/core/record"
)

// fleet runs one source and a number of nodes in this process over loopback TCP.
type fleet struct {
	*world
	source *Source
	nodes  []*Subscriber
}

func newFleet(t testing.TB, count int) *fleet {
	w := newWorld(t)
	w.loopback()
	w.catalog.set(planned(1))
	f := &fleet{world: w, source: w.source("c1", w.catalog), nodes: w.nodes(count, knowing("c1"))}
	w.eventually(time.Minute, "attached", func() bool { return allAt(f.nodes, 1)() && allHave(f.nodes, count)() })
	return f
}

// planned is a configuration of the planned size: 170 services.
func planned(number core.Revision) *record.Configuration {
	return configuration(number, testRecords(170, number))
}

// bytes counts each byte once, where it is sent.
func (f *fleet) bytes() (total uint64) {
	total, _ = f.source.Bytes()
	for _, n := range f.nodes {
		sent, _ := n.Bytes()
		total += sent
	}
	return total
}

// BenchmarkChange measures from a change at the source to its being in force on all nodes.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			defer f.close()
			var times []time.Duration
			before, number := f.bytes(), core.Revision(1)
			for b.Loop() {
				number++
				next := planned(number)
				began := time.Now()
				f.catalog.set(next)
				for !allAt(f.nodes, number)() {
					time.Sleep(time.Millisecond)
				}
				times = append(times, time.Since(began))
				f.eventually(inForce, "acknowledged", func() bool { return f.source.Fleet().Lowest == number })
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-max")
			b.ReportMetric(float64(f.bytes()-before)/float64(len(times)), "B/change")
		})
	}
}

// BenchmarkControlTraffic measures the control bytes of a node without changes and with one endpoint change a second
// and ten; run it with -benchtime=1x.
func BenchmarkControlTraffic(b *testing.B) {
	const seconds = 10
	states := []core.EndpointState{core.EndpointLeaving, core.EndpointStarting, core.EndpointReady}
	for _, count := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			defer f.close()
			time.Sleep(startGrace) // the digests at the end of the grace period are not idle traffic
			for b.Loop() {
				for _, rate := range []int{0, 1, 10} {
					before := f.bytes()
					ticker := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
					for i := range seconds * max(rate, 1) {
						<-ticker.C
						if rate > 0 { // each node's backend server restarts in turn
							f.nodes[i/len(states)%count].Announce(endpoint("service-0", states[i%len(states)]))
						}
					}
					b.ReportMetric(float64(f.bytes()-before)/float64(count*seconds), fmt.Sprintf("B/s-churn%d", rate))
				}
			}
		})
	}
}

// BenchmarkEvidence measures the control bytes a second of a first-level relay, sent and received, while each node counts
// calls of two routes and two releases of a service with an open move; run it with -benchtime=1x.
func BenchmarkEvidence(b *testing.B) {
	const seconds = 10
	for _, count := range []int{10, 30, 60, 150} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			defer f.close()
			time.Sleep(startGrace) // the digests at the end of the grace period are not evidence
			relay := slices.MaxFunc(f.nodes, func(a, b *Subscriber) int { return a.Status().SubtreeNodes - b.Status().SubtreeNodes })
			bytes := func() uint64 {
				sent, received := relay.Bytes()
				return sent + received
			}
			for b.Loop() {
				idle := bytes()
				time.Sleep(seconds * time.Second)
				before := bytes()
				for range seconds {
					for _, n := range f.nodes {
						reportMove(n)
					}
					time.Sleep(time.Second)
				}
				b.ReportMetric(float64(relay.Status().SubtreeNodes), "subtree-nodes")
				b.ReportMetric(float64(before-idle)/seconds, "idle-B/s")
				b.ReportMetric(float64(bytes()-before)/seconds, "move-B/s")
			}
		})
	}
}

func reportMove(n *Subscriber) {
	var counts []core.EvidenceCount
	for _, route := range []core.RouteName{"read-transcripts", "lodge-copies"} {
		for _, release := range []core.Release{"v1", "v2"} {
			count := core.EvidenceCount{
				Move: "m1", Service: "transcripts", Route: route, Release: release, Calls: 36, Failures: 1,
			}
			for i := range 6 { // most answers take 1 to 32 ms
				count.Latency[i] = 6
			}
			counts = append(counts, count)
		}
	}
	n.ReportEvidence([]core.MoveID{"m1"}, counts)
}

const (
	usedServices = 10 // of the planned services, by each node
	dataCentres  = 18
)

// newPlannedFleet has nodes in the planned data centres, whose backend servers belong to the planned services in turn. With
// onRequest, each node uses usedServices services; otherwise it gets all endpoints.
func newPlannedFleet(b *testing.B, count int, onRequest bool) *fleet {
	w := newWorld(b)
	w.loopback()
	w.catalog.set(planned(1))
	f := &fleet{world: w, source: w.source("c1", w.catalog)}
	services := planned(1).Services()
	f.nodes = w.nodes(count, func(i int, o *SubscriberOptions) {
		o.OnRequest, o.DataCentre = onRequest, core.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres))
	})
	for i, n := range f.nodes {
		n.Announce(endpoint(services[i%len(services)], core.EndpointReady))
		for use := range usedServices {
			n.Subscribe(services[(i*7+use*17)%len(services)])
		}
	}
	known := func(n *Subscriber) bool { return n.Confirmed() && n.Status().Endpoints == count }
	if onRequest {
		known = func(n *Subscriber) bool {
			return n.Confirmed() && n.EndpointsKnown(services[0]) == n.hub.services[services[0]]
		}
	}
	w.eventually(5*time.Minute, "endpoints known", func() bool { return f.source.Fleet().Nodes == count && every(f.nodes, known)() })
	return f
}

// BenchmarkControlTrafficByUse measures the control bytes of a node and of the busiest relay at the planned size against
// the endpoint changes a second in the whole fleet, with the endpoints of all services and with those of 10 of 170; run it
// with -benchtime=1x.
func BenchmarkControlTrafficByUse(b *testing.B) {
	const seconds = 10
	states := []core.EndpointState{core.EndpointLeaving, core.EndpointStarting, core.EndpointReady}
	for _, count := range []int{450, 900, 2700} {
		for _, onRequest := range []bool{false, true} {
			if count > 900 && !onRequest {
				continue // 2,700 tables of 2,700 endpoints in one process need more than 13 GB
			}
			b.Run(fmt.Sprintf("nodes=%d/by-use=%t", count, onRequest), func(b *testing.B) {
				f := newPlannedFleet(b, count, onRequest)
				defer f.close()
				time.Sleep(startGrace) // the digests at the end of the grace period are not idle traffic
				services := planned(1).Services()
				for b.Loop() {
					for _, rate := range []int{0, 1, 5, 10} {
						before := f.bytesByNode()
						ticker := time.NewTicker(time.Second / time.Duration(max(rate, 1)))
						for i := range seconds * max(rate, 1) {
							<-ticker.C
							if node := i / len(states) * 37 % count; rate > 0 { // each node's backend server restarts in turn
								f.nodes[node].Announce(endpoint(services[node%len(services)], states[i%len(states)]))
							}
						}
						time.Sleep(time.Second) // until the last change is everywhere
						f.report(b, rate, seconds+1, before)
					}
				}
			})
		}
	}
}

func (f *fleet) bytesByNode() []uint64 {
	var list []uint64
	for _, n := range f.nodes {
		sent, received := n.Bytes()
		list = append(list, sent+received)
	}
	return list
}

func (f *fleet) report(b *testing.B, rate, seconds int, before []uint64) {
	sum, busiest := uint64(0), uint64(0)
	for i, after := range f.bytesByNode() {
		sum += after - before[i]
		busiest = max(busiest, after-before[i])
	}
	b.ReportMetric(float64(sum)/float64(len(before)*seconds), fmt.Sprintf("B/s-mean-churn%d", rate))
	b.ReportMetric(float64(busiest)/float64(seconds), fmt.Sprintf("B/s-busiest-churn%d", rate))
}
