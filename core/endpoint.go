package core

// EndpointState says whether an endpoint takes new calls.
type EndpointState string

// The states of an endpoint.
const (
	EndpointStarting EndpointState = "starting"
	EndpointReady    EndpointState = "ready"
	EndpointLeaving  EndpointState = "leaving"
)

// Endpoint is a backend server as announced by its node.
type Endpoint struct {
	Node        NodeID        `json:"node" msgpack:"node"`
	Incarnation Incarnation   `json:"incarnation" msgpack:"incarnation"`
	Sequence    uint64        `json:"sequence" msgpack:"sequence"`
	DataCentre  DataCentre    `json:"data-centre" msgpack:"data-centre"`
	Address     string        `json:"address" msgpack:"address"`
	Service     ServiceName   `json:"service" msgpack:"service"`
	Release     Release       `json:"release" msgpack:"release"`
	Slots       int           `json:"slots" msgpack:"slots"`
	State       EndpointState `json:"state" msgpack:"state"`
}

// Newer reports whether e supersedes other, an announcement of the same node. Incarnations are compared before sequence numbers.
func (e Endpoint) Newer(other Endpoint) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Sequence > other.Sequence
}

// Fingerprints returns Fingerprint and, if it differs, Exact.
func (r CrashReport) Fingerprints() []uint64 {
	if r.Exact == 0 || r.Exact == r.Fingerprint {
		return []uint64{r.Fingerprint}
	}
	return []uint64{r.Fingerprint, r.Exact}
}

// RunID identifies one run of a backend server's process among those beside the same node.
type RunID string

// Departure says that a run of the backend server beside a node has begun to leave. It must get no more calls, also after a restart
// of the node.
type Departure struct {
	Node NodeID `msgpack:"node"`
	Run  RunID  `msgpack:"run"`
}

// CrashReport says that a request was running when the process of a backend server ended. Run is the run that the backend
// server had announced; Fingerprint is equal for requests that a backend server handles alike. A program before Exact leaves the later
// fields zero.
type CrashReport struct {
	Node        NodeID `msgpack:"node"`
	Run         string `msgpack:"run"`
	Fingerprint uint64 `msgpack:"fingerprint"`
	Exact       uint64 `msgpack:"exact,omitempty"`  // the same for requests that are equal in more details
	RanMS       int64  `msgpack:"ran-ms,omitempty"` // how long the request had been running, in milliseconds
	Beside      int    `msgpack:"beside,omitempty"` // number of other requests that were running
}
