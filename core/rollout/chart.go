package rollout

import (
	_ "embed"
	"fmt"
	"time"

	"parsleyport/core"
	"parsleyport/core/statechart"
)

//go:embed move-chart.jsonc
var moveChartSource []byte

var chart = statechart.MustLoad(moveChartSource)

const (
	eventBegin  statechart.Event = "begin"
	eventPass   statechart.Event = "pass"
	eventFinish statechart.Event = "finish"
	eventFail   statechart.Event = "fail"
	eventAbort  statechart.Event = "abort"
	eventTimeUp statechart.Event = "time-up"
)

// InitialState returns the state of a newly accepted move.
func InitialState() core.MoveState {
	return core.MoveState(chart.Initial())
}

// IsFinal reports whether a state is final, so that a move in it has ended.
func IsFinal(state core.MoveState) bool {
	return chart.IsFinal(statechart.State(state))
}

// IsTransition reports whether the chart has a transition from one state to another. Replays check proposed steps with it.
func IsTransition(from, to core.MoveState) bool {
	for _, event := range chart.Events(statechart.State(from)) {
		if next, err := chart.Next(statechart.State(from), event); err == nil && next == statechart.State(to) {
			return true
		}
	}
	return false
}

// Abort returns the step that ends an open move on an operator's request and restores the original weights, or false if the move
// has ended.
func Abort(now time.Time, move core.Move, operator core.Operator) (core.MoveStep, bool) {
	return step(now, move, eventAbort, 0, "operator", fmt.Sprintf("aborted by %s at %d per mille", operator, move.Share))
}

func step(now time.Time, move core.Move, event statechart.Event, share core.PerMille, cause, evidence string) (core.MoveStep, bool) {
	next, err := chart.Next(statechart.State(move.State), event)
	if err != nil {
		return core.MoveStep{}, false
	}
	return core.MoveStep{
		MoveID:   move.MoveID,
		Step:     move.Step + 1,
		State:    core.MoveState(next),
		Share:    share,
		At:       now,
		Cause:    cause,
		Evidence: evidence,
	}, true
}
