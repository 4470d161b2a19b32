package processfaults

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
)

// TestOrdersOfEachStep: each order on any other's configuration makes the tenants of its step, and is named by the configuration. None are
// removed where there is no list.
func TestOrdersOfEachStep(t *testing.T) {
	steps := []tenantStep{firstTenants, grantKey, takeLastKey, moveKey, removeTenants, emptyList, leaveOutList, otherKeys}
	for _, former := range steps {
		for _, step := range steps {
			if former == leaveOutList && step == removeTenants {
				continue
			}
			before := newOrder(fleetoperator.Configuration{Version: 1, Tenants: fleet.FirstTenants()}, 2, "0.1", former, false).made
			made := newOrder(before, 3, "1.7", step, false).made
			assert.Equal(t, made.Version, uint64(3))
			assert.Equal(t, made.Tenants == nil, step == leaveOutList, "step %d after %d", step, former)
			wanted := tenantsOf(step, before.Tenants, orderKeyPrefix+"1.7", false)
			assert.Equal(t, len(made.Tenants), len(wanted), "step %d after %d", step, former)
			for _, tenant := range wanted {
				assert.Assert(t, hasTenant(made, tenant), "step %d after %d: %v", step, former, made.Tenants)
			}
			assert.Equal(t, documentOf(made).OrderID, "1.7", "step %d after %d", step, former)
		}
	}
}

func hasTenant(c fleetoperator.Configuration, wanted config.Tenant) bool {
	for _, tenant := range c.Tenants {
		if equalTenants(tenant, wanted) {
			return true
		}
	}
	return false
}

// TestTenantsAreRemovedOneAfterAnother until none is left, by updates.
func TestTenantsAreRemovedOneAfterAnother(t *testing.T) {
	current := fleetoperator.Configuration{Version: 1, Tenants: fleet.FirstTenants()}
	for left := len(current.Tenants) - 1; left >= 0; left-- {
		order := newOrder(current, current.Version+1, "0.1", removeNext, false)
		assert.Assert(t, !order.replaces)
		current = order.made
		assert.Equal(t, len(current.Tenants), left)
	}
	assert.Assert(t, current.Tenants != nil)
}

// TestStepIsAcknowledgedOnce, by a change of the step alone.
func TestStepIsAcknowledgedOnce(t *testing.T) {
	tenants := &tenantOrder{}
	acknowledged := tenants.request(removeNext)
	one, none := fleetoperator.Configuration{Tenants: fleet.FirstTenants()[:1]}, fleetoperator.Configuration{Tenants: []config.Tenant{}}
	tenants.acknowledged(firstTenants, none, time.Now())
	tenants.acknowledged(removeNext, one, time.Now())
	assert.Equal(t, len(acknowledged), 0)
	tenants.acknowledged(removeNext, none, time.Now())
	tenants.acknowledged(removeNext, none, time.Now())
	assert.Equal(t, len(acknowledged), 1)
}
