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
	// KindDeclaration numbers a configuration that is submitted as a whole; its record's version is the operators' number.
	KindDeclaration Kind = "declaration"
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
	// Expect makes the submission conditional; it is refused unless all expectations hold when it is decided.
	Expect []Expectation `json:"expect,omitempty" msgpack:"expect,omitempty"`
}

// Expectation states the version of a record that a submission builds on; version zero means that there is no such record.
type Expectation struct {
	Kind          Kind          `json:"kind" msgpack:"kind"`
	Name          string        `json:"name" msgpack:"name"`
	SchemaVersion SchemaVersion `json:"schema-version" msgpack:"schema-version"`
	Version       RecordVersion `json:"version" msgpack:"version"`
}

// Key returns the key of the expected record.
func (e Expectation) Key() RecordKey {
	return RecordKey{
		Kind:          e.Kind,
		Name:          e.Name,
		SchemaVersion: e.SchemaVersion,
	}
}

// ServiceBody is the body of a service record, schema version 1. With AnyRelease, the service needs no policy and no upstream
// records: calls go to each release that is announced, but for those that a move holds back.
type ServiceBody struct {
	Tenant         TenantID          `json:"tenant"`
	Priority       Priority          `json:"priority,omitempty"`
	AnyRelease     bool              `json:"any-release,omitempty"`
	MaxConnections int               `json:"max-connections,omitempty"` // that one backend server accepts from all nodes together, 0 if not stated
	HealthPath     string            `json:"health-path,omitempty"`
	Annotations    map[string]string `json:"annotations,omitempty"` // kept for the operators, without effect
}

// OtherReleases stands for all releases of a service with AnyRelease that its weights do not name.
const OtherReleases Release = "*"

// DeclarationBody is the body of a declaration record, schema version 1. It bounds what callers may send; zero stands for the
// node's own limit.
type DeclarationBody struct {
	MaxHeaderBytes  int64             `json:"max-header-bytes,omitempty"`
	MaxBodyBytes    int64             `json:"max-body-bytes,omitempty"`
	HeaderTimeoutMS int64             `json:"header-timeout-ms,omitempty"`
	IdleTimeoutMS   int64             `json:"idle-timeout-ms,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// UpstreamBody is the body of an upstream record, schema version 1; Slots is the concurrency of one backend server.
type UpstreamBody struct {
	Service ServiceName `json:"service"`
	Release Release     `json:"release"`
	Slots   int         `json:"slots"`
}

// RouteBody is the body of a route record, schema version 1. A route leads to Service or, in its place, to the services of
// Split by weight.
type RouteBody struct {
	PathPrefix      string            `json:"path-prefix"`
	Host            string            `json:"host,omitempty"`
	Methods         []string          `json:"methods,omitempty"`
	Service         ServiceName       `json:"service,omitempty"`
	Split           []ServiceShare    `json:"split,omitempty"`
	Idempotent      bool              `json:"idempotent,omitempty"`
	TimeoutMS       int64             `json:"timeout-ms"`
	TargetLatencyMS int64             `json:"target-latency-ms,omitempty"` // within which an answer is of full use, 0 if not stated
	MaxAttempts     int               `json:"max-attempts,omitempty"`      // replaces that of the policy
	Priority        Priority          `json:"priority,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// ServiceShare gives one service its part of a route's calls.
type ServiceShare struct {
	Service ServiceName `json:"service"`
	Weight  int64       `json:"weight"`
}

// Services returns the services to which the route can lead.
func (r RouteBody) Services() []ServiceName {
	if len(r.Split) == 0 {
		return []ServiceName{r.Service}
	}
	services := make([]ServiceName, 0, len(r.Split))
	for _, share := range r.Split {
		services = append(services, share.Service)
	}
	return services
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
