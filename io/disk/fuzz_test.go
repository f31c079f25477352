package disk_test

import (
	"strings"
	"testing"

	"github.com/samber/lo"

	"parsleyport/core/raft"
	"parsleyport/io/disk"
	"parsleyport/io/disk/disktest"
)

func openFuzzed(folder disk.Folder) (*disk.Store, disk.Contents, error) {
	return disk.Open(folder, "c1", func() raft.Identity { return "x" })
}

// Guards against a damaged segment that makes Open panic, or that a second Open reads differently after the first one has cut
// the torn tail. The fuzzed bytes replace the newest segment.
func FuzzOpenSegment(f *testing.F) {
	prepared := func(t testing.TB) (*disktest.Memory, string, []byte) {
		folder := disktest.NewMemory()
		store, _, err := openFuzzed(folder)
		if err != nil {
			t.Fatal(err)
		}
		hard, entries := raft.InitialState([]raft.Member{{Peer: raft.Peer{ID: "c1", Identity: "x"}, Voter: true}})
		if err := store.Write(nil, &hard, entries); err != nil {
			t.Fatal(err)
		}
		names, _ := folder.List()
		name, _ := lo.Find(names, func(name string) bool { return strings.HasPrefix(name, "log-") })
		data, err := folder.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		return folder, name, data
	}
	_, _, valid := prepared(f)
	f.Add(valid)
	f.Add(valid[:len(valid)-3])
	f.Add(append(append([]byte{}, valid...), 0, 0, 0))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, segment []byte) {
		folder, name, _ := prepared(t)
		file, err := folder.Create(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := file.Write(segment); err != nil {
			t.Fatal(err)
		}
		_, first, err := openFuzzed(folder)
		if err != nil {
			return
		}
		_, second, err := openFuzzed(folder)
		if err != nil || len(second.Restored.Entries) != len(first.Restored.Entries) || second.Restored.HardState != first.Restored.HardState {
			t.Fatalf("the second open found %+v after %+v: %v", second.Restored, first.Restored, err)
		}
	})
}
