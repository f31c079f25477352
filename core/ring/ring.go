package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue for any number of producers and consumers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds at most capacity items. Capacities below 1 count as 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		items: make(chan T, max(capacity, 1)),
	}
}

// TryPush appends an item. If the ring is full, it counts the item as dropped and returns false.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Push appends an item, waiting while the ring is full. It returns the context's error if the context ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item, waiting while the ring is empty. It returns the context's error if the context ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Items returns the channel behind the ring, for the select statement of a consumer.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Dropped returns the number of items that TryPush did not accept.
func (r *Ring[T]) Dropped() uint64 {
	return r.dropped.Load()
}
