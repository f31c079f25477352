package distribution

import (
	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/io/frame"
)

// newCompressor returns the packing of messages on the links of the tree. Configurations repeat themselves and need no sample.
func newCompressor() (*frame.Compressor, error) {
	endpoint := core.Endpoint{State: core.EndpointReady}
	return frame.NewCompressor(
		hello{Kind: kindNode},
		accept{Controls: []ControlAddress{{}}},
		subscribe{Services: []core.ServiceName{""}, States: true},
		nodes{Reports: []NodeReport{{}}},
		acknowledge{},
		evidence{Counts: []core.EvidenceCount{{}}},
		sums{},
		announce{Upserts: upserts{endpoint}, Removals: []lease.Removal{{}}},
		endpoints{HasDigest: true, Upserts: upserts{endpoint}, States: []stateChange{{}}, Removals: []lease.Removal{{}}},
	)
}
