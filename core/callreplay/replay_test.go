package callreplay_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/callreplay"
)

// smallTrace returns calls to 7 backend servers with 9 slots each in 4 data centres, the size of the transcripts service.
func smallTrace(seed uint64, seconds int, callsPerSecond float64, events ...callreplay.Event) callreplay.Trace {
	random := rand.New(rand.NewPCG(seed, seed))
	trace := callreplay.Trace{
		Header: callreplay.Header{
			Name:       "small",
			OneWayUS:   500,
			LocalUS:    50,
			AnnounceMS: 500,
			TimeoutMS:  1000,
			Events:     events,
		},
	}
	for i := range 4 {
		trace.Entries = append(trace.Entries, callreplay.Entry{DataCentre: dataCentre(i)})
	}
	for i := range 7 {
		trace.Endpoints = append(trace.Endpoints, callreplay.EndpointSpec{
			Node:       core.NodeID(fmt.Sprintf("n%d", i)),
			DataCentre: dataCentre(i % 4),
			Slots:      9,
			WorkUS:     10_000,
		})
	}
	for at := 0.0; at < float64(seconds); at += random.ExpFloat64() / callsPerSecond {
		trace.Calls = append(trace.Calls, callreplay.Call{
			At:         time.Duration(at * float64(time.Second)).Truncate(time.Microsecond),
			Entry:      random.IntN(len(trace.Entries)),
			Idempotent: random.IntN(5) > 0,
			Tenant:     core.TenantID(fmt.Sprintf("t%d", random.IntN(3))),
			Session:    fmt.Sprintf("s%d", random.IntN(200)),
		})
	}
	return trace
}

func dataCentre(i int) core.DataCentre {
	return core.DataCentre(fmt.Sprintf("dc%d", i))
}

// Guards against measures that differ between two replays of the same trace, so that policies could not be compared.
func TestEqualTracesGiveEqualMeasures(t *testing.T) {
	c := qt.New(t)
	trace := smallTrace(1, 5, 1000, callreplay.Event{AtMS: 1000, Node: "n1", Kind: callreplay.EventCrash})
	for _, policy := range balancer.Policies() {
		c.Assert(callreplay.Run(trace, callreplay.Options{Policy: policy, Seed: 7}), qt.Equals, callreplay.Run(trace, callreplay.Options{Policy: policy, Seed: 7}))
	}
}

// Guards against a trace file that changes when it is written and read.
func TestTraceFileRoundTrip(t *testing.T) {
	c := qt.New(t)
	trace := smallTrace(2, 1, 200, callreplay.Event{AtMS: 100, Node: "n0", Kind: callreplay.EventFail, Value: 100})
	var file bytes.Buffer
	c.Assert(trace.Write(&file), qt.IsNil)
	read, err := callreplay.Read(&file)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, trace)
}

// Guards against a malformed trace that is replayed in part.
func TestReadRefusesMalformedTraces(t *testing.T) {
	c := qt.New(t)
	for source, want := range map[string]string{
		`{"colour": 1}`: `.*unknown field "colour"`,
		`{}`:            `.*entries, endpoints and timeout-ms are needed`,
		`{"timeout-ms": 1, "entries": [{}], "endpoints": [{"node": "a"}], "events": [{"node": "b"}]}`:      `.*unknown node "b"`,
		"{\"timeout-ms\": 1, \"entries\": [{}], \"endpoints\": [{\"node\": \"a\"}]}\n---\n5 1 once t -\n":  `line 3: .*entry 1 does not exist`,
		"{\"timeout-ms\": 1, \"entries\": [{}], \"endpoints\": [{\"node\": \"a\"}]}\n---\n5 0 twice t -\n": `line 3: .*expected idempotent or once`,
	} {
		_, err := callreplay.Read(strings.NewReader(source))
		c.Assert(err, qt.ErrorMatches, want)
	}
}

// Guards against a policy or limiter that runs a call twice, or refuses callers that could be served, when a backend
// server crashes, slows down, fails, or has fewer slots than it announces.
func TestDefaultPolicyServesCallersUnderFaults(t *testing.T) {
	c := qt.New(t)
	for name, events := range map[string][]callreplay.Event{
		"calm":   nil,
		"slow":   {{AtMS: 1000, Node: "n1", Kind: callreplay.EventSlow, Value: 10_000}},
		"crash":  {{AtMS: 1000, Node: "n1", Kind: callreplay.EventCrash}, {AtMS: 3000, Node: "n1", Kind: callreplay.EventStart, Value: 2000}},
		"shrink": {{AtMS: 1000, Node: "n1", Kind: callreplay.EventShrink, Value: 2}},
		"leave":  {{AtMS: 1000, Node: "n1", Kind: callreplay.EventLeaving}},
	} {
		got := callreplay.Run(smallTrace(3, 8, 1500, events...), callreplay.Options{Policy: balancer.PolicyPowerOfTwo, Seed: 1})
		c.Logf("%s: %+v", name, got)
		c.Assert(got.RunTwice, qt.Equals, 0, qt.Commentf(name))
		c.Assert(got.Refused+got.Late, qt.Equals, 0, qt.Commentf("%s: %+v", name, got))
		// A crash loses at most the calls that ran on the crashed backend server: its 9 slots.
		c.Assert(got.Unknown <= 9, qt.IsTrue, qt.Commentf("%s: %+v", name, got))
		c.Assert(got.Calls, qt.Equals, got.Answered+got.Unknown+got.Failed, qt.Commentf(name))
	}
}

// BenchmarkPolicies prints what callers see under each policy and fault, from the same traces.
func BenchmarkPolicies(b *testing.B) {
	for name, events := range map[string][]callreplay.Event{
		"calm": nil,
		"slow": {{AtMS: 2000, Node: "n1", Kind: callreplay.EventSlow, Value: 10_000}},
		"fail": {{AtMS: 2000, Node: "n1", Kind: callreplay.EventFail, Value: 300}},
		"cold": {{AtMS: 2000, Node: "n1", Kind: callreplay.EventCrash}, {AtMS: 3000, Node: "n1", Kind: callreplay.EventStart, Value: 5000}},
	} {
		for _, policy := range balancer.Policies() {
			b.Run(name+"/"+string(policy), func(b *testing.B) {
				var m callreplay.Measures
				for b.Loop() {
					m = callreplay.Run(smallTrace(11, 10, 3000, events...), callreplay.Options{Policy: policy, Seed: 1})
				}
				b.ReportMetric(float64(m.P50US), "p50-us")
				b.ReportMetric(float64(m.P99US), "p99-us")
				b.ReportMetric(float64(m.Calls-m.Answered), "not-answered")
				b.ReportMetric(float64(m.Failed), "failed")
			})
		}
	}
}

// Guards against a change of balancer, limiter or retry rules after which a stored trace does not meet its expectations. The
// arrivals were recorded from running processes, at the sizes of both deployments.
func TestStoredTracesMeetTheirExpectations(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.calls")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 14)
	for _, file := range files {
		c.Check(callreplay.RunFile(file, io.Discard), qt.IsNil)
	}
}

// Guards against hedging that does not reduce the tail latency, or that adds load, above all to an overloaded service.
func TestHedgingOnStoredTraces(t *testing.T) {
	c := qt.New(t)
	for _, deployment := range []string{"pamoja", "vavlaget"} {
		for _, name := range []string{"calm", "slow-server", "crash-and-cold-start", "all-shed-with-503", "overload"} {
			file := name
			if name == "overload" {
				file = "calm"
			}
			trace, err := callreplay.ReadFile("testdata/" + file + "-" + deployment + ".calls")
			c.Assert(err, qt.IsNil)
			if name == "overload" {
				for _, endpoint := range trace.Endpoints {
					trace.Events = append(trace.Events, callreplay.Event{AtMS: 1000, Node: endpoint.Node, Kind: callreplay.EventSlow, Value: 2500})
				}
			}
			var with, without callreplay.Measures
			for seed := range uint64(5) {
				for _, sum := range []*callreplay.Measures{&with, &without} {
					m := callreplay.Run(trace, callreplay.Options{Seed: seed, NoHedging: sum == &without})
					sum.Hedges += m.Hedges
					sum.Runs += m.Runs
					sum.BusyMS += m.BusyMS
					sum.P99US += m.P99US / 5
					sum.Answered += m.Answered
				}
			}
			comment := qt.Commentf("%s %s: with hedging %+v, without %+v", name, deployment, with, without)
			t.Log(comment)
			c.Check(float64(with.Runs) <= 1.05*float64(without.Runs), qt.IsTrue, comment) // hedges may use half of the retry budget
			c.Check(with.BusyMS <= 1.05*without.BusyMS, qt.IsTrue, comment)
			if name == "slow-server" || name == "crash-and-cold-start" {
				c.Check(with.P99US < without.P99US, qt.IsTrue, comment)
			}
		}
	}
}
