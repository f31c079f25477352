package distribution

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/core/record"
	"parsleyport/io/frame"
)

// newFrame returns a frame whose body need not match its type.
func newFrame(kind frame.Type, body []byte) (frame.Frame, error) {
	head := binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint32(nil, uint32(len(body)+2)), uint16(kind))
	received, _, err := frame.Read(bytes.NewReader(append(head, body...)))
	return received, err
}

func addSeeds(f *testing.F) {
	for kind, message := range map[frame.Type]any{
		typeAccept:           accept{Path: []core.NodeID{"a"}, Control: "c1"},
		typeConfigFull:       revision(2).Full(),
		typeConfigDelta:      revision(2).DeltaFrom(revision(1)),
		typeConfirm:          confirm{Number: 1, Revision: 1},
		typeConfirmRequest:   confirmRequest{Number: 1},
		typeSubscribe:        subscribe{All: true},
		typeAnnounce:         announce{Complete: true, Upserts: []core.Endpoint{endpoint("s", core.EndpointReady)}, Removals: []lease.Removal{{Node: "a"}}},
		typeEndpoints:        endpoints{Answer: true, Reset: []core.ServiceName{"s"}, HasDigest: true, Upserts: []core.Endpoint{endpoint("s", core.EndpointReady)}, States: []stateChange{{Node: "a", State: 9}}},
		typeEndpointsRequest: endpointsRequest{Digests: map[core.ServiceName]core.Hash{"s": 1}},
		typeEvidence:         evidence{Counts: []core.EvidenceCount{{Move: "m1", Calls: 1}}},
		typeAcknowledge:      acknowledge{Lowest: 1, Nodes: 1},
		typeCrashes:          crashes{},
		typeSums:             sums{Series: []series{{Move: "m1"}}, Counts: []byte{0, 2, 1, 0, 1, 2}, HasReporting: true, Names: []string{"m2"}, Same: []byte{30}, Rows: []byte{0x10, 0x7f, 0xff, 0xff}},
	} {
		body, err := msgpack.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint16(kind), body)
	}
	f.Add(uint16(typeAnnounce), []byte("\x81\xa8removals\xdd\xff\xff\xff\xff")) // states 4.3 billion removals
	f.Add(uint16(typeSums), []byte("\x81\xa6counts\xc4\x02\xff\xff"))
}

// Guards against a message of a child or of another control instance that makes a process panic or hang.
func FuzzMessageFromChild(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		received, err := newFrame(frame.Type(kind), body)
		if err != nil {
			return
		}
		for _, from := range []linkKind{kindNode, kindControl} {
			h := newHub(zerolog.Nop(), newMeters(setOrNew(nil)), Network{})
			h.control, h.current = "c1", record.Empty()
			h.peers["c2"] = true
			c := h.newChild(hello{Kind: from, ID: "c2"}, nil)
			now := time.Unix(1_700_000_000, 0)
			_ = h.handleFromChild(now, c, received)
			_ = h.handleFromChild(now, c, received)
			_, _ = h.dueToChild(c, now)
			h.table.Expire(now.Add(time.Hour))
		}
	})
}

// Guards against a message of a parent that makes a node panic or hang, or that puts an invalid configuration into force.
func FuzzMessageFromParent(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		received, err := newFrame(frame.Type(kind), body)
		if err != nil {
			return
		}
		s := &Subscriber{
			hub: newHub(zerolog.Nop(), newMeters(setOrNew(nil)), Network{}), logger: zerolog.Nop(),
			confirmed: make(chan struct{}), endpointsReceived: make(chan struct{}), changeCh: make(chan struct{}), firstStaleTarget: -1,
			options: SubscriberOptions{ID: "n", ControlAddresses: []string{"c1"}}, attachment: &attachment{},
		}
		s.hub.relayID = "n"
		s.current.Store(revision(1))
		s.hub.setCurrent(revision(1))
		u := newUplink(nil, kindNode, evidenceInterval)
		_ = s.handleFromParent(u, received)
		_ = s.handleFromParent(u, received)
		if _, err := record.FromFull(s.Current().Full()); err != nil {
			t.Fatal(err)
		}
	})
}
