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
	// membershipInterval is how often the leader looks for lost and new instances, and how often links follow the membership.
	membershipInterval = 200 * time.Millisecond
	// changeTimeout bounds one membership change; the next change is decided afresh.
	changeTimeout = time.Second
)

// startVoterMaintenance starts the background task that keeps as many voters as the settings state, without an operator.
func (p *process) startVoterMaintenance(injector do.Injector) {
	if p.settings.Voters == 0 {
		return
	}
	replica := do.MustInvoke[*raftpeer.Replica](injector)
	p.startPeriodic(membershipInterval, func(ctx context.Context, now time.Time) {
		p.trackLeadership(now, replica.Status())
		p.maintainVoters(ctx, now, replica)
	})
}

func (p *process) maintainVoters(ctx context.Context, now time.Time, replica *raftpeer.Replica) {
	status := replica.Status()
	if status.Leader != status.Self || !p.ledLongEnough(now) {
		return
	}
	statuses := lo.Map(replica.Members(), func(m raft.Member, _ int) membership.MemberStatus { return p.memberStatus(now, replica, m) })
	newcomers := lo.Map(replica.RecentNonMembers(now), func(introduction raftpeer.Introduction, _ int) membership.Newcomer {
		return membership.Newcomer{
			Peer:       introduction.Peer,
			Address:    introduction.Address,
			DataCentre: introduction.DataCentre,
		}
	})
	change, due := membership.NextChange(now, p.settings.Voters, statuses, newcomers)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := replica.Change(ctx, change)
	p.log.Info().Err(err).Str("event", "membership-change").Str("change", string(change.Kind)).Str("instance", string(change.Peer.ID)).
		Str("identity", string(change.Peer.Identity)).Msg("membership change requested")
}

// ledLongEnough reports whether this instance has led for long enough to have received a report from every live member.
func (p *process) ledLongEnough(now time.Time) bool {
	return now.Sub(p.ledSince) >= maxCatchUpReportAge
}

func (p *process) memberStatus(now time.Time, replica *raftpeer.Replica, m raft.Member) membership.MemberStatus {
	memberStatus := membership.MemberStatus{
		Member: m,
	}
	if m.Peer == replica.Self() {
		memberStatus.LastHeard = now
		return memberStatus
	}
	report, known := p.catchUp.latest(m.Peer)
	if !known {
		memberStatus.LastHeard = p.ledSince
		return memberStatus
	}
	memberStatus.LastHeard = report.receivedAt
	memberStatus.CaughtUp = report.Applied+maxCatchUpLag >= replica.Status().Commit && report.MissingAudit == 0
	return memberStatus
}

// startPeerLinks starts the background task that keeps the links to the other control instances up to date with the membership.
func (p *process) startPeerLinks(injector do.Injector) {
	if p.settings.MemberAt == nil {
		return
	}
	replica, source := do.MustInvoke[*raftpeer.Replica](injector), do.MustInvoke[*distribution.Source](injector)
	p.startPeriodic(membershipInterval, func(context.Context, time.Time) { p.linkPeers(replica.Members(), source) })
}

func (p *process) trackLeadership(now time.Time, status core.ReplicatorStatus) {
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
