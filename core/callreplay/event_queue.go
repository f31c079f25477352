package callreplay

import (
	"container/heap"
	"time"
)

// eventQueue runs actions in the order of their times, and those of the same time in the order in which they were added.
type eventQueue struct {
	now   time.Time
	items actionHeap
	added uint64
}

type scheduledAction struct {
	at    time.Time
	order uint64
	run   func()
}

func (q *eventQueue) at(when time.Time, run func()) {
	q.added++
	heap.Push(&q.items, scheduledAction{
		at:    when,
		order: q.added,
		run:   run,
	})
}

func (q *eventQueue) after(wait time.Duration, run func()) {
	q.at(q.now.Add(wait), run)
}

func (q *eventQueue) runAll() {
	for len(q.items) > 0 {
		next := heap.Pop(&q.items).(scheduledAction)
		q.now = next.at
		next.run()
	}
}

type actionHeap []scheduledAction

func (h actionHeap) Len() int { return len(h) }

func (h actionHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *actionHeap) Push(item any) { *h = append(*h, item.(scheduledAction)) }

func (h *actionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
