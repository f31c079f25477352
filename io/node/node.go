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
	"parsleyport/core/record"
	"parsleyport/core/rollout"
	"parsleyport/io/adminhttp"
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
}

func (p *process) newSubscriber(do.Injector) (*distribution.Subscriber, error) {
	subscriber, cleanup, err := distribution.NewSubscriber(distribution.SubscriberOptions{
		ID:               p.settings.ID,
		Incarnation:      p.incarnation,
		DataCentre:       p.settings.DataCentre,
		RelayAddress:     p.settings.RelayAddress,
		ControlAddresses: p.settings.ControlAddresses,
		OnCrash:          p.suspects.crashed,
		Logger:           p.log,
		Metrics:          p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(cleanup)
	return subscriber, nil
}

func (p *process) newBackend(injector do.Injector) (*backendhttp.Server, error) {
	subscriber, err := do.Invoke[*distribution.Subscriber](injector)
	if err != nil {
		return nil, err
	}
	admission, stopAdmission := newAdmission()
	p.cleanups.add(stopAdmission)
	server, cleanup, err := backendhttp.New(backendhttp.Options{
		Address:   p.settings.BackendAddress,
		Admission: admission,
		OnChange:  func(a backendhttp.Announcement) { p.announce(subscriber, a) },
		OnCrash:   func(crash backendhttp.Crash) { p.reportCrash(subscriber, crash) },
		Logger:    p.log,
		Metrics:   p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(cleanup)
	return server, nil
}

// announce tells the fleet of the local backend server, and the memory of idempotency keys since when this node is one of
// the service's nodes.
func (p *process) announce(subscriber *distribution.Subscriber, a backendhttp.Announcement) {
	subscriber.Announce(core.Endpoint{
		Address: p.settings.PeerAddress,
		Service: a.Service,
		Release: a.Release,
		Slots:   a.Slots,
		State:   a.State,
	})
	if server := p.peerServer.Load(); server != nil {
		server.Announced(a.Service, a.State != core.EndpointLeaving)
	}
}

// reportCrash tells the fleet which requests were running, so that none of them can crash many backend servers.
func (p *process) reportCrash(subscriber *distribution.Subscriber, crash backendhttp.Crash) {
	for _, call := range crash.Calls {
		subscriber.ReportCrash(core.CrashReport{
			Node:        p.settings.ID,
			Run:         crash.Run,
			Fingerprint: uint64(call.Fingerprint),
		})
	}
	p.log.Warn().Str("event", "backend-server-crashed").Str("run", crash.Run).Int("lost-calls", len(crash.Calls)).Msg("backend server crashed")
}

func (p *process) newPeerServer(injector do.Injector) (*nodepeer.Server, error) {
	backend, err := do.Invoke[*backendhttp.Server](injector)
	if err != nil {
		return nil, err
	}
	server, cleanup, err := nodepeer.NewServer(nodepeer.ServerOptions{
		Address: p.settings.PeerAddress,
		Backend: backend,
		Logger:  p.log,
		Metrics: p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(cleanup)
	p.peerServer.Store(server)
	if announced, exists := backend.Current(); exists { // before the server could be told
		server.Announced(announced.Service, announced.State != core.EndpointLeaving)
	}
	return server, nil
}

func (p *process) newDialer(injector do.Injector) (*nodepeer.Dialer, error) {
	backend, err := do.Invoke[*backendhttp.Server](injector)
	if err != nil {
		return nil, err
	}
	dialer, cleanup, err := nodepeer.NewDialer(nodepeer.DialerOptions{
		Self:    p.settings.ID,
		Local:   backend,
		Logger:  p.log,
		Metrics: p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(cleanup)
	return dialer, nil
}

func (p *process) newBalancer(do.Injector) (*balancer.Balancer, error) {
	return balancer.New(balancer.Options{
		DataCentre: p.settings.DataCentre,
		Seed:       uint64(p.incarnation),
	}), nil
}

func (p *process) newCallers(injector do.Injector) (*callerhttp.Server, error) {
	dialer, err := do.Invoke[*nodepeer.Dialer](injector)
	if err != nil {
		return nil, err
	}
	subscriber := do.MustInvoke[*distribution.Subscriber](injector)
	keys, stopKeys, err := nodepeer.NewClaims(nodepeer.ClaimsOptions{
		Self:         p.settings.ID,
		Server:       do.MustInvoke[*nodepeer.Server](injector),
		Dialer:       dialer,
		Endpoints:    subscriber,
		Services:     func() []core.ServiceName { return subscriber.Current().Services() },
		ServiceSince: func(service core.ServiceName) (time.Time, bool) { return serviceSince(subscriber.Current(), service) },
		Metrics:      p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(stopKeys)
	counts := &evidence{
		recorder: p.recorder,
		guard:    p.guard,
		tripped:  p.logTripped,
	}
	server, cleanup, err := callerhttp.New(callerhttp.Options{
		Address:        p.settings.CallerAddress,
		Source:         subscriber,
		Confirmed:      subscriber.Confirmed,
		Endpoints:      subscriber,
		Picker:         do.MustInvoke[*balancer.Balancer](injector),
		Forwarder:      dialer,
		Evidence:       counts,
		ReleaseAllowed: counts.releaseAllowed,
		Suspected:      p.suspects.suspected,
		Keys:           keys,
		Logger:         p.log,
		Metrics:        p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(cleanup)
	return server, nil
}

func (p *process) logTripped(service core.ServiceName, route core.RouteName, release core.Release) {
	p.log.Warn().Str("event", "release-stopped").Str("service", string(service)).Str("route", string(route)).
		Str("release", string(release)).Msg("this node sends no more calls to the release")
}

// dump is the state dump of a node.
type dump struct {
	Node         core.NodeID                          `json:"node"`
	Incarnation  core.Incarnation                     `json:"incarnation"`
	Distribution distribution.Status                  `json:"distribution"`
	Backend      backendhttp.Announcement             `json:"backend-server"`
	Endpoints    map[core.ServiceName][]core.Endpoint `json:"endpoints"`
	Balancer     []balancer.EndpointStatus            `json:"balancer"`
	Records      []core.Record                        `json:"records"`
}

func (p *process) startAdmin(injector do.Injector, subscriber *distribution.Subscriber) error {
	cleanup, err := adminhttp.New(adminhttp.Options{
		Address: p.settings.AdminAddress,
		Ready:   p.serving.Load,
		State:   func() any { return p.dump(injector, subscriber, subscriber.Current()) },
		Metrics: p.metrics,
		Logger:  p.log,
	})
	if err != nil {
		return err
	}
	p.cleanups.add(cleanup)
	return nil
}

func (p *process) dump(injector do.Injector, subscriber *distribution.Subscriber, configuration *record.Configuration) dump {
	announced, _ := do.MustInvoke[*backendhttp.Server](injector).Current()
	d := dump{
		Node:         p.settings.ID,
		Incarnation:  p.incarnation,
		Distribution: subscriber.Status(),
		Backend:      announced,
		Endpoints:    make(map[core.ServiceName][]core.Endpoint),
		Balancer:     do.MustInvoke[*balancer.Balancer](injector).Status(time.Now()),
		Records:      configuration.Records(),
	}
	for _, service := range configuration.Services() {
		d.Endpoints[service] = subscriber.Endpoints(service)
	}
	return d
}
