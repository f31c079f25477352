package raft

import (
	"slices"

	"parsleyport/core"
)

func (n *Node) receiveSnapshotChunk(m Message) {
	if m.Snapshot == nil || m.Size > maxSnapshotBytes || !n.followLeader(m, KindSnapshotChunkAnswer) {
		return
	}
	if m.Snapshot.Index <= n.commitIndex {
		n.incoming = nil
		n.sendSynced(m.From, Message{
			Kind:  KindAppendAnswer,
			Index: m.Snapshot.Index,
			Round: m.Round,
		})
		return
	}
	n.sendSynced(m.From, Message{
		Kind:   KindSnapshotChunkAnswer,
		Index:  m.Snapshot.Index,
		Offset: n.addChunk(m),
		Round:  m.Round,
	})
}

// addChunk appends a chunk to the incoming snapshot and returns the next expected offset.
func (n *Node) addChunk(m Message) uint64 {
	if n.installing != nil {
		return m.Size
	}
	if n.incoming == nil || n.incoming.Index != m.Snapshot.Index || n.incoming.Term != m.Snapshot.Term {
		n.incoming = &Snapshot{
			Index:   m.Snapshot.Index,
			Term:    m.Snapshot.Term,
			Members: m.Snapshot.Members,
		}
	}
	if m.Offset == uint64(len(n.incoming.Data)) {
		n.incoming.Data = append(n.incoming.Data, m.Snapshot.Data...)
	}
	received := uint64(len(n.incoming.Data))
	if received >= m.Size {
		n.installing, n.incoming = n.incoming, nil
		n.output.Install = n.installing
	}
	return received
}

func (n *Node) receiveSnapshotChunkAnswer(m Message) {
	p := n.recordAnswer(m)
	if p == nil || p.snapshot == nil || m.Index != p.snapshot.Index {
		return
	}
	advanced := m.Offset > p.chunkOffset
	p.chunkOffset = m.Offset // goes back if the member has restarted and lost its chunks
	if advanced && p.chunkOffset < uint64(len(p.snapshot.Data)) {
		n.sendSnapshotChunk(m.From, p)
	}
}

// receiveSnapshotStored compacts the log after a snapshot of the local state machine, or replaces it after an installed one.
func (n *Node) receiveSnapshotStored(stored Snapshot) {
	if n.installing != nil && n.installing.Index == stored.Index {
		n.installing = nil
		n.install(stored)
		return
	}
	if stored.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = stored
	if stored.Index > n.log.base+n.trailingEntries {
		n.compact(stored.Index - n.trailingEntries)
	}
}

func (n *Node) compact(index core.LogIndex) {
	members := n.membersAt(index)
	n.log.compact(index)
	kept := slices.DeleteFunc(slices.Clone(n.memberships), func(m membership) bool { return m.index <= index })
	n.memberships = append([]membership{{
		index:   index,
		members: members,
	}}, kept...)
}

// install starts the log at a stored snapshot. Later entries stay only if the log matches the snapshot's last entry.
func (n *Node) install(stored Snapshot) {
	if stored.Index <= n.commitIndex {
		return
	}
	n.snapshot = stored
	n.commitIndex, n.lastDelivered = stored.Index, stored.Index
	if n.log.matches(stored.Index, stored.Term) {
		n.compact(stored.Index)
		n.lastSynced = max(n.lastSynced, stored.Index)
	} else {
		n.replaceLog(stored)
	}
	n.updateVoterRole()
	if n.leader != (Peer{}) {
		n.sendSynced(n.leader, Message{
			Kind:  KindAppendAnswer,
			Index: stored.Index,
		})
	}
}

func (n *Node) replaceLog(stored Snapshot) {
	n.log = entryLog{
		base:     stored.Index,
		baseTerm: stored.Term,
	}
	n.memberships = []membership{{
		index:   stored.Index,
		members: stored.Members,
	}}
	n.firstUnwritten, n.lastSynced = stored.Index+1, stored.Index
	n.output.Reset = &Reset{
		Index: stored.Index,
		Term:  stored.Term,
	}
}
