package record

import (
	"encoding/binary"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"parsleyport/core"
)

// Errors of a configuration.
const (
	// ErrDangling means that a record refers to a record that is not in the configuration.
	ErrDangling = errors.ConstError("dangling reference")
	// ErrWrongBase means that a delta starts from a configuration other than the current one.
	ErrWrongBase = errors.ConstError("delta starts from another configuration")
	// ErrHashMismatch means that a received configuration, or one built from a delta, lacks the hash that its sender stated.
	ErrHashMismatch = errors.ConstError("hash mismatch")
	// ErrOlder means that a configuration is not newer than the current one.
	ErrOlder = errors.ConstError("configuration is older than the one in force")
)

// Configuration is an immutable set of records and overrides whose references have been checked. Successive configurations share
// what did not change.
type Configuration struct {
	revision  core.Revision
	hash      core.Hash
	entries   []*entry // sorted by key
	overrides map[core.ServiceName]core.Override
	services  map[core.ServiceName]core.ServiceBody
	upstreams map[core.UpstreamName]core.UpstreamBody
	policies  map[core.ServiceName]core.PolicyBody
	routes    routeTable
	tenants   tenantTable

	declaration core.DeclarationBody
}

// Full is the encoded form of a whole configuration; records and overrides are sorted.
type Full struct {
	Revision  core.Revision   `msgpack:"revision"`
	Hash      core.Hash       `msgpack:"hash"`
	Records   []core.Record   `msgpack:"records"`
	Overrides []core.Override `msgpack:"overrides"`
}

// Delta is the encoded difference between a configuration and a later one.
type Delta struct {
	FromRevision    core.Revision      `msgpack:"from-revision"`
	FromHash        core.Hash          `msgpack:"from-hash"`
	ToRevision      core.Revision      `msgpack:"to-revision"`
	ToHash          core.Hash          `msgpack:"to-hash"`
	Upserts         []core.Record      `msgpack:"upserts"`
	Deletes         []core.RecordKey   `msgpack:"deletes"`
	Overrides       []core.Override    `msgpack:"overrides"`
	DeleteOverrides []core.ServiceName `msgpack:"delete-overrides"`
}

// Empty returns the configuration with revision 0 and no records.
func Empty() *Configuration {
	configuration, err := New(0, nil, nil)
	if err != nil {
		panic(err) // unreachable: an empty set has no references to check
	}
	return configuration
}

// New builds a configuration from all records. It returns ErrDangling or a decoding error, and never a partial configuration.
// Records in schema versions that this program does not know are stored but not used.
func New(revision core.Revision, records []core.Record, overrides []core.Override) (*Configuration, error) {
	return build(&Configuration{}, revision, records, nil, overridesByService(overrides))
}

// Change returns the configuration of the next revision, with some records replaced, added or deleted and with the given overrides.
// It returns the errors of New.
func (c *Configuration) Change(upserts []core.Record, deletes []core.RecordKey, overrides []core.Override) (*Configuration, error) {
	return build(c, c.revision+1, upserts, deletes, overridesByService(overrides))
}

func overridesByService(overrides []core.Override) map[core.ServiceName]core.Override {
	byService := make(map[core.ServiceName]core.Override, len(overrides))
	for _, o := range overrides {
		byService[o.Service] = o
	}
	return byService
}

// FromFull builds a configuration and compares its hash with the stated one. It returns ErrHashMismatch or the errors of New.
func FromFull(full Full) (*Configuration, error) {
	configuration, err := New(full.Revision, full.Records, full.Overrides)
	if err != nil {
		return nil, err
	}
	if configuration.hash != full.Hash {
		return nil, errors.Annotatef(ErrHashMismatch, "revision %d", full.Revision)
	}
	return configuration, nil
}

// build applies the changes to the records of the previous configuration.
func build(previous *Configuration, revision core.Revision, upserts []core.Record, deletes []core.RecordKey, overrides map[core.ServiceName]core.Override) (*Configuration, error) {
	entries, changed := patchEntries(previous.entries, upserts, deletes)
	c := &Configuration{
		revision:    revision,
		entries:     entries,
		overrides:   overrides,
		services:    previous.services,
		upstreams:   previous.upstreams,
		policies:    previous.policies,
		routes:      previous.routes,
		tenants:     previous.tenants,
		declaration: previous.declaration,
	}
	if err := c.indexEntries(changed); err != nil {
		return nil, err
	}
	c.routes = previous.routes.patch(changedBodies[Route](core.KindRoute, previous.entries, entries, changed))
	tenants, err := previous.tenants.patch(changedBodies[tenant](core.KindTenant, previous.entries, entries, changed))
	if err != nil {
		return nil, err
	}
	c.tenants = tenants
	if err := c.checkReferences(); err != nil {
		return nil, err
	}
	c.hash = c.computeHash()
	return c, nil
}

// checkReferences checks the names in sorted order, so that all replicas report the same error if there are several.
func (c *Configuration) checkReferences() error {
	for _, name := range sortedKeys(c.upstreams) {
		upstream := c.upstreams[name]
		if _, exists := c.services[upstream.Service]; !exists {
			return errors.Annotatef(ErrDangling, "upstream %q refers to service %q", name, upstream.Service)
		}
	}
	if err := c.checkRouteTargets(); err != nil {
		return err
	}
	for _, service := range sortedKeys(c.policies) {
		if _, exists := c.services[service]; !exists {
			return errors.Annotatef(ErrDangling, "policy refers to service %q", service)
		}
		if err := c.checkWeightTargets(service, c.policies[service].Weights); err != nil {
			return err
		}
	}
	for _, service := range sortedKeys(c.overrides) {
		if err := c.checkWeightTargets(service, c.overrides[service].Weights); err != nil {
			return err
		}
	}
	return nil
}

// checkRouteTargets reports the error of the first route in the order of routeLess.
func (c *Configuration) checkRouteTargets() error {
	var first *Route
	for _, route := range c.routes.sorted {
		if c.routeTargetError(route) != nil && (first == nil || routeLess(route, first)) {
			first = route
		}
	}
	if first == nil {
		return nil
	}
	return c.routeTargetError(first)
}

func (c *Configuration) routeTargetError(route *Route) error {
	if len(route.Split) == 0 {
		return c.serviceTargetError(route, route.Service)
	}
	for _, service := range route.Services() {
		if err := c.serviceTargetError(route, service); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) serviceTargetError(route *Route, service core.ServiceName) error {
	body, exists := c.services[service]
	if !exists {
		return errors.Annotatef(ErrDangling, "route %q refers to service %q", route.Name, service)
	}
	if _, exists := c.policies[service]; !exists && !body.AnyRelease {
		return errors.Annotatef(ErrDangling, "route %q needs a policy for service %q", route.Name, service)
	}
	return nil
}

func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (c *Configuration) checkWeightTargets(service core.ServiceName, weights []core.Weight) error {
	for _, weight := range weights {
		upstream, exists := c.UpstreamOf(service, weight.Upstream)
		if !exists {
			return errors.Annotatef(ErrDangling, "weights of service %q refer to upstream %q", service, weight.Upstream)
		}
		if upstream.Service != service {
			return errors.Errorf("weights of service %q refer to upstream %q of service %q", service, weight.Upstream, upstream.Service)
		}
	}
	return nil
}

// Revision returns the revision of the configuration.
func (c *Configuration) Revision() core.Revision { return c.revision }

// Hash returns the hash of the revision, the records and the overrides.
func (c *Configuration) Hash() core.Hash { return c.hash }

// Record returns the record that is stored under a key.
func (c *Configuration) Record(key core.RecordKey) (core.Record, bool) {
	at, exists := findEntry(c.entries, key)
	if !exists {
		return core.Record{}, false
	}
	return c.entries[at].record, true
}

// RecordsNamed returns the records of all schema versions with a kind and name.
func (c *Configuration) RecordsNamed(kind core.Kind, name string) []core.Record {
	at, _ := findEntry(c.entries, core.RecordKey{
		Kind: kind,
		Name: name,
	})
	var records []core.Record
	for ; at < len(c.entries) && c.entries[at].record.Kind == kind && c.entries[at].record.Name == name; at++ {
		records = append(records, c.entries[at].record)
	}
	return records
}

// Service returns the body of a service record.
func (c *Configuration) Service(name core.ServiceName) (core.ServiceBody, bool) {
	body, exists := c.services[name]
	return body, exists
}

// Upstream returns the body of an upstream record.
func (c *Configuration) Upstream(name core.UpstreamName) (core.UpstreamBody, bool) {
	body, exists := c.upstreams[name]
	return body, exists
}

// UpstreamOf returns the upstream that the weights or moves of a service name. A service with any release has no upstream
// records: each of its upstreams has the name of its release.
func (c *Configuration) UpstreamOf(service core.ServiceName, name core.UpstreamName) (core.UpstreamBody, bool) {
	if c.services[service].AnyRelease {
		return core.UpstreamBody{
			Service: service,
			Release: core.Release(name),
		}, name != ""
	}
	return c.Upstream(name)
}

// Declaration returns the body of the declaration record, or an empty one if there is none.
func (c *Configuration) Declaration() core.DeclarationBody { return c.declaration }

// Policy returns the policy of a service, with defaults filled in.
func (c *Configuration) Policy(service core.ServiceName) (core.PolicyBody, bool) {
	body, exists := c.policies[service]
	if body.MaxAttempts == 0 {
		body.MaxAttempts = defaultMaxAttempts
	}
	return body, exists
}

// Weights returns the weights in force for a service: those of an override if there is one, else those of its policy.
func (c *Configuration) Weights(service core.ServiceName) []core.Weight {
	if override, exists := c.overrides[service]; exists {
		return override.Weights
	}
	if c.services[service].AnyRelease {
		return anyReleaseWeights
	}
	return c.policies[service].Weights
}

// MoveTarget returns the upstream to which an open move shifts a service's traffic; it is false if no move is open.
func (c *Configuration) MoveTarget(service core.ServiceName) (core.UpstreamName, bool) {
	override, exists := c.overrides[service]
	return override.To, exists && override.Open
}

// anyReleaseWeights are the weights of a service with any release that has no override.
var anyReleaseWeights = []core.Weight{{
	Upstream: core.UpstreamName(core.OtherReleases),
	PerMille: core.FullShare,
}}

// Services returns the names of all services, sorted.
func (c *Configuration) Services() []core.ServiceName {
	names := make([]core.ServiceName, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Records returns all records, sorted by kind, name and schema version.
func (c *Configuration) Records() []core.Record {
	records := make([]core.Record, 0, len(c.entries))
	for _, e := range c.entries {
		records = append(records, e.record)
	}
	return records
}

// Overrides returns all overrides, sorted by service.
func (c *Configuration) Overrides() []core.Override {
	overrides := make([]core.Override, 0, len(c.overrides))
	for _, o := range c.overrides {
		overrides = append(overrides, o)
	}
	sort.Slice(overrides, func(i, j int) bool { return overrides[i].Service < overrides[j].Service })
	return overrides
}

// Full returns the encoded form of the configuration.
func (c *Configuration) Full() Full {
	return Full{
		Revision:  c.revision,
		Hash:      c.hash,
		Records:   c.Records(),
		Overrides: c.Overrides(),
	}
}

func (c *Configuration) computeHash() core.Hash {
	digest := xxhash.New()
	writeUint64(digest, uint64(c.revision))
	for _, e := range c.entries {
		r := &e.record
		writeString(digest, string(r.Kind))
		writeString(digest, r.Name)
		writeUint64(digest, uint64(r.SchemaVersion))
		writeUint64(digest, uint64(r.Version))
		writeUint64(digest, uint64(len(r.Body)))
		_, _ = digest.Write(r.Body)
		writeUint64(digest, uint64(r.SinceMS))
	}
	for _, o := range c.Overrides() {
		writeString(digest, string(o.Service))
		writeString(digest, string(o.Move))
		writeString(digest, string(o.From))
		writeString(digest, string(o.To))
		writeString(digest, strconv.FormatBool(o.Open))
		for _, weight := range o.Weights {
			writeString(digest, string(weight.Upstream))
			writeUint64(digest, uint64(weight.PerMille))
		}
	}
	return core.Hash(digest.Sum64())
}

func writeUint64(digest *xxhash.Digest, number uint64) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], number)
	_, _ = digest.Write(encoded[:]) // writing to a Digest never fails
}

func writeString(digest *xxhash.Digest, text string) {
	writeUint64(digest, uint64(len(text)))
	_, _ = digest.WriteString(text)
}
