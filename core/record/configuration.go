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

// Configuration is an immutable set of records and overrides whose references have been checked.
type Configuration struct {
	revision      core.Revision
	hash          core.Hash
	records       map[core.RecordKey]core.Record
	sorted        []core.Record
	decodedBodies map[core.RecordKey]any // bodies of the indexed records
	overrides     map[core.ServiceName]core.Override
	services      map[core.ServiceName]core.ServiceBody
	upstreams     map[core.UpstreamName]core.UpstreamBody
	policies      map[core.ServiceName]core.PolicyBody
	routes        []Route // longest path prefix first
	routeIndex    routeIndex

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
	configuration, err := build(nil, 0, nil, nil)
	if err != nil {
		panic(err) // unreachable: an empty set has no references to check
	}
	return configuration
}

// New builds a configuration from all records. It returns ErrDangling or a decoding error, and never a partial configuration.
// Records in schema versions that this program does not know are stored but not used.
func New(revision core.Revision, records []core.Record, overrides []core.Override) (*Configuration, error) {
	return newFromPrevious(nil, revision, records, overrides)
}

// Next builds the configuration of the next revision. It reuses the decoded bodies of the records that c shares with it, and
// returns the errors of New.
func (c *Configuration) Next(records []core.Record, overrides []core.Override) (*Configuration, error) {
	return newFromPrevious(c, c.revision+1, records, overrides)
}

func newFromPrevious(previous *Configuration, revision core.Revision, records []core.Record, overrides []core.Override) (*Configuration, error) {
	byKey := make(map[core.RecordKey]core.Record, len(records))
	for _, r := range records {
		byKey[r.Key()] = r
	}
	byService := make(map[core.ServiceName]core.Override, len(overrides))
	for _, o := range overrides {
		byService[o.Service] = o
	}
	return build(previous, revision, byKey, byService)
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

func build(previous *Configuration, revision core.Revision, records map[core.RecordKey]core.Record, overrides map[core.ServiceName]core.Override) (*Configuration, error) {
	c := &Configuration{
		revision:      revision,
		records:       records,
		overrides:     overrides,
		services:      make(map[core.ServiceName]core.ServiceBody),
		upstreams:     make(map[core.UpstreamName]core.UpstreamBody),
		policies:      make(map[core.ServiceName]core.PolicyBody),
		decodedBodies: make(map[core.RecordKey]any, len(records)),
	}
	c.sorted = sortedRecords(records, previous)
	for _, r := range newestSupported(c.sorted) {
		if err := c.indexRecord(r, previous); err != nil {
			return nil, errors.Annotatef(err, "%s record %q", r.Kind, r.Name)
		}
	}
	if err := c.checkReferences(); err != nil {
		return nil, err
	}
	sort.Slice(c.routes, func(i, j int) bool { return routeLess(c.routes[i], c.routes[j]) })
	c.routeIndex = newRouteIndex(c.routes)
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
	for _, route := range c.routes {
		for _, service := range route.Services() {
			body, exists := c.services[service]
			if !exists {
				return errors.Annotatef(ErrDangling, "route %q refers to service %q", route.Name, service)
			}
			if _, exists := c.policies[service]; !exists && !body.AnyRelease {
				return errors.Annotatef(ErrDangling, "route %q needs a policy for service %q", route.Name, service)
			}
		}
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
	r, exists := c.records[key]
	return r, exists
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
	return slices.Clone(c.sorted)
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

func keyLess(a, b core.RecordKey) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	if a.Name != b.Name {
		return a.Name < b.Name
	}
	return a.SchemaVersion < b.SchemaVersion
}

func (c *Configuration) computeHash() core.Hash {
	digest := xxhash.New()
	writeUint64(digest, uint64(c.revision))
	for _, r := range c.sorted {
		writeString(digest, string(r.Kind))
		writeString(digest, r.Name)
		writeUint64(digest, uint64(r.SchemaVersion))
		writeUint64(digest, uint64(r.Version))
		writeString(digest, string(r.Body))
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
