package processfaults

import (
	"slices"
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
)

// tenantStep is what the operators' changes make of the list of tenants.
type tenantStep uint8

const (
	firstTenants  tenantStep = iota // those of the first configuration
	grantKey                        // and one more, with a single key
	takeLastKey                     // that tenant has no key any more
	moveKey                         // the key is another tenant's
	removeTenants                   // all are removed by one update
	removeNext                      // each update removes one, until none is left
	emptyList                       // a whole configuration with an empty list
	leaveOutList                    // a whole configuration without the list
	otherKeys                       // one tenant, with a key of its own
)

// Tenants and keys that the first configuration lacks.
const (
	formerTenant = "east"
	laterTenant  = "centre"
	movedKey     = "key-east-1" // of formerTenant, then of laterTenant
	otherKey     = "key-east-2" // of otherKeys
	unknownKey   = "key-of-nobody"
)

// tenantOrder is what a fault orders the operators to make of the list of tenants. It is safe for concurrent use.
type tenantOrder struct {
	mutex  sync.Mutex
	step   tenantStep
	waiter chan time.Time // gets the time of the first acknowledgement of the step; nil: it came
}

// request orders a step. The channel gets the time at which it was first acknowledged.
func (t *tenantOrder) request(step tenantStep) <-chan time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.step, t.waiter = step, make(chan time.Time, 1)
	return t.waiter
}

// current is the step that the next changes take.
func (t *tenantOrder) current() tenantStep {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.step
}

// acknowledged records the acknowledgement of a change of a step. Tenants that are removed one after another are gone with the last.
func (t *tenantOrder) acknowledged(step tenantStep, made fleetoperator.Configuration, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.waiter == nil || step != t.step || step == removeNext && len(made.Tenants) > 0 {
		return
	}
	t.waiter <- at
	t.waiter = nil
}

// tenantsOf returns the tenants that a step makes of those of a configuration. orderKey is the key of the order; isolates says that the
// tenant of fleet.IsolatedLater is isolated.
func tenantsOf(step tenantStep, before []config.Tenant, orderKey string, isolates bool) []config.Tenant {
	tenants := fleet.FirstTenants()
	tenants[0].APIKeys = append(tenants[0].APIKeys, orderKey)
	if isolates {
		tenants[len(tenants)-1] = fleet.IsolatedLater()
	}
	switch step {
	case firstTenants:
		return tenants
	case grantKey:
		return append(tenants, config.Tenant{Name: formerTenant, APIKeys: []string{movedKey}})
	case takeLastKey:
		return append(tenants, config.Tenant{Name: formerTenant, APIKeys: []string{}})
	case moveKey:
		return append(tenants, config.Tenant{Name: formerTenant}, config.Tenant{Name: laterTenant, APIKeys: []string{movedKey}})
	case removeNext:
		return slices.Clone(before[:max(len(before)-1, 0)])
	case leaveOutList:
		return nil
	case otherKeys:
		return []config.Tenant{{Name: formerTenant, APIKeys: []string{otherKey, orderKey}}}
	default:
		return []config.Tenant{}
	}
}

// replacesAll reports whether a step takes a whole configuration.
func (s tenantStep) replacesAll() bool { return s == emptyList || s == leaveOutList }

// tenantUpdate returns the update from one list of tenants to another one, none of which is nil unless both are.
func tenantUpdate(before, after []config.Tenant) (upsert []config.Tenant, remove []string) {
	for _, tenant := range after {
		index := slices.IndexFunc(before, func(other config.Tenant) bool { return other.Name == tenant.Name })
		if index < 0 || !equalTenants(before[index], tenant) {
			upsert = append(upsert, tenant)
		}
	}
	for _, tenant := range before {
		if !slices.ContainsFunc(after, func(other config.Tenant) bool { return other.Name == tenant.Name }) {
			remove = append(remove, tenant.Name)
		}
	}
	return upsert, remove
}

func equalTenants(a, b config.Tenant) bool {
	return a.Name == b.Name && a.Isolated == b.Isolated && slices.Equal(a.APIKeys, b.APIKeys)
}
