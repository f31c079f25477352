package frame

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against frames that are interleaved, lost or sent after a truncated one, and against write buffers that are not returned,
// both with and without buffers left to borrow.
func TestConcurrentSenders(t *testing.T) {
	for _, taken := range []int32{0, maxBorrowedWriters} {
		c := qt.New(t)
		borrowedWriters.Store(taken)
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
		c.Assert(borrowedWriters.Swap(0), qt.Equals, taken)
	}
}
