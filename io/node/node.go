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
	"parsleyport/core/rollout"
	"parsleyport/io/backendhttp"
	"parsleyport/io/callerhttp"
	"parsleyport/io/distribution"
	"parsleyport/io/nodepeer"
	"parsleyport/io/settings"
)

// drainAtMost bounds a planned stop; calls have deadlines, so that a longer wait would finish none of them.
const drainAtMost = 30 * time.Second

// process holds what the parts of one node share.
type process struct {
	settings    settings.Node
	incarnation core.Incarnation
	log         zerolog.Logger
	metrics     *metrics.Set
	guard       *rollout.Guard
	recorder    *rollout.Recorder
	suspects    *suspects
	peerServer  atomic.Pointer[nodepeer.Server]
	serving     atomic.Bool // takes callers
	cleanups    cleanups
	// drainCallers does nothing until the node takes callers.
	drainCallers func(context.Context) error
	// handOver does nothing until the node claims keys.
	handOver func(context.Context) error
}

// Run runs a node until the context ends, then finishes the calls that have begun; it returns an error if an address
// cannot be used.
func Run(ctx context.Context, s settings.Node, log zerolog.Logger) error {
	incarnation := core.Incarnation(time.Now().UnixNano())
	p := &process{
		settings:    s,
		incarnation: incarnation,
		log:         log.With().Str("node", string(s.ID)).Logger(),
		metrics:     metrics.NewSet(),
		guard:       rollout.NewGuard(),
		recorder:    rollout.NewRecorder(s.ID, incarnation),
		suspects:    newSuspects(),

		drainCallers: func(context.Context) error { return nil },
		handOver:     func(context.Context) error { return nil },
	}
	defer p.cleanups.run()
	injector := p.injector()
	if err := p.start(injector); err != nil {
		return err
	}
	p.log.Info().Str("event", "started").Msg("node started")
	if err := p.openForCallers(ctx, injector); err != nil {
		return errors.Annotate(err, "callers")
	}
	<-ctx.Done()
	p.serving.Store(false)
	p.log.Info().Str("event", "draining").Msg("node is leaving")
	p.drain(injector)
	return nil
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
	duties.Go(func() { reportEvidence(ctx, subscriber, p.recorder, subscriber.ReportEvidence) })
	p.cleanups.add(func() {
		cancel()
		duties.Wait()
	})
}

// drain ends a node without cutting off a call: first the fleet learns that it is leaving, then callers and other nodes
// finish what they have begun here.
func (p *process) drain(injector do.Injector) {
	ctx, cancel := context.WithTimeout(context.Background(), drainAtMost)
	defer cancel()
	for _, drain := range []func(context.Context) error{
		do.MustInvoke[*backendhttp.Server](injector).Drain,
		p.drainCallers,
		do.MustInvoke[*nodepeer.Server](injector).Drain,
	} {
		if err := drain(ctx); err != nil {
			p.log.Warn().Err(err).Str("event", "drain-incomplete").Msg("calls were cut off")
		}
	}
	if err := p.handOver(ctx); err != nil {
		p.log.Warn().Err(err).Str("event", "keys-not-handed-over").Msg("idempotency keys are forgotten")
	}
}
