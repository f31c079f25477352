package raft

import (
	"time"

	"parsleyport/core"
)

// HandoverTimeout bounds one attempt to transfer the leadership; after it the leader accepts proposals again. Without lost
// messages, an election takes two round trips and two syncs, which is far less.
const HandoverTimeout = ElectionTimeout / 2

// HandOverRequested asks a leader to transfer its leadership to the most up-to-date voter. Other instances ignore it.
type HandOverRequested struct{}

func (HandOverRequested) event() {}

// handover is a leadership transfer in progress.
type handover struct {
	successor Peer
	deadline  time.Time
}

// handOver refuses further proposals, so that the successor's log can reach the end of the leader's, and replicates to it.
func (n *Node) handOver() {
	if n.role != Leader || n.handover != nil {
		return
	}
	to, exists := n.successor()
	if !exists {
		return
	}
	n.handover = &handover{
		successor: to,
		deadline:  n.now.Add(HandoverTimeout),
	}
	n.replicate(to, true)
	n.continueHandover()
}

// successor returns the voter with the highest match index. It leaves out voters that have not answered for two heartbeats,
// since they may be down although their match index is as high.
func (n *Node) successor() (Peer, bool) {
	var to Peer
	var most core.LogIndex
	var newest time.Time
	for _, member := range n.currentMembership().voters() {
		p := n.progress[member.Peer]
		if member.Peer == n.self || p == nil || p.lastContact.Add(2*HeartbeatInterval).Before(n.now) {
			continue
		}
		if to == (Peer{}) || p.match > most || p.match == most && p.lastContact.After(newest) {
			to, most, newest = member.Peer, p.match, p.lastContact
		}
	}
	return to, to != Peer{}
}

// continueHandover tells the successor to start an election once its log is complete.
func (n *Node) continueHandover() {
	if n.handover == nil {
		return
	}
	if p := n.progress[n.handover.successor]; p != nil && p.match == n.log.last() {
		n.send(n.handover.successor, Message{
			Kind: KindTimeoutNow,
		})
	}
}

// receiveTimeoutNow starts an election without a pre-vote. A pre-vote protects a working leader, but here the leader itself
// has asked for the election.
func (n *Node) receiveTimeoutNow(m Message) {
	if n.role != Follower || m.From != n.leader || m.Term != n.hardState.Term {
		return
	}
	n.startElection(onHandover, true)
}
