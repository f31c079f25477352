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
var rolesFile []byte

var roles = statechart.MustLoad(rolesFile)

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
	self     Peer
	random   *rand.Rand
	trailing core.LogIndex
	now      time.Time
	out      Output

	role    statechart.State
	hard    HardState
	leader  Peer
	contact time.Time // of the last message from the leader
	timeout time.Time // when an election begins, or the next heartbeat of a leader

	log         entryLog
	unwritten   core.LogIndex // first entry that no Output has asked to write
	hardWritten HardState
	stable      core.LogIndex // last entry that the local disk has reported as synced
	commit      core.LogIndex
	emitted     core.LogIndex // last entry that an Output gave out as committed
	snapshot    Snapshot
	memberships []membership // never empty; the last one is in force

	votes map[Peer]bool // grants of the running pre-vote or vote

	progress map[Peer]*progress // leader only
	round    uint64
	reads    []pendingRead
	promote  *promotion
	handover *handover

	incoming  *Snapshot // chunks received so far
	installed *Snapshot // complete, being stored
}

// NewNode returns a node with the state that its data folder held. It keeps trailing entries in memory behind a snapshot
// (see TrailingEntries) and uses random for election timeouts only.
func NewNode(now time.Time, self Peer, restored Restored, trailing core.LogIndex, random *rand.Rand) *Node {
	n := &Node{
		self:        self,
		random:      random,
		trailing:    trailing,
		now:         now,
		role:        roles.Initial(),
		hard:        restored.HardState,
		hardWritten: restored.HardState,
		snapshot:    restored.Snapshot,
		commit:      restored.Snapshot.Index,
		emitted:     restored.Snapshot.Index,
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
	n.unwritten = n.log.last() + 1
	n.stable = n.log.last()
	n.noteMemberships(restored.Entries)
	n.resetTimeout()
	return n
}

// Step takes the events in order and returns what to write, send and apply; without events it only looks at the time.
func (n *Node) Step(now time.Time, events ...Event) Output {
	if now.After(n.now) {
		n.now = now
	}
	for _, event := range events {
		n.expire()
		n.handle(event)
	}
	n.expire()
	n.flush()
	out := n.out
	n.out = Output{}
	return out
}

// NextDeadline returns when Step must be called at the latest.
func (n *Node) NextDeadline() time.Time {
	if n.role == Leader {
		if lost := n.quorumContact().Add(ElectionTimeout); lost.Before(n.timeout) {
			return lost
		}
	}
	return n.timeout
}

func (n *Node) handle(event Event) {
	switch e := event.(type) {
	case Received:
		n.receive(e.Message)
	case Proposed:
		n.proposed(e, n.self)
	case ReadRequested:
		n.readRequested(e.Request, n.self)
	case Synced:
		n.synced(e.Token)
	case SnapshotStored:
		n.snapshotStored(e.Snapshot)
	case HandOverRequested:
		n.handOver()
	}
}

// expire acts on the time before any event is looked at, so that a process that was frozen does not act on a role that it has lost.
func (n *Node) expire() {
	switch {
	case n.role == Leader && !n.now.Before(n.quorumContact().Add(ElectionTimeout)):
		n.announceStepDown()
		n.fire(onQuorumLost)
		n.leave()
	case n.now.Before(n.timeout):
	case n.role == Leader:
		n.timeout = n.now.Add(HeartbeatInterval)
		if n.handover != nil && !n.now.Before(n.handover.until) {
			n.handover = nil
		}
		n.broadcast()
		n.tryHandover()
	case n.role == Learner:
		n.leader = Peer{}
		n.resetTimeout()
	default:
		n.startPreVote()
	}
}

// announceStepDown lets the members on this side of a partition know at once that they have no leader.
func (n *Node) announceStepDown() {
	for _, member := range n.current().members {
		if member.Peer != n.self {
			n.send(member.Peer, Message{
				Kind: KindStepDown,
				Term: n.hard.Term,
			})
		}
	}
}

func (n *Node) receiveStepDown(m Message) {
	if m.Term == n.hard.Term && m.From == n.leader {
		n.leader = Peer{}
	}
}

func (n *Node) fire(event statechart.Event) {
	next, err := roles.Next(n.role, event)
	if err != nil {
		panic(errors.Annotatef(err, "raft instance %q", n.self.ID)) // the code and its chart disagree
	}
	n.role = next
}

// leave ends what belongs to the role and the term that the instance had.
func (n *Node) leave() {
	n.failReads()
	n.leader = Peer{}
	if n.promote != nil {
		n.refuse(n.promote.origin, n.promote.request, reasonSteppedDown)
	}
	n.progress, n.votes, n.promote, n.handover = nil, nil, nil, nil
	n.resetTimeout()
	n.followMembership()
}

func (n *Node) resetTimeout() {
	n.timeout = n.now.Add(ElectionTimeout + time.Duration(n.random.Int64N(int64(ElectionJitter))))
}

func (n *Node) receive(m Message) {
	if m.To != n.self { // meant for an earlier data folder of this name
		if m.Kind == KindPropose || m.Kind == KindRead {
			n.refuse(m.From, m.Request, reasonNotLeader)
		}
		return
	}
	if n.ignoresVote(m) {
		return
	}
	if m.Term > n.hard.Term && m.Kind != KindPreVote && !(m.Kind == KindPreVoteAnswer && !m.Reject) {
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
	case KindElect:
		n.receiveElect(m)
	case KindStepDown:
		n.receiveStepDown(m)
	default:
		n.receiveRequest(m)
	}
}

func (n *Node) receiveRequest(m Message) {
	switch m.Kind {
	case KindPropose:
		n.proposed(Proposed{
			Request: m.Request,
			Command: m.Command,
			Change:  m.Change,
		}, m.From)
	case KindRead:
		n.readRequested(m.Request, m.From)
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
	n.hard = HardState{
		Term: term,
	}
	n.fire(onHigherTerm)
	n.leave()
}

// send fills in what all messages of a term share.
func (n *Node) send(to Peer, m Message) {
	n.out.Messages = append(n.out.Messages, n.fill(to, m))
}

// sendSynced sends a message that vouches for the local disk.
func (n *Node) sendSynced(to Peer, m Message) {
	n.out.AfterSync = append(n.out.AfterSync, n.fill(to, m))
}

func (n *Node) fill(to Peer, m Message) Message {
	m.From, m.To = n.self, to
	if m.Term == 0 {
		m.Term = n.hard.Term
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
func (n *Node) flush() {
	n.startReads()
	if n.role == Leader {
		for _, member := range n.current().members {
			n.replicate(member.Peer, false)
		}
	}
	if n.unwritten <= n.log.last() {
		n.out.Entries = n.log.between(n.unwritten, n.log.last())
		n.unwritten = n.log.last() + 1
	}
	if n.hard != n.hardWritten {
		hard := n.hard
		n.out.HardState, n.hardWritten = &hard, hard
	}
	n.out.Token = SyncToken{
		HardState: n.hard,
		Index:     n.log.last(),
		Term:      n.log.lastTerm(),
	}
	n.out.Committed = n.log.between(n.emitted+1, n.commit)
	n.emitted = max(n.emitted, n.commit)
}

// synced counts the entries and the vote that the disk holds now.
func (n *Node) synced(token SyncToken) {
	if n.log.matches(token.Index, token.Term) {
		n.stable = max(n.stable, token.Index)
	}
	if token.HardState.Term == n.hard.Term && token.HardState.Vote == n.self && n.role == Candidate {
		n.countVote(n.self)
	}
	n.advanceCommit()
}

func (n *Node) current() membership {
	return n.memberships[len(n.memberships)-1]
}

// noteMemberships puts the memberships of appended entries in force.
func (n *Node) noteMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembers {
			n.memberships = append(n.memberships, membership{
				index:   entry.Index,
				members: entry.Members,
			})
		}
	}
	n.followMembership()
}

// dropMemberships forgets the memberships of truncated entries.
func (n *Node) dropMemberships(from core.LogIndex) {
	for len(n.memberships) > 1 && n.current().index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

func (n *Node) followMembership() {
	voter := n.current().isVoter(n.self)
	switch {
	case voter && n.role == Learner:
		n.fire(onBecameVoter)
	case !voter && n.role != Learner && n.role != Leader: // a leader that loses its vote leads until that is committed
		n.fire(onLostVote)
	}
	if n.role == Leader {
		n.trackMembers()
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
func (n *Node) Describe() core.ReplicatorStatus {
	status := core.ReplicatorStatus{
		Self:   n.self.ID,
		Role:   string(n.role),
		Term:   n.hard.Term,
		Leader: n.leader.ID,
		Commit: n.commit,
	}
	for _, member := range n.current().members {
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
	return n.current().members
}
