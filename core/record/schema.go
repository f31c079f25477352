package record

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/jsonvalue"
)

// NewestSchema is the newest schema version that this program knows, for each kind.
const NewestSchema core.SchemaVersion = 1

// Limits of a record.
const (
	maxNameBytes       = 128
	maxBodyBytes       = 64 << 10
	maxRouteTimeoutMS  = 10 * 60 * 1000
	maxPolicyAttempts  = 5
	maxRouteAttempts   = 100
	maxPriority        = 9
	maxSlots           = 10_000
	maxWeights         = 32
	maxShareWeight     = 1 << 32 // so that the sum of maxWeights of them fits in 64 bits
	defaultMaxAttempts = 3
	maxTenantIDBytes   = 128
	maxTenantKeys      = 64
	maxKeyBytes        = 512
	maxRate            = 1_000_000_000 // so that the sum over a window of any length fits in 64 bits
	supportedMethods   = "GET HEAD POST PUT PATCH DELETE OPTIONS"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// CheckRecord checks one record by itself; the error names the wrong field and what was expected. A schema version that this
// program does not know is an error, although relays forward records in such versions.
func CheckRecord(r core.Record) error {
	if err := checkName(r.Name); err != nil {
		return errors.Annotatef(err, "%s record %q", r.Kind, r.Name)
	}
	if r.Version == 0 {
		return errors.Errorf("%s record %q: version must be at least 1", r.Kind, r.Name)
	}
	if len(r.Body) > maxBodyBytes {
		return errors.Errorf("%s record %q: body has %d bytes, at most %d are allowed", r.Kind, r.Name, len(r.Body), maxBodyBytes)
	}
	if r.SchemaVersion == 0 || r.SchemaVersion > NewestSchema {
		return errors.Errorf("%s record %q: schema version %d is unknown, expected 1 to %d", r.Kind, r.Name, r.SchemaVersion, NewestSchema)
	}
	if err := checkBody(r); err != nil {
		return errors.Annotatef(err, "%s record %q", r.Kind, r.Name)
	}
	return nil
}

func checkName(name string) error {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		return errors.Errorf("name must be 1 to %d lower-case letters, digits, dots and hyphens", maxNameBytes)
	}
	return nil
}

func checkBody(r core.Record) error {
	switch r.Kind {
	case core.KindService:
		return checkService(r.Body)
	case core.KindUpstream:
		return checkUpstream(r.Body)
	case core.KindRoute:
		return checkRoute(r.Body)
	case core.KindPolicy:
		return checkPolicy(r.Body)
	case core.KindDeclaration:
		return checkDeclaration(r.Body)
	case core.KindTenant:
		return checkTenant(r.Body)
	}
	return errors.Errorf("unknown kind, expected service, upstream, route, policy, declaration or tenant")
}

func checkService(body []byte) error {
	var service core.ServiceBody
	if err := decodeStrict(body, &service); err != nil {
		return err
	}
	if service.Tenant == "" {
		return errors.Errorf("tenant is missing")
	}
	if service.MaxConnections < 0 {
		return errors.Errorf("max-connections is %d, expected 0 or more", service.MaxConnections)
	}
	if service.HealthPath != "" && !strings.HasPrefix(service.HealthPath, "/") {
		return errors.Errorf("health-path is %q, expected a path that starts with /", service.HealthPath)
	}
	return checkPriority(service.Priority)
}

func checkUpstream(body []byte) error {
	var upstream core.UpstreamBody
	if err := decodeStrict(body, &upstream); err != nil {
		return err
	}
	if upstream.Service == "" {
		return errors.Errorf("service is missing")
	}
	if upstream.Release == "" {
		return errors.Errorf("release is missing")
	}
	if upstream.Slots < 1 || upstream.Slots > maxSlots {
		return errors.Errorf("slots is %d, expected 1 to %d", upstream.Slots, maxSlots)
	}
	return nil
}

func checkRoute(body []byte) error {
	var route core.RouteBody
	if err := decodeStrict(body, &route); err != nil {
		return err
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		return errors.Errorf("path-prefix is %q, expected a path that starts with /", route.PathPrefix)
	}
	if err := checkDestination(route); err != nil {
		return err
	}
	if route.MaxAttempts < 0 || route.MaxAttempts > maxRouteAttempts {
		return errors.Errorf("max-attempts is %d, expected 0 (for that of the policy) to %d", route.MaxAttempts, maxRouteAttempts)
	}
	if route.TargetLatencyMS < 0 {
		return errors.Errorf("target-latency-ms is %d, expected 0 or more", route.TargetLatencyMS)
	}
	if route.TimeoutMS < 1 || route.TimeoutMS > maxRouteTimeoutMS {
		return errors.Errorf("timeout-ms is %d, expected 1 to %d", route.TimeoutMS, maxRouteTimeoutMS)
	}
	for _, method := range route.Methods {
		if !contains(strings.Fields(supportedMethods), method) {
			return errors.Errorf("methods has %q, expected some of %s", method, supportedMethods)
		}
	}
	return checkPriority(route.Priority)
}

func checkDestination(route core.RouteBody) error {
	if len(route.Split) == 0 {
		if route.Service == "" {
			return errors.Errorf("service is missing")
		}
		return nil
	}
	if route.Service != "" {
		return errors.Errorf("service and split are given, expected one of them")
	}
	if len(route.Split) > maxWeights {
		return errors.Errorf("split has %d entries, expected 1 to %d", len(route.Split), maxWeights)
	}
	sum := int64(0)
	seen := make(map[core.ServiceName]bool, len(route.Split))
	for _, share := range route.Split {
		if share.Service == "" || seen[share.Service] {
			return errors.Errorf("split names service %q, expected each service once", share.Service)
		}
		if share.Weight < 0 || share.Weight > maxShareWeight {
			return errors.Errorf("weight of service %q is %d, expected 0 to %d", share.Service, share.Weight, maxShareWeight)
		}
		seen[share.Service] = true
		sum += share.Weight
	}
	if sum == 0 {
		return errors.Errorf("weights of split add up to 0")
	}
	return nil
}

func checkDeclaration(body []byte) error {
	var declaration core.DeclarationBody
	if err := decodeStrict(body, &declaration); err != nil {
		return err
	}
	for name, value := range map[string]int64{
		"max-header-bytes":  declaration.MaxHeaderBytes,
		"max-body-bytes":    declaration.MaxBodyBytes,
		"header-timeout-ms": declaration.HeaderTimeoutMS,
		"idle-timeout-ms":   declaration.IdleTimeoutMS,
	} {
		if value < 0 {
			return errors.Errorf("%s is %d, expected 0 or more", name, value)
		}
	}
	return nil
}

func checkPolicy(body []byte) error {
	var policy core.PolicyBody
	if err := decodeStrict(body, &policy); err != nil {
		return err
	}
	if policy.Service == "" {
		return errors.Errorf("service is missing")
	}
	if policy.MaxAttempts < 0 || policy.MaxAttempts > maxPolicyAttempts {
		return errors.Errorf("max-attempts is %d, expected 0 (for %d) to %d", policy.MaxAttempts, defaultMaxAttempts, maxPolicyAttempts)
	}
	return checkWeights(policy.Weights)
}

func checkWeights(weights []core.Weight) error {
	if len(weights) == 0 || len(weights) > maxWeights {
		return errors.Errorf("weights has %d entries, expected 1 to %d", len(weights), maxWeights)
	}
	sum := core.PerMille(0)
	seen := make(map[core.UpstreamName]bool, len(weights))
	for _, weight := range weights {
		if weight.PerMille > core.FullShare {
			return errors.Errorf("weight of upstream %q is %d per mille, expected 0 to 1000", weight.Upstream, weight.PerMille)
		}
		if seen[weight.Upstream] {
			return errors.Errorf("weights names upstream %q twice", weight.Upstream)
		}
		seen[weight.Upstream] = true
		sum += weight.PerMille
	}
	if sum != core.FullShare {
		return errors.Errorf("weights add up to %d per mille, expected 1000", sum)
	}
	return nil
}

func checkPriority(priority core.Priority) error {
	if priority > maxPriority {
		return errors.Errorf("priority is %d, expected 0 to %d", priority, maxPriority)
	}
	return nil
}

func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return errors.Annotate(jsonvalue.DecodeOnly(decoder, target), "body")
}

func contains(list []string, item string) bool {
	for _, element := range list {
		if element == item {
			return true
		}
	}
	return false
}
