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
	// maxPendingSums bounds the sums that wait at a node for its parent; calls of any further series are dropped.
	maxPendingSums = 4096
	// maxSeriesPerLink bounds the series that are named on one link; then all numbers are reassigned.
	maxSeriesPerLink = 8192
	// maxReportedMoves bounds the moves in one message.
	maxReportedMoves = 4096
	// maxChangedMoves bounds the moves in sums.ReportingChanges, so that a message exceeds the link's budget only slightly.
	maxChangedMoves = 8
	// sumsOverheadBytes is the approximate size of a message of sums without names and rows: frame, map and keys.
	sumsOverheadBytes = 16
)

// series identifies what a sum counts.
type series struct {
	Move       core.MoveID      `msgpack:"m"`
	DataCentre core.DataCentre  `msgpack:"d"`
	Service    core.ServiceName `msgpack:"s"`
	Route      core.RouteName   `msgpack:"r"`
	Release    core.Release     `msgpack:"v"`
}

// label sets the fields of a count that identify its series.
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

// sums carries the counts of the sender and the nodes below it since its last message on any link. Counts are never sent twice, so
// that a parent can add them up without deduplication. Series, Counts and Reporting are for a parent that cannot read rows, see
// accept. The keys of the other fields are short, since the message is sent every second.
type sums struct {
	Restart bool     `msgpack:"restart,omitempty"` // the numbers of the series start again at zero
	Series  []series `msgpack:"series,omitempty"`  // new series; they are numbered on the link in the order in which they are named
	// Names and Same also name new series. Each byte of Same is one series: bit i means that its name i equals that of the
	// series before; Names holds the others.
	Names []string `msgpack:"n,omitempty"`
	Same  []byte   `msgpack:"k,omitempty"`
	// Counts holds varints for each sum: number of the series, calls, failures, crashes, number of latency buckets, buckets.
	Counts []byte `msgpack:"counts,omitempty"`
	// Rows is a bit stream: the number of rows, then for each row the difference of its series number from the successor of the
	// previous row's, and its values.
	Rows []byte `msgpack:"w,omitempty"`
	// Reporting is the number of nodes that report on each move, the sender included. It replaces the last one if HasReporting is
	// set.
	HasReporting     bool                `msgpack:"reports,omitempty"`
	Reporting        map[core.MoveID]int `msgpack:"reporting,omitempty"`
	ReportingChanges map[core.MoveID]int `msgpack:"c,omitempty"` // numbers of reporting nodes that replace the last ones of their moves
	// InDoubt is the number of calls in messages that may not have arrived because their link was lost.
	InDoubt uint64 `msgpack:"in-doubt,omitempty"`
}

// pendingSum is what a node has counted or received from its children since it last sent a sum of the series.
type pendingSum struct {
	count     core.EvidenceCount
	since     time.Time // when the oldest of the counts was added
	lateUnits uint64    // lateness on the way to this node, in units of latenessUnit
}

// latenessAt returns how much longer than usual the oldest count has been on its way, in units of latenessUnit.
func (p pendingSum) latenessAt(now time.Time) uint64 {
	return p.lateUnits + uint64(max(0, now.Sub(p.since)-evidenceInterval)/latenessUnit)
}

// pendingSums holds the counts that a node has not sent to a parent yet.
type pendingSums struct {
	counts  map[series]pendingSum
	inDoubt uint64
	dropped uint64
}

func (p *pendingSums) add(now time.Time, count core.EvidenceCount, lateUnits uint64) {
	key := seriesOf(count)
	held, exists := p.counts[key]
	if !exists && len(p.counts) >= maxPendingSums {
		p.dropped++
		return
	}
	if !exists {
		held.since = now
	}
	held.count, held.lateUnits = sumOf(count, held.count), max(lateUnits, held.lateUnits)
	p.counts[key] = held
}

// addEvidence adds a count of this node or of a child; mu is held.
func (h *hub) addEvidence(now time.Time, count core.EvidenceCount, lateUnits uint64) {
	if h.relayID != "" {
		h.pendingSums.add(now, count, lateUnits)
		return
	}
	h.lateness.observe(now, count.Move, lateUnits)
	count.Node, count.Incarnation = core.NodeID(h.control)+"/"+core.NodeID(count.DataCentre), h.evidenceRun
	h.evidence.add(count)
}

// reportingNodes returns the number of nodes that report on each move: this node, those below it and, with includePeers, those of
// the other control instances.
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

// sumsDue moves pending sums into a message for a link and returns its approximate size in bytes. From then on they count as
// delivered; if the link is lost, addCallsInDoubt counts those that may not have been.
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
	for move := range message.ReportingChanges {
		size += len(move) + 3
	}
	if size == 0 && len(message.Counts) == 0 && !message.HasReporting && message.InDoubt == 0 {
		return nil, 0
	}
	return []outgoing{{
		kind:    typeSums,
		message: message,
	}}, size + sumsOverheadBytes
}

// fillReporting adds the numbers of reporting nodes that the other end was not sent; compact sends only those that changed.
func (h *hub) fillReporting(u *uplink, message *sums, compact bool) {
	reporting := h.reportingNodes(false)
	if maps.Equal(reporting, u.reporting) {
		return
	}
	if !compact {
		u.reporting, message.Reporting, message.HasReporting = reporting, reporting, true
		return
	}
	message.ReportingChanges = make(map[core.MoveID]int)
	for _, move := range append(slices.Collect(maps.Keys(reporting)), slices.Collect(maps.Keys(u.reporting))...) {
		if reporting[move] != u.reporting[move] && len(message.ReportingChanges) < maxChangedMoves {
			message.ReportingChanges[move] = reporting[move]
		}
	}
	u.reporting = withChanges(u.reporting, message.ReportingChanges)
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

// fillCounts moves pending sums into Series and Counts, for a parent that cannot read rows.
func (h *hub) fillCounts(u *uplink, message *sums) {
	keys := make([]series, 0, maxCountsPerFrame)
	for key := range h.pendingSums.counts {
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
	message.InDoubt, h.pendingSums.inDoubt = h.pendingSums.inDoubt, 0
}

// ensureSeriesCapacity starts the numbers of the series again at zero if the needed ones would exceed maxSeriesPerLink.
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

// removePending removes a pending sum that is about to be sent.
func (h *hub) removePending(u *uplink, key series) pendingSum {
	sum := h.pendingSums.counts[key]
	delete(h.pendingSums.counts, key)
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

// readCount decodes one sum of sums.Counts; remaining holds the bytes after it.
func readCount(from []byte) (number uint64, count core.EvidenceCount, remaining []byte, err error) {
	next := func() uint64 {
		n, size := binary.Uvarint(from)
		if size <= 0 {
			err = errors.Annotate(frame.ErrMalformed, "truncated sum")
			return 0
		}
		from = from[size:]
		return n
	}
	number = next()
	count.Calls, count.Failures, count.Crashes = next(), next(), next()
	buckets := next()
	if buckets > core.LatencyBuckets {
		return 0, count, nil, errors.Annotatef(frame.ErrMalformed, "sum has %d latency buckets", buckets)
	}
	for i := range buckets {
		count.Latency[i] = next()
	}
	return number, count, from, err
}

// handleSums adds the sums of a child; mu is held.
func (h *hub) handleSums(now time.Time, c *child, message sums) error {
	if message.Restart {
		c.series, c.rows = nil, nil
	}
	if len(c.series)+len(message.Series)+len(message.Same) > maxSeriesPerLink || len(message.Reporting) > maxReportedMoves {
		return errors.Annotate(frame.ErrMalformed, "message of sums has too many series or moves")
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
			return errors.Annotatef(frame.ErrMalformed, "sum refers to series %d of %d", number, len(c.series))
		}
		counts, remaining = append(counts, lateCount{count: c.series[number].label(count)}), unread
	}
	for _, each := range counts {
		h.addEvidence(now, each.count, each.lateUnits)
	}
	h.pendingSums.inDoubt += message.InDoubt
	if message.HasReporting {
		c.reporting = message.Reporting
	}
	if len(message.ReportingChanges) > 0 {
		if c.reporting = withChanges(c.reporting, message.ReportingChanges); len(c.reporting) > maxReportedMoves {
			return errors.Annotate(frame.ErrMalformed, "child reports on too many moves")
		}
	}
	h.publishAndWake()
	return nil
}

// pingSent and pongReceived track which sums the parent has received and when it was last in contact: it handles a ping after the sums that were sent before it.
func (u *uplink) pingSent(now time.Time) {
	u.pingsSentAt = append(u.pingsSentAt, now)
	u.callsBeforePings = append(u.callsBeforePings, u.callsSincePing)
	u.callsSincePing = 0
}

func (h *hub) pongReceived(u *uplink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(u.callsBeforePings) > 0 {
		u.callsBeforePings = u.callsBeforePings[1:]
		h.heardAt, u.pingsSentAt = u.pingsSentAt[0], u.pingsSentAt[1:]
	}
}

// addCallsInDoubt counts the calls of a lost link that the parent may not have received; mu is held. They are not sent again, since
// it may have received them.
func (h *hub) addCallsInDoubt(u *uplink) {
	for _, calls := range append(u.callsBeforePings, u.callsSincePing) {
		h.pendingSums.inDoubt += calls
	}
}
