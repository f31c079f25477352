package catalog

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
)

// MembershipChange is a command that records a change of the control instances in the audit trail. The change itself is made in
// the replicated log, not in this state: an entry with the result Requested precedes it, and one with the result Accepted or
// Refused follows it. A request without a result means that no instance could record the outcome.
type MembershipChange struct {
	ID       core.SubmissionID `msgpack:"submission-id"`
	Operator core.Operator     `msgpack:"operator"`
	Change   string            `msgpack:"change"`
	Instance core.ControlID    `msgpack:"instance"`
	Identity string            `msgpack:"identity"`
	Result   Result            `msgpack:"result"`
	Detail   string            `msgpack:"detail,omitempty"`
}

// membershipResultScope separates the result of a membership change from its request, which has the same submission id.
const membershipResultScope = "members-result\x00"

// EncodeMembershipChange encodes a command that records a membership change. It returns ErrMalformed.
func EncodeMembershipChange(at time.Time, change MembershipChange) ([]byte, error) {
	if err := checkSubmitter(change.ID, change.Operator); err != nil {
		return nil, err
	}
	if err := checkNames(change.Change, string(change.Instance), change.Identity); err != nil {
		return nil, err
	}
	if len(change.Detail) > maxTextBytes {
		return nil, errors.Annotatef(ErrMalformed, "detail of a membership change has more than %d bytes", maxTextBytes)
	}
	return encode(ActionMembers, at, 0, change)
}

// MembershipResult returns the recorded result of a membership change.
func (c *Catalog) MembershipResult(principal Principal, id core.SubmissionID) (Verdict, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	earlier, exists := c.verdicts.byID[submissionKey{scope: membershipResultScope + principal.Scope(), id: id}]
	return earlier.Verdict, exists
}

func (c *Catalog) recordMembership(e envelope, change MembershipChange) Verdict {
	if e.principal().IsLimited() {
		return *notPermitted("membership changes need a token with all rights")
	}
	return Verdict{
		Result: change.Result,
		Detail: change.Detail,
	}
}

func (change MembershipChange) summary() commandSummary {
	return commandSummary{
		id:       change.ID,
		operator: change.Operator,
		changes:  []string{fmt.Sprintf("%s member %s identity %s", change.Change, change.Instance, change.Identity)},
		owners:   []core.TenantID{""},
	}
}

func scopeOf(principal Principal, body any) string {
	if change, isMembership := body.(MembershipChange); isMembership && change.Result != Requested {
		return membershipResultScope + principal.Scope()
	}
	return principal.Scope()
}
