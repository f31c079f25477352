package operatorhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/danielgtaylor/huma/v2"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Token is one of the operators' tokens with its rights.
type Token struct {
	catalog.Principal
	Secret string
}

// ReadToken reads a client's token from a file and trims white space; an empty path gives no token. It returns an error for a token
// file of a control instance that holds several tokens.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Annotate(err, "token file")
	}
	token := strings.TrimSpace(string(content))
	if token == "" || len(token) > maxTokenFileBytes || strings.HasPrefix(token, "{") || strings.Contains(token, "\n") {
		return "", errors.Errorf("token file %s: expected one token of 1 to %d bytes and nothing else", path, maxTokenFileBytes)
	}
	return token, nil
}

// authenticator finds the principal of a token by the hash of its secret.
type authenticator struct {
	digests    [][sha256.Size]byte
	principals []catalog.Principal
}

func newAuthenticator(tokens []Token) authenticator {
	var a authenticator
	for _, token := range tokens {
		a.digests = append(a.digests, sha256.Sum256([]byte(token.Secret)))
		a.principals = append(a.principals, token.Principal)
	}
	return a
}

// authenticate always compares all hashes in constant time, so that the time of the comparison reveals neither the length of a secret
// nor which one matches.
func (a authenticator) authenticate(secret string) (catalog.Principal, bool) {
	if len(a.digests) == 0 {
		return catalog.Principal{}, true
	}
	digest := sha256.Sum256([]byte(secret))
	found := -1
	for i := range a.digests {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(digest[:], a.digests[i][:]), i, found)
	}
	if found < 0 {
		return catalog.Principal{}, false
	}
	return a.principals[found], true
}

func (a authenticator) hasLimitedTokens() bool {
	return slices.ContainsFunc(a.principals, catalog.Principal.IsLimited)
}

type principalKey struct{}

func principalOf(ctx context.Context) catalog.Principal {
	principal, authorized := ctx.Value(principalKey{}).(catalog.Principal)
	if !authorized {
		panic("request without a principal") // the zero principal would have all rights
	}
	return principal
}

// commandPrincipal returns the principal of a command with the limits for deciding it.
func (s *Server) commandPrincipal(ctx context.Context) catalog.Principal {
	principal := principalOf(ctx)
	if s.options.Limits != nil {
		principal.Limits = s.options.Limits()
	}
	return principal
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		principal, exists := s.authenticator.authenticate(token)
		if !exists {
			s.countError("unauthorized")
			http.Error(w, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, principal)))
	})
}

const needsAllRights = "this needs a token with all rights"

func (s *Server) requireAllRights(next http.Handler) http.Handler {
	return s.authenticate(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if principalOf(r.Context()).IsLimited() {
			s.countError("forbidden")
			http.Error(w, needsAllRights, http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	}))
}

// checkAllRights returns an error for a limited token.
func (s *Server) checkAllRights(ctx context.Context) error {
	if principalOf(ctx).IsLimited() {
		s.countError("forbidden")
		return huma.Error403Forbidden(needsAllRights)
	}
	return nil
}

// restrictedTo returns the status that a limited token may see: what concerns its services, and what is needed to tell when a change of
// them is in force.
func (s Status) restrictedTo(principal catalog.Principal, tenant func(core.ServiceName) core.TenantID) Status {
	if !principal.IsLimited() {
		return s
	}
	endpoints := make(map[core.ServiceName]int)
	for service, count := range s.Fleet.Endpoints {
		if principal.CanAccess(tenant(service)) {
			endpoints[service] = count
		}
	}
	return Status{
		Tenants:   principal.Tenants,
		Current:   s.Current,
		Revision:  s.Revision,
		OpenMoves: s.OpenMoves, // already only those of its tenants
		Fleet: FleetStatus{
			LowestInForce: s.Fleet.LowestInForce,
			SchemaFloor:   s.Fleet.SchemaFloor,
			Endpoints:     endpoints,
		},
	}
}
