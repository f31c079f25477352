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

// Rate bounds requests over time; PerSecond zero means no bound.
type Rate struct {
	PerSecond float64
	Burst     int // at once, after a pause; at least MaxCount, or longer requests are never admitted
}

// bucket is a token bucket.
type bucket struct {
	rate  Rate
	mu    sync.Mutex
	level float64 // requests that may come now
	at    time.Time
}

func newBucket(rate Rate) *bucket {
	return &bucket{
		rate:  rate,
		level: float64(rate.Burst),
	}
}

// take admits a request that counts as several, or returns the time after which it would be admitted.
func (b *bucket) take(now time.Time, count float64) (wait time.Duration) {
	if b.rate.PerSecond == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.at.IsZero() {
		b.level = min(float64(b.rate.Burst), b.level+max(now.Sub(b.at).Seconds(), 0)*b.rate.PerSecond)
	}
	b.at = now
	if b.level < count {
		return time.Duration((count - b.level) / b.rate.PerSecond * float64(time.Second))
	}
	b.level -= count
	return 0
}

// share is what one set of tenants, or one token with all rights, may ask for.
type share struct {
	submissions *bucket
	queries     *bucket
	atOnce      chan struct{} // one item for each request under way; nil for no bound
}

// newShares makes them all at the start, so that their number is that of the tokens.
func newShares(o Options) map[string]*share {
	shares, places := make(map[string]*share, len(o.Tokens)), placesOfTenants(o.Tokens)
	add := func(by catalog.Principal) {
		s := &share{
			submissions: newBucket(o.Submissions),
			queries:     newBucket(o.Queries),
		}
		if by.IsLimited() {
			s.atOnce = make(chan struct{}, places)
		}
		shares[shareKey(by)] = s
	}
	for _, token := range o.Tokens {
		add(token.Principal)
	}
	if len(o.Tokens) == 0 { // a common rate would let one client hold up all others
		o.Submissions, o.Queries = Rate{}, Rate{}
		add(catalog.Principal{})
	}
	return shares
}

// placesOfTenants shares the requests under way out to the sets of tenants, and keeps one share for tokens with all rights:
// bodies that are sent slowly would fill all places at any rate.
func placesOfTenants(tokens []Token) int {
	limited := lo.Filter(tokens, func(t Token, _ int) bool { return t.IsLimited() })
	sets := len(lo.UniqBy(limited, func(t Token) string { return t.Scope() }))
	return max(maxRequests/(sets+1), 1)
}

// shareKey gives tokens of the same tenants one share, so that a second token does not double it.
func shareKey(by catalog.Principal) string {
	if by.IsLimited() {
		return "tenants " + by.Scope()
	}
	return "token " + by.Token
}

// limited comes before the body is read, so that a refused request costs little.
func (s *Server) limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		by := principalOf(r.Context())
		own := s.shares[shareKey(by)]
		kind, requests := "submissions", own.submissions
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			kind, requests = "queries", own.queries
		}
		if own.atOnce != nil {
			select {
			case own.atOnce <- struct{}{}:
				defer func() { <-own.atOnce }()
			default:
				s.refuseLimited(w, by, "at-once", time.Second, fmt.Sprintf("more than %d requests at the same time", cap(own.atOnce)))
				return
			}
		}
		if wait := requests.take(time.Now(), countOf(r)); wait > 0 {
			s.refuseLimited(w, by, kind, wait, fmt.Sprintf("more than %v %s a second", requests.rate.PerSecond, kind))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// countOf is 1 but for a query of the audit trail, which may read ten files, and for long bodies, whose commands may take the
// leader's disk although they are refused. A body of unknown length counts as the longest one.
func countOf(r *http.Request) float64 {
	if r.URL.Path == auditPath {
		return AuditCount
	}
	length := r.ContentLength
	if length < 0 || length > catalog.MaxCommandBytes {
		length = catalog.MaxCommandBytes
	}
	return 1 + float64(length/countedBytes)
}

// refuseLimited names the token and not its tenants, since its operators know it by this name.
func (s *Server) refuseLimited(w http.ResponseWriter, by catalog.Principal, kind string, wait time.Duration, reason string) {
	s.options.Metrics.GetOrCreateCounter(fmt.Sprintf("parsleyport_operator_limited_total{token=%q,kind=%q}", by.Token, kind)).Inc()
	seconds := int(math.Ceil(wait.Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	text := fmt.Sprintf("%s with token %q or others of the same tenants; nothing was changed, try again in %d s", reason, by.Token, seconds)
	if !by.IsLimited() {
		text = fmt.Sprintf("%s with one token; nothing was changed, try again in %d s", reason, seconds)
	}
	http.Error(w, text, http.StatusTooManyRequests)
}
