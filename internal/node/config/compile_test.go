package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCompiledFields(t *testing.T) {
	r := configured(t)
	r.mustTake(modelVersionCommand("daka510000", 4))
	compiled := r.Compile()
	assert.Equal(t, compiled.Version, uint64(firstVersion))
	assert.Equal(t, compiled.Index, uint64(2))
	assert.Equal(t, compiled.Limits.MaxHeaderBytes, 16384)
	assert.Equal(t, compiled.Limits.IdleTimeoutMs, 15000.0)
	assert.Equal(t, compiled.ModelVersion("daka510000"), uint64(4))

	route := compiled.Routes.Match("jepu9.example", "/lepu270/2f")
	assert.Equal(t, route.TimeoutMs, 6000.0)
	assert.Equal(t, route.TrafficSplit[1].Service, "kafi81c")
	assert.Equal(t, route.TrafficSplit[1].Weight, 10.0)
	assert.Assert(t, !route.Idempotent())
	assert.Assert(t, compiled.Routes.Match("hulo84.example", "/xapu221/ny95/").Idempotent())

	assert.Equal(t, compiled.Services["huvo11a"].Engine.LinkMbps, 550000.0)
	assert.Equal(t, compiled.Services["huvo11a"].Engine.Models[0].Name, "daka510000")
	assert.Equal(t, len(compiled.Stores), 1)
	assert.Equal(t, compiled.Stores[0].KVStoreAddr, "172.20.0.2:8387")

	assert.Assert(t, compiled.TenantsInUse)
	assert.Equal(t, *compiled.Tenant("key-a").Priority, 0)
	assert.Assert(t, compiled.Tenant("key-c").Priority == nil)
	assert.Assert(t, compiled.Tenant("key-c").Isolated)
}

func TestCompileSharesUnchangedParts(t *testing.T) {
	r := configured(t)
	first := r.Compile()
	assert.Assert(t, r.Compile().Routes == first.Routes)

	r.mustTake(updateCommand(7, `{"version":9,"upsert":{"tenants":[{"name":"mobu112","apiKeys":["key-d"]}]}}`))
	second := r.Compile()
	assert.Assert(t, second.Routes == first.Routes)
	assert.Assert(t, second.Tenant("key-c") == nil && first.Tenant("key-c") != nil)
	assert.Assert(t, second.Tenant("key-a") == first.Tenant("key-a"))

	r.mustTake(updateCommand(9, `{"version":10,"remove":{"routes":["r-1"]}}`))
	third := r.Compile()
	assert.Assert(t, third.Routes.Match("hulo84.example", "/xapu221/ny95/") == nil)
	assert.Assert(t, first.Routes.Match("hulo84.example", "/xapu221/ny95/") != nil)
	assert.Assert(t, third.Routes.Match("jepu9.example", "/lepu270/") == first.Routes.Match("jepu9.example", "/lepu270/"))
}

func TestReplacementSharesUnchangedItems(t *testing.T) {
	r := configured(t)
	first := r.Compile()
	r.mustTake(replaceCommand(7, body(9, routeTwo, serviceTwo+","+serviceOne, tenantTwo)))
	second := r.Compile()
	assert.Assert(t, second.Routes.Match("jepu9.example", "/lepu270/") == first.Routes.Match("jepu9.example", "/lepu270/"))
	assert.Assert(t, second.Services["huvo11a"] == first.Services["huvo11a"])
	assert.Assert(t, second.Tenant("key-a") == nil)
	assert.Equal(t, len(second.Stores), 0)
}

func TestNoKeyIsRequiredWithoutTenants(t *testing.T) {
	r := newReplica(t)
	r.mustTake(replaceCommand(0, `{"version":1}`))
	assert.Assert(t, !r.Compile().TenantsInUse)
}

// TestRemovalOfTheLastTenantOpensNothing guards against CONFIG and ROUTE: the removal of the last tenant, which takes the last key away,
// opened all routes to everybody. A list of tenants and none stay apart in what is read back, and in what is restored.
func TestRemovalOfTheLastTenantOpensNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		command func(r *replica)
		inUse   bool
	}{
		{"removed by updates", func(r *replica) {
			r.mustTake(replaceCommand(0, `{"version":1,"tenants":[{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["l"]}]}`))
			r.mustTake(updateCommand(1, `{"version":2,"remove":{"tenants":["a"]}}`))
			r.mustTake(updateCommand(2, `{"version":3,"remove":{"tenants":["b"]}}`))
		}, true},
		{"sent empty", func(r *replica) { r.mustTake(replaceCommand(0, `{"version":3,"tenants":[]}`)) }, true},
		{"sent without", func(r *replica) { r.mustTake(replaceCommand(0, `{"version":3}`)) }, false},
		{"sent as null", func(r *replica) { r.mustTake(replaceCommand(0, `{"version":3,"tenants":null}`)) }, false},
		{"replaced by one without", func(r *replica) {
			r.mustTake(replaceCommand(0, `{"version":1,"tenants":[{"name":"a","apiKeys":["k"]}]}`))
			r.mustTake(replaceCommand(1, `{"version":3}`))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReplica(t)
			c.command(r)
			compiled := r.Compile()
			assert.Equal(t, compiled.TenantsInUse, c.inUse)
			assert.Assert(t, compiled.Tenant("k") == nil)
			assert.Equal(t, strings.Contains(string(r.Fetch()), `"tenants":[]`), c.inUse)
			restored := newReplica(t)
			assert.NilError(t, restored.Restore(r.Snapshot()))
			assert.Equal(t, restored.Compile().TenantsInUse, c.inUse)
		})
	}
}

func TestRestoreSharesUnchangedItems(t *testing.T) {
	r := configured(t)
	first := r.Compile()
	assert.NilError(t, r.Restore(r.Snapshot()))
	second := r.Compile()
	assert.Assert(t, second.Routes == first.Routes)
	assert.Assert(t, second.Services["huvo11a"] == first.Services["huvo11a"])
}
