package idempotency

import "time"

// Window is how long keys, attempts, revocations and crashes are kept.
const Window = 10 * time.Minute

const (
	maxConnections         = 8192   // at most half of them are open, see nodepeer
	maxRevocations         = 65_536 // further revocations are answered with RevocationTooLate, which is always safe
	maxNotRunPerConnection = 4096
	maxOutOfOrder          = 4096 // concurrent senders may put a sequence on the wire before a lower one
	pruneInterval          = time.Minute
)

// AttemptKey identifies one attempt by the random number of its connection and its sequence number there, starting at 1.
type AttemptKey struct {
	Connection uint64
	Sequence   uint64
}

// Arrival says whether an attempt that has arrived may run.
type Arrival int

// The results of an arrival.
const (
	// ArrivalNew means that the attempt may run.
	ArrivalNew Arrival = iota
	// ArrivalRevoked means that the attempt was revoked before it arrived and must not run.
	ArrivalRevoked
	// ArrivalRepeated means that the attempt has arrived before, which violates the protocol.
	ArrivalRepeated
)

// Revocation is the result of revoking an attempt.
type Revocation int

// The results of a revocation.
const (
	// RevocationDone means that the attempt has not run and never will.
	RevocationDone Revocation = iota
	// RevocationPending means that the attempt is in progress and its result is not known yet.
	RevocationPending
	// RevocationTooLate means that the attempt has run or that nothing is known about it.
	RevocationTooLate
)

// AttemptLog records which attempts a node has received. For each connection it keeps the number below which all sequences have
// arrived, so its size does not grow with the number of calls.
type AttemptLog struct {
	connections  map[uint64]*connectionLog
	revocations  int
	evictedUntil time.Time // until then, an unknown connection may have been evicted within the window
	prunedAt     time.Time
}

type connectionLog struct {
	open         bool
	lastUsedAt   time.Time
	arrivedBelow uint64 // all sequences below it have arrived, or count as arrived because outOfOrder was full
	outOfOrder   map[uint64]struct{}
	running      map[uint64]struct{}
	notRun       map[uint64]struct{}
	revoked      map[uint64]struct{}
}

// NewAttemptLog returns an empty log.
func NewAttemptLog() *AttemptLog {
	return &AttemptLog{
		connections: make(map[uint64]*connectionLog),
	}
}

// Connected records an open connection. It returns false if the connection is already open or there are too many.
func (l *AttemptLog) Connected(now time.Time, connection uint64) bool {
	log := l.connection(now, connection)
	if log == nil || log.open {
		return false
	}
	log.open = true
	return true
}

// Disconnected records the end of a connection. Its attempts are kept for the window.
func (l *AttemptLog) Disconnected(now time.Time, connection uint64) {
	if log := l.connections[connection]; log != nil {
		log.open = false
		log.lastUsedAt = now
	}
}

// Arrived records an attempt on an open connection and reports whether it may run.
func (l *AttemptLog) Arrived(now time.Time, key AttemptKey) Arrival {
	log := l.connection(now, key.Connection)
	if log == nil || log.seen(key.Sequence) {
		return ArrivalRepeated
	}
	log.lastUsedAt = now
	log.markArrived(key.Sequence)
	if _, revoked := log.revoked[key.Sequence]; revoked {
		delete(log.revoked, key.Sequence)
		l.revocations--
		log.notRun[key.Sequence] = struct{}{}
		return ArrivalRevoked
	}
	log.running[key.Sequence] = struct{}{}
	return ArrivalNew
}

// Ended records the end of an attempt. Ran may be false only if the backend server has received nothing of it.
func (l *AttemptLog) Ended(key AttemptKey, ran bool) {
	log := l.connections[key.Connection]
	if log == nil {
		return
	}
	delete(log.running, key.Sequence)
	if ran {
		return
	}
	if len(log.notRun) >= maxNotRunPerConnection {
		clear(log.notRun) // the outcome of these attempts becomes unknown, which is always safe
	}
	log.notRun[key.Sequence] = struct{}{}
}

// Revoke keeps an attempt that has not arrived from running later, or returns the state of one that has arrived.
func (l *AttemptLog) Revoke(now time.Time, key AttemptKey) Revocation {
	if _, known := l.connections[key.Connection]; !known && now.Before(l.evictedUntil) {
		return RevocationTooLate
	}
	log := l.connection(now, key.Connection)
	if log == nil {
		return RevocationTooLate
	}
	log.lastUsedAt = now
	if log.seen(key.Sequence) {
		return log.revocation(key.Sequence)
	}
	if _, revoked := log.revoked[key.Sequence]; revoked {
		return RevocationDone
	}
	if l.revocations >= maxRevocations {
		return RevocationTooLate
	}
	log.revoked[key.Sequence] = struct{}{}
	l.revocations++
	return RevocationDone
}

func (l *AttemptLog) connection(now time.Time, id uint64) *connectionLog {
	l.prune(now)
	if log := l.connections[id]; log != nil {
		return log
	}
	if len(l.connections) >= maxConnections && !l.evictOldest(now) {
		return nil
	}
	log := &connectionLog{
		lastUsedAt:   now,
		arrivedBelow: 1,
		outOfOrder:   make(map[uint64]struct{}),
		running:      make(map[uint64]struct{}),
		notRun:       make(map[uint64]struct{}),
		revoked:      make(map[uint64]struct{}),
	}
	l.connections[id] = log
	return log
}

func (l *AttemptLog) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	for id, log := range l.connections {
		if !log.open && len(log.running) == 0 && now.Sub(log.lastUsedAt) > Window {
			l.remove(id)
		}
	}
}

func (l *AttemptLog) evictOldest(now time.Time) bool {
	oldest, found := uint64(0), false
	for id, log := range l.connections {
		if log.open || len(log.running) > 0 {
			continue
		}
		if !found || log.lastUsedAt.Before(l.connections[oldest].lastUsedAt) {
			oldest, found = id, true
		}
	}
	if found {
		l.remove(oldest)
		l.evictedUntil = now.Add(Window)
	}
	return found
}

func (l *AttemptLog) remove(id uint64) {
	l.revocations -= len(l.connections[id].revoked)
	delete(l.connections, id)
}

func (c *connectionLog) seen(sequence uint64) bool {
	_, outOfOrder := c.outOfOrder[sequence]
	return sequence < c.arrivedBelow || outOfOrder
}

func (c *connectionLog) markArrived(sequence uint64) {
	c.outOfOrder[sequence] = struct{}{}
	if len(c.outOfOrder) > maxOutOfOrder {
		for each := range c.outOfOrder {
			c.arrivedBelow = max(c.arrivedBelow, each+1)
		}
		clear(c.outOfOrder)
		return
	}
	for {
		if _, arrived := c.outOfOrder[c.arrivedBelow]; !arrived {
			return
		}
		delete(c.outOfOrder, c.arrivedBelow)
		c.arrivedBelow++
	}
}

func (c *connectionLog) revocation(sequence uint64) Revocation {
	if _, running := c.running[sequence]; running {
		return RevocationPending
	}
	if _, notRun := c.notRun[sequence]; notRun {
		return RevocationDone
	}
	return RevocationTooLate
}
