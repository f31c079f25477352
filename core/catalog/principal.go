package catalog

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/record"
)

// Principal is the operators' token that authenticated a command or a query, without its secret.
type Principal struct {
	Token   string          // name of the token, empty if operators need none
	Tenants []core.TenantID // the tenants to which the token is limited; empty for all rights
	Limits  *Limits         // limits for its commands, or nil
}

// IsLimited reports whether the principal has rights for some tenants only.
func (p Principal) IsLimited() bool {
	return len(p.Tenants) > 0
}

// CanAccess reports whether the principal may read and change what belongs to a tenant. An empty tenant stands for the whole
// deployment.
func (p Principal) CanAccess(tenant core.TenantID) bool {
	return !p.IsLimited() || (tenant != "" && slices.Contains(p.Tenants, tenant))
}

// Scope returns a key for the set of tenants to which the principal is limited. Each scope has its own submission ids, so that
// no tenant learns of the ids of another or uses them up.
func (p Principal) Scope() string {
	names := make([]string, 0, len(p.Tenants))
	for _, tenant := range p.Tenants {
		names = append(names, string(tenant))
	}
	slices.Sort(names)
	return strings.Join(names, "\x00")
}

// WithPrincipal adds the principal to an encoded command. The state machine checks its rights when it applies the command, since
// the owner of a record may change before. It returns ErrMalformed for a command that cannot be decoded or becomes too long.
func WithPrincipal(command []byte, principal Principal) ([]byte, error) {
	var e envelope
	if err := decode(command, &e); err != nil {
		return nil, errors.WithType(err, ErrMalformed)
	}
	e.Token, e.Tenants, e.Limits = principal.Token, principal.Tenants, principal.Limits
	encoded, err := msgpack.Marshal(e)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(encoded) > MaxCommandBytes {
		return nil, errors.Annotatef(ErrMalformed, "%d bytes, at most %d are allowed", len(encoded), MaxCommandBytes)
	}
	return encoded, nil
}

func (e envelope) principal() Principal {
	return Principal{
		Token:   e.Token,
		Tenants: e.Tenants,
		Limits:  e.Limits,
	}
}

// ownerLookup finds the tenants of records in a configuration, and in a submission for services that the configuration lacks.
type ownerLookup struct {
	configuration *record.Configuration
	submitted     map[core.ServiceName]core.TenantID
}

func newOwnerLookup(configuration *record.Configuration, records []core.Record) ownerLookup {
	o := ownerLookup{
		configuration: configuration,
		submitted:     make(map[core.ServiceName]core.TenantID),
	}
	for _, r := range records {
		if r.Kind == core.KindService {
			o.submitted[core.ServiceName(r.Name)] = decodeOwnership(r).Tenant
		}
	}
	return o
}

// ownership holds the fields of a body that determine its owner; all schema versions have them.
type ownership struct {
	Tenant  core.TenantID    `json:"tenant"`
	Service core.ServiceName `json:"service"`
}

// decodeOwnership uses the first service of a route that splits calls among several: a limited token may only use services of
// its tenants.
func decodeOwnership(r core.Record) ownership {
	var body struct {
		ownership
		Split []core.ServiceShare `json:"split"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return ownership{} // belongs to no tenant
	}
	if len(body.Split) > 0 && body.Service == "" {
		body.Service = body.Split[0].Service
	}
	return body.ownership
}

// tenantOfService returns the tenant that a service record names, or none if there is no such service.
func (o ownerLookup) tenantOfService(name core.ServiceName) core.TenantID {
	if body, exists := o.configuration.Service(name); exists {
		return body.Tenant
	}
	return o.submitted[name]
}

// tenantOfRecord returns the tenant of a record, which is that of the service to which the record refers.
func (o ownerLookup) tenantOfRecord(r core.Record) core.TenantID {
	return o.tenantOfBody(r, decodeOwnership(r))
}

func (o ownerLookup) tenantOfBody(r core.Record, body ownership) core.TenantID {
	if r.Kind == core.KindService {
		return body.Tenant
	}
	return o.tenantOfService(body.Service)
}

// recordInForce returns the record of a kind and name with the highest schema version in force.
func (o ownerLookup) recordInForce(kind core.Kind, name string) (core.Record, bool) {
	for version := record.NewestSchema; version > 0; version-- {
		if r, exists := o.configuration.Record(core.RecordKey{Kind: kind, Name: name, SchemaVersion: version}); exists {
			return r, true
		}
	}
	return core.Record{}, false
}

// tenantBefore returns the tenant of a record as of before the submission, or that of the submitted record if it is new.
func (o ownerLookup) tenantBefore(kind core.Kind, name string, submitted *core.Record) core.TenantID {
	if current, exists := o.recordInForce(kind, name); exists {
		return o.tenantOfRecord(current)
	}
	if submitted != nil {
		return o.tenantOfRecord(*submitted)
	}
	return ""
}

// Records returns the records of a configuration that a principal may read.
func Records(configuration *record.Configuration, principal Principal) []core.Record {
	o := newOwnerLookup(configuration, nil)
	return slices.DeleteFunc(configuration.Records(), func(r core.Record) bool { return !principal.CanAccess(o.tenantOfRecord(r)) })
}

// ServiceOf returns the service to which a record belongs; a service record belongs to itself.
func ServiceOf(r core.Record) core.ServiceName {
	if r.Kind == core.KindService {
		return core.ServiceName(r.Name)
	}
	return decodeOwnership(r).Service
}

// ServiceTenant returns the tenant to which a service belongs, or none if there is no such service.
func ServiceTenant(configuration *record.Configuration, service core.ServiceName) core.TenantID {
	return newOwnerLookup(configuration, nil).tenantOfService(service)
}

// checkPermissions refuses a submission of a limited principal that changes or refers to what belongs to another tenant. The
// refusal names nothing that the submission does not name.
func (c *Catalog) checkPermissions(principal Principal, s core.Submission) *Verdict {
	if !principal.IsLimited() {
		return nil
	}
	o := newOwnerLookup(c.configuration, s.Records)
	for _, r := range s.Records {
		if !c.mayChange(principal, o, r) {
			return notPermitted("%s: the name, or the service that the record names, does not belong to a tenant of this token", describe(r.Key(), r.Version))
		}
		if r.Kind == core.KindRoute && o.routesToOtherTenants(principal, r) {
			return notPermitted("%s: it leads to a service that does not belong to a tenant of this token", describe(r.Key(), r.Version))
		}
		if r.Kind == core.KindRoute && c.overlapsOtherTenants(principal, o, r) {
			return notPermitted("%s: it matches calls that a route of another tenant matches too", describe(r.Key(), r.Version))
		}
		if r.Kind == core.KindPolicy && !o.weightsOwnUpstreams(s.Records, r) {
			return notPermitted("%s: its weights name an upstream that its service does not have", describe(r.Key(), r.Version))
		}
	}
	for _, d := range s.Deletes {
		current, exists := o.recordInForce(d.Kind, d.Name)
		if (exists && !principal.CanAccess(o.tenantOfRecord(current))) || (!exists && !principal.CanAccess(c.lastChanges[deletionKey(d)].Owner)) {
			return notPermitted("%s: there is no such record of a tenant of this token", describe(deletionKey(d), d.Version))
		}
	}
	return nil
}

// mayChange checks the owner before and after the change. The name of a deleted record stays with its last owner, so that no
// other tenant gets the calls that still refer to it.
func (c *Catalog) mayChange(principal Principal, o ownerLookup, r core.Record) bool {
	if current, exists := o.recordInForce(r.Kind, r.Name); exists {
		return principal.CanAccess(o.tenantOfRecord(current)) && principal.CanAccess(o.tenantOfRecord(r))
	}
	for version := core.SchemaVersion(1); version <= record.NewestSchema; version++ {
		if last, deleted := c.lastChanges[core.RecordKey{Kind: r.Kind, Name: r.Name, SchemaVersion: version}]; deleted && !principal.CanAccess(last.Owner) {
			return false
		}
	}
	return principal.CanAccess(o.tenantOfRecord(r))
}

// overlapsOtherTenants reports whether a route matches calls that a route of another tenant matches too. A route that does not
// get these calls now counts as well, because it would get them as soon as the other route changes. A route that keeps what it
// matches may change in other ways: an unlimited principal has allowed the overlap.
func (c *Catalog) overlapsOtherTenants(principal Principal, o ownerLookup, r core.Record) bool {
	var body core.RouteBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return true
	}
	if current, exists := o.recordInForce(core.KindRoute, r.Name); exists {
		var before core.RouteBody
		if err := json.Unmarshal(current.Body, &before); err == nil && sameMatch(before, body) {
			return false
		}
	}
	return slices.ContainsFunc(c.configuration.Overlapping(core.RouteName(r.Name), body), func(other record.Route) bool {
		return slices.ContainsFunc(other.Services(), func(service core.ServiceName) bool { return !principal.CanAccess(o.tenantOfService(service)) })
	})
}

// routesToOtherTenants reports whether one of the services that a route leads to belongs to another tenant.
func (o ownerLookup) routesToOtherTenants(principal Principal, r core.Record) bool {
	var body core.RouteBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return true
	}
	return slices.ContainsFunc(body.Services(), func(service core.ServiceName) bool { return !principal.CanAccess(o.tenantOfService(service)) })
}

func sameMatch(a, b core.RouteBody) bool {
	return a.PathPrefix == b.PathPrefix && a.Host == b.Host && slices.Equal(a.Methods, b.Methods)
}

// weightsOwnUpstreams reports whether each upstream in the weights of a policy belongs to the policy's service.
func (o ownerLookup) weightsOwnUpstreams(records []core.Record, policy core.Record) bool {
	var body core.PolicyBody
	if err := json.Unmarshal(policy.Body, &body); err != nil {
		return false
	}
	return !slices.ContainsFunc(body.Weights, func(w core.Weight) bool {
		index := slices.IndexFunc(records, func(r core.Record) bool { return r.Kind == core.KindUpstream && r.Name == string(w.Upstream) })
		if index >= 0 {
			return decodeOwnership(records[index]).Service != body.Service
		}
		upstream, exists := o.configuration.Upstream(w.Upstream)
		return !exists || upstream.Service != body.Service
	})
}

func notPermitted(format string, args ...any) *Verdict {
	refusal := refused(CauseNotPermitted, format, args...)
	return &refusal
}
