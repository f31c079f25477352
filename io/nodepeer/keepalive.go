package nodepeer

import (
	"time"

	"github.com/juju/errors"
)

// start reads what the peer sends, and checks the connection from time to time. An idle connection has one goroutine.
func (c *clientConn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextCheck = c.idleUntil
	c.timer = time.AfterFunc(time.Until(c.nextCheck), c.tick)
	c.dialer.tasks.Go(c.receive)
}

// hasOutstanding needs the lock; it says whether something is expected from the peer.
func (c *clientConn) hasOutstanding() bool {
	return len(c.streams)+len(c.revokes)+len(c.claims) > 0
}

// busy needs the lock until something is outstanding, and returns errUnsent if the connection is lost or being closed.
// Silence counts from the first outstanding call, since an idle connection gets no pings.
func (c *clientConn) beginUse() error {
	if c.lost {
		return errUnsent
	}
	if !c.hasOutstanding() {
		now := time.Now()
		c.lastReceived, c.lastPing, c.lastCheck = now, now, now
		c.scheduleCheck(now.Add(checkInterval))
	}
	return nil
}

// scheduleCheck needs the lock.
func (c *clientConn) scheduleCheck(at time.Time) {
	if c.timer != nil && at.Before(c.nextCheck) {
		c.nextCheck = at
		c.timer.Reset(time.Until(at))
	}
}

// tick runs a check unless the connection is lost; until then, the reader keeps the counter of tasks above zero.
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

// check sends a ping if one is due, and ends a connection that is silent or idle. It counts no silence for the time in
// which this process itself stood still: what the peer sent is waiting unread. An idle connection is marked as lost under
// the lock under which calls and questions begin, so that none begins on a connection that is being closed.
func (c *clientConn) check(now time.Time) {
	c.mu.Lock()
	if now.Sub(c.lastCheck) > 2*checkInterval {
		c.lastReceived = now
	}
	c.lastCheck = now
	busy := c.hasOutstanding()
	silent := busy && now.Sub(c.lastReceived) >= silenceTimeout
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
		c.dialer.silent.Inc()
		c.fail(errors.Annotate(errConnectionLost, "silent"))
	case idle:
		c.closeLost()
	case ping:
		c.send(typePing, emptyMessage{})
		c.mu.Lock()
		c.pinging = false
		c.mu.Unlock()
	}
}
