package statechart_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core/statechart"
)

const door = `{
  // A door that can be removed for good.
  "name": "door", "initial": "closed", "states": ["closed", "open", "removed"], "final": ["removed"],
  "transitions": [
    {"from": "closed", "on": "push", "to": "open"},
    {"from": "open", "on": "pull", "to": "closed"},
    {"from": "open", "on": "unhinge", "to": "removed"},
  ],
}`

// Guards against code that takes a transition that the chart file does not show.
func TestChartAllowsOnlyItsTransitions(t *testing.T) {
	c := qt.New(t)
	chart, err := statechart.Load([]byte(door))
	c.Assert(err, qt.IsNil)
	c.Assert(chart.Initial(), qt.Equals, statechart.State("closed"))

	next, err := chart.Next("closed", "push")
	c.Assert(err, qt.IsNil)
	c.Assert(next, qt.Equals, statechart.State("open"))

	_, err = chart.Next("closed", "pull")
	c.Assert(errors.Is(err, statechart.ErrNoTransition), qt.IsTrue)
	c.Assert(chart.IsFinal("removed"), qt.IsTrue)
	c.Assert(chart.Events("open"), qt.DeepEquals, []statechart.Event{"pull", "unhinge"})
}

// Guards against an invalid chart file that is only noticed when the faulty state is reached.
func TestLoadRefusesBrokenCharts(t *testing.T) {
	c := qt.New(t)
	for source, want := range map[string]string{
		`{"name": "a", "initial": "x", "states": ["y"]}`:                                                                                 `.*initial state "x".*`,
		`{"name": "a", "initial": "x", "states": ["x", "y"]}`:                                                                            `.*"y" cannot be reached`,
		`{"name": "a", "initial": "x", "states": ["x"], "transitions": [{"from": "x", "on": "e", "to": "z"}]}`:                           `.*unknown state`,
		`{"name": "a", "initial": "x", "states": ["x"], "final": ["x"], "transitions": [{"from": "x", "on": "e", "to": "x"}]}`:           `.*final state "x".*`,
		`{"name": "a", "initial": "x", "states": ["x"], "colour": 1}`:                                                                    `.*unknown field "colour"`,
		`{"name": "a", "initial": "x", "states": ["x"], "transitions": [{"from":"x","on":"e","to":"x"},{"from":"x","on":"e","to":"x"}]}`: `.*two transitions.*`,
	} {
		_, err := statechart.Load([]byte(source))
		c.Assert(err, qt.ErrorMatches, want)
	}
}
