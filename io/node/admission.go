package node

import (
	"context"
	"sync"
	"time"

	"parsleyport/core"
	"parsleyport/core/cost"
	"parsleyport/core/limiter"
	"parsleyport/core/ring"
	"parsleyport/io/backendhttp"
)

// expireInterval is how often the deadlines of waiting calls are checked.
const expireInterval = 10 * time.Millisecond

// admission queues calls to the local backend server in a limiter.Limiter until they may start.
type admission struct {
	options      admissionOptions
	mu           sync.Mutex // guards limiter and waiting
	limiter      *limiter.Limiter
	waiting      map[limiter.Ticket]chan *core.Refusal // receives nil to start
	expiryNeeded *ring.Ring[struct{}]                  // wakes the goroutine that checks deadlines
}

var (
	_ backendhttp.Admission          = (*admission)(nil)
	_ backendhttp.AdmissionPreviewer = (*admission)(nil)
)

// admissionOptions configure an admission.
type admissionOptions struct {
	limiter.Options
	// CallerService names the header with the calling service, empty if there is none.
	CallerService string
	// Weight returns the weight of a tenant against others when they share the slots. Nil means that all weigh the same.
	Weight func(core.TenantID) float64
}

func newAdmission(options admissionOptions) (*admission, func()) {
	a := &admission{
		options:      options,
		limiter:      limiter.NewWithOptions(1, options.Options),
		waiting:      make(map[limiter.Ticket]chan *core.Refusal),
		expiryNeeded: ring.New[struct{}](1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.expireLoop(ctx)
	}()
	return a, func() {
		cancel()
		<-stopped
	}
}

// expireLoop checks deadlines only while calls wait: a permanent ticker took more processor time than everything else in an idle
// node.
func (a *admission) expireLoop(ctx context.Context) {
	for {
		if _, err := a.expiryNeeded.Pop(ctx); err != nil {
			return
		}
		timer := time.NewTimer(expireInterval)
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
	a.apply(a.limiter.Expire(now))
	a.scheduleExpiry()
}

// scheduleExpiry makes expireLoop check the deadlines again if calls wait. a.mu must be held.
func (a *admission) scheduleExpiry() {
	if a.limiter.Waiting() > 0 {
		a.expiryNeeded.TryPush(struct{}{})
	}
}

// Load implements backendhttp.Admission.
func (a *admission) Load(route core.RouteName) core.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Load(time.Now(), route)
}

// SetSlots implements backendhttp.Admission.
func (a *admission) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.limiter.Resize(time.Now(), slots))
}

// Acquire implements backendhttp.Admission.
func (a *admission) Acquire(ctx context.Context, call *core.Call) (func(backendhttp.CallResult), *core.Refusal) {
	ticket, decision := a.arrive(call)
	select {
	case refusal := <-decision:
		return a.admitted(ticket, refusal)
	case <-ctx.Done():
	}
	if a.cancel(ticket) {
		return nil, &core.Refusal{
			Cause: core.CauseRevoked,
		}
	}
	return a.admitted(ticket, <-decision) // the decision was made just before the context ended
}

func (a *admission) arrive(call *core.Call) (limiter.Ticket, <-chan *core.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := make(chan *core.Refusal, 1)
	ticket, change := a.limiter.Arrive(time.Now(), a.request(call))
	a.waiting[ticket] = decision
	a.apply(change)
	a.scheduleExpiry()
	return ticket, decision
}

func (a *admission) request(call *core.Call) limiter.Request {
	return limiter.Request{
		Tenant:       call.Tenant,
		Weight:       a.weight(call.Tenant),
		Priority:     call.Priority,
		SoftDeadline: call.SoftDeadline,
		Deadline:     call.Deadline,
		StartBy:      call.StartBy,
		NoWait:       call.Hedge,
		Class:        call.Route,
		Cost:         a.costClass(call),
	}
}

// Preview implements backendhttp.AdmissionPreviewer.
func (a *admission) Preview(call *core.Call) *core.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.limiter.WouldShed(time.Now(), a.request(call)) {
		return nil
	}
	return &core.Refusal{
		Cause: core.CauseDeadline,
	}
}

func (a *admission) weight(tenant core.TenantID) float64 {
	if a.options.Weight == nil {
		return 1
	}
	return a.options.Weight(tenant)
}

// costClass returns what the work of a call is learned by, or nil if it is not learned.
func (a *admission) costClass(call *core.Call) *cost.Class {
	if !a.options.LearnCosts {
		return nil
	}
	class := &cost.Class{
		Route:  call.Route,
		Method: call.Method,
		Size:   cost.SizeClassOf(int(max(call.BodyBytes(), 0))),
		Tenant: call.Tenant,
	}
	if a.options.CallerService != "" {
		class.Caller = core.ServiceName(call.Header.Get(a.options.CallerService))
	}
	return class
}

func (a *admission) admitted(ticket limiter.Ticket, refusal *core.Refusal) (func(backendhttp.CallResult), *core.Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	startedAt := time.Now()
	return func(result backendhttp.CallResult) { a.finish(ticket, startedAt, result) }, nil
}

func (a *admission) finish(ticket limiter.Ticket, startedAt time.Time, result backendhttp.CallResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.apply(a.limiter.Finish(now, ticket, limiter.Result{
		Latency:    now.Sub(startedAt),
		Overloaded: result == backendhttp.ResultOverloaded,
		Failed:     result == backendhttp.ResultFailed,
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

// apply wakes the calls that a change starts or sheds. a.mu must be held.
func (a *admission) apply(change limiter.Change) {
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
