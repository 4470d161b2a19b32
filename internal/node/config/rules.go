package config

import (
	"fmt"
	"strings"
)

// The rules between the items of a configuration, and those of an item that the schema can't
// express. They are checked at the head of the chain only. Source: PROTOCOL.md, "The operator's
// API" and "Requests".

// Steps to the fields that break rules.
var (
	prefixStep  = pathStep{name: "pathPrefix"}
	serviceStep = pathStep{name: "service"}
	splitStep   = pathStep{name: "trafficSplit"}
)

// checkRules returns an *InvalidError about the first rule that next violates. Only what
// differs from previous is checked, as previous was checked before it was taken.
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
		if err := checkRoutesDistinct(next.routes); err != nil {
			return err
		}
	}
	if next.tenants != previous.tenants {
		return checkKeysDistinct(next.tenants)
	}
	return nil
}

// checkRoute checks a route by itself.
func checkRoute(path ItemPath, route *Route) error {
	switch {
	case route.Host == "":
		return invalid(fieldPath(path, pathStep{name: "host"}), "must not be empty")
	case !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/"):
		return invalid(fieldPath(path, prefixStep), "%q must start and end with a slash", route.PathPrefix)
	case !(route.TimeoutMs > 0):
		return invalid(fieldPath(path, pathStep{name: "timeoutMs"}), "must be above 0")
	case route.Service == "" && len(route.TrafficSplit) == 0:
		return invalid(fieldPath(path, serviceStep), "must name a service")
	}
	return checkWeights(path, route.TrafficSplit)
}

func checkWeights(path ItemPath, split []WeightedService) error {
	sum := 0.0
	for i, part := range split {
		if part.Weight < 0 {
			return invalid(fieldPath(path, splitStep, pathStep{index: i}, pathStep{name: "weight"}), "must not be negative")
		}
		if part.Service == "" {
			return invalid(fieldPath(path, splitStep, pathStep{index: i}, serviceStep), "must name a service")
		}
		sum += part.Weight
	}
	if len(split) > 0 && sum == 0 {
		return invalid(fieldPath(path, splitStep), "the weights sum to 0")
	}
	return nil
}

// checkRouteTargets checks that every service that a route names exists.
func checkRouteTargets(next *document) error {
	for _, item := range next.routes.list() {
		route := item.value
		if route.Service != "" && next.services.byName(route.Service) == nil {
			return invalid(routePath(item, serviceStep), "unknown service %q", route.Service)
		}
		for i, part := range route.TrafficSplit {
			if next.services.byName(part.Service) == nil {
				path := routePath(item, splitStep, pathStep{index: i}, serviceStep)
				return invalid(path, "unknown service %q", part.Service)
			}
		}
	}
	return nil
}

// checkRoutesDistinct checks that no two routes have the same host and prefix.
func checkRoutesDistinct(routes *section[Route]) error {
	type hostAndPrefix struct{ host, prefix string }
	seen := make(map[hostAndPrefix]*item[Route], len(routes.list()))
	for _, item := range routes.list() {
		key := hostAndPrefix{host: lowerHost(item.value.Host), prefix: item.value.PathPrefix}
		if first, duplicate := seen[key]; duplicate {
			return invalid(routePath(item, prefixStep), "has host and prefix of %s", routePath(first))
		}
		seen[key] = item
	}
	return nil
}

// checkKeysDistinct checks that no two tenants share a key.
func checkKeysDistinct(tenants *section[Tenant]) error {
	owners := make(map[string]string, 2*len(tenants.list()))
	for _, item := range tenants.list() {
		for i, key := range item.value.APIKeys {
			owner, hasOwner := owners[key]
			if hasOwner && owner != item.name {
				path := fieldPath(namedPath(tenantSpec.key, item.name), pathStep{name: "apiKeys"}, pathStep{index: i})
				return invalid(path, "is also a key of %v", namedPath(tenantSpec.key, owner))
			}
			owners[key] = item.name
		}
	}
	return nil
}

func routePath(item *item[Route], steps ...pathStep) string {
	return fieldPath(namedPath(routeSpec.key, item.name), steps...)
}

// namedPath is the path of an item by its name, for items that the change itself may not contain.
func namedPath(section, name string) ItemPath {
	return ItemPath{List: fmt.Sprintf("%s[%q]", section, name), Index: notListed}
}
