package raft

import (
	_ "embed"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/statechart"
)

//go:embed roles.jsonc
var rolesSource []byte

var roles = statechart.MustLoad(rolesSource)

// Roles of an instance; the same names as in roles.jsonc.
const (
	Learner      statechart.State = "learner"
	Follower     statechart.State = "follower"
	PreCandidate statechart.State = "pre-candidate"
	Candidate    statechart.State = "candidate"
	Leader       statechart.State = "leader"
)

const (
	onBecameVoter     statechart.Event = "became-voter"
	onLostVote        statechart.Event = "lost-vote"
	onLeaderSeen      statechart.Event = "leader-seen"
	onHigherTerm      statechart.Event = "higher-term"
	onElectionTimeout statechart.Event = "election-timeout"
	onPreVoteWon      statechart.Event = "pre-vote-won"
	onVoteWon         statechart.Event = "vote-won"
	onQuorumLost      statechart.Event = "quorum-lost"
	onHandover        statechart.Event = "handover"
)

// Restored is what a data folder holds. Snapshot has no members if the folder has never belonged to a member.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // after Snapshot.Index
}

// Node is the Raft state of one control instance. It is not safe for concurrent use.
type Node struct {
	self            Peer
	random          *rand.Rand
	trailingEntries core.LogIndex
	now             time.Time
	output          Output

	role          statechart.State
	hardState     HardState
	leader        Peer
	leaderContact time.Time // when the last message from the leader arrived
	nextTimeout   time.Time // election timeout, or the next heartbeat if this instance leads

	log              entryLog
	firstUnwritten   core.LogIndex // first entry that is not yet part of an Output
	writtenHardState HardState
	lastSynced       core.LogIndex // last entry that is synced to the local disk
	commitIndex      core.LogIndex
	lastDelivered    core.LogIndex // last entry returned in Output.Committed
	snapshot         Snapshot
	memberships      []membership // never empty; the last one is in force, committed or not

	votes map[Peer]bool // granted in the current pre-vote or election

	progress       map[Peer]*progress // nil unless this instance leads
	heartbeatRound uint64
	pendingReads   []pendingRead
	pendingChange  *membershipChange
	handover       *handover

	incoming   *Snapshot // incomplete; the chunks received so far
	installing *Snapshot // complete; not yet reported as stored
}

// NewNode returns a node with the state restored from its data folder. It keeps up to trailingEntries entries before a
// snapshot in memory (see TrailingEntries) and uses random for election timeouts only.
func NewNode(now time.Time, self Peer, restored Restored, trailingEntries core.LogIndex, random *rand.Rand) *Node {
	n := &Node{
		self:             self,
		random:           random,
		trailingEntries:  trailingEntries,
		now:              now,
		role:             roles.Initial(),
		hardState:        restored.HardState,
		writtenHardState: restored.HardState,
		snapshot:         restored.Snapshot,
		commitIndex:      restored.Snapshot.Index,
		lastDelivered:    restored.Snapshot.Index,
		log: entryLog{
			base:     restored.Snapshot.Index,
			baseTerm: restored.Snapshot.Term,
			entries:  restored.Entries,
		},
		memberships: []membership{{
			index:   restored.Snapshot.Index,
			members: restored.Snapshot.Members,
		}},
	}
	n.firstUnwritten = n.log.last() + 1
	n.lastSynced = n.log.last()
	n.adoptMemberships(restored.Entries)
	n.resetTimeout()
	return n
}

// Step handles the events in order and returns what to write, send and apply. Without events it only checks the timeouts.
func (n *Node) Step(now time.Time, events ...Event) Output {
	if now.After(n.now) {
		n.now = now
	}
	for _, event := range events {
		n.checkTimeouts()
		n.handleEvent(event)
	}
	n.checkTimeouts()
	n.completeOutput()
	output := n.output
	n.output = Output{}
	return output
}

// NextDeadline returns the latest time at which Step must be called again.
func (n *Node) NextDeadline() time.Time {
	if n.role == Leader {
		if quorumLostAt := n.quorumContact().Add(ElectionTimeout); quorumLostAt.Before(n.nextTimeout) {
			return quorumLostAt
		}
	}
	return n.nextTimeout
}

func (n *Node) handleEvent(event Event) {
	switch e := event.(type) {
	case Received:
		n.receive(e.Message)
	case Proposed:
		n.propose(e, n.self)
	case ReadRequested:
		n.requestRead(e.Request, n.self)
	case Synced:
		n.recordSync(e.Token)
	case SnapshotStored:
		n.receiveSnapshotStored(e.Snapshot)
	case HandOverRequested:
		n.handOver()
	}
}

// checkTimeouts runs before each event, so that a process that was suspended does not act on a role that has expired meanwhile.
func (n *Node) checkTimeouts() {
	switch {
	case n.role == Leader && !n.now.Before(n.quorumContact().Add(ElectionTimeout)):
		n.announceStepDown()
		n.changeRole(onQuorumLost)
		n.resetLeadership()
	case n.now.Before(n.nextTimeout):
	case n.role == Leader:
		n.nextTimeout = n.now.Add(HeartbeatInterval)
		if n.handover != nil && !n.now.Before(n.handover.deadline) {
			n.handover = nil
		}
		n.broadcast()
		n.continueHandover()
	case n.role == Learner:
		n.leader = Peer{}
		n.resetTimeout()
	default:
		n.startPreVote()
	}
}

// announceStepDown tells the members that the leader can still reach to stop following it, without waiting for their timeouts.
func (n *Node) announceStepDown() {
	for _, member := range n.currentMembership().members {
		if member.Peer != n.self {
			n.send(member.Peer, Message{
				Kind: KindStepDown,
				Term: n.hardState.Term,
			})
		}
	}
}

func (n *Node) receiveStepDown(m Message) {
	if m.Term == n.hardState.Term && m.From == n.leader {
		n.leader = Peer{}
	}
}

func (n *Node) changeRole(event statechart.Event) {
	next, err := roles.Next(n.role, event)
	if err != nil {
		panic(errors.Annotatef(err, "raft instance %q", n.self.ID)) // the code does not match roles.jsonc
	}
	n.role = next
}

// resetLeadership clears the state that belongs to the previous role and term, and refuses the requests waiting for it.
func (n *Node) resetLeadership() {
	n.failReads()
	n.leader = Peer{}
	if n.pendingChange != nil {
		n.refuse(n.pendingChange.origin, n.pendingChange.request, reasonSteppedDown)
	}
	n.progress, n.votes, n.pendingChange, n.handover = nil, nil, nil, nil
	n.resetTimeout()
	n.updateVoterRole()
}

func (n *Node) resetTimeout() {
	n.nextTimeout = n.now.Add(ElectionTimeout + time.Duration(n.random.Int64N(int64(ElectionJitter))))
}

func (n *Node) receive(m Message) {
	if m.To != n.self { // addressed to an earlier data folder of this instance
		if m.Kind == KindPropose || m.Kind == KindRead {
			n.refuse(m.From, m.Request, reasonNotLeader)
		}
		return
	}
	if n.ignoresVoteRequest(m) {
		return
	}
	if m.Term > n.hardState.Term && m.Kind != KindPreVote && !(m.Kind == KindPreVoteAnswer && !m.Reject) {
		n.adoptTerm(m.Term)
	}
	switch m.Kind {
	case KindPreVote:
		n.receivePreVote(m)
	case KindVote:
		n.receiveVote(m)
	case KindPreVoteAnswer, KindVoteAnswer:
		n.receiveVoteAnswer(m)
	case KindAppend:
		n.receiveAppend(m)
	case KindAppendAnswer:
		n.receiveAppendAnswer(m)
	case KindSnapshotChunk:
		n.receiveSnapshotChunk(m)
	case KindSnapshotChunkAnswer:
		n.receiveSnapshotChunkAnswer(m)
	case KindTimeoutNow:
		n.receiveTimeoutNow(m)
	case KindStepDown:
		n.receiveStepDown(m)
	default:
		n.receiveRequest(m)
	}
}

func (n *Node) receiveRequest(m Message) {
	switch m.Kind {
	case KindPropose:
		n.propose(Proposed{
			Request: m.Request,
			Command: m.Command,
			Change:  m.Change,
		}, m.From)
	case KindRead:
		n.requestRead(m.Request, m.From)
	case KindReadAnswer:
		n.output.Reads = append(n.output.Reads, ReadResult{
			Request: m.Request,
			Index:   m.Index,
		})
	case KindRefused:
		n.refuse(n.self, m.Request, m.Reason)
	}
}

func (n *Node) adoptTerm(term core.Term) {
	n.hardState = HardState{
		Term: term,
	}
	n.changeRole(onHigherTerm)
	n.resetLeadership()
}

// send queues a message that may leave before the sync.
func (n *Node) send(to Peer, m Message) {
	n.output.Messages = append(n.output.Messages, n.withAddresses(to, m))
}

// sendSynced queues a message that must not leave before the sync, because it acknowledges what is written to the local disk.
func (n *Node) sendSynced(to Peer, m Message) {
	n.output.AfterSync = append(n.output.AfterSync, n.withAddresses(to, m))
}

// withAddresses sets the sender and the receiver and, unless the message has one, the current term.
func (n *Node) withAddresses(to Peer, m Message) Message {
	m.From, m.To = n.self, to
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	return m
}

// refuse tells the origin of a request that this instance has not appended it.
func (n *Node) refuse(origin Peer, request RequestID, reason string) {
	if origin == n.self {
		n.output.Refused = append(n.output.Refused, Refusal{
			Request: request,
			Reason:  reason,
		})
		return
	}
	n.send(origin, Message{
		Kind:    KindRefused,
		Request: request,
		Reason:  reason,
	})
}

// completeOutput adds to the output what the events of this step have left to write, send and apply.
func (n *Node) completeOutput() {
	n.startReads()
	if n.role == Leader {
		for _, member := range n.currentMembership().members {
			n.replicate(member.Peer, false)
		}
	}
	if n.firstUnwritten <= n.log.last() {
		n.output.Entries = n.log.slice(n.firstUnwritten, n.log.last())
		n.firstUnwritten = n.log.last() + 1
	}
	if n.hardState != n.writtenHardState {
		hardState := n.hardState
		n.output.HardState, n.writtenHardState = &hardState, hardState
	}
	n.output.Token = SyncToken{
		HardState: n.hardState,
		Index:     n.log.last(),
		Term:      n.log.lastTerm(),
	}
	n.output.Committed = n.log.slice(n.lastDelivered+1, n.commitIndex)
	n.lastDelivered = max(n.lastDelivered, n.commitIndex)
}

// recordSync counts the entries and the instance's own vote that are synced now.
func (n *Node) recordSync(token SyncToken) {
	if n.log.matches(token.Index, token.Term) {
		n.lastSynced = max(n.lastSynced, token.Index)
	}
	if token.HardState.Term == n.hardState.Term && token.HardState.Vote == n.self && n.role == Candidate {
		n.countVote(n.self)
	}
	n.advanceCommit()
}

func (n *Node) currentMembership() membership {
	return n.memberships[len(n.memberships)-1]
}

// adoptMemberships puts the memberships in the appended entries in force; in Raft a membership counts before it is committed.
func (n *Node) adoptMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembers {
			n.memberships = append(n.memberships, membership{
				index:   entry.Index,
				members: entry.Members,
			})
		}
	}
	n.updateVoterRole()
}

// dropMemberships returns to the membership that was in force before the truncated entries.
func (n *Node) dropMemberships(from core.LogIndex) {
	for len(n.memberships) > 1 && n.currentMembership().index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

func (n *Node) updateVoterRole() {
	voter := n.currentMembership().isVoter(n.self)
	switch {
	case voter && n.role == Learner:
		n.changeRole(onBecameVoter)
	case !voter && n.role != Learner && n.role != Leader: // a leader without a vote leads until its removal is committed
		n.changeRole(onLostVote)
	}
	if n.role == Leader {
		n.updateProgress()
	}
}

// membersAt returns the membership in force at an index, which must not be compacted away.
func (n *Node) membersAt(index core.LogIndex) []Member {
	members := n.memberships[0].members
	for _, m := range n.memberships {
		if m.index <= index {
			members = m.members
		}
	}
	return members
}

// Status returns the status of the local replica. Applied is not set.
func (n *Node) Status() core.ReplicatorStatus {
	status := core.ReplicatorStatus{
		Self:   n.self.ID,
		Role:   string(n.role),
		Term:   n.hardState.Term,
		Leader: n.leader.ID,
		Commit: n.commitIndex,
	}
	for _, member := range n.currentMembership().members {
		if member.Voter {
			status.Voters = append(status.Voters, member.Peer.ID)
		} else {
			status.Learners = append(status.Learners, member.Peer.ID)
		}
	}
	return status
}

// Members returns the latest membership, committed or not. The slice must not be changed.
func (n *Node) Members() []Member {
	return n.currentMembership().members
}
