package operatorhttp

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Limits of the API.
const (
	proposeTimeout    = 4 * time.Second         // shorter than the client's attemptTimeout, so that the client receives the reason
	recordTimeout     = 1500 * time.Millisecond // of an audit entry about a membership change; for the entry of the result, proposeTimeout plus this is below attemptTimeout
	confirmTimeout    = 4 * time.Second
	statusTimeout     = time.Second // short, because the status must also be answered without a leader, when no read is confirmed
	headerTimeout     = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	answerTimeout     = time.Minute // from the end of the request header
	idleTimeout       = time.Minute
	stopTimeout       = 5 * time.Second
	attemptTimeout    = 6 * time.Second
	dialTimeout       = 2 * time.Second
	retryPause        = 200 * time.Millisecond // after an attempt at each server has failed
	maxRequests       = 64                     // handled concurrently; further ones get status 503
	maxAnswerBytes    = 64 << 20
	maxTokenFileBytes = 4 << 10
	maxBodiesBytes    = 3 * catalog.MaxCommandBytes // of the bodies of all requests together
)

// Costs of requests in a token bucket, where an ordinary request costs 1. They keep one tenant from using up the capacity of the others.
const (
	bytesPerCost = 256 << 10 // bytes of a body that add 1 to the cost
	// AuditCost is the cost of a query of the audit trail.
	AuditCost = 10
	// MaxCost is the highest cost of a request.
	MaxCost = 1 + catalog.MaxCommandBytes/bytesPerCost
)

// DefaultAuditLimit is the number of entries that a query of the audit trail returns if it names no limit.
const DefaultAuditLimit = 100

// Paths of the API.
const (
	submissionsPath = "/v1/submissions"
	movesPath       = "/v1/moves"
	movePath        = "/v1/moves/{id}"
	abortPath       = "/v1/moves/{id}/abort"
	statusPath      = "/v1/status"
	auditPath       = "/v1/audit"
	membersPath     = "/v1/members"
	changePath      = "/v1/members/{id}/{change}"
	recordsPath     = "/v1/records"
	metricsPath     = "/metrics"
	readyPath       = "/ready"
	statePath       = "/state"
)

// FleetStatus describes the nodes that are attached to the control instances.
type FleetStatus struct {
	LowestInForce core.Revision            `json:"lowest-in-force"`
	Nodes         int                      `json:"nodes"`
	Endpoints     map[core.ServiceName]int `json:"endpoints"`
	SchemaFloor   core.SchemaVersion       `json:"schema-floor"` // zero if no node is attached
}

// NodeStatus is the newest report of one node.
type NodeStatus struct {
	Node       core.NodeID        `json:"node"`
	DataCentre core.DataCentre    `json:"data-centre"`
	Revision   core.Revision      `json:"revision-in-force"`
	Schema     core.SchemaVersion `json:"schema-version"`
	LastReport time.Time          `json:"last-report"` // on this control instance's clock
}

// FleetView describes the fleet as this control instance knows it; it is safe for concurrent use.
type FleetView interface {
	// Nodes returns the newest report of each node, sorted by name.
	Nodes() []NodeStatus
	// Endpoints returns the endpoints of a service; the slice must not be changed.
	Endpoints(service core.ServiceName) []core.Endpoint
	// Fleet returns the current state of the fleet.
	Fleet() FleetStatus
}

// Status is the answer of the status operation.
type Status struct {
	Tenants   []core.TenantID       `json:"tenants,omitempty"` // set if the token is limited to them, as the other fields then are
	Current   bool                  `json:"current"`           // false if no leader confirmed that the other fields are up to date
	Revision  core.Revision         `json:"revision"`
	Hash      string                `json:"hash"`
	OpenMoves []core.MoveID         `json:"open-moves"`
	Fleet     FleetStatus           `json:"fleet"`
	Nodes     []NodeStatus          `json:"nodes,omitempty"` // only if requested
	Replica   core.ReplicatorStatus `json:"replica"`
	Rules     core.RulesVersion     `json:"rules"` // in force for deciding commands
}
