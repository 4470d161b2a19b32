package config

// Compiled is one version of the configuration as the data plane reads it. It is immutable.
type Compiled struct {
	Version  uint64
	Index    uint64 // of the control state that it was made from
	Routes   *RouteTable
	Services map[string]*Service
	Tenants  map[string]*Tenant // by API key
	// TenantsInUse: false where the configuration holds no tenants, and so no key is asked for.
	TenantsInUse bool
	Limits       Limits
	// ModelVersions holds the newest named version of each model; a model without an entry is at version 1.
	ModelVersions map[string]uint64
	// Stores are the services with a KVStoreAddr, in order of name.
	Stores []*Service
}

// Tenant is the tenant with an API key; nil where the key is not known.
func (c *Compiled) Tenant(key string) *Tenant { return c.Tenants[key] }

// ModelVersion is the newest named version of a model's weights, 1 where none was named.
func (c *Compiled) ModelVersion(model string) uint64 {
	if version, ok := c.ModelVersions[model]; ok {
		return version
	}
	return firstModelVersion
}
