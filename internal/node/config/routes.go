package config

import "strings"

// maxHostLength bounds the host with its port that is looked up, in bytes; a longer one has no
// route.
const maxHostLength = 320

// RouteTable finds the route of a request. It is immutable; versions share the tables of hosts that
// did not change.
type RouteTable struct {
	hosts map[string]*hostRoutes // by host in lower case
	count int
}

// hostRoutes are the routes of one host. As every prefix ends with a slash, only the parts of a
// path up to a slash are looked up, and none that is longer or has more slashes than any prefix.
type hostRoutes struct {
	byPrefix        map[string]*Route
	maxPrefixLength int // bytes
	maxPrefixDepth  int // slashes
}

// Len returns the number of routes.
func (t *RouteTable) Len() int { return t.count }

// Match returns the route for the host whose prefix is the longest that the raw path begins with;
// nil: there is none. The host is compared without regard to case and port; the path is neither
// cleaned nor unescaped, and ends before a query. Match does not allocate. Source: PROTOCOL.md,
// "Requests".
func (t *RouteTable) Match(host, path string) *Route {
	routes := t.routesOf(host)
	if routes == nil {
		return nil
	}
	return routes.match(path)
}

func (t *RouteTable) routesOf(host string) *hostRoutes {
	if len(host) > maxHostLength {
		return nil
	}
	var buffer [maxHostLength]byte
	lower := appendLower(buffer[:0], host)
	if routes := t.hosts[string(lower)]; routes != nil {
		return routes
	}
	return t.hosts[string(lower[:len(withoutPort(host))])]
}

// appendLower appends a host with its ASCII letters in lower case.
func appendLower(buffer []byte, host string) []byte {
	for i := range len(host) {
		c := host[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buffer = append(buffer, c)
	}
	return buffer
}

// lowerHost returns a host as the key of the tables.
func lowerHost(host string) string {
	for i := range len(host) {
		if 'A' <= host[i] && host[i] <= 'Z' {
			return string(appendLower(nil, host))
		}
	}
	return host
}

// withoutPort returns the host without ":port"; an IPv6 address keeps its brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

// match returns the route with the longest prefix of the path; nil: there is none.
func (r *hostRoutes) match(path string) *Route {
	var best *Route
	slashes := 0
	for i := 0; i < len(path) && i < r.maxPrefixLength && slashes < r.maxPrefixDepth; i++ {
		if path[i] == '?' {
			break
		}
		if path[i] != '/' {
			continue
		}
		slashes++
		if route := r.byPrefix[path[:i+1]]; route != nil {
			best = route
		}
	}
	return best
}

// newHostRoutes builds the table of one host.
func newHostRoutes(routes []*Route) *hostRoutes {
	table := &hostRoutes{byPrefix: make(map[string]*Route, len(routes))}
	for _, route := range routes {
		table.byPrefix[route.PathPrefix] = route
		table.maxPrefixLength = max(table.maxPrefixLength, len(route.PathPrefix))
		table.maxPrefixDepth = max(table.maxPrefixDepth, strings.Count(route.PathPrefix, "/"))
	}
	return table
}
