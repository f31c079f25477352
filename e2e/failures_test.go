package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Guards against accepted records that are lost or reverted, and submission ids whose verdict changes, when one or two control
// instances at a time are killed at random moments.
func TestAcceptedRecordsSurviveKills(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	d.startControls()
	d.leader()
	random := rand.New(rand.NewPCG(4, 4))
	client := d.client()
	accepted := make(map[core.SubmissionID]core.Revision)
	version := core.RecordVersion(0)
	for round := range 6 {
		targets := lo.Samples([]int{1, 2, 3}, 1+round%2)
		killed := make(chan struct{})
		delay := time.Duration(random.IntN(200)) * time.Millisecond
		go func() {
			defer close(killed)
			time.Sleep(delay) // kills at a random moment while submissions are made
			for _, i := range targets {
				_ = d.processes[fmt.Sprintf("c%d", i)].Process.Kill()
			}
		}()
		for range 5 {
			version++
			submission := serviceSubmission("survivor", version)
			if len(targets) == 1 {
				verdict := d.submit(client, submission)
				c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
				accepted[submission.ID] = verdict.Revision
				continue
			}
			<-killed
		}
		<-killed
		for _, i := range targets {
			name := fmt.Sprintf("c%d", i)
			_ = d.processes[name].Wait()
			delete(d.processes, name)
			d.startControl(i)
		}
		d.leader()
		for id, revision := range accepted {
			var repeated core.RecordVersion
			_, err := fmt.Sscanf(string(id), "survivor-%d", &repeated)
			c.Assert(err, qt.IsNil)
			c.Assert(d.submit(client, serviceSubmission("survivor", repeated)).Revision, qt.Equals, revision, qt.Commentf("round %d, submission %s", round, id))
		}
	}
	c.Assert(accepted, qt.HasLen, 15)
}

// Guards against a leading control instance that is frozen, replaced by another leader and, once it is resumed, reports its
// outdated state as current.
func TestFrozenLeaderServesNoStaleState(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	d.startControls()
	frozen := d.leader()
	others := lo.Without([]int{1, 2, 3}, frozen)
	name := fmt.Sprintf("c%d", frozen)
	d.signal(name, syscall.SIGSTOP)
	verdict := d.submit(d.client(others...), serviceSubmission("while-frozen", 1))
	c.Assert(verdict.Result, qt.Equals, catalog.Accepted)
	d.signal(name, syscall.SIGCONT)
	for range 20 {
		status, err := d.status(d.client(frozen))
		if err == nil && status.Current {
			c.Assert(status.Revision >= verdict.Revision, qt.IsTrue, qt.Commentf("%+v", status))
		}
	}
	d.awaitCondition("the resumed instance has caught up", 10*time.Second, func() bool {
		status, err := d.status(d.client(frozen))
		return err == nil && status.Current && status.Revision >= verdict.Revision
	})
}

// Guards against nodes that stop serving while no control instance runs, and against a restarted node that takes calls before
// a control instance has confirmed its configuration, which may be older than the one before its restart.
func TestNodesServeWithoutControlInstances(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	d.startServing(3)
	for i := 1; i <= controlCount; i++ {
		d.kill(fmt.Sprintf("c%d", i))
	}
	calls := d.startCaller("without-control", 6*time.Second, 200, []int{1, 2})
	d.kill("n3")
	d.kill("b3")
	d.startNode(3)
	d.startBackend(3, "v1")
	calls.verify()
	// Only the calls in the 9 slots of the killed backend server may stay unanswered.
	c.Assert(calls.summary()["ok"].(float64) >= calls.summary()["calls"].(float64)-9, qt.IsTrue, qt.Commentf("%v", calls.summary()))
	c.Assert(d.ready("n3"), qt.IsFalse)

	d.startControls()
	d.awaitCondition("the restarted node is ready", 20*time.Second, func() bool { return d.ready("n3") })
}

// Guards against calls that are cut off or refused while all nodes and backend servers are restarted in turn under load.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	d := newDeployment(qt.New(t))
	const nodes = 4
	d.startServing(nodes)
	calls := d.startCaller("rolling", 24*time.Second, 200, []int{1, 2, 3, 4})
	for i := 1; i <= nodes; i++ {
		node := fmt.Sprintf("n%d", i)
		others := lo.Without(lo.RangeFrom(1, nodes), i)
		before := core.Incarnation(time.Now().UnixNano()) // an incarnation is the start time of its process
		d.stop(node)
		d.stop(fmt.Sprintf("b%d", i))
		d.startNode(i)
		d.startBackend(i, "v1")
		d.awaitCondition("the restarted node is ready and the other nodes know its new endpoint", 10*time.Second, func() bool {
			status, err := d.status(d.client())
			return err == nil && status.Fleet.Endpoints["transcripts"] == nodes && d.ready(node) &&
				lo.EveryBy(others, func(other int) bool { return d.incarnation(other, node) > before })
		})
	}
	calls.verify("--all-answered")
}

// Guards against refused calls while all nodes and backend servers are restarted within about one second, so that for some
// time no node knows a usable endpoint.
func TestRestartOfAllNodesWithinOneSecondRefusesNoCall(t *testing.T) {
	d := newDeployment(qt.New(t))
	const nodes = 4
	d.startServing(nodes)
	calls := d.startCaller("all-at-once", 8*time.Second, 200, []int{1, 2, 3, 4})
	for i := 1; i <= nodes; i++ {
		d.stop(fmt.Sprintf("n%d", i))
		d.stop(fmt.Sprintf("b%d", i))
		d.startBackend(i, "v1")            // its first announcement fails because the node does not run; the next follows 1 s later
		time.Sleep(100 * time.Millisecond) // lets the first announcement fail before the node listens
		d.startNode(i)
		d.awaitCondition("the restarted node is ready", 10*time.Second, func() bool { return d.ready(fmt.Sprintf("n%d", i)) })
	}
	calls.verify("--all-answered")
}

// incarnation returns the incarnation in the ready endpoint of one node, as another node knows it, and 0 if that node knows
// none.
func (d *deployment) incarnation(at int, of string) core.Incarnation {
	_, body := d.get("http://" + d.address(fmt.Sprintf("n%d-admin", at)) + "/state")
	var state struct {
		Endpoints map[core.ServiceName][]core.Endpoint `json:"endpoints"`
	}
	_ = json.Unmarshal(body, &state) // the body is empty if the node cannot be reached
	known, _ := lo.Find(state.Endpoints["transcripts"], func(e core.Endpoint) bool {
		return string(e.Node) == of && e.State == core.EndpointReady
	})
	return known.Incarnation
}

// Guards against calls that run twice or are wrongly refused as not run when backend servers and nodes are killed under load.
func TestNonIdempotentCallsRunOnceDespiteKills(t *testing.T) {
	d := newDeployment(qt.New(t))
	d.startServing(4)
	calls := d.startCaller("killed", 10*time.Second, 300, []int{1, 2, 3, 4}, "--post-per-mille", "700")
	for i := 1; i <= 3; i++ {
		calls.awaitMoreCalls(200)
		d.kill(fmt.Sprintf("b%d", i))
		d.startBackend(i, "v1")
		d.kill(fmt.Sprintf("n%d", i))
		d.startNode(i)
	}
	calls.verify()
}

// Guards against a call with an idempotency key that runs twice because its caller resends it through other nodes after the
// answer was lost with a killed backend server or node.
func TestResentKeyedCallsRunOnce(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	const nodes = 4
	d.startControls()
	d.leader()
	for i := 1; i <= nodes; i++ {
		d.startNode(i)
		d.startBackend(i, "v1")
	}
	// The nodes must know each other before the service's records are accepted. The pause includes a margin for clock differences.
	time.Sleep(3 * time.Second)
	d.submit(d.client(), transcriptsSubmission(1))
	d.awaitCondition("all nodes are ready and all endpoints known", 20*time.Second, func() bool {
		status, err := d.status(d.client())
		return err == nil && status.Fleet.Endpoints["transcripts"] == nodes && lo.EveryBy(lo.RangeFrom(1, nodes), func(i int) bool { return d.ready(fmt.Sprintf("n%d", i)) })
	})
	calls := d.startCaller("keyed", 10*time.Second, 200, []int{1, 2, 3, 4}, "--post-per-mille", "1000", "--keyed", "--resends", "3")
	for i := 1; i <= 2; i++ {
		calls.awaitMoreCalls(300)
		d.kill(fmt.Sprintf("b%d", i))
		d.startBackend(i, "v1")
		d.kill(fmt.Sprintf("n%d", i))
		d.startNode(i)
	}
	calls.verify()
	// Only the calls in the 9 slots of each of the four killed processes may stay unanswered.
	c.Assert(calls.summary()["ok"].(float64) >= calls.summary()["calls"].(float64)-4*9, qt.IsTrue, qt.Commentf("%v", calls.summary()))
}

// Guards against a control instance that has lost its disk, and with it the votes it cast and the entries it acknowledged, and
// still votes.
func TestWipedInstanceDoesNotVote(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	d.startControls()
	verdict := d.submit(d.client(), serviceSubmission("kept", 1))
	wiped := d.leader()
	others := lo.Without([]int{1, 2, 3}, wiped)
	name := fmt.Sprintf("c%d", wiped)
	d.kill(name)
	c.Assert(os.RemoveAll(d.dataFolder(wiped)), qt.IsNil)
	d.startControl(wiped)
	d.leader()
	d.submit(d.client(others...), serviceSubmission("kept", 2))

	// With another instance killed, the wiped one must not make up a majority.
	d.kill(fmt.Sprintf("c%d", others[0]))
	end := time.Now().Add(5 * time.Second) // several election timeouts
	for time.Now().Before(end) {
		status, err := d.status(d.client(others[1]))
		if err == nil && status.Replica.Leader == core.ControlID(fmt.Sprintf("c%d", others[1])) && status.Current {
			c.Fatalf("the wiped instance has voted: %+v", status)
		}
	}
	d.startControl(others[0])
	d.leader()
	c.Assert(d.submit(d.client(), serviceSubmission("kept", 1)).Revision, qt.Equals, verdict.Revision)
}

// Guards against a restart that takes too long because it replays the whole log instead of a snapshot, or that loses changes.
func TestRestartAfterTwoThousandChanges(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	d.startControls()
	client := d.client(d.leader())
	for version := core.RecordVersion(1); version <= 2000; version++ {
		d.submit(client, serviceSubmission("busy", version))
	}
	for i := 1; i <= controlCount; i++ {
		d.kill(fmt.Sprintf("c%d", i))
	}
	snapshots, err := filepath.Glob(filepath.Join(d.dataFolder(1), "*snapshot*"))
	c.Assert(err, qt.IsNil)
	c.Assert(snapshots, qt.Not(qt.HasLen), 0)
	d.startControls()
	took := d.awaitCondition("all changes are restored", 10*time.Second, func() bool {
		status, err := d.status(d.client())
		return err == nil && status.Current && status.Revision == 2000
	})
	c.Logf("restart after 2,000 changes: a leader confirmed them after %v", took)
}
