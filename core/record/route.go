package record

import (
	"net"
	"slices"
	"strings"
	"time"

	"parsleyport/core"
)

// Route is the body of a route record with the record's name.
type Route struct {
	core.RouteBody
	Name core.RouteName
}

// Match returns the route for a request: of the routes whose host and method match, the one with the longest path prefix.
func (c *Configuration) Match(host, method, path string) (Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	return c.routeIndex.match(strings.ToLower(host), method, path)
}

// routeIndex finds the routes for a path by its prefixes, so that the lookup time of a call does not depend on the number of
// routes.
type routeIndex struct {
	byPrefix       map[string][]Route // each list in the order of routeLess
	maxPrefixBytes int
}

func newRouteIndex(sorted []Route) routeIndex {
	index := routeIndex{
		byPrefix: make(map[string][]Route, len(sorted)),
	}
	for _, route := range sorted {
		route.Host = strings.ToLower(route.Host)
		index.byPrefix[route.PathPrefix] = append(index.byPrefix[route.PathPrefix], route)
		index.maxPrefixBytes = max(index.maxPrefixBytes, len(route.PathPrefix))
	}
	return index
}

func (i routeIndex) match(host, method, path string) (Route, bool) {
	for end := min(len(path), i.maxPrefixBytes); end > 0; end-- {
		if end < len(path) && path[end-1] != '/' && path[end] != '/' {
			continue // not at the end of a path segment
		}
		for _, route := range i.byPrefix[path[:end]] {
			if (route.Host == "" || route.Host == host) && (len(route.Methods) == 0 || contains(route.Methods, method)) {
				return route, true
			}
		}
	}
	return Route{}, false
}

// Overlapping returns the routes with other names that match some of the calls that a route with this body matches.
func (c *Configuration) Overlapping(name core.RouteName, body core.RouteBody) []Route {
	var overlapping []Route
	for _, route := range c.routes {
		if route.Name != name && routesOverlap(route.RouteBody, body) {
			overlapping = append(overlapping, route)
		}
	}
	return overlapping
}

func routesOverlap(a, b core.RouteBody) bool {
	if !prefixMatches(a.PathPrefix, b.PathPrefix) && !prefixMatches(b.PathPrefix, a.PathPrefix) {
		return false
	}
	if a.Host != "" && b.Host != "" && !strings.EqualFold(a.Host, b.Host) {
		return false
	}
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Methods, func(method string) bool { return contains(b.Methods, method) })
}

// Timeout returns the route's timeout.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// prefixMatches compares whole path segments, so that /orders does not match /orders-archive.
func prefixMatches(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func routeLess(a, b Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	if (a.Host != "") != (b.Host != "") {
		return a.Host != ""
	}
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		return len(a.Methods) > 0
	}
	return a.Name < b.Name
}
