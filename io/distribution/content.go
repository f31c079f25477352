package distribution

import "parsleyport/core/record"

// compareContent notes whether a child holds another content of the same revision than this process, as after a control
// instance was restored from an old copy of its data folder. The child is offered the full configuration; mu is held.
func (h *hub) compareContent(c *child) {
	if c.hello.Kind == kindControl {
		return
	}
	own := configVersionOf(h.current)
	diverged := c.reported.revision == own.revision && c.reported.hash != 0 && c.reported.hash != own.hash
	if diverged == c.diverged {
		return
	}
	c.diverged = diverged
	event := h.logger.Info()
	if diverged {
		event = h.logger.Error()
		h.meters.contents.Inc()
		c.offerFull = true
		c.wake.TryPush(struct{}{})
	}
	event.Str("event", "content-compared").Str("node", string(c.hello.ID)).Uint64("revision", uint64(own.revision)).
		Bool("differs", diverged).Msg("content of a child's revision compared")
}

// consider keeps another content of the revision in force until a confirmed read says which one was accepted. Neither
// this node nor its parent can know: the parent may be the one that is wrong.
func (s *Subscriber) holdCandidate(candidate *record.Configuration) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	s.candidate, s.accepted = candidate, configVersion{}
	s.hub.confirmer.request(ownLink, 1) // the number is not sent: requests are joined
	s.hub.publishAndWake()
}

// repair replaces the content in force if the confirmed read saw the other one. It runs on the attachment's goroutine.
func (s *Subscriber) resolveCandidate() {
	s.hub.mu.Lock()
	candidate, accepted := s.candidate, s.accepted
	if candidate == nil || accepted == (configVersion{}) {
		s.hub.mu.Unlock()
		return
	}
	s.candidate = nil
	s.hub.mu.Unlock()
	held := configVersionOf(s.newest.Load())
	if held.revision != accepted.revision || held == accepted || configVersionOf(candidate) != accepted {
		return
	}
	s.hub.meters.repairs.Inc()
	s.logger.Error().Str("event", "content-replaced").Uint64("revision", uint64(accepted.revision)).
		Msg("content of the revision in force was not the accepted one")
	s.switchTo(candidate)
}
