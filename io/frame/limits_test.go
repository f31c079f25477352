package frame_test

import (
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/io/frame"
)

// Guards against a first frame that makes the receiver keep more than its limit, also after decompression.
func TestMaxReceived(t *testing.T) {
	c := qt.New(t)
	compressor := newCompressor(c, report{})
	for name, compressed := range map[string]bool{"plain": false, "compressed": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			near, far := net.Pipe()
			defer near.Close()
			sender, receiver := frame.New(near, compressor), frame.New(far, compressor)
			if compressed {
				sender.SetPeerCompressor(compressor.ID())
			}
			go func() {
				_ = sender.Send(time.Time{}, 1, strings.Repeat("ab", 100))
				_ = sender.Send(time.Time{}, 1, strings.Repeat("ab", 600))
			}()
			receiver.SetMaxReceived(1000)
			_, err := receiver.Receive(time.Time{})
			c.Assert(err, qt.IsNil)
			_, err = receiver.Receive(time.Time{})
			c.Assert(errors.Is(err, frame.ErrTooLong), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against silent connections that are not closed, and against connections that are closed after they have introduced themselves.
func TestUnintroduced(t *testing.T) {
	c := qt.New(t)
	bound := frame.NewUnintroduced(2)
	var ours []*frame.Conn
	var theirs []net.Conn
	for range 5 {
		near, far := net.Pipe()
		defer far.Close()
		ours, theirs = append(ours, frame.New(near, nil)), append(theirs, far)
		bound.Add(ours[len(ours)-1])
		if len(ours) == 1 {
			bound.Remove(ours[0])
			bound.Remove(ours[0])
		}
	}
	for i, open := range []bool{true, false, false, true, true} {
		_ = theirs[i].SetReadDeadline(time.Now()) // fails if the other end is closed
		_, err := theirs[i].Read(make([]byte, 1))
		var timeout net.Error
		c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.Equals, open, qt.Commentf("connection %d: %v", i, err))
	}
}
