package cachesalt

import "kestrelspread/internal/node/config"

// IsolatedTenants remembers which tenants were ever isolated. A configuration that isolates a
// tenant may still be in force at another proxy, and meanwhile the tenant's requests must not share
// cached prefixes with others. So a tenant stays isolated here for the life of the process.
type IsolatedTenants struct {
	names map[string]bool // set of the tenants' names
}

// Observe records which tenants a configuration isolates.
func (t *IsolatedTenants) Observe(compiled *config.Compiled) {
	for _, tenant := range compiled.Tenants {
		if tenant.Isolated {
			t.add(tenant.Name)
		}
	}
}

func (t *IsolatedTenants) add(tenant string) {
	if t.names == nil {
		t.names = make(map[string]bool)
	}
	t.names[tenant] = true
}

// TenantName returns the name of a request's tenant; empty: it has none.
func TenantName(tenant *config.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// SaltTenant returns the tenant that the salt of a request must contain: the request's own tenant
// if it is or ever was isolated, or if the configuration that names it is unconfirmed, so that it may
// be isolated by now; else "", which stands for the prefixes that all other tenants share.
func (t *IsolatedTenants) SaltTenant(tenant *config.Tenant, unconfirmed bool) string {
	if tenant == nil || !tenant.Isolated && !t.names[tenant.Name] && !unconfirmed {
		return ""
	}
	return tenant.Name
}
