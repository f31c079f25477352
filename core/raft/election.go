package raft

import "parsleyport/core/statechart"

// startPreVote asks whether a majority would vote, without raising the term.
func (n *Node) startPreVote() {
	n.fire(onElectionTimeout)
	n.leave()
	n.votes = make(map[Peer]bool)
	n.askForVotes(Message{
		Kind: KindPreVote,
		Term: n.hard.Term + 1,
	})
	n.countVote(n.self) // a pre-vote changes nothing that would have to be synced
}

// startVote raises the term. The own vote counts once it is synced.
func (n *Node) startVote(cause statechart.Event, handover bool) {
	n.fire(cause)
	n.leader = Peer{}
	n.hard = HardState{
		Term: n.hard.Term + 1,
		Vote: n.self,
	}
	n.votes = make(map[Peer]bool)
	n.resetTimeout()
	n.askForVotes(Message{
		Kind:     KindVote,
		Term:     n.hard.Term,
		Handover: handover,
	})
}

func (n *Node) askForVotes(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, member := range n.current().voters() {
		if member.Peer != n.self {
			n.sendSynced(member.Peer, m)
		}
	}
}

// hearsLeader reports whether a leader was heard from within an election timeout.
func (n *Node) hearsLeader() bool {
	return n.role == Leader || n.leader != Peer{} && n.now.Before(n.contact.Add(ElectionTimeout))
}

// ignoresVote keeps a candidate that cannot hear the leader from raising the term of those that can. A leader that hands
// over has asked for the vote itself.
func (n *Node) ignoresVote(m Message) bool {
	return m.Kind == KindVote && !m.Handover && m.Term > n.hard.Term && n.hearsLeader()
}

func (n *Node) upToDate(m Message) bool {
	own := n.log.lastTerm()
	return m.LogTerm > own || m.LogTerm == own && m.Index >= n.log.last()
}

func (n *Node) receivePreVote(m Message) {
	grant := m.Term > n.hard.Term && n.upToDate(m) && !n.hearsLeader()
	answer := Message{
		Kind:   KindPreVoteAnswer,
		Term:   m.Term,
		Reject: !grant,
	}
	if !grant {
		answer.Term = n.hard.Term
	}
	n.send(m.From, answer)
}

// receiveVote grants at most one vote in a term; the answer waits for the sync of the vote.
func (n *Node) receiveVote(m Message) {
	free := n.hard.Vote == Peer{} || n.hard.Vote == m.From
	grant := m.Term == n.hard.Term && free && n.upToDate(m) && n.role != Leader
	if grant {
		n.hard.Vote = m.From
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
	preVote := m.Kind == KindPreVoteAnswer && n.role == PreCandidate && m.Term == n.hard.Term+1
	vote := m.Kind == KindVoteAnswer && n.role == Candidate && m.Term == n.hard.Term
	if preVote || vote {
		n.countVote(m.From)
	}
}

// countVote counts the answer of a voter with the identity that the membership names, and of nobody else.
func (n *Node) countVote(from Peer) {
	n.votes[from] = true
	if !n.current().quorum(func(peer Peer) bool { return n.votes[peer] }) {
		return
	}
	if n.role == PreCandidate {
		n.startVote(onPreVoteWon, false)
		return
	}
	n.lead()
}

// lead begins a leadership with a no-op entry: entries of earlier terms commit only together with one of the own term.
func (n *Node) lead() {
	n.fire(onVoteWon)
	n.votes = nil
	n.leader = n.self
	n.timeout = n.now.Add(HeartbeatInterval)
	n.progress = make(map[Peer]*progress)
	n.trackMembers()
	n.appendOwn(Entry{
		Kind: EntryNoOp,
	})
	n.broadcast()
}
