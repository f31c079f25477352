package statechart

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// State names a state of a chart.
type State string

// Event names an event that may change the state.
type Event string

// Transition leads from one state to another on an event.
type Transition struct {
	From State `json:"from"`
	On   Event `json:"on"`
	To   State `json:"to"`
}

// Chart is a checked state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial State
	states  map[State]bool
	final   map[State]bool
	next    map[State]map[Event]State
}

type chartFile struct {
	Name        string       `json:"name"`
	Initial     State        `json:"initial"`
	States      []State      `json:"states"`
	Final       []State      `json:"final"`
	Transitions []Transition `json:"transitions"`
}

// ErrNoTransition is returned for an event that has no transition in the current state.
const ErrNoTransition = errors.ConstError("no such transition")

// Load parses a chart and checks it: all states are declared, each state and event has one target, every state is reachable, and
// final states have no transitions. An error names the chart and the state.
func Load(source []byte) (*Chart, error) {
	standard, err := hujson.Standardize(source)
	if err != nil {
		return nil, errors.Annotate(err, "parse state chart")
	}
	var f chartFile
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return nil, errors.Annotate(err, "parse state chart")
	}
	return build(f)
}

// MustLoad is like Load but panics if the chart is invalid. It is meant for charts that are embedded in the program.
func MustLoad(source []byte) *Chart {
	chart, err := Load(source)
	if err != nil {
		panic(err)
	}
	return chart
}

func build(f chartFile) (*Chart, error) {
	chart := &Chart{
		name:    f.Name,
		initial: f.Initial,
		states:  make(map[State]bool, len(f.States)),
		final:   make(map[State]bool, len(f.Final)),
		next:    make(map[State]map[Event]State, len(f.States)),
	}
	for _, state := range f.States {
		chart.states[state] = true
		chart.next[state] = make(map[Event]State)
	}
	if !chart.states[f.Initial] {
		return nil, errors.Errorf("state chart %q: initial state %q is not among its states", f.Name, f.Initial)
	}
	for _, state := range f.Final {
		if !chart.states[state] {
			return nil, errors.Errorf("state chart %q: final state %q is not among its states", f.Name, state)
		}
		chart.final[state] = true
	}
	for _, t := range f.Transitions {
		if err := chart.add(t); err != nil {
			return nil, err
		}
	}
	return chart, chart.checkReachable()
}

func (c *Chart) add(t Transition) error {
	if !c.states[t.From] || !c.states[t.To] {
		return errors.Errorf("state chart %q: transition %q from %q to %q names an unknown state", c.name, t.On, t.From, t.To)
	}
	if c.final[t.From] {
		return errors.Errorf("state chart %q: final state %q has a transition on %q", c.name, t.From, t.On)
	}
	if _, exists := c.next[t.From][t.On]; exists {
		return errors.Errorf("state chart %q: state %q has two transitions on %q", c.name, t.From, t.On)
	}
	c.next[t.From][t.On] = t.To
	return nil
}

func (c *Chart) checkReachable() error {
	reached := map[State]bool{c.initial: true}
	pending := []State{c.initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, to := range c.next[state] {
			if !reached[to] {
				reached[to] = true
				pending = append(pending, to)
			}
		}
	}
	for state := range c.states {
		if !reached[state] {
			return errors.Errorf("state chart %q: state %q cannot be reached", c.name, state)
		}
	}
	return nil
}

// Initial returns the initial state.
func (c *Chart) Initial() State {
	return c.initial
}

// IsFinal reports whether a state is final: no transition leaves it.
func (c *Chart) IsFinal(state State) bool {
	return c.final[state]
}

// Next returns the state that follows on an event, or the same state and ErrNoTransition.
func (c *Chart) Next(from State, on Event) (State, error) {
	to, exists := c.next[from][on]
	if !exists {
		return from, errors.Annotatef(ErrNoTransition, "state chart %q: state %q, event %q", c.name, from, on)
	}
	return to, nil
}

// Events returns the events that have a transition from a state, in alphabetical order.
func (c *Chart) Events(from State) []Event {
	events := make([]Event, 0, len(c.next[from]))
	for event := range c.next[from] {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i] < events[j] })
	return events
}
