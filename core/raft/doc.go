// Package raft implements the Raft consensus algorithm for the control instances, with pre-vote, check quorum, read index
// requests confirmed by a heartbeat round, learners, leadership transfer and membership changes of one member at a time. It
// has no sockets, clocks or goroutines: Node.Step takes the time and a batch of events and returns what to write, send and
// apply.
package raft
