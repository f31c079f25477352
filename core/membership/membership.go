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
	// MemberTimeout is the silence after which a member may be replaced by another instance: more than an election takes, so that
	// a change of leader removes nobody.
	MemberTimeout = 2500 * time.Millisecond
	// learnerTimeout is the silence after which a learner is forgotten. It has no vote, so that nothing hurries.
	learnerTimeout = 30 * time.Second
	// maxLearners bounds the instances that are kept up to date without a vote.
	maxLearners = 3
)

// View is what the leader knows of one member.
type MemberStatus struct {
	raft.Member
	LastHeard time.Time // the leader's own is the present
	CaughtUp  bool      // a learner that holds nearly all of the log
}

// Newcomer is an instance that has introduced itself and is not a member.
type Newcomer struct {
	Peer       raft.Peer
	Address    string
	DataCentre core.DataCentre
}

// Next returns the next change of the membership, one at a time: an instance that lost its disk is replaced by its new
// identity, newcomers become learners, learners that have caught up fill the places without a voter, and a voter that is
// silent gives its place up to a learner that waits. Without a learner, a silent voter stays: removing it would help nobody.
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

// admit makes a newcomer a learner, in place of its name's earlier identity if there is one.
func admit(newcomer Newcomer, members []MemberStatus) (raft.Change, bool) {
	change := raft.Change{
		Kind:       raft.ChangeAdd,
		Peer:       newcomer.Peer,
		Address:    newcomer.Address,
		DataCentre: newcomer.DataCentre,
	}
	if held, exists := lo.Find(members, func(m MemberStatus) bool { return m.Peer.ID == newcomer.Peer.ID }); exists {
		change.Kind = raft.ChangeReplace
		return change, held.Peer != newcomer.Peer
	}
	learners := lo.CountBy(members, func(m MemberStatus) bool { return !m.Voter })
	return change, newcomer.Address != "" && learners < maxLearners
}

// bestLearner returns a live learner that has caught up, from the data centre with the fewest voters.
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
