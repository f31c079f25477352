package distribution

import "parsleyport/core/record"

// compareContent checks whether a child holds the current revision with other content, as happens after a control instance was
// restored from an old copy of its data folder. Such a child is offered the full configuration; mu is held.
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
		h.meters.contentMismatches.Inc()
		c.offerFull = true
		c.wake.TryPush(struct{}{})
	}
	event.Str("event", "content-compared").Str("node", string(c.hello.ID)).Uint64("revision", uint64(own.revision)).
		Bool("differs", diverged).Msg("compared the content of a child's configuration")
}

// holdCandidate keeps the current configuration until a confirmed read tells which content of its revision was accepted.
// Neither this node nor its parent knows: the parent may hold the wrong one.
func (s *Subscriber) holdCandidate(candidate *record.Configuration) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	s.candidate, s.accepted = candidate, configVersion{}
	s.hub.confirmer.request(ownLink, 1) // the number is not sent, since requests are combined
	s.hub.publishAndWake()
}

// resolveCandidate switches to the candidate if the confirmed read observed its content. It runs on the attachment's goroutine.
func (s *Subscriber) resolveCandidate() {
	s.hub.mu.Lock()
	candidate, accepted := s.candidate, s.accepted
	if candidate == nil || accepted == (configVersion{}) {
		s.hub.mu.Unlock()
		return
	}
	s.candidate = nil
	s.hub.mu.Unlock()
	held := configVersionOf(s.current.Load())
	if held.revision != accepted.revision || held == accepted || configVersionOf(candidate) != accepted {
		return
	}
	s.hub.meters.contentRepairs.Inc()
	s.logger.Error().Str("event", "content-replaced").Uint64("revision", uint64(accepted.revision)).
		Msg("replacing a configuration whose content is not the accepted one")
	s.switchTo(candidate)
}
