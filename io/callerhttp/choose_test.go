package callerhttp_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/callerhttp"
)

// candidateCounts is a picker that counts how often each endpoint was a candidate.
type candidateCounts struct {
	*fixedEndpoints
	mu     sync.Mutex // guards counts
	counts map[core.NodeID]int
}

func (p *candidateCounts) Pick(now time.Time, request core.PickRequest, candidates []core.Endpoint) (core.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, candidate := range candidates {
		p.counts[candidate.Node]++
	}
	return p.fixedEndpoints.Pick(now, request, candidates)
}

// Guards against a canary release whose calls are spread over so many endpoints that faults under load don't show, and against using
// only a part of the endpoints when no move is open.
func TestCanaryEndpointsOfOpenMove(t *testing.T) {
	c := qt.New(t)
	for _, open := range []bool{true, false} {
		weights := []core.Weight{{Upstream: "orders-v1", PerMille: 800}, {Upstream: "orders-v2", PerMille: 200}}
		moving, err := record.New(8, configuration(t, allV1).Records(), []core.Override{
			{Service: "orders", Move: "m1", From: "orders-v1", To: "orders-v2", Open: open, Weights: weights},
		})
		c.Assert(err, qt.IsNil)
		picker := &candidateCounts{counts: make(map[core.NodeID]int)}
		e := newEntry(c, allV1, func(o *callerhttp.Options) {
			o.Source = fixedSource{configuration: moving}
			picker.fixedEndpoints = o.Endpoints.(*fixedEndpoints)
			o.Picker = picker
		})
		e.forwarder.forward = func(int, core.Endpoint) (*core.Answer, core.Outcome, error) {
			return answer(http.StatusOK, strings.NewReader(""))
		}
		e.endpoints.endpoints = nil
		for i := range 10 {
			for _, release := range []core.Release{"v1", "v2"} {
				e.endpoints.endpoints = append(e.endpoints.endpoints, core.Endpoint{Node: core.NodeID(fmt.Sprintf("%s-%d", release, i)), Service: "orders", Release: release, State: core.EndpointReady})
			}
		}
		for range 100 {
			_, _, err := e.send(c, "GET", "/orders")
			c.Assert(err, qt.IsNil)
		}
		old, canary := 0, 0
		for node := range picker.counts {
			if strings.HasPrefix(string(node), "v1") {
				old++
			} else {
				canary++
			}
		}
		c.Assert(old, qt.Equals, 10)
		c.Assert(canary, qt.Equals, map[bool]int{true: 2, false: 10}[open])
	}
}
