package fleetoperator

import (
	"slices"

	"kestrelspread/internal/node/config"
)

// Configuration is a complete configuration.
type Configuration struct {
	Version  uint64           `json:"version"`
	Routes   []config.Route   `json:"routes"`
	Services []config.Service `json:"services"`
	Limits   config.Limits    `json:"limits"`
	Tenants  []config.Tenant  `json:"tenants,omitzero"` // nil: without the list
}

// Items are what an update adds or replaces, by name.
type Items struct {
	Routes   []config.Route   `json:"routes,omitempty"`
	Services []config.Service `json:"services,omitempty"`
	Tenants  []config.Tenant  `json:"tenants,omitempty"`
}

// Names are what an update removes.
type Names struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Update changes named items of the configuration that it builds on.
type Update struct {
	Version uint64 `json:"version"`
	Upsert  Items  `json:"upsert"`
	Remove  Names  `json:"remove"`
}

// Apply returns the configuration after an update.
func (c Configuration) Apply(update Update) Configuration {
	c.Version = update.Version
	c.Routes = applyItems(c.Routes, update.Upsert.Routes, update.Remove.Routes, func(r config.Route) string { return r.Name })
	c.Services = applyItems(c.Services, update.Upsert.Services, update.Remove.Services, func(s config.Service) string { return s.Name })
	c.Tenants = applyItems(c.Tenants, update.Upsert.Tenants, update.Remove.Tenants, func(t config.Tenant) string { return t.Name })
	return c
}

// applyItems adds or replaces items by name, and removes some.
func applyItems[T any](items, upsert []T, remove []string, name func(T) string) []T {
	result := slices.DeleteFunc(slices.Clone(items), func(item T) bool { return slices.Contains(remove, name(item)) })
	for _, item := range upsert {
		index := slices.IndexFunc(result, func(other T) bool { return name(other) == name(item) })
		if index < 0 {
			result = append(result, item)
		} else {
			result[index] = item
		}
	}
	return result
}
