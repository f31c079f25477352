package callerhttp

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/core/retry"
)

// Headers of callers' requests and answers.
const (
	headerDeadline       = "Parsleyport-Deadline-Ms"
	headerAttempts       = "Parsleyport-Attempts"
	headerDepth          = "Parsleyport-Depth"
	headerTenant         = "Parsleyport-Tenant"
	headerSession        = "Parsleyport-Session"
	headerIdempotencyKey = "Idempotency-Key"
	headerCallID         = "Parsleyport-Call-Id"
	headerOutcome        = "Parsleyport-Outcome"
	headerCause          = "Parsleyport-Cause"
	headerRelease        = "Parsleyport-Release"
	headerRevision       = "Parsleyport-Revision"
)

const (
	maxTenantBytes  = 128
	maxSessionBytes = 256
	maxKeyBytes     = 256
)

// request is one request of a caller with the configuration that it began with.
type request struct {
	configuration *record.Configuration
	route         record.Route
	call          *core.Call
	session       string
	attempts      retry.Attempts
	began         time.Time
	weights       []core.Weight
	waiting       bool // is counted among the calls that wait for an endpoint
}

func refusal(cause core.RefusalCause, detail string) *core.Refusal {
	return &core.Refusal{
		Cause:  cause,
		Detail: detail,
	}
}

// parse checks everything but the body; nothing of the request has been run when it returns a refusal.
func parse(r *http.Request, configuration *record.Configuration, now time.Time) (*request, *core.Refusal) {
	if slices.Contains(strings.Split(r.URL.Path, "/"), "..") {
		return nil, refusal(core.CauseMalformedCall, "path has a parent segment, which could lead to another route")
	}
	route, matched := configuration.Match(r.Host, r.Method, r.URL.Path)
	if !matched {
		return nil, refusal(core.CauseNoRoute, "")
	}
	numbers, bad := parseNumbers(r.Header)
	if bad != nil {
		return nil, bad
	}
	for name, limit := range map[string]int{headerTenant: maxTenantBytes, headerSession: maxSessionBytes, headerIdempotencyKey: maxKeyBytes} {
		if len(r.Header.Get(name)) > limit {
			return nil, refusal(core.CauseMalformedCall, name+" is too long")
		}
	}
	if numbers.depth >= core.MaxDepth {
		return nil, refusal(core.CauseTooDeep, "")
	}
	deadline := now.Add(route.Timeout())
	if numbers.remaining >= 0 {
		deadline = earlier(deadline, now.Add(numbers.remaining))
	}
	if !deadline.After(now) {
		return nil, refusal(core.CauseDeadline, "")
	}
	policy, _ := configuration.Policy(route.Service)
	return &request{
		configuration: configuration,
		route:         route,
		call:          callOf(r, configuration, route, deadline, numbers.depth+1),
		session:       r.Header.Get(headerSession),
		attempts:      retry.NewAttempts(policy.MaxAttempts, numbers.attempts),
		began:         now,
		weights:       configuration.Weights(route.Service),
	}, nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

type numbers struct {
	remaining time.Duration // negative if not stated
	attempts  int           // zero if not stated
	depth     int
}

const maxRemainingMS = 24 * 60 * 60 * 1000

func parseNumbers(header http.Header) (numbers, *core.Refusal) {
	n := numbers{
		remaining: -1,
	}
	for _, field := range []struct {
		name  string
		limit int
		set   func(int)
	}{
		{name: headerDeadline, limit: maxRemainingMS, set: func(v int) { n.remaining = time.Duration(v) * time.Millisecond }},
		{name: headerAttempts, limit: 1000, set: func(v int) { n.attempts = max(v, 1) }},
		{name: headerDepth, limit: 1000, set: func(v int) { n.depth = v }},
	} {
		text := header.Get(field.name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 || value > field.limit {
			return n, refusal(core.CauseMalformedCall, field.name+" must be a number from 0 to "+strconv.Itoa(field.limit))
		}
		field.set(value)
	}
	return n, nil
}

func callOf(r *http.Request, configuration *record.Configuration, route record.Route, deadline time.Time, depth int) *core.Call {
	service, _ := configuration.Service(route.Service)
	tenant := core.TenantID(r.Header.Get(headerTenant))
	if tenant == "" {
		tenant = service.Tenant
	}
	priority := route.Priority
	if priority == 0 {
		priority = service.Priority
	}
	return &core.Call{
		ID:             newCallID(),
		Tenant:         tenant,
		Service:        route.Service,
		Route:          route.Name,
		Revision:       configuration.Revision(),
		Method:         r.Method,
		Target:         r.URL.RequestURI(),
		Host:           r.Host,
		Header:         r.Header.Clone(), // io/backendhttp removes what concerns one connection only
		Idempotent:     route.Idempotent,
		IdempotencyKey: core.IdempotencyKey(r.Header.Get(headerIdempotencyKey)),
		Priority:       priority,
		Deadline:       deadline,
		Depth:          depth,
	}
}

func newCallID() core.CallID {
	var id [16]byte
	_, _ = rand.Read(id[:]) // crypto/rand never returns an error
	return core.CallID(hex.EncodeToString(id[:]))
}

// readBody buffers the body so that an attempt can be repeated; it returns a refusal if the body is cut or too long, or
// if reserve allows no more memory.
func readBody(r *http.Request, limit int64, reserve func(bytes int64) bool) ([]byte, *core.Refusal) {
	if r.ContentLength > limit {
		return nil, refusal(core.CauseMalformedCall, "body is over "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 && !reserve(r.ContentLength) {
		return nil, refusal(core.CauseQueueFull, "no memory for more request bodies")
	}
	var body bytes.Buffer
	body.Grow(int(max(r.ContentLength, 0)))
	for {
		if r.ContentLength < 0 && !reserve(core.MaxChunkBytes) {
			return nil, refusal(core.CauseQueueFull, "no memory for more request bodies")
		}
		_, err := io.CopyN(&body, r.Body, core.MaxChunkBytes)
		if int64(body.Len()) > limit {
			return nil, refusal(core.CauseMalformedCall, "body is over "+strconv.FormatInt(limit, 10)+" bytes")
		}
		if err == io.EOF {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, refusal(core.CauseMalformedCall, errors.Annotate(err, "read body").Error())
		}
	}
}
