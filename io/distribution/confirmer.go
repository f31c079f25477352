package distribution

import "parsleyport/core"

// ownLink is the waiter of the node itself; links of children start at 1.
const ownLink uint64 = 0

// confirmer joins the confirmation requests of several children into one request upwards or one confirmed read. A
// request that arrives while a read is under way waits for the next one: the read may have begun before an accepted change.
type confirmer struct {
	number   uint64
	inFlight bool
	waiters  map[uint64]*waiter
}

type waiter struct {
	number    uint64 // the child's number
	coveredBy uint64 // the number of the read that began after the request, zero for none yet
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

// begin starts the next read if a request waits for one and none is under way.
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

// finish notes the configuration that the read with the given number saw.
func (c *confirmer) finish(number uint64, saw configVersion) {
	if !c.inFlight || number != c.number {
		return
	}
	c.inFlight = false
	for _, w := range c.waiters {
		if w.coveredBy != 0 && w.coveredBy <= number && !w.confirmed {
			w.confirmed, w.observed = true, saw
		}
	}
}

// abandon makes unanswered requests wait for a new read, after a read failed or its link was lost.
func (c *confirmer) abandon() {
	c.inFlight = false
	for _, w := range c.waiters {
		if !w.confirmed {
			w.coveredBy = 0
		}
	}
}

// take returns a link's answer once the given revision covers it.
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
