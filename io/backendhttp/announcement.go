package backendhttp

import (
	"net/netip"

	"github.com/juju/errors"

	"parsleyport/core"
)

// Announcement is the state that the backend server announces to its node.
type Announcement struct {
	// Service is the service that the backend server implements.
	Service core.ServiceName `json:"service"`
	// Release is the release of the service that the backend server runs.
	Release core.Release `json:"release"`
	// Address is the IP address and port at which the backend server takes calls.
	Address string `json:"address"`
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int `json:"slots"`
	// State is starting, ready or leaving.
	State core.EndpointState `json:"state"`
	// Run identifies the process: it changes with each start.
	Run string `json:"run"`
	// Instance is sent with each call, so that the backend server can refuse calls for another instance. Empty if it does not check.
	Instance string `json:"instance,omitempty"`
}

const (
	maxSlots     = 10_000
	maxNameBytes = 128
	maxRunBytes  = 128 // also of Instance
	// maxAnnouncementBytes bounds the request body and the request header.
	maxAnnouncementBytes = 4 << 10
)

// Check returns an error that names the first invalid field and the expected values.
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
