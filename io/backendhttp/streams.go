package backendhttp

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleyport/core"
)

// Parts of the slots and of the time of a call with a streamed body, as numerator and denominator.
const (
	streamSlotsNumerator, streamSlotsDenominator = 3, 4
	streamWaitNumerator, streamWaitDenominator   = 1, 4
)

// streamPlaces bounds the calls that hold a slot while their bodies arrive, so that callers that send slowly leave slots to others.
type streamPlaces struct {
	mu      sync.Mutex // guards the fields below
	taken   int
	waiting []chan struct{} // closed when the call gets a place; in order of arrival
}

// acquire waits for a place among the slots of a backend server, zero if their number is unknown. It returns false if there is none in
// time, or as many calls as slots wait already.
func (p *streamPlaces) acquire(ctx context.Context, slots int, now, deadline time.Time) bool {
	p.mu.Lock()
	if places := max(1, slots*streamSlotsNumerator/streamSlotsDenominator); slots == 0 || p.taken < places {
		p.taken++
		p.mu.Unlock()
		return true
	}
	if len(p.waiting) >= slots {
		p.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	p.waiting = append(p.waiting, granted)
	p.mu.Unlock()
	timer := time.NewTimer(deadline.Sub(now) * streamWaitNumerator / streamWaitDenominator)
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiting, granted)
	if at < 0 {
		return true // it was granted meanwhile
	}
	p.waiting = slices.Delete(p.waiting, at, at+1)
	return false
}

// release passes a place on to the call that has waited for the longest time.
func (p *streamPlaces) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		p.taken--
		return
	}
	close(p.waiting[0])
	p.waiting = slices.Delete(p.waiting, 0, 1)
}

// acquireStream waits for a place of a call with a streamed body, or returns the reason to refuse it.
func (s *Server) acquireStream(ctx context.Context, call *core.Call) *core.Refusal {
	now, until := time.Now(), call.Deadline
	if !call.StartBy.IsZero() && call.StartBy.Before(until) {
		until = call.StartBy
	}
	if s.streams.acquire(ctx, s.admission.Load(call.Route).Limit, now, until) {
		return nil
	}
	if ctx.Err() != nil {
		return refusalOf(ctx)
	}
	return &core.Refusal{
		Cause:  core.CauseQueueFull,
		Detail: "other calls with long bodies hold their share of the slots",
	}
}
