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
		Sender:       bodycredit.SenderID(call.key.Connection),
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
	if call.bodyExpiry != nil {
		call.bodyExpiry.Stop()
		call.bodyExpiry = nil
	}
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
	s.scheduleLeaseCheck(s.bodies.NextLeaseEnd())
}

// scheduleLeaseCheck gives credit again when a lease has ended, since nothing else may arrive until then. s.mu must be held.
func (s *Server) scheduleLeaseCheck(at time.Time) {
	if at.IsZero() || !s.leaseCheckAt.IsZero() && !at.Before(s.leaseCheckAt) {
		return
	}
	s.leaseCheckAt = at
	if s.leaseTimer == nil {
		s.leaseTimer = time.AfterFunc(time.Until(at), s.checkLeases)
		return
	}
	s.leaseTimer.Reset(time.Until(at))
}

func (s *Server) checkLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseCheckAt = time.Time{}
	if !s.closed {
		s.giveBodyCredit(time.Now())
	}
}

// noteSender lets a sender get credit again from which something has arrived.
func (s *Server) noteSender(c *serverConn) {
	if s.bodies == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodies.Heard(bodycredit.SenderID(c.id)) {
		s.giveBodyCredit(time.Now())
	}
}

// expireBody ends a call whose body has not arrived by its deadline, so that what it holds does not depend on its sender.
func (s *Server) expireBody(call *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || call.started || s.calls[call.key] != call {
		return
	}
	s.removeCall(call, false)
	s.giveBodyCredit(time.Now())
	s.refused.Inc()
	s.bodiesExpired.Inc()
	s.tasks.Go(func() { // the sender may not read
		call.conn.refuse(call.key.Sequence, core.OutcomeNotRun, &core.Refusal{
			Cause:  core.CauseDeadline,
			Detail: "the body has not arrived by the deadline",
		})
	})
}

func tooLateBody(load core.Load) *core.Refusal {
	return &core.Refusal{
		Cause:  core.CauseDeadline,
		Detail: "the body would arrive too late",
		Load:   load,
	}
}
