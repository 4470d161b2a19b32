package cachesalt

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kestrelspread/internal/node/config"
)

// TestSaltSharing checks which requests may share cached prefixes, by their salts (RULES.md STALE
// and WALL).
func TestSaltSharing(t *testing.T) {
	plain, other := &config.Tenant{Name: "a"}, &config.Tenant{Name: "b"}
	apart := &config.Tenant{Name: "c", Isolated: true}
	var isolated IsolatedTenants
	salt := func(tenant *config.Tenant, model string, version uint64) string {
		return Text(model, version, isolated.SaltTenant(tenant, false))
	}
	for _, c := range []struct {
		name   string
		a, b   string
		shared bool
	}{
		{"two tenants", salt(plain, "m", 1), salt(other, "m", 1), true},
		{"a tenant and a public route", salt(plain, "m", 1), salt(nil, "m", 1), true},
		{"two versions", salt(plain, "m", 1), salt(plain, "m", 2), false},
		{"two models", salt(plain, "m", 1), salt(plain, "n", 1), false},
		{"an isolated tenant and another", salt(apart, "m", 1), salt(plain, "m", 1), false},
		{"an isolated tenant and none", salt(apart, "m", 1), salt(nil, "m", 1), false},
		{"an isolated tenant with itself", salt(apart, "m", 1), salt(apart, "m", 1), true},
		{"two isolated tenants", salt(apart, "m", 1), salt(&config.Tenant{Name: "d", Isolated: true}, "m", 1), false},
	} {
		assert.Equal(t, c.a == c.b, c.shared, c.name)
	}
}

// An older configuration may still be in force at another proxy, so a tenant that was isolated
// keeps its own salt here.
func TestIsolationOutlivesItsConfiguration(t *testing.T) {
	var isolated IsolatedTenants
	former := &config.Tenant{Name: "c", Isolated: true}
	isolated.Observe(&config.Compiled{Tenants: map[string]*config.Tenant{"key": former}})
	assert.Equal(t, isolated.SaltTenant(&config.Tenant{Name: "c"}, false), "c")
	assert.Equal(t, isolated.SaltTenant(&config.Tenant{Name: "d"}, false), "")
	assert.Equal(t, isolated.SaltTenant(&config.Tenant{Name: "d"}, true), "d", "it may be isolated by now")
	assert.Equal(t, isolated.SaltTenant(nil, true), "", "there is no tenant to keep apart")
}

// Different triples of model, version and tenant have different texts, whatever characters the
// names contain.
func TestSaltsAreUnambiguous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-c|%0-2é\n]{0,4}`)
		model1, model2 := name.Draw(t, "model1"), name.Draw(t, "model2")
		tenant1, tenant2 := name.Draw(t, "tenant1"), name.Draw(t, "tenant2")
		version1, version2 := rapid.Uint64Range(1, 12).Draw(t, "v1"), rapid.Uint64Range(1, 12).Draw(t, "v2")
		same := model1 == model2 && tenant1 == tenant2 && version1 == version2
		first, second := Text(model1, version1, tenant1), Text(model2, version2, tenant2)
		assert.Equal(t, first == second, same)
		for i := range len(first) {
			assert.Assert(t, first[i] > ' ' && first[i] < 0x7f, "salt %q can't be sent in a header", first)
		}
	})
}
