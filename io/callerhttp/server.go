package callerhttp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/callerauth"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
	"parsleyport/core/retry"
	"parsleyport/io/httpserver"
	"parsleyport/io/pipelinehttp"
)

const (
	defaultMaxBodyBytes = 64 << 20
	// defaultDrainPeriod lets idle callers send one more request while the server drains. The answer tells them to close the
	// connection; closing it at once could cut off a request in flight.
	defaultDrainPeriod = time.Second
	drainPollInterval  = 20 * time.Millisecond
	// unreadRequestTimeout limits how long a draining server, after closing its listener, waits for requests on the connections
	// that it has accepted. It covers several round trips between data centres.
	unreadRequestTimeout = time.Second
	// maxActiveRequests bounds the memory for unread answers to 64 MiB, at 64 KiB a request (see io/nodepeer).
	maxActiveRequests = 1024
	// maxBufferedBodyBytes bounds the memory for the request bodies of all calls together.
	maxBufferedBodyBytes = 32 << 20
	// writeGracePeriod is how long after a call's deadline its answer may still be written to a slow caller.
	writeGracePeriod = time.Second
	// maxTrackedServices bounds the services with latency statistics (1 KiB each) and with retry budgets.
	maxTrackedServices = 4096
)

// KeyClaimer claims idempotency keys at the nodes that hold them. It is implemented by nodepeer.Claims.
type KeyClaimer interface {
	// Claim asks the holders of the call's key whether the call may run. The recorded answer belongs to VerdictAnswered.
	Claim(ctx context.Context, call *core.Call) (idempotency.Verdict, *idempotency.RecordedAnswer)
	// Settle reports the outcome of a claimed call to the holders of its key.
	Settle(ctx context.Context, call *core.Call, verdict idempotency.Verdict, answer *idempotency.RecordedAnswer)
}

// Options configures a Server. Source, Endpoints, Picker, Forwarder, Evidence and ConfigurationConfirmed are required.
type Options struct {
	// Address is the TCP address to listen on.
	Address string
	// Listener replaces Address if it is set.
	Listener net.Listener
	// Source holds the configuration in force.
	Source record.Source
	// ConfigurationConfirmed reports whether the configuration is at least as new as any that the node used before its restart. Until
	// it is, all calls are refused.
	ConfigurationConfirmed func() bool
	// Endpoints lists the known endpoints of a service.
	Endpoints core.EndpointSource
	// EndpointsChanged returns a channel that is closed at the next change of a service's endpoints. If it is nil, no call waits
	// for an endpoint.
	EndpointsChanged func(core.ServiceName) <-chan struct{}
	// SubscribeEndpoints is called with the service of each call. It may be nil.
	SubscribeEndpoints func(core.ServiceName)
	// EndpointsKnown reports whether all endpoints of a service are known, including those that have left. Nil means yes.
	EndpointsKnown func(core.ServiceName) bool
	// Picker chooses one of the candidate endpoints of a release.
	Picker core.Picker
	// Forwarder sends calls to endpoints.
	Forwarder core.Forwarder
	// Evidence records the attempts for the comparison of releases.
	Evidence core.EvidenceRecorder
	// ReleaseAllowed reports whether a release may get calls from this node. Nil means yes.
	ReleaseAllowed func(core.ServiceName, core.Release) bool
	// CrashSuspected reports whether requests with a fingerprint are suspected of crashing backend servers. Nil means no.
	CrashSuspected func(idempotency.Fingerprint) bool
	// CrashTrials lets some of these requests run as tests. Nil means none.
	CrashTrials core.CrashTrials
	// CallCompleted is called with the fingerprints of a request that a backend server has answered whole. It may be nil.
	CallCompleted func(idempotency.Fingerprint)
	// Keys claims idempotency keys. If it is nil, the keys of calls are ignored.
	Keys KeyClaimer
	// Quota admits the calls of tenants with a limit. If it is nil, there are no limits.
	Quota core.QuotaLimiter
	// Limits bounds what callers can make the server do.
	Limits pipelinehttp.Limits
	// MaxBodyBytes bounds a request body if the configuration declares no limit. Zero means 64 MiB.
	MaxBodyBytes int64
	// Headers names the HTTP headers; the zero value stands for the default names.
	Headers core.HeaderNames
	// KeyScheme is the scheme of API keys in the Authorization header. Empty means Bearer.
	KeyScheme string
	// LeaderHeard reports whether the configuration is recent. While it is not, requests with an unknown API key get status 503 instead
	// of 401. Nil means yes.
	LeaderHeard func() bool
	// CallerSetsCallID uses the call ID header of a request as the call's ID, instead of a random one.
	CallerSetsCallID bool
	// CallerService returns the service of the local callers for the caller service header. If it is nil, the header is removed.
	CallerService func() core.ServiceName
	// DisableHedging turns hedged attempts off.
	DisableHedging bool
	// RetryBudget configures the retry budget of each service; the zero value stands for the default.
	RetryBudget retry.BudgetOptions
	// FleetNodes returns the number of nodes that share RetryBudget.SharedRetries, zero if it is unknown. Nil means unknown.
	FleetNodes func() int
	// RetryAfter returns the wait that the Retry-After header of answers with status 503 states, in seconds with fractions. If it is
	// nil, the header is not set.
	RetryAfter func(retry.RefusedCall) time.Duration
	// FreeCapacityRetries is the number of retries after capacity refusals that cost no retry budget. Zero means none.
	FreeCapacityRetries int
	// MaxQueueTime bounds how long a call may wait for a slot. Zero means until its deadline.
	MaxQueueTime time.Duration
	// DrainPeriod is how long Drain keeps answering calls before it refuses them. Zero means 1 s. Drain ends it early if no caller
	// is connected, unless it is longer than 1 s.
	DrainPeriod time.Duration
	// RefusalPeriod follows DrainPeriod: the server still listens, but refuses calls, which might not end before it stops.
	RefusalPeriod time.Duration
	// Logger gets a line for each refused, failed, late or retried call, up to a rate limit, and for a sample of the others.
	Logger zerolog.Logger
	// Metrics gets the server's metrics. If it is nil, a private set is used.
	Metrics *metrics.Set
}

// Server answers the HTTP requests of local callers.
type Server struct {
	options           Options
	listener          net.Listener
	http              *pipelinehttp.Server
	tasks             sync.WaitGroup
	draining          atomic.Bool
	refusing          atomic.Bool
	drainStartBy      atomic.Int64 // Unix nanoseconds by which calls must get a slot while the server drains; zero otherwise
	activeRequests    atomic.Int64
	bufferedBodyBytes atomic.Int64

	mu            sync.Mutex // guards the fields up to closed
	retryBudgets  map[core.ServiceName]*retry.Budget
	hedgingStates map[core.ServiceName]*retry.Hedging
	timeouts      map[core.RouteName]*timeoutEstimate
	waiting       waitingCalls
	closed        bool

	callLog        callLog
	hedges         *metrics.Counter
	hedgesWon      *metrics.Counter
	retries        *metrics.Counter
	crashTrials    *metrics.Counter
	abortedAnswers *metrics.Counter
	waits          *metrics.Counter
	latency        *metrics.Histogram
	outcomes       map[core.Outcome]*metrics.Counter
}

// New listens and starts to serve. The clean-up function closes all connections and waits for the server's goroutines.
func New(options Options) (*Server, func(), error) {
	if options.Source == nil || options.Endpoints == nil || options.Picker == nil || options.Forwarder == nil || options.Evidence == nil || options.ConfigurationConfirmed == nil {
		return nil, nil, errors.New("Source, Endpoints, Picker, Forwarder, Evidence and ConfigurationConfirmed must be set")
	}
	listener := options.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", options.Address); err != nil {
			return nil, nil, errors.Annotate(err, "listen for callers")
		}
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.Headers == (core.HeaderNames{}) {
		options.Headers = core.DefaultHeaderNames()
	}
	if options.KeyScheme == "" {
		options.KeyScheme = callerauth.DefaultScheme
	}
	if options.LeaderHeard == nil {
		options.LeaderHeard = func() bool { return true }
	}
	if options.DrainPeriod == 0 {
		options.DrainPeriod = defaultDrainPeriod
	}
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	if options.ReleaseAllowed == nil {
		options.ReleaseAllowed = func(core.ServiceName, core.Release) bool { return true }
	}
	if options.SubscribeEndpoints == nil {
		options.SubscribeEndpoints = func(core.ServiceName) {}
	}
	if options.EndpointsKnown == nil {
		options.EndpointsKnown = func(core.ServiceName) bool { return true }
	}
	if options.FleetNodes == nil {
		options.FleetNodes = func() int { return 0 }
	}
	if options.CrashSuspected == nil {
		options.CrashSuspected = func(idempotency.Fingerprint) bool { return false }
	}
	if options.CallCompleted == nil {
		options.CallCompleted = func(idempotency.Fingerprint) {}
	}
	s := &Server{
		options:        options,
		callLog:        newCallLog(options.Logger, options.Metrics),
		retryBudgets:   make(map[core.ServiceName]*retry.Budget),
		hedgingStates:  make(map[core.ServiceName]*retry.Hedging),
		timeouts:       make(map[core.RouteName]*timeoutEstimate),
		hedges:         options.Metrics.GetOrCreateCounter("parsleyport_caller_hedges_total"),
		retries:        options.Metrics.GetOrCreateCounter("parsleyport_caller_retries_total"),
		crashTrials:    options.Metrics.GetOrCreateCounter("parsleyport_caller_crash_trials_total"),
		abortedAnswers: options.Metrics.GetOrCreateCounter("parsleyport_caller_answers_aborted_total"),
		latency:        options.Metrics.GetOrCreateHistogram("parsleyport_caller_latency_seconds"),
		hedgesWon:      options.Metrics.GetOrCreateCounter("parsleyport_caller_hedges_won_total"),
		outcomes:       make(map[core.Outcome]*metrics.Counter),
		waits:          options.Metrics.GetOrCreateCounter("parsleyport_caller_waits_total"),
		waiting: waitingCalls{
			byService: make(map[core.ServiceName]int),
		},
	}
	for _, outcome := range []core.Outcome{core.OutcomeAnswered, core.OutcomeNotRun, core.OutcomeUnknown} {
		s.outcomes[outcome] = options.Metrics.GetOrCreateCounter(`parsleyport_caller_calls_total{outcome="` + string(outcome) + `"}`)
	}
	s.http = pipelinehttp.New(pipelinehttp.Options{
		Handler:   s,
		Limits:    options.Limits,
		OnRefused: s.refuseUnreadable,
		OnLimit:   s.countLimit,
		Declared:  s.declared,
		Logger:    options.Logger,
	})
	options.Metrics.GetOrCreateGauge("parsleyport_caller_connections", func() float64 { return float64(s.http.OpenConnections()) })
	options.Metrics.GetOrCreateGauge("parsleyport_caller_accounted_bytes", func() float64 { return float64(s.http.AccountedBytes()) })
	s.listener = httpserver.NewListener(listener)
	s.tasks.Go(func() { _ = s.http.Serve(s.listener) }) // ends when the listener is closed
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// startTask registers a goroutine that close waits for. It returns false if the server is closed.
func (s *Server) startTask() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tasks.Add(1)
	return true
}

func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.listener.Close()
	_ = s.http.Close()
	s.tasks.Wait()
}

// Drain stops the server without cutting off requests. During DrainPeriod it answers with "Connection: close", during RefusalPeriod
// it refuses calls, then it closes the listener. It returns when all requests have been answered, or the context's error.
func (s *Server) Drain(ctx context.Context) error {
	if s.options.MaxQueueTime > 0 {
		s.drainStartBy.Store(time.Now().Add(s.options.DrainPeriod + s.options.RefusalPeriod).UnixNano())
	}
	s.draining.Store(true)
	s.http.Drain()
	if err := waitWhile(ctx, s.options.DrainPeriod, func() bool { return s.http.OpenConnections() > 0 || s.options.DrainPeriod > defaultDrainPeriod }); err != nil {
		return err
	}
	s.refusing.Store(s.options.RefusalPeriod > 0)
	select {
	case <-time.After(s.options.RefusalPeriod):
	case <-ctx.Done():
		return ctx.Err()
	}
	// The listener is closed first: Shutdown closes the connections whose first request has not arrived.
	if err := s.listener.Close(); err != nil {
		s.options.Logger.Warn().Err(err).Msg("failed to close the listener for callers")
	}
	if err := waitWhile(ctx, unreadRequestTimeout, func() bool { return s.http.PendingConnections() > 0 }); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// waitWhile polls the condition until it is false or the limit has passed. It returns the context's error if that ends first.
func waitWhile(ctx context.Context, limit time.Duration, condition func() bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(limit); condition() && time.Now().Before(deadline); {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
