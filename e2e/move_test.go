package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/rollout"
	"parsleyport/io/operatorhttp"
)

// setFaults configures the faults of a backend server stand-in.
func (d *deployment) setFaults(i int, faults string) {
	d.awaitCondition("the backend server accepts the configuration of its faults", 5*time.Second, func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+d.address(fmt.Sprintf("b%d", i))+"/standin/faults", strings.NewReader(faults))
		d.c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusNoContent
	})
}

func (d *deployment) startMove(client *operatorhttp.Client, request core.MoveRequest) core.MoveID {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	verdict, err := client.Move(ctx, request)
	d.c.Assert(err, qt.IsNil)
	return verdict.Move
}

// awaitMove polls a move until the condition holds and returns its state at that time.
func (d *deployment) awaitMove(client *operatorhttp.Client, id core.MoveID, limit time.Duration, condition func(core.Move) bool) core.Move {
	var move core.Move
	d.awaitCondition("the move reaches the expected state", limit, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		current, err := client.ShowMove(ctx, id)
		if err == nil {
			move = current
		}
		return err == nil && condition(move)
	})
	return move
}

// callsBetween returns the number of logged calls that began in a time range, and how many of these release v2 answered.
func (run *callerRun) callsBetween(from, to time.Time) (all, answeredByV2 int) {
	file, err := os.Open(filepath.Join(run.d.folder, run.name+".calls"))
	run.d.c.Assert(err, qt.IsNil)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var call struct {
			At      time.Time `json:"at"`
			Release string    `json:"release"`
		}
		run.d.c.Assert(json.Unmarshal(lines.Bytes(), &call), qt.IsNil)
		if call.At.Before(from) || call.At.After(to) {
			continue
		}
		all++
		if call.Release == "v2" {
			answeredByV2++
		}
	}
	return all, answeredByV2
}

// runsOfV2 returns the number of runs in the logs of the backend servers of v2, which belong to nodes 3 and 4.
func (d *deployment) runsOfV2() int {
	runs := 0
	for _, name := range []string{"b3", "b4"} {
		text, err := os.ReadFile(filepath.Join(d.folder, "runs-"+name+".runs"))
		d.c.Assert(err, qt.IsNil)
		runs += strings.Count(string(text), "\n")
	}
	return runs
}

// Guards against a move that gives all traffic to a bad release or sends it 2% of the calls or more, and against a move to a good
// release that does not end before its deadline. The backend servers of v2 are started just before the move, as in the fault
// that this test reproduces.
func TestMovesOfGoodAndBadReleases(t *testing.T) {
	for name, test := range map[string]struct {
		faults         string
		faultFromShare core.PerMille // the faults are switched on when the new release has this share
		wantState      core.MoveState
	}{
		"good":      {wantState: core.MoveDone},
		"bad":       {faults: `{"fail-per-mille": 300}`, wantState: core.MoveTakenBack},
		"late":      {faults: `{"fail-per-mille": 300}`, faultFromShare: 20, wantState: core.MoveTakenBack},
		"one route": {faults: `{"fail-per-mille": 500, "path-prefix": "/transcripts/2"}`, wantState: core.MoveTakenBack},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := newDeployment(c)
			d.startServing(2)
			client := d.client()
			route := core.Record{Kind: core.KindRoute, Name: "second", SchemaVersion: 1, Version: 1, Body: jsonBody(core.RouteBody{PathPrefix: "/transcripts/2", Service: "transcripts", TimeoutMS: 2000})}
			d.submit(client, core.Submission{ID: "second", Operator: "test", Records: []core.Record{route}})
			for i := 3; i <= 4; i++ {
				d.startNode(i)
				d.startBackend(i, "v2")
			}
			d.awaitCondition("all nodes are ready and all endpoints known", 20*time.Second, func() bool {
				status, err := d.status(client)
				return err == nil && status.Fleet.Endpoints["transcripts"] == 4 && lo.EveryBy(lo.RangeFrom(1, 4), func(i int) bool { return d.ready(fmt.Sprintf("n%d", i)) })
			})
			injectFaults := func() {
				for i := 3; test.faults != "" && i <= 4; i++ {
					d.setFaults(i, test.faults)
				}
			}
			if test.faultFromShare == 0 {
				injectFaults()
			}
			faultAt, limit := time.Now(), 24*time.Second
			calls := d.startCaller("calls", limit, 400, []int{1, 2, 3, 4})
			id := d.startMove(client, core.MoveRequest{ID: "move", Operator: "test", Service: "transcripts", From: "transcripts-v1", To: "transcripts-v2", Deadline: faultAt.Add(limit)})
			runsBefore := 0
			if test.faultFromShare > 0 {
				d.awaitMove(client, id, limit, func(m core.Move) bool { return m.Share >= test.faultFromShare })
				faultAt, runsBefore = time.Now(), d.runsOfV2()
				injectFaults()
			}
			move := d.awaitMove(client, id, limit+2*time.Second, func(m core.Move) bool { return rollout.IsFinal(m.State) })
			c.Assert(move.State, qt.Equals, test.wantState, qt.Commentf("%+v", move))
			if test.wantState == core.MoveDone {
				c.Assert(move.SteppedAt.Before(move.Request.Deadline), qt.IsTrue)
				calls.verify("--all-answered")
				return
			}
			calls.verify()
			allCalls, _ := calls.callsBetween(move.StartedAt, move.SteppedAt.Add(time.Second))
			_, badCalls := calls.callsBetween(faultAt, move.SteppedAt.Add(time.Minute))
			t.Logf("%s; %d of %d calls, %d runs", move.Cause, badCalls, allCalls, d.runsOfV2()-runsBefore)
			c.Assert(badCalls < allCalls*2/100, qt.IsTrue, qt.Commentf("the bad release answered %d of %d calls: %+v", badCalls, allCalls, move))
			c.Assert(d.runsOfV2()-runsBefore < allCalls*2/100, qt.IsTrue)
		})
	}
}
