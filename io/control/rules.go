package control

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
	"parsleyport/io/raftpeer"
)

// rulesEvery is how often the leader asks whether newer rules can come into force. It is not urgent.
const rulesEvery = time.Second

// startRules starts the duty that brings the newest rules for commands into force once each control instance knows them, so
// that older and newer programs decide alike while an upgrade is under way.
func (p *process) startRules(injector do.Injector) {
	replica, records := do.MustInvoke[*raftpeer.Replica](injector), do.MustInvoke[*catalog.Catalog](injector)
	p.startPeriodic(rulesEvery, func(ctx context.Context, now time.Time) {
		if status := replica.Status(); status.Leader != status.Self {
			return
		}
		rules := p.catchUp.knownToAll(now, replica.Self(), replica.Members())
		if rules <= records.Rules() {
			return
		}
		if err := proposeRules(ctx, replica, rules); err != nil {
			p.log.Warn().Err(err).Str("event", "rules-not-raised").Msg("newer rules for commands not brought into force")
			return
		}
		p.log.Info().Str("event", "rules-raised").Uint32("rules", uint32(rules)).Msg("newer rules for commands are in force")
	})
}

func proposeRules(ctx context.Context, replica core.Replicator, rules core.RulesVersion) error {
	command, err := catalog.EncodeRules(time.Now(), rules)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err = replica.Propose(ctx, command)
	return err
}

// knownToAll returns the newest rules that this and each other member know, or zero if one of them has not reported.
func (c *catchUp) knownToAll(now time.Time, self raft.Peer, members []raft.Member) core.RulesVersion {
	lowest := catalog.KnownRules
	for _, member := range members {
		if member.Peer == self {
			continue
		}
		report, known := c.of(now, member.Peer)
		if !known {
			return 0
		}
		lowest = min(lowest, report.KnownRules)
	}
	return lowest
}
