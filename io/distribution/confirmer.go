package distribution

import "parsleyport/core"

// ownLink is the link ID under which the node itself waits; IDs of links to children start at 1.
const ownLink uint64 = 0

// confirmer combines the confirmation requests of several children into one request to the parent or one confirmed read. A
// request that arrives during a read waits for the next read, since the current one may have begun before the latest change
// was accepted.
type confirmer struct {
	number   uint64 // of the latest read
	inFlight bool
	waiters  map[uint64]*waiter // by link ID
}

// waiter is the latest confirmation request of a link.
type waiter struct {
	number    uint64 // of the child's request
	coveredBy uint64 // number of the read that began after the request, zero if none has begun
	confirmed bool
	observed  configVersion
}

func newConfirmer() *confirmer {
	return &confirmer{
		waiters: make(map[uint64]*waiter),
	}
}

func (c *confirmer) request(link, number uint64) {
	c.waiters[link] = &waiter{
		number: number,
	}
}

// begin starts the next read if a request is waiting and no read is under way, and returns the number of the read.
func (c *confirmer) begin() (uint64, bool) {
	if c.inFlight {
		return 0, false
	}
	started := false
	for _, w := range c.waiters {
		if w.coveredBy == 0 {
			w.coveredBy = c.number + 1
			started = true
		}
	}
	if !started {
		return 0, false
	}
	c.number++
	c.inFlight = true
	return c.number, true
}

// finish records the version of the configuration that the read with the given number observed.
func (c *confirmer) finish(number uint64, observed configVersion) {
	if !c.inFlight || number != c.number {
		return
	}
	c.inFlight = false
	for _, w := range c.waiters {
		if w.coveredBy != 0 && w.coveredBy <= number && !w.confirmed {
			w.confirmed, w.observed = true, observed
		}
	}
}

// abandon returns unanswered requests to the queue after a read failed or the link that carried it was lost.
func (c *confirmer) abandon() {
	c.inFlight = false
	for _, w := range c.waiters {
		if !w.confirmed {
			w.coveredBy = 0
		}
	}
}

// takeAnswer returns a link's answer once held, the revision that the link has, is at least the one observed.
func (c *confirmer) takeAnswer(link uint64, held core.Revision) (confirm, bool) {
	w := c.waiters[link]
	if w == nil || !w.confirmed || w.observed.revision > held {
		return confirm{}, false
	}
	delete(c.waiters, link)
	return confirm{
		Number:   w.number,
		Revision: w.observed.revision,
		Hash:     w.observed.hash,
	}, true
}

func (c *confirmer) remove(link uint64) {
	delete(c.waiters, link)
}
