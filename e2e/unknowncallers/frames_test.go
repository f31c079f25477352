package unknowncallers

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// exchange sends one message on a new connection and reports whether a message of an expected type is the answer.
func exchange(address string, kind frame.Type, message any, expected ...frame.Type) bool {
	connection, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return false
	}
	defer connection.Close()
	frames := frame.New(connection, nil)
	deadline := time.Now().Add(answerTimeout)
	if err := frames.Send(deadline, kind, message); err != nil {
		return false
	}
	received, err := frames.Receive(deadline)
	if err != nil {
		return false
	}
	for _, each := range expected {
		if received.Type == each {
			return true
		}
	}
	return false
}

// Message types of the protocols between processes, which are not exported by their packages.
const (
	peerHello, peerWelcome = 1, 2                             // io/nodepeer
	linkHello, linkAccept  = 1, 2                             // io/distribution
	raftPing, raftPong     = frame.Type(101), frame.Type(102) // io/raftpeer
)

func peerPort() target {
	at := address(node, portPeer)
	return target{process: node, address: at, start: startProduct, request: func() bool {
		return exchange(at, peerHello, map[string]any{"connection": rand.Uint64() | 1}, peerWelcome)
	}}
}

// linkPort is a port for nodes that attach, of a control instance or of a node that relays.
func linkPort(process string, port int) target {
	at := address(process, port)
	return target{process: process, address: at, start: startProduct, request: func() bool {
		return exchange(at, linkHello, map[string]any{"kind": "node", "id": "probe", "incarnation": rand.Uint64() >> 1, "data-centre": "dc-a", "schema-version": 1}, linkAccept)
	}}
}

func raftPort() target {
	at := address(control, portRaft)
	return target{process: control, address: at, start: startProduct, request: func() bool { return exchange(at, raftPing, map[string]any{}, raftPong) }}
}

// frameHead returns the length and type of a frame with a message of the given size.
func frameHead(kind uint16, size int) []byte {
	head := binary.BigEndian.AppendUint32(nil, uint32(size+2))
	return binary.BigEndian.AppendUint16(head, kind)
}

// frameCrowds send frames that a process must not keep in memory. The first frame of each connection has the type of a hello.
func frameCrowds(kind uint16) []crowd {
	filled := func(size, sent int) func(*rand.Rand, io.Writer) error {
		return func(_ *rand.Rand, w io.Writer) error {
			if _, err := w.Write(frameHead(kind, size)); err != nil {
				return err
			}
			// A byte string that fills the message, so that it is only wrong at its end.
			if _, err := w.Write(binary.BigEndian.AppendUint32([]byte{0xc6}, uint32(size-5))); err != nil {
				return err
			}
			return repeat(w, "x", sent)
		}
	}
	return []crowd{
		{name: "a great length and nothing else", size: crowdSize, script: filled(core.MaxFrameBytes-2, 1)},
		{name: "a length beyond the limit", size: crowdSize, script: func(_ *rand.Rand, w io.Writer) error {
			_, err := w.Write([]byte{0xff, 0xff, 0xff, 0xff, 0, 1})
			return err
		}},
		{name: "long frames, held", size: crowdSize, script: filled(core.MaxFrameBytes-2, endlessBytes)},
		{name: "long frames of an unknown type", size: crowdSize, script: func(_ *rand.Rand, w io.Writer) error {
			if _, err := w.Write(frameHead(0x7fff, core.MaxFrameBytes-2)); err != nil {
				return err
			}
			return repeat(w, "x", endlessBytes)
		}},
		{name: "false lengths in messages", size: crowdSize, script: func(r *rand.Rand, w io.Writer) error {
			message := []byte{0x81, 0xa8, 's', 'e', 'r', 'v', 'i', 'c', 'e', 's', byte(0xdc + 2*r.IntN(2) + 1), 0xff, 0xff, 0xff, 0xff}
			if _, err := w.Write(frameHead(kind, len(message))); err != nil {
				return err
			}
			_, err := w.Write(message)
			return err
		}},
		{name: "random frames", size: crowdSize, script: func(r *rand.Rand, w io.Writer) error {
			for range 8 {
				message := make([]byte, r.IntN(200))
				for i := range message {
					message[i] = byte(r.Uint32())
				}
				if _, err := w.Write(append(frameHead(uint16(r.IntN(130)), len(message)), message...)); err != nil {
					return nil // the server has closed the connection, as it may
				}
			}
			return nil
		}},
		{name: "one byte at a time", size: crowdSize, script: func(r *rand.Rand, w io.Writer) error {
			return filled(core.MaxFrameBytes-2, 1<<10)(r, byByte{w})
		}},
		{name: "HTTP", size: crowdSize, halfClose: true, script: func(r *rand.Rand, w io.Writer) error { return beginHead(r, w, "/") }},
		{name: "silent connections", size: connectionCrowdSize, script: func(*rand.Rand, io.Writer) error { return nil }},
	}
}

// The following tests guard against connections that are none of the system's own processes and use up memory or file descriptors, or
// end the process.

func TestPeerFrames(t *testing.T) { attack(t, peerPort(), frameCrowds(peerHello)) }

func TestRelayFrames(t *testing.T) { attack(t, linkPort(node, portRelay), frameCrowds(linkHello)) }

func TestControlNodeFrames(t *testing.T) {
	attack(t, linkPort(control, portControlNode), frameCrowds(linkHello))
}
func TestRaftFrames(t *testing.T) { attack(t, raftPort(), frameCrowds(uint16(raftPing))) }
