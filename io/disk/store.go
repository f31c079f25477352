package disk

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/packed"
	"parsleyport/core/raft"
)

// ErrFailed means that an earlier write or sync has failed. The process must exit.
const ErrFailed = errors.ConstError("data folder has failed")

const (
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	maxSegmentBytes = 16 << 20 // the next write begins a new segment once a segment is larger
)

// Identity is the identity of the data folder. Initial is the initial membership once it has been agreed on.
type Identity struct {
	Self    raft.Peer     `msgpack:"self"`
	Initial []raft.Member `msgpack:"initial"`
}

// Contents is what a data folder holds when it is opened.
type Contents struct {
	Identity Identity
	Created  bool // the identity was created by this call of Open
	HasState bool // the folder holds a log or a snapshot
	Restored raft.Restored
}

// batch is the content of a log record. The reset applies first, then the hard state, then the entries.
type batch struct {
	Last      core.LogIndex   `msgpack:"last"` // in the first record of a segment: index of the last entry before the segment
	Reset     *raft.Reset     `msgpack:"reset"`
	HardState *raft.HardState `msgpack:"hard-state"`
	Entries   []raft.Entry    `msgpack:"entries"`
}

// segment is one file of the log.
type segment struct {
	number    uint64
	lastIndex core.LogIndex // greatest index of the entries in the segment
	size      uint64
}

// Store writes to an opened data folder. SaveSnapshot may run concurrently with the other methods, which need one caller at a time.
type Store struct {
	folder    Folder
	file      File
	segments  []segment // the last one is open in file
	hardState raft.HardState
	lastIndex core.LogIndex // of the last entry of the log

	mu     sync.Mutex // guards failed
	failed error
}

// Open reads an instance's data folder. If the folder is empty, it creates an identity with newIdentity, which returns a
// random one. It returns ErrCorrupt if the folder is damaged.
func Open(folder Folder, self core.ControlID, newIdentity func() raft.Identity) (*Store, Contents, error) {
	s := &Store{
		folder: folder,
	}
	names, err := s.listFiles()
	if err != nil {
		return nil, Contents{}, err
	}
	found, err := s.openIdentity(names, self, newIdentity)
	if err != nil {
		return nil, Contents{}, err
	}
	if found.Restored.Snapshot, err = s.readNewestSnapshot(names); err != nil {
		return nil, Contents{}, err
	}
	log, err := s.readSegments(names)
	if err != nil {
		return nil, Contents{}, err
	}
	if len(s.segments) == 0 && (found.Restored.Snapshot.Index > 0 || len(found.Identity.Initial) > 0) {
		return nil, Contents{}, errors.Annotate(ErrCorrupt, "log segments are missing")
	}
	found.Restored.HardState = s.hardState
	found.HasState = len(log.entries) > 0 || found.Restored.Snapshot.Index > 0 || s.hardState != raft.HardState{}
	if err := s.alignLog(&found.Restored, log); err != nil {
		return nil, Contents{}, err
	}
	return s, found, nil
}

// listFiles returns the names of the files, sorted, after removing temporary files that an interrupted write has left.
func (s *Store) listFiles() ([]string, error) {
	names, err := s.folder.List()
	if err != nil {
		return nil, errors.Annotate(err, "list data folder")
	}
	slices.Sort(names)
	kept := names[:0]
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			kept = append(kept, name)
		} else if err := s.folder.Remove(name); err != nil {
			return nil, errors.Annotatef(err, "remove %q", name)
		}
	}
	return kept, nil
}

func (s *Store) openIdentity(names []string, self core.ControlID, newIdentity func() raft.Identity) (Contents, error) {
	var found Contents
	if slices.Contains(names, identityName) {
		if err := readRecordFile(s.folder, identityName, &found.Identity); err != nil {
			return found, err
		}
		if found.Identity.Self.ID != self {
			return found, errors.Errorf("data folder belongs to %q and not to %q", found.Identity.Self.ID, self)
		}
		return found, nil
	}
	if len(names) > 0 {
		return found, errors.Annotatef(ErrCorrupt, "identity is missing beside %q", names[0])
	}
	found.Created = true
	found.Identity.Self = raft.Peer{
		ID:       self,
		Identity: newIdentity(),
	}
	return found, s.SaveIdentity(found.Identity)
}

// SaveIdentity replaces the stored identity.
func (s *Store) SaveIdentity(identity Identity) error {
	return s.replaceFile(identityName, identity)
}

// readRecordFile reads and decodes a file that holds one record.
func readRecordFile(folder Folder, name string, target any) error {
	data, err := folder.Read(name)
	if err != nil {
		return errors.Annotatef(err, "read %q", name)
	}
	payload, valid := recordAt(0, data, 0)
	if !valid || len(payload)+recordHeaderBytes != len(data) {
		return errors.Annotatef(ErrCorrupt, "checksum of %q does not match", name)
	}
	if err := packed.Decode(payload, target); err != nil {
		return errors.Annotatef(ErrCorrupt, "decode %q: %v", name, err)
	}
	return nil
}

// replaceFile atomically replaces a file that holds one record. After an error the store refuses all further calls.
func (s *Store) replaceFile(name string, content any) error {
	if err := s.checkFailed(); err != nil {
		return err
	}
	if err := writeRecordFile(s.folder, name, content); err != nil {
		return s.fail(err, "replace", name)
	}
	return nil
}

// writeRecordFile writes to a temporary file and renames it, so that after a crash the file is complete or absent.
func writeRecordFile(folder Folder, name string, content any) error {
	record, err := encodeRecord(0, 0, content)
	if err != nil {
		return err
	}
	file, err := folder.Create(name + temporarySuffix)
	if err != nil {
		return errors.Annotatef(err, "create %q", name)
	}
	if _, err := file.Write(record); err != nil {
		return errors.Annotatef(err, "write %q", name)
	}
	if err := file.Sync(); err != nil {
		return errors.Annotatef(err, "sync %q", name)
	}
	if err := file.Close(); err != nil {
		return errors.Annotatef(err, "close %q", name)
	}
	if err := folder.Rename(name+temporarySuffix, name); err != nil {
		return errors.Annotatef(err, "rename %q", name)
	}
	return errors.Annotatef(folder.Sync(), "sync folder of %q", name)
}

func (s *Store) readNewestSnapshot(names []string) (raft.Snapshot, error) {
	var newest raft.Snapshot
	for _, name := range slices.Backward(names) {
		if strings.HasPrefix(name, snapshotPrefix) {
			return newest, readRecordFile(s.folder, name, &newest)
		}
	}
	return newest, nil
}

// SaveSnapshot stores a snapshot. Compact may then remove the log entries that it covers.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	return s.replaceFile(snapshotName(snapshot.Index), snapshot)
}

func snapshotName(index core.LogIndex) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, index)
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%020d", segmentPrefix, number)
}

// alignLog restores the entries that follow the snapshot, and resets a log that does not contain the snapshot's last entry.
func (s *Store) alignLog(restored *raft.Restored, log *replay) error {
	snapshot := restored.Snapshot
	if log.firstIndex() > snapshot.Index+1 {
		return errors.Annotatef(ErrCorrupt, "log begins with entry %d, but the newest snapshot ends with entry %d",
			log.firstIndex(), snapshot.Index)
	}
	if err := s.openSegment(); err != nil {
		return err
	}
	if entries, joined := log.entriesAfter(snapshot); joined {
		restored.Entries = entries
		return nil
	}
	return s.Write(&raft.Reset{
		Index: snapshot.Index,
		Term:  snapshot.Term,
	}, nil, nil)
}

func (s *Store) checkFailed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// fail makes the store return ErrFailed from now on.
func (s *Store) fail(cause error, action, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = errors.Annotatef(ErrFailed, "%s %q: %v", action, name, cause)
	}
	return s.failed
}

// Close closes the folder without a sync.
func (s *Store) Close() error {
	if s.file != nil {
		_ = s.file.Close()
	}
	return errors.Trace(s.folder.Close())
}
