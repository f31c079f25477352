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

// Roles of an instance, as in the chart file.
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

// Restored is what an instance found in its data folder; Snapshot has no members in a folder that was never a member's.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // after Snapshot.Index
}

// Node decides for one control instance; it is not safe for concurrent use.
type Node struct {
	self            Peer
	random          *rand.Rand
	trailingEntries core.LogIndex
	now             time.Time
	out             Output

	role          statechart.State
	hardState     HardState
	leader        Peer
	leaderContact time.Time // of the last message from the leader
	nextTimeout   time.Time // when an election begins, or the next heartbeat of a leader

	log              entryLog
	firstUnwritten   core.LogIndex // first entry that no Output has asked to write
	writtenHardState HardState
	lastSynced       core.LogIndex // last entry that the local disk has reported as synced
	commit           core.LogIndex
	lastDelivered    core.LogIndex // last entry that an Output gave out as committed
	snapshot         Snapshot
	memberships      []membership // never empty; the last one is in force

	votes map[Peer]bool // grants of the running pre-vote or vote

	progress      map[Peer]*progress // leader only
	round         uint64
	reads         []pendingRead
	pendingChange *membershipChange
	handover      *handover

	incoming   *Snapshot // chunks received so far
	installing *Snapshot // complete, being stored
}

// NewNode returns a node with the state that its data folder held. It keeps trailing entries in memory behind a snapshot
// (see TrailingEntries) and uses random for election timeouts only.
func NewNode(now time.Time, self Peer, restored Restored, trailing core.LogIndex, random *rand.Rand) *Node {
	n := &Node{
		self:             self,
		random:           random,
		trailingEntries:  trailing,
		now:              now,
		role:             roles.Initial(),
		hardState:        restored.HardState,
		writtenHardState: restored.HardState,
		snapshot:         restored.Snapshot,
		commit:           restored.Snapshot.Index,
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

// Step takes the events in order and returns what to write, send and apply; without events it only looks at the time.
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
	out := n.out
	n.out = Output{}
	return out
}

// NextDeadline returns when Step must be called at the latest.
func (n *Node) NextDeadline() time.Time {
	if n.role == Leader {
		if lost := n.quorumContact().Add(ElectionTimeout); lost.Before(n.nextTimeout) {
			return lost
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

// expire acts on the time before any event is looked at, so that a process that was frozen does not act on a role that it has lost.
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

// announceStepDown lets the members on this side of a partition know at once that they have no leader.
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
		panic(errors.Annotatef(err, "raft instance %q", n.self.ID)) // the code and its chart disagree
	}
	n.role = next
}

// leave ends what belongs to the role and the term that the instance had.
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
	if m.To != n.self { // meant for an earlier data folder of this name
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
		n.receiveChunk(m)
	case KindSnapshotChunkAnswer:
		n.receiveChunkAnswer(m)
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
		n.out.Reads = append(n.out.Reads, ReadResult{
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

// send fills in what all messages of a term share.
func (n *Node) send(to Peer, m Message) {
	n.out.Messages = append(n.out.Messages, n.addressed(to, m))
}

// sendSynced sends a message that vouches for the local disk.
func (n *Node) sendSynced(to Peer, m Message) {
	n.out.AfterSync = append(n.out.AfterSync, n.addressed(to, m))
}

func (n *Node) addressed(to Peer, m Message) Message {
	m.From, m.To = n.self, to
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	return m
}

// refuse tells the origin of a request that it was not appended here.
func (n *Node) refuse(origin Peer, request RequestID, reason string) {
	if origin == n.self {
		n.out.Refused = append(n.out.Refused, Refusal{
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

// flush completes an output with what the events of the step have left to write, send and apply.
func (n *Node) completeOutput() {
	n.startReads()
	if n.role == Leader {
		for _, member := range n.currentMembership().members {
			n.replicate(member.Peer, false)
		}
	}
	if n.firstUnwritten <= n.log.last() {
		n.out.Entries = n.log.slice(n.firstUnwritten, n.log.last())
		n.firstUnwritten = n.log.last() + 1
	}
	if n.hardState != n.writtenHardState {
		hard := n.hardState
		n.out.HardState, n.writtenHardState = &hard, hard
	}
	n.out.Token = SyncToken{
		HardState: n.hardState,
		Index:     n.log.last(),
		Term:      n.log.lastTerm(),
	}
	n.out.Committed = n.log.slice(n.lastDelivered+1, n.commit)
	n.lastDelivered = max(n.lastDelivered, n.commit)
}

// synced counts the entries and the vote that the disk holds now.
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

// adoptMemberships puts the memberships of appended entries in force.
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

// dropMemberships forgets the memberships of truncated entries.
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
	case !voter && n.role != Learner && n.role != Leader: // a leader that loses its vote leads until that is committed
		n.changeRole(onLostVote)
	}
	if n.role == Leader {
		n.updateProgress()
	}
}

// membersAt returns the membership in force at an index that is not compacted away.
func (n *Node) membersAt(index core.LogIndex) []Member {
	members := n.memberships[0].members
	for _, m := range n.memberships {
		if m.index <= index {
			members = m.members
		}
	}
	return members
}

// Describe returns the local replica's status, without Applied.
func (n *Node) Status() core.ReplicatorStatus {
	status := core.ReplicatorStatus{
		Self:   n.self.ID,
		Role:   string(n.role),
		Term:   n.hardState.Term,
		Leader: n.leader.ID,
		Commit: n.commit,
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

// Members returns the newest membership; the slice must not be changed.
func (n *Node) Members() []Member {
	return n.currentMembership().members
}
