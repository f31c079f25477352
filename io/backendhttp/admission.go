package backendhttp

import (
	"context"
	"sync"
	"time"

	"parsleyport/core"
)

// Admission decides when a call may run at the backend server.
type Admission interface {
	// Acquire waits until the call may run, or returns a *core.Refusal; a call whose context ends while it waits is
	// removed and refused. The returned function must be called once, when the call has ended.
	Acquire(ctx context.Context, call *core.Call) (release func(Ending), refusal *core.Refusal)
	// SetSlots states how many calls the backend server runs at the same time.
	SetSlots(slots int)
	// Load describes the calls that run and wait, and how long those of a route usually take.
	Load(route core.RouteName) core.Load
}

// Ending says how a call at the backend server ended.
type Ending int

// The endings of a call.
const (
	// EndingServed means that its duration is that of a complete run.
	EndingServed Ending = iota
	// EndingFailed means that its duration says nothing about the backend server's load.
	EndingFailed
	// EndingOverloaded means that the backend server answered that it has too much to do.
	EndingOverloaded
)

const (
	maxWaiting    = 1024
	durationShare = 8 // weight of one call in the average of durations is 1/8
)

// queue is an Admission that runs a fixed number of calls and keeps the others in order of arrival.
type queue struct {
	mu       sync.Mutex
	slots    int
	running  int
	waiting  []*waiter
	duration time.Duration // average time that a call holds its slot
}

type waiter struct {
	ready   chan struct{}
	granted bool
}

// NewQueue returns an Admission with a fixed number of slots and a bounded queue in order of arrival.
func NewQueue(slots int) Admission {
	return &queue{
		slots: max(slots, 1),
	}
}

// SetSlots implements Admission.
func (q *queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(slots, 1)
	q.grant()
}

// Load implements Admission.
func (q *queue) Load(core.RouteName) core.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return core.Load{
		Running:          q.running,
		Waiting:          len(q.waiting),
		Limit:            q.slots,
		ServiceTime:      q.duration,
		RouteServiceTime: q.duration,
	}
}

// Acquire implements Admission.
func (q *queue) Acquire(ctx context.Context, call *core.Call) (func(Ending), *core.Refusal) {
	w, refusal := q.enter(time.Now(), call.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case <-w.ready:
		return q.releaser(), nil
	case <-ctx.Done():
	}
	if q.leave(w) {
		return nil, refusalOf(ctx)
	}
	q.release(0)
	return nil, refusalOf(ctx)
}

// refusalOf says why a call whose context has ended was not run.
func refusalOf(ctx context.Context) *core.Refusal {
	cause := context.Cause(ctx)
	if cause == context.DeadlineExceeded {
		return &core.Refusal{
			Cause:  core.CauseDeadline,
			Detail: "deadline passed in the queue",
		}
	}
	return &core.Refusal{
		Cause:  core.CauseRevoked,
		Detail: cause.Error(),
	}
}

func (q *queue) enter(now, deadline time.Time) (*waiter, *core.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxWaiting {
		return nil, &core.Refusal{
			Cause: core.CauseQueueFull,
		}
	}
	rounds := time.Duration(len(q.waiting) / q.slots)
	if q.running >= q.slots && now.Add(rounds*q.duration).After(deadline) {
		return nil, &core.Refusal{
			Cause: core.CauseDeadline,
		}
	}
	w := &waiter{
		ready: make(chan struct{}),
	}
	q.waiting = append(q.waiting, w)
	q.grant()
	return w, nil
}

// grant needs the lock.
func (q *queue) grant() {
	for q.running < q.slots && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		w.granted = true
		close(w.ready)
	}
}

// leave returns false if the waiter has its slot already.
func (q *queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.granted {
		return false
	}
	for i, each := range q.waiting {
		if each == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return true
}

func (q *queue) releaser() func(Ending) {
	began := time.Now()
	return func(Ending) { q.release(time.Since(began)) }
}

func (q *queue) release(held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if held > 0 {
		q.duration += (held - q.duration) / durationShare
	}
	q.grant()
}
