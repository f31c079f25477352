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

// rulesInterval is how often the leader checks whether newer rules can come into force, which is not urgent.
const rulesInterval = time.Second

// startRulesUpgrade starts the background task that brings the newest rules for commands into force once each control instance knows
// them, so that older and newer programs decide alike during an upgrade.
func (p *process) startRulesUpgrade(injector do.Injector) {
	replica, records := do.MustInvoke[*raftpeer.Replica](injector), do.MustInvoke[*catalog.Catalog](injector)
	p.startPeriodic(rulesInterval, func(ctx context.Context, now time.Time) {
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
		report, known := c.fresh(now, member.Peer)
		if !known {
			return 0
		}
		lowest = min(lowest, report.KnownRules)
	}
	return lowest
}
