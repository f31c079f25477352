package backendhttp

import (
	"context"
	"sync"
	"time"

	"parsleyport/core"
)

// Admission decides when a call may run at the backend server (admission control).
type Admission interface {
	// Acquire waits until the call may run, or returns a refusal. A call whose context ends while it waits leaves the queue and is
	// refused. The caller must call the returned function exactly once, when the call has ended.
	Acquire(ctx context.Context, call *core.Call) (release func(CallResult), refusal *core.Refusal)
	// SetSlots sets the number of calls that the backend server runs concurrently.
	SetSlots(slots int)
	// Load returns the numbers of running and waiting calls, and the usual service time of calls and of those of a route.
	Load(route core.RouteName) core.Load
}

// AdmissionPreviewer is implemented by an Admission that can tell whether it would refuse a call.
type AdmissionPreviewer interface {
	// Preview returns the refusal that the call would get now, or nil.
	Preview(call *core.Call) *core.Refusal
}

// CallResult tells an Admission how a call at the backend server ended.
type CallResult int

// Results of a call.
const (
	// ResultServed means that the call was served completely, so that its duration is a sample of the service time.
	ResultServed CallResult = iota
	// ResultFailed means that the call failed, so that its duration says nothing about the backend server's load.
	ResultFailed
	// ResultOverloaded means that the backend server answered that it is overloaded.
	ResultOverloaded
)

const (
	maxQueuedCalls        = 1024
	holdTimeWeightDivisor = 8 // a call has a weight of 1/8 in the exponential moving average of hold times
)

// queue is an Admission with a fixed concurrency limit and a FIFO queue.
type queue struct {
	mu           sync.Mutex
	slots        int
	running      int
	waiting      []*waiter
	meanHoldTime time.Duration // exponential moving average of the time that a call holds its slot
}

type waiter struct {
	ready   chan struct{}
	granted bool
}

// NewQueue returns an Admission with a fixed number of slots, at least one, and a bounded FIFO queue.
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

// refusalOf returns the refusal of a call whose context ended before it ran.
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

// grantSlots gives free slots to the calls that wait longest. q.mu must be held.
func (q *queue) grantSlots() {
	for q.running < q.slots && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		w.granted = true
		close(w.ready)
	}
}

// remove takes a waiter out of the queue. It returns false if the waiter has a slot already.
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
	startedAt := time.Now()
	return func(CallResult) { q.release(time.Since(startedAt)) }
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
