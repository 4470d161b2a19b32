package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/nodepb"
)

// replica is a state with what a head does to a command: check it, and apply the entry it becomes.
type replica struct {
	*config.State
	t testing.TB
}

func newReplica(t testing.TB) *replica {
	return &replica{State: config.NewState(schema.NewChecker()), t: t}
}

func (r *replica) take(command *nodepb.Command) *nodepb.CommandResult {
	r.t.Helper()
	result, entryNeeded := r.Check(command)
	if !entryNeeded {
		return result
	}
	return r.Apply(&nodepb.Entry{Index: r.Index() + 1, Command: command})
}

func replaceCommand(base uint64, body string) *nodepb.Command {
	return configCommand(true, base, body)
}

func updateCommand(base uint64, body string) *nodepb.Command {
	return configCommand(false, base, body)
}

func configCommand(replace bool, base uint64, body string) *nodepb.Command {
	change := &nodepb.ConfigChange{Replace: replace, BaseVersion: base, Body: []byte(body)}
	return &nodepb.Command{Change: &nodepb.Command_ConfigChange{ConfigChange: change}}
}

const firstBody = `{"version":7,"routes":[
 {"name":"r-1","host":"hulo84.example","pathPrefix":"/xapu221/ny95/","kind":"streaming","timeoutMs":15000,"service":"huvo11a"},
 {"name":"r-2","host":"jepu9.example","pathPrefix":"/lepu270/","kind":"unsafe","timeoutMs":6000,
  "trafficSplit":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}]}],
 "services":[{"name":"huvo11a","healthCheck":"/healthz","engine":{"slots":128,"linkMbps":550000.0,"models":[{"name":"daka510000"}]}},
  {"name":"kafi81c"}],
 "limits":{"maxHeaderBytes":16384},
 "tenants":[{"name":"yefi830","apiKeys":["key-a","key-b"],"priority":0}]}`

func TestFirstConfigurationIsTakenAndCompiled(t *testing.T) {
	r := newReplica(t)
	result := r.take(replaceCommand(0, firstBody))
	assert.Equal(t, result.GetCode(), nodepb.ResultCode_TAKEN, result.GetText())
	compiled := r.Compile()
	assert.Equal(t, compiled.Version, uint64(7))
	assert.Equal(t, compiled.Routes.Match("JEPU9.example:80", "/lepu270/2f").Name, "r-2")
	assert.Assert(t, compiled.Routes.Match("jepu9.example", "/lepu270") == nil)
	assert.Equal(t, compiled.Tenant("key-b").Name, "yefi830")
	body, err := config.FetchSnapshot(r.Snapshot())
	assert.NilError(t, err)
	assert.Equal(t, string(body), string(r.Fetch()))
	again := config.NewState(nil)
	assert.NilError(t, again.Restore(r.Snapshot()))
	assert.DeepEqual(t, again.Snapshot(), r.Snapshot())
}
