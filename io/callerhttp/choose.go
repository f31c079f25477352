package callerhttp

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/rollout"
)

// releaseShare is the share of a service's traffic that a release gets from this node.
type releaseShare struct {
	release    core.Release
	perMille   core.PerMille
	canary     bool          // target of an open move
	allWeights []core.Weight // of the service; core.OtherReleases stands for all releases that are not among them
}

// includes reports whether an endpoint belongs to the release.
func (r releaseShare) includes(endpoint core.Endpoint) bool {
	if r.release != core.OtherReleases {
		return endpoint.Release == r.release
	}
	return !slices.ContainsFunc(r.allWeights, func(w core.Weight) bool { return core.Release(w.Upstream) == endpoint.Release })
}

// endpoints returns the endpoints that get calls of the release. A canary release with less than half of the traffic gets only a
// part of its endpoints, so that these see a realistic load.
func (r releaseShare) endpoints(ready []core.Endpoint, shares []releaseShare) []core.Endpoint {
	own, others := lo.FilterReject(ready, func(e core.Endpoint, _ int) bool { return r.includes(e) })
	if !r.canary || r.perMille >= core.FullShare/2 {
		return own
	}
	otherEndpoints := lo.CountBy(others, func(e core.Endpoint) bool {
		return slices.ContainsFunc(shares, func(each releaseShare) bool { return each.includes(e) })
	})
	return rollout.CanaryEndpoints(r.release, own, otherEndpoints, r.perMille)
}

// chooseEndpoint draws a release by weight and picks one of its endpoints. If the release has none, it falls back only to releases
// with at least the same share, so that a canary release never gets more than its share.
func (s *Server) chooseEndpoint(req *request, history attemptHistory, now time.Time) (core.Endpoint, bool) {
	shares := s.releaseShares(req)
	ready := s.readyEndpoints(req.route.Service)
	if req.call.Trial != 0 {
		return s.chooseTrialEndpoint(req, history, now, ready, shares)
	}
	for len(shares) > 0 {
		index := drawShare(shares, func(n core.PerMille) core.PerMille { return rand.N(n) })
		chosen := shares[index]
		candidates := candidatesOf(chosen.endpoints(ready, shares), history)
		if len(candidates) > 0 {
			if endpoint, found := s.options.Picker.Pick(now, req.pick(chosen.release, history, candidates), candidates); found {
				return endpoint, true
			}
		}
		shares = slices.DeleteFunc(shares, func(each releaseShare) bool {
			return each.release == chosen.release || each.perMille < chosen.perMille
		})
	}
	return core.Endpoint{}, false
}

// pick returns the request to the picker for an attempt at one of the candidates.
func (r *request) pick(release core.Release, history attemptHistory, candidates []core.Endpoint) core.PickRequest {
	return core.PickRequest{
		Call:    r.call.ID,
		Service: r.route.Service,
		Route:   r.route.Name,
		Release: release,
		Tried:   history.triedNodes(candidates),
		Session: r.session,

		BodyBytes:       int(max(r.call.BodyBytes(), 0)),
		SoftDeadline:    r.call.SoftDeadline,
		Deadline:        r.call.Deadline,
		CapacityRefused: r.capacityRefusals > 0,
	}
}

// chooseTrialEndpoint returns the endpoint that gets the tests of a suspicion. All nodes choose the same one, which lets one test run at a
// time, so that a request that does crash backend servers takes down one of them a test and not one an entry node.
func (s *Server) chooseTrialEndpoint(req *request, history attemptHistory, now time.Time, ready []core.Endpoint, shares []releaseShare) (core.Endpoint, bool) {
	var all []core.Endpoint
	for _, share := range shares {
		all = append(all, share.endpoints(ready, shares)...)
	}
	candidates := candidatesOf(all, history)
	if len(candidates) == 0 {
		return core.Endpoint{}, false
	}
	chosen := slices.MinFunc(candidates, func(a, b core.Endpoint) int {
		return cmp.Compare(trialRank(req.call.Trial, a.Node), trialRank(req.call.Trial, b.Node))
	})
	only := []core.Endpoint{chosen}
	return s.options.Picker.Pick(now, req.pick(chosen.Release, history, only), only)
}

// trialRank orders nodes as rendezvous hashing does, so that the loss of other nodes does not change the choice.
func trialRank(fingerprint core.Fingerprint, node core.NodeID) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(fingerprint), 16) + "/" + string(node))
}

// releaseShares returns the releases that may get the call, with their shares.
func (s *Server) releaseShares(req *request) []releaseShare {
	shares := make([]releaseShare, 0, len(req.weights))
	target, moving := req.configuration.MoveTarget(req.route.Service)
	for _, weight := range req.weights {
		upstream, _ := req.configuration.UpstreamOf(req.route.Service, weight.Upstream)
		if weight.PerMille > 0 && s.options.ReleaseAllowed(req.route.Service, upstream.Release) {
			shares = append(shares, releaseShare{
				release:    upstream.Release,
				perMille:   weight.PerMille,
				canary:     moving && weight.Upstream == target,
				allWeights: req.weights,
			})
		}
	}
	return shares
}

func drawShare(shares []releaseShare, draw func(core.PerMille) core.PerMille) int {
	sum := core.PerMille(0)
	for _, each := range shares {
		sum += each.perMille
	}
	position := draw(sum)
	for i, each := range shares {
		if position < each.perMille {
			return i
		}
		position -= each.perMille
	}
	return len(shares) - 1
}

func (s *Server) readyEndpoints(service core.ServiceName) []core.Endpoint {
	var ready []core.Endpoint
	for _, endpoint := range s.options.Endpoints.Endpoints(service) {
		if endpoint.State == core.EndpointReady {
			ready = append(ready, endpoint)
		}
	}
	return ready
}

// attemptHistory holds the endpoints of the earlier attempts of a call.
type attemptHistory struct {
	tried    []core.Endpoint // as they were announced then; an endpoint with a newer announcement counts as untried
	unusable []core.Endpoint // the tried endpoints that accept no calls, or have answered
}

// containsUnchanged reports whether the list has the endpoint's node, without a newer announcement of that node since.
func containsUnchanged(list []core.Endpoint, endpoint core.Endpoint) bool {
	return slices.ContainsFunc(list, func(each core.Endpoint) bool {
		return each.Node == endpoint.Node && !endpoint.Newer(each)
	})
}

// forgetOldestUnusable lets the endpoint that was first found unusable be tried again.
func (h *attemptHistory) forgetOldestUnusable() {
	if len(h.unusable) == 0 {
		return
	}
	node := h.unusable[0].Node
	same := func(each core.Endpoint) bool { return each.Node == node }
	h.unusable, h.tried = slices.DeleteFunc(h.unusable, same), slices.DeleteFunc(h.tried, same)
}

// triedNodes returns the nodes of the candidates that the call has tried.
func (h attemptHistory) triedNodes(candidates []core.Endpoint) []core.NodeID {
	var nodes []core.NodeID
	for _, endpoint := range candidates {
		if containsUnchanged(h.tried, endpoint) {
			nodes = append(nodes, endpoint.Node)
		}
	}
	return nodes
}

// hasUsableEndpoint reports whether a release with the largest share has an untried endpoint, so that chooseEndpoint is certain to
// find one. Smaller shares are ignored: a call that waited and drew again until it got such a release would raise its share.
func (s *Server) hasUsableEndpoint(req *request, history attemptHistory) bool {
	ready := s.readyEndpoints(req.route.Service)
	shares := s.releaseShares(req)
	largest := lo.MaxBy(shares, func(a, b releaseShare) bool { return a.perMille > b.perMille }).perMille
	return slices.ContainsFunc(shares, func(each releaseShare) bool {
		candidates := candidatesOf(each.endpoints(ready, shares), history)
		return each.perMille == largest && len(history.triedNodes(candidates)) < len(candidates)
	})
}

// candidatesOf returns the untried endpoints, or if there are none, all except the unusable ones.
func candidatesOf(endpoints []core.Endpoint, history attemptHistory) []core.Endpoint {
	var untried, all []core.Endpoint
	for _, endpoint := range endpoints {
		if containsUnchanged(history.unusable, endpoint) {
			continue
		}
		all = append(all, endpoint)
		if !containsUnchanged(history.tried, endpoint) {
			untried = append(untried, endpoint)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return all
}
