package config

import "kestrelspread/internal/node/config/rawjson"

// checkTenantList returns an *InvalidError about a change that takes the list of tenants away without
// saying so: without the list no key is required on any route. It is checked at the head of the chain
// only.
func checkTenantList(change identifiedChange, prepared *preparedChange) error {
	before, after := prepared.previous.tenants, prepared.next.tenants
	switch {
	case !change.request.GetReplace():
		return nil
	case before != nil && after == nil:
		if sent := rawjson.Member(change.body, tenantSpec.key); sent != nil {
			return invalid(tenantSpec.key, "must be a list; an empty one revokes all keys, a configuration without the member requires none")
		}
	}
	return nil
}
