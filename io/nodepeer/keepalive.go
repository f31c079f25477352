package nodepeer

import (
	"time"

	"github.com/juju/errors"
)

// start begins to read messages and schedules the first check. The timer needs no goroutine, so that an idle connection has
// only that of its reader.
func (c *clientConn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextCheck = c.idleUntil
	c.timer = time.AfterFunc(time.Until(c.nextCheck), c.tick)
	c.dialer.tasks.Go(c.receive)
}

// hasOutstanding reports whether a reply from the peer is outstanding. c.mu must be held.
func (c *clientConn) hasOutstanding() bool {
	return len(c.streams)+len(c.revocations)+len(c.keyRequests) > 0
}

// silence returns for how long nothing has arrived from the peer. Each part of a message counts, since a long one may take longer than
// silenceTimeout on a slow connection. c.mu must be held.
func (c *clientConn) silence(now time.Time) time.Duration {
	return now.Sub(laterOf(c.listeningSince, c.heard.lastHeard()))
}

// beginUse prepares the connection for a call or request, or returns errUnsent if it is lost or being closed. c.mu must be held
// until the call or request is registered. Silence counts from the first outstanding call, since an idle connection gets no pings.
func (c *clientConn) beginUse() error {
	if c.lost {
		return errUnsent
	}
	if !c.hasOutstanding() {
		now := time.Now()
		c.listeningSince, c.lastPing, c.lastCheck = now, now, now
		c.scheduleCheck(now.Add(checkInterval))
	}
	return nil
}

// scheduleCheck lets the next check run no later than the given time. c.mu must be held.
func (c *clientConn) scheduleCheck(at time.Time) {
	if c.timer != nil && at.Before(c.nextCheck) {
		c.nextCheck = at
		c.timer.Reset(time.Until(at))
	}
}

// tick runs a check unless the connection is lost. Until then the reader keeps the counter of the WaitGroup above zero, so
// that Add cannot race with Wait.
func (c *clientConn) tick() {
	c.mu.Lock()
	if c.lost {
		c.mu.Unlock()
		return
	}
	c.dialer.tasks.Add(1)
	c.mu.Unlock()
	defer c.dialer.tasks.Done()
	c.check(time.Now())
}

// check sends a ping if one is due, and closes a connection that is silent or idle. A pause of this process does not count
// as silence, since messages that the peer has sent meanwhile are still unread. An idle connection is marked as lost under
// the lock under which calls and requests are registered, so that none starts on a connection that is being closed.
func (c *clientConn) check(now time.Time) {
	c.mu.Lock()
	if now.Sub(c.lastCheck) > 2*checkInterval {
		c.listeningSince = now
	}
	c.lastCheck = now
	busy := c.hasOutstanding()
	silent := busy && c.silence(now) >= silenceTimeout
	ping := busy && !c.pinging && now.Sub(c.lastPing) >= pingInterval
	idle := !c.lost && !busy && (c.goawayReceived || !now.Before(c.idleUntil))
	c.lost = c.lost || idle
	if ping {
		c.lastPing, c.pinging = now, true
	}
	c.nextCheck = c.idleUntil
	if busy {
		c.nextCheck = now.Add(checkInterval)
	}
	if c.timer != nil && !c.lost {
		c.timer.Reset(time.Until(c.nextCheck))
	}
	c.mu.Unlock()
	switch {
	case silent:
		c.dialer.silentConnections.Inc()
		c.fail(errors.Annotate(errPeerLost, "silent"))
	case idle:
		c.closeLost()
	case ping:
		c.send(typePing, emptyMessage{})
		c.mu.Lock()
		c.pinging = false
		c.mu.Unlock()
	}
}
