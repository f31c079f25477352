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

// ReadToken reads the token that a client presents from a file, without white space around it; an empty path gives no
// token. It refuses the file of a control instance that names several tokens.
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

// guard knows the tokens by their hashes.
type guard struct {
	digests    [][sha256.Size]byte
	principals []catalog.Principal
}

func newGuard(tokens []Token) guard {
	var g guard
	for _, token := range tokens {
		g.digests = append(g.digests, sha256.Sum256([]byte(token.Secret)))
		g.principals = append(g.principals, token.Principal)
	}
	return g
}

// find compares hashes, all of them in any case, so that the time of the comparison tells nothing of the tokens, not even
// their lengths or which one fits.
func (g guard) find(secret string) (catalog.Principal, bool) {
	if len(g.digests) == 0 {
		return catalog.Principal{}, true
	}
	got := sha256.Sum256([]byte(secret))
	found := -1
	for i := range g.digests {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(got[:], g.digests[i][:]), i, found)
	}
	if found < 0 {
		return catalog.Principal{}, false
	}
	return g.principals[found], true
}

func (g guard) hasLimited() bool {
	return slices.ContainsFunc(g.principals, catalog.Principal.IsLimited)
}

type principalKey struct{}

func principalOf(ctx context.Context) catalog.Principal {
	by, authorized := ctx.Value(principalKey{}).(catalog.Principal)
	if !authorized {
		panic("request without a principal") // must not pass for all rights
	}
	return by
}

// sender returns the principal of a command, with the limits that it is decided with.
func (s *Server) sender(ctx context.Context) catalog.Principal {
	by := principalOf(ctx)
	if s.options.Limits != nil {
		by.Limits = s.options.Limits()
	}
	return by
}

func (s *Server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		by, exists := s.guard.find(token)
		if !exists {
			s.countError("unauthorized")
			http.Error(w, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, by)))
	})
}

const needsAllRights = "this needs a token with all rights"

func (s *Server) unlimited(next http.Handler) http.Handler {
	return s.authorized(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if principalOf(r.Context()).IsLimited() {
			s.countError("forbidden")
			http.Error(w, needsAllRights, http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	}))
}

// wholeDeployment refuses a limited token.
func (s *Server) wholeDeployment(ctx context.Context) error {
	if principalOf(ctx).IsLimited() {
		s.countError("forbidden")
		return huma.Error403Forbidden(needsAllRights)
	}
	return nil
}

// visible returns the status as a limited token may see it: with what concerns its services, and with what tells when a
// change of them is in force.
func (s Status) visible(by catalog.Principal, tenant func(core.ServiceName) core.TenantID) Status {
	if !by.IsLimited() {
		return s
	}
	endpoints := make(map[core.ServiceName]int)
	for service, count := range s.Fleet.Endpoints {
		if by.CanAccess(tenant(service)) {
			endpoints[service] = count
		}
	}
	return Status{
		Tenants:   by.Tenants,
		Current:   s.Current,
		Revision:  s.Revision,
		OpenMoves: s.OpenMoves, // of its tenants already
		Fleet: FleetStatus{
			LowestInForce: s.Fleet.LowestInForce,
			SchemaFloor:   s.Fleet.SchemaFloor,
			Endpoints:     endpoints,
		},
	}
}
