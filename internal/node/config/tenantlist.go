package config

import "kestrelspread/internal/node/config/rawjson"

// checkTenantList returns an *InvalidError about a change that takes the list of tenants away, or brings
// an empty one about, without saying so: without the list no key is required on any route, and with an
// empty one no request passes that needs a key. It is checked at the head of the chain only.
func checkTenantList(change identifiedChange, prepared *preparedChange) error {
	before, after := prepared.previous.tenants, prepared.next.tenants
	switch {
	case !change.request.GetReplace():
		if before == nil && after != nil && len(after.items) == 0 {
			return invalid(removeMember+"."+tenantSpec.key, "the configuration has no such list")
		}
	case before != nil && after == nil:
		if sent := rawjson.Member(change.body, tenantSpec.key); sent != nil {
			return invalid(tenantSpec.key, "must be a list; an empty one revokes all keys, a configuration without the member requires none")
		}
	}
	return nil
}
