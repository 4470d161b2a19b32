package config_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// TestKeysAreWithdrawnWithTheListOfTenants guards against CONFIG: a configuration without the list, which takes all keys away, let
// requests with these keys run. It is remembered across snapshots, and forgotten by none of the configurations after it.
func TestKeysAreWithdrawnWithTheListOfTenants(t *testing.T) {
	const tenants = `"tenants":[{"name":"a","apiKeys":["k"]}]`
	for _, c := range []struct {
		name      string
		bodies    []string // whole configurations, one after the other
		withdrawn bool
	}{
		{"never a list", []string{`{"version":1}`, `{"version":2}`}, false},
		{"a list", []string{`{"version":1,` + tenants + `}`}, false},
		{"a list, then none", []string{`{"version":1,` + tenants + `}`, `{"version":2}`}, true},
		{"a list, then none twice", []string{`{"version":1,` + tenants + `}`, `{"version":2}`, `{"version":3}`}, true},
		{"an empty list, then none", []string{`{"version":1,"tenants":[]}`, `{"version":2}`}, true},
		{"a list again", []string{`{"version":1,` + tenants + `}`, `{"version":2}`, `{"version":3,` + tenants + `}`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReplica(t)
			for i, body := range c.bodies {
				r.mustTake(replaceCommand(uint64(i), body))
			}
			assert.Equal(t, r.Compile().KeysWithdrawn, c.withdrawn)
			restored := newReplica(t)
			assert.NilError(t, restored.Restore(r.Snapshot()))
			assert.Equal(t, restored.Compile().KeysWithdrawn, c.withdrawn)
			sameState(t, restored.Snapshot(), r.Snapshot())
			assert.Equal(t, bytes.Contains(r.Snapshot(), wireNumber(7, 1)), c.withdrawn)
		})
	}
}

// TestCompiledConfigurationRemembersKeys: a node that held keys knows of them, also where the snapshot comes from a version that
// doesn't record that there were any.
func TestCompiledConfigurationRemembersKeys(t *testing.T) {
	r, other := newReplica(t), newReplica(t)
	r.mustTake(replaceCommand(0, `{"version":1,"tenants":[{"name":"a","apiKeys":["k"]}]}`))
	assert.Assert(t, !r.Compile().KeysWithdrawn)
	other.mustTake(replaceCommand(0, `{"version":2}`))
	assert.NilError(t, r.Restore(other.Snapshot()))
	assert.Assert(t, r.Compile().KeysWithdrawn)
	assert.Assert(t, r.Compile().KeysWithdrawn)
}

// TestNullKeepsTheListOfTenants guards against ROUTE: an operator whose program writes an empty list as null opened all routes.
func TestNullKeepsTheListOfTenants(t *testing.T) {
	r := newReplica(t)
	r.mustTake(replaceCommand(0, `{"version":1,"tenants":null}`))
	r.mustTake(replaceCommand(1, `{"version":2,"tenants":[{"name":"a","apiKeys":["k"]}]}`))
	before := r.Snapshot()
	result := r.take(replaceCommand(2, `{"version":3,"tenants":null}`))
	assert.Equal(t, result.GetCode(), nodepb.ResultCode_INVALID)
	assert.Assert(t, strings.HasPrefix(result.GetText(), "tenants: "), result.GetText())
	sameState(t, r.Snapshot(), before)
	r.mustTake(updateCommand(2, `{"version":3,"upsert":{"tenants":null},"remove":{"tenants":null}}`))
	assert.Assert(t, r.Compile().Tenant("k") != nil)
	r.mustTake(replaceCommand(3, `{"version":4,"tenants":[]}`))
	r.mustTake(replaceCommand(4, `{"version":5}`))
}

// TestUpdateMakesNoEmptyListOfTenants guards against DENIED: the removal of a name from a configuration without a list made one in some
// versions of the program, which shuts every route, and none in others. Now the head refuses it, and once committed it is carried out as
// by the version of the first golden files.
func TestUpdateMakesNoEmptyListOfTenants(t *testing.T) {
	r := newReplica(t)
	r.mustTake(replaceCommand(0, `{"version":1}`))
	removal := updateCommand(1, `{"version":3,"remove":{"tenants":["a"]}}`)
	result := r.take(removal)
	assert.Equal(t, result.GetCode(), nodepb.ResultCode_INVALID)
	assert.Assert(t, strings.HasPrefix(result.GetText(), "remove.tenants: "), result.GetText())
	assert.Equal(t, r.Version(), uint64(1))

	other := newReplica(t)
	assert.NilError(t, other.Restore(r.Snapshot()))
	other.mustTake(updateCommand(1, `{"version":3,"remove":{"tenants":["a"]},"upsert":{"tenants":[{"name":"b"}]}}`))
	assert.Assert(t, other.Compile().TenantsInUse)

	assert.Equal(t, r.apply(removal).GetCode(), taken)
	assert.Equal(t, string(r.Fetch()), `{"version":3,"tenants":[]}`)
}
