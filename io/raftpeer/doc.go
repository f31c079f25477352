// Package raftpeer runs a control instance's replica of the Raft log: it drives core/raft, writes to io/disk, applies
// committed entries to the state machine and connects to the other control instances.
//
// One goroutine runs the Raft node and writes the log, one applies entries and stores snapshots, one sends to each other
// instance, and one receives from each connection.
package raftpeer
