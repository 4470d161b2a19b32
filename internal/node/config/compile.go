package config

import (
	"cmp"
	"maps"
	"slices"
)

// Compile returns the state as the data plane reads it. What did not change since the last call is
// shared with the result of that call.
func (s *State) Compile() *Compiled {
	previous, compiledFrom := s.lastCompiled, s.compiledFrom
	if previous == nil {
		previous, compiledFrom = emptyCompiled, emptyDocument
	}
	next := &Compiled{
		Version:       s.document.version,
		Index:         s.index,
		Routes:        compileRoutes(previous.Routes, compiledFrom.routes, s.document.routes),
		Services:      previous.Services,
		Tenants:       compileTenants(previous.Tenants, compiledFrom.tenants, s.document.tenants),
		TenantsInUse:  s.document.tenants != nil,
		KeysWithdrawn: s.document.tenants == nil && (s.tenantsListed || previous.TenantsInUse || previous.KeysWithdrawn),
		Limits:        s.document.limits,
		ModelVersions: s.compileModelVersions(previous.ModelVersions),
		Stores:        previous.Stores,
	}
	if compiledFrom.services != s.document.services {
		next.Services, next.Stores = compileServices(s.document.services)
	}
	s.lastCompiled, s.compiledFrom = next, s.document
	return next
}

var emptyCompiled = &Compiled{
	Routes:        &RouteTable{},
	Services:      map[string]*Service{},
	Tenants:       map[string]*Tenant{},
	ModelVersions: map[string]uint64{},
}

// difference lists the items that only before has, and those that only after has. Items are
// immutable and shared between versions, so that unchanged ones are the same pointer.
func difference[T any](before, after *section[T]) (removed, added []*item[T]) {
	if before == after {
		return nil, nil
	}
	for _, item := range before.list() {
		if after.byName(item.name) != item {
			removed = append(removed, item)
		}
	}
	for _, item := range after.list() {
		if before.byName(item.name) != item {
			added = append(added, item)
		}
	}
	return removed, added
}

// compileRoutes rebuilds the tables of the hosts whose routes changed, and shares the others with
// previous.
func compileRoutes(previous *RouteTable, before, after *section[Route]) *RouteTable {
	removed, added := difference(before, after)
	if len(removed) == 0 && len(added) == 0 {
		return previous
	}
	changed := map[string][]*Route{}
	for _, item := range slices.Concat(removed, added) {
		changed[lowerHost(item.value.Host)] = nil
	}
	for _, item := range after.list() {
		host := lowerHost(item.value.Host)
		if routes, ok := changed[host]; ok {
			changed[host] = append(routes, item.value)
		}
	}
	hosts := make(map[string]*hostRoutes, len(previous.hosts)+len(changed))
	maps.Copy(hosts, previous.hosts)
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

// compileTenants maps API keys to tenants. Keys of removed tenants are deleted before those of
// added ones are set, as a key may move from one tenant to another.
func compileTenants(previous map[string]*Tenant, before, after *section[Tenant]) map[string]*Tenant {
	removed, added := difference(before, after)
	if len(removed) == 0 && len(added) == 0 {
		return previous
	}
	byKey := maps.Clone(previous)
	for _, item := range removed {
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

// compileModelVersions maps models to their newest named versions; previous itself where nothing
// changed.
func (s *State) compileModelVersions(previous map[string]uint64) map[string]uint64 {
	if s.modelVersionsUnchanged(previous) {
		return previous
	}
	versions := make(map[string]uint64, len(s.modelVersions))
	for model, named := range s.modelVersions {
		versions[model] = named.Version
	}
	return versions
}

func (s *State) modelVersionsUnchanged(previous map[string]uint64) bool {
	if len(previous) != len(s.modelVersions) {
		return false
	}
	for model, named := range s.modelVersions {
		if previous[model] != named.Version {
			return false
		}
	}
	return true
}
