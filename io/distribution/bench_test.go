package distribution

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/record"
)

// fleet runs one source and a number of nodes in this process over loopback TCP.
type fleet struct {
	catalog *fakeCatalog
	source  *Source
	nodes   []*Subscriber
	stops   []func()
	number  core.Revision
}

func loopback(b testing.TB) (string, Network) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener.Addr().String(), Network{
		Listen: func(string) (net.Listener, error) { return listener, nil },
	}
}

func newFleet(b testing.TB, count int) *fleet {
	f := &fleet{
		catalog: newFakeCatalog(),
		number:  1,
	}
	f.catalog.set(planned(b, 1))
	control, network := loopback(b)
	source, stop, err := NewSource(SourceOptions{
		ID:            "c1",
		ListenAddress: control,
		Catalog:       f.catalog,
		Replicator:    f.catalog,
		Logger:        zerolog.Nop(),
		Network:       network,
	})
	if err != nil {
		b.Fatal(err)
	}
	f.source = source
	f.stops = append(f.stops, stop)
	for i := range count {
		relay, network := loopback(b)
		node, stop, err := NewSubscriber(SubscriberOptions{
			ID:               core.NodeID(fmt.Sprintf("n%03d", i)),
			Incarnation:      core.Incarnation(time.Now().UnixNano()),
			DataCentre:       "dc-a",
			RelayAddress:     relay,
			ControlAddresses: []string{control},
			Logger:           zerolog.Nop(),
			Network:          network,
		})
		if err != nil {
			b.Fatal(err)
		}
		node.Announce(endpoint(core.ServiceName(fmt.Sprintf("service-%d", i%170)), core.EndpointReady))
		f.nodes = append(f.nodes, node)
		f.stops = append(f.stops, stop)
	}
	f.wait(b, func() bool { return allAt(f.nodes, 1)() && f.everyNodeHas(count) })
	return f
}

// planned is a configuration of the planned size: 170 services.
func planned(b testing.TB, number core.Revision) *record.Configuration {
	records := testRecords(170, 1)
	records[0].Version = core.RecordVersion(number)
	configuration, err := record.New(number, records, nil)
	if err != nil {
		b.Fatal(err)
	}
	return configuration
}

func (f *fleet) close() {
	for _, stop := range slices.Backward(f.stops) {
		go stop()
	}
	f.stops[0]()
}

func (f *fleet) everyNodeHas(count int) bool {
	for _, n := range f.nodes {
		if n.hub.live() != count {
			return false
		}
	}
	return true
}

func (f *fleet) wait(b testing.TB, holds func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for !holds() {
		if ctx.Err() != nil {
			b.Fatal("fleet did not settle within a minute")
		}
		time.Sleep(time.Millisecond)
	}
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

// perNode measures sent bytes for each node and second while the duty runs.
func (f *fleet) perNode(span time.Duration, duty func()) float64 {
	before := f.bytes()
	began := time.Now()
	duty()
	time.Sleep(time.Until(began.Add(span)))
	return float64(f.bytes()-before) / float64(len(f.nodes)) / time.Since(began).Seconds()
}

// BenchmarkChange measures from a change at the source to its being in force on all nodes.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			defer f.close()
			var times []time.Duration
			before := f.bytes()
			for b.Loop() {
				f.number++
				next := planned(b, f.number)
				began := time.Now()
				f.catalog.set(next)
				for _, n := range f.nodes {
					for n.Current().Revision() < f.number {
						time.Sleep(100 * time.Microsecond)
					}
				}
				times = append(times, time.Since(began))
				f.wait(b, func() bool { return f.source.Fleet().Lowest == f.number })
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-max")
			b.ReportMetric(float64(f.bytes()-before)/float64(len(times)), "B/change")
			b.ReportMetric(float64(f.bytes()-before)/float64(len(times)*count), "B/change/node")
		})
	}
}

// BenchmarkControlTraffic measures the control bytes of a node without changes and with one endpoint change a second
// and ten; run it with -benchtime=1x.
func BenchmarkControlTraffic(b *testing.B) {
	const span = 10 * time.Second
	for _, count := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			f := newFleet(b, count)
			defer f.close()
			time.Sleep(startGrace) // the digests at the end of the grace period are not idle traffic
			for b.Loop() {
				b.ReportMetric(f.perNode(span, func() {}), "B/s-idle")
				for _, rate := range []int{1, 10} {
					b.ReportMetric(f.perNode(span, func() { f.churn(span, rate) }), fmt.Sprintf("B/s-churn%d", rate))
				}
			}
		})
	}
}

// churn lets one node after another change the state of its endpoint, a number of times a second.
func (f *fleet) churn(span time.Duration, rate int) {
	states := []core.EndpointState{core.EndpointLeaving, core.EndpointStarting, core.EndpointReady}
	for i := range int(span.Seconds()) * rate {
		at := i / len(states) % len(f.nodes)
		f.nodes[at].Announce(endpoint(core.ServiceName(fmt.Sprintf("service-%d", at%170)), states[i%len(states)]))
		time.Sleep(time.Second / time.Duration(rate))
	}
}
