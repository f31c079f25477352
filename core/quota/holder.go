package quota

import (
	"time"

	"parsleyport/core"
)

const (
	// MinExchangeInterval is the shortest time between two requests of a holder.
	MinExchangeInterval = 20 * time.Millisecond
	// exchangeInterval is the time between two requests of a holder whose tenants have the units that they need. It renews the lease,
	// which tolerates two lost exchanges.
	exchangeInterval = time.Second

	// maxTenants bounds the tenants that a holder knows at a time. It is the highest number of tenants in a configuration.
	maxTenants = 4096
	// minAhead is the number of units that a holder wants in addition to those in use, so that a few requests of a tenant with
	// little demand need no exchange.
	minAhead = 2
	// recentBuckets and recentsPerSecond define the time over which a rise of the demand is noticed: half a second at a window of 5 s.
	recentBuckets = 5
	// refusalWindow is how long a refused request counts as demand. After a hot period, a longer one would keep units at nodes
	// that no longer need them.
	refusalWindow = time.Second
	// minRateTime is the shortest time by which the rate of a new tenant is judged.
	minRateTime = time.Second
	// plentifulDivisor is the divisor of the bound above which the lender has plenty of units left.
	plentifulDivisor = 4
	// minBand is the number of surplus units that a holder keeps, so that small changes of demand cost no bytes.
	minBand = 4
	// maxUsedWait is how long a holder asks for no more units of a tenant after the lender has reported that its limit is used up.
	// Other holders return units within exchangeInterval, earlier than uses leave the window.
	maxUsedWait = 500 * time.Millisecond
	// retryWait is how long a holder waits before it asks again for units that the lender did not have.
	retryWait = 50 * time.Millisecond
)

// Verdict is the decision on one request.
type Verdict int

// The verdicts on a request.
const (
	// Admitted means that the request has taken one unit.
	Admitted Verdict = iota
	// Used means that the lender has reported that the limit is used up.
	Used
	// Missing means that the holder has no unit and that the lender may have some.
	Missing
)

// Holder admits the requests of one node with the units that a lender has lent to it. It is not safe for concurrent use.
type Holder struct {
	settings    Settings
	node        core.NodeID
	incarnation core.Incarnation
	tenants     map[core.TenantID]*allotment
	term        core.Term // highest of the lenders that have answered
	sequence    uint64
	lentAt      Time // when the last answered request was sent
	hasLease    bool
	needFull    bool // the next request must name all units
	pending     bool // a request is unanswered
	pendingAt   Time
	asked       []asked       // the tenants in the pending request
	lastSent    time.Duration // of the last request
	askAt       time.Duration // when a tenant that runs short may ask, zero if none does
}

// allotment holds the units of one tenant.
type allotment struct {
	since      time.Duration // when the tenant was first used
	uses       count
	refusals   count
	units      int           // lent by the lender
	base       int           // bound under which they were lent, zero if the lender knows no limit
	bound      int           // at this node
	freeHint   int           // see Report.Free
	lenderView int           // the most units that the lender may count for this holder
	demandSent int           // last reported
	waiting    int           // requests that wait for units
	low        int           // units left at which more are requested
	wantedSent int           // last requested
	aheadAt    time.Duration // no request for more units ahead of the demand before this
	askAt      time.Duration // no request for units that are missing before this
	usedUntil  time.Duration // the limit is used up until then, according to the lender
}

type asked struct {
	tenant core.TenantID
	held   int
}

// NewHolder returns a holder without units.
func NewHolder(settings Settings, node core.NodeID, incarnation core.Incarnation) *Holder {
	return &Holder{
		settings:    settings,
		node:        node,
		incarnation: incarnation,
		tenants:     make(map[core.TenantID]*allotment),
		needFull:    true,
		lastSent:    -exchangeInterval,
	}
}

// Active reports whether the holder has units or uses that an exchange must keep up to date.
func (h *Holder) Active() bool {
	return len(h.tenants) > 0
}

// Take decides on one request of a tenant whose bound at this node is positive. After Used it also returns when units are expected.
// After Missing the request may wait; see Wait.
func (h *Holder) Take(now Time, tenant core.TenantID, bound int) (Verdict, time.Duration) {
	h.checkLease(now)
	a := h.tenants[tenant]
	if a == nil {
		if len(h.tenants) >= maxTenants {
			return Missing, 0
		}
		a = h.newAllotment(now.Steady)
		h.tenants[tenant] = a
	}
	a.advance(now.Steady)
	a.setBound(bound)
	limit := h.limit(a)
	if a.uses.sum < limit {
		a.uses.add()
		if limit-a.uses.sum <= a.low && now.Steady >= a.aheadAt {
			h.ask(now.Steady)
		}
		return Admitted, 0
	}
	h.ask(max(a.askAt, now.Steady))
	if now.Steady >= a.usedUntil || !h.hasLease {
		return Missing, 0
	}
	a.refusals.add()
	expected := max(a.usedUntil, now.Steady+MinExchangeInterval)
	if limit > 0 && a.uses.sum > 0 {
		expected = max(min(expected, a.uses.nextExpiry()), now.Steady+MinExchangeInterval)
	}
	return Used, expected
}

// GiveBack returns the unit of a request that was admitted at a time and reached no backend server.
func (h *Holder) GiveBack(tenant core.TenantID, at time.Duration) {
	if a := h.tenants[tenant]; a != nil {
		a.uses.remove(at)
	}
}

// Settle keeps the unit of a request that was admitted at a time and has reached a backend server by now. It counts from now on, since
// it is not known when it did.
func (h *Holder) Settle(now Time, tenant core.TenantID, at time.Duration) {
	if a := h.tenants[tenant]; a != nil {
		a.advance(now.Steady)
		a.uses.remove(at)
		a.uses.add()
	}
}

// Wait counts a request that waits for a unit as demand until Leave.
func (h *Holder) Wait(tenant core.TenantID) {
	if a := h.tenants[tenant]; a != nil {
		a.waiting++
	}
}

// ask requests an exchange at a time.
func (h *Holder) ask(at time.Duration) {
	at = max(at, 1) // zero means none
	if h.askAt == 0 || at < h.askAt {
		h.askAt = at
	}
}

// Leave ends the wait of a request. A refused one counts as demand for a while.
func (h *Holder) Leave(now Time, tenant core.TenantID, refused bool) {
	if a := h.tenants[tenant]; a != nil && a.waiting > 0 {
		a.waiting--
		if refused {
			a.advance(now.Steady)
			a.refusals.add()
		}
	}
}

// Disconnected tells the holder that a pending request will not be answered. The next one is due at once.
func (h *Holder) Disconnected() {
	if h.pending {
		h.ask(h.lastSent)
	}
	h.pending, h.needFull = false, true
}

// Due returns the monotonic time at which the next request is to be sent, and false if none is, as long as the holder is inactive or
// a request is pending.
func (h *Holder) Due(now Time) (time.Duration, bool) {
	h.checkLease(now)
	if h.pending || !h.Active() {
		return 0, false
	}
	due := h.lastSent + exchangeInterval
	if h.askAt > 0 {
		due = min(due, max(h.askAt, h.lastSent+MinExchangeInterval))
	}
	return due, true
}

// Request returns the next request to the lender, and gives up the units that the holder returns with it.
func (h *Holder) Request(now Time) Request {
	h.checkLease(now)
	h.sequence++
	h.pending, h.pendingAt, h.lastSent, h.askAt = true, now, now.Steady, 0
	h.asked = h.asked[:0]
	request := Request{
		Node:        h.node,
		Incarnation: h.incarnation,
		Sequence:    h.sequence,
		Term:        h.term,
		Span:        h.settings.Span(),
		Full:        h.needFull,
	}
	for tenant, a := range h.tenants {
		a.advance(now.Steady)
		report, changed := h.report(now.Steady, tenant, a)
		if !changed && !h.needFull {
			continue
		}
		a.demandSent = report.Demand
		h.asked = append(h.asked, asked{
			tenant: tenant,
			held:   report.Held,
		})
		request.Reports = append(request.Reports, report)
	}
	h.needFull = false
	return request
}

// report returns the report on a tenant and whether it must be sent. It gives up surplus units.
func (h *Holder) report(now time.Duration, tenant core.TenantID, a *allotment) (Report, bool) {
	demand := min(a.uses.sum+a.waiting+a.refusals.sum, a.bound)
	ahead := 0
	if demand > 0 {
		ahead = h.ahead(a, demand)
	}
	limit, wanted := h.limit(a), min(h.expectedUse(now, a, demand)+ahead, a.bound)
	band := 0
	if demand > 0 && a.freeHint > a.bound/plentifulDivisor {
		band = max(minBand, wanted/8)
	}
	if limit > wanted+band {
		limit = wanted
	}
	held := max(limit, a.uses.sum)
	short := limit < wanted && limit-a.uses.sum <= ahead/2 && now >= a.aheadAt
	missing := limit < demand && now >= a.askAt
	if a.low = ahead / 4; a.waiting > 0 && limit < demand && !missing {
		h.ask(a.askAt)
	}
	changed := short || missing || a.lenderView > held+band || a.lenderView < held ||
		demand == 0 || max(demand-a.demandSent, a.demandSent-demand) > max(minBand, demand/4)
	if !changed && !h.needFull {
		return Report{}, false
	}
	if bounded := a.base; bounded == 0 || a.bound < bounded {
		a.base = a.bound
	}
	a.units, a.wantedSent = limit, wanted
	report := Report{
		Tenant:   tenant,
		Held:     held,
		Allotted: limit,
		Demand:   demand,
		Ahead:    wanted - demand,
		Base:     a.base,
		Free:     a.freeHint,
	}
	if a.uses.sum > 0 {
		report.Next = max(a.uses.nextExpiry()-now, 0)
	}
	return report, true
}

// expectedUse returns the use of a whole window at the present rate. For a tenant that is new at this node it is more than the use so
// far. With units for it, the holder goes on through the loss of the lender soon after the traffic has begun; later, the uses that
// leave the window suffice. While units are scarce at the lender, only the demand so far counts.
func (h *Holder) expectedUse(now time.Duration, a *allotment, demand int) int {
	age := max(now-a.since, minRateTime)
	if age >= h.settings.Window || a.freeHint <= a.bound/plentifulDivisor {
		return demand
	}
	return int(int64(demand) * int64(h.settings.Window) / int64(age))
}

// ahead returns the number of units for about one second at the rate of the window or of the last half second, if that is higher.
func (h *Holder) ahead(a *allotment, demand int) int {
	window := h.settings.Window
	perSecond := (demand*int(time.Second) + int(window) - 1) / int(window)
	recent := a.uses.recent(recentBuckets) + a.waiting
	perSecond = max(perSecond, recent*int(time.Second/(recentBuckets*h.settings.bucket())))
	return min(max(perSecond, minAhead), a.bound)
}

// Answer takes in the answer to the pending request. It returns false if the holder must not use the lender any more.
func (h *Holder) Answer(now Time, answer Answer) bool {
	if !h.pending || answer.Sequence != h.sequence {
		return true
	}
	if answer.Term < h.term {
		return false // an earlier lender, which does not know the returned units of this holder
	}
	h.pending = false
	if answer.NeedFull {
		h.term, h.needFull = answer.Term, true
		h.ask(now.Steady)
		return true
	}
	if !now.Within(Lease, h.pendingAt) {
		h.needFull = true
		h.ask(now.Steady)
		return true
	}
	h.checkLease(now)
	h.term, h.lentAt, h.hasLease = answer.Term, h.pendingAt, true
	for _, lent := range answer.Allotments {
		if a := h.tenants[lent.Tenant]; a != nil {
			h.apply(now.Steady, a, lent)
		}
	}
	h.forgetIdle(now.Steady, answer)
	return true
}

func (h *Holder) apply(now time.Duration, a *allotment, lent Allotment) {
	a.advance(now)
	held := max(h.limit(a), a.uses.sum)
	a.units, a.base = lent.Units, lent.Base
	a.lenderView = max(held, lent.Units)
	a.freeHint = lent.Free + 1
	a.usedUntil, a.askAt, a.aheadAt = 0, 0, 0
	if lent.Units < a.wantedSent { // the lender has no more at present
		a.askAt, a.aheadAt = now+retryWait, now+maxUsedWait
	}
	if lent.Used > 0 {
		a.usedUntil, a.askAt = now+lent.Used, now+min(lent.Used/2, maxUsedWait)
	}
	if a.waiting > 0 && a.uses.sum >= lent.Units {
		h.ask(max(a.askAt, now))
	}
}

// forgetIdle removes the tenants that the lender knows to need nothing.
func (h *Holder) forgetIdle(now time.Duration, answer Answer) {
	for _, each := range h.asked {
		a := h.tenants[each.tenant]
		if a == nil || each.held > 0 || a.waiting > 0 || h.limit(a) > 0 {
			continue
		}
		if a.advance(now); a.uses.sum+a.refusals.sum == 0 {
			delete(h.tenants, each.tenant)
		}
	}
}

// checkLease ends the lease once it is over by one of the clocks. No unit can be used then, and the next request gives all of them up
// that are not in use.
func (h *Holder) checkLease(now Time) {
	if h.hasLease && !now.Within(Lease, h.lentAt) {
		h.hasLease, h.needFull = false, true
	}
}

func (h *Holder) newAllotment(now time.Duration) *allotment {
	bucket := h.settings.bucket()
	return &allotment{
		since:    now,
		uses:     newCount(h.settings.Window, bucket),
		refusals: newCount(refusalWindow, max(bucket, refusalWindow/10)),
	}
}

// limit returns how many uses the window may contain. Units that were lent under a higher bound count in proportion, so that a lower
// limit is kept even while the lender cannot take units back.
func (h *Holder) limit(a *allotment) int {
	if !h.hasLease {
		return 0
	}
	units := a.units
	if a.base > a.bound {
		units = int(float64(units) * float64(a.bound) / float64(a.base))
	}
	return min(units, a.bound)
}

func (a *allotment) advance(now time.Duration) {
	a.uses.advance(now)
	a.refusals.advance(now)
}

// setBound records the bound at this node. A bound that was raised and lowered again may have let the lender lend more to others, so
// that the highest one counts as the base.
func (a *allotment) setBound(bound int) {
	if a.bound == bound {
		return
	}
	if a.base > 0 {
		a.base = max(a.base, a.bound)
	}
	a.bound, a.usedUntil, a.askAt, a.aheadAt = bound, 0, 0, 0
}

// Held returns the number of units of a tenant that the holder may use, used ones included.
func (h *Holder) Held(tenant core.TenantID) int {
	if a := h.tenants[tenant]; a != nil {
		return h.limit(a)
	}
	return 0
}

// HeldIf returns the sum of Held over the tenants for which a function returns true.
func (h *Holder) HeldIf(included func(core.TenantID) bool) int {
	sum := 0
	for tenant, a := range h.tenants {
		if included(tenant) {
			sum += h.limit(a)
		}
	}
	return sum
}

// SetBound applies the bound of a tenant after a change of the configuration.
func (h *Holder) SetBound(tenant core.TenantID, bound int) {
	if a := h.tenants[tenant]; a != nil && bound > 0 {
		a.setBound(bound)
	}
}
