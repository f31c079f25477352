package raft

import (
	"time"

	"parsleyport/core"
)

// Timing of the protocol.
const (
	// ElectionTimeout is how long a leader lasts without answers from a majority, and a follower without a leader.
	ElectionTimeout = time.Second
	// ElectionJitter bounds the random time added to a follower's election timeout, so that votes seldom split.
	ElectionJitter = 500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats; five of them fit into an election timeout.
	HeartbeatInterval = 200 * time.Millisecond
)

// Limits of one instance.
const (
	// SnapshotInterval is the number of applied entries between two snapshots.
	SnapshotInterval = 1000
	// TrailingEntries is the number of entries kept in memory behind a snapshot, for members that lag a little.
	TrailingEntries  = 512
	maxUncommitted   = 4096      // entries; further proposals are refused
	maxPendingReads  = 4096      // further reads are refused
	maxInFlight      = 2048      // entries sent to one member and not acknowledged
	maxAppendEntries = 512       // entries in one message
	maxAppendBytes   = 1 << 20   // command bytes in one message, apart from its first entry
	chunkBytes       = 256 << 10 // snapshot bytes in one message
	maxSnapshotBytes = 1 << 30   // a greater snapshot is not received
)

// Identity is the random identity of one data folder; it distinguishes an instance from a later one with a new disk.
type Identity string

// Peer is a control instance with the identity of its data folder.
type Peer struct {
	ID       core.ControlID `json:"id" msgpack:"id"`
	Identity Identity       `json:"identity" msgpack:"identity"`
}

// Member is one instance of the membership; a member without a vote is a learner.
type Member struct {
	Peer       Peer            `json:"peer" msgpack:"peer"`
	Address    string          `json:"address" msgpack:"address"`
	DataCentre core.DataCentre `json:"data-centre" msgpack:"data-centre"`
	Voter      bool            `json:"voter" msgpack:"voter"`
}

// RequestID identifies one proposal, read or membership change; Run is random for each process.
type RequestID struct {
	Run      uint64 `msgpack:"run"`
	Sequence uint64 `msgpack:"sequence"`
}

// EntryKind says what a log entry holds.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryNoOp EntryKind = iota
	EntryCommand
	EntryMembers
)

// Entry is one position of the replicated log.
type Entry struct {
	Index   core.LogIndex `msgpack:"index"`
	Term    core.Term     `msgpack:"term"`
	Kind    EntryKind     `msgpack:"kind"`
	Request RequestID     `msgpack:"request"`
	Command []byte        `msgpack:"command,omitempty"`
	Members []Member      `msgpack:"members,omitempty"`
}

// HardState must be synced before an instance acts on it.
type HardState struct {
	Term core.Term `msgpack:"term"`
	Vote Peer      `msgpack:"vote"`
}

// Snapshot is the state after Index, with the membership that was in force there.
type Snapshot struct {
	Index   core.LogIndex `msgpack:"index"`
	Term    core.Term     `msgpack:"term"`
	Members []Member      `msgpack:"members"`
	Data    []byte        `msgpack:"data"`
}

// Kind numbers the messages between control instances.
type Kind uint8

// The kinds of messages.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteAnswer
	KindVote
	KindVoteAnswer
	KindAppend
	KindAppendAnswer
	KindSnapshotChunk
	KindSnapshotChunkAnswer
	KindPropose // a transport must not deliver it twice
	KindRead
	KindReadAnswer
	KindRefused
	KindTimeoutNow // from a leader that hands over: start an election at once
	KindStepDown   // from a leader that has lost its majority, to those that still hear it
)

// Message is one message between control instances; which fields are set depends on its kind.
type Message struct {
	Kind     Kind          `msgpack:"kind"`
	From     Peer          `msgpack:"from"`
	To       Peer          `msgpack:"to"`
	Term     core.Term     `msgpack:"term"`
	Index    core.LogIndex `msgpack:"index,omitempty"`    // entry before Entries, last entry, matching entry or read index
	LogTerm  core.Term     `msgpack:"log-term,omitempty"` // term of the entry at Index
	Entries  []Entry       `msgpack:"entries,omitempty"`
	Commit   core.LogIndex `msgpack:"commit,omitempty"`
	Round    uint64        `msgpack:"round,omitempty"` // heartbeat round, echoed by the answer
	Reject   bool          `msgpack:"reject,omitempty"`
	Handover bool          `msgpack:"handover,omitempty"` // a vote that the leader itself has asked for
	Snapshot *Snapshot     `msgpack:"snapshot,omitempty"` // Data holds one chunk
	Offset   uint64        `msgpack:"offset,omitempty"`   // of the chunk, or of the next chunk that is expected
	Size     uint64        `msgpack:"size,omitempty"`     // of the whole snapshot
	Request  RequestID     `msgpack:"request"`
	Command  []byte        `msgpack:"command,omitempty"`
	Change   *Change       `msgpack:"change,omitempty"`
	Reason   string        `msgpack:"reason,omitempty"`
}

// ChangeKind names a membership change.
type ChangeKind string

// The membership changes; each one changes at most one vote.
const (
	// ChangeReplace takes the vote from the named member's old identity and makes the new identity a learner.
	ChangeReplace ChangeKind = "replace"
	// ChangeAdd makes a new name a learner.
	ChangeAdd ChangeKind = "add"
	// ChangePromote gives a learner a vote once it holds all that was committed when the promotion began.
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

// Proposed asks for a command, or for a membership change if Change is set, to be committed.
type Proposed struct {
	Request RequestID
	Command []byte
	Change  *Change
}

// ReadRequested asks for an index up to which all entries that are committed now are contained.
type ReadRequested struct{ Request RequestID }

// Synced reports that everything in the Output with this token is on the disk.
type Synced struct{ Token SyncToken }

// SnapshotStored reports that a snapshot, the local state machine's own or an installed one, is on the disk.
type SnapshotStored struct{ Snapshot Snapshot }

func (Received) event()       {}
func (Proposed) event()       {}
func (ReadRequested) event()  {}
func (Synced) event()         {}
func (SnapshotStored) event() {}

// SyncToken names the state that an Output asks to sync.
type SyncToken struct {
	HardState HardState
	Index     core.LogIndex
	Term      core.Term
}

// Refusal reports a request that was certainly not appended by this instance or by the leader it was forwarded to.
type Refusal struct {
	Request RequestID
	Reason  string
}

// ReadResult reports that a read may proceed once the state machine has applied Index.
type ReadResult struct {
	Request RequestID
	Index   core.LogIndex
}

// Reset replaces the whole log on the disk after an installed snapshot.
type Reset struct {
	Index core.LogIndex
	Term  core.Term
}

// Output is what one step asks its driver to do, in the order of the fields.
type Output struct {
	Messages  []Message  // may be sent before the sync
	Reset     *Reset     // written before Entries
	HardState *HardState // written before Entries
	Entries   []Entry    // an entry replaces stored entries from its index on
	Token     SyncToken  // to be returned in Synced after the sync
	AfterSync []Message  // must not be sent before the sync
	Install   *Snapshot  // to be stored, restored and reported with SnapshotStored
	Committed []Entry    // to be applied in order
	Reads     []ReadResult
	Refused   []Refusal
}

// NeedsSync reports whether the output has anything to write.
func (o *Output) NeedsSync() bool {
	return o.HardState != nil || len(o.Entries) > 0 || o.Reset != nil
}
