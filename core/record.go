package core

import (
	"encoding/json"
	"fmt"
)

// Kind names the type of a record.
type Kind string

// The kinds of records.
const (
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
	KindPolicy   Kind = "policy"
	// KindDeclaration versions a configuration that is submitted as a whole. The record's version is the operators' number for it.
	KindDeclaration Kind = "declaration"
	// KindTenant names a tenant with its API keys and limits. If a configuration has such records, callers are told apart by their
	// API keys.
	KindTenant Kind = "tenant"
)

// Record is one versioned configuration record. Body stays undecoded so that relays pass on fields that they do not know.
type Record struct {
	Kind          Kind            `json:"kind" msgpack:"kind"`
	Name          string          `json:"name" msgpack:"name"`
	SchemaVersion SchemaVersion   `json:"schema-version" msgpack:"schema-version"`
	Version       RecordVersion   `json:"version" msgpack:"version"`
	Body          json.RawMessage `json:"body" msgpack:"body"`
	// SinceMS is the time at which a record of this kind and name was first accepted, in Unix milliseconds on the proposer's
	// clock. It is zero if such a record was deleted before. The catalog sets it.
	SinceMS int64 `json:"-" msgpack:"since-ms,omitempty"`
}

// RecordKey identifies a record. Records of the same kind and name may exist in several schema versions.
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

// Deletion removes the record with the given key. Version must be greater than the version of the record.
type Deletion struct {
	Kind          Kind          `json:"kind" msgpack:"kind"`
	Name          string        `json:"name" msgpack:"name"`
	SchemaVersion SchemaVersion `json:"schema-version" msgpack:"schema-version"`
	Version       RecordVersion `json:"version" msgpack:"version"`
}

// Submission is a set of changes to records that is accepted or refused as a whole.
type Submission struct {
	ID       SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Operator Operator     `json:"operator,omitempty" msgpack:"operator"`
	Records  []Record     `json:"records" msgpack:"records"`
	Deletes  []Deletion   `json:"deletes,omitempty" msgpack:"deletes"`
	// Expect makes the submission conditional: it is refused unless all expectations hold when it is applied.
	Expect []Expectation `json:"expect,omitempty" msgpack:"expect,omitempty"`
}

// Expectation states the version of a record on which a submission is based. Version zero means that the record must not exist.
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
// records: calls go to every announced release, except for those that a move holds back.
type ServiceBody struct {
	Tenant         TenantID          `json:"tenant"`
	Priority       Priority          `json:"priority,omitempty"`
	AnyRelease     bool              `json:"any-release,omitempty"`
	MaxConnections int               `json:"max-connections,omitempty"` // per backend server over all nodes, 0 if not stated
	HealthPath     string            `json:"health-path,omitempty"`
	Annotations    map[string]string `json:"annotations,omitempty"` // stored for operators, without effect
}

// OtherReleases stands for all releases of a service with AnyRelease that have no weight of their own.
const OtherReleases Release = "*"

// DeclarationBody is the body of a declaration record, schema version 1. It limits what callers may send; zero selects the
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

// RouteBody is the body of a route record, schema version 1. A route leads either to Service or, by weight, to the services
// in Split.
type RouteBody struct {
	PathPrefix      string            `json:"path-prefix"`
	Host            string            `json:"host,omitempty"`
	Methods         []string          `json:"methods,omitempty"`
	Service         ServiceName       `json:"service,omitempty"`
	Split           []ServiceShare    `json:"split,omitempty"`
	Idempotent      bool              `json:"idempotent,omitempty"`
	TimeoutMS       int64             `json:"timeout-ms"`
	TargetLatencyMS int64             `json:"target-latency-ms,omitempty"` // soft deadline, 0 if not stated
	MaxAttempts     int               `json:"max-attempts,omitempty"`      // overrides the policy's value
	Priority        Priority          `json:"priority,omitempty"`
	AllowAnonymous  bool              `json:"allow-anonymous,omitempty"` // serve requests without a known API key; without effect if there are no tenants
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// TenantBody is the body of a tenant record, schema version 1. A RatePerS of zero means no limit.
type TenantBody struct {
	ID          TenantID          `json:"id,omitempty"` // the record's name if empty
	APIKeys     []string          `json:"api-keys,omitempty"`
	RatePerS    int64             `json:"rate-per-s,omitempty"` // requests per second over all nodes
	Burst       int64             `json:"burst,omitempty"`      // requests in addition to the rate
	Priority    *Priority         `json:"priority,omitempty"`   // replaces the priority of routes and services, nil if not stated
	Annotations map[string]string `json:"annotations,omitempty"`
}

// String implements fmt.Stringer without the API keys, so that no log line or error shows them.
func (b TenantBody) String() string {
	return fmt.Sprintf("tenant %q with %d API keys", b.ID, len(b.APIKeys))
}

// Limited reports whether the requests of the tenant are limited.
func (b TenantBody) Limited() bool { return b.RatePerS > 0 }

// ServiceShare is the weight of one service in the split of a route.
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

// Weight is the share of one upstream in a service's traffic.
type Weight struct {
	Upstream UpstreamName `json:"upstream" msgpack:"upstream"`
	PerMille PerMille     `json:"per-mille" msgpack:"per-mille"`
}

// PolicyBody is the body of a policy record, schema version 1. Its weights add up to 1000.
type PolicyBody struct {
	Service     ServiceName `json:"service"`
	Weights     []Weight    `json:"weights"`
	MaxAttempts int         `json:"max-attempts,omitempty"`
}

// Override replaces the weights of a service's policy during a move and after its end.
type Override struct {
	Service ServiceName  `json:"service" msgpack:"service"`
	Move    MoveID       `json:"move" msgpack:"move"`
	From    UpstreamName `json:"from" msgpack:"from"`
	To      UpstreamName `json:"to" msgpack:"to"`
	Open    bool         `json:"open" msgpack:"open"` // whether the move is still in progress
	Weights []Weight     `json:"weights" msgpack:"weights"`
}
