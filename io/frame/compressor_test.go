package frame_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/io/frame"
)

type report struct {
	Node     string   `msgpack:"node"`
	Release  string   `msgpack:"release"`
	State    string   `msgpack:"state"`
	Sequence uint64   `msgpack:"sequence"`
	Routes   []string `msgpack:"routes"`
}

func newCompressor(c *qt.C, samples ...any) *frame.Compressor {
	compressor, err := frame.NewCompressor(samples...)
	c.Assert(err, qt.IsNil)
	return compressor
}

// exchange sends one message and returns the received frame and its size on the wire in bytes.
func exchange(c *qt.C, sender, receiver *frame.Conn, message any) (frame.Frame, uint64, error) {
	before, _ := sender.Bytes()
	sent := make(chan error, 1)
	go func() { sent <- sender.Send(time.Time{}, 7, message) }()
	got, err := receiver.Receive(time.Time{})
	c.Assert(<-sent, qt.IsNil)
	after, _ := sender.Bytes()
	return got, after - before, err
}

// Guards against compressed messages that change in transit, against compressed messages to a peer that cannot read them or has
// another dictionary, and against compression that saves nothing.
func TestCompressedMessages(t *testing.T) {
	c := qt.New(t)
	compressor := newCompressor(c, report{Node: "n1", Release: "v1", State: "ready"})
	near, far := net.Pipe()
	sender, receiver := frame.New(near, compressor), frame.NewBulk(far, newCompressor(c, report{Node: "n1", Release: "v1", State: "ready"}))
	messages := []report{
		{Node: "n2", Release: "v2", State: "leaving", Sequence: 81},
		{Node: "n3", Routes: lo.Times(20_000, func(i int) string { return fmt.Sprintf("/orders/%d/", i) })},
		{},
	}
	var plain, compressed []uint64
	for round := range 2 {
		for _, want := range messages {
			got, size, err := exchange(c, sender, receiver, want)
			c.Assert(err, qt.IsNil)
			c.Assert(got.Type, qt.Equals, frame.Type(7))
			var message report
			c.Assert(got.Decode(&message), qt.IsNil)
			c.Assert(message, qt.DeepEquals, want)
			if round == 0 {
				plain = append(plain, size)
			} else {
				compressed = append(compressed, size)
			}
		}
		sender.SetPeerCompressor(newCompressor(c, "another dictionary").ID())
		_, size, err := exchange(c, sender, receiver, messages[0])
		c.Assert(err, qt.IsNil)
		c.Assert(size, qt.Equals, plain[0])
		sender.SetPeerCompressor(compressor.ID())
	}
	c.Assert(compressed[0]*10 <= plain[0]*7, qt.IsTrue, qt.Commentf("%d of %d bytes", compressed[0], plain[0]))
	c.Assert(compressed[1]*4 <= plain[1], qt.IsTrue, qt.Commentf("%d of %d bytes", compressed[1], plain[1]))

	// A message whose compression ratio exceeds the receiver's limit is sent uncompressed.
	_, size, err := exchange(c, sender, receiver, strings.Repeat("x", 1<<20))
	c.Assert(err, qt.IsNil)
	c.Assert(size > 1<<20, qt.IsTrue)

	incompressible := make([]byte, 4000)
	for i := range incompressible {
		incompressible[i] = byte(i * i >> 3 * 37)
	}
	got, _, err := exchange(c, sender, receiver, incompressible)
	c.Assert(err, qt.IsNil)
	var bytes []byte
	c.Assert(got.Decode(&bytes), qt.IsNil)
	c.Assert(bytes, qt.DeepEquals, incompressible)
}

// Guards against a compressed message that is decoded wrongly, and against a short frame that makes the receiver allocate much memory.
func TestMalformedCompressedMessagesAreRejected(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	sender, receiver := frame.New(near, newCompressor(c, report{})), frame.New(far, nil)
	sender.SetPeerCompressor(newCompressor(c, report{}).ID())
	_, _, err := exchange(c, sender, receiver, report{Node: strings.Repeat("n", 200)})
	c.Assert(errors.Is(err, frame.ErrMalformed), qt.IsTrue, qt.Commentf("%v", err))

	encoder, err := zstd.NewWriter(nil, zstd.WithSingleSegment(true))
	c.Assert(err, qt.IsNil)
	for name, body := range map[string][]byte{
		"8 MiB of zeros":       encoder.EncodeAll(make([]byte, 8<<20), nil),
		"empty":                {},
		"not compressed":       []byte("no packed message at all"),
		"16 MiB in 15 bytes":   append([]byte{0x28, 0xb5, 0x2f, 0xfd, 0xa0}, 0, 0, 0, 1, 3, 0, 0, 0, 0, 0),
		"length over a frame":  append([]byte{0x28, 0xb5, 0x2f, 0xfd, 0xe0}, 0, 0, 0, 0, 0, 0, 0, 16),
		"no stated length":     append([]byte{0x28, 0xb5, 0x2f, 0xfd, 0x00, 0x58}, 1, 0, 0),
		"another dictionary":   append([]byte{0x28, 0xb5, 0x2f, 0xfd, 0x21, 9, 4}, 0x21, 0, 0, 1, 2, 3, 4),
		"stated length is off": append([]byte{0x28, 0xb5, 0x2f, 0xfd, 0x20, 9}, 0x21, 0, 0, 1, 2, 3, 4),
	} {
		near, far := net.Pipe()
		framed := binary.BigEndian.AppendUint32(nil, uint32(len(body)+2))
		framed = binary.BigEndian.AppendUint16(framed, 1<<15|7)
		go func() { _, _ = near.Write(append(framed, body...)) }()
		_, err := frame.New(far, newCompressor(c, report{})).Receive(time.Now().Add(5 * time.Second))
		c.Assert(errors.Is(err, frame.ErrMalformed), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

// FuzzPackedFrames guards against input that ends the process or expands to more than a frame may hold.
func FuzzPackedFrames(f *testing.F) {
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd, 0x20, 4, 0x21, 0, 0, 1, 2, 3, 4})
	c := qt.New(f)
	compressor := newCompressor(c, report{})
	f.Fuzz(func(t *testing.T, body []byte) {
		near, far := net.Pipe()
		defer near.Close()
		framed := binary.BigEndian.AppendUint32(nil, uint32(len(body)+2))
		framed = binary.BigEndian.AppendUint16(framed, 1<<15|7)
		go func() { _, _ = near.Write(append(framed, body...)) }()
		got, err := frame.New(far, compressor).Receive(time.Time{})
		if err == nil && got.Len() > core.MaxFrameBytes {
			t.Fatalf("%d bytes", got.Len())
		}
	})
}

// BenchmarkPackedExchange measures what compression adds to the duration of a call between data centres.
func BenchmarkPackedExchange(b *testing.B) {
	c := qt.New(b)
	for name, peer := range map[string]bool{"plain": false, "packed": true} {
		b.Run(name, func(b *testing.B) {
			compressor := newCompressor(c, report{Node: "n1", Release: "v1", State: "ready"})
			near, far := net.Pipe()
			sender, receiver := frame.New(near, compressor), frame.New(far, compressor)
			if peer {
				sender.SetPeerCompressor(compressor.ID())
			}
			message := report{Node: "n2", Release: "v2", State: "leaving", Routes: []string{string(bytes.Repeat([]byte("/orders/"), 40))}}
			b.ReportAllocs()
			for b.Loop() {
				go func() { _ = sender.Send(time.Time{}, 7, message) }()
				if _, err := receiver.Receive(time.Time{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
