package distribution

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

// stateChange is an announcement that differs from the node's last one only in its state and sequence. It takes about 15 bytes
// instead of 65. Checksum is a hash of the fields that it omits, which the receiver must already hold.
type stateChange struct {
	//lint:ignore U1000 tells the msgpack library to encode the fields as an array
	_msgpack struct{} `msgpack:",as_array"`

	Node     core.NodeID
	Checksum uint16
	Sequence uint64
	State    uint8 // index in stateCodes
}

// stateCodes lists the states by their code on the wire.
var stateCodes = []core.EndpointState{core.EndpointStarting, core.EndpointReady, core.EndpointLeaving}

// checksumOf hashes the fields that a state change omits.
func checksumOf(e core.Endpoint) uint16 {
	hash := xxhash.New()
	for _, part := range []string{
		string(e.Node), strconv.FormatInt(int64(e.Incarnation), 10), string(e.DataCentre), e.Address, string(e.Service),
		string(e.Release), strconv.Itoa(e.Slots),
	} {
		_, _ = hash.WriteString(part + "\x00")
	}
	return uint16(hash.Sum64())
}

// compactUpserts replaces announcements by state changes if the child was sent the other fields on this link.
func (c *child) compactUpserts(list []core.Endpoint) (full upserts, states []stateChange) {
	for _, e := range list {
		check := checksumOf(e)
		code := slices.Index(stateCodes, e.State)
		if sent, known := c.sentChecksums[e.Node]; !c.readsStates || code < 0 || !known || sent != check {
			full = append(full, e)
			continue
		}
		states = append(states, stateChange{
			Node:     e.Node,
			Checksum: check,
			Sequence: e.Sequence,
			State:    uint8(code),
		})
	}
	c.recordSent(full)
	return full, states
}

// recordSent records the endpoints that a child was sent.
func (c *child) recordSent(list []core.Endpoint) {
	for _, e := range list {
		c.sentChecksums[e.Node] = checksumOf(e)
	}
}

// applyStateChanges applies state changes; it requests the services that differ if the node does not hold the base of a change.
func (s *Subscriber) applyStateChanges(now time.Time, u *uplink, list []stateChange) {
	for _, change := range list {
		held, known := s.hub.table.Lookup(change.Node)
		if known && !u.wants(held.Service) {
			continue // the change crossed with the end of a subscription
		}
		if !known || checksumOf(held) != change.Checksum || int(change.State) >= len(stateCodes) {
			u.endpointsRequestDue = true
			continue
		}
		held.Sequence, held.State = change.Sequence, stateCodes[change.State]
		s.hub.table.Announce(now, parentOwner, held)
	}
}
