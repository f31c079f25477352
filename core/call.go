package core

import (
	"io"
	"net/http"
	"time"
)

// Outcome is what is known about one attempt of a call.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeAnswered means that the backend server's answer has begun to arrive.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the backend server has not received the call and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the backend server may have run the call.
	OutcomeUnknown Outcome = "unknown"
)

// RefusalCause says why a call was refused without being run. The refusal counters use it as a label.
type RefusalCause string

// The causes of a refusal.
const (
	CauseNoRoute        RefusalCause = "no-route"
	CauseNoEndpoint     RefusalCause = "no-endpoint"
	CauseNotConfirmed   RefusalCause = "configuration-not-confirmed"
	CauseLeaving        RefusalCause = "leaving"
	CauseNoBackend      RefusalCause = "no-backend-server"
	CauseDeadline       RefusalCause = "deadline-cannot-be-met"
	CauseQueueFull      RefusalCause = "queue-full"
	CauseTenantShare    RefusalCause = "tenant-share-used"
	CauseRevoked        RefusalCause = "revoked"
	CauseCrashSuspect   RefusalCause = "suspected-to-crash-backend-servers"
	CauseTooDeep        RefusalCause = "too-deep"
	CauseConnectFailed  RefusalCause = "connect-failed"
	CauseMalformedCall  RefusalCause = "malformed-call"
	CauseDuplicateCall  RefusalCause = "duplicate-call"
	CauseBackendRefused RefusalCause = "backend-server-refused"
	CauseOverloaded     RefusalCause = "backend-server-overloaded"
	CauseMisdirected    RefusalCause = "another-backend-server-has-the-address"
	CauseTooLarge       RefusalCause = "request-too-large"

	CauseUnknownKey       RefusalCause = "unknown-key"       // answered with status 401
	CauseQuotaUsed        RefusalCause = "quota-used"        // answered with status 429
	CauseQuotaUnavailable RefusalCause = "quota-unavailable" // it is not known whether the quota is used
)

// Call is one request on its way to a backend server. Its deadlines are points in time on the local clock.
type Call struct {
	ID             CallID
	Tenant         TenantID
	Service        ServiceName
	Release        Release
	Route          RouteName
	Revision       Revision
	Method         string
	Target         string // path and query
	Host           string
	Header         http.Header
	Body           []byte      // nil if Source is set; it is kept so that an attempt can be retried
	Source         *BodySource // of a body that is too long to be kept, nil for others
	Idempotent     bool
	IdempotencyKey IdempotencyKey
	Priority       Priority
	SoftDeadline   time.Time // an answer after it counts as late; zero if none is set
	Deadline       time.Time
	StartBy        time.Time // a call still queued at this time is refused; zero means Deadline
	Depth          int
	AttemptsLeft   int
	Hedge          bool // a hedged attempt: refused unless it can start at once
	// Trial is the fingerprint under which the call is suspected of crashing backend servers, if it runs as a test of that, or zero. The
	// node beside the backend server lets one test of a fingerprint run at a time.
	Trial Fingerprint
	// OnStuck is called once, and must not block, if the backend server completes later calls and not this one, so that it may never
	// answer. The call goes on. Nil for calls that must not be repeated, and for nodes that do not receive such notices.
	OnStuck func()
}

// Load is the load of a backend server as the node beside it reports it. A zero Limit means that nothing is known.
type Load struct {
	Running          int           // calls that hold a slot
	Waiting          int           // calls that wait for a slot
	Limit            int           // concurrency limit
	ServiceTime      time.Duration // average time for which a call holds a slot, zero if unknown
	RouteServiceTime time.Duration // average for calls of the route of the call that carries the report, zero if unknown
	FreeIn           time.Duration // expected time until a new call of that route gets a slot, zero if not reported
}

// Answer is a backend server's answer. Body returns io.EOF only after its length and checksum have been verified.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Load   Load
}

// Refusal is the error of an attempt with OutcomeNotRun.
type Refusal struct {
	Cause      RefusalCause
	Detail     string
	Load       Load      // of the backend server whose node refused
	RetryAfter time.Time // when the call may be sent again, zero if unknown; it stays within the node
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return "not run: " + string(r.Cause)
	}
	return "not run: " + string(r.Cause) + ": " + r.Detail
}
