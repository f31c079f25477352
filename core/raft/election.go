package raft

import "parsleyport/core/statechart"

// startPreVote asks whether a majority would vote, without raising the term.
func (n *Node) startPreVote() {
	n.changeRole(onElectionTimeout)
	n.resetLeadership()
	n.votes = make(map[Peer]bool)
	n.requestVotes(Message{
		Kind: KindPreVote,
		Term: n.hardState.Term + 1,
	})
	n.countVote(n.self) // a pre-vote changes nothing that would have to be synced
}

// startElection raises the term. The own vote counts once it is synced.
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

// hasLeaderContact reports whether a leader was heard from within an election timeout.
func (n *Node) hasLeaderContact() bool {
	return n.role == Leader || n.leader != Peer{} && n.now.Before(n.leaderContact.Add(ElectionTimeout))
}

// ignoresVoteRequest keeps a candidate that cannot hear the leader from raising the term of those that can. A leader that hands
// over has asked for the vote itself.
func (n *Node) ignoresVoteRequest(m Message) bool {
	return m.Kind == KindVote && !m.Handover && m.Term > n.hardState.Term && n.hasLeaderContact()
}

func (n *Node) upToDate(m Message) bool {
	own := n.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.Index >= n.log.last()
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

// receiveVote grants at most one vote in a term; the answer waits for the sync of the vote.
func (n *Node) receiveVote(m Message) {
	free := n.hardState.Vote == Peer{} || n.hardState.Vote == m.From
	grant := m.Term == n.hardState.Term && free && n.upToDate(m) && n.role != Leader
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

// countVote counts the answer of a voter with the identity that the membership names, and of nobody else.
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

// lead begins a leadership with a no-op entry: entries of earlier terms commit only together with one of the own term.
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
