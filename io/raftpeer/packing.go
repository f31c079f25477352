package raftpeer

import (
	"parsleyport/core/raft"
	"parsleyport/io/frame"
)

// newPacking returns the packing of messages between control instances.
func newPacking() (*frame.Compressor, error) {
	return frame.NewCompressor(
		raft.Hello{},
		topicMessage{},
		raft.Message{Kind: raft.KindAppend, Entries: []raft.Entry{{}}},
		raft.Message{Kind: raft.KindAppendAnswer},
	)
}

// pingMessage carries the ID of the packing that the sender of the ping or pong can read.
type pingMessage struct {
	Packing frame.CompressorID `msgpack:"packing,omitempty"`
}
