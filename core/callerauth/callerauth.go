package callerauth

import (
	"strings"

	"parsleyport/core"
	"parsleyport/core/record"
)

// DefaultScheme is the scheme of API keys in the Authorization header of the product's interface.
const DefaultScheme = "Bearer"

// Admission is the decision about a request. Tenant is empty unless the request has the key of a tenant. Refusal is empty if the request
// is admitted.
type Admission struct {
	Tenant  core.TenantBody
	Known   bool
	Refusal core.RefusalCause
}

// Admit decides about a request with the given values of the Authorization header. In a configuration without tenants, all requests are
// admitted without one. Otherwise a request needs the key of a tenant unless its route allows anonymous calls. The function leaderHeard
// reports whether the configuration is recent: an unknown key may be newer than an outdated configuration, and is then no proof that the
// caller has no right.
func Admit(configuration *record.Configuration, route record.Route, authorization []string, scheme string, leaderHeard func() bool) Admission {
	if !configuration.HasTenants() {
		return Admission{}
	}
	if key, stated := keyOf(authorization, scheme); stated {
		if id, known := configuration.TenantOfKey(key); known {
			tenant, _ := configuration.Tenant(id)
			return Admission{
				Tenant: tenant,
				Known:  true,
			}
		}
	}
	switch {
	case route.AllowAnonymous:
		return Admission{}
	case !leaderHeard():
		return Admission{
			Refusal: core.CauseNotConfirmed,
		}
	}
	return Admission{
		Refusal: core.CauseUnknownKey,
	}
}

// keyOf returns the only key of a scheme. A request with several has none, since another program in its path could take another one.
func keyOf(authorization []string, scheme string) (string, bool) {
	var found string
	count := 0
	for _, value := range authorization {
		if credentials, is := credentialsOf(value, scheme); is {
			found = credentials
			count++
		}
	}
	return found, count == 1 && found != ""
}

// credentialsOf returns what follows the scheme in a value of the Authorization header; it is false for other schemes.
func credentialsOf(value, scheme string) (string, bool) {
	value = strings.Trim(value, " \t")
	end := strings.IndexAny(value, " \t")
	if end < 0 {
		end = len(value)
	}
	return strings.Trim(value[end:], " \t"), strings.EqualFold(value[:end], scheme)
}

// WithoutCredentials returns the values of the Authorization header that have another scheme. The argument is unchanged.
func WithoutCredentials(authorization []string, scheme string) []string {
	var others []string
	for _, value := range authorization {
		if _, is := credentialsOf(value, scheme); !is {
			others = append(others, value)
		}
	}
	return others
}
