package raft

import (
	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
)

// pendingRead is a read that waits for a heartbeat round; round is zero until that round has been sent.
type pendingRead struct {
	request RequestID
	origin  Peer
	index   core.LogIndex
	round   uint64
}

// membershipChange is a pending change; a promotion waits until the learner has caught up to catchUpIndex.
type membershipChange struct {
	request      RequestID
	origin       Peer
	change       Change
	catchUpIndex core.LogIndex
}

// Reasons for refusals.
const (
	reasonNoLeader      = "no leader is known"
	reasonNotLeader     = "not the leader"
	reasonBusy          = "too many requests are outstanding"
	reasonSteppedDown   = "the leader has stepped down"
	reasonHandingOver   = "the leader hands over"
	reasonChangePending = "another membership change is under way"
)

// ErrTransient means that a request was not appended and that the same request may succeed later.
const ErrTransient = errors.ConstError("request is not possible now")

// RefusalError converts the reason of a Refusal to an error. It returns ErrTransient if the request itself is valid.
func RefusalError(reason string) error {
	switch reason {
	case reasonNoLeader, reasonNotLeader, reasonBusy, reasonSteppedDown, reasonChangePending, reasonHandingOver:
		return errors.Annotate(ErrTransient, reason)
	}
	return errors.New(reason)
}

func (n *Node) propose(p Proposed, origin Peer) {
	switch {
	case n.role != Leader && origin != n.self:
		n.refuse(origin, p.Request, reasonNotLeader)
	case n.role != Leader && n.leader == Peer{}:
		n.refuse(origin, p.Request, reasonNoLeader)
	case n.role != Leader:
		n.send(n.leader, Message{
			Kind:    KindPropose,
			Request: p.Request,
			Command: p.Command,
			Change:  p.Change,
		})
	case n.handover != nil:
		n.refuse(origin, p.Request, reasonHandingOver)
	case n.log.last() >= n.commitIndex+maxUncommittedEntries:
		n.refuse(origin, p.Request, reasonBusy)
	case p.Change != nil:
		n.changeMembers(p, origin)
	default:
		n.appendEntry(Entry{
			Kind:    EntryCommand,
			Request: p.Request,
			Command: p.Command,
		})
	}
}

// changeMembers allows one membership change at a time, and none before the leader has committed an entry of its own term: a
// membership entry of an earlier term that this instance lacks could otherwise form a majority that does not overlap.
func (n *Node) changeMembers(p Proposed, origin Peer) {
	if n.currentMembership().index > n.commitIndex || !n.committedInTerm() {
		n.refuse(origin, p.Request, reasonChangePending)
		return
	}
	if n.pendingChange != nil {
		n.refuse(n.pendingChange.origin, n.pendingChange.request, "replaced by a later membership change")
		n.pendingChange = nil
	}
	if _, err := n.currentMembership().apply(*p.Change); err != nil {
		n.refuse(origin, p.Request, err.Error())
		return
	}
	n.pendingChange = &membershipChange{
		request: p.Request,
		origin:  origin,
		change:  *p.Change,
	}
	if p.Change.Kind == ChangePromote {
		n.pendingChange.catchUpIndex = n.commitIndex
	}
	n.tryPendingChange()
}

// tryPendingChange appends the requested membership; for a promotion, only once the learner has caught up.
func (n *Node) tryPendingChange() {
	if n.pendingChange == nil {
		return
	}
	pending := n.pendingChange
	if p := n.progress[pending.change.Peer]; pending.catchUpIndex > 0 && (p == nil || p.match < pending.catchUpIndex) {
		return
	}
	n.pendingChange = nil
	members, err := n.currentMembership().apply(pending.change)
	if err != nil {
		n.refuse(pending.origin, pending.request, err.Error())
		return
	}
	n.appendEntry(Entry{
		Kind:    EntryMembers,
		Request: pending.request,
		Members: members,
	})
}

func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.commitIndex)
	return term == n.hardState.Term
}

func (n *Node) requestRead(request RequestID, origin Peer) {
	switch {
	case n.role == Leader && len(n.pendingReads) < maxPendingReads:
		n.pendingReads = append(n.pendingReads, pendingRead{
			request: request,
			origin:  origin,
		})
	case n.role == Leader:
		n.refuse(origin, request, reasonBusy)
	case origin != n.self:
		n.refuse(origin, request, reasonNotLeader)
	case n.leader == Peer{}:
		n.refuse(origin, request, reasonNoLeader)
	default:
		n.send(n.leader, Message{
			Kind:    KindRead,
			Request: request,
		})
	}
}

// startReads starts one heartbeat round for all reads of a step. Reads wait until an entry of the leader's own term is
// committed, because before that a new leader does not know which entries are committed.
func (n *Node) startReads() {
	if n.role != Leader || !n.committedInTerm() {
		return
	}
	started := false
	for i := range n.pendingReads {
		if n.pendingReads[i].round == 0 {
			n.pendingReads[i].round, n.pendingReads[i].index = n.heartbeatRound+1, n.commitIndex
			started = true
		}
	}
	if started {
		n.heartbeatRound++
		n.broadcast()
		n.answerConfirmedReads()
	}
}

// answerConfirmedReads answers the reads whose heartbeat round has been answered by a majority.
func (n *Node) answerConfirmedReads() {
	n.pendingReads = lo.Reject(n.pendingReads, func(read pendingRead, _ int) bool {
		if read.round == 0 || !n.roundConfirmed(read.round) {
			return false
		}
		n.answerRead(read)
		return true
	})
}

func (n *Node) roundConfirmed(round uint64) bool {
	return n.currentMembership().quorum(func(peer Peer) bool {
		return peer == n.self || n.progress[peer].answeredRound >= round
	})
}

func (n *Node) answerRead(read pendingRead) {
	if read.origin == n.self {
		n.output.Reads = append(n.output.Reads, ReadResult{
			Request: read.request,
			Index:   read.index,
		})
		return
	}
	n.send(read.origin, Message{
		Kind:    KindReadAnswer,
		Request: read.request,
		Index:   read.index,
	})
}

func (n *Node) failReads() {
	for _, read := range n.pendingReads {
		n.refuse(read.origin, read.request, reasonSteppedDown)
	}
	n.pendingReads = nil
}
