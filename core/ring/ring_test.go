package ring_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/ring"
)

// Guards against a queue that grows without bound or loses order when a consumer is slow.
func TestRingIsBoundedAndOrdered(t *testing.T) {
	c := qt.New(t)
	queue := ring.New[int](2)
	c.Assert(queue.TryPush(1), qt.IsTrue)
	c.Assert(queue.TryPush(2), qt.IsTrue)
	c.Assert(queue.TryPush(3), qt.IsFalse)
	c.Assert(queue.Dropped(), qt.Equals, uint64(1))
	c.Assert(queue.Len(), qt.Equals, 2)

	for _, want := range []int{1, 2} {
		got, err := queue.Pop(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, want)
	}
}

// Guards against a goroutine that keeps waiting on a ring after its context has ended.
func TestRingWaitsEndWithTheContext(t *testing.T) {
	c := qt.New(t)
	queue := ring.New[int](1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := queue.Pop(ctx)
	c.Assert(err, qt.Equals, context.Canceled)
	c.Assert(queue.TryPush(1), qt.IsTrue)
	c.Assert(queue.Push(ctx, 2), qt.Equals, context.Canceled)
}
