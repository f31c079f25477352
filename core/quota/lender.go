package quota

import (
	"math"
	"time"

	"parsleyport/core"
)

const (
	// takeoverPeriod is how long units that an earlier lender has lent may be in use: lease, window of the holders and overlap of the two
	// lenders. The window of the holders is added to it.
	takeoverPeriod = Lease + takeoverOverlap
	// takeoverHoldOff is how long a new lender considers all unreported units as lent, since holders need about as long to find it.
	takeoverHoldOff = time.Second
	// silentAfter is the time after the last contact from which the demand of a holder no longer counts. It tolerates one lost exchange.
	silentAfter = 2500 * time.Millisecond
	// raiseDelay is how long a lender keeps to the lower bound after a limit was raised. By then each holder that has a lease has
	// been told the new bound, in proportion to which it gives up units if the limit is lowered again.
	raiseDelay = Lease + reclaimMargin
	// sweepInterval is how often silent holders are looked for.
	sweepInterval = 100 * time.Millisecond
	// minUsedWait is the shortest time for which holders are told that a limit is used up. At a tenant over its limit, units leave the
	// window all the time, and holders would ask for each of them.
	minUsedWait = 500 * time.Millisecond
	// maxHolders bounds the holders of a lender; further ones get no units.
	maxHolders = 8192
)

// Limits are the bounds of tenants in one revision of the configuration.
type Limits struct {
	Revision core.Revision
	Bound    func(core.TenantID) int // zero if the tenant has no limit
}

// Lender lends the units of each tenant's bound to holders. It is valid for one term of leadership and not safe for concurrent use.
type Lender struct {
	term      core.Term
	startedAt time.Duration
	span      time.Duration // longest of the holders
	takeover  Limits        // at the start of the term
	tenants   map[core.TenantID]*pool
	holders   map[core.NodeID]*holder
	sweptAt   time.Duration
}

// pool is the state of one tenant.
type pool struct {
	lent    int // to all holders, including silent and earlier incarnations of them
	live    int // to holders that are not silent
	demand  int // of holders that are not silent
	ahead   int // of holders that are not silent
	loans   map[core.NodeID]*loan
	bound   int           // that limits lent, zero for no limit
	raised  int           // bound that applies from raiseAt
	raiseAt time.Duration // zero if the bound is not to be raised

	assumed  int // units that the earlier lender had lent
	reported int // of those, reported by their holders
	hint     int // units in the pool of the earlier lender plus 1, according to a holder; zero if unknown
}

type holder struct {
	incarnation core.Incarnation
	sequence    uint64
	contactAt   time.Duration
	span        time.Duration
	silent      bool
	revision    core.Revision // up to which bounds were sent
	loans       map[core.TenantID]*loan
	former      []formerLoans
}

type loan struct {
	pool     *pool
	units    int // that the holder may have, used ones included
	allotted int // that the holder may use
	demand   int
	ahead    int
	base     int
	nextAt   time.Duration // when the oldest use leaves the window, zero without uses
}

// formerLoans are the units of an earlier incarnation of a holder.
type formerLoans struct {
	until time.Duration
	units map[*pool]int
}

// NewLender returns the lender of a term that began at a time. The limits must include each tenant that existed then.
func NewLender(now Time, term core.Term, span time.Duration, limits Limits) *Lender {
	return &Lender{
		term:      term,
		startedAt: now.Steady,
		span:      span,
		takeover:  limits,
		tenants:   make(map[core.TenantID]*pool),
		holders:   make(map[core.NodeID]*holder),
	}
}

// Exchange answers the request of a holder. It returns false if the request must not be answered: it is outdated, its holder knows a
// later lender, or there are too many holders.
func (l *Lender) Exchange(now Time, request Request, limits Limits) (Answer, bool) {
	at := now.Steady
	l.sweep(at)
	answer := Answer{
		Sequence: request.Sequence,
		Term:     l.term,
	}
	h := l.holders[request.Node]
	if request.Term > l.term || h != nil && (request.Incarnation < h.incarnation || request.Incarnation == h.incarnation && request.Sequence <= h.sequence) {
		return Answer{}, false
	}
	if !request.Full && (h == nil || h.incarnation != request.Incarnation) {
		answer.NeedFull = true
		return answer, true
	}
	if h == nil {
		if len(l.holders) >= maxHolders {
			return Answer{}, false
		}
		h = &holder{
			loans: make(map[core.TenantID]*loan),
		}
		l.holders[request.Node] = h
	}
	l.contact(at, h, request)
	for _, report := range request.Reports {
		l.record(at, request.Node, h, report, limits)
	}
	for _, report := range request.Reports {
		answer.Allotments = append(answer.Allotments, l.grant(at, h, report.Tenant))
	}
	if h.revision != limits.Revision {
		h.revision = limits.Revision
		answer.Allotments = append(answer.Allotments, l.changedBounds(at, h, request, limits)...)
	}
	return answer, true
}

// contact records a request of a holder.
func (l *Lender) contact(now time.Duration, h *holder, request Request) {
	if h.incarnation != request.Incarnation {
		l.retire(now, h)
		h.incarnation = request.Incarnation
	}
	h.sequence, h.contactAt, h.span = request.Sequence, now, request.Span
	l.span = max(l.span, request.Span)
	if h.silent {
		h.silent = false
		for _, each := range h.loans {
			each.count(1)
		}
	}
	if !request.Full {
		return
	}
	named := make(map[core.TenantID]bool, len(request.Reports))
	for _, report := range request.Reports {
		named[report.Tenant] = true
	}
	for tenant, each := range h.loans {
		if !named[tenant] {
			l.remove(request.Node, h, tenant, each)
		}
	}
}

// retire keeps the units of an earlier incarnation for as long as its uses count.
func (l *Lender) retire(now time.Duration, h *holder) {
	if len(h.loans) == 0 {
		return
	}
	former := formerLoans{
		until: now + h.span,
		units: make(map[*pool]int, len(h.loans)),
	}
	for _, each := range h.loans {
		if !h.silent {
			each.count(-1)
		}
		former.units[each.pool] = each.units
		each.units, each.allotted, each.demand, each.ahead = 0, 0, 0, 0
		if !h.silent {
			each.count(1)
		}
	}
	h.former = append(h.former, former)
}

// count adds a loan to the sums over live holders, or removes it with the factor -1.
func (l *loan) count(factor int) {
	l.pool.live += factor * l.units
	l.pool.demand += factor * l.demand
	l.pool.ahead += factor * l.ahead
}

func (l *Lender) remove(node core.NodeID, h *holder, tenant core.TenantID, each *loan) {
	if !h.silent {
		each.count(-1)
	}
	each.pool.lent -= each.units
	delete(each.pool.loans, node)
	delete(h.loans, tenant)
}

// record takes in the report of a live holder on one tenant.
func (l *Lender) record(now time.Duration, node core.NodeID, h *holder, report Report, limits Limits) {
	p := l.pool(now, report.Tenant, limits)
	each := h.loans[report.Tenant]
	if each == nil {
		each = &loan{
			pool: p,
		}
		h.loans[report.Tenant], p.loans[node] = each, each
	}
	held, demand, ahead := max(report.Held, 0), max(report.Demand, 0), max(report.Ahead, 0)
	if more := held - each.units; more > 0 { // lent by an earlier lender
		p.reported += more
		if report.Free > 0 && (p.hint == 0 || report.Free < p.hint) {
			p.hint = report.Free
		}
	}
	p.lent += held - each.units
	each.count(-1)
	each.units, each.allotted, each.demand, each.ahead, each.base, each.nextAt = held, report.Allotted, demand, ahead, report.Base, 0
	each.count(1)
	if report.Next > 0 {
		each.nextAt = now + report.Next
	}
}

// grant decides how many units a live holder has of a tenant from now on.
func (l *Lender) grant(now time.Duration, h *holder, tenant core.TenantID) Allotment {
	each := h.loans[tenant]
	p := each.pool
	told := max(p.bound, p.raised)
	if told == 0 {
		l.setUnits(each, max(each.units, each.demand+each.ahead), 0)
		return Allotment{
			Tenant: tenant,
			Units:  each.units,
		}
	}
	rest, expiring := l.unreported(now, p)
	free := p.bound - p.lent - rest
	units := min(p.share(each, p.bound-rest-(p.lent-p.live)), l.most(each, free, told))
	l.setUnits(each, units, told)
	granted := Allotment{
		Tenant: tenant,
		Units:  units,
		Base:   told,
		Free:   max(p.bound-p.lent-rest+expiring, 0),
	}
	if units < each.demand && p.demand+p.lent-p.live >= p.bound {
		granted.Used = p.untilNext(now, h.span)
	}
	return granted
}

// most returns how many units a holder may have at most. With more units lent than the bound, as after a lower limit or while a holder
// reports old uses by a slow clock, it keeps those that it still has a right to, in proportion to the bound.
func (l *Lender) most(each *loan, free, bound int) int {
	if free >= 0 {
		return each.units + free
	}
	if each.base > bound {
		return int(float64(each.allotted) * float64(bound) / float64(each.base))
	}
	return each.allotted
}

// setUnits records an answer. Until the next report, the holder may still have the units that it reported.
func (l *Lender) setUnits(each *loan, units, base int) {
	more := max(units-each.units, 0)
	each.units += more
	each.allotted, each.base = units, base
	each.pool.lent += more
	each.pool.live += more
}

// share returns the units that a holder should have of those available to live holders. Demand comes first, then the units ahead of
// it, of which a quarter stays in the pool for holders whose demand begins.
func (p *pool) share(each *loan, available int) int {
	if p.demand > available {
		fair := 0
		if available > 0 {
			fair = int(float64(available) * float64(each.demand) / float64(p.demand))
		}
		return min(each.demand, max(fair, 1))
	}
	spare := (available - p.demand) * 3 / 4
	if p.ahead <= spare {
		return each.demand + each.ahead
	}
	return each.demand + int(float64(spare)*float64(each.ahead)/float64(p.ahead))
}

// untilNext returns the time until a use of any holder leaves the window.
func (p *pool) untilNext(now, span time.Duration) time.Duration {
	wait := span
	for _, each := range p.loans {
		if each.nextAt > 0 {
			wait = min(wait, each.nextAt-now)
		}
	}
	return max(wait, minUsedWait)
}

// unreported returns how many units of an earlier lender are still considered as lent although no holder has reported them. They expire
// evenly, since after a loss of all processes nobody reports them. Those that were not in the pool of the earlier lender are certainly
// lent if a holder still knows about it, and do not expire early.
//
// It also returns the part that expires. A next lender may count it as unused too.
func (l *Lender) unreported(now time.Duration, p *pool) (rest, expiring int) {
	age, period := now-l.startedAt, takeoverPeriod+l.span
	if age >= period || p.assumed <= p.reported {
		return 0, 0
	}
	rest, lent := p.assumed-p.reported, 0
	if p.hint > 0 {
		lent = max(rest-(p.hint-1), 0)
	}
	expiring = rest - lent
	if age > takeoverHoldOff {
		expiring = int(math.Ceil(float64(expiring) * float64(period-age) / float64(period-takeoverHoldOff)))
	}
	return lent + expiring, expiring
}

// pool returns the state of a tenant with its bound brought up to date.
func (l *Lender) pool(now time.Duration, tenant core.TenantID, limits Limits) *pool {
	bound := limits.Bound(tenant)
	p := l.tenants[tenant]
	if p == nil {
		p = &pool{
			loans: make(map[core.NodeID]*loan),
			bound: bound,
		}
		if now-l.startedAt < takeoverPeriod+l.span {
			p.assumed = l.takeover.Bound(tenant)
		}
		l.tenants[tenant] = p
		return p
	}
	p.setBound(now, bound)
	return p
}

// setBound applies a lower bound at once and a higher one after raiseDelay. Without a limit, bound is zero.
func (p *pool) setBound(now time.Duration, bound int) {
	switch {
	case bound == p.bound || bound == 0 || p.bound == 0 || bound < p.bound:
		p.bound, p.raised, p.raiseAt = bound, 0, 0
	case bound != p.raised:
		p.raised, p.raiseAt = bound, now+raiseDelay
	case now >= p.raiseAt:
		p.bound, p.raised, p.raiseAt = bound, 0, 0
	}
}

// changedBounds returns the units of the tenants whose bounds have changed since the last answer to a holder.
func (l *Lender) changedBounds(now time.Duration, h *holder, request Request, limits Limits) []Allotment {
	named := make(map[core.TenantID]bool, len(request.Reports))
	for _, report := range request.Reports {
		named[report.Tenant] = true
	}
	var changed []Allotment
	for tenant, each := range h.loans {
		if named[tenant] {
			continue
		}
		if p := l.pool(now, tenant, limits); each.base != max(p.bound, p.raised) {
			changed = append(changed, l.grant(now, h, tenant))
		}
	}
	return changed
}

// sweep reclaims the units of silent holders and of earlier incarnations.
func (l *Lender) sweep(now time.Duration) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for node, h := range l.holders {
		l.sweepHolder(now, node, h)
		if len(h.loans) == 0 && len(h.former) == 0 && now-h.contactAt >= Lease+h.span+reclaimMargin {
			delete(l.holders, node)
		}
	}
	for tenant, p := range l.tenants {
		if len(p.loans) == 0 && p.lent == 0 && now-l.startedAt >= takeoverPeriod+l.span {
			delete(l.tenants, tenant)
		}
	}
}

func (l *Lender) sweepHolder(now time.Duration, node core.NodeID, h *holder) {
	for len(h.former) > 0 && now >= h.former[0].until {
		for p, units := range h.former[0].units {
			p.lent -= units
		}
		h.former = h.former[1:]
	}
	if !h.silent && now-h.contactAt >= silentAfter {
		for _, each := range h.loans {
			each.count(-1)
		}
		h.silent = true
	}
	if now-h.contactAt >= Lease+h.span+reclaimMargin {
		for tenant, each := range h.loans {
			l.remove(node, h, tenant, each)
		}
	}
}

// Holders returns the number of holders that have been heard of recently.
func (l *Lender) Holders() int {
	return len(l.holders)
}

// Lent returns the number of units of a tenant that holders may have.
func (l *Lender) Lent(tenant core.TenantID) int {
	if p := l.tenants[tenant]; p != nil {
		return p.lent
	}
	return 0
}
