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
	// stepInterval is how often open moves are checked for a due step.
	stepInterval = 200 * time.Millisecond
	// proposeTimeout bounds the wait for one step. The decider proposes an unconfirmed step again with the same number.
	proposeTimeout = 2 * time.Second
	// maxEvidenceBytes leaves room for the number of reporting nodes in the evidence text of a step.
	maxEvidenceBytes = 4000
)

// moveStepper decides and proposes the steps of open moves while this control instance leads.
type moveStepper struct {
	catalog    *catalog.Catalog
	source     *distribution.Source
	replicator core.Replicator
	// maxShortMoveDuration is the longest duration of a move that a rollout.ShortMoveDecider decides, zero for no such moves.
	maxShortMoveDuration time.Duration
	log                  zerolog.Logger
	deciders             map[core.MoveID]moveDecider
}

// moveDecider decides the steps of one move; a rollout.SequentialDecider and a rollout.ShortMoveDecider implement it.
type moveDecider interface {
	ObserveEndpoints(now time.Time, endpoints []core.Endpoint)
	ObserveLateness(late time.Duration)
	Decide(now time.Time, move core.Move, evidence []core.EvidenceCount) (core.MoveStep, bool)
}

func (m *moveStepper) stepOpenMoves(ctx context.Context, now time.Time) {
	status := m.replicator.Status()
	if status.Leader != status.Self {
		m.deciders = make(map[core.MoveID]moveDecider) // another leader decides, and what was observed here becomes outdated
		return
	}
	open := make(map[core.MoveID]moveDecider)
	endpoints, evidence := m.endpoints(), m.source.Evidence()
	for _, move := range m.catalog.Moves() {
		if rollout.IsFinal(move.State) {
			continue
		}
		decider := m.deciderOf(move)
		if decider == nil {
			continue
		}
		open[move.MoveID] = decider
		decider.ObserveEndpoints(now, endpoints)
		decider.ObserveLateness(m.source.EvidenceLateness(move.MoveID))
		moveEvidence := lo.Filter(evidence, func(count core.EvidenceCount, _ int) bool { return count.Move == move.MoveID })
		if step, due := decider.Decide(now, move, moveEvidence); due {
			step.Evidence = m.withReporting(step)
			m.propose(ctx, step)
		}
	}
	m.deciders = open
}

// withReporting adds to the evidence how many nodes have reported, so that missing nodes do not pass for nodes without failures.
func (m *moveStepper) withReporting(step core.MoveStep) string {
	if step.Step == 1 || len(step.Evidence) > maxEvidenceBytes {
		return step.Evidence // no node knows the move before its first step
	}
	text := fmt.Sprintf("%s; %d of %d nodes report", step.Evidence, m.source.Reporting(step.MoveID), m.source.Fleet().Nodes)
	if late := m.source.EvidenceLateness(step.MoveID); late > 0 {
		text += fmt.Sprintf("; reports up to %s later than usual", late)
	}
	return text
}

// endpoints returns the endpoints of all services, since any node may route calls to the service that moves.
func (m *moveStepper) endpoints() []core.Endpoint {
	return lo.FlatMap(m.catalog.Current().Services(), func(service core.ServiceName, _ int) []core.Endpoint {
		return m.source.Endpoints(service)
	})
}

// deciderOf returns the decider of a move, or nil if the configuration does not have the move's upstreams.
func (m *moveStepper) deciderOf(move core.Move) moveDecider {
	if decider, exists := m.deciders[move.MoveID]; exists {
		return decider
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

func (m *moveStepper) propose(ctx context.Context, step core.MoveStep) {
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
