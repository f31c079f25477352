package disk

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core/packed"
	"parsleyport/core/raft"
)

// Guards against record content that makes the decoder panic: the checksum detects only damage done by the disk.
func FuzzDecodeBatch(f *testing.F) {
	hard, entries := raft.InitialState([]raft.Member{{Peer: raft.Peer{ID: "c1", Identity: "x"}, Voter: true}})
	payload, err := msgpack.Marshal(batch{HardState: &hard, Entries: entries})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Add([]byte{0x80})
	f.Add([]byte("\x94\xf8\x80\xc0\xdd\xcd\xcd\xcd\xcd\xc0\xc0\xf80")) // an array header for 3.4 billion entries
	f.Fuzz(func(t *testing.T, payload []byte) {
		var b batch
		if packed.Decode(payload, &b) == nil {
			_ = (&replay{}).apply(b)
		}
	})
}
