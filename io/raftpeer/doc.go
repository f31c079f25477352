// Package raftpeer runs one control instance of the replicated log: the driver that feeds core/raft, writes to io/disk
// and drives the state machine, and the connections to the other control instances.
//
// One goroutine decides and writes the log, one applies entries and stores snapshots, one sends to each other instance,
// and one receives from each connection.
package raftpeer
