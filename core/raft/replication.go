package raft

import (
	"fmt"
	"slices"
	"time"

	"parsleyport/core"
)

// progress is the leader's view of one member.
type progress struct {
	match         core.LogIndex // last entry known to match the leader's log and to be synced
	next          core.LogIndex // next entry to send
	lastContact   time.Time     // when the last answer arrived
	sentCommit    core.LogIndex // last commit index sent
	answeredRound uint64        // last heartbeat round answered
	chunkOffset   uint64        // offset of the next snapshot chunk to send
	snapshot      *Snapshot     // being sent; nil if the member receives entries
}

func (n *Node) updateProgress() {
	tracked := make(map[Peer]*progress, len(n.currentMembership().members))
	for _, member := range n.currentMembership().members {
		p, exists := n.progress[member.Peer]
		if !exists {
			p = &progress{
				next:        n.log.last() + 1,
				lastContact: n.now,
			}
		}
		tracked[member.Peer] = p
	}
	n.progress = tracked
}

// quorumContact returns the latest time at or after which a majority has answered. The leader counts itself as answering now.
func (n *Node) quorumContact() time.Time {
	voters := n.currentMembership().voters()
	contacts := make([]time.Time, 0, len(voters))
	for _, member := range voters {
		if member.Peer == n.self {
			contacts = append(contacts, n.now)
		} else if p := n.progress[member.Peer]; p != nil {
			contacts = append(contacts, p.lastContact)
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[len(contacts)/2]
}

func (n *Node) appendEntry(entry Entry) {
	entry.Index = n.log.last() + 1
	entry.Term = n.hardState.Term
	n.log.append(entry)
	n.adoptMemberships([]Entry{entry})
}

func (n *Node) broadcast() {
	for _, member := range n.currentMembership().members {
		n.replicate(member.Peer, true)
	}
}

// replicate sends a member the entries it lacks; with heartbeat set it sends a message even if there are none. A new commit
// index is sent at once, since a follower needs it to answer the proposals that it has forwarded.
func (n *Node) replicate(to Peer, heartbeat bool) {
	p := n.progress[to]
	if to == n.self || p == nil {
		return
	}
	if p.snapshot == nil && p.next <= n.log.base {
		snapshot := n.snapshot
		p.snapshot, p.chunkOffset = &snapshot, 0
		heartbeat = true
	}
	if p.snapshot != nil {
		if heartbeat {
			n.sendSnapshotChunk(to, p)
		}
		return
	}
	var entries []Entry
	if p.next <= p.match+maxInFlightEntries {
		entries = n.log.batchFrom(p.next)
	}
	if len(entries) == 0 && !heartbeat && p.sentCommit >= n.commitIndex {
		return
	}
	p.sentCommit = n.commitIndex
	previous := p.next - 1
	term, _ := n.log.term(previous)
	n.send(to, Message{
		Kind:    KindAppend,
		Index:   previous,
		LogTerm: term,
		Entries: entries,
		Commit:  n.commitIndex,
		Round:   n.heartbeatRound,
	})
	p.next += core.LogIndex(len(entries))
}

func (n *Node) sendSnapshotChunk(to Peer, p *progress) {
	data := p.snapshot.Data
	from := min(p.chunkOffset, uint64(len(data)))
	n.send(to, Message{
		Kind: KindSnapshotChunk,
		Snapshot: &Snapshot{
			Index:   p.snapshot.Index,
			Term:    p.snapshot.Term,
			Members: p.snapshot.Members,
			Data:    data[from:min(from+snapshotChunkBytes, uint64(len(data)))],
		},
		Offset: from,
		Size:   uint64(len(data)),
		Round:  n.heartbeatRound,
	})
}

// followLeader accepts the sender as the leader of its term. It rejects a sender of an earlier term.
func (n *Node) followLeader(m Message, answerKind MessageKind) bool {
	if m.Term < n.hardState.Term {
		n.sendSynced(m.From, Message{
			Kind:   answerKind,
			Reject: true,
		})
		return false
	}
	if n.role == Leader {
		panic(fmt.Sprintf("raft instance %q: %q also leads in term %d", n.self.ID, m.From.ID, m.Term))
	}
	n.changeRole(onLeaderSeen)
	n.votes = nil
	n.leader = m.From
	n.leaderContact = n.now
	n.resetTimeout()
	return true
}

func (n *Node) receiveAppend(m Message) {
	if !contiguous(m) || !n.followLeader(m, KindAppendAnswer) {
		return
	}
	answer := Message{
		Kind:  KindAppendAnswer,
		Round: m.Round,
	}
	switch {
	case n.installing != nil: // a snapshot is about to replace the log; a rejection would make the leader resend entries
		answer.Index = n.commitIndex
	case m.Index > n.log.last():
		answer.Reject, answer.Index = true, n.log.last()
	case m.Index >= n.log.base && !n.log.matches(m.Index, m.LogTerm):
		answer.Reject, answer.Index = true, max(n.log.firstOfTerm(m.Index)-1, n.commitIndex)
	default:
		answer.Index = n.appendNew(m)
	}
	n.sendSynced(m.From, answer)
}

// contiguous reports whether the entries of a message directly follow its Index without a gap.
func contiguous(m Message) bool {
	for i := range m.Entries {
		if m.Entries[i].Index != m.Index+core.LogIndex(i)+1 {
			return false
		}
	}
	return true
}

// appendNew appends the entries that the log lacks and returns the last index at which it matches the leader's log.
func (n *Node) appendNew(m Message) core.LogIndex {
	for i, entry := range m.Entries {
		if entry.Index <= n.log.base || n.log.matches(entry.Index, entry.Term) {
			continue
		}
		n.truncate(entry.Index)
		n.log.append(m.Entries[i:]...)
		n.adoptMemberships(m.Entries[i:])
		break
	}
	matching := m.Index + core.LogIndex(len(m.Entries))
	n.commitIndex = max(n.commitIndex, min(m.Commit, matching))
	return matching
}

func (n *Node) truncate(from core.LogIndex) {
	if from > n.log.last() {
		return
	}
	if from <= n.commitIndex {
		panic(fmt.Sprintf("raft instance %q: entry %d is committed and would be overwritten", n.self.ID, from))
	}
	n.log.truncate(from)
	n.dropMemberships(from)
	n.firstUnwritten = min(n.firstUnwritten, from)
	n.lastSynced = min(n.lastSynced, from-1)
	n.updateVoterRole()
}

// recordAnswer records contact with a member. It returns nil if the answer does not belong to the current leadership.
func (n *Node) recordAnswer(m Message) *progress {
	p := n.progress[m.From]
	if n.role != Leader || m.Term != n.hardState.Term || p == nil {
		return nil
	}
	p.lastContact = n.now
	p.answeredRound = max(p.answeredRound, m.Round)
	n.answerConfirmedReads()
	return p
}

func (n *Node) receiveAppendAnswer(m Message) {
	p := n.recordAnswer(m)
	if p == nil {
		return
	}
	if m.Reject {
		if p.snapshot == nil {
			p.next = max(p.match+1, min(p.next, m.Index+1))
			n.replicate(m.From, false)
		}
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
	n.advanceCommit()
	n.tryPendingChange()
	if n.handover != nil && m.From == n.handover.successor {
		n.continueHandover()
	}
}

// advanceCommit commits the entries that a majority has synced, counting this instance's own disk, if the last of them is of
// the current term.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	index := n.quorumMatch()
	if term, _ := n.log.term(index); index <= n.commitIndex || term != n.hardState.Term {
		return
	}
	n.commitIndex = index
	n.stepDownIfRemoved()
}

func (n *Node) quorumMatch() core.LogIndex {
	voters := n.currentMembership().voters()
	matches := make([]core.LogIndex, 0, len(voters))
	for _, member := range voters {
		if member.Peer == n.self {
			matches = append(matches, n.lastSynced)
		} else {
			matches = append(matches, n.progress[member.Peer].match)
		}
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}

// stepDownIfRemoved makes a leader step down once the entry that took its vote is committed.
func (n *Node) stepDownIfRemoved() {
	if n.currentMembership().index <= n.commitIndex && !n.currentMembership().isVoter(n.self) {
		n.broadcast() // tells the members the new commit index
		n.changeRole(onLostVote)
		n.resetLeadership()
	}
}
