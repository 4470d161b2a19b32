package kvindex

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

func TestSourcesAreModelBrokersAndStoresOfHome(t *testing.T) {
	weights := map[string]uint64{"m": 1}
	table := &registry.Table{ByService: map[string][]*registry.Instance{
		"llm": {
			{ID: "i-1", Address: "a:1", Zone: "z1", Versions: weights},
			{ID: "i-2", Address: "a:2", Zone: "z2", Versions: weights},
			{ID: "i-3", Address: "a:3", Zone: "z1", Versions: weights, State: registry.Gone},
		},
		"labels": {{ID: "i-4", Address: "a:4", Zone: "z1"}},
	}}
	stores := []*config.Service{{Name: "store", KVStoreAddr: "s:1", Zone: "z1"}, {Name: "far", KVStoreAddr: "s:2", Zone: "z2"}}
	list := SourcesOf(table, stores, func(_, zone string) bool { return zone == "z1" })
	assert.DeepEqual(t, list, []Source{
		{Instance: "i-1", Address: "a:1", Service: "llm", Zone: "z1"},
		{Address: "s:1", Service: "store", Zone: "z1"},
	})
}

func TestCachedPartsOfSourceAreBounded(t *testing.T) {
	home := NewHome(HomeOptions{})
	home.SetSources(0, []Source{{Instance: "i-1", Address: "a:1", Service: "llm", Zone: "z"}})
	now := core.Time(0)
	next := uint64(0)
	for range 20 {
		now += 5 * eventPollInterval
		for _, output := range home.Tick(now) {
			fetch, ok := output.(core.FetchEvents)
			if !ok {
				continue
			}
			events := &Events{Epoch: 1}
			for range 2000 { // the events that report parts as evicted are lost
				next++
				events.List = append(events.List, Event{Salt: saltA, Part: next, Tokens: 100})
			}
			events.Next = next
			home.EventsDone(now, fetch.Token, events, nil)
		}
		assert.Assert(t, len(home.sources["i-1"].cached) <= maxCachedParts)
	}
	assert.Assert(t, next > maxCachedParts)
	_, cached := home.sources["i-1"].cached[partKey{saltA, next}]
	assert.Assert(t, cached)
}
