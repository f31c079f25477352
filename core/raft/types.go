package raft

import (
	"time"

	"parsleyport/core"
)

// Timing of the protocol.
const (
	// ElectionTimeout is how long a leader leads without answers from a majority, and how long a follower waits for a message
	// from the leader before it starts a pre-vote.
	ElectionTimeout = time.Second
	// ElectionJitter is the upper bound of the random time added to each election timeout, so that split votes are rare.
	ElectionJitter = 500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a leader; five of them fit into an election timeout.
	HeartbeatInterval = 200 * time.Millisecond
)

// Limits of one instance.
const (
	// SnapshotIntervalEntries is the number of applied entries between two snapshots.
	SnapshotIntervalEntries = 1000
	// TrailingEntries is the number of entries before a snapshot that stay in memory, so that a member that lags by no more
	// receives entries instead of the snapshot.
	TrailingEntries       = 512
	maxUncommittedEntries = 4096      // uncommitted entries; further proposals are refused
	maxPendingReads       = 4096      // reads without an answer; further reads are refused
	maxInFlightEntries    = 2048      // entries sent to one member and not acknowledged
	maxAppendEntries      = 512       // entries in one append message
	maxAppendBytes        = 1 << 20   // command bytes in one append message, unless its first entry alone is larger
	snapshotChunkBytes    = 256 << 10 // snapshot bytes in one message
	maxSnapshotBytes      = 1 << 30   // larger snapshots are not received
)

// Identity is the random identity of one data folder. It tells an instance from a later one of the same name with a new disk.
type Identity string

// Peer is a control instance with the identity of its data folder.
type Peer struct {
	ID       core.ControlID `json:"id" msgpack:"id"`
	Identity Identity       `json:"identity" msgpack:"identity"`
}

// Member is one instance of a membership. A member without a vote is a learner.
type Member struct {
	Peer       Peer            `json:"peer" msgpack:"peer"`
	Address    string          `json:"address" msgpack:"address"`
	DataCentre core.DataCentre `json:"data-centre" msgpack:"data-centre"`
	Voter      bool            `json:"voter" msgpack:"voter"`
}

// RequestID identifies one proposal, read or membership change. Run is random for each process.
type RequestID struct {
	Run      uint64 `msgpack:"run"`
	Sequence uint64 `msgpack:"sequence"`
}

// EntryKind is the kind of content of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryNoOp EntryKind = iota
	EntryCommand
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   core.LogIndex `msgpack:"index"`
	Term    core.Term     `msgpack:"term"`
	Kind    EntryKind     `msgpack:"kind"`
	Request RequestID     `msgpack:"request"`
	Command []byte        `msgpack:"command,omitempty"`
	Members []Member      `msgpack:"members,omitempty"`
}

// HardState is the state that must be synced to disk before the instance acts on it: the term and the vote in that term.
type HardState struct {
	Term core.Term `msgpack:"term"`
	Vote Peer      `msgpack:"vote"`
}

// Snapshot is the state of the state machine after Index, with the membership in force at that index.
type Snapshot struct {
	Index   core.LogIndex `msgpack:"index"`
	Term    core.Term     `msgpack:"term"`
	Members []Member      `msgpack:"members"`
	Data    []byte        `msgpack:"data"`
}

// MessageKind is the kind of a message between control instances.
type MessageKind uint8

// The kinds of messages.
const (
	KindPreVote MessageKind = iota + 1
	KindPreVoteAnswer
	KindVote
	KindVoteAnswer
	KindAppend
	KindAppendAnswer
	KindSnapshotChunk
	KindSnapshotChunkAnswer
	KindPropose // not idempotent: a transport must not deliver it twice
	KindRead
	KindReadAnswer
	KindRefused
	KindTimeoutNow // from a leader that transfers its leadership: start an election at once
	KindStepDown   // from a leader that has lost its majority, to all members
)

// Message is one message between control instances. Which fields are set depends on Kind.
type Message struct {
	Kind     MessageKind   `msgpack:"kind"`
	From     Peer          `msgpack:"from"`
	To       Peer          `msgpack:"to"`
	Term     core.Term     `msgpack:"term"`
	Index    core.LogIndex `msgpack:"index,omitempty"`    // entry before Entries, last entry, matching entry or read index
	LogTerm  core.Term     `msgpack:"log-term,omitempty"` // term of the entry at Index
	Entries  []Entry       `msgpack:"entries,omitempty"`
	Commit   core.LogIndex `msgpack:"commit,omitempty"`
	Round    uint64        `msgpack:"round,omitempty"` // heartbeat round; the answer repeats it
	Reject   bool          `msgpack:"reject,omitempty"`
	Handover bool          `msgpack:"handover,omitempty"` // a vote request of a leadership transfer, which the leader has started
	Snapshot *Snapshot     `msgpack:"snapshot,omitempty"` // Data holds one chunk
	Offset   uint64        `msgpack:"offset,omitempty"`   // of this chunk; in an answer, of the next expected chunk
	Size     uint64        `msgpack:"size,omitempty"`     // of the whole snapshot, in bytes
	Request  RequestID     `msgpack:"request"`
	Command  []byte        `msgpack:"command,omitempty"`
	Change   *Change       `msgpack:"change,omitempty"`
	Reason   string        `msgpack:"reason,omitempty"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind string

// The kinds of membership changes. Each one changes at most one vote.
const (
	// ChangeReplace replaces a member's old identity, which loses its vote, by a new identity, which becomes a learner.
	ChangeReplace ChangeKind = "replace"
	// ChangeAdd adds an instance as a learner.
	ChangeAdd ChangeKind = "add"
	// ChangePromote gives a learner a vote once it stores all entries that were committed when the promotion was requested.
	ChangePromote ChangeKind = "promote"
	// ChangeRemove removes a member.
	ChangeRemove ChangeKind = "remove"
)

// Change is a requested membership change.
type Change struct {
	Kind       ChangeKind      `msgpack:"kind"`
	Peer       Peer            `msgpack:"peer"`
	Address    string          `msgpack:"address"`
	DataCentre core.DataCentre `msgpack:"data-centre"`
}

// Event is one input of Node.Step.
type Event interface{ event() }

// Received is a message from another instance.
type Received struct{ Message Message }

// Proposed requests that a command, or a membership change if Change is set, is committed.
type Proposed struct {
	Request RequestID
	Command []byte
	Change  *Change
}

// ReadRequested requests a read index: an index that covers all entries committed so far.
type ReadRequested struct{ Request RequestID }

// Synced reports that everything in the Output with this token has been synced to disk.
type Synced struct{ Token SyncToken }

// SnapshotStored reports that a snapshot is on disk, either one taken from the local state machine or an installed one.
type SnapshotStored struct{ Snapshot Snapshot }

func (Received) event()       {}
func (Proposed) event()       {}
func (ReadRequested) event()  {}
func (Synced) event()         {}
func (SnapshotStored) event() {}

// SyncToken identifies the state that an Output asks to sync.
type SyncToken struct {
	HardState HardState
	Index     core.LogIndex
	Term      core.Term
}

// Refusal reports that a request was certainly not appended, neither here nor at the leader to which it was forwarded.
type Refusal struct {
	Request RequestID
	Reason  string
}

// ReadResult reports that a read may be served once the state machine has applied Index.
type ReadResult struct {
	Request RequestID
	Index   core.LogIndex
}

// Reset replaces the whole log on disk after a snapshot has been installed.
type Reset struct {
	Index core.LogIndex
	Term  core.Term
}

// Output is what the caller of Node.Step must do, in the order of the fields.
type Output struct {
	Messages  []Message  // may be sent before the sync
	Reset     *Reset     // to be written before HardState and Entries
	HardState *HardState // to be written before Entries
	Entries   []Entry    // replace all stored entries from the first one's index on
	Token     SyncToken  // to be returned in Synced after the sync
	AfterSync []Message  // must not be sent before the sync
	Install   *Snapshot  // to be stored, restored and reported with SnapshotStored
	Committed []Entry    // to be applied in order
	Reads     []ReadResult
	Refused   []Refusal
}

// NeedsSync reports whether the output has anything to write and sync.
func (o *Output) NeedsSync() bool {
	return o.HardState != nil || len(o.Entries) > 0 || o.Reset != nil
}
