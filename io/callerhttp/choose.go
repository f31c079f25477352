package callerhttp

import (
	"math/rand/v2"
	"slices"
	"time"

	"parsleyport/core"
)

// share is the part of a service's traffic that a release gets at this node.
type share struct {
	release  core.Release
	perMille core.PerMille
}

// choose picks a release by weight and an endpoint of it. If the release has no endpoint, another one may take its place
// only if its share is at least as large, so that a release under trial never gets more than its share.
func (s *Server) choose(q *request, past past, now time.Time) (core.Endpoint, bool) {
	shares := s.shares(q)
	ready := s.ready(q.route.Service)
	for len(shares) > 0 {
		at := drawShare(shares, func(n core.PerMille) core.PerMille { return rand.N(n) })
		chosen := shares[at]
		candidates := candidatesOf(ready, chosen.release, past)
		if len(candidates) > 0 {
			endpoint, found := s.options.Picker.Pick(now, core.PickRequest{
				Call:    q.call.ID,
				Service: q.route.Service,
				Release: chosen.release,
				Tried:   past.tried,
				Session: q.session,
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
	for _, weight := range q.weights {
		upstream, _ := q.configuration.Upstream(weight.Upstream)
		if weight.PerMille > 0 && s.options.ReleaseAllowed(q.route.Service, upstream.Release) {
			shares = append(shares, share{
				release:  upstream.Release,
				perMille: weight.PerMille,
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
	tried []core.NodeID
	gone  []core.NodeID // those of tried that take no calls or have answered
}

// candidatesOf prefers endpoints that this call has not tried; one that takes no calls is not tried again.
func candidatesOf(ready []core.Endpoint, release core.Release, past past) []core.Endpoint {
	var fresh, all []core.Endpoint
	for _, endpoint := range ready {
		if endpoint.Release != release || slices.Contains(past.gone, endpoint.Node) {
			continue
		}
		all = append(all, endpoint)
		if !slices.Contains(past.tried, endpoint.Node) {
			fresh = append(fresh, endpoint)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return all
}
