package distribution

import (
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/record"
	"parsleyport/io/frame"
)

// The message types of the protocol. The number of a removed message is not reused.
const (
	typeHello frame.Type = iota + 1
	typeAccept
	typeRedirect
	typeRetryAfter
	typeConfigFull
	typeConfigDelta
	typeConfigRequest
	typeConfirmRequest
	typeConfirm
	typeSubscribe
	typeAnnounce
	typeEndpoints
	typeEndpointsRequest
	typeEvidence
	typeAcknowledge
	typePing
	typePong
	typeCrashes
	typeSums
	typeNodes
	typeDepart
	typeDepartures
	typeQuotaRequest
	typeQuotaAnswer
)

// linkKind tells whether the process that opened a link is a node or a control instance.
type linkKind string

const (
	kindNode    linkKind = "node"
	kindControl linkKind = "control"
)

// hello opens a link. Revision and Hash identify the configuration that the child holds, so that it can be sent a delta.
type hello struct {
	Kind         linkKind           `msgpack:"kind"`
	ID           core.NodeID        `msgpack:"id"`
	Incarnation  core.Incarnation   `msgpack:"incarnation"`
	DataCentre   core.DataCentre    `msgpack:"data-centre"`
	RelayAddress string             `msgpack:"relay-address"`
	Schema       core.SchemaVersion `msgpack:"schema-version"`
	Revision     core.Revision      `msgpack:"revision"`
	Hash         core.Hash          `msgpack:"hash"`
	Compressor   frame.CompressorID `msgpack:"packing,omitempty"` // compression that the child can read
}

// accept lists the nodes from the parent up to the control instance; it is sent again when they change. Stale means that the
// control instance knows no leader, so that it may be partitioned from the others and miss new revisions.
type accept struct {
	Path    []core.NodeID  `msgpack:"path"`
	Control core.ControlID `msgpack:"control"`
	Stale   bool           `msgpack:"stale,omitempty"`
	Rows    bool           `msgpack:"rows,omitempty"` // the sender can read sums in rows

	Compressor frame.CompressorID `msgpack:"packing,omitempty"` // compression that both ends use from then on

	Controls []ControlAddress `msgpack:"controls,omitempty"` // at which nodes can attach

	FleetNodes int `msgpack:"fleet-nodes,omitempty"` // of all control instances, zero if unknown

	Unheard bool `msgpack:"unheard,omitempty"` // the sender is a relay that hears from no leader; set only if there are tenants
}

// redirect refuses a child and lists the relays to which it should attach, least loaded first.
type redirect struct {
	Addresses []string `msgpack:"addresses"`
}

// retryAfter refuses a child and asks it to wait; the child adds a random wait.
type retryAfter struct {
	Milliseconds int64 `msgpack:"ms"`
}

// configRequest asks for the full configuration, after a delta could not be applied.
type configRequest struct{}

// confirm answers a confirmRequest with the version of the configuration that a confirmed read observed.
type confirm struct {
	Number   uint64        `msgpack:"number"`
	Revision core.Revision `msgpack:"revision"`
	Hash     core.Hash     `msgpack:"hash,omitempty"`
}

// confirmRequest asks for a confirmed read that begins after the request.
type confirmRequest struct {
	Number uint64 `msgpack:"number"`
}

// subscribe adds services, or all of them, and ends the subscription of the services in Drop. DetachedMS is how long the child had
// no parent, in milliseconds, and negative for a child that had none before. Fresh lists those of the services whose endpoints
// the child has never received.
type subscribe struct {
	Drop       []core.ServiceName `msgpack:"drop,omitempty"`
	Fresh      []core.ServiceName `msgpack:"fresh,omitempty"`
	All        bool               `msgpack:"all"`
	Services   []core.ServiceName `msgpack:"services"`
	DetachedMS int64              `msgpack:"away-ms"`
	States     bool               `msgpack:"states,omitempty"` // the sender can read state changes
}

// announce carries endpoint changes to the parent or to another control instance. Complete means that the upserts are all
// endpoints of the sender. The first announcement of a link carries Tombstones, since the receiver may have restarted.
type announce struct {
	Tombstones []tombstone     `msgpack:"left,omitempty"`
	Complete   bool            `msgpack:"complete,omitempty"`
	Upserts    upserts         `msgpack:"upserts,omitempty"`
	Removals   []lease.Removal `msgpack:"removals,omitempty"`
}

// endpoints carries endpoint changes to a child. Reset lists services whose endpoints are all among the upserts; with Partial,
// the sender may not know all of them yet, and the receiver removes none. Digest covers all services of the subscription.
// Answer marks the answer to an endpointsRequest.
type endpoints struct {
	Answer     bool               `msgpack:"answer,omitempty"`
	Reset      []core.ServiceName `msgpack:"reset,omitempty"`
	Partial    bool               `msgpack:"partial,omitempty"`
	HasDigest  bool               `msgpack:"has-digest,omitempty"`
	Digest     core.Hash          `msgpack:"digest,omitempty"`
	Upserts    upserts            `msgpack:"upserts,omitempty"`
	States     []stateChange      `msgpack:"s,omitempty"` // only to a child that can read them
	Removals   []lease.Removal    `msgpack:"removals,omitempty"`
	Tombstones []tombstone        `msgpack:"left,omitempty"`
}

// filterServices drops services that are no longer wanted: the message was sent before the parent learned that the
// subscription had ended, and no later message would update them.
func (e *endpoints) filterServices(wanted func(core.ServiceName) bool) {
	e.Reset = lo.Filter(e.Reset, func(service core.ServiceName, _ int) bool { return wanted(service) })
	e.Upserts = lo.Filter(e.Upserts, func(endpoint core.Endpoint, _ int) bool { return wanted(endpoint.Service) })
	e.Removals = lo.Filter(e.Removals, func(removal lease.Removal, _ int) bool { return wanted(removal.Service) })
	e.Tombstones = lo.Filter(e.Tombstones, func(each tombstone, _ int) bool { return wanted(each.Endpoint.Service) })
}

// tombstone is an endpoint that left its service; AgeMS is how long ago, in milliseconds, since clocks may differ.
type tombstone struct {
	Endpoint core.Endpoint `msgpack:"endpoint"`
	AgeMS    int64         `msgpack:"age-ms"`
}

// endpointsRequest asks for the endpoints of the services whose digests differ from those of the parent.
type endpointsRequest struct {
	Digests map[core.ServiceName]core.Hash `msgpack:"digests"`
}

// evidence carries a control instance's own cumulative sums to the other instances, and how late the sums of each move are, in
// units of latenessUnit.
type evidence struct {
	Counts         []core.EvidenceCount   `msgpack:"counts"`
	LatenessByMove map[core.MoveID]uint64 `msgpack:"late,omitempty"`
}

// acknowledge summarises the sender's subtree, the sender included. Revision and Hash identify the sender's own configuration.
type acknowledge struct {
	Revision core.Revision      `msgpack:"revision"`
	Hash     core.Hash          `msgpack:"hash"`
	Lowest   core.Revision      `msgpack:"lowest"`
	Nodes    int                `msgpack:"nodes"`
	Schema   core.SchemaVersion `msgpack:"schema-version"`
}

// subtreeOnly clears the fields that describe the sender alone.
func (a acknowledge) subtreeOnly() acknowledge {
	a.Revision, a.Hash = 0, 0
	return a
}

// merge adds another subtree and keeps the Revision and Hash of the receiver a.
func (a acknowledge) merge(other acknowledge) acknowledge {
	if a.Nodes == 0 {
		return other
	}
	if other.Nodes == 0 {
		return a
	}
	a.Lowest = min(a.Lowest, other.Lowest)
	a.Nodes += other.Nodes
	a.Schema = min(a.Schema, other.Schema)
	return a
}

type ping struct{}

// outgoing is a message that is due on a link.
type outgoing struct {
	kind    frame.Type
	message any
}

func configMessage(held configVersion, current *record.Configuration, history *history) outgoing {
	if delta, known := history.delta(held); known && held.revision > 0 {
		return outgoing{
			kind:    typeConfigDelta,
			message: delta,
		}
	}
	return outgoing{
		kind:    typeConfigFull,
		message: current.Full(),
	}
}
