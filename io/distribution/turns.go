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
	// sumsBudget is how many bytes a second a link to a relay has for evidence. A relay hears 16 such links and has one to its own
	// parent, so evidence costs it 2,880 B/s at most; the rest of its 4 KB/s is for all other messages. Six open moves
	// with two routes and two releases fit in every second.
	sumsBudget = 160
	// directBudget is that of a link to a control instance, whose sums are larger and of which a relay has one.
	directBudget = 2 * sumsBudget
	// lateUnit is the unit in which lateness is sent; the usual jitter of timers stays below it.
	lateUnit = 250 * time.Millisecond
	// lateWindow is how long a control instance holds a lateness against smaller ones of the same move: not all
	// children are late at the same time.
	lateWindow = 5 * time.Second
	// stepWindow is how long after a step its move goes first: a node reports the step's calls after a second, and they have
	// to be at a control instance 3 s after the step.
	stepWindow = 4 * time.Second
	// stepAdvance is how much older the sums of another move have to be to go before one that has just taken a step.
	stepAdvance = 2 * time.Second
	// expressPart is the part of the budget that moves that have just taken a step may use outside of the turns.
	expressPart = 0.75
)

func (h *hub) sumsBudget() int {
	if len(h.path) == 0 {
		return directBudget
	}
	return sumsBudget
}

// noteSteps remembers which moves have got another share; mu is held.
func (h *hub) noteSteps(now time.Time, next *record.Configuration) {
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

func (h *hub) stepped(now time.Time, move core.MoveID) bool {
	return now.Sub(h.steps[move]) < stepWindow
}

// expressWaits reports whether sums of a move that has just taken a step wait on a link that sends others in turns.
func (h *hub) expressWaits(u *uplink, now time.Time) bool {
	if !u.crowded {
		return false
	}
	for key := range h.pending.counts {
		if h.stepped(now, key.Move) {
			return true
		}
	}
	return false
}

// turns returns the pending series in the order in which they are sent: moves take turns by their oldest counts, and one that
// has just taken a step goes before others.
func (h *hub) turns(now time.Time, express bool) []series {
	ranks := make(map[core.MoveID]time.Time)
	keys := make([]series, 0, len(h.pending.counts))
	for key, sum := range h.pending.counts {
		if express && !h.stepped(now, key.Move) {
			continue
		}
		keys = append(keys, key)
		if rank, known := ranks[key.Move]; !known || sum.since.Before(rank) {
			ranks[key.Move] = sum.since
		}
	}
	for move, rank := range ranks {
		if h.stepped(now, move) {
			ranks[move] = rank.Add(-stepAdvance)
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

// takeRows fills a message up to the link's budget for one interval; the last message of a link takes more.
func (h *hub) takeRows(u *uplink, message *sums, now time.Time, pace sumsPace) {
	limit := h.sumsBudget() - sumsOverhead
	switch pace {
	case lastOfLink:
		limit = core.MaxFrameBytes / 2
	case express:
		limit = int(expressPart*float64(h.sumsBudget())) - sumsOverhead
	}
	keys := h.turns(now, pace == express)
	u.makeRoom(message, min(len(keys), maxCountsPerFrame))
	var rows bitWriter
	count, next := 0, uint64(0)
	for size := 0; count < len(keys) && count < maxCountsPerFrame && size+len(rows.bytes) < limit; count++ {
		key := keys[count]
		number, named := u.series[key]
		if !named {
			number = u.name(key)
			size += u.sendName(message, key)
			u.rows = append(u.rows, row{})
		}
		sum := h.take(u, key)
		r := rowOf(sum.count, sum.lateAt(now))
		rows.number(zigzag(number-next), 0)
		rows.row(r, u.rows[number])
		u.rows[number], next = r, number+1
	}
	if count > 0 {
		var head bitWriter
		head.number(uint64(count), headOrder)
		message.Rows = append(head.bytes, rows.bytes...)
	}
	if pace == inTurn {
		u.crowded = count < len(keys)
	}
	message.InDoubt, h.pending.inDoubt = h.pending.inDoubt, 0
}

// sumsPace is how a message of sums comes to be sent.
type sumsPace int

const (
	inTurn sumsPace = iota
	express
	lastOfLink
)

// charge spaces the messages so that they stay within the budget; what goes express delays the turns.
func (h *hub) charge(u *uplink, now time.Time, size int, pace sumsPace) {
	cost := time.Duration(size) * time.Second / time.Duration(h.sumsBudget())
	if pace == express {
		u.expressing.sent(now)
		u.evidencing.next = u.evidencing.next.Add(cost)
		return
	}
	u.evidencing.sent(now)
	if paid := now.Add(cost); paid.After(u.evidencing.next) {
		u.evidencing.next = paid
	}
}

// headOrder is the order of the code of the number of rows, which fills whole bytes.
const headOrder = 4

// sendName names a series by what differs from the one named before, and returns the bytes that it costs.
func (u *uplink) sendName(message *sums, key series) int {
	same, size := byte(0), 1
	for i, name := range key.names() {
		if name == u.named.names()[i] {
			same |= 1 << i
			continue
		}
		message.Names = append(message.Names, name)
		size += len(name) + 1
	}
	message.Same, u.named = append(message.Same, same), key
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
	rows := reader.number(headOrder)
	reader.at = (reader.at + 7) / 8 * 8
	var counts []lateCount
	for next := uint64(0); rows > 0 && reader.err == nil; rows-- {
		number := next + unzigzag(reader.number(0))
		if number >= uint64(len(c.series)) {
			return nil, errors.Annotatef(frame.ErrMalformed, "sum of series %d of %d", number, len(c.series))
		}
		c.rows[number] = reader.row(c.rows[number])
		count, late := c.rows[number].count()
		counts, next = append(counts, lateCount{
			count: c.series[number].label(count),
			late:  late,
		}), number+1
	}
	return counts, reader.err
}

// lateness is how much longer than usual the evidence of moves was on its way lately, in units of lateUnit.
type lateness map[core.MoveID]noted

type noted struct {
	late uint64
	at   time.Time
}

func (l lateness) note(now time.Time, move core.MoveID, late uint64) {
	held := l[move]
	switch {
	case late < held.late && now.Sub(held.at) < lateWindow:
	case late == 0:
		delete(l, move)
	case len(l) < maxReporting:
		l[move] = noted{
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

// EvidenceLate returns how much later than usual the oldest counts of a move arrived in the last seconds, because they waited
// for their turn on a link, or for a link.
func (s *Source) EvidenceLate(move core.MoveID) time.Duration {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	late := s.hub.late[move].late
	for _, c := range s.hub.children {
		late = max(late, c.late[move])
	}
	return time.Duration(min(late, maxLate)) * lateUnit
}

// maxLate bounds what a child can claim: an hour.
const maxLate = uint64(time.Hour / lateUnit)
