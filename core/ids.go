package core

// ControlID names a control instance, unique within the deployment.
type ControlID string

// NodeID names a node, unique within the deployment and stable across its restarts.
type NodeID string

// DataCentre names a data centre.
type DataCentre string

// TenantID names an organisation whose callers share the deployment with those of others.
type TenantID string

// ServiceName names a service.
type ServiceName string

// UpstreamName names an upstream record: the backend servers of one release of a service.
type UpstreamName string

// Release names a release of a backend server.
type Release string

// RouteName names a route.
type RouteName string

// Operator names the person or program that submitted a change.
type Operator string

// SubmissionID makes a submission idempotent: resubmissions under the same id get the verdict of the first one.
type SubmissionID string

// MoveID names a move of traffic between two releases.
type MoveID string

// CallID identifies one call of a caller across all its attempts.
type CallID string

// IdempotencyKey is chosen by a caller so that resends of one request run at most once.
type IdempotencyKey string

// Revision counts the accepted changes of the configuration. Zero means that none has been accepted.
type Revision uint64

// Incarnation identifies one run of a node by its start in Unix nanoseconds, so that later runs have greater values.
type Incarnation uint64

// SchemaVersion numbers the format of a record's body, starting at 1.
type SchemaVersion uint32

// RulesVersion numbers the rules that the state machine applies to commands of the replicated log, starting at 1.
type RulesVersion uint32

// RecordVersion is the version that operators assign to a record, starting at 1.
type RecordVersion uint64

// Hash is an xxhash64 sum.
type Hash uint64

// PerMille is a share of traffic in thousandths, from 0 to 1000.
type PerMille uint32

// Priority ranks calls when a backend server is overloaded, from 0 to 9. Higher values are served first.
type Priority uint8

// Term is a raft term.
type Term uint64

// LogIndex is a position in the replicated log; the first entry has index 1.
type LogIndex uint64

// Fingerprint identifies requests that a backend server handles alike.
type Fingerprint uint64
