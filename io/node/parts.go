package node

import (
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/idempotency"
	"parsleyport/core/limiter"
	"parsleyport/io/backendhttp"
	"parsleyport/io/callerhttp"
	"parsleyport/io/distribution"
	"parsleyport/io/frame"
	"parsleyport/io/nodepeer"
)

// registerCleanup registers the clean-up function of a part that was made without an error.
func registerCleanup[T any](p *process, part T, cleanup func(), err error) (T, error) {
	if err == nil {
		p.cleanups.add(cleanup)
	}
	return part, err
}

func (p *process) newSubscriber(do.Injector) (*distribution.Subscriber, error) {
	subscriber, cleanup, err := distribution.NewSubscriber(distribution.SubscriberOptions{
		ID:                p.settings.ID,
		Incarnation:       p.incarnation,
		DataCentre:        p.settings.DataCentre,
		RelayAddress:      p.settings.RelayAddress,
		ControlAddresses:  p.settings.ControlAddresses,
		OnCrash:           p.suspects.recordCrash,
		OnCompletion:      func(at time.Time, f uint64) { p.suspects.recordCompletion(at, idempotency.Fingerprint(f)) },
		OnDemandEndpoints: true,
		EvidenceInterval:  p.options.EvidenceInterval,
		Logger:            p.log,
		Metrics:           p.metrics,
	})
	return registerCleanup(p, subscriber, cleanup, err)
}

func (p *process) newBackendServer(injector do.Injector) (*backendhttp.Server, error) {
	subscriber, err := do.Invoke[*distribution.Subscriber](injector)
	if err != nil {
		return nil, err
	}
	admission, stopAdmission := newAdmission(admissionOptions{
		Options: limiter.Options{
			TrustSlots:        p.options.TrustSlots,
			SoftDeadlineFirst: p.options.SoftDeadlineFirst,
			ShortClassesFirst: p.options.ShortClassesFirst,
			LearnCosts:        p.options.LearnCosts,
		},
		CallerService: p.headers().CallerService,
	})
	p.cleanups.add(stopAdmission)
	if p.options.LearnCosts {
		p.metrics.GetOrCreateGauge("parsleyport_backend_free_in_seconds", func() float64 { return admission.Load("").FreeIn.Seconds() })
	}
	server, cleanup, err := backendhttp.New(backendhttp.Options{
		Headers:             p.options.Headers,
		Lease:               p.options.BackendLease,
		AllowCloseDelimited: p.options.AllowCloseDelimited,
		ReportStuckCalls:    p.options.ReportStuckCalls,
		Address:             p.settings.BackendAddress,
		Admission:           admission,
		OnChange:            func(a backendhttp.Announcement) { p.announce(subscriber, a) },
		OnCrash:             func(crash backendhttp.Crash) { p.reportCrash(subscriber, crash) },
		CrashTrials:         p.suspects.ofBackend(),
		Logger:              p.log,
		Metrics:             p.metrics,
	})
	return registerCleanup(p, server, cleanup, err)
}

// announce reports the state of the local backend server to the distribution tree. It also tells the peer server, since a holder of
// idempotency keys must know since when this node has been one of the service's nodes.
func (p *process) announce(subscriber *distribution.Subscriber, a backendhttp.Announcement) {
	p.service.Store(a.Service)
	subscriber.Announce(core.Endpoint{
		Address: p.settings.PeerAddress,
		Service: a.Service,
		Release: a.Release,
		Slots:   a.Slots,
		State:   a.State,
	})
	if server := p.peerServer.Load(); server != nil {
		server.SetAnnounced(a.Service, a.State != core.EndpointLeaving)
	}
}

// reportCrash reports the requests that were running in a crash to all nodes, so that none of them can crash many backend servers.
func (p *process) reportCrash(subscriber *distribution.Subscriber, crash backendhttp.Crash) {
	for _, call := range crash.Calls {
		subscriber.ReportCrash(call.BrokenAt, core.CrashReport{
			Node:        p.settings.ID,
			Run:         crash.Run,
			Fingerprint: uint64(call.Fingerprint),
			Exact:       uint64(call.Exact),
			RanMS:       call.BrokenAt.Sub(call.StartedAt).Milliseconds(),
			Beside:      lo.CountBy(crash.Calls, func(other backendhttp.CrashedCall) bool { return other.Exact != call.Exact }),
		})
	}
	p.log.Warn().Str("event", "backend-server-crashed").Str("run", crash.Run).Int("lost-calls", len(crash.Calls)).Msg("backend server crashed")
}

// headers returns the names of the headers of calls.
func (p *process) headers() core.HeaderNames {
	if p.options.Headers == (core.HeaderNames{}) {
		return core.DefaultHeaderNames()
	}
	return p.options.Headers
}

func (p *process) newCompressor(do.Injector) (*frame.Compressor, error) {
	return nodepeer.NewCompressor(p.headers())
}

func (p *process) newPeerServer(injector do.Injector) (*nodepeer.Server, error) {
	backend, err := do.Invoke[*backendhttp.Server](injector)
	if err != nil {
		return nil, err
	}
	compressor, err := do.Invoke[*frame.Compressor](injector)
	if err != nil {
		return nil, err
	}
	server, cleanup, err := nodepeer.NewServer(nodepeer.ServerOptions{
		Address:    p.settings.PeerAddress,
		DataCentre: p.settings.DataCentre,
		Compressor: compressor,
		Backend:    backend,
		Logger:     p.log,
		Metrics:    p.metrics,

		LinkBytesPerSecond: p.linkBytesPerSecond(),
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(cleanup)
	p.peerServer.Store(server)
	if announced, exists := backend.Current(); exists { // it was announced before the peer server existed
		server.SetAnnounced(announced.Service, announced.State != core.EndpointLeaving)
	}
	return server, nil
}

// linkBytesPerSecond returns the rate of the link by the options or the settings, zero if neither states it.
func (p *process) linkBytesPerSecond() int64 {
	if p.options.LinkBytesPerSecond > 0 {
		return p.options.LinkBytesPerSecond
	}
	return p.settings.LinkBytesPerSecond
}

func (p *process) newDialer(injector do.Injector) (*nodepeer.Dialer, error) {
	backend, err := do.Invoke[*backendhttp.Server](injector)
	if err != nil {
		return nil, err
	}
	compressor, err := do.Invoke[*frame.Compressor](injector)
	if err != nil {
		return nil, err
	}
	dialer, cleanup, err := nodepeer.NewDialer(nodepeer.DialerOptions{
		Self:       p.settings.ID,
		DataCentre: p.settings.DataCentre,
		Compressor: compressor,
		Local:      backend,
		Logger:     p.log,
		Metrics:    p.metrics,
	})
	return registerCleanup(p, dialer, cleanup, err)
}

func (p *process) newBalancer(do.Injector) (*balancer.Balancer, error) {
	return balancer.New(balancer.Options{
		DataCentre: p.settings.DataCentre,
		Seed:       uint64(p.incarnation),
		Policy:     p.options.Policy,
	}), nil
}

func (p *process) newCallerServer(injector do.Injector) (*callerhttp.Server, error) {
	dialer, err := do.Invoke[*nodepeer.Dialer](injector)
	if err != nil {
		return nil, err
	}
	subscriber := do.MustInvoke[*distribution.Subscriber](injector)
	keys, err := p.newKeyClaimer(injector, dialer)
	if err != nil {
		return nil, err
	}
	evidence := &evidenceRecorder{
		recorder:       p.recorder,
		circuitBreaker: p.circuitBreaker,
		onTrip:         p.logTripped,
	}
	server, cleanup, err := callerhttp.New(callerhttp.Options{
		Address:                p.settings.CallerAddress,
		Limits:                 p.settings.CallerLimits,
		Source:                 subscriber,
		ConfigurationConfirmed: subscriber.Confirmed,
		Endpoints:              subscriber,
		EndpointsChanged:       subscriber.EndpointsChanged,
		SubscribeEndpoints:     subscriber.Subscribe,
		EndpointsKnown:         subscriber.EndpointsKnown,
		Picker:                 do.MustInvoke[*balancer.Balancer](injector),
		Forwarder:              dialer,
		Evidence:               evidence,
		ReleaseAllowed:         evidence.releaseAllowed,
		CrashSuspected:         p.suspects.isSuspected,
		CrashTrials:            p.suspects.ofCallers(),
		CallCompleted:          func(f idempotency.Fingerprint) { p.suspects.recordCompletion(time.Now(), f) },
		Keys:                   keys,
		Quota:                  p.quotas,
		Headers:                p.headers(),
		KeyScheme:              p.options.KeyScheme,
		LeaderHeard:            subscriber.LeaderHeard,
		CallerSetsCallID:       p.options.CallerSetsCallID,
		CallerService:          p.localService,
		DisableHedging:         p.options.DisableHedging,
		RetryBudget:            p.options.RetryBudget,
		FleetNodes:             subscriber.FleetNodes,
		FreeCapacityRetries:    p.options.FreeCapacityRetries,
		RetryAfter:             p.options.RetryAfter,
		MaxQueueTime:           p.options.MaxQueueTime,
		DrainPeriod:            p.options.DrainPeriod,
		RefusalPeriod:          p.options.RefusalPeriod,
		Logger:                 p.log,
		Metrics:                p.metrics,
	})
	if err == nil {
		p.callerServer.Store(server)
	}
	return registerCleanup(p, server, cleanup, err)
}

// newKeyClaimer returns nil if callers have no header for idempotency keys, so that no node asks another one about keys.
func (p *process) newKeyClaimer(injector do.Injector, dialer *nodepeer.Dialer) (callerhttp.KeyClaimer, error) {
	if p.headers().IdempotencyKey == "" {
		return nil, nil
	}
	subscriber := do.MustInvoke[*distribution.Subscriber](injector)
	keys, stopKeys, err := nodepeer.NewClaims(nodepeer.ClaimsOptions{
		Self:         p.settings.ID,
		Incarnation:  p.incarnation,
		Server:       do.MustInvoke[*nodepeer.Server](injector),
		Dialer:       dialer,
		Endpoints:    keyHolders{subscriber: subscriber},
		Services:     func() []core.ServiceName { return subscriber.Current().Services() },
		ServiceSince: func(service core.ServiceName) (time.Time, bool) { return serviceSince(subscriber.Current(), service) },
		Metrics:      p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups.add(stopKeys)
	p.handOver = keys.HandOver
	return keys, nil
}

// localService returns the service of the local backend server, or the one in the settings if none has announced itself yet.
func (p *process) localService() core.ServiceName {
	if service, known := p.service.Load().(core.ServiceName); known {
		return service
	}
	return p.settings.Service
}

func (p *process) logTripped(service core.ServiceName, route core.RouteName, release core.Release) {
	p.log.Warn().Str("event", "release-stopped").Str("service", string(service)).Str("route", string(route)).
		Str("release", string(release)).Msg("this node sends no more calls to the release")
}
