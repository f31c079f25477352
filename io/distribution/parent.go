package distribution

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/frame"
)

func (s *Subscriber) receiveFromParent(u *uplink) error {
	for {
		received, err := s.hub.receive(u.conn, linkTimeout)
		if err != nil {
			return err
		}
		if err := s.handleFromParent(u, received); err != nil {
			return err
		}
	}
}

func (s *Subscriber) handleFromParent(u *uplink, received frame.Frame) error {
	switch received.Type {
	case typePong:
		s.hub.pongReceived(u)
		return nil
	case typeAccept:
		var message accept
		if err := received.Decode(&message); err != nil {
			return err
		}
		return s.handleAccept(message)
	case typeConfigFull:
		var message record.Full
		if err := received.Decode(&message); err != nil {
			return err
		}
		s.handleConfigFull(message)
		return nil
	case typeConfigDelta:
		var message record.Delta
		if err := received.Decode(&message); err != nil {
			return err
		}
		s.handleConfigDelta(u, message)
		return nil
	case typeConfirm:
		var message confirm
		err := s.hub.decodeAndHandle(received, &message, func() {
			s.hub.confirmer.finish(message.Number, configVersion{
				revision: message.Revision,
				hash:     message.Hash,
			})
			s.checkConfirmed()
			s.hub.publishAndWake()
		})
		s.resolveCandidate()
		return err
	case typeCrashes:
		var message crashes
		return s.hub.decodeAndHandle(received, &message, func() {
			s.hub.handleCrashes(time.Now(), message, crashOrigin{
				parent: true,
			})
		})
	case typeEndpoints:
		var message endpoints
		return s.hub.decodeAndHandle(received, &message, func() { s.handleEndpoints(time.Now(), u, message) })
	}
	s.hub.meters.unknownMessages.Inc()
	return nil
}

// handleAccept handles the parent's path, which arrives in the handshake and again when it changes. An error ends the link.
func (s *Subscriber) handleAccept(message accept) error {
	if err := s.checkPath(message); err != nil {
		return err
	}
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	if err := s.checkStale(message); err != nil {
		return err
	}
	s.hub.stale, s.hub.parentUnheard, s.hub.parentReadsRows = message.Stale, message.Unheard, message.Rows
	s.hub.path, s.hub.control = message.Path, message.Control
	if s.hub.attached { // during the handshake, exchangeHello checks this
		if local, redirected := s.attachment.redirectToLocal(message); redirected {
			s.attachment.localAddresses = local.Addresses
			return errLocalControlAvailable
		}
	}
	if len(message.Controls) > 0 && len(message.Controls) <= maxDirectChildren {
		s.hub.controls = message.Controls
		s.attachment.learnedTargets.Store(localFirst(message.Controls, s.options.DataCentre))
	}
	s.hub.fleetNodes = message.FleetNodes
	s.fleetSize.Observe(time.Now(), message.FleetNodes)
	s.hub.pathVersion++
	s.hub.publishAndWake()
	return nil
}

// FleetNodes returns the number of nodes of the fleet as the control instances count them, zero if it is unknown.
func (s *Subscriber) FleetNodes() int {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	now := time.Now()
	s.fleetSize.Observe(now, s.hub.fleetNodes)
	return s.fleetSize.Nodes(now)
}

// checkStale rejects a control instance that knows no leader until all others have been tried, since it may be the only one that
// is partitioned. A node below a relay stays, since the relay looks for another control instance on behalf of its subtree.
func (s *Subscriber) checkStale(message accept) error {
	if !message.Stale {
		s.firstStaleTarget = -1
		return nil
	}
	if s.firstStaleTarget < 0 {
		s.firstStaleTarget = s.attachment.nextTarget
	}
	if len(message.Path) > 0 || s.attachment.nextTarget-s.firstStaleTarget >= len(s.attachment.allTargets()) {
		return nil
	}
	return errors.Errorf("control instance %q knows no leader", message.Control)
}

func (s *Subscriber) handleConfigFull(message record.Full) {
	held := s.current.Load()
	if message.Revision < held.Revision() || configVersionOf(held) == (configVersion{revision: message.Revision, hash: message.Hash}) {
		return
	}
	next, err := record.FromFull(message)
	if err != nil {
		s.refuseConfiguration(message.Revision, err)
		return
	}
	if message.Revision == held.Revision() {
		s.holdCandidate(next)
		return
	}
	s.switchTo(next)
}

func (s *Subscriber) handleConfigDelta(u *uplink, message record.Delta) {
	next, err := s.current.Load().Apply(message)
	switch {
	case err == nil:
		s.switchTo(next)
	case errors.Is(err, record.ErrOlder):
		// the delta crossed with a newer configuration
	case errors.Is(err, record.ErrWrongBase), errors.Is(err, record.ErrHashMismatch):
		s.hub.meters.deltaMismatches.Inc()
		s.hub.mu.Lock()
		defer s.hub.mu.Unlock()
		u.configRequestDue = true
		u.wake.TryPush(struct{}{})
	default:
		s.refuseConfiguration(message.ToRevision, err)
	}
}

func (s *Subscriber) refuseConfiguration(revision core.Revision, err error) {
	s.hub.meters.refused.Inc()
	s.logger.Error().Err(err).Uint64("revision", uint64(revision)).Msg("configuration refused")
}

// switchTo puts a validated configuration into force; only the attachment's goroutine calls it.
func (s *Subscriber) switchTo(next *record.Configuration) {
	s.hub.meters.applied.Inc()
	s.changeMu.Lock()
	s.current.Store(next)
	close(s.changeCh)
	s.changeCh = make(chan struct{})
	s.changeMu.Unlock()
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	s.hub.setCurrent(next)
	s.checkConfirmed()
	s.logger.Info().Str("event", "configuration-in-force").Uint64("revision", uint64(next.Revision())).Str("parent", s.parent).
		Str("control", string(s.hub.control)).Msg("configuration in force")
}

// checkConfirmed records the version that a confirmed read observed, once the node holds its revision; hub.mu is held.
func (s *Subscriber) checkConfirmed() {
	if read, ready := s.hub.confirmer.takeAnswer(ownLink, s.current.Load().Revision()); ready {
		s.accepted = configVersion{
			revision: read.Revision,
			hash:     read.Hash,
		}
		s.confirmedOnce.Do(func() { close(s.confirmed) })
	}
}

func (s *Subscriber) handleEndpoints(now time.Time, u *uplink, message endpoints) {
	message.filterServices(u.wants)
	s.hub.addTombstones(now, message.Tombstones)
	if len(message.Reset) > 0 && !message.Partial {
		s.hub.table.Retain(now, parentOwner, message.Upserts, func(service core.ServiceName) bool {
			return slices.Contains(message.Reset, service)
		})
	}
	for _, endpoint := range message.Upserts {
		s.hub.table.Announce(now, parentOwner, endpoint)
	}
	s.applyStateChanges(now, u, message.States)
	for _, removal := range message.Removals {
		s.hub.table.Remove(now, parentOwner, removal)
	}
	digestsEqual := message.HasDigest && s.compareDigest(u, message)
	s.updateUnsynced(message)
	s.hub.publishAndWake()
	if digestsEqual || message.Answer { // only after the endpoints were published
		s.endpointsReceivedOnce.Do(func() { close(s.endpointsReceived) })
	}
}

// updateUnsynced updates the services that wait for endpoints after a message that has all endpoints of some of them.
func (s *Subscriber) updateUnsynced(message endpoints) {
	for _, service := range message.Reset {
		if _, isUnsynced := s.hub.unsynced[service]; isUnsynced {
			s.hub.unsynced[service] = true // a parent with an incomplete table sends a digest later
		}
		if !message.Partial {
			delete(s.hub.unsynced, service)
			s.hub.notifyWatchers(service)
		}
	}
	if message.Answer && !message.Partial {
		s.markSynced()
	}
}

// EndpointsSignal returns a channel that is closed once the node has received the endpoints that its first parent knew.
func (s *Subscriber) EndpointsSignal() <-chan struct{} {
	return s.endpointsReceived
}

// markSynced records that the node holds the same endpoints of its subscriptions as the parent.
func (s *Subscriber) markSynced() {
	s.hub.complete, s.hub.unsyncedAll = true, false
	maps.DeleteFunc(s.hub.unsynced, func(_ core.ServiceName, covered bool) bool { return covered })
	for service := range s.hub.watchers {
		s.hub.notifyWatchers(service)
	}
}

// compareDigest reports whether the node holds the same endpoints as the parent, and requests the services that differ if not.
func (s *Subscriber) compareDigest(u *uplink, message endpoints) bool {
	var own core.Hash
	for _, digest := range s.hub.table.Digests(u.wants) {
		own ^= digest
	}
	if own != message.Digest {
		u.endpointsRequestDue = true
		return false
	}
	if !message.Partial {
		s.markSynced()
	}
	return true
}
