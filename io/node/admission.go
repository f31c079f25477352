package node

import (
	"context"
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/core/limiter"
	"parsleyport/core/ring"
	"parsleyport/io/backendhttp"
)

// expireEvery is how often waiting calls are checked for deadlines that can no longer be met.
const expireEvery = 10 * time.Millisecond

// admission lets the calls at the local backend server wait for their turn in a limiter.Limiter.
type admission struct {
	mu      sync.Mutex // guards limiter and waiting
	limiter *limiter.Limiter
	waiting map[limiter.Ticket]chan *core.Refusal // receives nil to start
	queued  *ring.Ring[struct{}]                  // wakes the goroutine that checks deadlines
}

var _ backendhttp.Admission = (*admission)(nil)

func newAdmission(options limiter.Options) (*admission, func()) {
	a := &admission{
		limiter: limiter.NewWithOptions(1, options),
		waiting: make(map[limiter.Ticket]chan *core.Refusal),
		queued:  ring.New[struct{}](1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.expireUntil(ctx)
	}()
	return a, func() {
		cancel()
		<-stopped
	}
}

// expireUntil checks deadlines while calls wait, and sleeps otherwise: a steady ticker took more processor time than all
// other duties of a node without calls.
func (a *admission) expireUntil(ctx context.Context) {
	for {
		if _, err := a.queued.Pop(ctx); err != nil {
			return
		}
		timer := time.NewTimer(expireEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case now := <-timer.C:
			a.expire(now)
		}
	}
}

func (a *admission) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(a.limiter.Expire(now))
	a.watchQueue()
}

// watchQueue has the deadlines checked again if calls wait; the caller holds the lock.
func (a *admission) watchQueue() {
	if a.limiter.Waiting() > 0 {
		a.queued.TryPush(struct{}{})
	}
}

// Load implements backendhttp.Admission.
func (a *admission) Load(route core.RouteName) core.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Load(route)
}

// SetSlots implements backendhttp.Admission.
func (a *admission) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(a.limiter.Resize(time.Now(), slots))
}

// Acquire implements backendhttp.Admission.
func (a *admission) Acquire(ctx context.Context, call *core.Call) (func(backendhttp.CallResult), *core.Refusal) {
	ticket, turn := a.arrive(call)
	select {
	case refusal := <-turn:
		return a.admitted(ticket, refusal)
	case <-ctx.Done():
	}
	if a.cancel(ticket) {
		return nil, &core.Refusal{
			Cause: core.CauseRevoked,
		}
	}
	return a.admitted(ticket, <-turn) // the decision was made just before the context ended
}

func (a *admission) arrive(call *core.Call) (limiter.Ticket, <-chan *core.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	turn := make(chan *core.Refusal, 1)
	ticket, change := a.limiter.Arrive(time.Now(), limiter.Request{
		Tenant:       call.Tenant,
		Priority:     call.Priority,
		SoftDeadline: call.SoftDeadline,
		Deadline:     call.Deadline,
		StartBy:      call.StartBy,
		NoWait:       call.Hedge,
		Class:        call.Route,
	})
	a.waiting[ticket] = turn
	a.follow(change)
	a.watchQueue()
	return ticket, turn
}

func (a *admission) admitted(ticket limiter.Ticket, refusal *core.Refusal) (func(backendhttp.CallResult), *core.Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	startedAt := time.Now()
	return func(ending backendhttp.CallResult) { a.finish(ticket, startedAt, ending) }, nil
}

func (a *admission) finish(ticket limiter.Ticket, startedAt time.Time, ending backendhttp.CallResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.follow(a.limiter.Finish(now, ticket, limiter.Result{
		Latency:    now.Sub(startedAt),
		Overloaded: ending == backendhttp.ResultOverloaded,
		Failed:     ending == backendhttp.ResultFailed,
	}))
}

func (a *admission) cancel(ticket limiter.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.limiter.Cancel(ticket) {
		return false
	}
	delete(a.waiting, ticket)
	return true
}

// follow wakes the calls that a change concerns; the caller holds the lock.
func (a *admission) follow(change limiter.Change) {
	for _, ticket := range change.Start {
		a.wake(ticket, nil)
	}
	for _, shed := range change.Shed {
		a.wake(shed.Ticket, &core.Refusal{
			Cause: shed.Cause,
		})
	}
}

func (a *admission) wake(ticket limiter.Ticket, refusal *core.Refusal) {
	a.waiting[ticket] <- refusal
	delete(a.waiting, ticket)
}
