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
