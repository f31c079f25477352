package raftpeer

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/raft"
	"parsleyport/io/frame"
)

// Guards against messages between control instances that are not compressed, and against compressed messages to an instance of
// another program version, whose pongs name no compressor or a different one.
func TestMessagesAreCompressedOnceThePeerCanReadThem(t *testing.T) {
	c := qt.New(t)
	compressor, err := newCompressor()
	c.Assert(err, qt.IsNil)
	heartbeat := &raft.Message{
		Kind:  raft.KindAppend,
		From:  raft.Peer{ID: "10.1.0.7", Identity: "f0a1b2c3d4e5f607"},
		To:    raft.Peer{ID: "10.2.0.7", Identity: "0102030405060708"},
		Term:  3,
		Index: 81,
	}
	plainBytes := uint64(0)
	for _, test := range []struct {
		reads      frame.CompressorID
		compressed bool
	}{
		{reads: 0},
		{reads: compressor.ID() + 2},
		{reads: compressor.ID(), compressed: true},
	} {
		near, far := net.Pipe()
		sender, receiver := frame.NewBulk(near, compressor), frame.NewBulk(far, compressor)
		failed := make(chan error, 1)
		go func() { failed <- receiver.Send(time.Time{}, typePong, pingMessage{CompressorID: test.reads}) }()
		c.Assert(receivePong(sender), qt.IsNil)
		c.Assert(<-failed, qt.IsNil)
		go func() { failed <- sender.Send(time.Time{}, frame.Type(heartbeat.Kind), heartbeat) }()
		received, err := receiver.Receive(time.Now().Add(time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(<-failed, qt.IsNil)
		var message raft.Message
		c.Assert(received.Decode(&message), qt.IsNil)
		c.Assert(message, qt.DeepEquals, *heartbeat)
		sent, _ := sender.Bytes()
		if plainBytes == 0 {
			plainBytes = sent
		}
		c.Assert(sent < plainBytes, qt.Equals, test.compressed, qt.Commentf("%d bytes, %d plain", sent, plainBytes))
	}
}

// Guards against an instance that can read compressed messages but does not say so, so that it only receives uncompressed ones.
func TestPongNamesTheCompressor(t *testing.T) {
	c := qt.New(t)
	compressor, err := newCompressor()
	c.Assert(err, qt.IsNil)
	near, far := net.Pipe()
	sender, receiver := frame.NewBulk(near, compressor), frame.NewBulk(far, compressor)
	failed := make(chan error, 2)
	go func() { failed <- sender.Send(time.Time{}, typePing, pingMessage{}) }()
	ping, err := receiver.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	go func() { failed <- (&Replica{compressor: compressor}).receive(receiver, ping) }()
	received, err := sender.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	var pong pingMessage
	c.Assert(received.Decode(&pong), qt.IsNil)
	c.Assert(pong.CompressorID, qt.Equals, compressor.ID())
	c.Assert(<-failed, qt.IsNil)
	c.Assert(<-failed, qt.IsNil)
}
