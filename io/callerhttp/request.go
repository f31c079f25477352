package callerhttp

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"parsleyport/core"
	"parsleyport/core/callerauth"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
	"parsleyport/core/retry"
	"parsleyport/io/pipelinehttp"
)

const (
	maxTenantBytes  = 128
	maxSessionBytes = 256
	maxKeyBytes     = 256
	maxIDBytes      = 128
	// pipelinedAnswerMargin covers the round trips to a caller and to a node of another data centre, which is asked whether the call has
	// run. On deployment B these took up to 30 ms with the processing.
	pipelinedAnswerMargin = 60 * time.Millisecond
	// maxMarginShare is the divisor of the part of the remaining time that the margin may take.
	maxMarginShare = 2
)

// request is a caller's request with the configuration that was in force when it arrived. All attempts use that configuration.
type request struct {
	configuration    *record.Configuration
	route            record.Route
	call             *core.Call
	session          string
	attempts         retry.Attempts
	arrivedAt        time.Time
	callerDeadline   time.Time // time until which the caller waits, later than the call's deadline if the route has a shorter timeout
	weights          []core.Weight
	attemptCount     int         // including attempts that found no endpoint
	capacityRefusals int         // that were retried without cost to the retry budget
	countedAsWaiting bool        // in Server.waiting
	limited          bool        // the tenant has a limit
	reachedBackend   atomic.Bool // a backend server itself has refused an attempt
	fingerprints     []idempotency.Fingerprint
	trialRan         bool // the request is a test (core.Call.Trial) and may have run
}

// setFingerprints sets the fingerprints under which the request may be suspected of crashing backend servers.
func (r *request) setFingerprints(callerServiceHeader string) {
	fingerprint := idempotency.FingerprintOf(r.call)
	r.fingerprints = []idempotency.Fingerprint{fingerprint}
	if exact := idempotency.ExactFingerprintOf(fingerprint, r.call, headerValue(r.call.Header, callerServiceHeader)); exact != fingerprint {
		r.fingerprints = append(r.fingerprints, exact)
	}
}

func newRefusal(cause core.RefusalCause, detail string) *core.Refusal {
	return &core.Refusal{
		Cause:  cause,
		Detail: detail,
	}
}

// parseRequest validates a request except for its body and builds the call. After a refusal nothing of the request has been run.
func (s *Server) parseRequest(r *http.Request, configuration *record.Configuration, now time.Time) (*request, *core.Refusal) {
	names := &s.options.Headers
	if slices.Contains(strings.Split(r.URL.Path, "/"), "..") {
		return nil, newRefusal(core.CauseMalformedCall, "path has a parent segment, which could lead to another route")
	}
	route, matched := configuration.Match(r.Host, r.Method, r.URL.Path)
	if !matched {
		return nil, newRefusal(core.CauseNoRoute, "")
	}
	admission := callerauth.Admit(configuration, route, r.Header["Authorization"], s.options.KeyScheme, s.options.LeaderHeard)
	if admission.Refusal != "" {
		return nil, newRefusal(admission.Refusal, "the request has no API key that this node knows")
	}
	route.Service = drawService(route, rand.Int64N)
	numbers, malformed := parseNumericHeaders(names, r.Header)
	if malformed != nil {
		return nil, malformed
	}
	for name, limit := range map[string]int{names.Tenant: maxTenantBytes, names.Session: maxSessionBytes, names.IdempotencyKey: maxKeyBytes, names.CallID: maxIDBytes} {
		if len(headerValue(r.Header, name)) > limit {
			return nil, newRefusal(core.CauseMalformedCall, name+" is too long")
		}
	}
	if numbers.depth >= core.MaxDepth {
		return nil, newRefusal(core.CauseTooDeep, "")
	}
	deadline := now.Add(route.Timeout())
	if numbers.remaining >= 0 {
		margin := answerMargin(r, route, numbers.remaining)
		answerBy := now.Add(numbers.remaining - margin)
		if margin > 0 {
			pipelinehttp.SetAnswerBy(r.Context(), answerBy)
		}
		deadline = earliest(deadline, answerBy)
	}
	if !deadline.After(now) {
		return nil, newRefusal(core.CauseDeadline, "")
	}
	attempts := route.MaxAttempts
	if attempts == 0 {
		policy, _ := configuration.Policy(route.Service)
		attempts = policy.MaxAttempts
	}
	softDeadline := time.Time{}
	if route.TargetLatencyMS > 0 {
		softDeadline = now.Add(time.Duration(route.TargetLatencyMS) * time.Millisecond)
		if numbers.remaining >= 0 {
			softDeadline = softDeadline.Add(-s.elapsedSinceFirstAttempt(route.Name, now, numbers.remaining))
		}
	}
	callerDeadline := deadline
	if numbers.remaining >= 0 {
		callerDeadline = now.Add(numbers.remaining)
	}
	call := s.newCall(r, configuration, route, admission, deadline, numbers.depth+1)
	call.SoftDeadline, call.StartBy = softDeadline, s.startDeadline(now)
	return &request{
		configuration:  configuration,
		route:          route,
		call:           call,
		session:        headerValue(r.Header, names.Session),
		attempts:       retry.NewAttempts(attempts, numbers.attempts),
		arrivedAt:      now,
		callerDeadline: callerDeadline,
		weights:        configuration.Weights(route.Service),
		limited:        admission.Tenant.Limited(),
	}, nil
}

// answerMargin returns how long before the end of a caller's time its request is given up. A caller that gets no answer in time closes
// its connection. If it pipelines, it cuts off its other requests there; a failure that arrives in time leaves them alone. Requests
// that are not idempotent are alone on their connection.
func answerMargin(r *http.Request, route record.Route, remaining time.Duration) time.Duration {
	if !route.Idempotent || !pipelinehttp.Pipelined(r.Context()) {
		return 0
	}
	if remaining <= pipelinedAnswerMargin {
		return remaining // it is refused at once
	}
	return min(pipelinedAnswerMargin, remaining/maxMarginShare)
}

// startDeadline returns the time by which a call must get a slot. While the server drains, this is at the latest the end of
// RefusalPeriod, since the call has to end before the server stops.
func (s *Server) startDeadline(now time.Time) time.Time {
	if s.options.MaxQueueTime == 0 {
		return time.Time{}
	}
	limit := now.Add(s.options.MaxQueueTime)
	if stop := s.drainStartBy.Load(); stop != 0 {
		limit = earliest(limit, time.Unix(0, stop))
	}
	return limit
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

type numericHeaders struct {
	remaining time.Duration // time until the deadline; negative if the header is missing
	attempts  int           // attempts left; zero if the header is missing
	depth     int
}

const maxRemainingTimeMS = 24 * 60 * 60 * 1000

// headerValue returns the value of a header, or an empty string if the header has no name and so is not in use.
func headerValue(header http.Header, name string) string {
	if name == "" {
		return ""
	}
	return header.Get(name)
}

// drawService draws the service of a call by the weights of the route's split. Retries stay with that service, so that the split
// holds even if one of the services is overloaded.
func drawService(route record.Route, draw func(int64) int64) core.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	sum := int64(0)
	for _, share := range route.Split {
		sum += share.Weight
	}
	position := draw(sum)
	for _, share := range route.Split {
		if position < share.Weight {
			return share.Service
		}
		position -= share.Weight
	}
	return route.Split[0].Service
}

func parseNumericHeaders(names *core.HeaderNames, header http.Header) (numericHeaders, *core.Refusal) {
	n := numericHeaders{
		remaining: -1,
	}
	for _, field := range []struct {
		name  string
		limit int
		set   func(int)
	}{
		{name: names.Deadline, limit: maxRemainingTimeMS, set: func(v int) { n.remaining = time.Duration(v) * time.Millisecond }},
		{name: names.Attempts, limit: 1000, set: func(v int) { n.attempts = max(v, 1) }},
		{name: names.Depth, limit: 1000, set: func(v int) { n.depth = v }},
	} {
		text := headerValue(header, field.name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 || value > field.limit {
			return n, newRefusal(core.CauseMalformedCall, field.name+" must be a number from 0 to "+strconv.Itoa(field.limit))
		}
		field.set(value)
	}
	return n, nil
}

func (s *Server) newCall(r *http.Request, configuration *record.Configuration, route record.Route, admission callerauth.Admission, deadline time.Time, depth int) *core.Call {
	service, _ := configuration.Service(route.Service)
	names := &s.options.Headers
	tenant := admission.Tenant.ID
	if !configuration.HasTenants() {
		tenant = core.TenantID(headerValue(r.Header, names.Tenant))
	}
	if tenant == "" {
		tenant = service.Tenant
	}
	priority := route.Priority
	if priority == 0 {
		priority = service.Priority
	}
	if admission.Tenant.Priority != nil {
		priority = *admission.Tenant.Priority
	}
	id := core.CallID("")
	if s.options.CallerSetsCallID {
		id = core.CallID(headerValue(r.Header, names.CallID))
	}
	if id == "" {
		id = newCallID()
	}
	header := r.Header.Clone() // io/backendhttp removes the hop-by-hop headers
	if names.CallerService != "" {
		header.Del(names.CallerService)
		if s.options.CallerService != nil {
			header.Set(names.CallerService, string(s.options.CallerService()))
		}
	}
	if configuration.HasTenants() {
		s.replaceCredentials(header, admission)
	}
	return &core.Call{
		ID:             id,
		Tenant:         tenant,
		Service:        route.Service,
		Route:          route.Name,
		Revision:       configuration.Revision(),
		Method:         r.Method,
		Target:         r.URL.RequestURI(),
		Host:           r.Host,
		Header:         header,
		Idempotent:     route.Idempotent,
		IdempotencyKey: core.IdempotencyKey(headerValue(r.Header, names.IdempotencyKey)),
		Priority:       priority,
		Deadline:       deadline,
		Depth:          depth,
	}
}

// replaceCredentials replaces the API key of a request by the id of the tenant that it belongs to. The key stays at this node.
func (s *Server) replaceCredentials(header http.Header, admission callerauth.Admission) {
	if others := callerauth.WithoutCredentials(header["Authorization"], s.options.KeyScheme); len(others) > 0 {
		header["Authorization"] = others
	} else {
		delete(header, "Authorization")
	}
	name := s.options.Headers.BackendTenant
	if name == "" {
		return
	}
	header.Del(name)
	if !admission.Known {
		return
	}
	header.Set(name, string(admission.Tenant.ID))
	// Headers that Connection names are not passed on, so a caller could hide its tenant from the backend server.
	for i, list := range header["Connection"] {
		options := slices.DeleteFunc(strings.Split(list, ","), func(option string) bool { return strings.EqualFold(strings.TrimSpace(option), name) })
		header["Connection"][i] = strings.Join(options, ",")
	}
}

func newCallID() core.CallID {
	var id [16]byte
	_, _ = crand.Read(id[:]) // crypto/rand never returns an error
	return core.CallID(hex.EncodeToString(id[:]))
}
