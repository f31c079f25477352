package operatorhttp

import (
	"time"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Limits of the API.
const (
	proposeTimeout    = 4 * time.Second         // below the client's attempt, so that the client reads the reason
	recordTimeout     = 1500 * time.Millisecond // of an entry about a membership change, beside proposeTimeout
	confirmTimeout    = 4 * time.Second
	statusTimeout     = time.Second // status is also for times without a leader
	headerTimeout     = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	answerTimeout     = time.Minute // from the end of the header
	idleTimeout       = time.Minute
	stopTimeout       = 5 * time.Second
	attemptTimeout    = 6 * time.Second
	dialTimeout       = 2 * time.Second
	pauseBetween      = 200 * time.Millisecond // after all servers have failed once
	maxRequests       = 64                     // handled at the same time; further ones get status 503
	maxAnswerBytes    = 64 << 20
	maxTokenFileBytes = 4 << 10
	maxHeaderBytes    = 64 << 10
)

// Limits that keep one tenant from using up what the others need.
const (
	countedBytes = 256 << 10 // of a body count as one more request
	// AuditCount is what a query of the audit trail counts for the rate of queries.
	AuditCount = 10
	// MaxCount is the most that a request counts for.
	MaxCount = 1 + catalog.MaxCommandBytes/countedBytes
)

// DefaultAuditLimit is the number of entries that a query of the audit trail finds if it names none.
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

// FleetView gives the state of the fleet as this control instance knows it; it may be called from any goroutine.
type FleetView interface {
	// Nodes returns the newest report of each node, sorted by name.
	Nodes() []NodeStatus
	// Endpoints returns the endpoints of a service; the slice must not be changed.
	Endpoints(service core.ServiceName) []core.Endpoint
	// Fleet returns the state of the fleet now.
	Fleet() FleetStatus
}

// Status is the answer of the status operation.
type Status struct {
	Tenants   []core.TenantID       `json:"tenants,omitempty"` // if the token is limited to them, and so is the rest
	Current   bool                  `json:"current"`           // false if no leader confirmed that the rest is up to date
	Revision  core.Revision         `json:"revision"`
	Hash      string                `json:"hash"`
	OpenMoves []core.MoveID         `json:"open-moves"`
	Fleet     FleetStatus           `json:"fleet"`
	Nodes     []NodeStatus          `json:"nodes,omitempty"` // only if asked for
	Replica   core.ReplicatorStatus `json:"replica"`
	Rules     core.RulesVersion     `json:"rules"` // for deciding commands, in force
}
