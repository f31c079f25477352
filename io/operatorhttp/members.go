package operatorhttp

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
)

// Membership is the membership of the control instances as the local replica knows it.
type Membership interface {
	// Members returns the newest membership; the slice must not be changed.
	Members() []raft.Member
	// NonMembers returns the instances that have introduced themselves and are not members.
	NonMembers() []raft.Peer
	// CatchUp returns the progress of each learner.
	CatchUp() []CatchUp
	// Change commits a change, or returns core.ErrNoLeader, raft.ErrTransient, core.ErrOutcomeUnknown or the reason of its refusal.
	Change(ctx context.Context, change raft.Change) error
}

// Members is the answer of the operations on the membership.
type Members struct {
	Current           bool            `json:"current"` // false if no leader confirmed that the other fields are up to date
	Leader            core.ControlID  `json:"leader"`
	Members           []raft.Member   `json:"members"`
	NonMembers        []raft.Peer     `json:"non-members"` // introduced, but not members
	ToleratedFailures int             `json:"tolerated-failures"`
	Missing           []MissingChange `json:"missing"`
	CatchUp           []CatchUp       `json:"catch-up"` // of each learner
}

// CatchUp describes the progress of a learner. Known is false if it has not reported within the last seconds.
type CatchUp struct {
	ID           core.ControlID `json:"id"`
	Known        bool           `json:"known"`
	Applied      core.LogIndex  `json:"applied"`
	Committed    core.LogIndex  `json:"committed"`     // by the leader, as far as the answering instance knows
	MissingAudit uint64         `json:"missing-audit"` // entries of the audit trail that the learner lacks
}

func (c CatchUp) text() string {
	if !c.Known {
		return "it has not reported what it holds"
	}
	text := fmt.Sprintf("it holds entry %d of %d", c.Applied, c.Committed)
	if c.MissingAudit > 0 {
		text += fmt.Sprintf(" and lacks %d entries of the audit trail", c.MissingAudit)
	}
	return text
}

// MissingChange is a change that an operator still has to request, unless the instance is meant to stay as it is.
type MissingChange struct {
	ID     core.ControlID  `json:"id"`
	Change raft.ChangeKind `json:"change"`
	Reason string          `json:"reason"`
}

// MemberChange requests a membership change. The identity of the peer makes a resend harmless, and because of the id all resends are
// one request in the audit trail.
type MemberChange struct {
	ID       core.SubmissionID
	Operator core.Operator
	Kind     raft.ChangeKind
	Peer     raft.Peer
}

type changeBody struct {
	Submission core.SubmissionID `json:"submission-id"`
	Operator   core.Operator     `json:"operator"`
	Identity   raft.Identity     `json:"identity" minLength:"1"`
}

type changeInput struct {
	ID     string `path:"id"`
	Change string `path:"change" enum:"replace,add,promote,remove"`
	Body   changeBody
}

func (c *changeInput) change() raft.Change {
	return raft.Change{
		Kind: raft.ChangeKind(c.Change),
		Peer: raft.Peer{
			ID:       core.ControlID(c.ID),
			Identity: c.Body.Identity,
		},
	}
}

// missingChanges returns the changes after which every known instance would be a voter.
func missingChanges(members []raft.Member, nonMembers []raft.Peer, catchUp []CatchUp) []MissingChange {
	changes := []MissingChange{}
	for _, nonMember := range nonMembers {
		change := MissingChange{
			ID:     nonMember.ID,
			Change: raft.ChangeAdd,
			Reason: "has introduced itself and is not a member",
		}
		if lo.ContainsBy(members, func(m raft.Member) bool { return m.Peer.ID == nonMember.ID }) {
			change.Change, change.Reason = raft.ChangeReplace, "has introduced itself with a new identity, as after the loss of its disk"
		}
		changes = append(changes, change)
	}
	for _, member := range members {
		if replaced := lo.ContainsBy(nonMembers, func(p raft.Peer) bool { return p.ID == member.Peer.ID }); !member.Voter && !replaced {
			changes = append(changes, MissingChange{
				ID:     member.Peer.ID,
				Change: raft.ChangePromote,
				Reason: learnerReason(member.Peer.ID, catchUp),
			})
		}
	}
	return changes
}

func learnerReason(id core.ControlID, catchUp []CatchUp) string {
	reason := "is a learner and has no vote"
	if c, exists := lo.Find(catchUp, func(c CatchUp) bool { return c.ID == id }); exists {
		reason += "; " + c.text()
	}
	return reason
}

func (s *Server) describeMembers(ctx context.Context) *output[Members] {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	current := s.options.Replicator.ConfirmRead(ctx) == nil
	members, nonMembers := s.options.Membership.Members(), s.options.Membership.NonMembers()
	catchUp := append([]CatchUp{}, s.options.Membership.CatchUp()...) // never null in JSON
	voters := lo.CountBy(members, func(m raft.Member) bool { return m.Voter })
	return &output[Members]{
		Body: Members{
			Current:           current,
			Leader:            s.options.Replicator.Status().Leader,
			Members:           members,
			NonMembers:        append([]raft.Peer{}, nonMembers...), // never null in JSON
			ToleratedFailures: max(voters-1, 0) / 2,
			Missing:           missingChanges(members, nonMembers, catchUp),
			CatchUp:           catchUp,
		},
	}
}

// listMembers also works without a leader. An instance that is not a member is refused, because it knows no membership or an old one.
func (s *Server) listMembers(ctx context.Context, _ *struct{}) (*output[Members], error) {
	if err := s.checkAllRights(ctx); err != nil {
		return nil, err
	}
	self := s.options.Replicator.Status().Self
	if !lo.ContainsBy(s.options.Membership.Members(), func(m raft.Member) bool { return m.Peer.ID == self }) {
		s.countError("not-a-member")
		return nil, huma.Error503ServiceUnavailable(fmt.Sprintf("%s is not a member", self))
	}
	return s.describeMembers(ctx), nil
}

func (s *Server) changeMembers(ctx context.Context, input *changeInput) (*output[Members], error) {
	if err := s.checkAllRights(ctx); err != nil {
		return nil, err
	}
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if earlier, err := s.recordRequest(proposeCtx, input); err != nil || earlier != nil {
		return earlier, err
	}
	term := s.options.Replicator.Status().Term
	change := input.change()
	switch err := s.options.Membership.Change(proposeCtx, change); {
	case errors.Is(err, raft.ErrTransient):
		s.countError("membership-busy")
		return nil, huma.Error503ServiceUnavailable(err.Error())
	case errors.Is(err, core.ErrNoLeader) || errors.Is(err, core.ErrOutcomeUnknown):
		return nil, s.unavailable(err)
	case err != nil && !(isInForce(change, s.options.Membership.Members()) && s.isStillLeader(term)):
		s.countError("membership-refused")
		if err := s.recordResult(ctx, input, catalog.Refused, err.Error()); err != nil {
			return nil, err
		}
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	if err := s.recordResult(ctx, input, catalog.Accepted, ""); err != nil {
		return nil, err
	}
	s.options.Log.Info().Str("change", input.Change).Str("id", input.ID).Str("operator", string(input.Body.Operator)).
		Str("token", principalOf(ctx).Token).Msg("membership change accepted")
	return s.describeMembers(ctx), nil
}

// recordRequest records the request in the audit trail before anything is changed. It returns an answer if the submission already
// has a result.
func (s *Server) recordRequest(ctx context.Context, input *changeInput) (*output[Members], error) {
	verdict, err := s.recordMembership(ctx, input, catalog.Requested, "")
	if err != nil {
		return nil, err
	}
	if earlier, exists := s.options.Catalog.MembershipResult(principalOf(ctx), input.Body.Submission); exists && verdict.Result != catalog.Refused {
		if earlier.Result == catalog.Accepted {
			return s.describeMembers(ctx), nil
		}
		verdict = earlier
	}
	if verdict.Result == catalog.Refused {
		return nil, huma.Error422UnprocessableEntity(verdict.Detail)
	}
	return nil, nil
}

// recordResult returns an error if the audit trail may lack the result, so that the client sends the change again.
func (s *Server) recordResult(ctx context.Context, input *changeInput, result catalog.Result, detail string) error {
	if _, err := s.recordMembership(ctx, input, result, detail); err != nil {
		s.countError("membership-not-recorded")
		return huma.Error504GatewayTimeout(fmt.Sprintf("%s of %s was %s, but the audit trail does not have this yet: %v", input.Change, input.ID, result, err))
	}
	return nil
}

func (s *Server) recordMembership(ctx context.Context, input *changeInput, result catalog.Result, detail string) (catalog.Verdict, error) {
	command, err := catalog.EncodeMembershipChange(time.Now(), catalog.MembershipChange{
		ID:       input.Body.Submission,
		Operator: input.Body.Operator,
		Change:   input.Change,
		Instance: core.ControlID(input.ID),
		Identity: string(input.Body.Identity),
		Result:   result,
		Detail:   detail,
	})
	if err == nil {
		command, err = catalog.WithPrincipal(command, s.commandPrincipal(ctx))
	}
	if err != nil {
		s.countError("malformed")
		return catalog.Verdict{}, huma.Error422UnprocessableEntity(err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	answer, err := s.options.Replicator.Propose(ctx, command)
	if err != nil {
		return catalog.Verdict{}, s.unavailable(err)
	}
	verdict, err := catalog.DecodeVerdict(answer)
	if err != nil {
		return catalog.Verdict{}, s.unavailable(err)
	}
	return verdict, nil
}

// checkLeader returns an error unless this instance leads, since only the leader knows whether a learner has caught up.
func (s *Server) checkLeader() error {
	status := s.options.Replicator.Status()
	if status.Leader == status.Self && status.Self != "" {
		return nil
	}
	s.countError("not-leader")
	if status.Leader == "" {
		return huma.Error503ServiceUnavailable(fmt.Sprintf("%s is not the leader, and no leader is known", status.Self))
	}
	return huma.Error503ServiceUnavailable(fmt.Sprintf("%s is not the leader; the leader is %s", status.Self, status.Leader))
}

// isStillLeader reports whether this instance still leads in the given term, so that the membership it reads is that of the leader
// that refused a change.
func (s *Server) isStillLeader(term core.Term) bool {
	status := s.options.Replicator.Status()
	return status.Leader == status.Self && status.Term == term
}

// isInForce reports whether a refused change was made earlier, as when the client did not receive the first answer. A leader refuses a
// change for its content only if its newest membership is committed.
func isInForce(change raft.Change, members []raft.Member) bool {
	member, exists := lo.Find(members, func(m raft.Member) bool { return m.Peer == change.Peer })
	switch change.Kind {
	case raft.ChangeRemove:
		return !exists
	case raft.ChangePromote:
		return exists && member.Voter
	}
	return exists
}

func (s *Server) registerMembers(api huma.API) {
	huma.Register(api, operation("list-members", http.MethodGet, membersPath), s.listMembers)
	huma.Register(api, operation("change-members", http.MethodPost, changePath), s.changeMembers)
}
