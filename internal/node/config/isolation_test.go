package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestIsolatesNamesCallersThatSharedBefore: only these can have prefixes under the salt that all share.
func TestIsolatesNamesCallersThatSharedBefore(t *testing.T) {
	shared, isolated := &Tenant{Name: "a"}, &Tenant{Name: "a", Isolated: true}
	of := func(tenants map[string]*Tenant) *Compiled {
		return &Compiled{Tenants: tenants, TenantsInUse: len(tenants) > 0}
	}
	for _, c := range []struct {
		name          string
		before, after *Compiled
		isolates      bool
	}{
		{"a tenant becomes isolated", of(map[string]*Tenant{"k": shared}), of(map[string]*Tenant{"k": isolated}), true},
		{"it stays isolated", of(map[string]*Tenant{"k": isolated}), of(map[string]*Tenant{"k": isolated}), false},
		{"it is no longer isolated", of(map[string]*Tenant{"k": isolated}), of(map[string]*Tenant{"k": shared}), false},
		{"a new tenant with a key that nobody had", of(map[string]*Tenant{"l": shared}), of(map[string]*Tenant{"l": shared, "k": isolated}), false},
		{"a key is passed on to an isolated tenant", of(map[string]*Tenant{"k": {Name: "b", Isolated: true}}), of(map[string]*Tenant{"k": isolated}), true},
		{"the first tenants, one of them isolated", of(nil), of(map[string]*Tenant{"k": isolated}), true},
		{"the first tenants, none isolated", of(nil), of(map[string]*Tenant{"k": shared}), false},
		{"the first keys after a list without any", &Compiled{TenantsInUse: true}, of(map[string]*Tenant{"k": isolated}), true},
		{"what was before is not known", nil, of(map[string]*Tenant{"k": isolated}), true},
		{"no tenants", of(map[string]*Tenant{"k": isolated}), of(nil), false},
	} {
		assert.Equal(t, c.after.Isolates(c.before), c.isolates, c.name)
	}
}
