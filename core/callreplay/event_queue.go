package callreplay

import (
	"container/heap"
	"time"
)

// schedule is a queue of actions ordered by time, then by the order in which they were added.
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

func (s *eventQueue) at(when time.Time, run func()) {
	s.added++
	heap.Push(&s.items, scheduledAction{
		at:    when,
		order: s.added,
		run:   run,
	})
}

func (s *eventQueue) after(wait time.Duration, run func()) {
	s.at(s.now.Add(wait), run)
}

func (s *eventQueue) runAll() {
	for len(s.items) > 0 {
		next := heap.Pop(&s.items).(scheduledAction)
		s.now = next.at
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
