package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/operatorhttp"
)

func (p *program) members(ctx context.Context, o options, client *operatorhttp.Client) int {
	members, err := request(ctx, o, client.Members)
	if err != nil {
		return p.failRequest(err)
	}
	p.printMembers(o, members)
	return StatusOK
}

// changeMembers requests a change of the identity in the current member list. Neither a resend nor another loss of the disk in the
// meantime, which gives the instance a new identity, can then change anything else.
func (p *program) changeMembers(ctx context.Context, o options, client *operatorhttp.Client, kind raft.ChangeKind) int {
	members, err := request(ctx, o, client.Members)
	if err != nil {
		return p.failRequest(err)
	}
	peer, err := findPeer(members, kind, o.memberID)
	if err != nil {
		return p.fail(StatusRefused, err)
	}
	members, err = request(ctx, o, func(ctx context.Context) (operatorhttp.Members, error) {
		return client.ChangeMembers(ctx, operatorhttp.MemberChange{
			ID:       o.submissionID,
			Operator: o.operator,
			Kind:     kind,
			Peer:     peer,
		})
	})
	if err != nil {
		return p.failRequest(err)
	}
	p.printMembers(o, members)
	return StatusOK
}

func findPeer(members operatorhttp.Members, kind raft.ChangeKind, id core.ControlID) (raft.Peer, error) {
	if kind == raft.ChangePromote || kind == raft.ChangeRemove {
		member, exists := lo.Find(members.Members, func(m raft.Member) bool { return m.Peer.ID == id })
		if !exists {
			return raft.Peer{}, errors.Errorf("%s %s: it is not a member", kind, id)
		}
		return member.Peer, nil
	}
	peer, exists := lo.Find(members.NonMembers, func(p raft.Peer) bool { return p.ID == id })
	if !exists {
		return raft.Peer{}, errors.Errorf("%s %s: no instance of that name has introduced itself without being a member", kind, id)
	}
	return peer, nil
}

func (p *program) printMembers(o options, members operatorhttp.Members) {
	if o.json {
		p.printJSON(members)
		return
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tROLE\tDATA CENTRE\tADDRESS\tIDENTITY")
	for _, m := range members.Members {
		role := lo.Ternary(m.Voter, "voter", "learner")
		if m.Peer.ID == members.Leader {
			role += ", leader"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", m.Peer.ID, role, m.DataCentre, m.Address, m.Peer.Identity)
	}
	for _, peer := range members.NonMembers {
		fmt.Fprintf(table, "%s\tnot a member\t\t\t%s\n", peer.ID, peer.Identity)
	}
	_ = table.Flush() // a failure to write to standard output cannot be reported
	if !members.Current {
		fmt.Fprintln(p.stdout, "not current: no leader has confirmed this list")
	}
	fmt.Fprintf(p.stdout, "tolerated failures: %d\n", members.ToleratedFailures)
	for _, m := range members.Missing {
		fmt.Fprintf(p.stdout, "missing: %s %s; run: parsleyport members %s %s\n", m.ID, m.Reason, m.Change, m.ID)
	}
}
