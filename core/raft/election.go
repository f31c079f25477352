package raft

import "parsleyport/core/statechart"

// startPreVote asks the voters whether they would grant their vote, without raising the term.
func (n *Node) startPreVote() {
	n.changeRole(onElectionTimeout)
	n.resetLeadership()
	n.votes = make(map[Peer]bool)
	n.requestVotes(Message{
		Kind: KindPreVote,
		Term: n.hardState.Term + 1,
	})
	n.countVote(n.self) // counts at once, since a pre-vote changes no state that must be synced
}

// startElection raises the term and requests votes. The instance's own vote counts once it is synced.
func (n *Node) startElection(cause statechart.Event, handover bool) {
	n.changeRole(cause)
	n.leader = Peer{}
	n.hardState = HardState{
		Term: n.hardState.Term + 1,
		Vote: n.self,
	}
	n.votes = make(map[Peer]bool)
	n.resetTimeout()
	n.requestVotes(Message{
		Kind:     KindVote,
		Term:     n.hardState.Term,
		Handover: handover,
	})
}

func (n *Node) requestVotes(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, member := range n.currentMembership().voters() {
		if member.Peer != n.self {
			n.sendSynced(member.Peer, m)
		}
	}
}

// hasLeaderContact reports whether a message from the leader arrived within the last election timeout.
func (n *Node) hasLeaderContact() bool {
	return n.role == Leader || n.leader != Peer{} && n.now.Before(n.leaderContact.Add(ElectionTimeout))
}

// ignoresVoteRequest keeps a candidate that cannot reach the leader from raising the term of instances that can. In a
// leadership transfer, vote requests are not ignored, since the leader has asked for them.
func (n *Node) ignoresVoteRequest(m Message) bool {
	return m.Kind == KindVote && !m.Handover && m.Term > n.hardState.Term && n.hasLeaderContact()
}

func (n *Node) upToDate(m Message) bool {
	ownTerm := n.log.lastTerm()
	return m.LogTerm > ownTerm || m.LogTerm == ownTerm && m.Index >= n.log.last()
}

func (n *Node) receivePreVote(m Message) {
	grant := m.Term > n.hardState.Term && n.upToDate(m) && !n.hasLeaderContact()
	answer := Message{
		Kind:   KindPreVoteAnswer,
		Term:   m.Term,
		Reject: !grant,
	}
	if !grant {
		answer.Term = n.hardState.Term
	}
	n.send(m.From, answer)
}

// receiveVote grants at most one vote per term. The answer waits until the vote is synced.
func (n *Node) receiveVote(m Message) {
	canVote := n.hardState.Vote == Peer{} || n.hardState.Vote == m.From
	grant := m.Term == n.hardState.Term && canVote && n.upToDate(m) && n.role != Leader
	if grant {
		n.hardState.Vote = m.From
		n.resetTimeout()
	}
	n.sendSynced(m.From, Message{
		Kind:   KindVoteAnswer,
		Reject: !grant,
	})
}

func (n *Node) receiveVoteAnswer(m Message) {
	if m.Reject {
		return
	}
	preVote := m.Kind == KindPreVoteAnswer && n.role == PreCandidate && m.Term == n.hardState.Term+1
	vote := m.Kind == KindVoteAnswer && n.role == Candidate && m.Term == n.hardState.Term
	if preVote || vote {
		n.countVote(m.From)
	}
}

// countVote records a vote or a pre-vote, and acts on a majority. Votes count only from voters with the identity in the membership.
func (n *Node) countVote(from Peer) {
	n.votes[from] = true
	if !n.currentMembership().quorum(func(peer Peer) bool { return n.votes[peer] }) {
		return
	}
	if n.role == PreCandidate {
		n.startElection(onPreVoteWon, false)
		return
	}
	n.becomeLeader()
}

// becomeLeader appends a no-op entry, since a leader commits entries of earlier terms only together with one of its own term.
func (n *Node) becomeLeader() {
	n.changeRole(onVoteWon)
	n.votes = nil
	n.leader = n.self
	n.nextTimeout = n.now.Add(HeartbeatInterval)
	n.progress = make(map[Peer]*progress)
	n.updateProgress()
	n.appendEntry(Entry{
		Kind: EntryNoOp,
	})
	n.broadcast()
}
