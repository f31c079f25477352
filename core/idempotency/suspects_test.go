package idempotency

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// crashLoad is a load pattern of a fleet in which backend servers crash.
type crashLoad struct {
	nodes       int           // each with a backend server and as entry node
	rate        float64       // requests a second of the whole fleet
	kinds       int           // number of different fingerprints; zero if each request has its own
	work        time.Duration // of a request
	crashEvery  time.Duration // mean time between crashes of other causes, zero for none
	crashShare  float64       // of the backend servers, at each of them
	lateReports bool          // crashes are known only when the lease ends
	deadlyEvery time.Duration // time between two attempts of a request that crashes backend servers, zero for none
	flapping    int           // backend servers that go down and up by turns from flapStart to flapEnd
	runLength   time.Duration
}

const deadlyFingerprint Fingerprint = 1

// crashReplay plays a crashLoad with one Suspects for each entry node.
type crashReplay struct {
	load     crashLoad
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	entries  []*Suspects
	backends []replayedBackend
	lastRun  int

	callerTrials, backendTrials []*Trials // of each node

	served, refused int
	lastRefusal     time.Time // of a request that crashes nothing
	deadlyCrashes   []time.Time
	deadlyRuns      []time.Time
}

type replayedBackend struct {
	down    bool
	process int
	running map[int]replayedRun
}

type replayedRun struct {
	fingerprint Fingerprint
	startedAt   time.Time
	entry       int
	attempt     int
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(next any)     { *q = append(*q, next.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (r *crashReplay) after(delay time.Duration, run func()) {
	heap.Push(&r.events, event{at: r.now.Add(delay), run: run})
}

func (r *crashReplay) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)+1))
}

func playCrashes(load crashLoad, seed uint64) *crashReplay {
	r := &crashReplay{
		load:     load,
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      epoch,
		entries:  make([]*Suspects, load.nodes),
		backends: make([]replayedBackend, load.nodes),
	}
	for i := range load.nodes {
		r.entries[i] = NewSuspects()
		r.callerTrials, r.backendTrials = append(r.callerTrials, NewTrials(r.entries[i])), append(r.backendTrials, NewTrials(r.entries[i]))
		r.backends[i].running = make(map[int]replayedRun)
	}
	var arrive, crash, deadly func()
	unique := Fingerprint(1000)
	arrive = func() {
		unique++
		fingerprint := unique
		if load.kinds > 0 {
			fingerprint = Fingerprint(100 + r.random.IntN(load.kinds))
		}
		r.send(fingerprint, r.random.IntN(load.nodes), 1)
		r.after(time.Duration(r.random.ExpFloat64()/load.rate*float64(time.Second)), arrive)
	}
	crash = func() {
		for range max(1, int(load.crashShare*float64(load.nodes))) {
			r.crash(r.random.IntN(load.nodes))
		}
		r.after(time.Duration(r.random.ExpFloat64()*float64(load.crashEvery)), crash)
	}
	deadly = func() {
		r.send(deadlyFingerprint, r.random.IntN(load.nodes), 1)
		r.after(load.deadlyEvery, deadly)
	}
	r.after(0, arrive)
	if load.crashEvery > 0 {
		r.after(load.crashEvery/4, crash)
	}
	if load.deadlyEvery > 0 {
		r.after(time.Second, deadly)
	}
	for at := flapStart; load.flapping > 0 && at < flapEnd; at += flapPeriod {
		r.after(at, func() {
			for i := range load.flapping {
				r.crash(i)
			}
		})
	}
	for end := epoch.Add(load.runLength); r.now.Before(end); {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r
}

// send makes an attempt, and a second one if the first is cut off.
func (r *crashReplay) send(fingerprint Fingerprint, entry, attempt int) {
	refuse := func() {
		if fingerprint != deadlyFingerprint {
			r.refused++
			r.lastRefusal = r.now
		}
	}
	trial := r.entries[entry].Suspected(r.now, fingerprint)
	if trial && (attempt > 1 || !r.callerTrials[entry].Begin(r.now, fingerprint)) {
		refuse()
		return
	}
	var up []int
	for i := range r.backends {
		if !r.backends[i].down {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		if trial {
			r.callerTrials[entry].Cancel(fingerprint)
		}
		return
	}
	backend, run := up[r.random.IntN(len(up))], r.lastRun
	if trial {
		backend = up[int(fingerprint)%len(up)]
		if r.load.lateReports { // no node knows yet which backend servers are down
			backend = int(fingerprint) % len(r.backends)
		}
		if r.backends[backend].down || !r.backendTrials[backend].Begin(r.now, fingerprint) {
			r.callerTrials[entry].Cancel(fingerprint)
			refuse()
			return
		}
		attempt = 2 // a test is not repeated
	}
	r.lastRun++
	r.backends[backend].running[run] = replayedRun{
		fingerprint: fingerprint,
		startedAt:   r.now,
		entry:       entry,
		attempt:     attempt,
	}
	if fingerprint == deadlyFingerprint {
		r.deadlyRuns = append(r.deadlyRuns, r.now)
		r.after(r.between(time.Millisecond, 30*time.Millisecond), func() {
			if _, running := r.backends[backend].running[run]; running {
				r.deadlyCrashes = append(r.deadlyCrashes, r.now)
				r.crash(backend)
			}
		})
		return
	}
	r.after(r.between(r.load.work/2, 2*r.load.work), func() {
		if _, running := r.backends[backend].running[run]; !running {
			return
		}
		delete(r.backends[backend].running, run)
		r.served++
		if r.entries[entry].RecordCompletion(r.now, fingerprint) {
			r.tellCompletion(fingerprint, r.now)
		}
	})
}

func (r *crashReplay) crash(backend int) {
	b := &r.backends[backend]
	if b.down {
		return
	}
	lost := b.running
	b.down, b.running = true, make(map[int]replayedRun)
	b.process++
	detection := r.between(5*time.Millisecond, 120*time.Millisecond)
	if r.load.lateReports {
		detection = 4500 * time.Millisecond
	}
	for _, number := range slices.Sorted(maps.Keys(lost)) { // replays with equal seeds are equal
		run := lost[number]
		crash := Crash{
			ID:          CrashID{Node: core.NodeID(fmt.Sprint(backend)), Run: fmt.Sprint(b.process)},
			Fingerprint: run.fingerprint,
			StartedAt:   run.startedAt,
			At:          r.now,
			Alone:       true,
		}
		for _, other := range lost {
			crash.Alone = crash.Alone && other.fingerprint == run.fingerprint
		}
		r.after(detection, func() { r.tellCrash(crash) })
		if run.attempt == 1 {
			r.after(r.between(time.Millisecond, 3*time.Millisecond), func() { r.send(run.fingerprint, run.entry, 2) })
		}
	}
	downFor := 4500 * time.Millisecond
	if backend < r.load.flapping {
		downFor = flapPeriod / 2
	}
	r.after(downFor, func() { b.down = false })
}

// Flapping backend servers are down for the first half of each period.
const (
	flapStart  = 6 * time.Second
	flapPeriod = 1400 * time.Millisecond
	flapEnd    = flapStart + 6500*time.Millisecond
)

// maxTransit is the longest way of a report to another node. The receiver takes it for a part of the event's time.
const maxTransit = 15 * time.Millisecond

func (r *crashReplay) tellCrash(crash Crash) {
	for _, entry := range r.entries {
		transit := r.between(time.Millisecond, maxTransit)
		received := crash
		received.StartedAt, received.At = crash.StartedAt.Add(transit), crash.At.Add(transit)
		r.after(transit, func() {
			if completedAt := entry.RecordCrash(r.now, received); !completedAt.IsZero() {
				r.tellCompletion(crash.Fingerprint, completedAt)
			}
		})
	}
}

func (r *crashReplay) tellCompletion(fingerprint Fingerprint, at time.Time) {
	for _, entry := range r.entries {
		transit := r.between(time.Millisecond, maxTransit)
		r.after(transit, func() { entry.RecordCompletion(at.Add(transit), fingerprint) })
	}
}

// Guards against refusing requests because backend servers crashed for other causes while these were running, whatever the size of
// the deployment and its traffic, and against a request that crashes one backend server after another among them.
func TestOnlyRequestsThatCrashBackendServersAreSuspected(t *testing.T) {
	loads := map[string]crashLoad{
		"six nodes, all requests equal":            {nodes: 6, rate: 85, kinds: 1, work: 300 * time.Millisecond, crashEvery: 8 * time.Second},
		"six nodes, all requests equal, all crash": {nodes: 6, rate: 85, kinds: 1, work: 300 * time.Millisecond, crashEvery: 20 * time.Second, crashShare: 1},
		"two nodes, one request at a time":         {nodes: 2, rate: 2, kinds: 1, work: 300 * time.Millisecond, crashEvery: 8 * time.Second},
		"two nodes, few requests, few kinds":       {nodes: 2, rate: 3, kinds: 3, work: 200 * time.Millisecond, crashEvery: 6 * time.Second},
		"twelve nodes, 40 crashes a minute":        {nodes: 12, rate: 150, kinds: 4, work: 200 * time.Millisecond, crashEvery: 1500 * time.Millisecond},
		"twelve nodes, a rack at a time":           {nodes: 12, rate: 150, kinds: 4, work: 200 * time.Millisecond, crashEvery: 10 * time.Second, crashShare: 0.4},
		"twelve nodes, each request by itself":     {nodes: 12, rate: 150, work: 200 * time.Millisecond, crashEvery: 3 * time.Second},
		"sixty nodes, rare kinds":                  {nodes: 60, rate: 300, kinds: 600, work: 300 * time.Millisecond, crashEvery: 2 * time.Second},
		"sixty nodes, racks":                       {nodes: 60, rate: 300, kinds: 20, work: 300 * time.Millisecond, crashEvery: 10 * time.Second, crashShare: 0.25},
	}
	for name, load := range loads {
		for _, late := range []bool{false, true} {
			for _, deadlyEvery := range []time.Duration{0, time.Second} {
				t.Run(fmt.Sprintf("%s, late reports %t, deadly request every %s", name, late, deadlyEvery), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					load := load
					load.lateReports, load.deadlyEvery, load.runLength = late, deadlyEvery, 40*time.Second
					for seed := range uint64(max(1, 24/load.nodes)) {
						r := playCrashes(load, seed)
						comment := qt.Commentf("seed %d: %d served, %d refused, %d crashes by the deadly request", seed, r.served, r.refused, len(r.deadlyCrashes))
						c.Check(r.refused, qt.Equals, 0, comment)
						if deadlyEvery > 0 && !late {
							c.Check(len(r.retriesAfterThird()) <= 3, qt.IsTrue, comment)
						}
					}
				})
			}
		}
	}
}

// retriesAfterThird returns the runs of the deadly request later than the platform's touch of 3 s after its third crash.
func (r *crashReplay) retriesAfterThird() []time.Time {
	if len(r.deadlyCrashes) < 3 {
		return nil
	}
	var late []time.Time
	for _, run := range r.deadlyRuns {
		if run.After(r.deadlyCrashes[2].Add(3 * time.Second)) {
			late = append(late, run)
		}
	}
	return late
}

// Guards against a memory of suspects that is full and so lets a new crashing request through, or drops those that are refused.
func TestFullMemoryOfSuspects(t *testing.T) {
	c := qt.New(t)
	suspects := NewSuspects()
	now := epoch
	crash := func(fingerprint Fingerprint, node string) {
		now = now.Add(100 * time.Millisecond)
		suspects.RecordCrash(now, Crash{
			ID:          CrashID{Node: core.NodeID(node), Run: "1"},
			Fingerprint: fingerprint,
			StartedAt:   now,
			At:          now,
		})
	}
	for i := range 3 {
		crash(1, fmt.Sprint(i))
	}
	c.Assert(suspects.Suspected(now, 1), qt.IsTrue)
	for i := range maxFingerprints + 500 { // what runs at one crash of many
		suspects.RecordCrash(now, Crash{
			ID:          CrashID{Node: "rack", Run: "1"},
			Fingerprint: Fingerprint(1000 + i),
			StartedAt:   now,
			At:          now,
		})
	}
	c.Assert(len(suspects.suspects) <= maxFingerprints, qt.IsTrue)
	c.Assert(suspects.Suspected(now, 1), qt.IsTrue)
	for i := range 3 {
		crash(2, fmt.Sprint(i))
	}
	c.Assert(suspects.Suspected(now, 2), qt.IsTrue)
	running := 0
	for _, fingerprints := range suspects.running {
		running += len(fingerprints)
	}
	c.Assert(running <= maxFingerprints*maxCrashesPerFingerprint, qt.IsTrue)
	c.Assert(suspects.Suspected(now.Add(Window+time.Second), 1), qt.IsFalse)
}

// Guards against requests that are refused for minutes because they were running each time when backend servers went down for another
// cause, and against tests of them by which a request that does crash backend servers takes down more of them than allowed.
func TestSuspicionIsTested(t *testing.T) {
	loads := map[string]crashLoad{
		"one server, one kind":           {nodes: 1, rate: 4, kinds: 1, work: 800 * time.Millisecond, flapping: 1},
		"two servers, both flap":         {nodes: 2, rate: 8, kinds: 1, work: 800 * time.Millisecond, flapping: 2},
		"six servers, all flap":          {nodes: 6, rate: 20, kinds: 2, work: 800 * time.Millisecond, flapping: 6},
		"twelve servers, three flap":     {nodes: 12, rate: 60, kinds: 4, work: 300 * time.Millisecond, flapping: 3},
		"sixty servers, none flaps":      {nodes: 60, rate: 100, kinds: 20, work: 300 * time.Millisecond},
		"six servers, late reports":      {nodes: 6, rate: 85, kinds: 1, work: 300 * time.Millisecond, crashEvery: 8 * time.Second, lateReports: true},
		"twelve servers, racks, late":    {nodes: 12, rate: 150, kinds: 4, work: 200 * time.Millisecond, crashEvery: 10 * time.Second, crashShare: 0.4, lateReports: true},
		"two servers, crashes of others": {nodes: 2, rate: 3, kinds: 3, work: 200 * time.Millisecond, crashEvery: 6 * time.Second},
	}
	for name, load := range loads {
		for _, deadlyEvery := range []time.Duration{0, 250 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%s, deadly request every %s", name, deadlyEvery), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				load := load
				load.deadlyEvery, load.runLength = deadlyEvery, 3*time.Minute
				total, refused, retries, trials := 0, 0, 0, 0
				for seed := range uint64(max(2, 60/load.nodes)) {
					r := playCrashes(load, seed)
					late := len(r.retriesAfterThird())
					comment := qt.Commentf("seed %d: %d served, %d refused, the last one after %v, %d runs of the deadly request", seed, r.served, r.refused, r.lastRefusal.Sub(epoch), len(r.deadlyRuns))
					c.Check(late <= 3, qt.IsTrue, comment)
					if load.flapping > 0 && deadlyEvery == 0 {
						c.Check(r.lastRefusal.Before(epoch.Add(flapEnd+firstTrialDelay+2*time.Second)), qt.IsTrue, comment)
					}
					total, refused, retries, trials = total+r.served+r.refused, refused+r.refused, max(retries, late), trials+len(r.deadlyRuns)
				}
				t.Logf("%d of %d requests refused that crash nothing; at most %d runs of the deadly request after its third crash, %d runs in all", refused, total, retries, trials)
			})
		}
	}
}

// Guards against a suspicion that all nodes test at once, and against tests without end of a request that crashes what it reaches.
func TestTrialsAreBounded(t *testing.T) {
	c := qt.New(t)
	suspects, now := NewSuspects(), epoch
	entry, backend := NewTrials(suspects), NewTrials(suspects)
	crashes := 0
	crash := func() {
		crashes++
		suspects.RecordCrash(now, Crash{
			ID:          CrashID{Node: "a", Run: fmt.Sprint(crashes)},
			Fingerprint: 7,
			StartedAt:   now.Add(-10 * time.Millisecond),
			At:          now,
		})
	}
	for range minCrashes {
		now = now.Add(time.Second)
		crash()
	}
	var began []time.Duration
	for start := now; now.Sub(start) < Window-time.Minute; now = now.Add(100 * time.Millisecond) {
		if !entry.Begin(now, 7) {
			continue
		}
		c.Assert(backend.Begin(now, 7), qt.IsTrue)
		c.Assert(backend.Begin(now, 7), qt.IsFalse) // of another entry node
		began = append(began, now.Sub(start))
		now = now.Add(50 * time.Millisecond)
		crash()
	}
	c.Assert(began, qt.HasLen, maxTrials)
	c.Assert(began[1]-began[0] >= 2*firstTrialDelay, qt.IsTrue, qt.Commentf("%v", began))
}

// Guards against a test that does not run and after which none is made for a time.
func TestCancelledTrialIsRepeated(t *testing.T) {
	c := qt.New(t)
	trials := NewTrials(NewSuspects())
	c.Assert(trials.Begin(epoch, 7), qt.IsTrue)
	c.Assert(trials.Begin(epoch, 7), qt.IsFalse)
	trials.Cancel(7)
	c.Assert(trials.Begin(epoch, 7), qt.IsTrue)
	for i := range maxFingerprints + 10 {
		trials.Begin(epoch, Fingerprint(1000+i))
	}
	c.Assert(len(trials.begun) <= maxFingerprints, qt.IsTrue)
	c.Assert(trials.Begin(epoch.Add(time.Minute), 1), qt.IsTrue)
}
