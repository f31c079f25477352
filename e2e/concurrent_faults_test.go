package e2e

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

var concurrentFaultsSeed = flag.Uint64("fault-seed", 1, "seed of the faults in TestConcurrentFaults")

// Guards against calls that run twice or are wrongly refused as not run, nodes that go back to an older revision and lost
// records when control instances, nodes and backend servers are killed, frozen and stopped, several at a time and again right
// after their restart.
func TestConcurrentFaults(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	const nodes = 6
	d.startServing(nodes)
	all := lo.RangeFrom(1, nodes)
	plain := d.startCaller("plain", 20*time.Second, 150, all)
	keyed := d.startCaller("keyed", 20*time.Second, 150, all, "--post-per-mille", "1000", "--keyed", "--resends", "3")
	random := rand.New(rand.NewPCG(*concurrentFaultsSeed, 0))
	accepted := make(map[core.RecordVersion]core.Revision)
	for version := core.RecordVersion(1); version <= 8; version++ {
		undo := d.injectFaults(random, nodes, 1+random.IntN(3))
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond) // covers faults shorter and longer than the timeouts
		undo()
		verdict := d.submit(d.client(), serviceSubmission("together", version))
		c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
		accepted[version] = verdict.Revision
	}
	d.awaitCondition("the newest revision is in force on all nodes", convergenceTarget, func() bool {
		status, err := d.status(d.client())
		return err == nil && status.Fleet.Nodes == nodes && status.Fleet.LowestInForce == status.Revision && status.Fleet.Endpoints["transcripts"] == nodes
	})
	plain.verify()
	keyed.verify()
	for version, revision := range accepted {
		c.Assert(d.submit(d.client(), serviceSubmission("together", version)).Revision, qt.Equals, revision)
	}
}

// injectFaults injects faults into count different processes; undo ends them all.
func (d *deployment) injectFaults(random *rand.Rand, nodes, count int) (undo func()) {
	undoByProcess := make(map[string]func())
	for len(undoByProcess) < count {
		i := 1 + random.IntN(nodes)
		name, restart := fmt.Sprintf("n%d", i), func() { d.startNode(i) }
		switch random.IntN(3) {
		case 0:
			i = 1 + i%controlCount
			name, restart = fmt.Sprintf("c%d", i), func() { d.startControl(i) }
		case 1:
			name, restart = fmt.Sprintf("b%d", i), func() { d.startBackend(i, "v1") }
		}
		if undoByProcess[name] == nil {
			undoByProcess[name] = d.injectFault(random, name, restart)
		}
	}
	return func() {
		for _, name := range slices.Sorted(maps.Keys(undoByProcess)) {
			undoByProcess[name]()
		}
	}
}

// injectFault kills, stops or freezes a process; undo restarts or resumes it.
func (d *deployment) injectFault(random *rand.Rand, name string, restart func()) (undo func()) {
	d.c.Logf("fault injected into %s", name)
	switch random.IntN(3) {
	case 0:
		d.kill(name)
		return restart
	case 1:
		d.signal(name, syscall.SIGSTOP)
		return func() { d.signal(name, syscall.SIGCONT) }
	default:
		process := d.processes[name]
		d.signal(name, syscall.SIGTERM)
		delete(d.processes, name)
		_ = process.Wait() // returns an error if the signal came before the process had installed its handler
		return restart
	}
}
