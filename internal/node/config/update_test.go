package config_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// names returns the names of a section of the fetched configuration, in order.
func names(t *testing.T, r *replica, section string) []string {
	t.Helper()
	var list []string
	for _, item := range r.fetched()[section].([]any) {
		list = append(list, item.(map[string]any)["name"].(string))
	}
	return list
}

func TestUpdateReplacesAppendsAndRemoves(t *testing.T) {
	r := configured(t)
	moved := strings.Replace(routeOne, "huvo11a", "kafi81c", 1)
	added := strings.NewReplacer("r-1", "r-9", "/xapu221/", "/other/").Replace(routeOne)
	r.mustTake(updateCommand(7, `{"version":9,"upsert":{"routes":[`+added+`,`+moved+`],"services":[{"name":"new"}]},
		"remove":{"tenants":["yefi830"],"services":["wuno96b"]}}`))

	assert.Equal(t, r.fetched()["version"], json.Number("9"))
	assert.DeepEqual(t, names(t, r, "routes"), []string{"r-1", "r-2", "r-9"})
	assert.DeepEqual(t, names(t, r, "services"), []string{"huvo11a", "kafi81c", "new"})
	assert.DeepEqual(t, names(t, r, "tenants"), []string{"mobu112"})
	assert.DeepEqual(t, r.fetched()["routes"].([]any)[0], any(decoded(t, moved)))
	assert.DeepEqual(t, r.fetched()["routes"].([]any)[1], any(decoded(t, routeTwo)))
	assert.DeepEqual(t, r.fetched()["limits"], any(decoded(t, limits)))
}

func TestUpdatesInSequence(t *testing.T) {
	r := configured(t)
	for _, step := range []struct {
		base          uint64
		text, section string
		wanted        []string
	}{
		{7, `{"version":8,"remove":{"routes":["r-1","never-there"],"unknown":["x"]}}`, "routes", []string{"r-2"}},
		{8, `{"version":20,"upsert":{"routes":[` + routeOne + `]}}`, "routes", []string{"r-2", "r-1"}},
		{20, `{"version":21,"remove":{"routes":["r-2"]},"upsert":{"routes":[` + strings.Replace(routeTwo, "r-2", "r-7", 1) + `]}}`, "routes", []string{"r-1", "r-7"}},
		{21, `{"version":22,"remove":{"services":["wuno96b"]}}`, "services", []string{"huvo11a", "kafi81c"}},
		{22, `{"version":23,"upsert":{"services":[]},"remove":{}}`, "services", []string{"huvo11a", "kafi81c"}},
		{23, `{"version":24,"upsert":null,"remove":{"routes":null}}`, "services", []string{"huvo11a", "kafi81c"}},
		{24, `{"version":25}`, "tenants", []string{"yefi830", "mobu112"}},
	} {
		r.mustTake(updateCommand(step.base, step.text))
		assert.DeepEqual(t, names(t, r, step.section), step.wanted)
	}
	assert.Equal(t, r.Version(), uint64(25))
}

func TestItemRemovedAndUpsertedInOneUpdateIsKept(t *testing.T) {
	r := configured(t)
	r.mustTake(updateCommand(7, `{"version":9,"remove":{"routes":["r-1"]},"upsert":{"routes":[`+routeOne+`]}}`))
	assert.DeepEqual(t, names(t, r, "routes"), []string{"r-2", "r-1"})
}

func TestKeyMayMoveBetweenTenantsInOneUpdate(t *testing.T) {
	r := configured(t)
	r.mustTake(updateCommand(7, `{"version":9,"upsert":{"tenants":[{"name":"yefi830","apiKeys":["key-b"]},{"name":"mobu112","apiKeys":["key-a","key-c"]}]}}`))
	compiled := r.Compile()
	assert.Equal(t, compiled.Tenant("key-a").Name, "mobu112")
	assert.Equal(t, compiled.Tenant("key-b").Name, "yefi830")
	assert.Assert(t, compiled.Tenant("key-z") == nil)
}

func TestRoutesMaySwapHostsAndPrefixesInOneUpdate(t *testing.T) {
	r := configured(t)
	one := strings.NewReplacer("hulo84.example", "jepu9.example", "/xapu221/ny95/", "/lepu270/").Replace(routeOne)
	two := strings.NewReplacer("jepu9.example", "hulo84.example", "/lepu270/", "/xapu221/ny95/").Replace(routeTwo)
	r.mustTake(updateCommand(7, `{"version":9,"upsert":{"routes":[`+one+`,`+two+`]}}`))
	table := r.Compile().Routes
	assert.Equal(t, table.Match("jepu9.example", "/lepu270/").Name, "r-1")
	assert.Equal(t, table.Match("hulo84.example", "/xapu221/ny95/").Name, "r-2")
}

func TestUpdateOfUnknownMembers(t *testing.T) {
	r := configured(t)
	r.mustTake(updateCommand(7, `{"version":8,"limits":{"maxBodyBytes":5},"upsert":{"pools":[{"name":"a","size":1},{"name":"b"}]}}`))
	r.mustTake(updateCommand(8, `{"version":9,"upsert":{"limits":{"maxBodyBytes":6},"pools":[{"name":"c"},{"name":"a","size":2}],"note":"x"},
		"remove":{"pools":["b"],"limits":["maxBodyBytes"],"note":["x"]}}`))
	fetched := r.fetched()
	assert.DeepEqual(t, fetched["limits"], any(decoded(t, `{"maxBodyBytes":6}`)))
	assert.DeepEqual(t, fetched["pools"], decoded(t, `{"l":[{"name":"a","size":2},{"name":"c"}]}`)["l"])
	assert.Equal(t, fetched["note"], "x")
	assert.Equal(t, r.Compile().Limits.MaxBodyBytes, int64(6))
}

func TestUnknownFieldsSurviveUpdatesOfOtherItems(t *testing.T) {
	r := newReplica(t)
	service := `{"name":"s","future":{"rate":1.50,"big":123456789012345678901234567890,"list":[null,true,"\u00e9\ud83d\ude00"]}}`
	r.mustTake(replaceCommand(0, `{"version":1,"kind":"fleet","services":[`+service+`]}`))
	r.mustTake(updateCommand(1, `{"version":2,"upsert":{"services":[{"name":"u"}]}}`))
	assert.DeepEqual(t, r.fetched()["services"].([]any)[0], any(decoded(t, service)))
	assert.Equal(t, r.fetched()["kind"], "fleet")
}
