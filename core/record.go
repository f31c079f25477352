package core

import "encoding/json"

// Kind names the type of a record.
type Kind string

// The kinds of records.
const (
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
	KindPolicy   Kind = "policy"
)

// Record is one versioned configuration record; Body stays raw so that a relay forwards fields it does not know.
type Record struct {
	Kind          Kind            `json:"kind" msgpack:"kind"`
	Name          string          `json:"name" msgpack:"name"`
	SchemaVersion SchemaVersion   `json:"schema-version" msgpack:"schema-version"`
	Version       RecordVersion   `json:"version" msgpack:"version"`
	Body          json.RawMessage `json:"body" msgpack:"body"`
	// SinceMS is when a record of this kind and name was first accepted, in Unix milliseconds on the proposer's clock; zero
	// if one was deleted before. The catalog sets it.
	SinceMS int64 `json:"-" msgpack:"since-ms,omitempty"`
}

// RecordKey identifies a record; records of one kind and name may exist in several schema versions.
type RecordKey struct {
	Kind          Kind          `json:"kind" msgpack:"kind"`
	Name          string        `json:"name" msgpack:"name"`
	SchemaVersion SchemaVersion `json:"schema-version" msgpack:"schema-version"`
}

// Key returns the key under which the record is stored.
func (r Record) Key() RecordKey {
	return RecordKey{
		Kind:          r.Kind,
		Name:          r.Name,
		SchemaVersion: r.SchemaVersion,
	}
}

// Deletion removes the record with the given key; Version must be greater than the record's version.
type Deletion struct {
	Kind          Kind          `json:"kind" msgpack:"kind"`
	Name          string        `json:"name" msgpack:"name"`
	SchemaVersion SchemaVersion `json:"schema-version" msgpack:"schema-version"`
	Version       RecordVersion `json:"version" msgpack:"version"`
}

// Submission is a set of records that is accepted or refused as a whole.
type Submission struct {
	ID       SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Operator Operator     `json:"operator,omitempty" msgpack:"operator"`
	Records  []Record     `json:"records" msgpack:"records"`
	Deletes  []Deletion   `json:"deletes,omitempty" msgpack:"deletes"`
}

// ServiceBody is the body of a service record, schema version 1.
type ServiceBody struct {
	Tenant   TenantID `json:"tenant"`
	Priority Priority `json:"priority,omitempty"`
}

// UpstreamBody is the body of an upstream record, schema version 1; Slots is the concurrency of one backend server.
type UpstreamBody struct {
	Service ServiceName `json:"service"`
	Release Release     `json:"release"`
	Slots   int         `json:"slots"`
}

// RouteBody is the body of a route record, schema version 1.
type RouteBody struct {
	PathPrefix string      `json:"path-prefix"`
	Host       string      `json:"host,omitempty"`
	Methods    []string    `json:"methods,omitempty"`
	Service    ServiceName `json:"service"`
	Idempotent bool        `json:"idempotent,omitempty"`
	TimeoutMS  int64       `json:"timeout-ms"`
	Priority   Priority    `json:"priority,omitempty"`
}

// Weight gives one upstream its share of a service's traffic.
type Weight struct {
	Upstream UpstreamName `json:"upstream" msgpack:"upstream"`
	PerMille PerMille     `json:"per-mille" msgpack:"per-mille"`
}

// PolicyBody is the body of a policy record, schema version 1; its weights add up to 1000.
type PolicyBody struct {
	Service     ServiceName `json:"service"`
	Weights     []Weight    `json:"weights"`
	MaxAttempts int         `json:"max-attempts,omitempty"`
}

// Override replaces the weights of a service's policy while a move is under way or after it has ended.
type Override struct {
	Service ServiceName  `json:"service" msgpack:"service"`
	Move    MoveID       `json:"move" msgpack:"move"`
	From    UpstreamName `json:"from" msgpack:"from"`
	To      UpstreamName `json:"to" msgpack:"to"`
	Open    bool         `json:"open" msgpack:"open"` // the move has not ended
	Weights []Weight     `json:"weights" msgpack:"weights"`
}
