package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
)

const (
	// MemberTimeout is the silence after which a voter may be replaced by another instance. It is longer than an election, so that
	// a change of leader removes no member.
	MemberTimeout = 2500 * time.Millisecond
	// learnerTimeout is the silence after which a learner is removed. It is long because a learner has no vote.
	learnerTimeout = 30 * time.Second
	// maxLearners limits the instances that are kept up to date without a vote.
	maxLearners = 3
)

// MemberStatus is the leader's view of one member.
type MemberStatus struct {
	raft.Member
	LastHeard time.Time // the current time for the leader itself
	CaughtUp  bool      // whether a learner has nearly all of the log
}

// Newcomer is an instance that has introduced itself but is not a member.
type Newcomer struct {
	Peer       raft.Peer
	Address    string
	DataCentre core.DataCentre
}

// NextChange returns the next membership change, one at a time. An instance that lost its disk is replaced by its new identity,
// newcomers become learners, learners that have caught up are promoted while voters are missing, and a silent voter is removed if a
// learner can replace it. Without such a learner, a silent voter stays, since removing it would gain nothing.
func NextChange(now time.Time, voters int, members []MemberStatus, newcomers []Newcomer) (raft.Change, bool) {
	for _, newcomer := range newcomers {
		if change, due := admit(newcomer, members); due {
			return change, true
		}
	}
	count := lo.CountBy(members, func(m MemberStatus) bool { return m.Voter })
	ready, waits := bestLearner(now, members)
	if waits && count < voters {
		return changeOf(raft.ChangePromote, ready.Member), true
	}
	for _, m := range members {
		silent := now.Sub(m.LastHeard)
		if m.Voter && waits && count >= voters && silent > MemberTimeout && count > 1 {
			return changeOf(raft.ChangeRemove, m.Member), true
		}
		if !m.Voter && silent > learnerTimeout {
			return changeOf(raft.ChangeRemove, m.Member), true
		}
	}
	return raft.Change{}, false
}

// admit adds a newcomer as a learner, or replaces the earlier identity of the same instance.
func admit(newcomer Newcomer, members []MemberStatus) (raft.Change, bool) {
	change := raft.Change{
		Kind:       raft.ChangeAdd,
		Peer:       newcomer.Peer,
		Address:    newcomer.Address,
		DataCentre: newcomer.DataCentre,
	}
	if existing, exists := lo.Find(members, func(m MemberStatus) bool { return m.Peer.ID == newcomer.Peer.ID }); exists {
		change.Kind = raft.ChangeReplace
		return change, existing.Peer != newcomer.Peer
	}
	learners := lo.CountBy(members, func(m MemberStatus) bool { return !m.Voter })
	return change, newcomer.Address != "" && learners < maxLearners
}

// bestLearner returns the live, caught-up learner in the data centre with the fewest live voters.
func bestLearner(now time.Time, members []MemberStatus) (MemberStatus, bool) {
	votersIn := make(map[core.DataCentre]int)
	for _, m := range members {
		if m.Voter && now.Sub(m.LastHeard) <= MemberTimeout {
			votersIn[m.DataCentre]++
		}
	}
	ready := lo.Filter(members, func(m MemberStatus, _ int) bool {
		return !m.Voter && m.CaughtUp && now.Sub(m.LastHeard) <= MemberTimeout
	})
	if len(ready) == 0 {
		return MemberStatus{}, false
	}
	return slices.MinFunc(ready, func(a, b MemberStatus) int {
		if byCentre := votersIn[a.DataCentre] - votersIn[b.DataCentre]; byCentre != 0 {
			return byCentre
		}
		return strings.Compare(string(a.Peer.ID), string(b.Peer.ID))
	}), true
}

func changeOf(kind raft.ChangeKind, member raft.Member) raft.Change {
	return raft.Change{
		Kind:       kind,
		Peer:       member.Peer,
		Address:    member.Address,
		DataCentre: member.DataCentre,
	}
}
