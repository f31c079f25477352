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

func newPacking(c *qt.C, samples ...any) *frame.Packing {
	packing, err := frame.NewPacking(samples...)
	c.Assert(err, qt.IsNil)
	return packing
}

// exchange sends one message and returns what arrives, with the bytes on the wire.
func exchange(c *qt.C, sender, receiver *frame.Conn, message any) (frame.Frame, uint64, error) {
	before, _ := sender.Bytes()
	sent := make(chan error, 1)
	go func() { sent <- sender.Send(time.Time{}, 7, message) }()
	got, err := receiver.Receive(time.Time{})
	c.Assert(<-sent, qt.IsNil)
	after, _ := sender.Bytes()
	return got, after - before, err
}

// Guards against packed messages that arrive changed, against ones that are sent to a peer which has not said that it reads
// them or has another dictionary, and against packing that saves nothing.
func TestPackedMessages(t *testing.T) {
	c := qt.New(t)
	packing := newPacking(c, report{Node: "n1", Release: "v1", State: "ready"})
	near, far := net.Pipe()
	sender, receiver := frame.New(near, packing), frame.NewBulk(far, newPacking(c, report{Node: "n1", Release: "v1", State: "ready"}))
	messages := []report{
		{Node: "n2", Release: "v2", State: "leaving", Sequence: 81},
		{Node: "n3", Routes: lo.Times(20_000, func(i int) string { return fmt.Sprintf("/orders/%d/", i) })},
		{},
	}
	var plain, packed []uint64
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
				packed = append(packed, size)
			}
		}
		sender.Pack(newPacking(c, "another dictionary").ID())
		_, size, err := exchange(c, sender, receiver, messages[0])
		c.Assert(err, qt.IsNil)
		c.Assert(size, qt.Equals, plain[0])
		sender.Pack(packing.ID())
	}
	c.Assert(packed[0]*10 <= plain[0]*7, qt.IsTrue, qt.Commentf("%d of %d bytes", packed[0], plain[0]))
	c.Assert(packed[1]*4 <= plain[1], qt.IsTrue, qt.Commentf("%d of %d bytes", packed[1], plain[1]))

	// One that packs so well that the receiver would take it for an attack is sent as it is.
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

// Guards against a packed message that is taken for another one, and against a short frame that asks for much memory.
func TestBrokenPackedMessagesAreRefused(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	sender, receiver := frame.New(near, newPacking(c, report{})), frame.New(far, nil)
	sender.Pack(newPacking(c, report{}).ID())
	_, _, err := exchange(c, sender, receiver, report{Node: strings.Repeat("n", 200)})
	c.Assert(errors.Is(err, frame.ErrMalformed), qt.IsTrue, qt.Commentf("%v", err))

	encoder, err := zstd.NewWriter(nil, zstd.WithSingleSegment(true))
	c.Assert(err, qt.IsNil)
	for name, body := range map[string][]byte{
		"8 MiB of zeros":       encoder.EncodeAll(make([]byte, 8<<20), nil),
		"empty":                {},
		"no packed message":    []byte("no packed message at all"),
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
		_, err := frame.New(far, newPacking(c, report{})).Receive(time.Now().Add(5 * time.Second))
		c.Assert(errors.Is(err, frame.ErrMalformed), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

// FuzzPackedFrames guards against bytes that end the process or need more memory than a frame may have.
func FuzzPackedFrames(f *testing.F) {
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd, 0x20, 4, 0x21, 0, 0, 1, 2, 3, 4})
	c := qt.New(f)
	packing := newPacking(c, report{})
	f.Fuzz(func(t *testing.T, body []byte) {
		near, far := net.Pipe()
		defer near.Close()
		framed := binary.BigEndian.AppendUint32(nil, uint32(len(body)+2))
		framed = binary.BigEndian.AppendUint16(framed, 1<<15|7)
		go func() { _, _ = near.Write(append(framed, body...)) }()
		got, err := frame.New(far, packing).Receive(time.Time{})
		if err == nil && got.Len() > core.MaxFrameBytes {
			t.Fatalf("%d bytes", got.Len())
		}
	})
}

// The speed decides what packing adds to a call between data centres.
func BenchmarkPackedExchange(b *testing.B) {
	c := qt.New(b)
	for name, peer := range map[string]bool{"plain": false, "packed": true} {
		b.Run(name, func(b *testing.B) {
			packing := newPacking(c, report{Node: "n1", Release: "v1", State: "ready"})
			near, far := net.Pipe()
			sender, receiver := frame.New(near, packing), frame.New(far, packing)
			if peer {
				sender.Pack(packing.ID())
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
