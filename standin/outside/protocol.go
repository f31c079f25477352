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

// Protocol describes how callers and backend servers communicate with nodes.
type Protocol struct {
	Name    string // program name in help texts and errors
	Headers core.HeaderNames
	// CallerSetsCallID makes callers send a call id with each attempt. Otherwise the node assigns it.
	CallerSetsCallID bool
	// Announce returns the request that announces a backend server to the node at an address, or nil if none is needed.
	Announce func(node string, a Announcement) (*http.Request, error)
	// AwaitsLeaveAcknowledgement makes a leaving backend server repeat its announcement until the node acknowledges it, and fail
	// if the node does not. Otherwise it announces that it leaves only once.
	AwaitsLeaveAcknowledgement bool
	// DrainDelay is the time that a backend server serves on after announcing that it leaves.
	DrainDelay time.Duration
	// ExtraCommands adds the protocol's own commands and returns the function that runs each, by command name. May be nil.
	ExtraCommands func(app *kingpin.Application) map[string]func(context.Context) error
}

// State is the state that a backend server announces.
type State string

// The states of a backend server: it takes requests, finishes its requests before a stop, or no longer serves.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Announcement describes a backend server to its node.
type Announcement struct {
	Service         string
	Release         string
	Address         string
	Slots           int
	State           State
	RunID           string // identifies this process
	StartedAt       time.Time
	Sequence        int           // number of the announcement since the start
	WarmUpRemaining time.Duration // time in which runs still take longer than usual
}

// DefaultProtocol returns parsleyport's default interface for callers and backend servers.
func DefaultProtocol() Protocol {
	return Protocol{
		Name:     "standin",
		Headers:  core.DefaultHeaderNames(),
		Announce: defaultAnnouncement,
	}
}

func defaultAnnouncement(node string, a Announcement) (*http.Request, error) {
	if a.State == StateGone {
		return nil, nil // the lease expires
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

// JSONRequest returns a request with a JSON body. It fails if the body cannot be encoded as JSON or the address is malformed.
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

// outcomeOf returns the outcome of a call from its answer: from the header for it or, if the protocol has none, by the status.
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

// formatMilliseconds formats a duration as a header value, in whole milliseconds.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}
