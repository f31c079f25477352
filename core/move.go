package core

import "time"

// MoveRequest asks to move a service's traffic from one upstream to another by a point in time.
type MoveRequest struct {
	ID           SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Operator     Operator     `json:"operator,omitempty" msgpack:"operator"`
	Service      ServiceName  `json:"service" msgpack:"service"`
	From         UpstreamName `json:"from" msgpack:"from"`
	To           UpstreamName `json:"to" msgpack:"to"`
	Deadline     time.Time    `json:"deadline" msgpack:"deadline"`
	MaxRiskShare PerMille     `json:"max-risk-per-mille,omitempty" msgpack:"max-risk-per-mille"`
}

// MoveState is a state of the state chart of moves.
type MoveState string

// The states of a move.
const (
	MoveProposed  MoveState = "proposed"
	MoveProbing   MoveState = "probing"
	MoveGrowing   MoveState = "growing"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "taken-back"
	MoveExpired   MoveState = "expired"
)

// Move is a move and its progress. It changes only through the replicated log.
type Move struct {
	MoveID          MoveID      `json:"move-id" msgpack:"move-id"`
	Request         MoveRequest `json:"request" msgpack:"request"`
	State           MoveState   `json:"state" msgpack:"state"`
	Share           PerMille    `json:"share-per-mille" msgpack:"share-per-mille"`
	Step            uint64      `json:"step" msgpack:"step"`
	StartedAt       time.Time   `json:"started-at" msgpack:"started-at"`
	SteppedAt       time.Time   `json:"stepped-at" msgpack:"stepped-at"`
	Cause           string      `json:"cause,omitempty" msgpack:"cause"`
	Evidence        string      `json:"evidence,omitempty" msgpack:"evidence"`
	OriginalWeights []Weight    `json:"original-weights" msgpack:"original-weights"`
}

// MoveStep is the leader's proposal for the next step of a move. It applies only if Step is one greater than the move's Step.
type MoveStep struct {
	MoveID   MoveID    `json:"move-id" msgpack:"move-id"`
	Step     uint64    `json:"step" msgpack:"step"`
	State    MoveState `json:"state" msgpack:"state"`
	Share    PerMille  `json:"share-per-mille" msgpack:"share-per-mille"`
	At       time.Time `json:"at" msgpack:"at"`
	Cause    string    `json:"cause,omitempty" msgpack:"cause"`
	Evidence string    `json:"evidence,omitempty" msgpack:"evidence"`
}

// LatencyBuckets is the number of latency buckets of an EvidenceCount. Bucket i counts answers that took less than 2^i
// milliseconds; the last bucket counts all slower ones.
const LatencyBuckets = 14

// EvidenceCount holds cumulative call counts of one service, route and release. They cover one run of a node, or the sum over
// all nodes of a data centre as reported by one run of a control instance. A later count replaces an earlier one.
type EvidenceCount struct {
	Node        NodeID                 `json:"node" msgpack:"n"`
	Incarnation Incarnation            `json:"incarnation" msgpack:"i"`
	DataCentre  DataCentre             `json:"data-centre,omitempty" msgpack:"d,omitempty"` // set in sums, which have no single node
	Move        MoveID                 `json:"move,omitempty" msgpack:"m,omitempty"`        // the move that was open at the time
	Service     ServiceName            `json:"service" msgpack:"s"`
	Route       RouteName              `json:"route" msgpack:"r"`
	Release     Release                `json:"release" msgpack:"v"`
	Calls       uint64                 `json:"calls" msgpack:"c"` // includes rejected calls, which have no latency
	Failures    uint64                 `json:"failures" msgpack:"f"`
	Crashes     uint64                 `json:"crashes" msgpack:"x"`
	Latency     [LatencyBuckets]uint64 `json:"latency" msgpack:"l"`
}

// Answered returns the number of calls that have a latency.
func (c EvidenceCount) Answered() uint64 {
	answered := uint64(0)
	for _, n := range c.Latency {
		answered += n
	}
	return answered
}
