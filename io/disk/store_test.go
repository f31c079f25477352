package disk_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk"
	"parsleyport/io/disk/disktest"
)

var crashSeeds = flag.Uint64("crash-seeds", 200, "number of seeds of TestCrashKeepsWhatWasSynced")

const firstSegment = "log-00000000000000000001"

func open(folder disk.Folder) (*disk.Store, disk.Contents, error) {
	return disk.Open(folder, "c1", func() raft.Identity { return "identity" })
}

func mustOpen(c *qt.C, folder disk.Folder) (*disk.Store, disk.Contents) {
	store, found, err := open(folder)
	c.Assert(err, qt.IsNil)
	return store, found
}

func entry(index core.LogIndex, term core.Term) raft.Entry {
	return raft.Entry{
		Index:   index,
		Term:    term,
		Kind:    raft.EntryCommand,
		Command: fmt.Appendf(nil, "command %d of term %d", index, term),
	}
}

// folderWithRecords returns a folder with three records of one entry each, and the size of the log before each record and at the end.
func folderWithRecords(c *qt.C) (*disktest.Memory, []int) {
	folder := disktest.NewMemory()
	store, found := mustOpen(c, folder)
	c.Assert(found.Created, qt.IsTrue)
	c.Assert(found.HasState, qt.IsFalse)
	var sizes []int
	for index := range core.LogIndex(3) {
		sizes = append(sizes, folder.Size(firstSegment))
		hard := raft.HardState{
			Term: core.Term(index + 1),
		}
		c.Assert(store.Write(nil, &hard, []raft.Entry{entry(index+1, 1)}), qt.IsNil)
	}
	return folder, append(sizes, folder.Size(firstSegment))
}

// Guards against an Open that fails, or that keeps damaged data, after the write of the last record was interrupted.
func TestTornWriteIsTruncated(t *testing.T) {
	c := qt.New(t)
	_, sizes := folderWithRecords(c)
	for size := sizes[2]; size < sizes[3]; size++ {
		folder, _ := folderWithRecords(c)
		c.Assert(folder.Truncate(firstSegment, int64(size)), qt.IsNil)
		store, found := mustOpen(c, folder)
		c.Assert(found.Restored.Entries, qt.DeepEquals, []raft.Entry{entry(1, 1), entry(2, 1)})
		c.Assert(found.Restored.HardState.Term, qt.Equals, core.Term(2))
		c.Assert(folder.Size(firstSegment), qt.Equals, sizes[2])
		c.Assert(store.Write(nil, nil, []raft.Entry{entry(3, 2)}), qt.IsNil)
		_, found = mustOpen(c, folder)
		c.Assert(found.Restored.Entries[2], qt.DeepEquals, entry(3, 2))
	}
	for offset := sizes[2]; offset < sizes[3]; offset++ {
		folder, _ := folderWithRecords(c)
		folder.Corrupt(firstSegment, offset)
		_, found := mustOpen(c, folder)
		c.Assert(found.Restored.Entries, qt.HasLen, 2)
	}
}

// Guards against silently dropping synced entries because an earlier record is damaged.
func TestOpenRefusesDamageBeforeValidRecords(t *testing.T) {
	c := qt.New(t)
	_, sizes := folderWithRecords(c)
	for offset := range sizes[2] {
		folder, _ := folderWithRecords(c)
		folder.Corrupt(firstSegment, offset)
		_, _, err := open(folder)
		c.Assert(errors.Is(err, disk.ErrCorrupt), qt.IsTrue, qt.Commentf("offset %d", offset))
		c.Assert(err, qt.ErrorMatches, `record in "log-.*" at byte \d+ is bad and a valid record follows at byte \d+: .*`)
	}
}

// Guards against an Open that succeeds with missing or damaged files, which would lose a vote or entries.
func TestOpenRefusesDamagedFiles(t *testing.T) {
	c := qt.New(t)
	for name, damage := range map[string]func(folder *disktest.Memory){
		"identity lost":      func(folder *disktest.Memory) { _ = folder.Remove("identity") },
		"identity damaged":   func(folder *disktest.Memory) { folder.Corrupt("identity", 20) },
		"snapshot damaged":   func(folder *disktest.Memory) { folder.Corrupt("snapshot-00000000000000000003", 20) },
		"snapshot lost":      func(folder *disktest.Memory) { _ = folder.Remove("snapshot-00000000000000000003") },
		"log lost":           func(folder *disktest.Memory) { _ = folder.Remove("log-00000000000000000002") },
		"older segment torn": func(folder *disktest.Memory) { _ = folder.Truncate("log-00000000000000000002", 90) },
	} {
		folder, _ := folderWithRecords(c)
		store, _ := mustOpen(c, folder)
		c.Assert(store.SaveSnapshot(raft.Snapshot{Index: 3, Term: 1}), qt.IsNil)
		c.Assert(store.Compact(3), qt.IsNil)
		c.Assert(store.Write(nil, nil, []raft.Entry{entry(4, 1)}), qt.IsNil)
		c.Assert(store.Compact(0), qt.IsNil) // begins a new segment and removes nothing
		damage(folder)
		_, _, err := open(folder)
		c.Assert(errors.Is(err, disk.ErrCorrupt), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
	folder, _ := folderWithRecords(c)
	_, _, err := disk.Open(folder, "c2", nil)
	c.Assert(err, qt.ErrorMatches, `data folder belongs to "c1" and not to "c2"`)
}

// Guards against a store that continues after a failed write or sync, whose effect on the disk is unknown.
func TestStoreRefusesCallsAfterFailure(t *testing.T) {
	c := qt.New(t)
	for name, fault := range map[string][2]func(folder *disktest.Memory){
		"full disk":   {func(f *disktest.Memory) { f.SetCapacity(1) }, func(f *disktest.Memory) { f.SetCapacity(0) }},
		"failed sync": {func(f *disktest.Memory) { f.FailSyncs(true) }, func(f *disktest.Memory) { f.FailSyncs(false) }},
	} {
		folder, _ := folderWithRecords(c)
		store, _ := mustOpen(c, folder)
		fault[0](folder)
		err := store.Write(nil, nil, []raft.Entry{entry(4, 1)})
		c.Assert(errors.Is(err, disk.ErrFailed), qt.IsTrue, qt.Commentf(name))
		fault[1](folder)
		syncs := folder.Syncs()
		for _, again := range []error{
			store.Write(nil, nil, []raft.Entry{entry(4, 1)}),
			store.SaveSnapshot(raft.Snapshot{Index: 2, Term: 1}),
			store.Compact(2),
		} {
			c.Assert(errors.Is(again, disk.ErrFailed), qt.IsTrue, qt.Commentf(name))
		}
		c.Assert(folder.Syncs(), qt.Equals, syncs)
	}
}

// Guards against losing data that a call has reported as synced, after a crash between two operations or during one. After a
// crash the folder must hold the state before or after the operation that failed, and nothing else.
func TestCrashKeepsWhatWasSynced(t *testing.T) {
	for seed := range *crashSeeds {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 2))
		folder := disktest.NewMemory()
		store, _ := mustOpen(c, folder)
		var before model
		for range 60 {
			fail := random.IntN(8) == 0
			folder.FailSyncs(fail)
			after, err := before.applyRandomOperation(store, random)
			c.Assert(err != nil, qt.Equals, fail)
			if !fail {
				before = after
			}
			if !fail && random.IntN(8) > 0 {
				continue
			}
			folder.Crash(random)
			folder.FailSyncs(false)
			var found disk.Contents
			store, found = mustOpen(c, folder)
			if after.equals(found.Restored) {
				before = after
			}
			c.Assert(before.equals(found.Restored), qt.IsTrue, qt.Commentf("seed %d: want %v, got %v", seed, before, found.Restored))
		}
	}
}

// model is the expected content of a folder.
type model struct {
	snapshot core.LogIndex
	entries  []raft.Entry // after snapshot
}

func (m model) equals(found raft.Restored) bool {
	return found.Snapshot.Index == m.snapshot && slices.EqualFunc(m.entries, found.Entries, func(a, b raft.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && string(a.Command) == string(b.Command)
	})
}

// applyRandomOperation performs one random operation and returns the model after it.
func (m model) applyRandomOperation(store *disk.Store, random *rand.Rand) (model, error) {
	if random.IntN(8) == 0 && len(m.entries) > 0 {
		count := 1 + random.IntN(len(m.entries))
		after := model{
			snapshot: m.entries[count-1].Index,
			entries:  m.entries[count:],
		}
		if err := store.SaveSnapshot(raft.Snapshot{Index: after.snapshot, Term: m.entries[count-1].Term}); err != nil {
			return after, err
		}
		if random.IntN(2) == 0 {
			return after, nil // a crash may occur before the log is compacted
		}
		return after, store.Compact(after.snapshot)
	}
	kept := random.IntN(len(m.entries) + 1)
	first := m.snapshot + core.LogIndex(kept) + 1
	added := []raft.Entry{entry(first, core.Term(random.IntN(9)+1)), entry(first+1, 9)}
	return model{
		snapshot: m.snapshot,
		entries:  append(m.entries[:kept:kept], added...),
	}, store.Write(nil, nil, added)
}

// BenchmarkOpen measures opening a folder by the number of entries of 1,000 bytes after the snapshot.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []core.LogIndex{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			c := qt.New(b)
			path := b.TempDir()
			folder, err := disk.OpenFolder(path)
			c.Assert(err, qt.IsNil)
			store, _ := mustOpen(c, folder)
			for index := core.LogIndex(1); index <= count; index += 10 {
				entries := make([]raft.Entry, 10)
				for i := range entries {
					entries[i] = entry(index+core.LogIndex(i), 1)
					entries[i].Command = make([]byte, 1000)
				}
				c.Assert(store.Write(nil, nil, entries), qt.IsNil)
			}
			c.Assert(store.Close(), qt.IsNil)
			for b.Loop() {
				folder, err := disk.OpenFolder(path)
				c.Assert(err, qt.IsNil)
				store, found := mustOpen(c, folder)
				c.Assert(len(found.Restored.Entries), qt.Equals, int(count))
				c.Assert(store.Close(), qt.IsNil)
			}
		})
	}
}
