package quota

import (
	"time"

	"parsleyport/core"
)

// Request asks a lender for units and reports those that a holder has.
type Request struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	Sequence    uint64        // grows with each request of the incarnation
	Term        core.Term     // the highest term of a lender that has answered the holder
	Span        time.Duration // see Settings.Span
	Full        bool          // the holder holds no units of tenants without a report
	Reports     []Report
}

// Report is the state of one tenant at a holder.
type Report struct {
	Tenant   core.TenantID
	Held     int           // units that remain at the holder, which include the used ones
	Allotted int           // units that the holder may use; lower than Held if uses exceed it, as after the end of the lease
	Demand   int           // requests in the window, admitted or not, and those that wait
	Ahead    int           // further units wanted, for about the next second, or the window of a new tenant
	Next     time.Duration // until the oldest use leaves the window, zero without uses
	Base     int           // bound under which the units were lent
	Free     int           // Free of the last Allotment, plus 1; zero if unknown
}

// Answer states the units that a holder has from now on, for the tenants that it names. The others are unchanged.
type Answer struct {
	Sequence   uint64 // of the request
	Term       core.Term
	NeedFull   bool // the lender does not know the holder, which must send a full request; the answer renews nothing
	Allotments []Allotment
}

// Allotment is the state of one tenant in an Answer.
type Allotment struct {
	Tenant core.TenantID
	Units  int
	Base   int           // the lender's bound, zero if it knows no limit
	Free   int           // units in the pool, and those of an earlier lender that are probably unused
	Used   time.Duration // positive if the limit is used up: the time until units are available again
}
