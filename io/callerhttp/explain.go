package callerhttp

import (
	"net/http"
	"net/url"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/balancer"
)

// explainer is a core.Picker that can say what it would choose.
type explainer interface {
	Explain(now time.Time, request core.PickRequest, candidates []core.Endpoint) balancer.Explanation
}

// Query describes a request that is not sent.
type Query struct {
	Method    string
	Host      string
	Path      string // may have a query
	BodyBytes int
}

// RouteExplanation says where a request would go now, and why.
type RouteExplanation struct {
	Refused    core.RefusalCause    `json:"refused,omitempty"` // why the request would be refused before any attempt
	Route      core.RouteName       `json:"route,omitempty"`
	Service    core.ServiceName     `json:"service,omitempty"`
	Idempotent bool                 `json:"idempotent"`
	Priority   core.Priority        `json:"priority"`
	TimeoutMS  int64                `json:"timeout-ms,omitempty"`
	LateMS     int64                `json:"late-after-ms,omitempty"`
	Releases   []ReleaseExplanation `json:"releases,omitempty"`
}

// ReleaseExplanation is the choice among the endpoints of one release, which gets a share of the requests.
type ReleaseExplanation struct {
	Release  core.Release  `json:"release"`
	PerMille core.PerMille `json:"per-mille"`
	balancer.Explanation
}

// Explain says where a request without headers would go now. It sends nothing and changes no state. If several services share a
// route, one of them is drawn as for a request.
func (s *Server) Explain(now time.Time, query Query) RouteExplanation {
	target, err := url.ParseRequestURI(query.Path)
	if err != nil {
		return RouteExplanation{
			Refused: core.CauseMalformedCall,
		}
	}
	req, refused := s.parseRequest(&http.Request{Method: query.Method, Host: query.Host, URL: target, Header: make(http.Header)}, s.options.Source.Current(), now)
	if refused != nil {
		return RouteExplanation{
			Refused: refused.Cause,
		}
	}
	explanation := RouteExplanation{
		Route:      req.route.Name,
		Service:    req.route.Service,
		Idempotent: req.call.Idempotent,
		Priority:   req.call.Priority,
		TimeoutMS:  req.call.Deadline.Sub(now).Milliseconds(),
		LateMS:     int64(req.route.TargetLatencyMS),
	}
	picker, explains := s.options.Picker.(explainer)
	if !explains {
		return explanation
	}
	ready, shares := s.readyEndpoints(req.route.Service), s.releaseShares(req)
	explanation.Releases = lo.Map(shares, func(share releaseShare, _ int) ReleaseExplanation {
		return ReleaseExplanation{
			Release:  share.release,
			PerMille: share.perMille,
			Explanation: picker.Explain(now, core.PickRequest{
				Service:      req.route.Service,
				Route:        req.route.Name,
				Release:      share.release,
				BodyBytes:    query.BodyBytes,
				SoftDeadline: req.call.SoftDeadline,
				Deadline:     req.call.Deadline,
			}, share.endpoints(ready, shares)),
		}
	})
	return explanation
}
