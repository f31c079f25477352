package core

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Replicator.
const (
	// ErrNoLeader means that no leader is known; the command was not proposed.
	ErrNoLeader = errors.ConstError("no leader is known")
	// ErrOutcomeUnknown means that the command may or may not have been committed, or may be later.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
)

// ReplicatorStatus is the state of the local replica.
type ReplicatorStatus struct {
	Self     ControlID   `json:"self"`
	Role     string      `json:"role"`
	Term     Term        `json:"term"`
	Leader   ControlID   `json:"leader,omitempty"`
	Commit   LogIndex    `json:"commit"`
	Applied  LogIndex    `json:"applied"`
	Voters   []ControlID `json:"voters"`
	Learners []ControlID `json:"learners,omitempty"`
}

// Replicator replicates commands through a consensus log.
type Replicator interface {
	// Propose returns the state machine's result once the command is committed and applied locally. It returns ErrNoLeader if
	// the command was not proposed and ErrOutcomeUnknown if it may still be committed.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ConfirmRead returns once all entries committed before the call are applied locally, or fails with ErrNoLeader.
	ConfirmRead(ctx context.Context) error
	// Status returns the state of the local replica.
	Status() ReplicatorStatus
}

// StateMachine applies committed entries in log order. All its methods are called on one goroutine.
type StateMachine interface {
	// Apply applies one command; it must be deterministic. An error means that this version of the program cannot decide the
	// command as other replicas do; the replica must stop.
	Apply(index LogIndex, command []byte) (result []byte, err error)
	// Snapshot encodes the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state by a snapshot.
	Restore(snapshot []byte) error
}

// DepartureLog stores durably which runs of backend servers have begun to leave.
type DepartureLog interface {
	// Depart stores runs of a node's backend server, if any are given, and returns all that are stored for the node. It returns
	// ErrNoLeader if nothing was stored, and ErrOutcomeUnknown if the runs may have been stored.
	Depart(ctx context.Context, node NodeID, runs []RunID) ([]RunID, error)
}

// EndpointSource provides the endpoints of services.
type EndpointSource interface {
	// Endpoints returns the known endpoints of a service; the slice must not be changed.
	Endpoints(service ServiceName) []Endpoint
}

// Forwarder sends one attempt of a call to an endpoint's node.
type Forwarder interface {
	// Forward returns an answer with OutcomeAnswered, a *Refusal with OutcomeNotRun, or any other error with OutcomeUnknown.
	Forward(ctx context.Context, to Endpoint, call *Call) (*Answer, Outcome, error)
}

// Backend passes calls to the local backend server.
type Backend interface {
	// Handle returns the outcomes and errors of Forwarder.Forward.
	Handle(ctx context.Context, call *Call) (*Answer, Outcome, error)
}

// CallPreviewer is implemented by a Backend that can tell, before the body of a call has arrived, whether it would refuse the call.
type CallPreviewer interface {
	// Preview returns the load of the backend server, and the refusal that the call would get now or nil.
	Preview(call *Call) (Load, *Refusal)
}

// CrashTrials decides which requests that are suspected of crashing backend servers run as tests.
type CrashTrials interface {
	// Begin reports whether a request may run as a test now, and begins the test if so.
	Begin(fingerprint Fingerprint) bool
	// Cancel takes back a test that has not run.
	Cancel(fingerprint Fingerprint)
}

// PickRequest describes one attempt that needs an endpoint.
type PickRequest struct {
	Call    CallID
	Service ServiceName
	Route   RouteName
	Release Release
	Tried   []NodeID
	Session string // for sticky sessions, empty if none

	SoftDeadline    time.Time // an answer after it counts as late; zero if none is set
	Deadline        time.Time
	BodyBytes       int  // of the request
	CapacityRefused bool // an endpoint has already refused the call because no slot would be free in time
}

// PickResult is the result of one attempt at an endpoint.
type PickResult struct {
	Endpoint  Endpoint
	Route     RouteName
	Outcome   Outcome
	Failed    bool // the backend server failed; a refusal by the limiter is not a failure
	Discarded bool // the attempt was cancelled after Latency, or was a hedge that could not start
	Latency   time.Duration
	Load      Load // as the endpoint's node reported it with the result
}

// Picker chooses an endpoint for each attempt and adapts to the results.
type Picker interface {
	// Pick chooses one of the candidates and counts the attempt as outstanding. It returns false if none is usable.
	Pick(now time.Time, request PickRequest, candidates []Endpoint) (Endpoint, bool)
	// Done ends an attempt that Pick began and records its result.
	Done(now time.Time, result PickResult)
}

// EvidenceRecorder counts the outcomes of calls by service, route and release.
type EvidenceRecorder interface {
	// Record counts one finished call.
	Record(service ServiceName, route RouteName, release Release, failed, crashed bool, latency time.Duration)
	// RecordRejected counts one call whose first attempt a backend server had no capacity for.
	RecordRejected(service ServiceName, route RouteName, release Release)
}

// QuotaUnit is one admitted request of a tenant.
type QuotaUnit struct {
	Tenant TenantID
	At     time.Time
}

// QuotaLimiter admits the requests of tenants within their quotas.
type QuotaLimiter interface {
	// Take takes one unit, or returns a refusal with CauseQuotaUsed or CauseQuotaUnavailable. It may wait for units.
	Take(ctx context.Context, tenant TenantID) (QuotaUnit, *Refusal)
	// GiveBack returns the unit of a request that reached no backend server.
	GiveBack(unit QuotaUnit)
	// Settle keeps the unit of a request that may have reached a backend server, some time between its admission and now.
	Settle(unit QuotaUnit)
}
