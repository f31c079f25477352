package outside

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"parsleyport/core"
)

// Protocol is what callers and backend servers speak with their nodes.
type Protocol struct {
	Name    string
	Headers core.HeaderNames
	// CallerSetsCallID says that a caller numbers its attempts; otherwise the node does.
	CallerSetsCallID bool
	// Announce makes the request that tells the node at an address of a backend server.
	Announce func(node string, a Announcement) (*http.Request, error)
	// AwaitsLeaveAcknowledgement says that a backend server which leaves waits until its node knows it; it fails otherwise.
	AwaitsLeaveAcknowledgement bool
	// DrainDelay is how long a backend server goes on after its node knows that it leaves.
	DrainDelay time.Duration
	// Commands adds commands of the protocol's own; each has a function that runs it.
	ExtraCommands func(app *kingpin.Application) map[string]func(context.Context) error
}

// State is what a backend server says of itself.
type State string

// The states of a backend server. A server that is gone has stopped to serve.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Announcement tells a node of the backend server beside it.
type Announcement struct {
	Service         string
	Release         string
	Address         string
	Slots           int
	State           State
	RunID           string // names this start of the server
	StartedAt       time.Time
	Sequence        int           // counts the announcements of a run
	WarmUpRemaining time.Duration // for which the server stays slow
}

// DefaultProtocol is parsleyport's own interface.
func DefaultProtocol() Protocol {
	return Protocol{
		Name:     "standin",
		Headers:  core.DefaultHeaderNames(),
		Announce: defaultAnnouncement,
	}
}

func defaultAnnouncement(node string, a Announcement) (*http.Request, error) {
	if a.State == StateGone {
		return nil, nil // the lease ends by itself
	}
	return JSONRequest(http.MethodPut, "http://"+node+"/v1/backend", map[string]any{
		"service": a.Service,
		"release": a.Release,
		"address": a.Address,
		"slots":   a.Slots,
		"state":   a.State,
		"run":     a.RunID,
	})
}

// JSONRequest makes a request with a JSON body; it fails on values that JSON cannot hold and on a malformed address.
func JSONRequest(method, address string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(context.Background(), method, address, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// outcomeOf returns what an answer says of its call. A protocol without a header for it says so by the status.
func (p Protocol) outcomeOf(response *http.Response) string {
	if p.Headers.Outcome != "" {
		return response.Header.Get(p.Headers.Outcome)
	}
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return string(core.OutcomeNotRun)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return string(core.OutcomeUnknown)
	}
	return string(core.OutcomeAnswered)
}

// formatMilliseconds formats a time as callers state it.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}
