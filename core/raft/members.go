package raft

import (
	"slices"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
)

// membership is the list of members in force from an index on, set by the log entry or the snapshot at that index.
type membership struct {
	index   core.LogIndex
	members []Member
}

func (m membership) find(peer Peer) (Member, bool) {
	return lo.Find(m.members, func(member Member) bool { return member.Peer == peer })
}

func (m membership) findID(id core.ControlID) (Member, bool) {
	return lo.Find(m.members, func(member Member) bool { return member.Peer.ID == id })
}

func (m membership) isVoter(peer Peer) bool {
	member, exists := m.find(peer)
	return exists && member.Voter
}

func (m membership) voters() []Member {
	return lo.Filter(m.members, func(member Member, _ int) bool { return member.Voter })
}

// quorum reports whether a majority of the voters satisfies the condition.
func (m membership) quorum(satisfies func(Peer) bool) bool {
	voters := m.voters()
	count := lo.CountBy(voters, func(member Member) bool { return satisfies(member.Peer) })
	return len(voters) > 0 && count > len(voters)/2
}

// apply returns the members after a change, or an error that says why the change is not possible.
func (m membership) apply(change Change) ([]Member, error) {
	old, exists := m.findID(change.Peer.ID)
	rest := lo.Reject(m.members, func(member Member, _ int) bool { return member.Peer.ID == change.Peer.ID })
	member := Member{
		Peer:       change.Peer,
		Address:    lo.CoalesceOrEmpty(change.Address, old.Address),
		DataCentre: lo.CoalesceOrEmpty(change.DataCentre, old.DataCentre),
	}
	switch change.Kind {
	case ChangeAdd:
		if exists {
			return nil, errors.AlreadyExistsf("member %q", change.Peer.ID)
		}
	case ChangeReplace:
		if !exists || old.Peer == change.Peer {
			return nil, errors.NotValidf("replacement of %q: no member of that name with another identity", change.Peer.ID)
		}
	case ChangePromote:
		if !exists || old.Peer != change.Peer || old.Voter {
			return nil, errors.NotValidf("promotion of %q: no learner of that name and identity", change.Peer.ID)
		}
		member.Voter = true
	case ChangeRemove:
		if !exists || old.Peer != change.Peer {
			return nil, errors.NotFoundf("member %q of that identity", change.Peer.ID)
		}
		return m.checkVoters(rest)
	default:
		return nil, errors.NotValidf("membership change %q", change.Kind)
	}
	return m.checkVoters(sortMembers(append(rest, member)))
}

// checkVoters refuses a membership without a voter.
func (m membership) checkVoters(members []Member) ([]Member, error) {
	if len((membership{members: members}).voters()) == 0 {
		return nil, errors.NotValidf("membership without a voter")
	}
	return members, nil
}

func sortMembers(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int {
		if a.Peer.ID < b.Peer.ID {
			return -1
		}
		return 1
	})
	return members
}
