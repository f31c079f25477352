// Package raft holds the consensus decisions of the control instances: the Raft algorithm with pre-vote, check-quorum,
// read confirmation by a heartbeat round, learners and one-at-a-time membership changes. It has no sockets, clocks or
// goroutines: Node.Step takes the time and a batch of events and returns what to write, to send and to apply.
package raft
