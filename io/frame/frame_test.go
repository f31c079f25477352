package frame_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/frame"
)

type textMessage struct {
	Text string `msgpack:"text"`
}

// Guards against a frame whose type or content changes in transit, with short messages and with long ones.
func TestSendAndReceive(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	sender, receiver := frame.New(near, nil), frame.New(far, nil)
	for _, size := range []int{0, 100, 200_000} {
		want := textMessage{
			Text: strings.Repeat("x", size),
		}
		sent := make(chan error, 1)
		go func() { sent <- sender.Send(time.Time{}, 7, want) }()
		got, err := receiver.Receive(time.Time{})
		c.Assert(err, qt.IsNil)
		c.Assert(<-sent, qt.IsNil)
		c.Assert(got.Type, qt.Equals, frame.Type(7))
		var message textMessage
		c.Assert(got.Decode(&message), qt.IsNil)
		c.Assert(message == want, qt.IsTrue)
	}
	c.Assert(sender.Close(), qt.IsNil)
	_, err := receiver.Receive(time.Time{})
	c.Assert(err, qt.Equals, io.EOF)
}

// Guards against memory exhaustion by a false length, and against a truncated frame that is accepted.
func TestReadRejectsMalformedFrames(t *testing.T) {
	c := qt.New(t)
	tooLong := binary.BigEndian.AppendUint32(nil, core.MaxFrameBytes+1)
	_, _, err := frame.Read(bytes.NewReader(tooLong))
	c.Assert(errors.Is(err, frame.ErrTooLong), qt.IsTrue)

	tooShort := binary.BigEndian.AppendUint32(nil, 1)
	_, _, err = frame.Read(bytes.NewReader(tooShort))
	c.Assert(errors.Is(err, frame.ErrMalformed), qt.IsTrue)

	for _, length := range []uint32{10, 1 << 20} {
		truncated := append(binary.BigEndian.AppendUint32(nil, length), 0, 1, 2)
		_, _, err = frame.Read(bytes.NewReader(truncated))
		c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 0, 0, 3, 0, 1, 0x80})
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		received, size, err := frame.Read(bytes.NewReader(input))
		if err != nil {
			return
		}
		if size > len(input) {
			t.Fatalf("frame of %d bytes read from %d bytes", size, len(input))
		}
		var message textMessage
		_ = received.Decode(&message) // must not panic
	})
}

// Guards against a message that ends the process because the msgpack library panics on it.
func TestDecodeTurnsPanicsIntoErrors(t *testing.T) {
	c := qt.New(t)
	body := []byte{0x81, 0xa2, 'a', 't', 0xc0} // {"at": nil}
	input := append(binary.BigEndian.AppendUint32(nil, uint32(2+len(body))), 0, 1)
	received, _, err := frame.Read(bytes.NewReader(append(input, body...)))
	c.Assert(err, qt.IsNil)
	var message struct {
		At time.Time `msgpack:"at"`
	}
	c.Assert(errors.Is(received.Decode(&message), frame.ErrMalformed), qt.IsTrue)
}
