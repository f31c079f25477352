package operatorhttp

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"parsleyport/core/catalog"
)

// Rate limits requests; PerSecond zero means no limit.
type Rate struct {
	PerSecond float64
	Burst     int // cost of the requests that are admitted at once after a pause; at least MaxCost, or requests of a higher cost are never admitted
}

// tokenBucket limits the rate of requests.
type tokenBucket struct {
	rate      Rate
	mu        sync.Mutex
	tokens    float64 // cost that could be admitted at once at updatedAt
	updatedAt time.Time
}

func newTokenBucket(rate Rate) *tokenBucket {
	return &tokenBucket{
		rate:   rate,
		tokens: float64(rate.Burst),
	}
}

// take admits a request of the given cost and returns zero, or returns the time after which it would be admitted.
func (b *tokenBucket) take(now time.Time, cost float64) (wait time.Duration) {
	if b.rate.PerSecond == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.updatedAt.IsZero() {
		b.tokens = min(float64(b.rate.Burst), b.tokens+max(now.Sub(b.updatedAt).Seconds(), 0)*b.rate.PerSecond)
	}
	b.updatedAt = now
	if b.tokens < cost {
		return time.Duration((cost - b.tokens) / b.rate.PerSecond * float64(time.Second))
	}
	b.tokens -= cost
	return 0
}

// quota holds the limits of one set of tenants, or of one token with all rights.
type quota struct {
	submissions *tokenBucket
	queries     *tokenBucket
	concurrent  chan struct{} // holds one item for each request under way; nil for no limit
}

// newQuotas returns all quotas by key. They are made at the start, so that there are no more quotas than tokens.
func newQuotas(o Options) map[string]*quota {
	quotas, maxConcurrent := make(map[string]*quota, len(o.Tokens)), maxConcurrentPerQuota(o.Tokens)
	add := func(principal catalog.Principal) {
		q := &quota{
			submissions: newTokenBucket(o.Submissions),
			queries:     newTokenBucket(o.Queries),
		}
		if principal.IsLimited() {
			q.concurrent = make(chan struct{}, maxConcurrent)
		}
		quotas[quotaKey(principal)] = q
	}
	for _, token := range o.Tokens {
		add(token.Principal)
	}
	if len(o.Tokens) == 0 { // with a common limit, one client could block all others
		o.Submissions, o.Queries = Rate{}, Rate{}
		add(catalog.Principal{})
	}
	return quotas
}

// maxConcurrentPerQuota divides the concurrent requests equally among the sets of tenants, with one part left for tokens with all
// rights. A rate limit alone would not do: requests whose bodies are sent slowly would occupy the whole server at any rate.
func maxConcurrentPerQuota(tokens []Token) int {
	limited := lo.Filter(tokens, func(t Token, _ int) bool { return t.IsLimited() })
	sets := len(lo.UniqBy(limited, func(t Token) string { return t.Scope() }))
	return max(maxRequests/(sets+1), 1)
}

// quotaKey returns the same key for all tokens of the same tenants, so that a second token does not double their quota.
func quotaKey(principal catalog.Principal) string {
	if principal.IsLimited() {
		return "tenants " + principal.Scope()
	}
	return "token " + principal.Token
}

// limitRate rejects requests above the quota before their bodies are read, so that a rejected request costs little.
func (s *Server) limitRate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		principal := principalOf(r.Context())
		limits := s.quotas[quotaKey(principal)]
		kind, bucket := "submissions", limits.submissions
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			kind, bucket = "queries", limits.queries
		}
		if limits.concurrent != nil {
			select {
			case limits.concurrent <- struct{}{}:
				defer func() { <-limits.concurrent }()
			default:
				s.refuseLimited(w, principal, "at-once", time.Second, fmt.Sprintf("more than %d requests at the same time", cap(limits.concurrent)))
				return
			}
		}
		if wait := bucket.take(time.Now(), costOf(r)); wait > 0 {
			s.refuseLimited(w, principal, kind, wait, fmt.Sprintf("more than %v %s a second", bucket.rate.PerSecond, kind))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// costOf returns the cost of a request. It is 1 except for a query of the audit trail, which may read ten files, and a long body, whose
// command may be written to the leader's disk even if it is refused. A body of unknown length costs as much as the longest one.
func costOf(r *http.Request) float64 {
	if r.URL.Path == auditPath {
		return AuditCost
	}
	length := r.ContentLength
	if length < 0 || length > catalog.MaxCommandBytes {
		length = catalog.MaxCommandBytes
	}
	return 1 + float64(length/bytesPerCost)
}

// refuseLimited answers with status 429. The text names the token and not its tenants, since operators know the token by its name.
func (s *Server) refuseLimited(w http.ResponseWriter, principal catalog.Principal, kind string, wait time.Duration, reason string) {
	s.options.Metrics.GetOrCreateCounter(fmt.Sprintf("parsleyport_operator_limited_total{token=%q,kind=%q}", principal.Token, kind)).Inc()
	seconds := int(math.Ceil(wait.Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	text := fmt.Sprintf("%s with token %q or others of the same tenants; nothing was changed, try again in %d s", reason, principal.Token, seconds)
	if !principal.IsLimited() {
		text = fmt.Sprintf("%s with one token; nothing was changed, try again in %d s", reason, seconds)
	}
	http.Error(w, text, http.StatusTooManyRequests)
}
