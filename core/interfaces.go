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
	// ErrOutcomeUnknown means that the command may or may not be committed later.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
)

// ReplicatorStatus describes the local replica.
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

// Replicator is the replicated log as its users see it.
type Replicator interface {
	// Propose returns the state machine's result once the command is committed and applied locally, or ErrNoLeader or ErrOutcomeUnknown.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ConfirmRead returns once all entries committed before the call are applied locally, or ErrNoLeader.
	ConfirmRead(ctx context.Context) error
	// Status describes the local replica.
	Status() ReplicatorStatus
}

// StateMachine is driven by committed entries, on one goroutine and in log order.
type StateMachine interface {
	// Apply applies one command; it must be deterministic. An error means that this program cannot decide the command as
	// others do, so that it must not go on.
	Apply(index LogIndex, command []byte) (result []byte, err error)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// EndpointSource gives the endpoints of one service.
type EndpointSource interface {
	// Endpoints returns the known endpoints of a service; the slice must not be changed.
	Endpoints(service ServiceName) []Endpoint
}

// Forwarder carries one attempt of a call to an endpoint's node.
type Forwarder interface {
	// Forward returns an answer with OutcomeAnswered, a *Refusal with OutcomeNotRun, or any other error with OutcomeUnknown.
	Forward(ctx context.Context, to Endpoint, call *Call) (*Answer, Outcome, error)
}

// Backend hands a call to the local backend server.
type Backend interface {
	// Handle has the outcomes and errors of Forwarder.Forward.
	Handle(ctx context.Context, call *Call) (*Answer, Outcome, error)
}

// PickRequest describes one attempt to be placed.
type PickRequest struct {
	Call    CallID
	Service ServiceName
	Route   RouteName
	Release Release
	Tried   []NodeID
	Session string // sticky session, empty if none

	Aim      time.Time // by which an answer is of full use, zero if not stated
	Deadline time.Time
	NoRoom   bool // an endpoint has refused the call since it had no slot for it in time
}

// PickResult is what an attempt showed about its endpoint.
type PickResult struct {
	Endpoint Endpoint
	Route    RouteName
	Outcome  Outcome
	Failed   bool // the backend server failed; a refusal by the limiter is no failure
	Unneeded bool // it was cancelled after Latency, or was a hedge that could not start
	Latency  time.Duration
	Load     Load // as the endpoint's node reported it with the result
}

// Picker chooses an endpoint for each attempt and learns from the results.
type Picker interface {
	// Pick chooses among candidates and counts the attempt as outstanding; it returns false if there is none.
	Pick(now time.Time, request PickRequest, candidates []Endpoint) (Endpoint, bool)
	// Done ends an attempt that Pick began.
	Done(now time.Time, result PickResult)
}

// EvidenceRecorder counts the outcomes of calls by service, route and release.
type EvidenceRecorder interface {
	// Record counts one finished call.
	Record(service ServiceName, route RouteName, release Release, failed, crashed bool, latency time.Duration)
	// RecordTurnedAway counts one call whose first attempt a backend server had no room for.
	RecordTurnedAway(service ServiceName, route RouteName, release Release)
}
