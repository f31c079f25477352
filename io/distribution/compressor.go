package distribution

import (
	"parsleyport/core"
	"parsleyport/core/lease"
	"parsleyport/io/frame"
)

// newCompressor returns the compressor for links of the tree. Configurations need no sample, since their records resemble each
// other.
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
