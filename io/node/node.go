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

// defaultDrainLimit bounds a planned stop; calls have deadlines, so that a longer wait would finish none of them.
const defaultDrainLimit = 30 * time.Second

// Options configure a node beyond its settings; the zero value of each stands for the node's own interface.
type Options struct {
	Headers          core.HeaderNames
	CallerNamesCalls bool // a caller's header is the call's id
	NoHedges         bool
	Policy           balancer.Policy     // by which endpoints are chosen, empty for the default
	TrustSlots       bool                // see limiter.Options
	AimFirst         bool                // see limiter.Options
	RefusalTries     int                 // endpoints that a call is offered after a refusal for overload, at no cost; zero for the usual attempts
	Budget           retry.BudgetOptions // of repeated attempts, for each service
	RetryAfter       func(*core.Refusal) string
	BackendLease     time.Duration // for which an announcement holds
	AllowUnframed    bool          // see backendhttp.Options
	QueueLimit       time.Duration // for which a call may wait for a slot, zero for its whole time
	DrainLinger      time.Duration // for which a planned stop goes on taking callers who have not noticed it
	RefusingLinger   time.Duration // after that, in which new calls are refused
	DrainLimit       time.Duration // of a whole planned stop
	EvidenceEvery    time.Duration // between two reports of evidence about open moves
}

// process holds what the parts of one node share.
type process struct {
	settings    settings.Node
	options     Options
	incarnation core.Incarnation
	log         zerolog.Logger
	metrics     *metrics.Set
	guard       *rollout.CircuitBreaker
	recorder    *rollout.Recorder
	suspects    *suspects
	peerServer  atomic.Pointer[nodepeer.Server]
	service     atomic.Value // core.ServiceName of the local backend server
	serving     atomic.Bool  // takes callers
	cleanups    cleanups
	// drainCallers does nothing until the node takes callers.
	drainCallers func(context.Context) error
	// handOver does nothing until the node claims keys.
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

// New starts all parts of a node but that which takes callers; it returns an error if an address cannot be used.
func New(s settings.Node, options Options, log zerolog.Logger) (*Node, func(), error) {
	if options.EvidenceEvery == 0 {
		options.EvidenceEvery = evidenceEvery
	}
	if options.DrainLimit == 0 {
		options.DrainLimit = defaultDrainLimit
	}
	if options.Headers == (core.HeaderNames{}) {
		options.Headers = core.DefaultHeaderNames()
	}
	incarnation := core.Incarnation(time.Now().UnixNano())
	p := &process{
		settings:    s,
		options:     options,
		incarnation: incarnation,
		log:         log.With().Str("node", string(s.ID)).Logger(),
		metrics:     metrics.NewSet(),
		guard:       rollout.NewCircuitBreaker(),
		recorder:    rollout.NewRecorder(s.ID, incarnation),
		suspects:    newSuspects(),

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

// Serve takes callers once the configuration is confirmed. When the context ends, it finishes the calls that have begun.
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

// Announce takes what the local backend server says of itself; it returns what is wrong with it.
func (n *Node) Announce(a backendhttp.Announcement) error {
	return n.backend.Announce(a)
}

// SetControlAddresses replaces the addresses where the node looks for control instances when it loses the one it is attached
// to.
func (n *Node) SetControlAddresses(addresses []string) {
	do.MustInvoke[*distribution.Subscriber](n.injector).SetControlAddresses(addresses)
}

// Serving reports whether the node takes callers.
func (n *Node) Serving() bool {
	return n.process.serving.Load()
}

// openForCallers waits until the configuration is confirmed and the endpoints are known. A caller that cannot connect
// tries another node at once, while one that gets a refusal here may not.
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
	p.log.Info().Str("event", "serving").Msg("node takes callers")
	return nil
}

// injector registers how each part is made; parts are made when they are first asked for.
func (p *process) injector() do.Injector {
	injector := do.New()
	do.Provide(injector, p.newSubscriber)
	do.Provide(injector, p.newBackend)
	do.Provide(injector, p.newPacking)
	do.Provide(injector, p.newPeerServer)
	do.Provide(injector, p.newDialer)
	do.Provide(injector, p.newBalancer)
	do.Provide(injector, p.newCallers)
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
	p.startDuties(subscriber)
	return nil
}

// startDuties starts a goroutine for each duty that no other part has.
func (p *process) startDuties(subscriber *distribution.Subscriber) {
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { watchMoves(ctx, subscriber, p.guard) })
	duties.Go(func() {
		reportEvidence(ctx, subscriber, p.recorder, p.options.EvidenceEvery, subscriber.ReportEvidence)
	})
	p.cleanups.add(func() {
		cancel()
		duties.Wait()
	})
}

// drain ends a node without cutting off a call: the fleet learns that it is leaving, and callers and other nodes finish what
// they have begun here, at the same time.
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
				p.log.Warn().Err(err).Str("event", "drain-incomplete").Str("part", name).Msg("calls were cut off")
			}
		})
	}
	drains.Wait()
	if err := p.handOver(ctx); err != nil {
		p.log.Warn().Err(err).Str("event", "keys-not-handed-over").Msg("idempotency keys are forgotten")
	}
}
