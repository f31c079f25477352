package distribution

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/frame"
)

const (
	// maxPending bounds the sums that wait at a node for its parent; calls of further series are not counted.
	maxPending = 4096
	// maxSeries bounds the series named on one link; then their numbers begin again.
	maxSeries = 8192
	// maxReporting bounds the moves in one message.
	maxReporting = 4096
)

// series is what a sum is counted by.
type series struct {
	Move       core.MoveID      `msgpack:"m"`
	DataCentre core.DataCentre  `msgpack:"d"`
	Service    core.ServiceName `msgpack:"s"`
	Route      core.RouteName   `msgpack:"r"`
	Release    core.Release     `msgpack:"v"`
}

func seriesOf(count core.EvidenceCount) series {
	return series{
		Move:       count.Move,
		DataCentre: count.DataCentre,
		Service:    count.Service,
		Route:      count.Route,
		Release:    count.Release,
	}
}

// sums carries what the sender and the nodes below it have counted since its last message on any link. Nothing in it is
// ever sent twice: a parent can add it up without knowing who counted.
type sums struct {
	Restart bool     `msgpack:"restart,omitempty"` // the numbers of the series begin again
	Series  []series `msgpack:"series,omitempty"`  // numbered on the link in the order in which they are named
	// Counts is a row of numbers for each sum: series, calls, failures, crashes, number of latency buckets, buckets.
	Counts []byte `msgpack:"counts,omitempty"`
	// Reporting is the number of nodes below that report on a move, the sender included; it replaces the last one if Reports.
	Reports   bool                `msgpack:"reports,omitempty"`
	Reporting map[core.MoveID]int `msgpack:"reporting,omitempty"`
	// InDoubt counts calls in messages whose arrival was not known when their link was lost.
	InDoubt uint64 `msgpack:"in-doubt,omitempty"`
}

// pendingSums are what a node has not yet passed to a parent.
type pendingSums struct {
	counts  map[series]core.EvidenceCount
	inDoubt uint64
	dropped uint64
}

func (p *pendingSums) add(count core.EvidenceCount) {
	key := seriesOf(count)
	held, exists := p.counts[key]
	if !exists && len(p.counts) >= maxPending {
		p.dropped++
		return
	}
	p.counts[key] = sumOf(count, held)
}

// addEvidence counts what this node or a child has reported.
func (h *hub) addEvidence(counts []core.EvidenceCount) {
	for _, count := range counts {
		if h.relay != "" {
			h.pending.add(count)
			continue
		}
		count.Node, count.Incarnation = core.NodeID(h.control)+"/"+core.NodeID(count.DataCentre), h.run
		h.evidence.add(count)
	}
}

// reporting returns for each move how many nodes report on it: this node, those below it and, if asked for, those of the
// other control instances.
func (h *hub) reporting(others bool) map[core.MoveID]int {
	sum := make(map[core.MoveID]int)
	for _, move := range h.ownMoves {
		sum[move]++
	}
	for _, c := range h.children {
		if c.hello.Kind == kindControl && !others {
			continue
		}
		for move, nodes := range c.reporting {
			sum[move] += nodes
		}
	}
	return sum
}

// sumsDue hands the pending sums over to a link. From then on they count as delivered; sumsLost tells if they may not be.
func (h *hub) sumsDue(u *uplink) []outgoing {
	var message sums
	if reporting := h.reporting(false); !maps.Equal(reporting, u.reporting) {
		u.reporting, message.Reporting, message.Reports = reporting, reporting, true
	}
	if u.kind == kindNode {
		h.takePending(u, &message)
	}
	if len(message.Counts) == 0 && !message.Reports && message.InDoubt == 0 {
		return nil
	}
	return []outgoing{{
		kind:    typeSums,
		message: message,
	}}
}

func (h *hub) takePending(u *uplink, message *sums) {
	keys := make([]series, 0, maxCountsPerFrame)
	for key := range h.pending.counts {
		if len(keys) == maxCountsPerFrame {
			break
		}
		keys = append(keys, key)
	}
	if len(u.series)+len(keys) > maxSeries {
		message.Restart = true
		clear(u.series)
	}
	for _, key := range keys {
		count := h.pending.counts[key]
		delete(h.pending.counts, key)
		number, named := u.series[key]
		if !named {
			number = uint64(len(u.series))
			u.series[key] = number
			message.Series = append(message.Series, key)
		}
		u.inDoubt += count.Calls
		message.Counts = appendCount(message.Counts, number, count)
	}
	message.InDoubt, h.pending.inDoubt = h.pending.inDoubt, 0
}

func appendCount(to []byte, number uint64, count core.EvidenceCount) []byte {
	buckets := core.LatencyBuckets
	for buckets > 0 && count.Latency[buckets-1] == 0 {
		buckets--
	}
	for _, n := range append([]uint64{number, count.Calls, count.Failures, count.Crashes, uint64(buckets)}, count.Latency[:buckets]...) {
		to = binary.AppendUvarint(to, n)
	}
	return to
}

// readCount returns the number of a sum's series, the sum and the bytes behind it.
func readCount(from []byte) (number uint64, count core.EvidenceCount, rest []byte, err error) {
	next := func() uint64 {
		n, size := binary.Uvarint(from)
		if size <= 0 {
			err = errors.Annotate(frame.ErrMalformed, "cut sum")
			return 0
		}
		from = from[size:]
		return n
	}
	number = next()
	count.Calls, count.Failures, count.Crashes = next(), next(), next()
	buckets := next()
	if buckets > core.LatencyBuckets {
		return 0, count, nil, errors.Annotatef(frame.ErrMalformed, "%d latency buckets", buckets)
	}
	for i := range buckets {
		count.Latency[i] = next()
	}
	return number, count, from, err
}

// takeSums adds a child's message.
func (h *hub) takeSums(c *child, message sums) error {
	if message.Restart {
		c.series = nil
	}
	if len(c.series)+len(message.Series) > maxSeries || len(message.Reporting) > maxReporting {
		return errors.Annotate(frame.ErrMalformed, "too many series or moves")
	}
	c.series = append(slices.Clip(c.series), message.Series...)
	var counts []core.EvidenceCount
	for rest := message.Counts; len(rest) > 0; {
		number, count, behind, err := readCount(rest)
		if err != nil {
			return err
		}
		if number >= uint64(len(c.series)) {
			return errors.Annotatef(frame.ErrMalformed, "sum of series %d of %d", number, len(c.series))
		}
		key := c.series[number]
		count.Move, count.DataCentre, count.Service, count.Route, count.Release = key.Move, key.DataCentre, key.Service, key.Route, key.Release
		counts, rest = append(counts, count), behind
	}
	h.addEvidence(counts)
	h.pending.inDoubt += message.InDoubt
	if message.Reports {
		c.reporting = message.Reporting
	}
	h.changed()
	return nil
}

// pinged and answered bracket what the parent has certainly taken: it handles a ping after the sums sent before it.
func (u *uplink) pinged() {
	u.awaiting = append(u.awaiting, u.inDoubt)
	u.inDoubt = 0
}

func (h *hub) answered(u *uplink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(u.awaiting) > 0 {
		u.awaiting = u.awaiting[1:]
	}
}

// sumsLost counts the calls that the parent may not have taken; mu is held. They are not sent again, since it may have.
func (h *hub) sumsLost(u *uplink) {
	for _, calls := range append(u.awaiting, u.inDoubt) {
		h.pending.inDoubt += calls
	}
}
