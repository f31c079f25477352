package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
	"parsleyport/io/distribution"
	"parsleyport/io/operatorhttp"
	"parsleyport/io/raftpeer"
	"parsleyport/io/settings"
)

func (p *process) newOperators(injector do.Injector) (*operatorhttp.Server, error) {
	source, err := do.Invoke[*distribution.Source](injector)
	if err != nil {
		return nil, errors.Annotate(err, "distribution")
	}
	tokens, err := settings.LoadTokens(p.settings.TokenFile)
	if err != nil {
		return nil, errors.Annotate(err, "token-file")
	}
	records := do.MustInvoke[*catalog.Catalog](injector)
	server, cleanup, err := operatorhttp.New(operatorhttp.Options{
		Listen:     p.settings.OperatorAddress,
		Replicator: do.MustInvoke[*raftpeer.Replica](injector),
		Membership: operatorMembership{
			Replica: do.MustInvoke[*raftpeer.Replica](injector),
			members: p.settings.Members,
			catchUp: p.catchUp,
		},
		Catalog: records,
		Tokens: lo.Map(tokens, func(t settings.Token, _ int) operatorhttp.Token {
			return operatorhttp.Token{
				Principal: catalog.Principal{
					Token:   t.Name,
					Tenants: t.Tenants,
				},
				Secret: t.Secret,
			}
		}),
		Fleet: fleet{
			source:  source,
			catalog: records,
		},
		Log:     p.log,
		Metrics: p.metrics,
		Submissions: operatorhttp.Rate{
			PerSecond: float64(p.settings.Limits.SubmissionsPerSecond),
			Burst:     p.settings.Limits.SubmissionsBurst,
		},
		Queries: operatorhttp.Rate{
			PerSecond: float64(p.settings.Limits.QueriesPerSecond),
			Burst:     p.settings.Limits.QueriesBurst,
		},
		Limits: p.tenantLimits(records),
	})
	if err != nil {
		return nil, err
	}
	p.cleanups = append(p.cleanups, cleanup)
	return server, nil
}

// tenantLimits returns a function that returns the limits for new commands, or nil until catalog.LimitRules are in force: before that,
// a member may run a program that does not know limits and would decide the same command differently.
func (p *process) tenantLimits(records *catalog.Catalog) func() *catalog.Limits {
	limits := &catalog.Limits{
		Submissions:  p.settings.Limits.TenantSubmissions,
		Bytes:        int64(p.settings.Limits.TenantSubmissionBytes),
		Records:      p.settings.Limits.TenantRecords,
		RecordBytes:  int64(p.settings.Limits.TenantRecordBytes),
		DeletedNames: p.settings.Limits.TenantDeletedNames,
	}
	return func() *catalog.Limits {
		if records.Rules() < catalog.LimitRules {
			return nil
		}
		return limits
	}
}

// operatorMembership adds the address and data centre of an instance, from the settings, to membership changes.
type operatorMembership struct {
	*raftpeer.Replica
	members []settings.Member
	catchUp *catchUp
}

// Change implements operatorhttp.Membership.
func (m operatorMembership) Change(ctx context.Context, change raft.Change) error {
	member, exists := lo.Find(m.members, func(member settings.Member) bool { return member.ID == change.Peer.ID })
	if change.Kind == raft.ChangeAdd && !exists {
		return errors.NotFoundf("instance %q in the settings of %q", change.Peer.ID, m.Self().ID)
	}
	if change.Kind == raft.ChangePromote && !m.isVoter(change.Peer) {
		if err := m.catchUp.checkPromotion(time.Now(), change.Peer, m.Status().Commit); err != nil {
			return err
		}
	}
	change.Address, change.DataCentre = member.PeerAddress, member.DataCentre
	return m.Replica.Change(ctx, change)
}

// isVoter reports whether a peer has a vote already, as when its promotion is requested again.
func (m operatorMembership) isVoter(peer raft.Peer) bool {
	return lo.ContainsBy(m.Members(), func(member raft.Member) bool { return member.Voter && member.Peer == peer })
}

// fleet gives the operators' API a view of the attached nodes.
type fleet struct {
	source  *distribution.Source
	catalog *catalog.Catalog
}

// Endpoints implements operatorhttp.FleetView.
func (f fleet) Endpoints(service core.ServiceName) []core.Endpoint {
	return f.source.Endpoints(service)
}

// Nodes implements operatorhttp.FleetView.
func (f fleet) Nodes() []operatorhttp.NodeStatus {
	now := time.Now().UTC()
	return lo.Map(f.source.Nodes(), func(report distribution.NodeReport, _ int) operatorhttp.NodeStatus {
		return operatorhttp.NodeStatus{
			Node:       report.Node,
			DataCentre: report.DataCentre,
			Revision:   report.Revision,
			Schema:     report.Schema,
			LastReport: now.Add(-time.Duration(report.AgeMS) * time.Millisecond),
		}
	})
}

// Fleet implements operatorhttp.FleetView.
func (f fleet) Fleet() operatorhttp.FleetStatus {
	state := f.source.Fleet()
	status := operatorhttp.FleetStatus{
		LowestInForce: state.Lowest,
		Nodes:         state.Nodes,
		Endpoints:     make(map[core.ServiceName]int),
		SchemaFloor:   state.Schema,
	}
	for _, service := range f.catalog.Current().Services() {
		status.Endpoints[service] = len(f.source.Endpoints(service))
	}
	return status
}
