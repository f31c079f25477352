package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
	"parsleyport/io/adminhttp"
	"parsleyport/io/disk"
	"parsleyport/io/distribution"
	"parsleyport/io/operatorhttp"
	"parsleyport/io/raftpeer"
	"parsleyport/io/settings"
)

// handOverTimeout leaves room for three attempts. Without a successor, as after the loss of the quorum, the instance stops anyway.
const handOverTimeout = 3 * raft.HandoverTimeout

// process holds what the parts of one control instance share.
type process struct {
	settings settings.Control
	log      zerolog.Logger
	metrics  *metrics.Set
	backfill *backfill
	catchUp  *catchUp
	replica  atomic.Pointer[raftpeer.Replica] // nil until it has started
	ledSince time.Time                        // zero unless this instance leads; used only by the task that maintains the voters
	cleanups []func()
}

// Parts holds the parts of a control instance that an interface in addition to the operators' API needs.
type Parts struct {
	Replicator core.Replicator
	Catalog    *catalog.Catalog
	Source     *distribution.Source
	// IntroduceTo introduces the instance to the given ones, as after a change of the settings, if it is not a member.
	IntroduceTo func([]settings.Member)
}

// Options configure a control instance beyond its settings.
type Options struct {
	// Serve starts an interface in addition to the operators' API and returns its clean-up function; nil for none.
	Serve func(Parts) (func(), error)
}

// Run runs a control instance until the context ends; it returns an error if an address or the data folder cannot be
// used, or after a fault of the disk.
func Run(ctx context.Context, s settings.Control, log zerolog.Logger) error {
	return RunWith(ctx, s, Options{}, log)
}

// RunWith is Run with options.
func RunWith(ctx context.Context, s settings.Control, options Options, log zerolog.Logger) error {
	p := &process{
		settings: s,
		log:      log.With().Str("control", string(s.ID)).Logger(),
		metrics:  metrics.NewSet(),
		backfill: newBackfill(),
	}
	p.catchUp = newCatchUp(p.isMember)
	defer p.cleanup()
	injector := do.New()
	do.Provide(injector, p.newFolder)
	do.Provide(injector, p.newArchive)
	do.Provide(injector, p.newCatalog)
	do.Provide(injector, p.newReplica)
	do.Provide(injector, p.newQuotaLender)
	do.Provide(injector, p.newSource)
	do.Provide(injector, p.newOperators)
	replica, err := do.Invoke[*raftpeer.Replica](injector)
	if err != nil {
		return errors.Annotate(err, "replicated log")
	}
	if _, err := do.Invoke[*operatorhttp.Server](injector); err != nil {
		return errors.Annotate(err, "operators' API")
	}
	if options.Serve != nil {
		cleanup, err := options.Serve(Parts{
			Replicator:  replica,
			Catalog:     do.MustInvoke[*catalog.Catalog](injector),
			Source:      do.MustInvoke[*distribution.Source](injector),
			IntroduceTo: func(members []settings.Member) { replica.IntroduceTo(raftMembers(members)) },
		})
		if err != nil {
			return errors.Annotate(err, "interface")
		}
		p.cleanups = append(p.cleanups, cleanup)
	}
	if err := p.startAdmin(replica); err != nil {
		return err
	}
	p.startMoveStepper(injector)
	p.startQuotaLender(injector)
	p.startBackfill(injector)
	p.startCatchUp(injector)
	p.startRulesUpgrade(injector)
	p.startVoterMaintenance(injector)
	p.startPeerLinks(injector)
	p.log.Info().Str("event", "started").Msg("control instance started")
	select {
	case <-ctx.Done():
		p.log.Info().Str("event", "stopping").Msg("control instance stops")
		p.handOver(replica)
		return nil
	case err := <-replica.Failed():
		return errors.Annotate(err, "replicated log")
	}
}

// handOver transfers the leadership before anything else stops, so that operators' requests under way continue at the new leader.
func (p *process) handOver(replica *raftpeer.Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := replica.HandOver(ctx); err != nil {
		p.log.Warn().Err(err).Str("event", "not-handed-over").Msg("leadership not handed over")
	}
}

// cleanup runs the clean-up functions in reverse order.
func (p *process) cleanup() {
	for _, cleanup := range slices.Backward(p.cleanups) {
		cleanup()
	}
}

func (p *process) startAdmin(replica *raftpeer.Replica) error {
	if p.settings.AdminAddress == "" {
		return nil
	}
	cleanup, err := adminhttp.New(adminhttp.Options{
		Address: p.settings.AdminAddress,
		Ready:   func() bool { return replica.Status().Leader != "" },
		State:   func() any { return replica.Status() },
		Metrics: p.metrics,
		Logger:  p.log,
	})
	if err != nil {
		return err
	}
	p.cleanups = append(p.cleanups, cleanup)
	return nil
}

func raftMembers(members []settings.Member) []raftpeer.Member {
	return lo.Map(members, func(m settings.Member, _ int) raftpeer.Member {
		return raftpeer.Member{
			ID:         m.ID,
			Address:    m.PeerAddress,
			DataCentre: m.DataCentre,
		}
	})
}

func (p *process) newReplica(injector do.Injector) (*raftpeer.Replica, error) {
	records, err := do.Invoke[*catalog.Catalog](injector)
	if err != nil {
		return nil, err
	}
	folder := do.MustInvoke[disk.Folder](injector)
	replica, cleanup, err := raftpeer.New(raftpeer.Options{
		Self:          p.settings.ID,
		Folder:        folder,
		Listen:        p.settings.PeerAddress,
		Members:       raftMembers(p.settings.Members),
		Bootstrap:     p.settings.Bootstrap,
		AcceptUnknown: p.settings.MemberAt != nil,
		Logger:        p.log,
		Metrics:       p.metrics,
		Receive:       p.receive,
	}, records)
	if err != nil {
		return nil, err
	}
	p.cleanups = append(p.cleanups, cleanup)
	p.replica.Store(replica)
	return replica, nil
}

func (p *process) newSource(injector do.Injector) (*distribution.Source, error) {
	replica, err := do.Invoke[*raftpeer.Replica](injector)
	if err != nil {
		return nil, err
	}
	others := lo.Filter(p.settings.Members, func(m settings.Member, _ int) bool { return m.ID != p.settings.ID })
	source, cleanup, err := distribution.NewSource(distribution.SourceOptions{
		ID:               p.settings.ID,
		ListenAddress:    p.settings.NodeAddress,
		DataCentre:       p.settings.DataCentre,
		DirectNodes:      p.settings.DirectNodes,
		EvidenceInterval: p.settings.EvidenceInterval,
		Peers: lo.Map(others, func(m settings.Member, _ int) distribution.Peer {
			return distribution.Peer{
				ID:      m.ID,
				Address: m.NodeAddress,
			}
		}),
		Catalog:    do.MustInvoke[*catalog.Catalog](injector),
		Replicator: replica,
		Departures: &departureLog{
			replicator: replica,
			catalog:    do.MustInvoke[*catalog.Catalog](injector),
		},
		Quotas:  do.MustInvoke[*quotaLender](injector),
		Logger:  p.log,
		Metrics: p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups = append(p.cleanups, cleanup)
	return source, nil
}

// startMoveStepper starts the background task that steps the open moves.
func (p *process) startMoveStepper(injector do.Injector) {
	m := &moveStepper{
		catalog:              do.MustInvoke[*catalog.Catalog](injector),
		source:               do.MustInvoke[*distribution.Source](injector),
		replicator:           do.MustInvoke[*raftpeer.Replica](injector),
		maxShortMoveDuration: p.settings.MaxShortMoveDuration,
		log:                  p.log,
	}
	p.startPeriodic(stepInterval, m.stepOpenMoves)
}

// startPeriodic calls a function at each tick until the clean-up. Ticks that pass during a call are dropped.
func (p *process) startPeriodic(interval time.Duration, run func(ctx context.Context, now time.Time)) {
	p.startTask(func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				run(ctx, now)
			}
		}
	})
}

// startTask runs a background task until the clean-up.
func (p *process) startTask(run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		run(ctx)
	}()
	p.cleanups = append(p.cleanups, func() {
		cancel()
		<-stopped
	})
}

// receive implements raftpeer.Options.Receive.
func (p *process) receive(from core.ControlID, topic string, payload []byte) {
	if topic == catchUpTopic {
		p.catchUp.receive(time.Now(), from, payload)
		return
	}
	p.backfill.receive(from, topic, payload)
}

// isMember reports whether an instance is a voter or a learner; false until the replica has started.
func (p *process) isMember(id core.ControlID) bool {
	replica := p.replica.Load()
	return replica != nil && lo.ContainsBy(replica.Members(), func(m raft.Member) bool { return m.Peer.ID == id })
}

// otherIDs returns the ids of the other control instances, from the settings and the membership.
func (p *process) otherIDs(replica *raftpeer.Replica) []core.ControlID {
	ids := lo.Map(p.settings.Members, func(m settings.Member, _ int) core.ControlID { return m.ID })
	ids = append(ids, lo.Map(replica.Members(), func(m raft.Member, _ int) core.ControlID { return m.Peer.ID })...)
	return lo.Without(lo.Uniq(ids), p.settings.ID)
}
