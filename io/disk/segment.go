package disk

import (
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/packed"
	"parsleyport/core/raft"
)

// readSegments reads all segments in order and rebuilds the log from them.
func (s *Store) readSegments(names []string) (*replay, error) {
	replay := &replay{}
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		number, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
		if err != nil {
			return nil, errors.Annotatef(ErrCorrupt, "segment name %q", name)
		}
		s.segments = append(s.segments, segment{
			number: number,
		})
	}
	for i := range s.segments {
		if i > 0 && s.segments[i].number != s.segments[i-1].number+1 {
			return nil, errors.Annotatef(ErrCorrupt, "segment %d is missing", s.segments[i-1].number+1)
		}
		if err := s.readSegment(&s.segments[i], replay, i == len(s.segments)-1); err != nil {
			return nil, err
		}
	}
	s.hardState, s.lastIndex = replay.hardState, max(replay.nextIndex, 1)-1
	return replay, nil
}

func (s *Store) readSegment(seg *segment, replay *replay, newest bool) error {
	name := segmentName(seg.number)
	data, err := s.folder.Read(name)
	if err != nil {
		return errors.Annotatef(err, "read %q", name)
	}
	offset := 0
	for offset < len(data) {
		payload, valid := recordAt(seg.number, data, offset)
		if !valid {
			return s.truncateTail(seg, data, offset, newest)
		}
		var b batch
		if err := packed.Decode(payload, &b); err != nil {
			return errors.Annotatef(ErrCorrupt, "decode %q at byte %d: %v", name, offset, err)
		}
		if err := replay.apply(b); err != nil {
			return errors.Annotatef(err, "%q at byte %d", name, offset)
		}
		seg.recordEntries(b.Entries)
		offset += recordHeaderBytes + len(payload)
		seg.size = uint64(offset)
	}
	return nil
}

// truncateTail removes a torn record at the end of the newest segment. No other segment can have one, since a segment is
// created only after the previous one has been synced.
func (s *Store) truncateTail(seg *segment, data []byte, offset int, newest bool) error {
	name := segmentName(seg.number)
	if !newest {
		return errors.Annotatef(ErrCorrupt, "record in %q at byte %d is bad and newer segments follow", name, offset)
	}
	if at, exists := findValidAfter(seg.number, data, offset); exists {
		return errors.Annotatef(ErrCorrupt, "record in %q at byte %d is bad and a valid record follows at byte %d", name, offset, at)
	}
	seg.size = uint64(offset)
	if err := s.folder.Truncate(name, int64(offset)); err != nil {
		return s.fail(err, "truncate", name)
	}
	return nil
}

func (seg *segment) recordEntries(entries []raft.Entry) {
	if len(entries) > 0 {
		seg.lastIndex = max(seg.lastIndex, entries[len(entries)-1].Index)
	}
}

// replay rebuilds the log from the batches of all segments.
type replay struct {
	hardState raft.HardState
	entries   []raft.Entry
	nextIndex core.LogIndex // of the next entry; zero until the first entry or reset
}

// firstIndex returns the first index that the log holds, and zero if nothing has been read yet.
func (r *replay) firstIndex() core.LogIndex {
	return r.nextIndex - core.LogIndex(len(r.entries))
}

// entriesAfter returns the entries after a snapshot, and false if the log does not contain the snapshot's last entry.
func (r *replay) entriesAfter(snapshot raft.Snapshot) ([]raft.Entry, bool) {
	if r.firstIndex() == snapshot.Index+1 || snapshot.Index == 0 {
		return r.entries, true
	}
	at := int(snapshot.Index) - int(r.firstIndex())
	if at >= len(r.entries) || r.entries[at].Term != snapshot.Term {
		return nil, false
	}
	return slices.Clone(r.entries[at+1:]), true
}

func (r *replay) apply(b batch) error {
	if b.Last > 0 && r.nextIndex > 0 && r.nextIndex != b.Last+1 {
		return errors.Annotatef(ErrCorrupt, "segment follows entry %d, but the one before it ends with entry %d", b.Last, r.nextIndex-1)
	}
	if b.Last > 0 {
		r.nextIndex = b.Last + 1
	}
	if b.Reset != nil {
		r.entries, r.nextIndex = nil, b.Reset.Index+1
	}
	if b.HardState != nil {
		r.hardState = *b.HardState
	}
	for _, entry := range b.Entries {
		if err := r.add(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) add(entry raft.Entry) error {
	if r.nextIndex == 0 {
		r.nextIndex = entry.Index
	}
	if entry.Index > r.nextIndex {
		return errors.Annotatef(ErrCorrupt, "entry %d follows entry %d", entry.Index, r.nextIndex-1)
	}
	if len(r.entries) > 0 && entry.Index >= r.entries[0].Index {
		r.entries = r.entries[:entry.Index-r.entries[0].Index]
	} else {
		r.entries = nil
	}
	r.entries = append(r.entries, entry)
	r.nextIndex = entry.Index + 1
	return nil
}

// openSegment opens the newest segment, or creates the first one.
func (s *Store) openSegment() error {
	if len(s.segments) == 0 {
		return s.beginSegment(1)
	}
	name := segmentName(s.segments[len(s.segments)-1].number)
	file, err := s.folder.Append(name)
	if err != nil {
		return s.fail(err, "open", name)
	}
	s.file = file
	return nil
}

// beginSegment creates a segment. It begins with the hard state, so that older segments can be removed.
func (s *Store) beginSegment(number uint64) error {
	name := segmentName(number)
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return s.fail(err, "close", name)
		}
	}
	file, err := s.folder.Create(name)
	if err != nil {
		return s.fail(err, "create", name)
	}
	s.file = file
	s.segments = append(s.segments, segment{
		number: number,
	})
	hardState := s.hardState
	if err := s.write(batch{HardState: &hardState, Last: s.lastIndex}); err != nil {
		return err
	}
	if err := s.folder.Sync(); err != nil {
		return s.fail(err, "sync folder of", name)
	}
	return nil
}

// Write appends one record and returns once it is synced. After a failed write or sync it returns ErrFailed, as do all later
// calls.
func (s *Store) Write(reset *raft.Reset, hardState *raft.HardState, entries []raft.Entry) error {
	if err := s.checkFailed(); err != nil {
		return err
	}
	if hardState != nil {
		s.hardState = *hardState
	}
	if newest := s.segments[len(s.segments)-1]; newest.size > maxSegmentBytes {
		if err := s.beginSegment(newest.number + 1); err != nil {
			return err
		}
	}
	return s.write(batch{
		Reset:     reset,
		HardState: hardState,
		Entries:   entries,
	})
}

func (s *Store) write(b batch) error {
	newest := &s.segments[len(s.segments)-1]
	name := segmentName(newest.number)
	record, err := encodeRecord(newest.number, newest.size, b)
	if err != nil {
		return err
	}
	if _, err := s.file.Write(record); err != nil {
		return s.fail(err, "write", name)
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err, "sync", name)
	}
	newest.size += uint64(len(record))
	newest.recordEntries(b.Entries)
	if b.Reset != nil {
		s.lastIndex = b.Reset.Index
	}
	if len(b.Entries) > 0 {
		s.lastIndex = b.Entries[len(b.Entries)-1].Index
	}
	return nil
}

// Compact removes the log segments and snapshots that the stored snapshot at index replaces.
func (s *Store) Compact(index core.LogIndex) error {
	if err := s.checkFailed(); err != nil {
		return err
	}
	newest := s.segments[len(s.segments)-1]
	if err := s.beginSegment(newest.number + 1); err != nil {
		return err
	}
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := s.remove(segmentName(s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	if err := s.removeSnapshots(index); err != nil {
		return err
	}
	if err := s.folder.Sync(); err != nil {
		return s.fail(err, "sync", "folder")
	}
	return nil
}

func (s *Store) removeSnapshots(before core.LogIndex) error {
	names, err := s.folder.List()
	if err != nil {
		return s.fail(err, "list", "folder")
	}
	return s.removeAll(slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, temporarySuffix) || name >= snapshotName(before)
	}))
}

func (s *Store) removeAll(names []string) error {
	for _, name := range names {
		if err := s.remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) remove(name string) error {
	if err := s.folder.Remove(name); err != nil {
		return s.fail(err, "remove", name)
	}
	return nil
}
