package raftpeer

import (
	"parsleyport/core/raft"
	"parsleyport/io/frame"
)

// newCompressor returns the compressor for messages between control instances.
func newCompressor() (*frame.Compressor, error) {
	return frame.NewCompressor(
		raft.Hello{},
		topicMessage{},
		raft.Message{Kind: raft.KindAppend, Entries: []raft.Entry{{}}},
		raft.Message{Kind: raft.KindAppendAnswer},
	)
}

// pingMessage carries the ID of the compressor whose messages the sender of the ping or pong can read.
type pingMessage struct {
	CompressorID frame.CompressorID `msgpack:"packing,omitempty"`
}
