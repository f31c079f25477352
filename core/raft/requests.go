package raft

import (
	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
)

// pendingRead waits for a heartbeat round; Round is zero until that round is sent.
type pendingRead struct {
	request RequestID
	origin  Peer
	index   core.LogIndex
	round   uint64
}

// promotion waits for a learner to hold all that was committed when it was asked for.
type membershipChange struct {
	request      RequestID
	origin       Peer
	change       Change
	catchUpIndex core.LogIndex
}

// Reasons of refusals that more than one place gives.
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

// RefusalError returns the reason of a Refusal as an error, ErrTransient if it does not lie in the request.
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
	case n.log.last() >= n.commit+maxUncommitted:
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

// changeMembers allows one membership change at a time, and none before an entry of the own term is committed, since a
// membership of an earlier term that the instance has not seen could otherwise form another majority.
func (n *Node) changeMembers(p Proposed, origin Peer) {
	if n.currentMembership().index > n.commit || !n.committedInTerm() {
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
		n.pendingChange.catchUpIndex = n.commit
	}
	n.tryPendingChange()
}

// tryPendingChange appends the membership that is asked for once a learner to be promoted has caught up.
func (n *Node) tryPendingChange() {
	if n.pendingChange == nil {
		return
	}
	asked := n.pendingChange
	if p := n.progress[asked.change.Peer]; asked.catchUpIndex > 0 && (p == nil || p.match < asked.catchUpIndex) {
		return
	}
	n.pendingChange = nil
	members, err := n.currentMembership().apply(asked.change)
	if err != nil {
		n.refuse(asked.origin, asked.request, err.Error())
		return
	}
	n.appendEntry(Entry{
		Kind:    EntryMembers,
		Request: asked.request,
		Members: members,
	})
}

func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.commit)
	return term == n.hardState.Term
}

func (n *Node) requestRead(request RequestID, origin Peer) {
	switch {
	case n.role == Leader && len(n.reads) < maxPendingReads:
		n.reads = append(n.reads, pendingRead{
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

// startReads begins one heartbeat round for all reads of a step. They wait for an entry of the own term to be committed,
// because a new leader does not know before that which entries were committed.
func (n *Node) startReads() {
	if n.role != Leader || !n.committedInTerm() {
		return
	}
	started := false
	for i := range n.reads {
		if n.reads[i].round == 0 {
			n.reads[i].round, n.reads[i].index = n.round+1, n.commit
			started = true
		}
	}
	if started {
		n.round++
		n.broadcast()
		n.finishReads()
	}
}

// finishReads answers the reads whose round a majority has answered.
func (n *Node) finishReads() {
	n.reads = lo.Reject(n.reads, func(read pendingRead, _ int) bool {
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
		n.out.Reads = append(n.out.Reads, ReadResult{
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
	for _, read := range n.reads {
		n.refuse(read.origin, read.request, reasonSteppedDown)
	}
	n.reads = nil
}
