package control

import (
	"context"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/membership"
	"parsleyport/core/raft"
	"parsleyport/io/distribution"
	"parsleyport/io/raftpeer"
)

const (
	// keepEvery is how often the leader looks for lost and new instances.
	keepEvery = 200 * time.Millisecond
	// changeTimeout bounds one change of the membership; it is decided anew after that.
	changeTimeout = time.Second
)

// startKeeper starts the duty that keeps the number of voters of the settings, without an operator.
func (p *process) startKeeper(injector do.Injector) {
	if p.settings.Voters == 0 {
		return
	}
	replica := do.MustInvoke[*raftpeer.Replica](injector)
	p.startPeriodic(keepEvery, func(ctx context.Context, now time.Time) {
		p.followLeader(now, replica.Status())
		p.keepVoters(ctx, now, replica)
	})
}

func (p *process) keepVoters(ctx context.Context, now time.Time, replica *raftpeer.Replica) {
	status := replica.Status()
	if status.Leader != status.Self || !p.leadsFor(now) {
		return
	}
	views := lo.Map(replica.Members(), func(m raft.Member, _ int) membership.MemberStatus { return p.view(now, replica, m) })
	newcomers := lo.Map(replica.RecentNonMembers(now), func(i raftpeer.Introduction, _ int) membership.Newcomer {
		return membership.Newcomer{
			Peer:       i.Peer,
			Address:    i.Address,
			DataCentre: i.DataCentre,
		}
	})
	change, due := membership.NextChange(now, p.settings.Voters, views, newcomers)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := replica.Change(ctx, change)
	p.log.Info().Err(err).Str("event", "membership-change").Str("change", string(change.Kind)).Str("instance", string(change.Peer.ID)).
		Str("identity", string(change.Peer.Identity)).Msg("membership change decided")
}

// leadsFor reports whether this instance has led for long enough to have heard from every live member.
func (p *process) leadsFor(now time.Time) bool {
	return now.Sub(p.ledSince) >= catchUpAge
}

func (p *process) view(now time.Time, replica *raftpeer.Replica, m raft.Member) membership.MemberStatus {
	view := membership.MemberStatus{
		Member: m,
	}
	if m.Peer == replica.Self() {
		view.LastHeard = now
		return view
	}
	report, known := p.catchUp.last(m.Peer)
	if !known {
		view.LastHeard = p.ledSince
		return view
	}
	view.LastHeard = report.at
	view.CaughtUp = report.Applied+maxCatchUpLag >= replica.Status().Commit && report.MissingAudit == 0
	return view
}

// startPeers starts the duty that links to the other control instances as the membership changes.
func (p *process) startPeers(injector do.Injector) {
	if p.settings.MemberAt == nil {
		return
	}
	replica, source := do.MustInvoke[*raftpeer.Replica](injector), do.MustInvoke[*distribution.Source](injector)
	p.startPeriodic(keepEvery, func(context.Context, time.Time) { p.linkPeers(replica.Members(), source) })
}

func (p *process) followLeader(now time.Time, status core.ReplicatorStatus) {
	switch {
	case status.Leader != status.Self:
		p.ledSince = time.Time{}
	case p.ledSince.IsZero():
		p.ledSince = now
	}
}

func (p *process) linkPeers(members []raft.Member, source *distribution.Source) {
	if len(members) == 0 {
		return // not known yet
	}
	others := lo.FilterMap(members, func(m raft.Member, _ int) (distribution.Peer, bool) {
		return distribution.Peer{
			ID:      m.Peer.ID,
			Address: p.settings.MemberAt(m.Address).NodeAddress,
		}, m.Peer.ID != p.settings.ID && m.Address != ""
	})
	voters := lo.FilterMap(members, func(m raft.Member, _ int) (distribution.ControlAddress, bool) {
		return distribution.ControlAddress{
			Address:    p.settings.MemberAt(m.Address).NodeAddress,
			DataCentre: m.DataCentre,
		}, m.Voter && m.Address != ""
	})
	source.SetPeers(others, voters)
}
