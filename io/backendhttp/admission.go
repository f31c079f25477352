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
	Acquire(ctx context.Context, call *core.Call) (release func(CallResult), refusal *core.Refusal)
	// SetSlots states how many calls the backend server runs at the same time.
	SetSlots(slots int)
	// Load describes the calls that run and wait, and how long those of a route usually take.
	Load(route core.RouteName) core.Load
}

// Ending says how a call at the backend server ended.
type CallResult int

// The endings of a call.
const (
	// ResultServed means that its duration is that of a complete run.
	ResultServed CallResult = iota
	// ResultFailed means that its duration says nothing about the backend server's load.
	ResultFailed
	// ResultOverloaded means that the backend server answered that it has too much to do.
	ResultOverloaded
)

const (
	maxQueuedCalls        = 1024
	holdTimeWeightDivisor = 8 // weight of one call in the average of durations is 1/8
)

// queue is an Admission that runs a fixed number of calls and keeps the others in order of arrival.
type queue struct {
	mu           sync.Mutex
	slots        int
	running      int
	waiting      []*waiter
	meanHoldTime time.Duration // average time that a call holds its slot
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
	q.grantSlots()
}

// Load implements Admission.
func (q *queue) Load(core.RouteName) core.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return core.Load{
		Running:          q.running,
		Waiting:          len(q.waiting),
		Limit:            q.slots,
		ServiceTime:      q.meanHoldTime,
		RouteServiceTime: q.meanHoldTime,
	}
}

// Acquire implements Admission.
func (q *queue) Acquire(ctx context.Context, call *core.Call) (func(CallResult), *core.Refusal) {
	w, refusal := q.enqueue(time.Now(), call.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case <-w.ready:
		return q.releaseFunc(), nil
	case <-ctx.Done():
	}
	if q.remove(w) {
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

func (q *queue) enqueue(now, deadline time.Time) (*waiter, *core.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxQueuedCalls {
		return nil, &core.Refusal{
			Cause: core.CauseQueueFull,
		}
	}
	queuedRounds := time.Duration(len(q.waiting) / q.slots)
	if q.running >= q.slots && now.Add(queuedRounds*q.meanHoldTime).After(deadline) {
		return nil, &core.Refusal{
			Cause: core.CauseDeadline,
		}
	}
	w := &waiter{
		ready: make(chan struct{}),
	}
	q.waiting = append(q.waiting, w)
	q.grantSlots()
	return w, nil
}

// grant needs the lock.
func (q *queue) grantSlots() {
	for q.running < q.slots && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		w.granted = true
		close(w.ready)
	}
}

// leave returns false if the waiter has its slot already.
func (q *queue) remove(w *waiter) bool {
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

func (q *queue) releaseFunc() func(CallResult) {
	began := time.Now()
	return func(CallResult) { q.release(time.Since(began)) }
}

func (q *queue) release(held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if held > 0 {
		q.meanHoldTime += (held - q.meanHoldTime) / holdTimeWeightDivisor
	}
	q.grantSlots()
}
