package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// simulatedRelease describes how the calls of a new release end.
type simulatedRelease struct {
	failing float64       // part of the calls that fail
	slow    float64       // part of the calls that take eight times as long
	from    core.PerMille // the fault shows from this share on
	after   time.Duration // the fault shows from this time on
	both    float64       // part of the calls of both releases that fail from then on
}

// shortMoveReplay replays a move of 14 s in steps of a tenth of a second.
type shortMoveReplay struct {
	calls   func(at time.Duration, move core.Move) // counts the calls of one step
	counted func() []core.EvidenceCount
	every   time.Duration // between two decisions
	late    bool          // a decision sees the counts of the previous one
}

func (r shortMoveReplay) run() core.Move {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	move := core.Move{
		MoveID:    "m1",
		Request:   core.MoveRequest{Service: "s", To: "v2", Deadline: start.Add(14 * time.Second)},
		State:     core.MoveProposed,
		StartedAt: start,
		SteppedAt: start,
	}
	decider := rollout.NewShortMoveDecider(move, "v2")
	var reported []core.EvidenceCount
	for at := time.Duration(0); at < 15*time.Second && !rollout.IsFinal(move.State); at += 100 * time.Millisecond {
		r.calls(at, move)
		if at%r.every != 0 {
			continue
		}
		now, earlier := start.Add(at), reported
		reported = r.counted()
		decider.ObserveEndpoints(now, []core.Endpoint{{Service: "s", Release: "v2", State: core.EndpointReady}})
		if step, due := decider.Decide(now, move, lo.Ternary(r.late, earlier, reported)); due {
			move.State, move.Step, move.Share, move.SteppedAt, move.Cause = step.State, step.Step, step.Share, now, step.Cause
		}
	}
	return move
}

// countsOf returns empty counts of the old release and of the new one.
func countsOf() (before, after *core.EvidenceCount) {
	return &core.EvidenceCount{Service: "s", Route: "r", Release: "v1", Move: "m1"},
		&core.EvidenceCount{Service: "s", Route: "r", Release: "v2", Move: "m1"}
}

// replayShortMove replays a move with perTick calls in each tenth of a second, and reports that are late by half a second.
func replayShortMove(seed uint64, release simulatedRelease, perTick int) (move core.Move, newCalls, allCalls int) {
	random := rand.New(rand.NewPCG(seed, seed))
	before, after := countsOf()
	move = shortMoveReplay{
		calls: func(at time.Duration, move core.Move) {
			for range perTick {
				allCalls++
				c := before
				bad := simulatedRelease{failing: 0.001}
				if at >= release.after {
					bad.failing += release.both
				}
				if core.PerMille(random.IntN(1000)) < move.Share {
					c = after
					newCalls++
					if move.Share >= release.from && at >= release.after && release.both == 0 {
						bad = release
					}
				}
				c.Calls++
				latency := 8 + random.IntN(2) // buckets of 256 ms and 512 ms
				switch {
				case random.Float64() < bad.failing:
					c.Failures++
				case random.Float64() < bad.slow:
					latency += 3
				}
				c.Latency[latency]++
			}
		},
		counted: func() []core.EvidenceCount { return []core.EvidenceCount{*before, *after} },
		every:   500 * time.Millisecond,
		late:    true,
	}.run()
	return move, newCalls, allCalls
}

// Guards against good releases that are taken back, and against bad releases of each kind that get all calls because the move is
// short. A bad release may get at most a tenth of the calls and 50 more.
func TestShortMoves(t *testing.T) {
	c := qt.New(t)
	notDone := 0
	for _, test := range []struct {
		name    string
		release simulatedRelease
		good    bool
	}{
		{name: "good", good: true},
		{name: "good in a bad time", release: simulatedRelease{both: 0.3, after: 10 * time.Second}, good: true},
		{name: "fails", release: simulatedRelease{failing: 0.5}},
		{name: "fails seldom", release: simulatedRelease{failing: 0.15}},
		{name: "slow", release: simulatedRelease{slow: 0.32}},
		{name: "slow and failing a little", release: simulatedRelease{slow: 0.14, failing: 0.10}},
		{name: "late", release: simulatedRelease{failing: 0.5, after: 3 * time.Second}},
		{name: "under load", release: simulatedRelease{failing: 0.5, from: 200}},
	} {
		for seed := range uint64(200) {
			move, newCalls, allCalls := replayShortMove(seed, test.release, 13)
			comment := qt.Commentf("%s, seed %d: %s (%s), %d of %d calls", test.name, seed, move.State, move.Cause, newCalls, allCalls)
			if test.good {
				notDone += lo.Ternary(move.State == core.MoveDone, 0, 1)
				continue
			}
			c.Assert(move.State == core.MoveTakenBack || move.State == core.MoveExpired, qt.IsTrue, comment) // both restore the old release
			c.Assert(move.SteppedAt.Before(move.Request.Deadline), qt.IsTrue, comment)
			c.Assert(newCalls <= 14*130/10+50, qt.IsTrue, comment)
		}
	}
	c.Assert(notDone <= 8, qt.IsTrue, qt.Commentf("%d of 400 good releases were not done", notDone))
}

// Guards against a release that has had too many calls before its last step, when its fault shows too late to be found. The rate
// of calls is so high that the allowance of 50 calls makes no difference.
func TestShortMoveLimitsCallsAtRisk(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		move, newCalls, _ := replayShortMove(seed, simulatedRelease{}, 72)
		c.Assert(move.State, qt.Equals, core.MoveDone)
		c.Assert(newCalls <= 14*720/10+50, qt.IsTrue, qt.Commentf("seed %d: %d calls", seed, newCalls))
	}
}

// Guards against a slow release that gets all traffic because the old release's answers are queued under load: few of its slow
// answers take longer than nearly all answers of the old release, but many take longer than most of them. Guards also against a good
// release that is taken back because its backend server stood still once, so that many calls were slow together.
func TestShortMoveFindsSlownessUnderLoad(t *testing.T) {
	c := qt.New(t)
	// Buckets of 128 ms to 2 s. A third of the new release's answers takes eight times as long, and none of them is queued.
	old := []float64{0.45, 0.35, 0.13, 0.068, 0.002}
	slow := []float64{0.42, 0.21, 0.05, 0.20, 0.12}
	seldom := []float64{0.37, 0.26, 0.09, 0.16, 0.12}
	even := []float64{0.75, 0.25}
	for name, test := range map[string]struct {
		latencyReplay
		good      bool
		tolerated int // of 200 moves: bad releases that are done, or good ones in addition to 10 that are not done
	}{
		"slow":                   {latencyReplay: latencyReplay{old: old, answers: slow, perTick: 7}, tolerated: 4},
		"seldom slow":            {latencyReplay: latencyReplay{old: old, answers: seldom, perTick: 7}, tolerated: 20}, // a tenth
		"seldom slow, few calls": {latencyReplay: latencyReplay{old: old, answers: seldom, perTick: 3}, tolerated: 20},
		"good":                   {latencyReplay: latencyReplay{old: old, answers: old, perTick: 7}, good: true},
		"good, few calls":        {latencyReplay: latencyReplay{old: old, answers: old, perTick: 3}, good: true, tolerated: 30},
		// Backend servers without free slots reject calls. A slow release rejects most of the calls that would have been slow.
		"slow, calls rejected":     {latencyReplay: latencyReplay{old: old, oldRejectedRatio: 0.02, answers: old, rejectedRatio: 0.25, perTick: 7}, tolerated: 4},
		"slow, both reject calls":  {latencyReplay: latencyReplay{old: old, oldRejectedRatio: 0.2, answers: slow, rejectedRatio: 0.4, perTick: 7}, tolerated: 4},
		"good, both reject calls":  {latencyReplay: latencyReplay{old: old, oldRejectedRatio: 0.1, answers: old, rejectedRatio: 0.1, perTick: 7}, good: true},
		"good, cold for a second":  {latencyReplay: latencyReplay{old: old, answers: old, perTick: 7, cold: time.Second}, good: true},
		"slow, cold for a second":  {latencyReplay: latencyReplay{old: old, answers: slow, perTick: 7, cold: time.Second}, tolerated: 4},
		"good, stands still":       {latencyReplay: latencyReplay{old: even, answers: even, perTick: 30, stall: 400 * time.Millisecond}, good: true},
		"good, stands still, busy": {latencyReplay: latencyReplay{old: even, answers: even, perTick: 120, stall: 400 * time.Millisecond}, good: true},
		"slow, stands still":       {latencyReplay: latencyReplay{old: old, answers: slow, perTick: 7, stall: 400 * time.Millisecond}, tolerated: 4},
		"close to the next bucket": {latencyReplay: latencyReplay{old: []float64{0.97, 0.03}, answers: []float64{0.2, 0.8}, perTick: 7}, good: true},
	} {
		done := 0
		for seed := range uint64(200) {
			if test.run(seed) == core.MoveDone {
				done++
			}
		}
		t.Logf("%s: %d of 200 done", name, done)
		if test.good {
			c.Check(done >= 190-test.tolerated, qt.IsTrue, qt.Commentf("%s: %d of 200 done", name, done))
		} else {
			c.Check(done <= test.tolerated, qt.IsTrue, qt.Commentf("%s: %d of 200 done", name, done))
		}
	}
}

// latencyReplay replays a move with given parts of both releases' answers in each bucket from 128 ms on, and given parts of their
// calls that are rejected. While the new release is cold or stands still, all its answers are in the slowest bucket.
type latencyReplay struct {
	old, answers                    []float64
	oldRejectedRatio, rejectedRatio float64
	perTick                         int // calls in a tenth of a second
	cold                            time.Duration
	stall                           time.Duration // once, at any time after the first 3 s
}

// run replays a move and returns its final state.
func (r latencyReplay) run(seed uint64) core.MoveState {
	random := rand.New(rand.NewPCG(seed, 3))
	draw := func(parts []float64) int {
		point := random.Float64()
		for i, part := range parts {
			if point -= part; point < 0 {
				return 7 + i
			}
		}
		return 7 + len(parts) - 1
	}
	before, after := countsOf()
	began := time.Duration(0) // of the first share
	stallsAt := 3*time.Second + time.Duration(random.IntN(90))*100*time.Millisecond
	return shortMoveReplay{
		calls: func(at time.Duration, move core.Move) {
			if move.Step == 0 {
				began = at
			}
			for range r.perTick {
				side, answers, rejectedRatio := before, r.old, r.oldRejectedRatio
				if core.PerMille(random.IntN(1000)) < move.Share {
					side, answers, rejectedRatio = after, r.answers, r.rejectedRatio
					if at < began+r.cold || at >= stallsAt && at < stallsAt+r.stall {
						answers = []float64{0, 0, 0, 0, 1}
					}
				}
				side.Calls++
				if random.Float64() >= rejectedRatio {
					side.Latency[draw(answers)]++
				}
			}
		},
		counted: func() []core.EvidenceCount { return []core.EvidenceCount{*before, *after} },
		every:   300 * time.Millisecond,
	}.run().State
}

// Guards against a move that is taken back because the old release answers nothing, so that there is nothing to compare with.
func TestShortMoveFromAReleaseThatAnswersNothing(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		replay := latencyReplay{answers: []float64{1}, oldRejectedRatio: 1, perTick: 7}
		c.Assert(replay.run(seed), qt.Equals, core.MoveDone)
	}
}

// Guards against a move that is done although no calls of the new release have been reported.
func TestShortMoveWithoutEvidenceExpires(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	move := core.Move{
		MoveID:    "m1",
		Request:   core.MoveRequest{Service: "s", To: "v2", Deadline: start.Add(14 * time.Second)},
		State:     core.MoveProposed,
		StartedAt: start,
	}
	decider := rollout.NewShortMoveDecider(move, "v2")
	decider.ObserveEndpoints(start, []core.Endpoint{{Service: "s", Release: "v2", State: core.EndpointReady}})
	for at := start; !rollout.IsFinal(move.State); at = at.Add(200 * time.Millisecond) {
		if step, due := decider.Decide(at, move, nil); due {
			move.State, move.Step, move.Share, move.SteppedAt = step.State, step.Step, step.Share, at
		}
	}
	c.Assert(move.State, qt.Equals, core.MoveExpired)
	c.Assert(move.Share, qt.Equals, core.PerMille(0))
}

// Guards against the larger risk share of short moves where the settings do not allow short moves.
func TestMovesAreShortOnlyWhereAllowed(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_700_000_000, 0)
	move := core.Move{
		Request:   core.MoveRequest{Deadline: start.Add(24 * time.Second)},
		StartedAt: start,
	}
	c.Assert(rollout.IsShortMove(move, 0), qt.IsFalse)
	c.Assert(rollout.IsShortMove(move, 20*time.Second), qt.IsFalse)
	c.Assert(rollout.IsShortMove(move, time.Minute), qt.IsTrue)
}
