package control

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/rollout"
	"parsleyport/io/distribution"
)

const (
	// stepEvery is how often open moves are judged.
	stepEvery = 200 * time.Millisecond
	// proposeTimeout bounds the wait for one step; the judge proposes an unanswered step again with the same number.
	proposeTimeout = 2 * time.Second
	// maxEvidenceText leaves room for the number of reporting nodes in the text of a step.
	maxEvidenceText = 4000
)

// mover steps the open moves while this control instance leads.
type mover struct {
	catalog    *catalog.Catalog
	source     *distribution.Source
	replicator core.Replicator
	// maxShortMoveDuration is the longest duration of a move that a rollout.ShortMoveDecider decides, zero for no such moves.
	maxShortMoveDuration time.Duration
	log                  zerolog.Logger
	judges               map[core.MoveID]judge
}

// judge decides the steps of one move.
type judge interface {
	ObserveEndpoints(now time.Time, endpoints []core.Endpoint)
	ObserveLateness(late time.Duration)
	Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool)
}

func (m *mover) judgeAll(ctx context.Context, now time.Time) {
	status := m.replicator.Status()
	if status.Leader != status.Self {
		m.judges = make(map[core.MoveID]judge) // another leader judges; what was learned here goes stale
		return
	}
	open := make(map[core.MoveID]judge)
	endpoints, evidence := m.endpoints(), m.source.Evidence()
	for _, move := range m.catalog.Moves() {
		if rollout.IsFinal(move.State) {
			continue
		}
		judge := m.judge(move)
		if judge == nil {
			continue
		}
		open[move.MoveID] = judge
		judge.ObserveEndpoints(now, endpoints)
		judge.ObserveLateness(m.source.EvidenceLate(move.MoveID))
		counted := lo.Filter(evidence, func(count core.EvidenceCount, _ int) bool { return count.Move == move.MoveID })
		if step, due := judge.Decide(now, move, counted); due {
			step.Evidence = m.withReporting(step)
			m.propose(ctx, step)
		}
	}
	m.judges = open
}

// withReporting adds how many nodes the evidence comes from, so that missing nodes do not pass for nodes without failures.
func (m *mover) withReporting(step core.MoveStep) string {
	if step.Step == 1 || len(step.Evidence) > maxEvidenceText {
		return step.Evidence // no node knows of the move before its first step
	}
	text := fmt.Sprintf("%s; %d of %d nodes report", step.Evidence, m.source.Reporting(step.MoveID), m.source.Fleet().Nodes)
	if late := m.source.EvidenceLate(step.MoveID); late > 0 {
		text += fmt.Sprintf("; reports up to %s later than usual", late)
	}
	return text
}

// endpoints returns those of all services, since any node may take the calls of the service that moves.
func (m *mover) endpoints() []core.Endpoint {
	return lo.FlatMap(m.catalog.Current().Services(), func(service core.ServiceName, _ int) []core.Endpoint {
		return m.source.Endpoints(service)
	})
}

// judge returns the judge of a move, or nil if the configuration does not know the move's upstreams.
func (m *mover) judge(move core.Move) judge {
	if judge, exists := m.judges[move.MoveID]; exists {
		return judge
	}
	configuration := m.catalog.Current()
	from, fromExists := configuration.UpstreamOf(move.Request.Service, move.Request.From)
	to, toExists := configuration.UpstreamOf(move.Request.Service, move.Request.To)
	if !fromExists || !toExists {
		return nil
	}
	if rollout.IsShortMove(move, m.maxShortMoveDuration) {
		return rollout.NewShortMoveDecider(move, to.Release)
	}
	return rollout.NewSequentialDecider(move, from.Release, to.Release)
}

func (m *mover) propose(ctx context.Context, step core.MoveStep) {
	command, err := catalog.EncodeStep(step)
	if err != nil {
		m.log.Error().Err(err).Str("move", string(step.MoveID)).Msg("step of a move cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := m.replicator.Propose(ctx, command); err != nil {
		m.log.Warn().Err(err).Str("event", "step-not-confirmed").Str("move", string(step.MoveID)).Uint64("step", step.Step).Msg("step of a move not confirmed")
		return
	}
	m.log.Info().Str("event", "move-stepped").Str("move", string(step.MoveID)).Str("state", string(step.State)).
		Uint32("share-per-mille", uint32(step.Share)).Str("cause", step.Cause).Str("evidence", step.Evidence).Msg("move stepped")
}
