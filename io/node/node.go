package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/retry"
	"parsleyport/core/rollout"
	"parsleyport/io/backendhttp"
	"parsleyport/io/callerhttp"
	"parsleyport/io/distribution"
	"parsleyport/io/nodepeer"
	"parsleyport/io/settings"
)

// defaultDrainLimit bounds a planned stop. Calls have deadlines, so a longer wait would not let more of them finish.
const defaultDrainLimit = 30 * time.Second

// Options configure a node beyond its settings; the zero value of each field selects its default.
type Options struct {
	// Headers names the HTTP headers; the zero value stands for the default names.
	Headers core.HeaderNames
	// KeyScheme is the scheme of API keys in the Authorization header of callers. Empty means Bearer.
	KeyScheme string
	// CallerSetsCallID uses the call ID header of a request as the call's ID, instead of a random one.
	CallerSetsCallID bool
	// DisableHedging turns hedged attempts off.
	DisableHedging bool
	// Policy selects the load-balancing policy.
	Policy balancer.Policy
	// TrustSlots keeps the concurrency limit at the announced number of slots; see limiter.Options.
	TrustSlots bool
	// SoftDeadlineFirst serves calls that can still meet their soft deadline first; see limiter.Options.
	SoftDeadlineFirst bool
	// ShortClassesFirst serves calls of routes that take little time first; see limiter.Options.
	ShortClassesFirst bool
	// LearnCosts learns the work of calls and forecasts when slots are free; see limiter.Options.
	LearnCosts bool
	// ReportStuckCalls lets the entry node know of calls that the backend server may never answer; see backendhttp.Options.
	ReportStuckCalls bool
	// FreeCapacityRetries is the number of retries after capacity refusals that cost no retry budget.
	FreeCapacityRetries int
	// RetryBudget configures the retry budget of each service.
	RetryBudget retry.BudgetOptions
	// RetryAfter returns the wait that the Retry-After header of answers with status 503 states. If it is nil, the header is not set.
	RetryAfter func(retry.RefusedCall) time.Duration
	// BackendLease is how long an announcement of the backend server is valid unless it is repeated.
	BackendLease time.Duration
	// AllowCloseDelimited accepts answers of the backend server without a length; see backendhttp.Options.
	AllowCloseDelimited bool
	// MaxQueueTime bounds how long a call may wait for a slot. Zero means until its deadline.
	MaxQueueTime time.Duration
	// DrainPeriod is how long a planned stop still answers the calls of callers that have not noticed it.
	DrainPeriod time.Duration
	// RefusalPeriod follows DrainPeriod: the node still listens for callers, but refuses their calls.
	RefusalPeriod time.Duration
	// DrainLimit is how long a planned stop may take.
	DrainLimit time.Duration
	// LinkBytesPerSecond is the rate of the node's link, to which long bodies of calls are paced. Zero means no pacing.
	LinkBytesPerSecond int64
	// EvidenceInterval is the time between two reports of evidence about open moves.
	EvidenceInterval time.Duration
}

// process holds what the parts of one node share.
type process struct {
	settings       settings.Node
	options        Options
	incarnation    core.Incarnation
	log            zerolog.Logger
	metrics        *metrics.Set
	circuitBreaker *rollout.CircuitBreaker
	recorder       *rollout.Recorder
	suspects       *suspects
	departures     *departures
	quotas         *quotaLimiter
	peerServer     atomic.Pointer[nodepeer.Server]
	callerServer   atomic.Pointer[callerhttp.Server]
	service        atomic.Value // core.ServiceName of the local backend server
	serving        atomic.Bool  // whether the node accepts callers
	cleanups       cleanups
	// drainCallers does nothing until the node accepts callers.
	drainCallers func(context.Context) error
	// handOver does nothing until the node claims idempotency keys.
	handOver func(context.Context) error
}

// Node is a running node.
type Node struct {
	process  *process
	injector do.Injector
	backend  *backendhttp.Server
}

// Run runs a node until the context ends, then finishes the calls that have begun; it returns an error if an address
// cannot be used.
func Run(ctx context.Context, s settings.Node, log zerolog.Logger) error {
	n, cleanup, err := New(s, Options{}, log)
	if err != nil {
		return err
	}
	defer cleanup()
	return n.Serve(ctx)
}

// New starts all parts of a node except the server for callers; it returns an error if an address cannot be used.
func New(s settings.Node, options Options, log zerolog.Logger) (*Node, func(), error) {
	if options.EvidenceInterval == 0 {
		options.EvidenceInterval = defaultEvidenceInterval
	}
	if options.DrainLimit == 0 {
		options.DrainLimit = defaultDrainLimit
	}
	if options.Headers == (core.HeaderNames{}) {
		options.Headers = core.DefaultHeaderNames()
	}
	incarnation := core.Incarnation(time.Now().UnixNano())
	p := &process{
		settings:       s,
		options:        options,
		incarnation:    incarnation,
		log:            log.With().Str("node", string(s.ID)).Logger(),
		metrics:        metrics.NewSet(),
		circuitBreaker: rollout.NewCircuitBreaker(),
		recorder:       rollout.NewRecorder(s.ID, incarnation),
		suspects:       newSuspects(),

		drainCallers: func(context.Context) error { return nil },
		handOver:     func(context.Context) error { return nil },
	}
	n := &Node{
		process:  p,
		injector: p.injector(),
	}
	if err := p.start(n.injector); err != nil {
		p.cleanups.run()
		return nil, nil, err
	}
	n.backend = do.MustInvoke[*backendhttp.Server](n.injector)
	p.log.Info().Str("event", "started").Msg("node started")
	return n, p.cleanups.run, nil
}

// Serve accepts callers once the configuration is confirmed. When the context ends, it finishes the calls that have begun.
func (n *Node) Serve(ctx context.Context) error {
	p := n.process
	if err := p.openForCallers(ctx, n.injector); err != nil {
		return errors.Annotate(err, "callers")
	}
	<-ctx.Done()
	p.serving.Store(false)
	p.log.Info().Str("event", "draining").Msg("node is leaving")
	p.drain(n.injector)
	p.log.Info().Str("event", "stopped").Msg("node stopped")
	return nil
}

// Announce handles an announcement of the local backend server; it returns an error if the announcement is invalid.
func (n *Node) Announce(a backendhttp.Announcement) error {
	return n.backend.Announce(a)
}

// Depart returns nil once the control instances have stored that a run of the local backend server leaves, so that no later process
// of this node uses it. It returns core.ErrOutcomeUnknown if the context ends first, and an error if too many runs are waiting.
func (n *Node) Depart(ctx context.Context, run core.RunID) error {
	return n.process.departures.depart(ctx, run)
}

// Departed returns the runs of the local backend server that have begun to leave, as far as the node knows; see DepartedKnown.
func (n *Node) Departed() []core.RunID {
	return n.process.departures.departed()
}

// DepartedKnown returns a channel that is closed once Departed includes what earlier processes of this node have reported.
func (n *Node) DepartedKnown() <-chan struct{} {
	return n.process.departures.known
}

// SetControlAddresses replaces the addresses at which the node looks for a control instance when it loses the one it is attached to.
func (n *Node) SetControlAddresses(addresses []string) {
	do.MustInvoke[*distribution.Subscriber](n.injector).SetControlAddresses(addresses)
}

// Serving reports whether the node accepts callers.
func (n *Node) Serving() bool {
	return n.process.serving.Load()
}

// openForCallers starts to listen for callers once the configuration is confirmed and the endpoints are known. A caller that cannot
// connect tries another node at once, while a caller that gets a refusal may not.
func (p *process) openForCallers(ctx context.Context, injector do.Injector) error {
	subscriber := do.MustInvoke[*distribution.Subscriber](injector)
	for _, signal := range []<-chan struct{}{subscriber.ConfirmedSignal(), subscriber.EndpointsSignal()} {
		select {
		case <-ctx.Done():
			return nil
		case <-signal:
		}
	}
	callers, err := do.Invoke[*callerhttp.Server](injector)
	if err != nil {
		return err
	}
	p.drainCallers = callers.Drain
	p.serving.Store(true)
	p.log.Info().Str("event", "serving").Msg("node accepts callers")
	return nil
}

// injector registers the constructors of all parts; each runs when its part is first needed.
func (p *process) injector() do.Injector {
	injector := do.New()
	do.Provide(injector, p.newSubscriber)
	do.Provide(injector, p.newBackendServer)
	do.Provide(injector, p.newCompressor)
	do.Provide(injector, p.newPeerServer)
	do.Provide(injector, p.newDialer)
	do.Provide(injector, p.newBalancer)
	do.Provide(injector, p.newCallerServer)
	return injector
}

func (p *process) start(injector do.Injector) error {
	subscriber, err := do.Invoke[*distribution.Subscriber](injector)
	if err != nil {
		return errors.Annotate(err, "distribution")
	}
	if _, err := do.Invoke[*nodepeer.Server](injector); err != nil {
		return errors.Annotate(err, "calls from other nodes")
	}
	if err := p.startAdmin(injector, subscriber); err != nil {
		return err
	}
	p.departures = newDepartures(p.settings.ID, subscriber, p.log)
	p.quotas = p.newQuotaLimiter(subscriber)
	p.startTasks(subscriber)
	return nil
}

// startTasks starts the background tasks that belong to no other part.
func (p *process) startTasks(subscriber *distribution.Subscriber) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { watchMoves(ctx, subscriber, p.circuitBreaker) })
	tasks.Go(func() { p.departures.run(ctx) })
	tasks.Go(func() { p.quotas.run(ctx) })
	tasks.Go(func() { p.suspects.report(ctx, subscriber.ReportCompletion) })
	tasks.Go(func() {
		reportEvidence(ctx, subscriber, p.recorder, p.options.EvidenceInterval, subscriber.ReportEvidence)
	})
	p.cleanups.add(func() {
		cancel()
		tasks.Wait()
	})
}

// drain stops a node without cutting off calls: it reports that the node is leaving, while callers and other nodes finish the calls
// that they have begun here.
func (p *process) drain(injector do.Injector) {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.DrainLimit)
	defer cancel()
	var drains sync.WaitGroup
	for name, drain := range map[string]func(context.Context) error{
		"backend": do.MustInvoke[*backendhttp.Server](injector).Drain,
		"callers": p.drainCallers,
		"peers":   do.MustInvoke[*nodepeer.Server](injector).Drain,
	} {
		drains.Go(func() {
			if err := drain(ctx); err != nil {
				p.log.Warn().Err(err).Str("event", "drain-incomplete").Str("part", name).Msg("calls cut off because the node was not drained in time")
			}
		})
	}
	drains.Wait()
	if err := p.handOver(ctx); err != nil {
		p.log.Warn().Err(err).Str("event", "keys-not-handed-over").Msg("idempotency keys not handed over and lost")
	}
}
