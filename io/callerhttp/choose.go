package callerhttp

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// share is the part of a service's traffic that a release gets at this node.
type share struct {
	release  core.Release
	perMille core.PerMille
	trial    bool          // a move to the release has not ended
	named    []core.Weight // with core.OtherReleases: all weights, whose releases it does not stand for
}

// has reports whether an endpoint belongs to the share's release.
func (h share) has(endpoint core.Endpoint) bool {
	if h.release != core.OtherReleases {
		return endpoint.Release == h.release
	}
	return !slices.ContainsFunc(h.named, func(w core.Weight) bool { return core.Release(w.Upstream) == endpoint.Release })
}

// endpoints returns those that take the share's calls. A release on trial gets them on a part of its endpoints until it has
// half of the calls.
func (h share) endpoints(ready []core.Endpoint, shares []share) []core.Endpoint {
	own, others := lo.FilterReject(ready, func(e core.Endpoint, _ int) bool { return h.has(e) })
	if !h.trial || h.perMille >= core.FullShare/2 {
		return own
	}
	taking := lo.CountBy(others, func(e core.Endpoint) bool {
		return slices.ContainsFunc(shares, func(each share) bool { return each.has(e) })
	})
	return rollout.CanaryEndpoints(h.release, own, taking, h.perMille)
}

// choose picks a release by weight and an endpoint of it. If the release has no endpoint, another one may take its place
// only if its share is at least as large, so that a release under trial never gets more than its share.
func (s *Server) choose(q *request, past past, now time.Time) (core.Endpoint, bool) {
	shares := s.shares(q)
	ready := s.ready(q.route.Service)
	for len(shares) > 0 {
		at := drawShare(shares, func(n core.PerMille) core.PerMille { return rand.N(n) })
		chosen := shares[at]
		candidates := candidatesOf(chosen.endpoints(ready, shares), past)
		if len(candidates) > 0 {
			endpoint, found := s.options.Picker.Pick(now, core.PickRequest{
				Call:    q.call.ID,
				Service: q.route.Service,
				Route:   q.route.Name,
				Release: chosen.release,
				Tried:   past.triedOf(candidates),
				Session: q.session,

				SoftDeadline:    q.call.SoftDeadline,
				Deadline:        q.call.Deadline,
				CapacityRefused: q.refusals > 0,
			}, candidates)
			if found {
				return endpoint, true
			}
		}
		shares = slices.DeleteFunc(shares, func(each share) bool {
			return each.release == chosen.release || each.perMille < chosen.perMille
		})
	}
	return core.Endpoint{}, false
}

// shares returns the releases that may get this call.
func (s *Server) shares(q *request) []share {
	shares := make([]share, 0, len(q.weights))
	onTrial, moving := q.configuration.MoveTarget(q.route.Service)
	for _, weight := range q.weights {
		upstream, _ := q.configuration.UpstreamOf(q.route.Service, weight.Upstream)
		if weight.PerMille > 0 && s.options.ReleaseAllowed(q.route.Service, upstream.Release) {
			shares = append(shares, share{
				release:  upstream.Release,
				perMille: weight.PerMille,
				trial:    moving && weight.Upstream == onTrial,
				named:    q.weights,
			})
		}
	}
	return shares
}

func drawShare(shares []share, draw func(core.PerMille) core.PerMille) int {
	sum := core.PerMille(0)
	for _, each := range shares {
		sum += each.perMille
	}
	point := draw(sum)
	for i, each := range shares {
		if point < each.perMille {
			return i
		}
		point -= each.perMille
	}
	return len(shares) - 1
}

func (s *Server) ready(service core.ServiceName) []core.Endpoint {
	var ready []core.Endpoint
	for _, endpoint := range s.options.Endpoints.Endpoints(service) {
		if endpoint.State == core.EndpointReady {
			ready = append(ready, endpoint)
		}
	}
	return ready
}

// past names the nodes that earlier attempts of a call went to.
type past struct {
	tried []core.Endpoint // as announced at that time; a node that has announced something since counts as new
	gone  []core.Endpoint // those of tried that took no calls or have answered
}

// among reports whether the list has the endpoint's node and the node has announced nothing since.
func among(list []core.Endpoint, endpoint core.Endpoint) bool {
	return slices.ContainsFunc(list, func(each core.Endpoint) bool {
		return each.Node == endpoint.Node && !endpoint.Newer(each)
	})
}

// forgetFirstGone has the endpoint that was found gone first tried again.
func (p *past) forgetFirstGone() {
	if len(p.gone) == 0 {
		return
	}
	node := p.gone[0].Node
	same := func(each core.Endpoint) bool { return each.Node == node }
	p.gone, p.tried = slices.DeleteFunc(p.gone, same), slices.DeleteFunc(p.tried, same)
}

// triedOf names the candidates that the call has tried.
func (p past) triedOf(candidates []core.Endpoint) []core.NodeID {
	var nodes []core.NodeID
	for _, endpoint := range candidates {
		if among(p.tried, endpoint) {
			nodes = append(nodes, endpoint.Node)
		}
	}
	return nodes
}

// usable reports whether choose is certain to find an endpoint. A release with a smaller share does not count, since a call
// that draws again until it gets that release would raise its share.
func (s *Server) usable(q *request, past past) bool {
	ready := s.ready(q.route.Service)
	shares := s.shares(q)
	largest := lo.MaxBy(shares, func(a, b share) bool { return a.perMille > b.perMille }).perMille
	return slices.ContainsFunc(shares, func(each share) bool {
		candidates := candidatesOf(each.endpoints(ready, shares), past)
		return each.perMille == largest && len(past.triedOf(candidates)) < len(candidates)
	})
}

// candidatesOf prefers endpoints that this call has not tried; one that takes no calls is not tried again.
func candidatesOf(endpoints []core.Endpoint, past past) []core.Endpoint {
	var fresh, all []core.Endpoint
	for _, endpoint := range endpoints {
		if among(past.gone, endpoint) {
			continue
		}
		all = append(all, endpoint)
		if !among(past.tried, endpoint) {
			fresh = append(fresh, endpoint)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return all
}
