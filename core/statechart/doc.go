// Package statechart loads state charts written in JSON with comments and interprets them, so that the code cannot take
// a transition that the chart file does not show.
package statechart
