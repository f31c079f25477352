package raftpeer

import (
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk"
)

// applier applies committed entries to the state machine and stores its snapshots.
type applier struct {
	store            *disk.Store
	machine          core.StateMachine
	applied          core.LogIndex
	term             core.Term
	members          []raft.Member
	snapshotIndex    core.LogIndex // of the newest stored snapshot
	snapshotInterval core.LogIndex // entries between two snapshots
	waitingReads     []raft.ReadResult
	// finishRequest reports the result of an applied entry or of a read; requests of other processes are ignored there.
	finishRequest func(request raft.RequestID, result []byte)
}

func newApplier(store *disk.Store, machine core.StateMachine, from raft.Snapshot, finishRequest func(raft.RequestID, []byte)) (*applier, error) {
	a := &applier{
		store:            store,
		machine:          machine,
		snapshotInterval: raft.SnapshotIntervalEntries,
		finishRequest:    finishRequest,
	}
	if from.Index == 0 {
		return a, nil
	}
	return a, a.restore(from)
}

func (a *applier) restore(snapshot raft.Snapshot) error {
	if err := a.machine.Restore(snapshot.Data); err != nil {
		return errors.Annotatef(err, "restore snapshot of entry %d", snapshot.Index)
	}
	a.applied, a.term, a.members, a.snapshotIndex = snapshot.Index, snapshot.Term, snapshot.Members, snapshot.Index
	return nil
}

// apply applies the result of a step. It returns the snapshot that it has stored, or nil.
func (a *applier) apply(result stepResult) (*raft.Snapshot, error) {
	for _, entry := range result.committed {
		if err := a.applyEntry(entry); err != nil {
			return nil, errors.Annotatef(err, "apply entry %d", entry.Index)
		}
	}
	a.waitingReads = append(a.waitingReads, result.reads...)
	if excess := len(a.waitingReads) - maxOutstandingRequests; excess > 0 {
		a.waitingReads = a.waitingReads[excess:] // the oldest ones have timed out and been requested again
	}
	if result.install != nil {
		return a.install(*result.install)
	}
	a.finishReads()
	if a.applied < a.snapshotIndex+a.snapshotInterval {
		return nil, nil
	}
	return a.takeSnapshot()
}

func (a *applier) applyEntry(entry raft.Entry) error {
	if entry.Index <= a.applied {
		return nil
	}
	var result []byte
	switch entry.Kind {
	case raft.EntryCommand:
		var err error
		if result, err = a.machine.Apply(entry.Index, entry.Command); err != nil {
			return err
		}
	case raft.EntryMembers:
		a.members = entry.Members
	}
	a.applied, a.term = entry.Index, entry.Term
	a.finishRequest(entry.Request, result)
	return nil
}

func (a *applier) finishReads() {
	kept := a.waitingReads[:0]
	for _, read := range a.waitingReads {
		if read.Index > a.applied {
			kept = append(kept, read)
			continue
		}
		a.finishRequest(read.Request, nil)
	}
	a.waitingReads = kept
}

func (a *applier) install(snapshot raft.Snapshot) (*raft.Snapshot, error) {
	if err := a.store.SaveSnapshot(snapshot); err != nil {
		return nil, errors.Trace(err)
	}
	if err := a.restore(snapshot); err != nil {
		return nil, err
	}
	a.finishReads()
	return &snapshot, nil
}

func (a *applier) takeSnapshot() (*raft.Snapshot, error) {
	data, err := a.machine.Snapshot()
	if err != nil {
		return nil, errors.Annotatef(err, "take snapshot of entry %d", a.applied)
	}
	snapshot := raft.Snapshot{
		Index:   a.applied,
		Term:    a.term,
		Members: a.members,
		Data:    data,
	}
	if err := a.store.SaveSnapshot(snapshot); err != nil {
		return nil, errors.Trace(err)
	}
	a.snapshotIndex = a.applied
	return &snapshot, nil
}
