package record

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"

	"parsleyport/core"
)

// MaxTenants is the highest number of tenants of a configuration.
const MaxTenants = 4096

// redactedKey stands for an API key in a redacted body. It holds a space, so that it is no valid key if the body is submitted again.
const redactedKey = "redacted key"

func checkTenant(body []byte) error {
	var tenant core.TenantBody
	if err := decodeStrict(body, &tenant); err != nil {
		return err
	}
	return CheckTenant(tenant)
}

// CheckTenant checks the body of a tenant record. Its error names the field and no API key.
func CheckTenant(tenant core.TenantBody) error {
	if tenant.ID != "" && !isVisibleASCII(string(tenant.ID), maxTenantIDBytes) {
		return fieldErrorf("id", "id has %d bytes, expected 1 to %d visible ASCII characters", len(tenant.ID), maxTenantIDBytes)
	}
	if len(tenant.APIKeys) > maxTenantKeys {
		return fieldErrorf("api-keys", "api-keys has %d entries, at most %d are allowed", len(tenant.APIKeys), maxTenantKeys)
	}
	for i, key := range tenant.APIKeys {
		if !isVisibleASCII(key, maxKeyBytes) {
			return fieldErrorf(fmt.Sprintf("api-keys/%d", i), "api-keys[%d] has %d bytes, expected 1 to %d visible ASCII characters", i, len(key), maxKeyBytes)
		}
	}
	if tenant.RatePerS < 0 || tenant.RatePerS > maxRate {
		return fieldErrorf("rate-per-s", "rate-per-s is %d, expected 0 (for no limit) to %d", tenant.RatePerS, maxRate)
	}
	if tenant.Burst < 0 || tenant.Burst > maxRate {
		return fieldErrorf("burst", "burst is %d, expected 0 to %d", tenant.Burst, maxRate)
	}
	if tenant.Priority != nil && *tenant.Priority > maxPriority {
		return fieldErrorf("priority", "priority is %d, expected 0 to %d", *tenant.Priority, maxPriority)
	}
	return nil
}

// FieldError is the error of a field of a record's body. Pointer is the field's JSON pointer within the body, without the first slash.
type FieldError struct {
	Pointer string
	text    string
}

// Error implements error.
func (e *FieldError) Error() string { return e.text }

func fieldErrorf(pointer, format string, args ...any) error {
	return &FieldError{
		Pointer: pointer,
		text:    fmt.Sprintf(format, args...),
	}
}

func isVisibleASCII(text string, maxBytes int) bool {
	return text != "" && len(text) <= maxBytes && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}

// keyDigest is the SHA-256 digest of an API key. Keys are compared by their digests, so that the time of a lookup tells nothing about
// the keys.
type keyDigest [sha256.Size]byte

// tenant is a tenant record in use. Its body has the id filled in and no API keys, since only their digests are needed.
type tenant struct {
	body core.TenantBody
	keys []tenantKey
}

type tenantKey struct {
	digest keyDigest
	tenant *tenant
}

func newTenant(name string, body core.TenantBody) *tenant {
	t := &tenant{
		body: body,
		keys: make([]tenantKey, 0, len(body.APIKeys)),
	}
	t.body.ID = cmp.Or(body.ID, core.TenantID(name))
	t.body.APIKeys = nil
	for _, key := range body.APIKeys {
		t.keys = append(t.keys, tenantKey{
			digest: sha256.Sum256([]byte(key)),
			tenant: t,
		})
	}
	return t
}

func compareTenants(a, b *tenant) int { return cmp.Compare(a.body.ID, b.body.ID) }

func compareTenantKeys(a, b *tenantKey) int {
	return cmp.Or(bytes.Compare(a.digest[:], b.digest[:]), compareTenants(a.tenant, b.tenant))
}

// tenantTable finds tenants by id and by API key. Its lists are sorted, so that a change of one tenant copies 8 bytes for each tenant
// and key and makes no entry anew.
type tenantTable struct {
	byID  []*tenant
	byKey []*tenantKey
}

// patch returns the table without some tenants and with others; the receiver is unchanged. It fails if there are too many tenants, or
// if two have the same id or share a key.
func (t tenantTable) patch(removed map[*tenant]bool, added []*tenant) (tenantTable, error) {
	if len(removed) == 0 && len(added) == 0 {
		return t, nil
	}
	removedKeys := make(map[*tenantKey]bool)
	for each := range removed {
		for i := range each.keys {
			removedKeys[&each.keys[i]] = true
		}
	}
	var addedKeys []*tenantKey
	for _, each := range added {
		for i := range each.keys {
			addedKeys = append(addedKeys, &each.keys[i])
		}
	}
	patched := tenantTable{
		byID:  patchSorted(t.byID, removed, added, compareTenants),
		byKey: patchSorted(t.byKey, removedKeys, addedKeys, compareTenantKeys),
	}
	return patched, patched.check()
}

// check reports the first fault in the order of ids and digests, so that all replicas report the same one.
func (t tenantTable) check() error {
	if len(t.byID) > MaxTenants {
		return errors.Errorf("%d tenants, at most %d are allowed", len(t.byID), MaxTenants)
	}
	for i := 1; i < len(t.byID); i++ {
		if t.byID[i-1].body.ID == t.byID[i].body.ID {
			return errors.Errorf("two tenant records have the id %q", t.byID[i].body.ID)
		}
	}
	for i := 1; i < len(t.byKey); i++ {
		a, b := t.byKey[i-1], t.byKey[i]
		if a.digest == b.digest && a.tenant != b.tenant {
			return errors.Errorf("tenants %q and %q share an API key", a.tenant.body.ID, b.tenant.body.ID)
		}
	}
	return nil
}

// HasTenants reports whether the configuration has tenant records.
func (c *Configuration) HasTenants() bool { return len(c.tenants.byID) > 0 }

// Tenant returns the body of the tenant with an id, with the id filled in and without API keys.
func (c *Configuration) Tenant(id core.TenantID) (core.TenantBody, bool) {
	at, exists := slices.BinarySearchFunc(c.tenants.byID, id, func(t *tenant, id core.TenantID) int { return cmp.Compare(t.body.ID, id) })
	if !exists {
		return core.TenantBody{}, false
	}
	return c.tenants.byID[at].body, true
}

// TenantOfKey returns the id of the tenant that has an API key.
func (c *Configuration) TenantOfKey(key string) (core.TenantID, bool) {
	digest := keyDigest(sha256.Sum256([]byte(key)))
	at, exists := slices.BinarySearchFunc(c.tenants.byKey, digest, func(k *tenantKey, digest keyDigest) int { return bytes.Compare(k.digest[:], digest[:]) })
	if !exists {
		return "", false
	}
	return c.tenants.byKey[at].tenant.body.ID, true
}

// Tenants returns the bodies of all tenants, sorted by id, with the ids filled in and without API keys.
func (c *Configuration) Tenants() []core.TenantBody {
	bodies := make([]core.TenantBody, 0, len(c.tenants.byID))
	for _, t := range c.tenants.byID {
		bodies = append(bodies, t.body)
	}
	return bodies
}

// KeyChanges returns how many API keys a change of a tenant record adds and removes. Either body may be nil.
func KeyChanges(before, after json.RawMessage) (added, removed int) {
	held, set := keySet(before), keySet(after)
	for key := range set {
		if !held[key] {
			added++
		}
	}
	for key := range held {
		if !set[key] {
			removed++
		}
	}
	return added, removed
}

func keySet(body json.RawMessage) map[string]bool {
	var tenant core.TenantBody
	_ = json.Unmarshal(body, &tenant) // what can be decoded counts; CheckRecord has refused malformed bodies
	keys := make(map[string]bool, len(tenant.APIKeys))
	for _, key := range tenant.APIKeys {
		keys[key] = true
	}
	return keys
}

// Redact returns the records without API keys, for dumps and other output that is not meant to be submitted again.
func Redact(records []core.Record) []core.Record {
	redacted := slices.Clone(records)
	for i, r := range redacted {
		if r.Kind == core.KindTenant {
			redacted[i].Body = redactTenant(r.Body)
		}
	}
	return redacted
}

// redactTenant replaces the keys under each spelling that the JSON decoder accepts, also in schema versions that this program does not
// know.
func redactTenant(body json.RawMessage) json.RawMessage {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return json.RawMessage(`"redacted"`)
	}
	for name, value := range fields {
		if !strings.EqualFold(name, "api-keys") {
			continue
		}
		var keys []json.RawMessage
		_ = json.Unmarshal(value, &keys) // without a list, none is shown
		fields[name], _ = json.Marshal(slices.Repeat([]string{redactedKey}, len(keys)))
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		return json.RawMessage(`"redacted"`)
	}
	return encoded
}
