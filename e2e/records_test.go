package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/operatorhttp"
)

const operatorTimeout = 20 * time.Second

// client returns an operator client for the given control instances, or for all of them.
func (d *deployment) client(instances ...int) *operatorhttp.Client {
	if len(instances) == 0 {
		instances = []int{1, 2, 3}
	}
	client := operatorhttp.NewClient(operatorhttp.ClientOptions{
		Servers: lo.Map(instances, func(i, _ int) string { return d.operatorAddress(i) }),
	})
	d.c.Cleanup(client.Close)
	return client
}

func (d *deployment) submit(client *operatorhttp.Client, submission core.Submission) catalog.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	verdict, err := client.Submit(ctx, submission)
	d.c.Assert(err, qt.IsNil, qt.Commentf("submission %s", submission.ID))
	return verdict
}

func (d *deployment) status(client *operatorhttp.Client) (operatorhttp.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return client.Status(ctx)
}

// leader waits until a control instance leads with a current state, and returns its number.
func (d *deployment) leader() int {
	leader := 0
	d.awaitCondition("a leader is known", 15*time.Second, func() bool {
		for i := 1; i <= controlCount; i++ {
			if _, running := d.processes[fmt.Sprintf("c%d", i)]; !running {
				continue
			}
			status, err := d.status(d.client(i))
			if err == nil && status.Current && status.Replica.Leader == status.Replica.Self {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

func jsonBody(v any) json.RawMessage {
	return lo.Must(json.Marshal(v))
}

// transcriptsSubmission returns the records of one service with two releases; all traffic goes to v1.
func transcriptsSubmission(version core.RecordVersion) core.Submission {
	record := func(kind core.Kind, name string, v any) core.Record {
		return core.Record{Kind: kind, Name: name, SchemaVersion: 1, Version: version, Body: jsonBody(v)}
	}
	return core.Submission{
		ID:       core.SubmissionID(fmt.Sprintf("transcripts-%d", version)),
		Operator: "test",
		Records: []core.Record{
			record(core.KindService, "transcripts", core.ServiceBody{Tenant: "platform"}),
			record(core.KindUpstream, "transcripts-v1", core.UpstreamBody{Service: "transcripts", Release: "v1", Slots: 9}),
			record(core.KindUpstream, "transcripts-v2", core.UpstreamBody{Service: "transcripts", Release: "v2", Slots: 9}),
			record(core.KindPolicy, "transcripts", core.PolicyBody{Service: "transcripts", Weights: []core.Weight{{Upstream: "transcripts-v1", PerMille: 1000}}}),
			record(core.KindRoute, "read", core.RouteBody{PathPrefix: "/transcripts", Methods: []string{"GET"}, Service: "transcripts", Idempotent: true, TimeoutMS: 2000}),
			record(core.KindRoute, "lodge", core.RouteBody{PathPrefix: "/transcripts", Methods: []string{"POST"}, Service: "transcripts", TimeoutMS: 2000}),
		},
	}
}

// serviceSubmission returns a submission of a single service record.
func serviceSubmission(name string, version core.RecordVersion) core.Submission {
	return core.Submission{
		ID:       core.SubmissionID(fmt.Sprintf("%s-%d", name, version)),
		Operator: "test",
		Records: []core.Record{
			{Kind: core.KindService, Name: name, SchemaVersion: 1, Version: version, Body: jsonBody(core.ServiceBody{Tenant: core.TenantID(fmt.Sprintf("t%d", version))})},
		},
	}
}

// startServing starts all control instances and the given number of nodes, each with a backend server of release v1, and waits
// until all nodes are ready.
func (d *deployment) startServing(nodes int) {
	d.startControls()
	d.submit(d.client(), transcriptsSubmission(1))
	for i := 1; i <= nodes; i++ {
		d.startNode(i)
		d.startBackend(i, "v1")
	}
	d.awaitCondition("all nodes are ready and all endpoints known", 20*time.Second, func() bool {
		status, err := d.status(d.client())
		return err == nil && status.Fleet.Endpoints["transcripts"] == nodes && lo.EveryBy(lo.RangeFrom(1, nodes), func(i int) bool { return d.ready(fmt.Sprintf("n%d", i)) })
	})
}

// callerRun is a running process of the caller stand-in.
type callerRun struct {
	d       *deployment
	name    string
	process *exec.Cmd
}

// startCaller starts a caller stand-in that calls the given nodes for a while, at rate calls a second.
func (d *deployment) startCaller(name string, duration time.Duration, rate int, nodes []int, flags ...string) *callerRun {
	args := []string{
		"caller", "--path", "/transcripts/1", "--path", "/transcripts/2", "--workers", "32",
		"--rate", fmt.Sprint(rate), "--duration-ms", fmt.Sprint(duration.Milliseconds()),
		"--log", filepath.Join(d.folder, name+".calls"), "--summary", filepath.Join(d.folder, name+".summary"),
	}
	for _, i := range nodes {
		args = append(args, "--target", d.address(fmt.Sprintf("n%d-caller", i)))
	}
	d.start(name, programs.standin, append(args, flags...)...)
	return &callerRun{d: d, name: name, process: d.processes[name]}
}

// awaitMoreCalls waits until a number of further calls have ended. Others are in progress when it returns.
func (run *callerRun) awaitMoreCalls(additional int) {
	run.d.c.Helper()
	ended := func() int {
		text, err := os.ReadFile(filepath.Join(run.d.folder, run.name+".calls"))
		if err != nil {
			return 0 // the call log does not exist yet
		}
		return bytes.Count(text, []byte("\n"))
	}
	before := ended()
	run.d.awaitCondition("further calls have ended", 10*time.Second, func() bool { return ended() >= before+additional })
}

// verify waits for the end of the calls and checks the call log against all run logs. The flags go to "standin verify".
func (run *callerRun) verify(flags ...string) {
	delete(run.d.processes, run.name)
	run.d.c.Assert(run.process.Wait(), qt.IsNil)
	args := []string{"verify", "--calls", filepath.Join(run.d.folder, run.name+".calls")}
	runs, _ := filepath.Glob(filepath.Join(run.d.folder, "*.runs"))
	for _, file := range runs {
		args = append(args, "--runs", file)
	}
	output, err := exec.Command(programs.standin, append(args, flags...)...).CombinedOutput()
	run.d.c.Assert(err, qt.IsNil, qt.Commentf("%s: %s", run.name, output))
}

// summary returns the summary that the caller stand-in has written.
func (run *callerRun) summary() map[string]any {
	text, err := os.ReadFile(filepath.Join(run.d.folder, run.name+".summary"))
	run.d.c.Assert(err, qt.IsNil)
	var counts map[string]any
	run.d.c.Assert(json.Unmarshal(text, &counts), qt.IsNil)
	return counts
}
