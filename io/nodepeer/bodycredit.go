package nodepeer

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/bodycredit"
)

// scheduleBody lets a call whose body is not in its open message wait for its turn, or returns the refusal of a call that the backend
// would refuse anyway or whose body would arrive too late.
func (s *Server) scheduleBody(call *serverCall) *core.Refusal {
	now := time.Now()
	load, refusal := s.preview(call)
	if refusal != nil {
		return refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[call.key] != call {
		return nil // cancelled meanwhile
	}
	ticket, accepted := s.bodies.Arrive(now, bodycredit.Request{
		Bytes:        call.bodyLength,
		Priority:     call.call.Priority,
		SoftDeadline: call.call.SoftDeadline,
		Deadline:     call.call.Deadline,
		Work:         load.RouteServiceTime,
	})
	if !accepted {
		return tooLateBody(s.addWaitingBodies(load))
	}
	call.bodyTicket = ticket
	call.bodyGranted = make(chan struct{}, 1)
	s.callsByBody[ticket] = call
	s.tasks.Go(func() { s.sendBodyCredit(call) })
	return nil
}

// preview returns the load of the backend, or the refusal of a call that it would refuse now.
func (s *Server) preview(call *serverCall) (core.Load, *core.Refusal) {
	if previewer, ok := s.options.Backend.(core.CallPreviewer); ok {
		return previewer.Preview(call.call)
	}
	return core.Load{}, nil
}

// sendBodyCredit sends credit for the body of a call as it is granted, until the body has arrived or the call has ended. A goroutine
// of the call does this, since a connection that does not accept messages must not delay the reader of another one.
func (s *Server) sendBodyCredit(call *serverCall) {
	for {
		select {
		case <-call.ctx.Done():
			return
		case <-call.bodyGranted:
		}
		s.mu.Lock()
		bytes, waiting := call.grantedBytes, call.bodyTicket != 0
		call.grantedBytes = 0
		s.mu.Unlock()
		if bytes > 0 && !call.conn.send(typeBodyCredit, creditMessage{
			Sequence: call.key.Sequence,
			Bytes:    bytes,
		}) || !waiting {
			return
		}
	}
}

func (c *serverCall) signalBodyGranted() {
	select {
	case c.bodyGranted <- struct{}{}:
	default:
	}
}

// addWaitingBodies counts the calls whose bodies have not arrived as waiting, so that the reported load includes them. s.mu must be
// held.
func (s *Server) addWaitingBodies(load core.Load) core.Load {
	if s.bodies != nil && load.Limit > 0 {
		load.Waiting += s.bodies.Waiting()
	}
	return load
}

// loadWithBodies is addWaitingBodies for callers that do not hold s.mu.
func (s *Server) loadWithBodies(load core.Load) core.Load {
	if s.bodies == nil {
		return load
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addWaitingBodies(load)
}

// endBody ends the wait of a call for its body. s.mu must be held.
func (s *Server) endBody(call *serverCall) {
	if call.bodyTicket == 0 {
		return
	}
	s.bodies.End(call.bodyTicket)
	delete(s.callsByBody, call.bodyTicket)
	call.bodyTicket = 0
	call.signalBodyGranted()
}

// giveBodyCredit grants the credit that is due, and refuses the calls whose bodies would arrive too late. s.mu must be held.
func (s *Server) giveBodyCredit(now time.Time) {
	if s.bodies == nil {
		return
	}
	if now.Sub(s.bodiesCheckedAt) >= bodyCheckInterval {
		s.bodiesCheckedAt = now
		for _, ticket := range s.bodies.Overdue(now) {
			call := s.callsByBody[ticket]
			s.removeCall(call, false)
			s.tasks.Go(func() {
				call.conn.refuse(call.key.Sequence, core.OutcomeNotRun, tooLateBody(core.Load{}))
			})
		}
	}
	for _, grant := range s.bodies.Grants(now) {
		call := s.callsByBody[grant.Ticket]
		call.grantedBytes += grant.Bytes
		call.signalBodyGranted()
	}
}

func tooLateBody(load core.Load) *core.Refusal {
	return &core.Refusal{
		Cause:  core.CauseDeadline,
		Detail: "the body would arrive too late",
		Load:   load,
	}
}
