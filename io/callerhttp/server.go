package callerhttp

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/record"
	"parsleyport/core/retry"
)

const (
	defaultMaxBodyBytes = 8 << 20
	headerReadTimeout   = 10 * time.Second
	requestReadTimeout  = time.Minute // to receive a request
	idleTimeout         = 2 * time.Minute
	// defaultDrainPeriod is how long a draining server waits for idle callers to send one more request, whose answer tells
	// them to close the connection; closing at once could cut off a request that is on its way.
	defaultDrainPeriod = time.Second
	drainPollInterval  = 20 * time.Millisecond
	// unreadRequestTimeout is how long a server that takes no more connections waits for the requests on those it has: several round
	// trips between data centres.
	unreadRequestTimeout = time.Second
	// maxActiveRequests in progress hold at most 64 MiB of unread answers (64 KiB each, see io/nodepeer).
	maxActiveRequests = 1024
	// maxBufferedBodyBytes bounds the request bodies in memory, in bytes.
	maxBufferedBodyBytes = 32 << 20
	// writeGracePeriod is how long after the deadline a caller may take to read what it gets.
	writeGracePeriod = time.Second
	// maxTrackedServices bounds the services whose latencies are known, at 1 KiB each.
	maxTrackedServices = 4096
)

// KeyClaimer settles idempotency keys with the nodes that hold them, as nodepeer.Claims does.
type KeyClaimer interface {
	Claim(ctx context.Context, call *core.Call) (idempotency.Verdict, *idempotency.RecordedAnswer)
	Settle(ctx context.Context, call *core.Call, verdict idempotency.Verdict, answer *idempotency.RecordedAnswer)
}

// Options configures a Server. Listener replaces Address; ReleaseAllowed, Suspected, Keys and EndpointsChanged may be nil.
// Without Keys a call with an idempotency key is like one without; without EndpointsChanged, whose channel is closed at the
// next change of a service's endpoints, no call waits for one. Use is told which services are called, and EndpointsKnown
// whether all endpoints of such a service are known, those that left included; both may be nil. MaxBodyBytes zero means 8 MiB, the most that io/nodepeer
// carries.
type Options struct {
	Address                string
	Listener               net.Listener
	Source                 record.Source
	ConfigurationConfirmed func() bool
	Endpoints              core.EndpointSource
	EndpointsChanged       func(core.ServiceName) <-chan struct{}
	SubscribeEndpoints     func(core.ServiceName)
	EndpointsKnown         func(core.ServiceName) bool
	Picker                 core.Picker
	Forwarder              core.Forwarder
	Evidence               core.EvidenceRecorder
	ReleaseAllowed         func(core.ServiceName, core.Release) bool
	CrashSuspected         func(idempotency.Fingerprint) bool
	Keys                   KeyClaimer
	MaxBodyBytes           int64
	Headers                core.HeaderNames // the zero value stands for the default names
	CallerSetsCallID       bool             // a caller's header is the call's id
	CallerService          func() core.ServiceName
	DisableHedging         bool
	RetryBudget            retry.BudgetOptions // of each service; the zero value stands for the default
	RetryAfter             func(*core.Refusal) string
	FreeCapacityRetries    int           // endpoints that a call is offered after a refusal for overload, at no cost; zero for the usual attempts
	MaxQueueTime           time.Duration // for which a call may wait for a slot, zero for its whole time
	DrainPeriod            time.Duration // for which a draining server waits for its callers to leave, zero for 1 s
	RefusalPeriod          time.Duration // after that, in which it still listens but refuses calls, since they might not end in time
	Logger                 zerolog.Logger
	Metrics                *metrics.Set
}

// Server takes callers' requests.
type Server struct {
	options            Options
	listener           net.Listener
	http               *http.Server
	tasks              sync.WaitGroup
	draining           atomic.Bool
	refusing           atomic.Bool
	drainStartBy       atomic.Int64 // while draining: Unix nanoseconds after which no call starts that was read since
	openConnections    atomic.Int64 // callers' connections
	pendingConnections atomic.Int64 // connections with a request that is expected, being read or in progress
	activeRequests     atomic.Int64 // requests in progress
	bufferedBodyBytes  atomic.Int64 // bytes of request bodies in memory

	mu       sync.Mutex // guards the fields up to closed
	budgets  map[core.ServiceName]*retry.Budget
	hedging  map[core.ServiceName]*retry.Hedging
	timeouts map[core.RouteName]*timeoutEstimate
	waiting  waitingCalls
	closed   bool

	callLog        callLog
	hedges         *metrics.Counter
	hedgesWon      *metrics.Counter
	retries        *metrics.Counter
	abortedAnswers *metrics.Counter
	waits          *metrics.Counter
	latency        *metrics.Histogram
	outcomes       map[core.Outcome]*metrics.Counter
}

// New listens and starts to take requests; the clean-up function closes all connections and waits for the goroutines.
func New(options Options) (*Server, func(), error) {
	if options.Source == nil || options.Endpoints == nil || options.Picker == nil || options.Forwarder == nil || options.Evidence == nil || options.ConfigurationConfirmed == nil {
		return nil, nil, errors.New("source, endpoints, picker, forwarder, evidence and confirmed must be set")
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
	if options.CrashSuspected == nil {
		options.CrashSuspected = func(idempotency.Fingerprint) bool { return false }
	}
	s := &Server{
		options:        options,
		callLog:        newCallLog(options.Logger, options.Metrics),
		budgets:        make(map[core.ServiceName]*retry.Budget),
		hedging:        make(map[core.ServiceName]*retry.Hedging),
		timeouts:       make(map[core.RouteName]*timeoutEstimate),
		hedges:         options.Metrics.GetOrCreateCounter("parsleyport_caller_hedges_total"),
		retries:        options.Metrics.GetOrCreateCounter("parsleyport_caller_retries_total"),
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
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       requestReadTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         s.trackConnection,
		ConnContext:       withConnection,
		ErrorLog:          log.New(options.Logger, "", 0),
	}
	s.listener = watchedListener{
		Listener:     listener,
		onRefused:    s.refuseUnreadable,
		pendingCount: &s.pendingConnections,
		close:        sync.OnceValue(listener.Close),
	}
	s.tasks.Go(func() { _ = s.http.Serve(s.listener) }) // ends when the listener is closed
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// startTask counts a goroutine that the clean-up function waits for; it is false if that has begun.
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
	_ = s.http.Close()
	s.tasks.Wait()
}

func (s *Server) trackConnection(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		markAnswered(connection)
	case http.StateNew:
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	}
}

// Drain answers what comes with "Connection: close" until the callers have gone or a second has passed, then accepts
// nothing new and returns when all requests have been answered, or the context's error.
func (s *Server) Drain(ctx context.Context) error {
	if s.options.MaxQueueTime > 0 {
		s.drainStartBy.Store(time.Now().Add(s.options.DrainPeriod + s.options.RefusalPeriod).UnixNano())
	}
	s.draining.Store(true)
	if err := waitWhile(ctx, s.options.DrainPeriod, func() bool { return s.openConnections.Load() > 0 || s.options.DrainPeriod > defaultDrainPeriod }); err != nil {
		return err
	}
	s.refusing.Store(s.options.RefusalPeriod > 0)
	select {
	case <-time.After(s.options.RefusalPeriod):
	case <-ctx.Done():
		return ctx.Err()
	}
	// Once Shutdown has begun, net/http closes a connection whose request it has just read without an answer.
	if err := s.listener.Close(); err != nil {
		s.options.Logger.Warn().Err(err).Msg("close the callers' listener")
	}
	if err := waitWhile(ctx, unreadRequestTimeout, func() bool { return s.pendingConnections.Load() > 0 }); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// waitWhile returns when the condition is false or the limit has passed, or the context's error.
func waitWhile(ctx context.Context, limit time.Duration, condition func() bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for until := time.Now().Add(limit); condition() && time.Now().Before(until); {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
