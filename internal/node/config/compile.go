package config

import (
	"cmp"
	"maps"
	"slices"
)

// Compile is the state as the data plane reads it. What did not change since the last call is shared with its result.
func (s *State) Compile() *Compiled {
	last, source := s.compiled, s.source
	if last == nil {
		last, source = emptyCompiled, emptyDocument
	}
	next := &Compiled{
		Version:       s.document.version,
		Index:         s.index,
		Routes:        compileRoutes(last.Routes, source.routes, s.document.routes),
		Services:      last.Services,
		Tenants:       compileTenants(last.Tenants, source.tenants, s.document.tenants),
		TenantsInUse:  len(s.document.tenants.list()) > 0,
		Limits:        s.document.limits,
		ModelVersions: s.compileModels(last.ModelVersions),
		Stores:        last.Stores,
	}
	if source.services != s.document.services {
		next.Services, next.Stores = compileServices(s.document.services)
	}
	s.compiled, s.source = next, s.document
	return next
}

var emptyCompiled = &Compiled{
	Routes:        &RouteTable{},
	Services:      map[string]*Service{},
	Tenants:       map[string]*Tenant{},
	ModelVersions: map[string]uint64{},
}

// difference lists the items of before that are not in after, and the other way round.
func difference[T any](before, after *section[T]) (gone, added []*item[T]) {
	if before == after {
		return nil, nil
	}
	for _, item := range before.list() {
		if after.byName(item.name) != item {
			gone = append(gone, item)
		}
	}
	for _, item := range after.list() {
		if before.byName(item.name) != item {
			added = append(added, item)
		}
	}
	return gone, added
}

// compileRoutes makes the tables of those hosts anew whose routes changed.
func compileRoutes(last *RouteTable, before, after *section[Route]) *RouteTable {
	gone, added := difference(before, after)
	if len(gone) == 0 && len(added) == 0 {
		return last
	}
	changed := map[string][]*Route{}
	for _, item := range slices.Concat(gone, added) {
		changed[lowerHost(item.value.Host)] = nil
	}
	for _, item := range after.list() {
		host := lowerHost(item.value.Host)
		if routes, ok := changed[host]; ok {
			changed[host] = append(routes, item.value)
		}
	}
	hosts := make(map[string]*hostRoutes, len(last.hosts)+len(changed))
	maps.Copy(hosts, last.hosts)
	for host, routes := range changed {
		if len(routes) == 0 {
			delete(hosts, host)
			continue
		}
		hosts[host] = newHostRoutes(routes)
	}
	return &RouteTable{hosts: hosts, count: len(after.list())}
}

func compileServices(services *section[Service]) (map[string]*Service, []*Service) {
	byName := make(map[string]*Service, len(services.list()))
	var stores []*Service
	for _, item := range services.list() {
		byName[item.name] = item.value
		if item.value.KVStoreAddr != "" {
			stores = append(stores, item.value)
		}
	}
	slices.SortFunc(stores, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return byName, stores
}

// compileTenants changes the keys of those tenants that changed.
func compileTenants(last map[string]*Tenant, before, after *section[Tenant]) map[string]*Tenant {
	gone, added := difference(before, after)
	if len(gone) == 0 && len(added) == 0 {
		return last
	}
	byKey := maps.Clone(last)
	for _, item := range gone {
		for _, key := range item.value.APIKeys {
			delete(byKey, key)
		}
	}
	for _, item := range added {
		for _, key := range item.value.APIKeys {
			byKey[key] = item.value
		}
	}
	return byKey
}

// compileModels is the newest named version of each model.
func (s *State) compileModels(last map[string]uint64) map[string]uint64 {
	if s.sameModels(last) {
		return last
	}
	versions := make(map[string]uint64, len(s.models))
	for model, named := range s.models {
		versions[model] = named.Version
	}
	return versions
}

func (s *State) sameModels(last map[string]uint64) bool {
	if len(last) != len(s.models) {
		return false
	}
	for model, named := range s.models {
		if last[model] != named.Version {
			return false
		}
	}
	return true
}
