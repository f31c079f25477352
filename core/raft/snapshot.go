package raft

import (
	"slices"

	"parsleyport/core"
)

func (n *Node) receiveChunk(m Message) {
	if m.Snapshot == nil || m.Size > maxSnapshotBytes || !n.followLeader(m, KindSnapshotChunkAnswer) {
		return
	}
	if m.Snapshot.Index <= n.commit {
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
		Offset: n.collect(m),
		Round:  m.Round,
	})
}

// collect adds a chunk to the incoming snapshot and returns the offset that is expected next.
func (n *Node) collect(m Message) uint64 {
	if n.installed != nil {
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
		n.installed, n.incoming = n.incoming, nil
		n.out.Install = n.installed
	}
	return received
}

func (n *Node) receiveChunkAnswer(m Message) {
	p := n.answered(m)
	if p == nil || p.sending == nil || m.Index != p.sending.Index {
		return
	}
	advanced := m.Offset > p.chunk
	p.chunk = m.Offset // goes back if the member has restarted
	if advanced && p.chunk < uint64(len(p.sending.Data)) {
		n.sendChunk(m.From, p)
	}
}

// snapshotStored compacts the log after an own snapshot, or replaces it after an installed one.
func (n *Node) snapshotStored(stored Snapshot) {
	if n.installed != nil && n.installed.Index == stored.Index {
		n.installed = nil
		n.install(stored)
		return
	}
	if stored.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = stored
	if stored.Index > n.log.base+n.trailing {
		n.compact(stored.Index - n.trailing)
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

// install makes a stored snapshot the beginning of the log; entries behind it are kept only if the log contains it.
func (n *Node) install(stored Snapshot) {
	if stored.Index <= n.commit {
		return
	}
	n.snapshot = stored
	n.commit, n.emitted = stored.Index, stored.Index
	if n.log.matches(stored.Index, stored.Term) {
		n.compact(stored.Index)
		n.stable = max(n.stable, stored.Index)
	} else {
		n.replaceLog(stored)
	}
	n.followMembership()
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
	n.unwritten, n.stable = stored.Index+1, stored.Index
	n.out.Reset = &Reset{
		Index: stored.Index,
		Term:  stored.Term,
	}
}
