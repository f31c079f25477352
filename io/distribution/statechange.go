package distribution

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
)

// stateChange is an announcement that differs from the node's last one in its state only. It takes about 15 bytes instead of
// 65; Check is a hash of what both sides have to hold already.
type stateChange struct {
	//lint:ignore U1000 tells the msgpack library the form
	_msgpack struct{} `msgpack:",as_array"`

	Node     core.NodeID
	Check    uint16
	Sequence uint64
	State    uint8 // position in stateCodes
}

var stateCodes = []core.EndpointState{core.EndpointStarting, core.EndpointReady, core.EndpointLeaving}

// checksumOf hashes what a state change leaves out.
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

// shorten replaces announcements by state changes where the child has been sent the rest on this link.
func (c *child) compactUpserts(list []core.Endpoint) (full upserts, states []stateChange) {
	for _, e := range list {
		check := checksumOf(e)
		code := slices.Index(stateCodes, e.State)
		if sent, known := c.sentChecks[e.Node]; !c.readsStates || code < 0 || !known || sent != check {
			full = append(full, e)
			continue
		}
		states = append(states, stateChange{
			Node:     e.Node,
			Check:    check,
			Sequence: e.Sequence,
			State:    uint8(code),
		})
	}
	c.recordSent(full)
	return full, states
}

// tell remembers which endpoints a child has been sent.
func (c *child) recordSent(list []core.Endpoint) {
	for _, e := range list {
		c.sentChecks[e.Node] = checksumOf(e)
	}
}

// applyStateChanges applies state changes, and asks for the services that differ if it does not hold what a change is based on.
func (s *Subscriber) applyStateChanges(now time.Time, u *uplink, list []stateChange) {
	for _, change := range list {
		held, known := s.hub.table.Lookup(change.Node)
		if known && !u.wants(held.Service) {
			continue // crossed with the end of a subscription
		}
		if !known || checksumOf(held) != change.Check || int(change.State) >= len(stateCodes) {
			u.endpointsRequestDue = true
			continue
		}
		held.Sequence, held.State = change.Sequence, stateCodes[change.State]
		s.hub.table.Announce(now, parentOwner, held)
	}
}
