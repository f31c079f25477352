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
	// relaySumsBytesPerSecond is how many bytes a second a link to a relay has for evidence. A relay hears 16 such links and has one to its own
	// parent, so evidence costs it 2,880 B/s at most; the rest of its 4 KB/s is for all other messages. Six open moves
	// with two routes and two releases fit in every second.
	relaySumsBytesPerSecond = 160
	// directSumsBytesPerSecond is that of a link to a control instance, whose sums are larger and of which a relay has one.
	directSumsBytesPerSecond = 2 * relaySumsBytesPerSecond
	// latenessUnit is the unit in which lateness is sent; the usual jitter of timers stays below it.
	latenessUnit = 250 * time.Millisecond
	// latenessWindow is how long a control instance holds a lateness against smaller ones of the same move: not all
	// children are late at the same time.
	latenessWindow = 5 * time.Second
	// stepPriorityWindow is how long after a step its move goes first: a node reports the step's calls after a second, and they have
	// to be at a control instance 3 s after the step.
	stepPriorityWindow = 4 * time.Second
	// stepPriorityAdvance is how much older the sums of another move have to be to go before one that has just taken a step.
	stepPriorityAdvance = 2 * time.Second
	// priorityBudgetRatio is the part of the budget that moves that have just taken a step may use outside of the turns.
	priorityBudgetRatio = 0.75
)

func (h *hub) sumsBytesPerSecond() int {
	if len(h.path) == 0 {
		return directSumsBytesPerSecond
	}
	return relaySumsBytesPerSecond
}

// recordSteps remembers which moves have got another share; mu is held.
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
			steps[o.Move] = h.steps[o.Move]
		}
	}
	h.steps = steps
}

func (h *hub) recentlyStepped(now time.Time, move core.MoveID) bool {
	return now.Sub(h.steps[move]) < stepPriorityWindow
}

// prioritySumsPending reports whether sums of a move that has just taken a step wait on a link that sends others in turns.
func (h *hub) prioritySumsPending(u *uplink, now time.Time) bool {
	if !u.backlogged {
		return false
	}
	for key := range h.pending.counts {
		if h.recentlyStepped(now, key.Move) {
			return true
		}
	}
	return false
}

// turns returns the pending series in the order in which they are sent: moves take turns by their oldest counts, and one that
// has just taken a step goes before others.
func (h *hub) pendingInSendOrder(now time.Time, priorityOnly bool) []series {
	ranks := make(map[core.MoveID]time.Time)
	keys := make([]series, 0, len(h.pending.counts))
	for key, sum := range h.pending.counts {
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

// fillRows fills a message up to the link's budget for one interval; the last message of a link takes more.
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
	message.InDoubt, h.pending.inDoubt = h.pending.inDoubt, 0
}

// sumsMode is how a message of sums comes to be sent.
type sumsMode int

const (
	sumsRegular sumsMode = iota
	sumsPriority
	sumsFinal
)

// charge spaces the messages so that they stay within the budget; what goes express delays the turns.
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

// rowCountOrder is the order of the code of the number of rows, which fills whole bytes.
const rowCountOrder = 4

// appendNames names a series by what differs from the one named before, and returns the bytes that it costs.
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
				return errors.Annotate(frame.ErrMalformed, "series without a name")
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

type lateCount struct {
	count core.EvidenceCount
	late  uint64
}

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
			return nil, errors.Annotatef(frame.ErrMalformed, "sum of series %d of %d", number, len(c.series))
		}
		c.rows[number] = reader.readRow(c.rows[number])
		count, late := c.rows[number].count()
		counts, next = append(counts, lateCount{
			count: c.series[number].label(count),
			late:  late,
		}), number+1
	}
	return counts, reader.err
}

// lateness is how much longer than usual the evidence of moves was on its way lately, in units of latenessUnit.
type lateness map[core.MoveID]latenessEntry

type latenessEntry struct {
	late uint64
	at   time.Time
}

func (l lateness) observe(now time.Time, move core.MoveID, late uint64) {
	held := l[move]
	switch {
	case late < held.late && now.Sub(held.at) < latenessWindow:
	case late == 0:
		delete(l, move)
	case len(l) < maxReportedMoves:
		l[move] = latenessEntry{
			late: late,
			at:   now,
		}
	}
}

func (l lateness) all() map[core.MoveID]uint64 {
	all := make(map[core.MoveID]uint64, len(l))
	for move, held := range l {
		all[move] = held.late
	}
	return all
}

// EvidenceLateness returns how much later than usual the oldest counts of a move arrived in the last seconds, because they waited
// for their turn on a link, or for a link.
func (s *Source) EvidenceLateness(move core.MoveID) time.Duration {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	late := s.hub.late[move].late
	for _, c := range s.hub.children {
		late = max(late, c.late[move])
	}
	return time.Duration(min(late, maxLatenessUnits)) * latenessUnit
}

// maxLatenessUnits bounds what a child can claim: an hour.
const maxLatenessUnits = uint64(time.Hour / latenessUnit)
