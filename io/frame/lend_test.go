package frame

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against frames that are mixed, lost or sent after a cut one, and against a buffer that is never given back, with
// and without buffers to borrow.
func TestManySenders(t *testing.T) {
	for _, taken := range []int32{0, maxLent} {
		c := qt.New(t)
		lent.Store(taken)
		near, far := net.Pipe()
		sender, receiver := New(near, nil), New(far, nil)
		var senders sync.WaitGroup
		for i := range 200 {
			senders.Go(func() { c.Check(sender.Send(time.Time{}, 1, make([]byte, 100*i)), qt.IsNil) })
		}
		lengths := make(map[int]bool)
		for range 200 {
			received, err := receiver.Receive(time.Time{})
			c.Assert(err, qt.IsNil)
			var body []byte
			c.Assert(received.Decode(&body), qt.IsNil)
			lengths[len(body)] = true
		}
		senders.Wait()
		c.Assert(lengths, qt.HasLen, 200)
		c.Assert(sender.Send(time.Now(), 1, "times out"), qt.IsNotNil)
		c.Assert(sender.Send(time.Time{}, 1, "after it"), qt.IsNotNil)
		c.Assert(lent.Swap(0), qt.Equals, taken)
	}
}
