package backendhttp

import (
	"net/netip"

	"github.com/juju/errors"

	"parsleyport/core"
)

// Announcement is what the backend server says of itself; Run changes with each start of its process.
type Announcement struct {
	Service core.ServiceName   `json:"service"`
	Release core.Release       `json:"release"`
	Address string             `json:"address"`
	Slots   int                `json:"slots"`
	State   core.EndpointState `json:"state"`
	Run     string             `json:"run"`
	// Instance is the name by which the backend server knows calls that are meant for another one; empty if it does not.
	Instance string `json:"instance,omitempty"`
}

const (
	maxSlots     = 10_000
	maxNameBytes = 128
	maxRunBytes  = 128
	// maxAnnouncementBytes bounds the request body.
	maxAnnouncementBytes = 4 << 10
)

// Check returns which field is wrong and what was expected.
func (a Announcement) Check() error {
	if a.Service == "" || len(a.Service) > maxNameBytes {
		return errors.Errorf("service is %q, expected 1 to %d bytes", a.Service, maxNameBytes)
	}
	if a.Release == "" || len(a.Release) > maxNameBytes {
		return errors.Errorf("release is %q, expected 1 to %d bytes", a.Release, maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Errorf("address is %q, expected an IP number and a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Errorf("slots is %d, expected 1 to %d", a.Slots, maxSlots)
	}
	switch a.State {
	case core.EndpointStarting, core.EndpointReady, core.EndpointLeaving:
	default:
		return errors.Errorf("state is %q, expected starting, ready or leaving", a.State)
	}
	if a.Run == "" || len(a.Run) > maxRunBytes {
		return errors.Errorf("run is %q, expected 1 to %d bytes", a.Run, maxRunBytes)
	}
	if len(a.Instance) > maxRunBytes {
		return errors.Errorf("instance is %q, expected at most %d bytes", a.Instance, maxRunBytes)
	}
	return nil
}
