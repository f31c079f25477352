package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/frame"
)

const (
	// relaySumsBytesPerSecond is the budget for evidence, in bytes a second, of a link to a relay. A relay has up to 16 such links
	// from its children and one to its own parent, which may be a control instance, so that evidence costs it at most 2,880 B/s of
	// the 4 KB/s for control traffic. The sums of six open moves with two routes and two releases fit in every second.
	relaySumsBytesPerSecond = 160
	// directSumsBytesPerSecond is the budget of a link to a control instance, whose sums are larger. A relay has at most one.
	directSumsBytesPerSecond = 2 * relaySumsBytesPerSecond
	// latenessUnit is the unit of lateness on the wire; it is longer than the usual jitter of timers.
	latenessUnit = 250 * time.Millisecond
	// latenessWindow is how long a control instance keeps the lateness of a move when smaller values follow, since not all children
	// are late at the same time.
	latenessWindow = 5 * time.Second
	// stepPriorityWindow is how long a move has priority after a step. A node reports the step's calls after a second, and they have
	// to reach a control instance within 3 s of the step.
	stepPriorityWindow = 4 * time.Second
	// stepPriorityAdvance is how much older the sums of another move have to be to be sent before those of a move with priority.
	stepPriorityAdvance = 2 * time.Second
	// priorityBudgetRatio is the part of the budget of one second that a priority message may use, see sumsMode.
	priorityBudgetRatio = 0.75
)

func (h *hub) sumsBytesPerSecond() int {
	if len(h.path) == 0 {
		return directSumsBytesPerSecond
	}
	return relaySumsBytesPerSecond
}

// recordSteps compares the overrides of the current and the next configuration, and records when each open move took its last step;
// mu is held.
func (h *hub) recordSteps(now time.Time, next *record.Configuration) {
	held := make(map[core.MoveID][]core.Weight)
	if h.current != nil {
		for _, o := range h.current.Overrides() {
			held[o.Move] = o.Weights
		}
	}
	steps := make(map[core.MoveID]time.Time)
	for _, o := range next.Overrides() {
		switch weights, known := held[o.Move]; {
		case !o.Open:
		case !known || !slices.Equal(weights, o.Weights):
			steps[o.Move] = now
		default:
			steps[o.Move] = h.lastStepAt[o.Move]
		}
	}
	h.lastStepAt = steps
}

// recentlyStepped reports whether a move has priority because it took a step within stepPriorityWindow.
func (h *hub) recentlyStepped(now time.Time, move core.MoveID) bool {
	return now.Sub(h.lastStepAt[move]) < stepPriorityWindow
}

// prioritySumsPending reports whether sums of a move with priority wait for a backlogged link.
func (h *hub) prioritySumsPending(u *uplink, now time.Time) bool {
	if !u.backlogged {
		return false
	}
	for key := range h.pendingSums.counts {
		if h.recentlyStepped(now, key.Move) {
			return true
		}
	}
	return false
}

// pendingInSendOrder returns the pending series in the order in which they are sent: those of the move with the oldest count first,
// where the counts of a move with priority are taken to be stepPriorityAdvance older.
func (h *hub) pendingInSendOrder(now time.Time, priorityOnly bool) []series {
	ranks := make(map[core.MoveID]time.Time)
	keys := make([]series, 0, len(h.pendingSums.counts))
	for key, sum := range h.pendingSums.counts {
		if priorityOnly && !h.recentlyStepped(now, key.Move) {
			continue
		}
		keys = append(keys, key)
		if rank, known := ranks[key.Move]; !known || sum.since.Before(rank) {
			ranks[key.Move] = sum.since
		}
	}
	for move, rank := range ranks {
		if h.recentlyStepped(now, move) {
			ranks[move] = rank.Add(-stepPriorityAdvance)
		}
	}
	slices.SortFunc(keys, func(a, b series) int {
		return cmp.Or(ranks[a.Move].Compare(ranks[b.Move]), slices.Compare(a.names(), b.names()))
	})
	return keys
}

func (s series) names() []string {
	return []string{string(s.Move), string(s.DataCentre), string(s.Service), string(s.Route), string(s.Release)}
}

// fillRows moves pending sums into a message, up to the link's budget for one second, or priorityBudgetRatio of it for a priority
// message. The last message of a link takes up to half of core.MaxFrameBytes.
func (h *hub) fillRows(u *uplink, message *sums, now time.Time, mode sumsMode) {
	limit := h.sumsBytesPerSecond() - sumsOverheadBytes
	switch mode {
	case sumsFinal:
		limit = core.MaxFrameBytes / 2
	case sumsPriority:
		limit = int(priorityBudgetRatio*float64(h.sumsBytesPerSecond())) - sumsOverheadBytes
	}
	keys := h.pendingInSendOrder(now, mode == sumsPriority)
	u.ensureSeriesCapacity(message, min(len(keys), maxCountsPerFrame))
	var rows bitWriter
	count, next := 0, uint64(0)
	for size := 0; count < len(keys) && count < maxCountsPerFrame && size+len(rows.bytes) < limit; count++ {
		key := keys[count]
		number, named := u.seriesNumbers[key]
		if !named {
			number = u.assignNumber(key)
			size += u.appendNames(message, key)
			u.rows = append(u.rows, row{})
		}
		sum := h.removePending(u, key)
		r := rowOf(sum.count, sum.latenessAt(now))
		rows.writeNumber(zigzag(number-next), 0)
		rows.writeRow(r, u.rows[number])
		u.rows[number], next = r, number+1
	}
	if count > 0 {
		var head bitWriter
		head.writeNumber(uint64(count), rowCountOrder)
		message.Rows = append(head.bytes, rows.bytes...)
	}
	if mode == sumsRegular {
		u.backlogged = count < len(keys)
	}
	message.InDoubt, h.pendingSums.inDoubt = h.pendingSums.inDoubt, 0
}

// sumsMode tells why a message of sums is sent.
type sumsMode int

const (
	sumsRegular  sumsMode = iota // at the regular interval
	sumsPriority                 // between two regular messages, only with sums of moves with priority
	sumsFinal                    // the last message of a link
)

// chargeBudget delays the next message so that the link stays within its budget. A priority message delays the regular ones.
func (h *hub) chargeBudget(u *uplink, now time.Time, size int, mode sumsMode) {
	cost := time.Duration(size) * time.Second / time.Duration(h.sumsBytesPerSecond())
	if mode == sumsPriority {
		u.prioritySumsPacer.sent(now)
		u.evidencePacer.next = u.evidencePacer.next.Add(cost)
		return
	}
	u.evidencePacer.sent(now)
	if affordableAt := now.Add(cost); affordableAt.After(u.evidencePacer.next) {
		u.evidencePacer.next = affordableAt
	}
}

// rowCountOrder is the order of the Golomb code of the number of rows, whose last byte is padded so that the rows begin at a byte.
const rowCountOrder = 4

// appendNames adds the names of a series that differ from those of the series named before, and returns their size in bytes.
func (u *uplink) appendNames(message *sums, key series) int {
	same, size := byte(0), 1
	for i, name := range key.names() {
		if name == u.lastNamed.names()[i] {
			same |= 1 << i
			continue
		}
		message.Names = append(message.Names, name)
		size += len(name) + 1
	}
	message.Same, u.lastNamed = append(message.Same, same), key
	return size
}

// readNames adds the series that the message names in Names and Same.
func (c *child) readNames(message sums) error {
	names := message.Names
	for _, same := range message.Same {
		var parts []string
		if len(c.series) > 0 {
			parts = c.series[len(c.series)-1].names()
		} else {
			parts = series{}.names()
		}
		for i := range parts {
			if same&(1<<i) != 0 {
				continue
			}
			if len(names) == 0 {
				return errors.Annotate(frame.ErrMalformed, "message of sums lacks a name of a series")
			}
			parts[i], names = names[0], names[1:]
		}
		c.series = append(c.series, series{
			Move:       core.MoveID(parts[0]),
			DataCentre: core.DataCentre(parts[1]),
			Service:    core.ServiceName(parts[2]),
			Route:      core.RouteName(parts[3]),
			Release:    core.Release(parts[4]),
		})
	}
	return nil
}

// lateCount is a received count and its lateness in units of latenessUnit.
type lateCount struct {
	count     core.EvidenceCount
	lateUnits uint64
}

// readRows decodes sums.Rows and updates the last row of each series.
func (c *child) readRows(bytes []byte) ([]lateCount, error) {
	if len(bytes) == 0 {
		return nil, nil
	}
	c.rows = append(c.rows, make([]row, len(c.series)-len(c.rows))...)
	reader := &bitReader{
		bytes: bytes,
	}
	rows := reader.readNumber(rowCountOrder)
	reader.bitPosition = (reader.bitPosition + 7) / 8 * 8
	var counts []lateCount
	for next := uint64(0); rows > 0 && reader.err == nil; rows-- {
		number := next + unzigzag(reader.readNumber(0))
		if number >= uint64(len(c.series)) {
			return nil, errors.Annotatef(frame.ErrMalformed, "sum refers to series %d of %d", number, len(c.series))
		}
		c.rows[number] = reader.readRow(c.rows[number])
		count, lateUnits := c.rows[number].count()
		counts, next = append(counts, lateCount{
			count:     c.series[number].label(count),
			lateUnits: lateUnits,
		}), number+1
	}
	return counts, reader.err
}

// lateness holds by move how much longer than usual its evidence has recently been on its way, in units of latenessUnit.
type lateness map[core.MoveID]latenessEntry

// latenessEntry is a lateness and the time at which it was observed.
type latenessEntry struct {
	lateUnits uint64
	at        time.Time
}

// observe records a lateness, unless a greater one of the last latenessWindow is held.
func (l lateness) observe(now time.Time, move core.MoveID, lateUnits uint64) {
	held := l[move]
	switch {
	case lateUnits < held.lateUnits && now.Sub(held.at) < latenessWindow:
	case lateUnits == 0:
		delete(l, move)
	case len(l) < maxReportedMoves:
		l[move] = latenessEntry{
			lateUnits: lateUnits,
			at:        now,
		}
	}
}

func (l lateness) all() map[core.MoveID]uint64 {
	all := make(map[core.MoveID]uint64, len(l))
	for move, held := range l {
		all[move] = held.lateUnits
	}
	return all
}

// EvidenceLateness returns how much later than usual the oldest counts of a move arrived within the last 5 s. Counts are late if they
// waited for the budget of a link or for a parent.
func (s *Source) EvidenceLateness(move core.MoveID) time.Duration {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	lateUnits := s.hub.lateness[move].lateUnits
	for _, c := range s.hub.children {
		lateUnits = max(lateUnits, c.latenessByMove[move])
	}
	return time.Duration(min(lateUnits, maxLatenessUnits)) * latenessUnit
}

// maxLatenessUnits limits the lateness that a child can report to an hour.
const maxLatenessUnits = uint64(time.Hour / latenessUnit)
