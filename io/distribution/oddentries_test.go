package distribution

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against an odd endpoint after which nodes end, or no longer follow the list of endpoints.
func TestOddEndpointsDoNotHoldUpOthers(t *testing.T) {
	good := core.Endpoint{Node: "odd", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:2", Service: "service-0", Release: "v1", Slots: 9, State: core.EndpointReady}
	for name, change := range map[string]func(*core.Endpoint){
		"port out of range":  func(e *core.Endpoint) { e.Address = "127.0.0.1:99999" },
		"no address":         func(e *core.Endpoint) { e.Address = "" },
		"slots too large":    func(e *core.Endpoint) { e.Slots = math.MaxInt },
		"slots negative":     func(e *core.Endpoint) { e.Slots = math.MinInt },
		"sequence too large": func(e *core.Endpoint) { e.Sequence = math.MaxUint64 },
		"run too large":      func(e *core.Endpoint) { e.Incarnation = math.MaxUint64 },
		"unknown state":      func(e *core.Endpoint) { e.State = "dozing" },
		"name too long":      func(e *core.Endpoint) { e.Node = core.NodeID(strings.Repeat("n", 4096)) },
		"no name":            func(e *core.Endpoint) { e.Node = "" },
		"invalid UTF-8":      func(e *core.Endpoint) { e.Release, e.DataCentre = "\xff\xfe", "\x00" },
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(c *qt.C, tc *cluster) {
				tc.source("c1", tc.catalog)
				nodes := tc.startNodes(4, withControlAddresses("c1"))
				tc.eventually(startupGrace, "all endpoints are known", everyNodeKnows(nodes, 4))
				odd := good
				change(&odd)
				child := tc.rawChild("c1", hello{ID: "odd"}, nil)
				child.receive(typeAccept, &accept{})
				child.send(typeAnnounce, announce{Upserts: upserts{odd}})
				late := tc.subscriberWith("late", func(o *SubscriberOptions) { o.ControlAddresses = []string{"c1"} })
				late.Announce(endpoint("service-0", core.EndpointReady))
				nodes = append(nodes, late)
				tc.eventually(startupGrace, "the later endpoint is known", everyNodeKnows(nodes, 5))
				late.Withdraw()
				tc.eventually(2*startupGrace, "the withdrawn endpoint is gone", func() bool { return !everyNodeKnows(nodes, 5)() })
			})
		})
	}
}

// everyNodeKnows reports whether every node knows a number of endpoints with the address that tests announce.
func everyNodeKnows(nodes []*Subscriber, count int) func() bool {
	return every(nodes, func(s *Subscriber) bool {
		known := 0
		for _, e := range s.Endpoints("service-0") {
			if e.Address == "127.0.0.1:1" && e.State == core.EndpointReady {
				known++
			}
		}
		return known == count
	})
}
