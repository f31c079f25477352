package raft

import (
	"time"

	"parsleyport/core"
)

// HandoverTimeout bounds one attempt to hand the leadership over; after it the leader takes proposals again. An election
// without lost messages takes two round trips and two syncs, far less.
const HandoverTimeout = ElectionTimeout / 2

// HandOverRequested asks a leader to give its leadership to the most advanced voter; other instances ignore it.
type HandOverRequested struct{}

func (HandOverRequested) event() {}

// handover is a transfer of the leadership that is under way.
type handover struct {
	successor Peer
	deadline  time.Time
}

// handOver stops the proposals, so that the successor can hold the whole log, and brings it up to date.
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

// successor returns the voter that holds the most of the log. One that has not answered for two heartbeats is not chosen,
// since it may hold as much and be gone.
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

// continueHandover tells the successor to start an election once it holds the whole log.
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

// receiveTimeoutNow starts an election at once: its leader has asked for it, so no pre-vote has to protect that leader.
func (n *Node) receiveTimeoutNow(m Message) {
	if n.role != Follower || m.From != n.leader || m.Term != n.hardState.Term {
		return
	}
	n.startElection(onHandover, true)
}
