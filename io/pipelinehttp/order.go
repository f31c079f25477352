package pipelinehttp

// entry is the place of one request in the order of a connection.
type entry struct {
	concurrent bool // may run beside other requests that may, too
	closes     bool // the connection ends after its answer
	started    bool
	done       bool // the handler has returned
	ends       bool // the answer is incomplete, so the connection ends at this place
	owner      *response
}

// order decides which requests of a connection are read, run and answered. It holds the requests from the one that is answered next
// to the one that was read last. Either all may run concurrently, except that the last one may wait for the others, or there is
// only one.
type order struct {
	entries []*entry
	limit   int  // of requests that are running or waiting for their answer
	closed  bool // no further request is read
}

// mayRead reports whether the next request may be read. A request is read only when it can start at once, except for one that must
// run alone, which is known only after it was read.
func (o *order) mayRead() bool {
	if o.closed || len(o.entries) >= o.limit {
		return false
	}
	return len(o.entries) == 0 || o.entries[len(o.entries)-1].concurrent
}

// add appends a request that was read. It is called only if mayRead returns true.
func (o *order) add(e *entry) {
	o.entries = append(o.entries, e)
	o.closed = o.closed || e.closes
}

// mayStart reports whether a request may run now.
func (o *order) mayStart(e *entry) bool {
	return !e.started && (e.concurrent || o.isFront(e))
}

// start marks a request as started if it may run now.
func (o *order) start(e *entry) bool {
	if !o.mayStart(e) {
		return false
	}
	e.started = true
	return true
}

// isFront reports whether the answer to a request may be written.
func (o *order) isFront(e *entry) bool { return len(o.entries) > 0 && o.entries[0] == e }

// pop removes the first request, whose answer has been written.
func (o *order) pop() {
	copy(o.entries, o.entries[1:])
	o.entries[len(o.entries)-1] = nil
	o.entries = o.entries[:len(o.entries)-1]
}

// endAt ends the order with a request whose answer is incomplete, and returns the requests whose answers cannot be delivered.
func (o *order) endAt(e *entry) []*entry {
	e.ends, o.closed = true, true
	for i, other := range o.entries {
		if other == e {
			return o.entries[i+1:]
		}
	}
	return nil
}

// isBehindEnd reports whether the answer to a request cannot be delivered because one before it is incomplete.
func (o *order) isBehindEnd(e *entry) bool {
	for _, other := range o.entries {
		if other == e {
			return false
		}
		if other.ends {
			return true
		}
	}
	return false
}

// dropWaiting removes and returns a request that has not started, which can only be the last one. It is treated as unread.
func (o *order) dropWaiting() *entry {
	o.closed = true
	n := len(o.entries) - 1
	if n < 0 || o.entries[n].started {
		return nil
	}
	dropped := o.entries[n]
	o.entries[n] = nil
	o.entries = o.entries[:n]
	return dropped
}

// closeWith reports whether the head of an answer must state that the connection closes. If one is to close, no further request is
// read, and the last of those that were read before closes the connection.
func (o *order) closeWith(e *entry, wanted bool) bool {
	o.closed = o.closed || wanted
	return o.closed && len(o.entries) > 0 && o.entries[len(o.entries)-1] == e
}

// ended reports whether the connection can be closed because all its requests have been answered.
func (o *order) ended() bool { return o.closed && len(o.entries) == 0 }
