package distribution

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/frame"
)

const (
	// maxPendingSums bounds the sums that wait at a node for its parent; calls of further series are not counted.
	maxPendingSums = 4096
	// maxSeriesPerLink bounds the series named on one link; then their numbers begin again.
	maxSeriesPerLink = 8192
	// maxReportedMoves bounds the moves in one message.
	maxReportedMoves = 4096
	// maxChangedMoves bounds the numbers of reporting nodes in one message, so that it does not exceed the budget by much.
	maxChangedMoves = 8
	// sumsOverheadBytes is what a message of sums has besides its names and rows: frame, map and keys.
	sumsOverheadBytes = 16
)

// series is what a sum is counted by.
type series struct {
	Move       core.MoveID      `msgpack:"m"`
	DataCentre core.DataCentre  `msgpack:"d"`
	Service    core.ServiceName `msgpack:"s"`
	Route      core.RouteName   `msgpack:"r"`
	Release    core.Release     `msgpack:"v"`
}

// label names what a sum counts.
func (s series) label(count core.EvidenceCount) core.EvidenceCount {
	count.Move, count.DataCentre, count.Service, count.Route, count.Release = s.Move, s.DataCentre, s.Service, s.Route, s.Release
	return count
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
// ever sent twice: a parent can add it up without knowing who counted. Series, Counts and Reporting are for a parent whose
// accept does not say that it reads rows; the keys of the others are short, as the message is sent every second.
type sums struct {
	Restart bool     `msgpack:"restart,omitempty"` // the numbers of the series begin again
	Series  []series `msgpack:"series,omitempty"`  // numbered on the link in the order in which they are named
	// Names and Same name series too: the bits of a byte of Same tell which names are those of the series before.
	Names []string `msgpack:"n,omitempty"`
	Same  []byte   `msgpack:"k,omitempty"`
	// Counts is a row of numbers for each sum: series, calls, failures, crashes, number of latency buckets, buckets.
	Counts []byte `msgpack:"counts,omitempty"`
	// Rows is a bit stream: the number of rows, and for each the distance of its series from the one after the row before,
	// and its values.
	Rows []byte `msgpack:"w,omitempty"`
	// Reporting is the number of nodes below that report on a move, the sender included; it replaces the last one if Reports.
	Reports   bool                `msgpack:"reports,omitempty"`
	Reporting map[core.MoveID]int `msgpack:"reporting,omitempty"`
	Changed   map[core.MoveID]int `msgpack:"c,omitempty"` // numbers of reporting nodes that replace the last ones
	// InDoubt counts calls in messages whose arrival was not known when their link was lost.
	InDoubt uint64 `msgpack:"in-doubt,omitempty"`
}

// pendingSum is what a node has counted or heard of since it last sent a sum of the series.
type pendingSum struct {
	count core.EvidenceCount
	since time.Time
	late  uint64 // on the way to this node
}

// latenessAt returns how much longer than usual the oldest count has waited on its way, in units of latenessUnit.
func (p pendingSum) latenessAt(now time.Time) uint64 {
	return p.late + uint64(max(0, now.Sub(p.since)-evidenceInterval)/latenessUnit)
}

// pendingSums are what a node has not yet passed to a parent.
type pendingSums struct {
	counts  map[series]pendingSum
	inDoubt uint64
	dropped uint64
}

func (p *pendingSums) add(now time.Time, count core.EvidenceCount, late uint64) {
	key := seriesOf(count)
	held, exists := p.counts[key]
	if !exists && len(p.counts) >= maxPendingSums {
		p.dropped++
		return
	}
	if !exists {
		held.since = now
	}
	held.count, held.late = sumOf(count, held.count), max(late, held.late)
	p.counts[key] = held
}

// addEvidence counts what this node or a child has reported.
func (h *hub) addEvidence(now time.Time, count core.EvidenceCount, late uint64) {
	if h.relayID != "" {
		h.pending.add(now, count, late)
		return
	}
	h.late.observe(now, count.Move, late)
	count.Node, count.Incarnation = core.NodeID(h.control)+"/"+core.NodeID(count.DataCentre), h.evidenceRun
	h.evidence.add(count)
}

// reporting returns for each move how many nodes report on it: this node, those below it and, if asked for, those of the
// other control instances.
func (h *hub) reportingNodes(includePeers bool) map[core.MoveID]int {
	sum := make(map[core.MoveID]int)
	for _, move := range h.ownMoves {
		sum[move]++
	}
	for _, c := range h.children {
		if c.hello.Kind == kindControl && !includePeers {
			continue
		}
		for move, nodes := range c.reporting {
			sum[move] += nodes
		}
	}
	return sum
}

// sumsDue hands the pending sums whose turn it is over to a link, and returns about how many bytes that costs. From then on
// they count as delivered; addCallsInDoubt tells if they may not be.
func (h *hub) sumsDue(u *uplink, now time.Time, mode sumsMode) ([]outgoing, int) {
	var message sums
	compact := h.parentReadsRows && u.kind == kindNode
	h.fillReporting(u, &message, compact)
	switch {
	case compact:
		h.fillRows(u, &message, now, mode)
	case u.kind == kindNode:
		h.fillCounts(u, &message)
	}
	size := len(message.Rows) + len(message.Same)
	for _, name := range message.Names {
		size += len(name) + 1
	}
	for move := range message.Changed {
		size += len(move) + 3
	}
	if size == 0 && len(message.Counts) == 0 && !message.Reports && message.InDoubt == 0 {
		return nil, 0
	}
	return []outgoing{{
		kind:    typeSums,
		message: message,
	}}, size + sumsOverheadBytes
}

func (h *hub) fillReporting(u *uplink, message *sums, compact bool) {
	reporting := h.reportingNodes(false)
	if maps.Equal(reporting, u.reporting) {
		return
	}
	if !compact {
		u.reporting, message.Reporting, message.Reports = reporting, reporting, true
		return
	}
	message.Changed = make(map[core.MoveID]int)
	for _, move := range append(slices.Collect(maps.Keys(reporting)), slices.Collect(maps.Keys(u.reporting))...) {
		if reporting[move] != u.reporting[move] && len(message.Changed) < maxChangedMoves {
			message.Changed[move] = reporting[move]
		}
	}
	u.reporting = withChanges(u.reporting, message.Changed)
}

func withChanges(reporting, changed map[core.MoveID]int) map[core.MoveID]int {
	next := maps.Clone(reporting)
	if next == nil {
		next = make(map[core.MoveID]int)
	}
	maps.Copy(next, changed)
	maps.DeleteFunc(next, func(_ core.MoveID, nodes int) bool { return nodes == 0 })
	return next
}

func (h *hub) fillCounts(u *uplink, message *sums) {
	keys := make([]series, 0, maxCountsPerFrame)
	for key := range h.pending.counts {
		if len(keys) == maxCountsPerFrame {
			break
		}
		keys = append(keys, key)
	}
	u.ensureSeriesCapacity(message, len(keys))
	for _, key := range keys {
		number, named := u.seriesNumbers[key]
		if !named {
			number, u.lastNamed = u.assignNumber(key), key
			message.Series = append(message.Series, key)
		}
		message.Counts = appendCount(message.Counts, number, h.removePending(u, key).count)
	}
	message.InDoubt, h.pending.inDoubt = h.pending.inDoubt, 0
}

// evictOldest begins the numbers of the series again if there may not be enough of them.
func (u *uplink) ensureSeriesCapacity(message *sums, needed int) {
	if len(u.seriesNumbers)+needed > maxSeriesPerLink {
		message.Restart, u.rows, u.lastNamed = true, nil, series{}
		clear(u.seriesNumbers)
	}
}

func (u *uplink) assignNumber(key series) uint64 {
	number := uint64(len(u.seriesNumbers))
	u.seriesNumbers[key] = number
	return number
}

// take removes a sum that is about to be sent.
func (h *hub) removePending(u *uplink, key series) pendingSum {
	sum := h.pending.counts[key]
	delete(h.pending.counts, key)
	u.callsSincePing += sum.count.Calls
	return sum
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
func readCount(from []byte) (number uint64, count core.EvidenceCount, remaining []byte, err error) {
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

// handleSums adds a child's message.
func (h *hub) handleSums(now time.Time, c *child, message sums) error {
	if message.Restart {
		c.series, c.rows = nil, nil
	}
	if len(c.series)+len(message.Series)+len(message.Same) > maxSeriesPerLink || len(message.Reporting) > maxReportedMoves {
		return errors.Annotate(frame.ErrMalformed, "too many series or moves")
	}
	c.series = append(slices.Clip(c.series), message.Series...)
	if err := c.readNames(message); err != nil {
		return err
	}
	counts, err := c.readRows(message.Rows)
	if err != nil {
		return err
	}
	for remaining := message.Counts; len(remaining) > 0; {
		number, count, unread, err := readCount(remaining)
		if err != nil {
			return err
		}
		if number >= uint64(len(c.series)) {
			return errors.Annotatef(frame.ErrMalformed, "sum of series %d of %d", number, len(c.series))
		}
		counts, remaining = append(counts, lateCount{count: c.series[number].label(count)}), unread
	}
	for _, each := range counts {
		h.addEvidence(now, each.count, each.late)
	}
	h.pending.inDoubt += message.InDoubt
	if message.Reports {
		c.reporting = message.Reporting
	}
	if len(message.Changed) > 0 {
		if c.reporting = withChanges(c.reporting, message.Changed); len(c.reporting) > maxReportedMoves {
			return errors.Annotate(frame.ErrMalformed, "too many moves")
		}
	}
	h.publishAndWake()
	return nil
}

// pinged and answered bracket what the parent has certainly taken: it handles a ping after the sums sent before it.
func (u *uplink) pingSent() {
	u.callsBeforePings = append(u.callsBeforePings, u.callsSincePing)
	u.callsSincePing = 0
}

func (h *hub) pongReceived(u *uplink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(u.callsBeforePings) > 0 {
		u.callsBeforePings = u.callsBeforePings[1:]
	}
}

// addCallsInDoubt counts the calls that the parent may not have taken; mu is held. They are not sent again, since it may have.
func (h *hub) addCallsInDoubt(u *uplink) {
	for _, calls := range append(u.callsBeforePings, u.callsSincePing) {
		h.pending.inDoubt += calls
	}
}
