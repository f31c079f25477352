// Package statechart loads state charts from JSON with comments and interprets them, so that a program can only take the transitions
// that its chart file shows.
package statechart
