// Package control assembles the process of a control instance: the replicated log with its state machine, the root of the
// distribution tree, the operators' API, and the steps of moves.
package control
