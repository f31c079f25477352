package unknowncallers

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

var (
	soakSeeds = flag.Int("soak-seeds", 2, "number of seeds that TestSoak plays")
	firstSeed = flag.Uint64("soak-first-seed", 1, "first seed of TestSoak")
)

const (
	// soakTime is how long crowds and disturbances overlap for one seed.
	soakTime = 12 * time.Second
	// soakCrowdSize is the number of clients of each crowd, several of which are open at the same time.
	soakCrowdSize = 32
	// soakWriters is the number of ordinary callers, which keep their connections until the process is gone.
	soakWriters = 8
)

// runs counts the runs of the soak's calls at the archive by id.
var runs sync.Map

func countRun(r *http.Request) {
	if id := r.Header.Get("Soak-Id"); id != "" {
		count, _ := runs.LoadOrStore(id, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
	}
}

// soakCrowds are the crowds that may overlap. Those that need the descriptors of a whole process are left out.
func soakCrowds() []crowd {
	var all []crowd
	for _, each := range [][]crowd{headCrowds(quickPath), oddCrowds(writePath), callCrowds(), answerHeadCrowds(), bodyCrowds()} {
		all = append(all, each...)
	}
	return all
}

// Guards against crowds, signals, restarts and changes of the configuration that are harmless one by one. Ordinary callers write beside
// them: no call runs twice, and none that was refused as not run has run.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
	if _, running := deployment.processes[farNode]; running {
		kill(farNode)
	}
}

func soak(t *testing.T, seed uint64) {
	c, r := qt.New(t), rand.New(rand.NewPCG(seed, 42))
	startArchive(c)
	checks := map[string]*processCheck{node: newProcessCheck(c, node), farNode: newProcessCheck(c, farNode)}
	stop := make(chan struct{})
	var work sync.WaitGroup
	var answeredCalls, refused, unknown, wrong atomic.Int64
	var notRun sync.Map // ids of calls that must never run
	for i := range soakWriters {
		entry := []string{node, farNode}[i%2]
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		work.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d-%d", seed, i, n)
				outcome := write(client, entry, id, random.IntN(3<<20)*random.IntN(2))
				ran := int64(0)
				if count, exists := runs.Load(id); exists {
					ran = count.(*atomic.Int64).Load()
				}
				switch {
				case ran > 1, outcome == core.OutcomeNotRun && ran > 0, outcome == core.OutcomeAnswered && ran != 1:
					wrong.Add(1)
					t.Errorf("call %s: outcome %q, %d runs", id, outcome, ran)
				case outcome == core.OutcomeAnswered:
					answeredCalls.Add(1)
				case outcome == core.OutcomeNotRun:
					refused.Add(1)
					notRun.Store(id, true)
					time.Sleep(pollInterval)
				default:
					unknown.Add(1)
					time.Sleep(pollInterval)
				}
			}
		})
	}
	for range 2 {
		crowds, random := soakCrowds(), rand.New(rand.NewPCG(seed, r.Uint64()))
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				each := crowds[random.IntN(len(crowds))]
				each.size, each.patience = soakCrowdSize, time.Second
				clients := each.run(address([]string{node, farNode}[random.IntN(2)], portCaller), random.Uint64())
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				clients.close()
			}
		})
	}
	disturb(c, r, checks)
	close(stop)
	work.Wait()
	for name, check := range checks {
		c.Check(answered(func() bool { return answers(archiveRequest(name)) }), qt.IsTrue, qt.Commentf("ordinary request at %s", name))
		check.finish(c)
	}
	notRun.Range(func(id, _ any) bool {
		_, ran := runs.Load(id)
		return c.Check(ran, qt.IsFalse, qt.Commentf("call %s was refused as not run and ran later", id))
	})
	t.Logf("seed %d: %d writes answered, %d refused, %d unknown, %d wrong", seed, answeredCalls.Load(), refused.Load(), unknown.Load(), wrong.Load())
	if t.Failed() {
		for name := range checks {
			t.Logf("%s: %s", name, logTail(name))
		}
	}
}

// write sends one call that must not run twice, and returns its outcome as the caller sees it.
func write(client *http.Client, entry, id string, bodyBytes int) core.Outcome {
	request := newRequest(http.MethodPost, "http://"+address(entry, portCaller)+writePath, strings.Repeat("x", bodyBytes))
	request.GetBody = nil // net/http must not send it again
	request.Header.Set("Soak-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return core.OutcomeUnknown
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return core.OutcomeUnknown
	}
	return core.Outcome(response.Header.Get("Parsleyport-Outcome"))
}

// configurationVersion is that of the latest change of the soak.
var configurationVersion = 1

// changeTimeout changes the route of the soak's calls.
func changeTimeout(c *qt.C, milliseconds int) {
	configurationVersion++
	changed := newRecord(core.KindRoute, "archive-write", fmt.Sprintf(`{"path-prefix":"/archive-write","methods":["POST"],"service":"archive","timeout-ms":%d}`, milliseconds))
	changed.Version = core.RecordVersion(configurationVersion)
	submit(c, core.SubmissionID(fmt.Sprint("archive-write-", configurationVersion)), changed)
}

// disturb sends signals, restarts nodes and changes the configuration, in series that overlap with each other's effects.
func disturb(c *qt.C, r *rand.Rand, checks map[string]*processCheck) {
	for until := time.Now().Add(soakTime); time.Now().Before(until); time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond) {
		name := []string{node, farNode}[r.IntN(2)]
		check := checks[name]
		switch action := r.IntN(8); action {
		case 0, 1: // a planned stop in the middle of everything, perhaps cut short
			check.finish(c)
			_ = check.process.command.Process.Signal(syscall.SIGTERM)
			select {
			case <-check.process.exited:
			case <-time.After(time.Duration(r.IntN(4000)) * time.Millisecond):
			}
			kill(name)
			startArchive(c)
			checks[name] = newProcessCheck(c, name)
		case 2:
			check.finish(c)
			kill(name)
			startArchive(c)
			checks[name] = newProcessCheck(c, name)
		case 3, 4: // a series of pauses
			for range 1 + r.IntN(4) {
				_ = check.process.command.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
				_ = check.process.command.Process.Signal(syscall.SIGCONT)
				time.Sleep(time.Duration(r.IntN(50)) * time.Millisecond)
			}
		default:
			changeTimeout(c, 4000+r.IntN(2000))
		}
		for _, each := range checks {
			each.observe(c)
		}
	}
}
