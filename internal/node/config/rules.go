package config

import (
	"fmt"
	"strings"
)

// The rules that a configuration has to keep beside the form of its items.
// Source: PROTOCOL.md, "The operator's API" and "Requests".

// checkRules returns the first breach of a rule in next. Only what differs from previous is looked at.
func checkRules(next, previous *document, changes *changes) error {
	for _, changed := range changes.routes {
		if err := checkRoute(changed.path, changed.value); err != nil {
			return err
		}
	}
	if next.routes != previous.routes || next.services != previous.services {
		if err := checkRouteTargets(next); err != nil {
			return err
		}
	}
	if next.routes != previous.routes {
		if err := checkRoutesApart(next.routes); err != nil {
			return err
		}
	}
	if next.tenants != previous.tenants {
		return checkKeysApart(next.tenants)
	}
	return nil
}

// checkRoute checks what a route says by itself.
func checkRoute(path string, route *Route) error {
	switch {
	case route.Host == "":
		return invalid(path+".host", "must not be empty")
	case !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/"):
		return invalid(path+".pathPrefix", "%q must start and end with a slash", route.PathPrefix)
	case !(route.TimeoutMs > 0):
		return invalid(path+".timeoutMs", "must be above 0")
	case route.Service == "" && len(route.TrafficSplit) == 0:
		return invalid(path+".service", "must name a service")
	}
	return checkWeights(path+".trafficSplit", route.TrafficSplit)
}

func checkWeights(path string, split []WeightedService) error {
	sum := 0.0
	for i, part := range split {
		if part.Weight < 0 {
			return invalid(indexed(path, i)+".weight", "must not be negative")
		}
		if part.Service == "" {
			return invalid(indexed(path, i)+".service", "must name a service")
		}
		sum += part.Weight
	}
	if len(split) > 0 && sum == 0 {
		return invalid(path, "the weights sum to 0")
	}
	return nil
}

// checkRouteTargets checks that every service that a route names is there.
func checkRouteTargets(next *document) error {
	for _, item := range next.routes.list() {
		route := item.value
		if route.Service != "" && next.services.byName(route.Service) == nil {
			return invalid(routePath(item)+".service", "unknown service %q", route.Service)
		}
		for i, part := range route.TrafficSplit {
			if next.services.byName(part.Service) == nil {
				path := indexed(routePath(item)+".trafficSplit", i)
				return invalid(path+".service", "unknown service %q", part.Service)
			}
		}
	}
	return nil
}

// checkRoutesApart checks that no two routes have the same host and prefix.
func checkRoutesApart(routes *section[Route]) error {
	type place struct{ host, prefix string }
	taken := make(map[place]*item[Route], len(routes.list()))
	for _, item := range routes.list() {
		at := place{host: strings.ToLower(item.value.Host), prefix: item.value.PathPrefix}
		if first, duplicate := taken[at]; duplicate {
			return invalid(routePath(item)+".pathPrefix", "has host and prefix of %s", routePath(first))
		}
		taken[at] = item
	}
	return nil
}

// checkKeysApart checks that no two tenants share a key.
func checkKeysApart(tenants *section[Tenant]) error {
	owners := make(map[string]string, 2*len(tenants.list()))
	for _, item := range tenants.list() {
		for i, key := range item.value.APIKeys {
			owner, taken := owners[key]
			if taken && owner != item.name {
				path := indexed(namedPath(tenantForm.key, item.name)+".apiKeys", i)
				return invalid(path, "is also a key of %s", namedPath(tenantForm.key, owner))
			}
			owners[key] = item.name
		}
	}
	return nil
}

func routePath(item *item[Route]) string { return namedPath(routeForm.key, item.name) }

// namedPath is the path of an item by its name.
func namedPath(section, name string) string { return fmt.Sprintf("%s[%q]", section, name) }
