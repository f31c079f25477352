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

// newRoute returns a route whose host is in lower case.
func newRoute(name core.RouteName, body core.RouteBody) *Route {
	body.Host = strings.ToLower(body.Host)
	return &Route{
		RouteBody: body,
		Name:      name,
	}
}

// Match returns the route for a request: of the routes whose host and method match, the one with the longest path prefix.
func (c *Configuration) Match(host, method, path string) (Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	route := c.routes.match(strings.ToLower(host), method, path)
	if route == nil {
		return Route{}, false
	}
	return *route, true
}

// routeTable finds the routes for a path by a binary search for each of its prefixes. Compared with a map, a change of one route
// copies 8 bytes a route instead of making the map anew.
type routeTable struct {
	sorted         []*Route // by path prefix, within one path prefix in the order of routeLess
	maxPrefixBytes int
}

func compareRoutes(a, b *Route) int {
	if order := strings.Compare(a.PathPrefix, b.PathPrefix); order != 0 {
		return order
	}
	switch {
	case routeLess(a, b):
		return -1
	case routeLess(b, a):
		return 1
	}
	return 0
}

// patch returns the table without some routes and with others; the receiver is unchanged.
func (t routeTable) patch(removed map[*Route]bool, added []*Route) routeTable {
	if len(removed) == 0 && len(added) == 0 {
		return t
	}
	patched := routeTable{
		sorted: patchSorted(t.sorted, removed, added, compareRoutes),
	}
	for _, route := range patched.sorted {
		patched.maxPrefixBytes = max(patched.maxPrefixBytes, len(route.PathPrefix))
	}
	return patched
}

func (t routeTable) match(host, method, path string) *Route {
	for end := min(len(path), t.maxPrefixBytes); end > 0; end-- {
		if end < len(path) && path[end-1] != '/' && path[end] != '/' {
			continue // not at the end of a path segment
		}
		prefix := path[:end]
		at, _ := slices.BinarySearchFunc(t.sorted, prefix, func(route *Route, prefix string) int { return strings.Compare(route.PathPrefix, prefix) })
		for ; at < len(t.sorted) && t.sorted[at].PathPrefix == prefix; at++ {
			route := t.sorted[at]
			if (route.Host == "" || route.Host == host) && (len(route.Methods) == 0 || contains(route.Methods, method)) {
				return route
			}
		}
	}
	return nil
}

// Overlapping returns the routes with other names that match some of the calls that a route with this body matches.
func (c *Configuration) Overlapping(name core.RouteName, body core.RouteBody) []Route {
	var overlapping []Route
	for _, route := range c.routes.sorted {
		if route.Name != name && routesOverlap(route.RouteBody, body) {
			overlapping = append(overlapping, *route)
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

func routeLess(a, b *Route) bool {
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
