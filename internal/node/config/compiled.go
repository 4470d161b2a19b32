package config

// Compiled is one version of the configuration as the data plane reads it. It is immutable.
type Compiled struct {
	Version  uint64 // of the configuration
	Index    uint64 // of the entry as of which the control state was compiled
	Routes   *RouteTable
	Services map[string]*Service
	Tenants  map[string]*Tenant // by API key
	// TenantsInUse reports whether the configuration has a list of tenants, also an empty one. Only
	// without a list no API key is required: removing the last tenant takes the last key away.
	TenantsInUse bool
	// KeysWithdrawn reports that there is no list of tenants, though an earlier configuration had one:
	// no API key is required, and each that was ever given out has been revoked.
	KeysWithdrawn bool
	Limits        Limits
	// ModelVersions has the newest named version of each model; a model that is missing is at
	// version 1.
	ModelVersions map[string]uint64
	// Stores are the services with a KVStoreAddr, sorted by name.
	Stores []*Service
}

// Tenant returns the tenant that has an API key; nil: the key is unknown.
func (c *Compiled) Tenant(key string) *Tenant { return c.Tenants[key] }

// ModelVersion returns the newest named version of a model's weights; 1: none was named.
func (c *Compiled) ModelVersion(model string) uint64 {
	if version, ok := c.ModelVersions[model]; ok {
		return version
	}
	return firstModelVersion
}
